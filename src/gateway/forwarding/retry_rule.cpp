#include "gateway/forwarding/retry_rule.h"

#include <algorithm>

namespace marldale::forwarding {
namespace {

attempts::Proof proofOf(AttemptResult result) {
    switch (result) {
        case AttemptResult::connectFailed:
        case AttemptResult::unsent:
        case AttemptResult::refused:
        case AttemptResult::otherIncarnation: return attempts::Proof::notRun;
        case AttemptResult::failed:
        case AttemptResult::answered: return attempts::Proof::ran;
        case AttemptResult::broken:
        case AttemptResult::timedOut:
        case AttemptResult::invalid: break;
    }
    return attempts::Proof::unknown;
}

}  // namespace

void RetryRule::sent() {
    ++sends_;
    sending_ = true;
}

NextStep RetryRule::attemptEnded(AttemptResult result, Micros now) {
    // A connect failure reported after bytes may have been sent proves nothing.
    if (result == AttemptResult::connectFailed && sending_) result = AttemptResult::broken;
    if (result == AttemptResult::connectFailed) ++connectFailures_;
    sending_ = false;
    result_ = result;
    attempts::Proof proof = proofOf(result);
    if (faults_.retryAfterTimeout && result == AttemptResult::timedOut) proof = attempts::Proof::notRun;
    if (proof != attempts::Proof::notRun) mayHaveRun_ = true;
    if (connectFailures_ >= kMaxConnectFailures) return finalStep(now);

    attempts::RetryContext question;
    question.proof = proof;
    question.failed = result != AttemptResult::answered;
    question.repeat = repeatable() ? Repeat::retryable : Repeat::fragile;
    question.tries = sends_ < maxTries_ ? 1 : 2;  // mode 2 allows two
    question.mode = 2;
    question.timeLeft = deadline_ - now;
    if (attempts::decideRetry(question) == attempts::RetryDecision::retry) return NextStep::again;
    return finalStep(now);
}

NextStep RetryRule::finalStep(Micros now) const {
    if (result_ == AttemptResult::answered || result_ == AttemptResult::failed) return NextStep::pass;
    if (!mayHaveRun_) return faults_.badGatewayUnsent ? NextStep::badGateway : NextStep::refuse;
    if (faults_.refuseAfterSend) return NextStep::refuse;
    return now >= deadline_ ? NextStep::gatewayTimeout : NextStep::badGateway;
}

Micros RetryRule::attemptUntil(Micros now) const {
    const Micros left = std::max<Micros>(0, deadline_ - now);
    if (!repeatable() || sends_ >= maxTries_) return deadline_;
    return now + static_cast<Micros>(static_cast<double>(left) * kAttemptShare);
}

}  // namespace marldale::forwarding
