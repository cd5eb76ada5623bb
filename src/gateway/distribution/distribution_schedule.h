// Decides when a controller runs a distribution turn: immediately after an idle period, otherwise once per
// interval, so that changes in quick succession are sent as one difference. No I/O.
#pragma once

#include <algorithm>
#include <cstdint>

#include "policy/types.h"

namespace marldale::distribution {

/// Rate limits distribution turns.
class DistributionSchedule {
public:
    /// `apply`: the time within which a change has to be in force at every proxy.
    explicit DistributionSchedule(Micros apply) : interval_(apply / kTurnsPerApplyTime) {}

    /// Requests a turn for a normal change.
    void request(Micros now) { due_ = std::min(due_, std::max(now, lastTurn_ + interval_)); }
    /// Requests a turn for an urgent change, such as a server that must not get any more requests. It is
    /// delayed only to merge urgent changes that arrive together.
    void requestUrgent(Micros now) {
        due_ = std::min(due_, std::max(now, lastTurn_ + interval_ / kUrgentTurnsPerInterval));
    }
    /// Requests a turn at the given time.
    void requestAt(Micros due) { due_ = std::min(due_, due); }
    /// Returns whether a turn is due.
    [[nodiscard]] bool due(Micros now) const { return now >= due_; }
    /// Returns the time of the next turn; INT64_MAX if none is requested.
    [[nodiscard]] Micros nextDue() const { return due_; }
    /// Records that a turn ran; it covers all earlier requests.
    void recordTurn(Micros now) {
        due_ = INT64_MAX;
        lastTurn_ = now;
    }
    /// Returns the interval between turns under load.
    [[nodiscard]] Micros interval() const { return interval_; }

private:
    // An acknowledgement arrives within a fraction of `apply`, and changes that waited for it are sent one
    // interval later.
    static constexpr Micros kTurnsPerApplyTime = 20;
    static constexpr Micros kUrgentTurnsPerInterval = 5;

    Micros interval_;
    Micros due_ = INT64_MAX;
    Micros lastTurn_ = INT64_MIN / 2;
};

}  // namespace marldale::distribution
