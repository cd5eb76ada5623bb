// Schedules the queries with which a starting planner asks its peers for their facts. No I/O; time is a
// parameter. The planner does not wait for the answers: it makes decisions from its first turn and uses each
// answer when it arrives.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "policy/types.h"

namespace marldale::recovery {

// Time limits of the queries.
struct PeerQuerySettings {
    // time after the start in which queries are sent and recalled sums are used
    Micros window = 10 * 1000000LL;
    Micros responseTimeout = 2 * 1000000LL;
    // after a failed query or an answer that was not useful; doubled with each attempt
    Micros retryDelay = 1000000;
    unsigned maxConcurrent = 3;  // queries in flight
    // a handover is cached this long; peers that ask in this time get the same one
    Micros handoverCacheTime = 250000;
};

// Which peers to query, and when.
class PeerQueries {
public:
    PeerQueries(PeerQuerySettings rules, std::uint64_t seed, Micros now);

    // Adds a peer; does nothing if it is known already.
    void addPeer(const std::string& peer, Micros now);
    // Returns the peers to query now and marks them as pending. Queries that have timed out fail here.
    [[nodiscard]] std::vector<std::string> takeDue(Micros now);
    // Ends a pending query. `useful`: the answer had facts about servers in this planner's server list.
    // A peer that had none (it may have just started) or that failed is queried again later.
    void finish(const std::string& peer, bool useful, Micros now);
    void fail(const std::string& peer, Micros now) { finish(peer, false, now); }
    // Whether a query to this peer is in flight. Answers that nobody asked for are ignored.
    [[nodiscard]] bool isPending(const std::string& peer) const;

    // Whether every peer has given a useful answer, or the window has passed.
    [[nodiscard]] bool finished(Micros now) const;
    [[nodiscard]] bool windowOpen(Micros now) const { return now < startedAt_ + rules_.window; }
    // The earliest time at which `takeDue` may return a peer or time out a query.
    [[nodiscard]] std::optional<Micros> nextDue(Micros now) const;

private:
    struct Peer {
        bool pending = false, done = false;
        Micros at = 0;  // if pending: when the query was sent; otherwise: when the next one may be sent
        unsigned attempts = 0;
        std::uint64_t tieBreak = 0;  // random order among peers with the same number of attempts
    };
    const PeerQuerySettings rules_;
    const Micros startedAt_;
    std::uint64_t rngState_;
    std::map<std::string, Peer> peers_;
};

}  // namespace marldale::recovery
