#include "routing/relay_calls.h"

namespace marldale::routing {

RelayCalls::RelayCalls(transport::Loop& loop, transport::Address relay, const Settings& settings,
                       std::function<void()> done, Logger log)
    : done_(std::move(done)),
      log_(std::move(log)),
      backoff_(settings.seed),
      again_(loop, [this] { ready_ ? send() : link_.dial(); }),
      answer_(loop, [this] { lost("no answer in time"); }),
      link_(loop, std::move(relay), limits::kAnswerLineMost, limits::kCallBuffer, handlers()),
      guard_(settings) {
    link_.dial();
}

LineLink::Handlers RelayCalls::handlers() {
    LineLink::Handlers out;
    out.up = [this] {
        ready_ = true;
        send();
    };
    out.line = [this](std::string_view line) { return onLine(line); };
    out.lost = [this](const std::string& why) { lost(why); };
    return out;
}

void RelayCalls::call(OrderCall call) {
    call_ = std::move(call);
    pending_.emplace(std::move(call_.orders));
    send();
}

void RelayCalls::moveTo(const transport::Address& relay) {
    link_.moveTo(relay);
    moved_ = true;
    if (!asked_) redial();
}

void RelayCalls::redial() {
    ready_ = moved_ = false;
    link_.drop();
    again_.after(transport::Millis{0});  // from the loop: a line of the old connection may be in hand
}

// The connection is of no use any more. One that ends while nothing is out was only idle: the relay closes
// those, and the next call shall find a new one standing.
void RelayCalls::lost(const std::string& why) {
    const bool idle = ready_ && !asked_;
    if (asked_) {
        unknown_ = true;
        log_("calls", "the outcome of a call is unknown: " + why);
    } else if (!idle && backoff_.failures() <= 1) {  // further failures are counted, and told at the end
        log_("calls", "no relay: " + why);
    }
    ready_ = asked_ = moved_ = false;
    answer_.cancel();
    link_.drop();
    // Not at once: a relay that closes whatever it accepts must not make us spin.
    again_.after(idle ? limits::kRedialLeast : backoff_.failed());
}

void RelayCalls::send() {
    if (!pending_ || !ready_ || asked_) return;
    const SteadyTime now = SteadyTime::clock::now();
    const auto wait = guard_.wait(now, call_, unknown_);
    if (wait.count() > 0) return again_.after(std::chrono::ceil<transport::Millis>(wait));
    unknown_ = false;
    guard_.sent(now, call_);
    asked_ = true;
    answer_.after(limits::kAnswer);
    if (!link_.say(pending_->line())) lost("its buffer is full");
}

bool RelayCalls::onLine(std::string_view line) {
    if (!asked_) {
        lost("a line that nobody asked for");
        return false;
    }
    const auto answer = protocol::parseAnswer(line, pending_->count());
    if (std::holds_alternative<protocol::Syntax>(answer)) log_("calls", "the relay answers SYNTAX");
    const auto verdict = pending_->answered(answer);
    if (verdict.next == PendingCall::Next::sendAgainOnNewConnection) {
        lost("an answer that can't be read");
        return false;
    }
    asked_ = false;
    answer_.cancel();
    settle(verdict);
    return ready_;
}

void RelayCalls::settle(const PendingCall::Verdict& verdict) {
    if (!verdict.dropped.empty()) log_("calls", "an order was not taken and is dropped: " + verdict.dropped);
    if (moved_) {
        redial();
    } else if (verdict.next == PendingCall::Next::waitAndSendAgain) {
        return again_.after(limits::kBusyAgain);
    }
    if (const int failures = backoff_.succeeded(); failures > 0) {
        log_("calls", "the relay answers again, after " + std::to_string(failures) + " failures");
    }
    if (!pending_->done()) return send();
    pending_.reset();
    done_();
}

}  // namespace marldale::routing
