// Runs distribution alongside the other work of an event loop, in short slices that are queued behind the
// work that is already ready. No I/O; the host provides the event loop, the clock and the links.
#pragma once

#include <functional>

#include "gateway/distribution/distribution_schedule.h"
#include "gateway/distribution/outbox.h"

namespace marldale::distribution {

/// What the distribution loop needs from the process that runs it.
class DistributionHost {
public:
    DistributionHost() = default;
    DistributionHost(const DistributionHost&) = delete;
    DistributionHost& operator=(const DistributionHost&) = delete;
    virtual ~DistributionHost() = default;

    /// Returns the current time of a steady clock.
    [[nodiscard]] virtual Micros now() const = 0;
    /// Queues a step behind the work that the event loop has ready now.
    virtual void post(std::function<void()> step) = 0;
    /// Returns when the next timer is due. Heartbeats and the replicated log's timers have priority over
    /// distribution.
    [[nodiscard]] virtual Micros timersDue() const = 0;
    /// Runs the timers that are due.
    virtual void runTimers() = 0;
    /// Adds the resource frames of one distribution turn to the outbox.
    virtual void distribute(Micros now) = 0;
    /// Returns when the next planner turn is due.
    [[nodiscard]] virtual Micros modulesDue() const = 0;
    /// Runs the planners that are due and adds their frames to the outbox.
    virtual void runModules(Micros now) = 0;
    /// Sends a frame on the link to its proxy.
    virtual void send(const OutgoingFrame& frame) = 0;
};

/// Schedules distribution turns and planner turns and sends their frames in slices.
class DistributionLoop {
public:
    DistributionLoop(DistributionHost& host, Micros apply, Outbox::Slice slice = {})
        : schedule(apply), host_(host), slice_(slice) {}

    DistributionSchedule schedule;
    Outbox outbox;

    /// Posts a slice if there is work to do and no slice is posted yet. Must be called after each change of
    /// the schedule, the outbox or the input of the planners.
    void wake() {
        if (posted_ || !ready()) return;
        posted_ = true;
        host_.post([this] {
            posted_ = false;
            runSlice();
            wake();
        });
    }
    /// Returns the latest time at which the loop has to be woken.
    [[nodiscard]] Micros nextDue() const { return std::min(schedule.nextDue(), host_.modulesDue()); }

private:
    [[nodiscard]] bool ready() const { return !outbox.empty() || nextDue() <= host_.now(); }
    void runSlice() {
        if (host_.now() >= host_.timersDue()) host_.runTimers();
        // A new turn starts only after the previous turn's frames have been sent, so that changes in the
        // meantime are merged and frames to a proxy stay in order.
        const Micros now = host_.now();
        if (outbox.empty() && schedule.due(now)) {
            schedule.recordTurn(now);
            host_.distribute(now);
        } else if (outbox.empty() && host_.modulesDue() <= now) {
            host_.runModules(now);
        }
        outbox.sendSlice(
            slice_, [this](const OutgoingFrame& frame) { host_.send(frame); },
            [this] { return host_.now(); });
    }

    DistributionHost& host_;
    Outbox::Slice slice_;
    bool posted_ = false;
};

}  // namespace marldale::distribution
