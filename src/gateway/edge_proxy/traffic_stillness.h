// Whether an edge proxy's link has been still: nothing at all has come in for a while. A link that has
// packets queued goes on delivering them, so behind a still one no request is on its way, and an idle
// connection can be closed without cutting one off. No I/O; time is a parameter, in microseconds of one
// steady clock.
#pragma once

#include <algorithm>

#include "policy/types.h"

namespace marldale::edge_proxy {

class TrafficStillness {
public:
    static constexpr Micros kStillFor = 700000;    ///< without a byte
    static constexpr Micros kCheckEvery = 100000;  ///< `check` has to be called so often

    /// Bytes have come, from a client or a server.
    void traffic(Micros now) { lastAt_ = now; }
    /// A check that comes late starts the time anew: the event loop was busy, and bytes may lie unread.
    [[nodiscard]] bool check(Micros now) {
        if (now - checkedAt_ > kCheckLate) lastAt_ = std::max(lastAt_, now);
        checkedAt_ = now;
        return now - lastAt_ >= kStillFor;
    }

private:
    static constexpr Micros kCheckLate = 2 * kCheckEvery;

    Micros lastAt_ = 0, checkedAt_ = 0;
};

}  // namespace marldale::edge_proxy
