#include "routing/pending_call.h"

namespace marldale::routing {

PendingCall::Verdict PendingCall::answered(const protocol::Answer& answer) {
    if (const auto* taken = std::get_if<protocol::Taken>(&answer)) {
        const bool halted = taken->orders < count_;
        advance(taken->orders);
        if (!halted) return {};
        // It halts at an order that it can't use, a proxy that has just left, say. The rest still counts.
        return drop();
    }
    if (std::holds_alternative<protocol::Busy>(answer)) return {Next::waitAndSendAgain, {}};
    if (std::holds_alternative<protocol::Syntax>(answer)) {
        // One order spoils the line: it is found by halves, so that the others still arrive.
        if (count_ > 1) {
            count_ /= 2;
            return {};
        }
        return drop();
    }
    return {Next::sendAgainOnNewConnection, {}};
}

PendingCall::Verdict PendingCall::drop() {
    Verdict verdict{Next::goOn, orders_[first_]};
    advance(1);
    return verdict;
}

}  // namespace marldale::routing
