// What a planner remembers over a restart, from its snapshot and from its peers, as one machine without I/O:
// what came goes in with the time, and what is to be told, asked and said comes out.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "membership/peers.h"
#include "recovery/asking.h"
#include "recovery/knowledge.h"

namespace marldale::recovery {

using membership::PeerEndpoint;

struct MemorySettings {
    std::string self;
    bool share = false;  // there are peers: they are asked, and who of them is there is watched
    std::uint64_t incarnation = 0;
    std::uint64_t seed = 0;
    std::vector<PeerEndpoint> peers;  // to begin with
    KnowledgeRules knowledge;
    AskRules ask;
    membership::PeerRules membership;
};

// A box that our list has ready, and that is withdrawn all the same, or let back.
struct Hold {
    std::string box;
    bool held = false;
    bool operator==(const Hold&) const = default;
};

// What is to be done now.
struct MemoryActions {
    std::vector<Hold> holds;        // to the module, before the sums
    std::vector<RecalledSum> sums;  // to the module
    std::vector<PeerEndpoint> ask;  // what they know
    std::vector<membership::PeerMessage> say;
    std::vector<std::string> lines;  // of the log
    [[nodiscard]] bool empty() const {
        return holds.empty() && sums.empty() && ask.empty() && say.empty() && lines.empty();
    }
};

class Memory {
public:
    Memory(const MemorySettings& settings, Micros now);

    // From here on peers can be reached, and reach us at this address.
    void connect(const std::string& address);
    void disconnect() { connected_ = false; }

    // ---- What comes ----

    void listed(std::uint64_t version, const std::map<std::string, Knowledge::Listed>& all, Micros now);
    void saw(const Sight& sight, Micros now) { knowledge_.saw(sight, now); }
    void joined(std::uint32_t proxy, const std::string& zone) { zones_[proxy] = zone; }
    void left(std::uint32_t proxy);
    void came(std::uint32_t proxy, const std::string& klass, double rate, Micros now);

    // A snapshot of an earlier life, at the start.
    MergeCounts recall(const Handover& handover, Micros age, Micros now);
    // A peer's answer; nothing if it sent none that could be read, and why. What nobody asked for is dropped.
    void answered(const std::string& peer, const std::optional<Handover>& handover, Micros transit,
                  const std::string& wrong, Micros now);
    // A peer's word on who is there.
    void heard(const membership::PeerMessage& message, Micros now);

    // ---- What is to be done ----

    [[nodiscard]] MemoryActions due(Micros now);
    [[nodiscard]] std::optional<Micros> nextDue(Micros now) const;
    // The last words of an instance that ends in order.
    [[nodiscard]] std::vector<membership::PeerMessage> leave(Micros now);

    [[nodiscard]] Handover handOver(Micros now) {
        knowledge_.forget(now);
        return knowledge_.handOver(now);
    }
    // Where a peer is reached; empty if it is not known.
    [[nodiscard]] std::string addressOf(const std::string& peer) const { return peers_.addressOf(peer); }
    [[nodiscard]] const Knowledge& knowledge() const { return knowledge_; }
    [[nodiscard]] const membership::Peers& peers() const { return peers_; }
    [[nodiscard]] bool asking(Micros now) const { return !asking_.over(now); }

private:
    void tellSums(Micros now, MemoryActions& out);
    void tellHolds(Micros now, MemoryActions& out);
    void tellPeers(Micros now, MemoryActions& out);

    const bool share_;
    const Micros copyHolds_;
    bool connected_ = false;
    Knowledge knowledge_;
    Asking asking_;
    membership::Peers peers_;
    std::map<std::uint32_t, std::string> zones_;                       // of our proxies
    std::map<std::pair<std::string, std::string>, RecalledSum> told_;  // by box and zone
    std::set<std::string> held_;
    std::vector<membership::PeerMessage> answers_;
    std::vector<std::string> lines_;
    bool fresh_ = false;  // something has come that may have to be told
};

}  // namespace marldale::recovery
