// What is known of the boxes, by whom, and how old it is. No I/O; `now` is this holder's steady time.
//
// A fact has one place for each origin, the instance that saw it. Of two copies of a place the one with the
// higher number of its origin counts, and of two with the same number the older: so merging is commutative,
// associative and idempotent, hearsay counts once however it came, and passing on can only age a fact.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "policy/types.h"

namespace marldale::recovery {

// Whose sight, and which of its words. `incarnation`: new with each start of the origin.
struct Word {
    std::uint64_t incarnation = 0, number = 0;
    auto operator<=>(const Word&) const = default;
};

// What an origin's proxies of a zone met at a box.
struct SumFact {
    std::string origin, box, zone;
    std::int64_t bootMs = 0;  // as the list has it
    Word word;
    Micros age = 0;
    std::uint32_t tries = 0, failed = 0;
    Micros mean = 0;  // of those that did not fail
    bool operator==(const SumFact&) const = default;
};

// What an origin's list said of a box. The list's versions are discovery's, the same for everybody.
struct ListedFact {
    std::string box;
    std::uint64_t version = 0;
    ServerState state = ServerState::ready;
    std::int64_t bootMs = 0;
    bool operator==(const ListedFact&) const = default;
};

// What one instance hands to another. Ages are as of the handing over.
struct Handover {
    std::string from;
    std::vector<SumFact> sums;
    std::vector<ListedFact> listed;
    bool operator==(const Handover&) const = default;
};

struct KnowledgeRules {
    Micros halfLife = 20 * 1000000LL;
    double triesMost = 64;        // of a fact, whatever it claims
    double allOriginsMost = 128;  // of a box and zone
    Micros ageMost = 600 * 1000000LL;
    std::size_t factsMost = 65536, originsMost = 32, boxesMost = 8192;
};

struct MergeCounts {
    std::size_t taken = 0, known = 0, refused = 0;
};

// A sum as the module may be told it: aged, all origins together.
struct RecalledSum {
    std::string box, zone;
    double tries = 0, failed = 0;
    Micros mean = 0;
};

class Knowledge {
public:
    Knowledge(std::string self, std::uint64_t incarnation, KnowledgeRules rules = {});

    // Own sight, of just now.
    void saw(const std::string& box, const std::string& zone, std::int64_t bootMs, std::uint32_t tries,
             std::uint32_t failed, Micros mean, Micros now);
    // Our own list: what it names is there, with this boot and state; what it does not name is not.
    struct Listed {
        ServerState state = ServerState::ready;
        std::int64_t bootMs = 0;
    };
    void listSays(std::uint64_t version, const std::map<std::string, Listed>& all);

    // `transit`: the whole time from asking to having it, by our clock.
    MergeCounts merge(const Handover& handover, Micros transit, Micros now);
    [[nodiscard]] Handover handOver(Micros now) const;

    // Of boxes that our list has ready, with the boot that it has.
    [[nodiscard]] std::vector<RecalledSum> recalled(Micros now) const;
    // Boxes that our list has ready, and a newer list than ours did not. None at all if that would be every
    // box that is ready: such a list is of another fleet, and no planner may be left without a box.
    [[nodiscard]] std::set<std::string> heldBack() const;
    // What is too old to say anything.
    void forget(Micros now);

    [[nodiscard]] double weightOf(std::uint32_t tries, Micros age) const;
    [[nodiscard]] std::size_t facts() const { return sums_.size(); }
    [[nodiscard]] std::uint64_t listVersion() const { return version_; }

private:
    using Place = std::tuple<std::string, std::string, std::string>;  // box, zone, origin
    struct Held {
        std::int64_t bootMs = 0;
        Word word;
        Micros born = 0;  // in our steady time
        std::uint32_t tries = 0, failed = 0;
        Micros mean = 0;
    };
    [[nodiscard]] bool sane(const SumFact& fact) const;
    [[nodiscard]] bool take(const Place& place, const Held& held);

    const std::string self_;
    const std::uint64_t incarnation_;
    const KnowledgeRules rules_;
    std::uint64_t number_ = 0, version_ = 0;
    std::map<Place, Held> sums_;
    std::map<std::string, ListedFact> others_;  // of lists newer than ours
    std::map<std::string, Listed> list_;        // ours
    std::set<std::string> origins_;
};

}  // namespace marldale::recovery
