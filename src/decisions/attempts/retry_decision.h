// May a request be tried again? One function for whoever forwards or replays, with its reason. No I/O.
#pragma once

#include <cstdint>

#include "policy/types.h"

namespace marldale::attempts {

// What the end of a try proves of its having run.
enum class Proof : std::uint8_t {
    ran,      // the box has answered
    notRun,   // it could not be dialled, not a byte left, or the box says so
    unknown,  // anything else
};

// What is left of a request's body.
enum class BodyState : std::uint8_t {
    whole,     // there is none, or all of it is kept
    arriving,  // all that came is kept, and the rest will follow
    gone,      // a part is kept no more, or was found damaged
};

struct RetryContext {
    Proof proof = Proof::unknown;
    bool failed = true;  // the answer, if there was one, is one to try again after (5xx)
    Repeat repeat = Repeat::fragile;
    // Of dedup: it carries a key, and its first try was sent so long ago. The window is the boxes'; clocks
    // may differ by `clockError`, which is taken off it.
    bool hasKey = false;
    Micros sinceFirst = 0, window = 0, clockError = 0;
    BodyState body = BodyState::whole;
    unsigned tries = 1;   // made so far
    unsigned mode = 0;    // the planner's order: 0 never, 1 once if proven not to have run, 2 once, 3 twice
    Micros timeLeft = 0;  // until its client gives up
};

enum class RetryDecision : std::uint8_t {
    retry,
    answered,    // well, or by a refusal that is the client's to hear
    notOrdered,  // the planner orders no more tries
    noTime,      // its client has given up, or will have
    bodyGone,
    mayHaveRun,  // and must not run twice
    windowOver,  // dedup: no box is sure to remember its key any more
    noBudget,    // of tries: class, client, box, all, or the storm breaker
};
[[nodiscard]] const char* name(RetryDecision why);

// Everything but the budget, which is asked last and only if this says `retry`.
[[nodiscard]] RetryDecision decideRetry(const RetryContext& question);

// Further tries that an order allows, the first one included.
[[nodiscard]] constexpr unsigned maxTries(unsigned mode) { return mode == 0 ? 1 : mode == 3 ? 3 : 2; }

}  // namespace marldale::attempts
