// When an ending edge proxy still takes requests, and when it ends. No I/O; times are points of one clock, in
// microseconds.
#pragma once

#include <algorithm>

#include "policy/types.h"

namespace marldale::edge_proxy {

class TerminationSchedule {
public:
    /// SIGTERM has come; the process is killed `grace` later.
    void begin(Micros now, Micros grace) {
        begunAt_ = now;
        serveUntil_ =
            now + std::min(kServeFor, static_cast<Micros>(static_cast<double>(grace) * kServeShare));
        endAt_ = now + std::max<Micros>(0, grace - kEndMargin);
        acceptUntil_ = std::max(serveUntil_, endAt_ - kLastRequestMargin);
        lastMoment_ = now + std::max<Micros>(0, grace - kKillMargin);
        begun_ = true;
    }
    [[nodiscard]] bool begun() const { return begun_; }
    [[nodiscard]] Micros begunAt() const { return begunAt_; }
    /// Until then requests are served as before: the platform, which looks at readiness, may still send.
    [[nodiscard]] Micros serveUntil() const { return serveUntil_; }
    /// Until then connections are accepted. Later ones are refused by the operating system, before a request
    /// is sent on them that might come too late to be answered.
    [[nodiscard]] Micros acceptUntil() const { return acceptUntil_; }
    /// From then on nothing is sent to servers any more; answers that come, or are being written, have until
    /// `lastMoment`.
    [[nodiscard]] Micros endAt() const { return endAt_; }
    /// The process ends then, whatever is under way.
    [[nodiscard]] Micros lastMoment() const { return lastMoment_; }
    /// No further attempt may begin.
    [[nodiscard]] bool isOver(Micros now) const { return begun_ && now >= endAt_; }
    /// Whether a request that is read now may be sent to a server. After `serveUntil` only if it is over
    /// before the end in any case, since its client waits until `deadline` at most: a server that has begun
    /// work can't be taken back, and an answer that comes after the end reaches nobody.
    [[nodiscard]] bool takes(Micros now, Micros deadline) const {
        return !begun_ || now < serveUntil_ || deadline + kAnswerMargin <= endAt_;
    }

private:
    // What is tuned.
    static constexpr Micros kServeFor = 2500000;  // the platform has missed two looks by then
    static constexpr double kServeShare = 0.45;   // of the grace, if that is less
    static constexpr Micros kEndMargin = 300000;  // before the grace ends
    // A request may wait so long at this machine's link.
    static constexpr Micros kLastRequestMargin = 700000;
    static constexpr Micros kKillMargin = 150000;    // before the process would be killed
    static constexpr Micros kAnswerMargin = 100000;  // from a deadline until its answer has left

    bool begun_ = false;
    Micros begunAt_ = 0, serveUntil_ = 0, acceptUntil_ = 0, endAt_ = 0, lastMoment_ = 0;
};

}  // namespace marldale::edge_proxy
