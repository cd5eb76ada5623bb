// What is known of the boxes, by whom, and how old it is. No I/O; `now` is this holder's steady time.
//
// A fact has one place for each origin, the instance that saw it. Of two copies of a place the one with the
// higher number of its origin counts, and of two with the same number the older: so merging is commutative,
// associative and idempotent, hearsay counts once however it came, and passing on can only age a fact.
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

// Whose sight, and which of its words. `incarnation`: new with each start of the origin.
struct FactVersion {
    std::uint64_t incarnation = 0, number = 0;
    auto operator<=>(const FactVersion&) const = default;
};

// What an origin's proxies of a zone met at a box, of late: a box that is ejected has few tries, so evidence
// is counted in tries, not in seconds. A few tries in a row that tell otherwise begin a new sum.
struct SumFact {
    std::string origin, server, zone;
    std::int64_t bootMs = 0;  // as the list has it
    FactVersion version;
    Micros age = 0;  // of its last row
    std::uint32_t tries = 0, failed = 0;
    Micros mean = 0;      // of those that did not fail
    Micros failsFor = 0;  // how long half of its tries or more have failed; 0: they do not
    std::map<std::string, double> load = {};  // the server's last word on itself, by the name of the value
    bool operator==(const SumFact&) const = default;
};

// Requests of a class that came to an origin's proxies of a zone.
struct DemandFact {
    std::string origin, zone, klass;
    FactVersion version;
    Micros age = 0;
    double rate = 0;  // a second
    std::uint32_t proxies = 0;
    bool operator==(const DemandFact&) const = default;
};

// What an origin's list said of a box. The list's versions are discovery's, the same for everybody.
struct ListedFact {
    std::string server;
    std::uint64_t version = 0;
    ServerState state = ServerState::ready;
    std::int64_t bootMs = 0;
    Micros since = 0;  // how long the teller's list has had it so; for people
    bool operator==(const ListedFact&) const = default;
};

// What one instance hands to another. Ages are as of the handing over.
struct Handover {
    std::string from;
    std::vector<SumFact> sums;
    std::vector<ListedFact> listed;
    std::vector<DemandFact> demand;
    bool operator==(const Handover&) const = default;
};

struct KnowledgeRules {
    Micros halfLife = 20 * 1000000LL;
    double triesMost = 64;                // of a fact, whatever it claims, and of own evidence that is kept
    double proofTries = 4;                // so many in a row that tell otherwise begin a new sum
    Micros demandHolds = 30 * 1000000LL;  // after a proxy's last word
    Micros holdMost = 60 * 1000000LL;  // no list is so late: a newer one that has not come by then never was
    double allOriginsMost = 128;       // of a server and zone
    Micros ageMost = 600 * 1000000LL;
    std::size_t factsMost = 65536, originsMost = 32, boxesMost = 8192, loadsMost = 16;
};

struct MergeCounts {
    std::size_t taken = 0, known = 0, refused = 0;
};

// A sum as the module may be told it: aged, all origins together.
struct RecalledSum {
    std::string server, zone;
    double tries = 0, failed = 0;
    Micros mean = 0;
};

// A row of a report, as it is seen.
struct OutcomeObservation {
    std::string server, zone;
    std::int64_t bootMs = 0;
    std::uint32_t tries = 0, failed = 0;
    Micros mean = 0;
    std::map<std::string, double> load = {};
};

class Knowledge {
public:
    Knowledge(std::string self, std::uint64_t incarnation, KnowledgeRules rules = {});

    // Own sight, of just now.
    void recordOutcomes(const OutcomeObservation& sight, Micros now);
    void came(std::uint32_t proxy, const std::string& zone, const std::string& klass, double rate,
              Micros now);
    void left(std::uint32_t proxy);
    // Our own list: what it names is there, with this boot and state; what it does not name is not.
    struct ListedServer {
        ServerState state = ServerState::ready;
        std::int64_t bootMs = 0;
    };
    void updateList(std::uint64_t version, const std::map<std::string, ListedServer>& all, Micros now);

    // `transit`: the whole time from asking to having it, by our clock.
    MergeCounts merge(const Handover& handover, Micros transit, Micros now);
    [[nodiscard]] Handover handOver(Micros now) const;

    // Of boxes that our list has ready, with the boot that it has. Not where this life has seen for itself:
    // what is live is not diluted.
    [[nodiscard]] std::vector<RecalledSum> recalled(Micros now) const;
    // Boxes that our list has ready, and a newer list than ours did not, until our own has that version or so
    // long that it can't be merely late. None at all if that would be every box that is ready: such a list is
    // of another fleet, and no planner may be left without a box.
    [[nodiscard]] std::set<std::string> heldBack(Micros now) const;
    // What is too old to say anything.
    void forget(Micros now);

    [[nodiscard]] double weightOf(double tries, Micros age) const;
    [[nodiscard]] std::size_t facts() const { return sums_.size(); }
    // Of boxes that our list has: whether a handover has said anything of use.
    [[nodiscard]] bool knowsAnything(Micros now) const { return !recalled(now).empty(); }
    [[nodiscard]] std::uint64_t listVersion() const { return version_; }

private:
    using Place = std::tuple<std::string, std::string, std::string>;  // server, zone, origin
    struct Held {
        std::int64_t bootMs = 0;
        FactVersion version;
        Micros born = 0;  // in our steady time, as `failsSince`
        double tries = 0, failed = 0;
        Micros mean = 0;
        std::optional<Micros> failsSince;
        std::map<std::string, double> load;
        [[nodiscard]] bool fails() const { return 2 * failed >= tries; }
        void add(const Held& other, double share);
    };
    struct HeldDemand {
        FactVersion version;
        Micros born = 0;
        double rate = 0;
        std::uint32_t proxies = 0;
    };
    struct Claim {  // of a newer list than ours
        ListedFact fact;
        Micros heard = 0;
    };
    struct Own {
        ListedServer listed;
        Micros since = 0;
    };
    struct Came {
        std::string zone;
        double rate = 0;
        Micros at = 0;
    };
    [[nodiscard]] bool sane(const SumFact& fact) const;
    [[nodiscard]] bool sane(const DemandFact& fact) const;
    [[nodiscard]] bool admits(const std::string& origin, const FactVersion& word);
    [[nodiscard]] bool take(const Place& place, Held held);
    void mergeDemand(const DemandFact& fact, Micros transit, Micros now, MergeCounts& out);
    void mergeListed(const ListedFact& fact, Micros transit, Micros now, MergeCounts& out);
    [[nodiscard]] bool seenLive(const std::string& server, const std::string& zone) const;
    [[nodiscard]] std::vector<DemandFact> ownDemand(Micros now) const;

    const std::string self_;
    const std::uint64_t incarnation_;
    const KnowledgeRules rules_;
    std::uint64_t number_ = 0, version_ = 0;
    std::map<Place, Held> sums_;
    std::map<Place, Held> otherwise_;     // own rows that tell otherwise than the sum, and are no proof yet
    std::map<Place, HeldDemand> demand_;  // of others: zone, class, origin
    std::map<std::pair<std::uint32_t, std::string>, Came> came_;  // own, by proxy and class
    std::map<std::string, Claim> others_;
    std::map<std::string, Own> list_;  // ours
    std::set<std::string> origins_;
};

}  // namespace marldale::recovery
