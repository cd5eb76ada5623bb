// Schedules the queries of a starting planner to its peers for what they know. No I/O; time is a parameter.
// The planner does not wait for the answers: it serves from its first turn and uses each answer when it
// arrives.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "policy/types.h"

namespace marldale::recovery {

// Time limits of the queries.
struct PeerQueryRules {
    Micros window = 10 * 1000000LL;  // after the start; no query is sent and no recalled sum is used later
    Micros responseTimeout = 2 * 1000000LL;
    Micros retryDelay = 1000000;        // after an answer without use or none; doubled with each attempt
    unsigned maxConcurrent = 3;         // queries in flight
    Micros handoverCacheTime = 250000;  // peers that ask within it share one handover, which may be so old
};

// Which peers to query, and when.
class PeerQueries {
public:
    PeerQueries(PeerQueryRules rules, std::uint64_t seed, Micros now);

    // Adds a peer; does nothing if it is known already.
    void addPeer(const std::string& peer, Micros now);
    // Returns the peers to query now and marks them as pending. Queries that have timed out fail here.
    [[nodiscard]] std::vector<std::string> takeDue(Micros now);
    // Ends a pending query. `useful`: the answer had facts about servers in the own list. A peer without any,
    // because it has just started itself, is queried again later, as is one that failed.
    void finish(const std::string& peer, bool useful, Micros now);
    void fail(const std::string& peer, Micros now) { finish(peer, false, now); }
    // Whether a query to this peer is in flight. Answers that nobody asked for are ignored.
    [[nodiscard]] bool isPending(const std::string& peer) const;

    // Whether every peer has given a useful answer, or the window has passed.
    [[nodiscard]] bool finished(Micros now) const;
    [[nodiscard]] bool windowOpen(Micros now) const { return now < startedAt_ + rules_.window; }
    // When `takeDue` has something to do next.
    [[nodiscard]] std::optional<Micros> nextDue(Micros now) const;

private:
    struct Peer {
        bool pending = false, done = false;
        Micros at = 0;  // if pending: when the query was sent; otherwise: when the next one may be sent
        unsigned attempts = 0;
        std::uint64_t tieBreak = 0;  // random order among peers with the same number of attempts
    };
    const PeerQueryRules rules_;
    const Micros startedAt_;
    std::uint64_t random_;
    std::map<std::string, Peer> peers_;
};

}  // namespace marldale::recovery
