// Our streams to other instances: one for each address, dialled when there is something to say, and closed
// when nothing was said for a while.
#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "marldale/session.h"
#include "marldale/v1/peers.grpc.pb.h"
#include "routing/peer_link.h"

namespace marldale::grpc_front {

class PeerSession;

class PeerLinks : public routing::PeerLink {
public:
    // Credentials are asked for at each dial: keys may have been replaced.
    using Credentials = std::function<std::shared_ptr<::grpc::ChannelCredentials>()>;
    PeerLinks(routing::PeerEar& ear, Credentials credentials);
    ~PeerLinks() override;

    void ask(const membership::PeerEndpoint& peer) override;
    void say(const membership::PeerEndpoint& peer, const membership::PeerMessage& message) override;
    void close();  // nothing is answered any more once it returns

private:
    // The session of an address; null if there are too many, or all is over.
    [[nodiscard]] std::shared_ptr<PeerSession> session(const membership::PeerEndpoint& peer);

    routing::PeerEar& ear_;
    const Credentials credentials_;
    std::mutex mutex_;
    std::map<std::string, std::shared_ptr<PeerSession>> sessions_;  // by name and address
    bool closed_ = false;
};

}  // namespace marldale::grpc_front
