// The edge proxies bound to this controller: admission, heartbeats, load reports and their number.
#include <algorithm>

#include "gateway/controller/controller.h"
#include "gateway/log/log.h"

namespace marldale::controller {
namespace {

using transport::Link;
using transport::steadyNow;

constexpr Micros kHeartbeatIntervalUs = 300000;   // to proxies and to other controllers
constexpr Micros kPeerCountMaxAgeUs = 5000000;    // older counts of other controllers are ignored
constexpr Micros kRecentMaxKeptUs = 30000000;     // how long a maximum of the number of proxies is kept
constexpr std::size_t kMaxControllersNamed = 12;  // in one heartbeat
constexpr double kInitialRequestsPerS = 20;       // assumed for a proxy that has not reported yet

}  // namespace

void Controller::onHello(const std::shared_ptr<Link>& link, const proto::Hello& hello) {
    const Micros now = steadyNow();
    if (stopping_) {  // the proxy looks for another controller at once
        acceptedLinks_.erase(link.get());
        return link->close();
    }
    const distribution::ProxyId id = ++lastProxyId_;
    BoundProxy& proxy = proxies_[id];
    proxy = {};
    proxy.link = link;
    proxy.peer = hello.self();
    proxy.configurationIndex = hello.index();
    proxy.echo.received(now, hello.mark());
    proxyByLink_[link.get()] = id;
    view_.recordContact(hello.self());
    if (hello.edge_proxies() > recentMaxProxies_) {
        recentMaxProxies_ = hello.edge_proxies();
        recentMaxProxiesAt_ = now;
    }
    log::info("proxy_joined", {{"proxy", hello.self().node()}, {"index", hello.index()}});
    updateProxyCount(now);
    distributionDue_ = true;
    steering_.join(id, hello.self().zone(), kInitialRequestsPerS);
    nextHeartbeat_ = now;
}

void Controller::admitToDistribution(distribution::ProxyId id, BoundProxy& proxy, Micros now) {
    if (proxy.inDistribution || configurations_.index() == 0 ||
        configurations_.index() < proxy.configurationIndex)
        return;  // the proxy holds a newer configuration
    if (!inQuorumContact(now)) return;
    proxy.inDistribution = true;
    distributor_.join(id, proxy.peer.zone());
}

void Controller::releaseProxy(distribution::ProxyId id) {
    const auto at = proxies_.find(id);
    if (at == proxies_.end()) return;
    log::info("proxy_left", {{"proxy", at->second.peer.node()}});
    proxyByLink_.erase(at->second.link.get());
    proxies_.erase(at);
    steering_.leave(id);
    distributor_.leave(id);
}

void Controller::sendPeerHeartbeats(Micros now) {
    for (auto& [address, peer] : peers_) {
        if (!peer.link) continue;
        PeerClock& clock = clockOf(address);
        proto::Frame frame;
        auto* heartbeat = frame.mutable_heartbeat();
        heartbeat->set_edge_proxies(static_cast<std::uint32_t>(proxies_.size()));
        heartbeat->set_mark(clock.sender.next(now));
        heartbeat->set_echo(clock.receiver.mark());
        heartbeat->set_echo_held(clock.receiver.held(now));
        peer.link->send(frame);
    }
}

void Controller::sendHeartbeats(Micros now) {
    nextHeartbeat_ = now + kHeartbeatIntervalUs;
    sendPeerHeartbeats(now);
    proto::Frame frame;
    auto* heartbeat = frame.mutable_heartbeat();
    heartbeat->set_age(replica_->quorumContactAge(now));
    heartbeat->set_index(configurations_.index());
    heartbeat->set_edge_proxies(static_cast<std::uint32_t>(recentMaxProxies_));
    for (const auto& [address, peer] : peers_) {
        if (!peer.link || static_cast<std::size_t>(heartbeat->controllers_size()) >= kMaxControllersNamed)
            continue;
        const auto known = view_.peers().find(address);
        if (known != view_.peers().end()) *heartbeat->add_controllers() = known->second;
    }
    for (auto& [id, proxy] : proxies_) {
        heartbeat->set_echo(proxy.echo.mark());
        heartbeat->set_echo_held(proxy.echo.held(now));
        proxy.link->send(frame);
    }
}

void Controller::updateProxyCount(Micros now) {
    std::size_t count = proxies_.size(), seen = 0;
    for (const auto& [address, reported] : peerProxyCounts_)
        count += now - reported.first > kPeerCountMaxAgeUs ? 0 : reported.second;
    for (const auto& [address, peer] : view_.peers()) seen += peer.control().empty() ? 1 : 0;
    count = std::max(count, std::min<std::size_t>(seen, 16));
    const std::size_t before = recentMaxProxies_;
    if (count >= recentMaxProxies_ || now - recentMaxProxiesAt_ > kRecentMaxKeptUs) {
        recentMaxProxies_ = count;
        recentMaxProxiesAt_ = now;
    }
    if (recentMaxProxies_ != before) onConfigurationChanged(now);
}

void Controller::onLoadReport(const Link* link, const proto::LoadReport& report, Micros now) {
    const auto id = proxyByLink_.find(link);
    if (id == proxyByLink_.end()) return;
    for (const proto::ServerLoad& load : report.servers()) {
        if (load.tries() > load.failed()) registry_.recordAnswer(now, load.server());
    }
    for (const std::string& gone : report.voided()) {
        if (registry_.removeReplaced(now, gone)) onRegistryChanged(now);
    }
    steering_.recordLoad(id->second, proxies_.at(id->second).peer.zone(), report);
}

}  // namespace marldale::controller
