// Which recorded entries are tries of one intent: one client's wish for one thing.
//
// With a request id: the same id of the same class. Without: the same client, class and target, where the try
// before invites another, has ended, and lies no further back than clients wait. Entries come in the order of
// their start.
#pragma once

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include "attempts/outcome.h"

namespace marldale::attempts {

struct Try {
    Micros at = 0;                                        // its start
    Micros took = -1;                                     // -1: not told
    std::uint64_t client = 0, target = 0, requestId = 0;  // hashes; 0: not known
    std::uint32_t classIndex = 0;
    Answer answer;
};

struct ChainRule {
    Micros maxGap = 10 * 1000000;  // from one try's end to the next one's start
    unsigned maxTries = 4;
};

struct Link {
    std::uint64_t chain = 0;  // from 1
    unsigned number = 0;      // of the try within its chain, from 0
    bool operator==(const Link&) const = default;
};

struct ChainSettings {
    std::vector<ChainRule> byClass;  // the last one stands for all that follow
    Micros timestampResolution =
        0;  // of the stamps: a try may seem to start this much before the last one's end
    Micros idKept = 600 * 1000000LL;  // how long a request id is remembered
    std::size_t openMost = 1U << 20U;
};

class ChainJoiner {
public:
    explicit ChainJoiner(ChainSettings settings);

    [[nodiscard]] Link add(const Try& seen);

    [[nodiscard]] std::uint64_t chains() const { return last_; }
    [[nodiscard]] std::size_t open() const { return byId_.size() + byTarget_.size(); }
    // Chains given up because too many were open at once.
    [[nodiscard]] std::uint64_t forgottenEarly() const { return forgottenEarly_; }

private:
    struct Key {
        std::uint64_t a = 0, b = 0;
        std::uint32_t classIndex = 0;
        bool operator==(const Key&) const = default;
    };
    struct HashKey {
        std::size_t operator()(const Key& key) const;
    };
    struct Open {
        Link link;
        Micros end = 0, start = 0;
        bool invites = false;
    };
    struct Due {
        Key key;
        Micros at = 0;
        bool id = false;
    };
    using Table = std::unordered_map<Key, Open, HashKey>;

    [[nodiscard]] const ChainRule& ruleOf(std::uint32_t classIndex) const;
    Link join(Table& table, const Key& key, const Try& seen, bool byId);
    [[nodiscard]] bool continues(const Open& open, const Try& seen, bool byId) const;
    void forget(Micros now);

    ChainSettings settings_;
    Micros longestGap_ = 0;
    Table byId_, byTarget_;
    std::deque<Due> due_;  // in the order of their last try
    std::uint64_t last_ = 0, forgottenEarly_ = 0;
};

}  // namespace marldale::attempts
