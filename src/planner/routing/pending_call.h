// The orders of one turn on their way to the relay: what has been taken, what is to be sent next.
#pragma once

#include <string>
#include <vector>

#include "protocol/relay.h"

namespace marldale::routing {

class PendingCall {
public:
    explicit PendingCall(std::vector<std::string> orders)
        : orders_(std::move(orders)), count_(protocol::ordersThatFit(orders_, 0)) {}

    [[nodiscard]] bool done() const { return first_ >= orders_.size(); }
    // The next line to send. Until an answer settles it, it is the same line: whether the first copy was
    // carried out is not known, and no later order may go before it.
    [[nodiscard]] std::string line() const { return protocol::applyLine(orders_, first_, count_); }

    enum class Next { goOn, waitAndSendAgain, sendAgainOnNewConnection };
    // What follows from an answer; the text names an order that had to be dropped, or is empty.
    struct Verdict {
        Next next = Next::goOn;
        std::string dropped;
    };
    [[nodiscard]] Verdict answered(const protocol::Answer& answer);
    [[nodiscard]] std::size_t count() const { return count_; }

private:
    Verdict drop();  // of the next order
    void advance(std::size_t by) {
        first_ += by;
        count_ = protocol::ordersThatFit(orders_, first_);
    }

    std::vector<std::string> orders_;
    std::size_t first_ = 0, count_ = 0;
};

}  // namespace marldale::routing
