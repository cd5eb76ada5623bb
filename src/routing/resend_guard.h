// A call whose outcome is unknown may have been carried out, and its first copy may still wait in the
// channel. Sent again at once it must not break the queue rule: so many lines in the channel, so many
// messages to one proxy within a span. What a call costs is bounded from above, as if it concerned every
// proxy.
#pragma once

#include <algorithm>
#include <deque>

#include "policy/types.h"
#include "routing/clock.h"
#include "routing/limits.h"

namespace marldale::routing {

class ResendGuard {
public:
    explicit ResendGuard(const Settings& settings)
        : messagesMost_(settings.messagesMost),
          messagesOver_(settings.messagesOver),
          spareLines_(settings.backlogLines * limits::kSpareBacklog),
          pushRate_(settings.pushRate) {}

    void sent(SteadyTime now, double linesAtMost) {
        times_.push_back(now);
        lines_ = linesAtMost;
        while (times_.size() > std::max(1U, messagesMost_)) times_.pop_front();
    }
    // How long the last call has to wait before it may be sent again.
    [[nodiscard]] std::chrono::microseconds wait(SteadyTime now) const {
        using Us = std::chrono::microseconds;
        Us wait{0};
        if (times_.empty()) return wait;
        if (messagesMost_ > 0 && times_.size() >= messagesMost_) {
            wait = std::chrono::duration_cast<Us>(times_.front() + Us{messagesOver_} - now);
        }
        if (lines_ > spareLines_ && pushRate_ > 0) {
            const Us drained{static_cast<Us::rep>(lines_ / pushRate_ * 1e6)};
            wait = std::max(wait, std::chrono::duration_cast<Us>(times_.back() + drained - now));
        }
        return std::max(wait, Us{0});
    }

private:
    std::uint32_t messagesMost_;
    Micros messagesOver_;
    double spareLines_, pushRate_;
    std::deque<SteadyTime> times_;  // of the last calls, as many as one proxy may get messages
    double lines_ = 0;              // of the last one
};

}  // namespace marldale::routing
