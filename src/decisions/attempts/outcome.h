// What the end of a try shows about its effect. Only requests that must never run twice have effects; for
// them, an outcome that proves nothing counts as one that may have taken effect.
#pragma once

#include <cstdint>

#include "policy/types.h"

namespace marldale::attempts {

/// How a try ended.
enum class Ended : std::uint8_t {
    answered,     // with a response; its status says more
    notRecorded,  // unknown: the recording has no status
    aborted,      // the client went away
    timedOut,     // there was no response in time
    cut,          // the connection, or the recording, broke off
    neverSent,    // no byte reached a server: the connection was refused, or the request was blocked
};

/// How a try ended, with what is known of the response.
struct Answer {
    Ended ended = Ended::notRecorded;
    int status = 0;           // 100 to 599; 0: none
    std::int64_t bytes = -1;  // size of the response's body; -1: unknown
    bool operator==(const Answer&) const = default;
};

/// Whether a try has taken effect; `none`: its class has no effects.
enum class Effect : std::uint8_t { none, done, notDone, unknown };

[[nodiscard]] const char* name(Ended ended);
[[nodiscard]] const char* name(Effect effect);

/// The effect that an answer shows. `hasEffect`: the request's class must not run twice.
[[nodiscard]] Effect effectOf(const Answer& answer, bool hasEffect);

/// Whether clients usually retry after such an answer: no response, 5xx, 408, 425, 429 or 499.
[[nodiscard]] bool clientsRetryAfter(const Answer& answer);

}  // namespace marldale::attempts
