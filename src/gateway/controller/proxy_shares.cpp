#include "gateway/controller/proxy_shares.h"

#include <algorithm>
#include <cmath>

namespace marldale::controller {
namespace {

constexpr double kInFlightPerPlace = 6;  // in-flight requests allowed at a server for each of its places
// The fraction of each limit that the proxies together get.
constexpr double kConnectionFraction = 0.85, kColdRateFraction = 0.95, kBudgetFraction = 0.85;
constexpr double kBurstFraction = 0.5;  // of the extra retries of a window that may come at once

std::uint32_t shareOf(double total, std::size_t proxies, std::uint32_t minimum) {
    return std::max(minimum, static_cast<std::uint32_t>(
                                 std::floor(total / static_cast<double>(std::max<std::size_t>(1, proxies)))));
}

}  // namespace

ProxyShare proxyShareOf(const ServerLimits& limits) {
    ProxyShare out;
    out.inFlight = shareOf(kInFlightPerPlace * std::max(1U, limits.places), limits.proxies, 1);
    out.connections =
        limits.connections == 0 ? 64 : shareOf(kConnectionFraction * limits.connections, limits.proxies, 1);
    out.cold = shareOf(kColdRateFraction * (limits.coldPerS * limits.coldExcess + limits.coldMargin),
                       limits.proxies, 0);
    return out;
}

RetryBudgetShare retryBudgetShareOf(std::size_t proxies, double ratio, unsigned extra, Micros window) {
    const double extraPerProxy =
        kBudgetFraction * extra / static_cast<double>(std::max<std::size_t>(1, proxies));
    const double seconds = static_cast<double>(window) / 1e6;
    return {kBudgetFraction * ratio, (1 - kBurstFraction) * extraPerProxy / seconds,
            kBurstFraction * extraPerProxy};
}

}  // namespace marldale::controller
