// What the answer to a try says of its effect. Classes whose requests must never run twice have effects; for
// them an outcome that is not proven counts as one that may have happened.
#pragma once

#include <cstdint>

#include "policy/types.h"

namespace marldale::attempts {

enum class Ended : std::uint8_t {
    answered,     // the status tells
    notRecorded,  // the record has no status
    aborted,      // the client went away
    timedOut,     // nobody answered in time
    cut,          // the connection or the record broke off
    neverSent,    // proof that no byte of it reached a server: the dial was refused, or it was blocked
};

struct Answer {
    Ended ended = Ended::notRecorded;
    int status = 0;           // 100 to 599; 0: none
    std::int64_t bytes = -1;  // of the reply's body; -1: not told
    bool operator==(const Answer&) const = default;
};

enum class Effect : std::uint8_t { none, done, notDone, unknown };

[[nodiscard]] const char* name(Ended ended);
[[nodiscard]] const char* name(Effect effect);

// `hasEffect`: the class must not run twice. Otherwise the effect is `none`.
[[nodiscard]] Effect effectOf(const Answer& answer, bool hasEffect);

// Whether clients ask again after such an answer: no answer, 5xx, 408, 425, 429, 499.
[[nodiscard]] bool clientsRetryAfter(const Answer& answer);

}  // namespace marldale::attempts
