// What an instance of the planner knows about the servers: outcomes of tries, demand, and entries of server
// lists, each with its origin and age. No I/O; `now` is this instance's steady clock.
//
// A fact is stored once for each origin, the instance that observed it. Of two copies, the one with the
// higher version of its origin wins; of two copies with the same version, the older one. Merging is therefore
// commutative, associative and idempotent, a fact counts once whatever path it took, and forwarding can only
// make it older.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "policy/types.h"

namespace marldale::recovery {

// Orders the versions of a fact from one origin.
struct FactVersion {
    std::uint64_t incarnation = 0;  // new with each start of the origin
    std::uint64_t sequence = 0;
    auto operator<=>(const FactVersion&) const = default;
};

// Recent outcomes of one zone's proxies at one server, as summed up by one origin. An ejected server gets few
// tries, so evidence is limited by the number of tries and not by a time window. A few consecutive tries that
// contradict the sum start a new one.
struct SumFact {
    std::string origin, server, zone;
    std::int64_t bootMs = 0;  // start time of the server process, from the server list
    FactVersion version;
    Micros age = 0;  // since the last row that was added
    std::uint32_t tries = 0, failed = 0;
    Micros mean = 0;      // duration of the tries that succeeded
    Micros failsFor = 0;  // how long at least half of the tries have failed; 0: they do not
    std::map<std::string, double> load = {};  // last load report of the server, by the name of the value
    bool operator==(const SumFact&) const = default;
};

// Request rate of one class at an origin's proxies in one zone.
struct DemandFact {
    std::string origin, zone, klass;
    FactVersion version;
    Micros age = 0;
    double rate = 0;  // requests a second
    std::uint32_t proxies = 0;
    bool operator==(const DemandFact&) const = default;
};

// One server's entry in an instance's server list. List versions come from discovery and are the same for
// every instance.
struct ListedFact {
    std::string server;
    std::uint64_t version = 0;  // of the list
    ServerState state = ServerState::ready;
    std::int64_t bootMs = 0;
    Micros since = 0;  // how long the entry has been unchanged; for display only
    bool operator==(const ListedFact&) const = default;
};

// The facts that one instance passes to another or writes to a snapshot. Ages are relative to the time of the
// export.
struct Handover {
    std::string from;
    std::vector<SumFact> sums;
    std::vector<ListedFact> listed;
    std::vector<DemandFact> demand;
    bool operator==(const Handover&) const = default;
};

// Limits and time constants of `Knowledge`.
struct KnowledgeRules {
    Micros halfLife = 20 * 1000000LL;        // of the weight of a sum
    double maxTries = 64;                    // weight of one sum, whatever it claims, and size of an own sum
    double contradictionTries = 4;           // consecutive contradicting tries that start a new sum
    Micros demandLifetime = 30 * 1000000LL;  // after a proxy's last report
    Micros maxHold = 60 * 1000000LL;         // a newer list that has not arrived by then does not exist
    double maxRecalledTries = 128;           // of one server and zone, over all origins
    Micros maxAge = 600 * 1000000LL;
    std::size_t maxFacts = 65536, maxOrigins = 32, maxServers = 8192, maxLoadValues = 16;
};

// Result of a merge: facts that added something, facts that were known already, and facts that were invalid
// or exceeded a limit.
struct MergeCounts {
    std::size_t merged = 0, known = 0, refused = 0;
};

// Sum of all origins for one server and zone, weighted by age, for the decision module.
struct RecalledSum {
    std::string server, zone;
    double tries = 0, failed = 0;
    Micros mean = 0;
};

// One row of a proxy's or collector's report, as this instance received it.
struct OutcomeObservation {
    std::string server, zone;
    std::int64_t bootMs = 0;
    std::uint32_t tries = 0, failed = 0;
    Micros mean = 0;
    std::map<std::string, double> load = {};
};

// Stores the facts of this instance and of its peers.
class Knowledge {
public:
    // `self`: name of this instance; `incarnation`: higher than at any earlier start.
    Knowledge(std::string self, std::uint64_t incarnation, KnowledgeRules rules = {});

    // Adds outcomes that this instance has just observed.
    void recordOutcomes(const OutcomeObservation& observation, Micros now);
    // Replaces the request rate of a class at one of this instance's proxies.
    void recordDemand(std::uint32_t proxy, const std::string& zone, const std::string& klass, double rate,
                      Micros now);
    // Drops the demand of a proxy that has left.
    void removeProxy(std::uint32_t proxy);

    struct ListedServer {
        ServerState state = ServerState::ready;
        std::int64_t bootMs = 0;
    };
    // Replaces the own server list; servers that are not in `all` are no longer listed.
    void updateList(std::uint64_t version, const std::map<std::string, ListedServer>& all, Micros now);

    // Merges the facts of another instance or of a snapshot. `transit`: time from the request until the
    // arrival, on this instance's clock; it is added to the facts' ages.
    MergeCounts merge(const Handover& handover, Micros transit, Micros now);
    // Exports all facts that are recent enough to be of use.
    [[nodiscard]] Handover handOver(Micros now) const;

    // Sums for servers that the own list has as ready with the same boot time. Excludes each server and zone
    // that this instance has observed in its current run, so that live evidence is not diluted.
    [[nodiscard]] std::vector<RecalledSum> recalled(Micros now) const;
    // Servers that are ready in the own list but not in a newer list of a peer. A server is held back until
    // the own list reaches that version, or for `maxHold`. Empty if it would hold every ready server: such a
    // list belongs to another fleet, and a planner must not be left without servers.
    [[nodiscard]] std::set<std::string> heldBack(Micros now) const;
    // Removes facts that are too old to carry weight.
    void expire(Micros now);

    // The weight of so many tries at that age: at most `maxTries`, halved every `halfLife`.
    [[nodiscard]] double decayedTries(double tries, Micros age) const;
    [[nodiscard]] std::size_t factCount() const { return sums_.size(); }
    // Whether there are sums to recall for servers in the own list.
    [[nodiscard]] bool hasRecalled(Micros now) const { return !recalled(now).empty(); }
    [[nodiscard]] std::uint64_t listVersion() const { return listVersion_; }

private:
    using FactKey = std::tuple<std::string, std::string, std::string>;  // server, zone, origin
    struct StoredSum {
        std::int64_t bootMs = 0;
        FactVersion version;
        Micros observedAt = 0;  // on this instance's steady clock, as is `failingSince`
        double tries = 0, failed = 0;
        Micros mean = 0;
        std::optional<Micros> failingSince;
        std::map<std::string, double> load;
        [[nodiscard]] bool failing() const { return 2 * failed >= tries; }
        void addScaled(const StoredSum& other, double share);
    };
    struct StoredDemand {
        FactVersion version;
        Micros observedAt = 0;
        double rate = 0;
        std::uint32_t proxies = 0;
    };
    struct NewerListing {  // an entry of a list newer than the own one
        ListedFact fact;
        Micros firstHeardAt = 0;
    };
    struct OwnListing {
        ListedServer listed;
        Micros since = 0;
    };
    struct DemandSample {
        std::string zone;
        double rate = 0;
        Micros at = 0;
    };
    [[nodiscard]] bool isPlausible(const SumFact& fact) const;
    [[nodiscard]] bool isPlausible(const DemandFact& fact) const;
    [[nodiscard]] bool admitOrigin(const std::string& origin, const FactVersion& version);
    [[nodiscard]] bool storeSum(const FactKey& key, StoredSum sum);
    void mergeDemand(const DemandFact& fact, Micros transit, Micros now, MergeCounts& out);
    void mergeListed(const ListedFact& fact, Micros transit, Micros now, MergeCounts& out);
    [[nodiscard]] bool observedThisRun(const std::string& server, const std::string& zone) const;
    [[nodiscard]] std::vector<DemandFact> ownDemand(Micros now) const;

    const std::string self_;
    const std::uint64_t incarnation_;
    const KnowledgeRules rules_;
    std::uint64_t lastSequence_ = 0, listVersion_ = 0;
    std::map<FactKey, StoredSum> sums_;
    std::map<FactKey, StoredSum> contradicting_;  // own rows that contradict the sum, too few to replace it
    std::map<FactKey, StoredDemand> peerDemand_;  // by zone, class and origin
    std::map<std::pair<std::uint32_t, std::string>, DemandSample> ownDemand_;  // by proxy and class
    std::map<std::string, NewerListing> newerListings_;
    std::map<std::string, OwnListing> ownList_;
    std::set<std::string> origins_;
};

}  // namespace marldale::recovery
