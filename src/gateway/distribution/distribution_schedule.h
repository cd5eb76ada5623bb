// When a controller distributes: at once where it has been idle, else once in an interval, so that changes
// which come in quick succession go out as one difference. No I/O.
#pragma once

#include <algorithm>
#include <cstdint>

#include "policy/types.h"

namespace marldale::distribution {

class DistributionSchedule {
public:
    /// `apply`: within this time a change is in force at every proxy.
    explicit DistributionSchedule(Micros apply) : interval_(apply / kTurnsWithinApply) {}

    /// Something is to go out.
    void request(Micros now) { due_ = std::min(due_, std::max(now, lastTurn_ + interval_)); }
    /// Something is to go out that waits for nothing but those that come with it: a server that may get no
    /// more requests.
    void requestUrgent(Micros now) {
        due_ = std::min(due_, std::max(now, lastTurn_ + interval_ / kUrgentTurnsInInterval));
    }
    /// A turn is wanted then.
    void requestAt(Micros due) { due_ = std::min(due_, due); }
    [[nodiscard]] bool due(Micros now) const { return now >= due_; }
    /// The time of the next turn; INT64_MAX where nothing is to go out.
    [[nodiscard]] Micros nextDue() const { return due_; }
    /// A turn takes all that was requested before it.
    void ran(Micros now) {
        due_ = INT64_MAX;
        lastTurn_ = now;
    }
    [[nodiscard]] Micros interval() const { return interval_; }

private:
    // A mark is answered within a fraction of `apply`, and what waited for it goes out one interval later.
    static constexpr Micros kTurnsWithinApply = 20;
    static constexpr Micros kUrgentTurnsInInterval = 5;

    Micros interval_;
    Micros due_ = INT64_MAX;
    Micros lastTurn_ = INT64_MIN / 2;
};

}  // namespace marldale::distribution
