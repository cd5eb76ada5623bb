// Waits until no edge proxy of a controller acts on a view from before a turn of distribution: each has put
// into force what the turn sent it, or its lease on the older view has run out. No I/O; time is a parameter,
// in microseconds of one steady clock.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>

#include "policy/types.h"

namespace marldale::distribution {

class DistributionBarrier {
public:
    using Turn = std::uint64_t;
    static constexpr Turn kNoTurn = UINT64_MAX;

    /// `lease`: so long after the last word of its controller a proxy may act on its view
    /// (settings::viewLease).
    explicit DistributionBarrier(Micros lease) : lease_(lease) {}

    /// Calls `then` once all proxies have passed this turn, from the next `update` on. It is never called if
    /// that takes over twice the lease, as where the turn's frames don't leave.
    void wait(Turn turn, Micros now, std::function<void()> then);
    /// To be called after each turn and each answer. `sent`: all frames up to this turn have left.
    /// `unanswered`: the oldest turn that a proxy was sent and has not answered; kNoTurn if there is none.
    void update(Micros now, Turn sent, Turn unanswered);
    /// When a lease runs out that is waited for; INT64_MAX where none is.
    [[nodiscard]] Micros nextDue() const;

private:
    struct Sent {
        Turn turn = 0;
        Micros at = 0;
    };
    struct Waiting {
        Micros until = 0;
        std::function<void()> then;
    };
    void noteSent(Micros now, Turn sent);

    Micros lease_;
    std::deque<Sent> sent_;  // within the last lease, by turn
    Turn lastSent_ = 0;
    Turn leaseOver_ = 0;  // leases on views from before this turn have run out
    std::multimap<Turn, Waiting> waiting_;
};

}  // namespace marldale::distribution
