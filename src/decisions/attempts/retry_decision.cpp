#include "attempts/retry_decision.h"

namespace marldale::attempts {
namespace {

// Whether a second run does no harm.
bool mayRunTwice(const RetryContext& q) {
    if (q.repeat == Repeat::retryable) return true;
    return q.repeat == Repeat::dedup && q.hasKey && q.sinceFirst >= 0 &&
           q.sinceFirst + q.clockError < q.window;
}

}  // namespace

const char* name(RetryDecision why) {
    switch (why) {
        case RetryDecision::retry: return "again";
        case RetryDecision::answered: return "it was answered";
        case RetryDecision::notOrdered: return "no more tries are ordered";
        case RetryDecision::noTime: return "there is no time left";
        case RetryDecision::bodyGone: return "its body is gone";
        case RetryDecision::mayHaveRun: return "it may have run, and must not run twice";
        case RetryDecision::windowOver: return "its key may be forgotten";
        case RetryDecision::noBudget: return "there are too many repeats";
    }
    return "?";
}

RetryDecision decideRetry(const RetryContext& q) {
    if (q.proof == Proof::ran && !q.failed) return RetryDecision::answered;
    if (q.tries >= maxTries(q.mode)) return RetryDecision::notOrdered;
    // Mode 1 repeats only what has not run.
    if (q.mode < 2 && q.proof != Proof::notRun)
        return q.proof == Proof::ran ? RetryDecision::answered : RetryDecision::notOrdered;
    if (q.timeLeft <= 0) return RetryDecision::noTime;
    if (q.body == BodyState::gone) return RetryDecision::bodyGone;
    if (q.proof == Proof::notRun || mayRunTwice(q)) return RetryDecision::retry;
    return q.repeat == Repeat::dedup && q.hasKey ? RetryDecision::windowOver : RetryDecision::mayHaveRun;
}

}  // namespace marldale::attempts
