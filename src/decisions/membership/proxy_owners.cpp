#include "membership/proxy_owners.h"

#include <algorithm>

namespace marldale::membership {
namespace {

constexpr LaneId kPlatformLane = 0;

}  // namespace

std::optional<LaneId> ProxyOwners::owner(ProxyId proxy) const {
    const auto at = proxies_.find(proxy);
    if (at == proxies_.end()) return std::nullopt;
    return at->second.owner;
}

std::vector<OwnershipEvent> ProxyOwners::hello(LaneId lane, ProxyId id, const ProxyAnnouncement& announcement,
                                               Micros now) {
    std::vector<OwnershipEvent> out;
    const auto [at, isNew] = proxies_.try_emplace(id);
    Proxy& proxy = at->second;
    for (auto& [other, otherLane] : proxy.otherLanes) otherLane.isNewer = false;
    if (isNew || proxy.owner == lane) {
        proxy.owner = lane;
        proxy.announcement = announcement;
        if (isNew) proxy.since = now;
        out.emplace_back(JoinedOnLane{id, lane, announcement});
        return out;
    }
    proxy.otherLanes[lane] = {announcement, true};
    if (now - proxy.since >= kMinMoveInterval) move(id, proxy, lane, now, out);
    return out;
}

void ProxyOwners::move(ProxyId id, Proxy& proxy, LaneId to, Micros now, std::vector<OwnershipEvent>& out) {
    const LaneId from = proxy.owner;
    const ProxyAnnouncement announcement = proxy.otherLanes.at(to).announcement;
    proxy.otherLanes.erase(to);
    // The platform can't be told of the move and announces a proxy only once, so its announcement is kept:
    // the proxy returns there if the new lane ends. A stream is told, and announces the proxy again if it has
    // it.
    if (from == kPlatformLane) {
        proxy.otherLanes[from] = {proxy.announcement, false};
    } else {
        out.emplace_back(Release{id, from});
    }
    proxy.owner = to;
    proxy.announcement = announcement;
    proxy.since = now;
    ++moves_;
    out.emplace_back(JoinedOnLane{id, to, announcement});
}

void ProxyOwners::leave(Proxies::iterator at, LaneId lane, Micros now, std::vector<OwnershipEvent>& out) {
    Proxy& proxy = at->second;
    if (proxy.owner != lane) {
        proxy.otherLanes.erase(lane);
        return;
    }
    if (proxy.otherLanes.empty()) {
        out.emplace_back(LeftAllLanes{at->first});
        proxies_.erase(at);
        return;
    }
    const LaneId to = pendingMove(proxy).value_or(proxy.otherLanes.begin()->first);
    proxy.announcement = proxy.otherLanes.at(to).announcement;
    proxy.otherLanes.erase(to);
    proxy.owner = to;
    proxy.since = now;
    ++moves_;
    out.emplace_back(JoinedOnLane{at->first, to, proxy.announcement});
}

std::vector<OwnershipEvent> ProxyOwners::bye(LaneId lane, ProxyId proxy, Micros now) {
    std::vector<OwnershipEvent> out;
    if (const auto at = proxies_.find(proxy); at != proxies_.end()) leave(at, lane, now, out);
    return out;
}

std::vector<OwnershipEvent> ProxyOwners::closed(LaneId lane, Micros now) {
    std::vector<OwnershipEvent> out;
    for (auto at = proxies_.begin(); at != proxies_.end();) leave(at++, lane, now, out);
    return out;
}

std::vector<OwnershipEvent> ProxyOwners::acknowledged(LaneId lane, ProxyId proxy, std::uint64_t mark,
                                                      Micros took) const {
    const auto at = proxies_.find(proxy);
    if (at == proxies_.end() || at->second.owner != lane) return {};
    return {AcknowledgedOnLane{proxy, lane, mark, took}};
}

std::optional<LaneId> ProxyOwners::pendingMove(const Proxy& proxy) {
    const auto at = std::find_if(proxy.otherLanes.begin(), proxy.otherLanes.end(),
                                 [](const auto& entry) { return entry.second.isNewer; });
    if (at == proxy.otherLanes.end()) return std::nullopt;
    return at->first;
}

std::vector<OwnershipEvent> ProxyOwners::due(Micros now) {
    std::vector<OwnershipEvent> out;
    for (auto& [id, proxy] : proxies_) {
        const auto to = pendingMove(proxy);
        if (to && now - proxy.since >= kMinMoveInterval) move(id, proxy, *to, now, out);
    }
    return out;
}

std::optional<Micros> ProxyOwners::nextDue() const {
    std::optional<Micros> out;
    for (const auto& [id, proxy] : proxies_) {
        if (!pendingMove(proxy)) continue;
        const Micros at = proxy.since + kMinMoveInterval;
        if (!out || at < *out) out = at;
    }
    return out;
}

}  // namespace marldale::membership
