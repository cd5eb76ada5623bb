// Decides whether a request may be retried, and if not, why. Everything that forwards requests uses this one
// function. No I/O.
#pragma once

#include <cstdint>

#include "policy/types.h"

namespace marldale::attempts {

/// What the end of a try proves about whether the request ran.
enum class Proof : std::uint8_t {
    ran,      // the box sent a response
    notRun,   // the connection failed, no byte was sent, or the box says that it did not run
    unknown,  // anything else
};

/// How much of a request's body can still be sent again.
enum class BodyState : std::uint8_t {
    whole,     // there is no body, or all of it is buffered
    arriving,  // everything received so far is buffered, and the rest will follow
    gone,      // a part is no longer buffered, or was found to be corrupt
};

/// Everything that decides about a retry, except the retry budgets.
struct RetryContext {
    Proof proof = Proof::unknown;
    bool failed = true;  // there was no response, or one that may be retried (5xx)
    Repeat repeat = Repeat::fragile;
    // For Repeat::dedup only: whether the request carries an idempotency key, the time since its first try
    // was sent, how long boxes remember keys, and by how much clocks may differ. The clock error shortens
    // the window.
    bool hasDedupKey = false;
    Micros sinceFirstTry = 0, dedupWindow = 0, clockError = 0;
    BodyState body = BodyState::whole;
    unsigned tries = 1;   // made so far
    unsigned mode = 0;    // set by the planner: 0 never, 1 once if proven not to have run, 2 once, 3 twice
    Micros timeLeft = 0;  // until the client gives up
};

/// The decision about a retry; every value but `retry` is a reason against it.
enum class RetryDecision : std::uint8_t {
    retry,
    answered,    // the response goes to the client: a success, or a refusal that the client must see
    notOrdered,  // the planner's mode allows no more tries
    noTime,      // the client has given up, or would have by then
    bodyGone,    // the body can't be sent again
    mayHaveRun,  // and the request must not run twice
    windowOver,  // Repeat::dedup: the boxes may have forgotten the key
    noBudget,    // a retry budget (total, class, client or box) is empty, or retries have surged
};
/// The decision as text, for logs and tests.
[[nodiscard]] const char* name(RetryDecision decision);

/// Decides on everything but the budgets. Callers ask those last, and only after `retry`, so that a retry
/// that is not made costs nothing.
[[nodiscard]] RetryDecision decideRetry(const RetryContext& context);

/// The number of tries, the first one included, that a retry mode allows.
[[nodiscard]] constexpr unsigned maxTries(unsigned mode) { return mode == 0 ? 1 : mode == 3 ? 3 : 2; }

}  // namespace marldale::attempts
