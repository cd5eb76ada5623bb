#include "gateway/controller/proxy_shares.h"

#include <algorithm>
#include <cmath>

namespace marldale::controller {
namespace {

constexpr double kQueueing = 6;  // requests that may be under way at a server for each of its places
constexpr double kConnectionsUsed = 0.85, kColdUsed = 0.95, kBudgetUsed = 0.85;
constexpr double kBurstShare = 0.5;  // of the extra tries of a window that may come at once

std::uint32_t part(double whole, std::size_t proxies, std::uint32_t least) {
    return std::max(least, static_cast<std::uint32_t>(
                               std::floor(whole / static_cast<double>(std::max<std::size_t>(1, proxies)))));
}

}  // namespace

ProxyShare proxyShareOf(const Whole& whole) {
    ProxyShare out;
    out.inFlight = part(kQueueing * std::max(1U, whole.places), whole.proxies, 1);
    out.connections =
        whole.connections == 0 ? 64 : part(kConnectionsUsed * whole.connections, whole.proxies, 1);
    out.cold = part(kColdUsed * (whole.coldPerS * whole.coldExcess + whole.coldMargin), whole.proxies, 0);
    return out;
}

BudgetPart budgetOf(std::size_t proxies, double ratio, unsigned extra, Micros window) {
    const double mine = kBudgetUsed * extra / static_cast<double>(std::max<std::size_t>(1, proxies));
    const double seconds = static_cast<double>(window) / 1e6;
    return {kBudgetUsed * ratio, (1 - kBurstShare) * mine / seconds, kBurstShare * mine};
}

}  // namespace marldale::controller
