// Whether a request is tried again, and what its client is told in the end. No I/O.
//
// A try is proven not to have run only where
//   - the box could not be dialled (refused, unreachable, no connection in time), or
//   - not a byte of it was written to a connection, or
//   - the box says so: 421, 429, or 503 with the field Marldale-Not-Run.
// Everything else is unknown. A request whose class must not run twice is final then, whatever is ordered.
#pragma once

#include <cstdint>
#include <string_view>

#include "attempts/retry_decision.h"
#include "policy/types.h"
#include "proxy/head.h"

namespace marldale::proxy {

enum class Came : std::uint8_t {
    answer,        // a whole head
    noConnection,  // the dial came to nothing
    broke,         // the connection ended before a head
    badAnswer,     // what came was no HTTP
    timedOut,
};
struct TryEnd {
    Came came = Came::answer;
    std::uint64_t written = 0;  // bytes that left for the box, or may have
    int status = 0;             // of an answer
    bool saysNotRun = false;    // it carries Marldale-Not-Run
};
[[nodiscard]] const char* name(Came came);
[[nodiscard]] bool provenUnrun(const TryEnd& end);
[[nodiscard]] bool failed(const TryEnd& end);  // for reports: no answer, or 5xx

struct Wish {
    bool fragile = false;  // it must not run twice
    bool bodyKept = true;  // all of its body that was sent can be sent again
    unsigned tries = 1;    // made so far
    Micros timeLeft = 0;   // until its client gives up
};
enum class Next : std::uint8_t { passOn, tell };  // passOn: the box's answer as it is
struct Verdict {
    Next next = Next::passOn;
    int status = 0;  // to tell
    std::string_view why;
    unsigned retryAfterS = 0;  // 0: nothing is said of it
    bool operator==(const Verdict&) const = default;
};

// After a try, as the one function says that all of us ask (attempts/retry_decision.h). `mode`: as ordered.
// Budgets come after it, and what is final where they refuse is `finalOf`.
[[nodiscard]] attempts::RetryDecision again(const TryEnd& end, const Wish& wish, unsigned mode);
[[nodiscard]] Verdict finalOf(const TryEnd& end);
// Before any: nothing to pick, or turned away by the level.
[[nodiscard]] Verdict nothingToPick(bool hasTables);
[[nodiscard]] Verdict turnedAway();

}  // namespace marldale::proxy
