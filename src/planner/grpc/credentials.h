// TLS of the gRPC front. The server's key and certificate come from files and may be replaced while it runs.
// A client's certificate is asked for in the handshake and judged here, when its first stream begins: so that
// a wrong, expired or foreign one gets a status that says so, and a line in the log, and not only a broken
// connection.
#pragma once

#include <grpcpp/security/server_credentials.h>

#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "routing/front.h"

namespace marldale::grpc_front {

// PEM texts that fit together: the key belongs to the certificate, and the certificate is in force.
struct Keys {
    std::string certificate, key, clientsCa, peersCa;
};

// Reads and checks the files; throws std::runtime_error with the file and what is wrong with it.
[[nodiscard]] Keys readKeys(const routing::FrontSettings& settings);

// The keys that the next handshakes use; from any thread.
class KeyRing {
public:
    explicit KeyRing(Keys keys) : keys_(std::make_shared<const Keys>(std::move(keys))) {}
    void renew(Keys keys) {
        const std::lock_guard lock(mutex_);
        keys_ = std::make_shared<const Keys>(std::move(keys));
    }
    [[nodiscard]] std::shared_ptr<const Keys> now() const {
        const std::lock_guard lock(mutex_);
        return keys_;
    }

private:
    mutable std::mutex mutex_;
    std::shared_ptr<const Keys> keys_;
};

// Credentials that ask the ring at every handshake. The ring must outlive the server.
[[nodiscard]] std::shared_ptr<::grpc::ServerCredentials> credentialsOf(KeyRing& ring);

// What a client's certificate says, if it stands.
struct Identity {
    std::vector<std::string> names;  // URIs, DNS names, then the common name
    std::string refused;             // why it does not stand; empty if it does
};
// `own`: the client's certificate; `others`: what it sent along, which may lead from it to the authority;
// PEM. `now`: seconds since 1970.
[[nodiscard]] Identity identify(const std::string& own, const std::string& others,
                                const std::string& clientsCa, std::int64_t now);

}  // namespace marldale::grpc_front
