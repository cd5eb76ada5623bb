// Divides limits that hold for all edge proxies together into an equal share for each. Proxies do not lend
// shares to each other, and a remainder that does not divide stays unused. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>

#include "policy/types.h"

namespace marldale::controller {

/// The limits of one server over all proxies, and the number of proxies.
struct ServerLimits {
    std::size_t proxies = 1;
    unsigned places = 1;       // requests that the server processes at once
    unsigned connections = 0;  // that the server accepts from all callers; 0: unknown
    double coldPerS = 0;       // requests per second that the server can take while cold
    double coldExcess = 1.5;   // factor on `coldPerS` that is tolerated
    unsigned coldMargin = 5;   // requests per second that are tolerated beyond that
};
/// What one proxy may use of a server. `cold` is in requests per second while the server is cold.
struct ProxyShare {
    std::uint32_t inFlight = 1, connections = 1, cold = 0;
};
/// The share of each proxy in the limits of a server.
[[nodiscard]] ProxyShare proxyShareOf(const ServerLimits& limits);

/// The retry budget of one proxy: retries per request, and a token bucket refilled at `perS` up to `burst`.
struct RetryBudgetShare {
    double perRequest = 0, perS = 0, burst = 0;
};
/// The share of each proxy in a budget of `ratio` retries per request plus `extra` retries per window, which
/// all proxies have together.
[[nodiscard]] RetryBudgetShare retryBudgetShareOf(std::size_t proxies, double ratio, unsigned extra,
                                                  Micros window);

}  // namespace marldale::controller
