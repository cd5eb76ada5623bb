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
#include <vector>

#include "attempts/gate.h"
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

// Further tries that there are to spend: over all classes, and for each. One that is taken is taken from
// both.
class RetryBudgets {
public:
    struct Size {
        double ratio = 0.2, most = 20;
    };
    RetryBudgets(Size overAll, Size ofClass, std::size_t classes);
    void firstTry(std::size_t klass);
    [[nodiscard]] bool take(std::size_t klass);

private:
    attempts::RetryBudget overAll_;
    std::vector<attempts::RetryBudget> byClass_;
};

struct Wish {
    std::size_t klass = 0;
    bool fragile = false;  // it must not run twice
    bool bodyKept = true;  // all of its body that was sent can be sent again
    unsigned tries = 1;    // made so far
    Micros timeLeft = 0;   // until its client gives up
};
enum class Next : std::uint8_t { passOn, again, tell };  // passOn: the box's answer as it is
struct Verdict {
    Next next = Next::passOn;
    int status = 0;  // to tell
    std::string_view why;
    unsigned retryAfterS = 0;  // 0: nothing is said of it
    bool operator==(const Verdict&) const = default;
};

// After a try. `mode`: as ordered; `budgets`: one more is taken from them only if there is another try.
[[nodiscard]] Verdict after(const TryEnd& end, const Wish& wish, unsigned mode, RetryBudgets& budgets);
// Before any: nothing to pick, or turned away by the level.
[[nodiscard]] Verdict nothingToPick(bool hasTables);
[[nodiscard]] Verdict turnedAway();

}  // namespace marldale::proxy
