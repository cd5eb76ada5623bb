// Peer discovery by gossip: a partial view of the processes that is shuffled between neighbours, after Cyclon
// (Voulgaris, Gavidia, van Steen, 2005). The neighbour with the oldest entry is contacted next and removed
// after two missed answers in a row; both sides send a sample of their view. Controllers are kept
// preferentially, since every process needs some of them. No I/O.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "marldale/gateway/internal.pb.h"
#include "policy/types.h"

namespace marldale::gossip {

namespace proto = gateway::proto;

/// The parameters of a view.
struct Settings {
    std::size_t maxPeers = 24, maxControllers = 16, sampleSize = 8;
    std::uint32_t maxAge = 20;  // in own shuffles without fresh information about the peer
    Micros shuffleInterval = 2000000;
    Micros isolatedShuffleInterval = 300000;  // while no controller is known
    std::uint64_t seed = 1;
};

/// The partial view of one process.
class View {
public:
    View(Settings settings, proto::Peer self, std::vector<std::string> seeds);

    /// A message to a peer.
    struct Message {
        std::string to;
        proto::Shuffle shuffle;
    };
    /// Returns the next shuffle request; nothing if none is due.
    [[nodiscard]] std::optional<Message> due(Micros now);
    /// Returns when the next shuffle is due.
    [[nodiscard]] Micros nextDue() const { return next_; }
    /// Merges a received shuffle; returns the answer if it was a request.
    [[nodiscard]] std::optional<Message> receive(const proto::Shuffle& shuffle);
    /// Records direct contact with a peer.
    void recordContact(const proto::Peer& peer);
    /// Removes a peer that is known to be unreachable.
    void remove(const std::string& address);
    /// Replaces the seed addresses.
    void seeds(std::vector<std::string> seeds) { seeds_ = std::move(seeds); }

    /// Returns the known controllers, without this process.
    [[nodiscard]] std::vector<proto::Peer> control() const;
    /// Returns all known peers, by address.
    [[nodiscard]] const std::map<std::string, proto::Peer>& peers() const { return peers_; }
    /// Returns the seed addresses.
    [[nodiscard]] const std::vector<std::string>& seedAddresses() const { return seeds_; }

private:
    void mergePeer(const proto::Peer& peer);
    void trim();
    [[nodiscard]] proto::Shuffle makeShuffle(bool answer);
    [[nodiscard]] std::uint64_t nextRandom();

    Settings settings_;
    proto::Peer self_;
    std::vector<std::string> seeds_;
    std::map<std::string, proto::Peer> peers_;
    std::optional<std::string> asked_;
    std::optional<std::string> unansweredOnce_;  // contacted again next
    Micros next_ = 0;
    std::size_t nextSeed_ = 0;
    std::uint64_t randomState_;
};

}  // namespace marldale::gossip
