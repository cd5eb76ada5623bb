// Keys, certificates and authorities from files, for either side of a TLS connection (OpenSSL). Connections
// that stand keep the files that they began with; a reload holds for those after it.
#pragma once

#include <openssl/ssl.h>

#include <memory>
#include <string>

namespace marldale::tls {

struct Files {
    std::string certificate, key;  // PEM; a server needs both, a client may have them
    std::string authority;  // PEM: who vouches for the other side; a server without one asks for no proof
    bool operator==(const Files&) const = default;
    [[nodiscard]] bool empty() const { return certificate.empty() && key.empty() && authority.empty(); }
};
enum class Side { server, client };

struct FreeSsl {
    void operator()(SSL* ssl) const { SSL_free(ssl); }
};
using SslHandle = std::unique_ptr<SSL, FreeSsl>;

class Context {
public:
    // Throws std::runtime_error: the file, and what is wrong with it.
    Context(Side side, Files files);

    // Reads the files again. If one can't be used, what was read before holds on, and this throws.
    void reload();
    // For one connection. `peer`: the name (or IPv4 address) that the other side's certificate must be for,
    // where an authority is set; empty: any that the authority vouches for.
    [[nodiscard]] SslHandle connection(const std::string& peer) const;

private:
    struct FreeContext {
        void operator()(SSL_CTX* c) const { SSL_CTX_free(c); }
    };
    using Handle = std::unique_ptr<SSL_CTX, FreeContext>;
    [[nodiscard]] Handle read() const;

    const Side side_;
    const Files files_;
    Handle context_;
};

// The newest error of this thread's queue in words; the queue is empty then.
[[nodiscard]] std::string lastError();

}  // namespace marldale::tls
