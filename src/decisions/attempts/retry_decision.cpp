#include "attempts/retry_decision.h"

namespace marldale::attempts {
namespace {

// Whether running the request a second time does no harm.
bool mayRunTwice(const RetryContext& context) {
    if (context.repeat == Repeat::retryable) return true;
    return context.repeat == Repeat::dedup && context.hasDedupKey && context.sinceFirstTry >= 0 &&
           context.sinceFirstTry + context.clockError < context.dedupWindow;
}

}  // namespace

const char* name(RetryDecision decision) {
    switch (decision) {
        case RetryDecision::retry: return "retry";
        case RetryDecision::answered: return "the response is final";
        case RetryDecision::notOrdered: return "the retry mode allows no more tries";
        case RetryDecision::noTime: return "no time is left";
        case RetryDecision::bodyGone: return "the body is no longer available";
        case RetryDecision::mayHaveRun: return "the request may have run and must not run twice";
        case RetryDecision::windowOver: return "the idempotency key may have expired";
        case RetryDecision::noBudget: return "the retry budget is exhausted";
    }
    return "?";
}

RetryDecision decideRetry(const RetryContext& context) {
    if (context.proof == Proof::ran && !context.failed) return RetryDecision::answered;
    if (context.tries >= maxTries(context.mode)) return RetryDecision::notOrdered;
    // Mode 1 retries only what has not run.
    if (context.mode < 2 && context.proof != Proof::notRun)
        return context.proof == Proof::ran ? RetryDecision::answered : RetryDecision::notOrdered;
    if (context.timeLeft <= 0) return RetryDecision::noTime;
    if (context.body == BodyState::gone) return RetryDecision::bodyGone;
    if (context.proof == Proof::notRun || mayRunTwice(context)) return RetryDecision::retry;
    return context.repeat == Repeat::dedup && context.hasDedupKey ? RetryDecision::windowOver
                                                                  : RetryDecision::mayHaveRun;
}

}  // namespace marldale::attempts
