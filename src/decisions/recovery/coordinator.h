// Coordinates what a planner keeps over a restart: facts from its snapshot and its peers, queries to peers
// and peer membership. No I/O: inputs come with their time, and `due` returns what the caller has to do.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "membership/peers.h"
#include "recovery/knowledge.h"
#include "recovery/peer_queries.h"

namespace marldale::recovery {

using membership::PeerEndpoint;

struct CoordinatorSettings {
    std::string self;
    bool share = false;  // exchange facts with peers and track which of them are alive
    std::uint64_t incarnation = 0;
    std::uint64_t seed = 0;
    std::vector<PeerEndpoint> peers;  // the peers known at the start
    KnowledgeRules knowledge;
    PeerQuerySettings peerQueries;
    membership::PeerRules membership;
};

// Starts or ends the withdrawal of a server that the own list has as ready.
struct Hold {
    std::string server;
    bool held = false;  // false: the server is released
    bool operator==(const Hold&) const = default;
};

// What the caller has to do now.
struct CoordinatorActions {
    std::vector<Hold> holds;        // for the decision module, before the sums
    std::vector<RecalledSum> sums;  // for the decision module
    std::vector<PeerEndpoint> queries;
    std::vector<membership::PeerMessage> messages;
    std::vector<std::string> logLines;
    [[nodiscard]] bool empty() const {
        return holds.empty() && sums.empty() && queries.empty() && messages.empty() && logLines.empty();
    }
};

class Coordinator {
public:
    Coordinator(const CoordinatorSettings& settings, Micros now);

    // Starts communication with peers; they reach this instance at `address`.
    void connect(const std::string& address);
    void disconnect() { connected_ = false; }

    // ---- Inputs ----

    void updateServerList(std::uint64_t version, const std::map<std::string, Knowledge::ListedServer>& all,
                          Micros now);
    void recordOutcomes(const OutcomeObservation& observation, Micros now) {
        knowledge_.recordOutcomes(observation, now);
    }
    void proxyJoined(std::uint32_t proxy, const std::string& zone) { proxyZones_[proxy] = zone; }
    void proxyLeft(std::uint32_t proxy);
    // Request rate of a class at a proxy; ignored if the proxy has not joined.
    void recordDemand(std::uint32_t proxy, const std::string& klass, double rate, Micros now);

    // Merges a snapshot of an earlier run, at the start.
    MergeCounts mergeSnapshot(const Handover& handover, Micros age, Micros now);
    // Takes a peer's answer, or the reason why there is none. Answers that were not asked for are dropped.
    void receiveHandover(const std::string& peer, const std::optional<Handover>& handover, Micros transit,
                         const std::string& error, Micros now);
    // Takes a membership message of a peer.
    void receiveMessage(const membership::PeerMessage& message, Micros now);

    // ---- Outputs ----

    // Returns the actions that are due and marks them as done.
    [[nodiscard]] CoordinatorActions due(Micros now);
    [[nodiscard]] std::optional<Micros> nextDue(Micros now) const;
    // Messages that announce an orderly shutdown.
    [[nodiscard]] std::vector<membership::PeerMessage> leave(Micros now);

    // Exports what is known, for a peer or a snapshot.
    [[nodiscard]] Handover handOver(Micros now) {
        knowledge_.expire(now);
        return knowledge_.handOver(now);
    }
    // Address of a peer; empty if it is unknown.
    [[nodiscard]] std::string addressOf(const std::string& peer) const { return peers_.addressOf(peer); }
    [[nodiscard]] const Knowledge& knowledge() const { return knowledge_; }
    [[nodiscard]] const membership::Peers& peers() const { return peers_; }
    // Whether some peer may still be queried or has yet to answer.
    [[nodiscard]] bool queriesPending(Micros now) const { return !queries_.finished(now); }

private:
    void addSums(Micros now, CoordinatorActions& out);
    void addHolds(Micros now, CoordinatorActions& out);
    void addPeerActions(Micros now, CoordinatorActions& out);

    const bool share_;
    const Micros handoverCacheTime_;
    bool connected_ = false;
    Knowledge knowledge_;
    PeerQueries queries_;
    membership::Peers peers_;
    std::map<std::uint32_t, std::string> proxyZones_;                         // zone of each own proxy
    std::map<std::pair<std::string, std::string>, RecalledSum> emittedSums_;  // by server and zone
    std::set<std::string> heldBack_;
    std::vector<membership::PeerMessage> replies_;
    std::vector<std::string> logLines_;
    bool sumsDirty_ = false;  // there may be sums to emit
};

}  // namespace marldale::recovery
