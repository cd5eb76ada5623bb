// Groups recorded entries into chains: the tries by which one client pursued one request.
//
// Entries with a request id belong together if they have the same id and class. Without an id, an entry
// continues the last one of the same client, class and target if that one has ended, its response makes
// clients retry, and no more time has passed than clients wait. Entries must be added in the order of their
// start.
#pragma once

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include "attempts/outcome.h"

namespace marldale::attempts {

/// One recorded entry.
struct Try {
    Micros at = 0;                                        // its start
    Micros took = -1;                                     // -1: not recorded
    std::uint64_t client = 0, target = 0, requestId = 0;  // hashes; 0: unknown
    std::uint32_t classIndex = 0;
    Answer answer;
};

/// When a try without a request id continues a chain.
struct ChainRule {
    Micros maxGap = 10 * 1000000;  // from the end of one try to the start of the next
    unsigned maxTries = 4;
};

/// An entry's place among the chains.
struct Link {
    std::uint64_t chain = 0;  // from 1
    unsigned number = 0;      // of the try within its chain, from 0
    bool operator==(const Link&) const = default;
};

struct ChainSettings {
    std::vector<ChainRule> byClass;       // by class index; the last one holds for all further classes
    Micros timestampResolution = 0;       // a try may seem to start this much before the end of the last one
    Micros idLifetime = 600 * 1000000LL;  // how long a request id is remembered
    std::size_t maxOpen = 1U << 20U;
};

/// Assigns entries to chains, with bounded memory.
class ChainJoiner {
public:
    explicit ChainJoiner(ChainSettings settings);

    /// The chain that the entry belongs to: an open one that it continues, or a new one.
    [[nodiscard]] Link add(const Try& entry);

    /// The number of chains so far.
    [[nodiscard]] std::uint64_t chains() const { return lastChain_; }
    /// The number of chains that a later entry may continue.
    [[nodiscard]] std::size_t open() const { return byId_.size() + byTarget_.size(); }
    /// The number of chains that were forgotten early because too many were open.
    [[nodiscard]] std::uint64_t forgottenEarly() const { return forgottenEarly_; }

private:
    // By request id: the id and 0. By target: client and target.
    struct Key {
        std::uint64_t a = 0, b = 0;
        std::uint32_t classIndex = 0;
        bool operator==(const Key&) const = default;
    };
    struct HashKey {
        std::size_t operator()(const Key& key) const;
    };
    // The last try of a chain that may go on.
    struct Open {
        Link link;
        Micros end = 0, start = 0;
        bool retryExpected = false;
    };
    struct Expiry {
        Key key;
        Micros at = 0;  // start of the try that it was queued for
        bool byId = false;
    };
    using Table = std::unordered_map<Key, Open, HashKey>;

    [[nodiscard]] const ChainRule& ruleOf(std::uint32_t classIndex) const;
    Link join(Table& table, const Key& key, const Try& entry, bool byId);
    [[nodiscard]] bool continues(const Open& open, const Try& entry, bool byId) const;
    void expire(Micros now);

    ChainSettings settings_;
    Micros longestGap_ = 0;
    Table byId_, byTarget_;
    std::deque<Expiry> expiries_;  // in the order of their tries
    std::uint64_t lastChain_ = 0, forgottenEarly_ = 0;
};

}  // namespace marldale::attempts
