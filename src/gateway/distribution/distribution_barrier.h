// Waits until no edge proxy of a controller acts on a view from before a given distribution turn: each proxy
// has applied what the turn sent it, or its lease on the older view has expired. No I/O; time is a parameter,
// in microseconds of one steady clock.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>

#include "policy/types.h"

namespace marldale::distribution {

/// Calls back once all proxies have moved past a distribution turn.
class DistributionBarrier {
public:
    using Turn = std::uint64_t;
    static constexpr Turn kNoTurn = UINT64_MAX;

    /// `lease`: how long a proxy may act on its view after the last message from its controller
    /// (settings::viewLease).
    explicit DistributionBarrier(Micros lease) : lease_(lease) {}

    /// Calls `callback` once all proxies have passed this turn, at the next `update` at the earliest. The
    /// callback is dropped if this takes longer than twice the lease, for example if the turn's frames are
    /// never sent.
    void wait(Turn turn, Micros now, std::function<void()> callback);
    /// Must be called after each turn and each acknowledgement. `sent`: all frames up to this turn have been
    /// sent. `unanswered`: the oldest turn that some proxy has not acknowledged; kNoTurn if there is none.
    void update(Micros now, Turn sent, Turn unanswered);
    /// Returns when the next awaited lease expires; INT64_MAX if none is awaited.
    [[nodiscard]] Micros nextDue() const;

private:
    struct Sent {
        Turn turn = 0;
        Micros at = 0;
    };
    struct Waiting {
        Micros deadline = 0;
        std::function<void()> callback;
    };
    void recordSent(Micros now, Turn sent);

    Micros lease_;
    std::deque<Sent> sent_;  // turns sent within the last lease duration, in order
    Turn lastSent_ = 0;
    Turn lastExpired_ = 0;  // leases on views from before this turn have expired
    std::multimap<Turn, Waiting> waiting_;
};

}  // namespace marldale::distribution
