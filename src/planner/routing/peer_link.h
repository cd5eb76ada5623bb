// Between what an instance knows and the front that carries its words to other instances. Each side may be
// called from any thread and never waits.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "membership/peers.h"

namespace marldale::routing {

// What hears other instances.
class PeerEar {
public:
    virtual ~PeerEar() = default;
    PeerEar() = default;
    PeerEar(const PeerEar&) = delete;
    PeerEar& operator=(const PeerEar&) = delete;

    [[nodiscard]] virtual std::string name() const = 0;  // of this instance
    // A copy of what is known, as bytes: all who ask within a short time share one.
    [[nodiscard]] virtual std::shared_ptr<const std::string> handOver() = 0;
    // The end of an asking: the bytes that came, or why none did. `transit`: from the asking to the last
    // byte.
    virtual void answered(const std::string& peer, std::optional<std::string> bytes, Micros transit,
                          const std::string& wrong) = 0;
    virtual void heard(const membership::PeerMessage& message) = 0;
};

// What reaches other instances. Words may be lost; an asking ends in `answered`, if late.
class PeerLink {
public:
    virtual ~PeerLink() = default;
    PeerLink() = default;
    PeerLink(const PeerLink&) = delete;
    PeerLink& operator=(const PeerLink&) = delete;

    virtual void ask(const membership::PeerEndpoint& peer) = 0;
    virtual void say(const membership::PeerEndpoint& peer, const membership::PeerMessage& message) = 0;
};

}  // namespace marldale::routing
