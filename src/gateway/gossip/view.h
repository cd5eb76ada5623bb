// Who is there: a partial view, shuffled between neighbours. After Cyclon (Voulgaris, Gavidia, van Steen,
// 2005): the neighbour that was told longest ago is asked next, and goes if it stays silent twice; each hands
// over a sample. Those that serve control are kept first, since every process needs some of them. No I/O.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "marldale/gateway/internal.pb.h"
#include "policy/types.h"

namespace marldale::gossip {

namespace proto = gateway::proto;

struct Settings {
    std::size_t most = 24, control = 16, sample = 8;
    std::uint32_t ageMost = 20;  // shuffles of ours without fresh word of it
    Micros every = 2000000;      // between shuffles of ours
    Micros everyAlone = 300000;  // while nobody that serves control is known
    std::uint64_t seed = 1;
};

class View {
public:
    View(Settings settings, proto::Peer self, std::vector<std::string> seeds);

    // Whom to write to now, and what; nothing if it isn't time yet.
    struct Letter {
        std::string to;
        proto::Shuffle shuffle;
    };
    [[nodiscard]] std::optional<Letter> due(Micros now);
    [[nodiscard]] Micros nextDue() const { return next_; }
    // What a neighbour wrote; its answer, if it wants one.
    [[nodiscard]] std::optional<Letter> receive(const proto::Shuffle& shuffle);
    // First-hand word that it is there, or that it isn't.
    void recordContact(const proto::Peer& peer);
    void remove(const std::string& address);
    void seeds(std::vector<std::string> seeds) { seeds_ = std::move(seeds); }

    [[nodiscard]] std::vector<proto::Peer> control() const;  // others that serve control
    [[nodiscard]] const std::map<std::string, proto::Peer>& peers() const { return peers_; }
    [[nodiscard]] const std::vector<std::string>& seedAddresses() const { return seeds_; }

private:
    void take(const proto::Peer& peer);
    void trim();
    [[nodiscard]] proto::Shuffle letter(bool answer);
    [[nodiscard]] std::uint64_t draw();

    Settings settings_;
    proto::Peer self_;
    std::vector<std::string> seeds_;
    std::map<std::string, proto::Peer> peers_;
    std::optional<std::string> asked_;
    std::optional<std::string> silentOnce_;  // asked again next
    Micros next_ = 0;
    std::size_t nextSeed_ = 0;
    std::uint64_t drawn_;
};

}  // namespace marldale::gossip
