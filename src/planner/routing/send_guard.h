// When a call may be sent without breaking the queue rule: so many lines in the channel, so many messages to
// one proxy within a span. A call whose outcome is unknown may have been carried out, and its first copy may
// still wait in the channel; sent again it counts again, for itself and for every call that follows. What a
// call costs is bounded from above: as if it concerned every proxy in lines, and everybody in its audience in
// messages.
#pragma once

#include <algorithm>
#include <string>
#include <vector>

#include "dispatch/message_ledger.h"
#include "policy/types.h"
#include "routing/clock.h"
#include "routing/limits.h"

namespace marldale::routing {

// What one turn brings to the platform's relay.
struct OrderCall {
    std::vector<std::string> orders;
    double linesAtMost = 0;         // that it puts into the channel
    std::vector<ProxyId> audience;  // proxies that it may concern
};

class SendGuard {
public:
    explicit SendGuard(const Settings& settings)
        : messages_(settings.messagesMost, settings.messagesOver, limits::kArrivalJitter.count()),
          spareLines_(settings.backlogLines * limits::kSpareBacklog),
          pushRate_(settings.pushRate) {}

    void sent(SteadyTime now, const OrderCall& call) {
        messages_.sent(call.audience, micros(now));
        last_ = now;
    }
    // How long a call has to wait before it may be sent; `again`: an earlier copy of it may have been carried
    // out.
    [[nodiscard]] std::chrono::microseconds wait(SteadyTime now, const OrderCall& call, bool again) const {
        using Us = std::chrono::microseconds;
        Us wait{messages_.earliest(call.audience, micros(now)) - micros(now)};
        if (again && call.linesAtMost > spareLines_ && pushRate_ > 0) {
            const Us drained{static_cast<Us::rep>(call.linesAtMost / pushRate_ * 1e6)};
            wait = std::max(wait, std::chrono::duration_cast<Us>(last_ + drained - now));
        }
        return std::max(wait, Us{0});
    }

private:
    [[nodiscard]] static Micros micros(SteadyTime at) {
        return std::chrono::duration_cast<std::chrono::microseconds>(at.time_since_epoch()).count();
    }

    dispatch::MessageLedger messages_;
    double spareLines_, pushRate_;
    SteadyTime last_{};  // when the last call was sent
};

}  // namespace marldale::routing
