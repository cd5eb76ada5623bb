// Limit on the number of events in any time window of a fixed length. It stores the times of the latest
// events, so it suits small limits.
#pragma once

#include <cstddef>
#include <vector>

#include "policy/types.h"

namespace marldale::upstream {

// Sliding-window limit.
class SlidingLimit {
public:
    // Sets the number of events per window; the newest recorded events are kept as far as they fit.
    void setMaxCount(std::size_t maxCount) {
        if (maxCount == times_.size()) return;
        std::vector<Micros> kept(maxCount, kLongAgo);
        const std::size_t old = times_.size();
        for (std::size_t k = 0; k < maxCount && k < old; ++k) {
            kept[maxCount - 1 - k] = times_[(next_ + old - 1 - k) % old];  // newest last
        }
        times_ = std::move(kept);
        next_ = 0;
    }
    [[nodiscard]] bool allows(Micros now, Micros span) const {
        return !times_.empty() && times_[next_] + span <= now;
    }
    void count(Micros now) {
        if (times_.empty()) return;
        times_[next_] = now;
        next_ = (next_ + 1) % times_.size();
    }

private:
    static constexpr Micros kLongAgo = -3600000000;
    std::vector<Micros> times_;
    std::size_t next_ = 0;  // index of the oldest
};

}  // namespace marldale::upstream
