// Detects that an edge proxy's network link is quiet: nothing has arrived for a while. A link with queued
// packets keeps delivering them, so on a quiet link no request is in transit, and idle connections can be
// closed without cutting one off. No I/O; time is a parameter, in microseconds of one steady clock.
#pragma once

#include <algorithm>

#include "policy/types.h"

namespace marldale::edge_proxy {

/// Tracks the time since the last received bytes.
class TrafficStillness {
public:
    static constexpr Micros kStillTime = 700000;      ///< without a byte
    static constexpr Micros kCheckInterval = 100000;  ///< interval at which `check` must be called

    /// Bytes have arrived from a client or a server.
    void traffic(Micros now) { lastAt_ = now; }
    /// Returns whether the link is quiet. A late check restarts the time: the event loop was busy, and unread
    /// bytes may be waiting.
    [[nodiscard]] bool check(Micros now) {
        if (now - checkedAt_ > kMaxCheckGap) lastAt_ = std::max(lastAt_, now);
        checkedAt_ = now;
        return now - lastAt_ >= kStillTime;
    }

private:
    static constexpr Micros kMaxCheckGap = 2 * kCheckInterval;

    Micros lastAt_ = 0, checkedAt_ = 0;
};

}  // namespace marldale::edge_proxy
