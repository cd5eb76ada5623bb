// What each proxy may do of a sum that holds over all of them. No part is lent; what doesn't divide stays
// unused. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>

#include "policy/types.h"

namespace marldale::controller {

struct Whole {
    std::size_t proxies = 1;
    unsigned places = 1;       // that a server works on at once
    unsigned connections = 0;  // that it takes of all callers; 0: not told
    double coldPerS = 0;       // requests a second that it bears while cold
    double coldExcess = 1.5;
    unsigned coldMargin = 5;
};
struct ProxyShare {
    std::uint32_t inFlight = 1, connections = 1, cold = 0;
};
[[nodiscard]] ProxyShare proxyShareOf(const Whole& whole);

struct BudgetPart {
    double perRequest = 0, perS = 0, burst = 0;
};
// `extra` further tries over a window, beside `ratio` for each request, for all proxies together.
[[nodiscard]] BudgetPart budgetOf(std::size_t proxies, double ratio, unsigned extra, Micros window);

}  // namespace marldale::controller
