// Shutdown schedule of an edge proxy: until when it accepts requests, and when it ends. No I/O; times are
// points of one clock, in microseconds.
#pragma once

#include <algorithm>

#include "policy/types.h"

namespace marldale::edge_proxy {

/// The points in time between SIGTERM and the end of the process.
class TerminationSchedule {
public:
    /// SIGTERM has arrived; the process is killed `grace` later.
    void begin(Micros now, Micros grace) {
        begunAt_ = now;
        serveUntil_ =
            now + std::min(kMaxServeTime, static_cast<Micros>(static_cast<double>(grace) * kServeShare));
        endAt_ = now + std::max<Micros>(0, grace - kEndMargin);
        acceptUntil_ = std::max(serveUntil_, endAt_ - kLastRequestMargin);
        lastMoment_ = now + std::max<Micros>(0, grace - kKillMargin);
        begun_ = true;
    }
    [[nodiscard]] bool begun() const { return begun_; }
    [[nodiscard]] Micros begunAt() const { return begunAt_; }
    /// Requests are served as before until then: the platform, which polls readiness, may still send.
    [[nodiscard]] Micros serveUntil() const { return serveUntil_; }
    /// Connections are accepted until then. The operating system refuses later ones before a request that
    /// might be too late to answer is sent on them.
    [[nodiscard]] Micros acceptUntil() const { return acceptUntil_; }
    /// Nothing is sent to servers from then on; answers that arrive or are being written have until
    /// `lastMoment`.
    [[nodiscard]] Micros endAt() const { return endAt_; }
    /// The process ends then, whatever is pending.
    [[nodiscard]] Micros lastMoment() const { return lastMoment_; }
    /// No further attempt may begin.
    [[nodiscard]] bool isOver(Micros now) const { return begun_ && now >= endAt_; }
    /// Whether a request that is read now may be sent to a server. After `serveUntil` only if its deadline
    /// lies before the end: work begun by a server cannot be undone, and an answer after the end reaches no
    /// client.
    [[nodiscard]] bool accepts(Micros now, Micros deadline) const {
        return !begun_ || now < serveUntil_ || deadline + kAnswerMargin <= endAt_;
    }

private:
    static constexpr Micros kMaxServeTime = 2500000;  // two readiness polls have failed by then
    static constexpr double kServeShare = 0.45;       // of the grace period, if that is less
    static constexpr Micros kEndMargin = 300000;      // before the grace period ends
    // A request may be queued this long at this machine's network link.
    static constexpr Micros kLastRequestMargin = 700000;
    static constexpr Micros kKillMargin = 150000;    // before the process would be killed
    static constexpr Micros kAnswerMargin = 100000;  // from a deadline until its answer has been sent

    bool begun_ = false;
    Micros begunAt_ = 0, serveUntil_ = 0, acceptUntil_ = 0, endAt_ = 0, lastMoment_ = 0;
};

}  // namespace marldale::edge_proxy
