// Derives from how an attempt ended whether it may have had side effects. Only non-idempotent requests count
// as having effects; for these, an inconclusive outcome counts as possibly executed.
#pragma once

#include <cstdint>

#include "policy/types.h"

namespace marldale::attempts {

/// How a try ended.
enum class Ended : std::uint8_t {
    answered,     // with a response; its status says more
    notRecorded,  // unknown: the traffic recording contains no status
    aborted,      // the client closed the connection
    timedOut,     // there was no response in time
    cut,          // the connection closed, or the recording ended, before the response was complete
    neverSent,    // no byte reached a server: the connection was refused, or the request was blocked
};

/// How a try ended, with what is known of the response.
struct Answer {
    Ended ended = Ended::notRecorded;
    int status = 0;           // 100 to 599; 0: none
    std::int64_t bytes = -1;  // size of the response's body; -1: unknown
    bool operator==(const Answer&) const = default;
};

/// Whether an attempt has taken effect; `none`: the request class is idempotent.
enum class Effect : std::uint8_t { none, done, notDone, unknown };

[[nodiscard]] const char* name(Ended ended);
[[nodiscard]] const char* name(Effect effect);

/// Whether the attempt took effect, as far as the answer proves it. `hasEffect`: the request's class must not
/// run twice.
[[nodiscard]] Effect effectOf(const Answer& answer, bool hasEffect);

/// Whether clients usually retry after such an answer: no response, 5xx, 408, 425, 429 or 499.
[[nodiscard]] bool clientsRetryAfter(const Answer& answer);

}  // namespace marldale::attempts
