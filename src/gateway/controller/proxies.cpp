// Edge proxies that are bound to this controller: admission, heartbeats, their number.
#include <algorithm>

#include "gateway/controller/controller.h"
#include "gateway/log/log.h"

namespace marldale::controller {
namespace {

using transport::Link;
using transport::steadyNow;

constexpr Micros kHeartbeatEvery = 300000;  // to proxies and to other controllers
constexpr Micros kOthersKept = 5000000, kMostKept = 30000000;
constexpr std::size_t kControllersNamed = 12;  // in a heartbeat
constexpr double kUsualRate = 20;              // requests a second of a proxy of which nothing is known yet

}  // namespace

void Controller::heardHello(const std::shared_ptr<Link>& link, const proto::Hello& hello) {
    const Micros now = steadyNow();
    if (stopping_) {  // it looks for another one at once
        open_.erase(link.get());
        return link->close();
    }
    const distribution::ProxyId id = ++lastProxy_;
    BoundProxy& proxy = proxies_[id];
    proxy = {};
    proxy.link = link;
    proxy.peer = hello.self();
    proxy.index = hello.index();
    proxy.echo.received(now, hello.mark());
    proxyOf_[link.get()] = id;
    view_.met(hello.self());
    if (hello.edge_proxies() > proxiesMost_) {
        proxiesMost_ = hello.edge_proxies();
        proxiesMostAt_ = now;
    }
    log::info("proxy_joined", {{"proxy", hello.self().node()}, {"index", hello.index()}});
    countProxies(now);
    flushDue_ = true;
    steering_.join(id, hello.self().zone(), kUsualRate);
    nextHeartbeat_ = now;
}

void Controller::admit(distribution::ProxyId id, BoundProxy& proxy, Micros now) {
    if (proxy.joined || configurations_.index() == 0 || configurations_.index() < proxy.index)
        return;  // it knows better
    if (!inQuorumContact(now)) return;
    proxy.joined = true;
    distributor_.join(id, proxy.peer.zone());
}

void Controller::letGo(distribution::ProxyId id) {
    const auto at = proxies_.find(id);
    if (at == proxies_.end()) return;
    log::info("proxy_left", {{"proxy", at->second.peer.node()}});
    proxyOf_.erase(at->second.link.get());
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
        heartbeat->set_mark(clock.sent.next(now));
        heartbeat->set_echo(clock.received.mark());
        heartbeat->set_echo_held(clock.received.held(now));
        peer.link->send(frame);
    }
}

void Controller::sendHeartbeats(Micros now) {
    nextHeartbeat_ = now + kHeartbeatEvery;
    sendPeerHeartbeats(now);
    proto::Frame frame;
    auto* heartbeat = frame.mutable_heartbeat();
    heartbeat->set_age(replica_->quorumContactAge(now));
    heartbeat->set_index(configurations_.index());
    heartbeat->set_edge_proxies(static_cast<std::uint32_t>(proxiesMost_));
    for (const auto& [address, peer] : peers_) {
        if (!peer.link || static_cast<std::size_t>(heartbeat->controllers_size()) >= kControllersNamed)
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

void Controller::countProxies(Micros now) {
    std::size_t count = proxies_.size(), seen = 0;
    for (const auto& [address, told] : proxiesAt_) count += now - told.first > kOthersKept ? 0 : told.second;
    for (const auto& [address, peer] : view_.peers()) seen += peer.control().empty() ? 1 : 0;
    count = std::max(count, std::min<std::size_t>(seen, 16));
    const std::size_t before = proxiesMost_;
    if (count >= proxiesMost_ || now - proxiesMostAt_ > kMostKept) {
        proxiesMost_ = count;
        proxiesMostAt_ = now;
    }
    if (proxiesMost_ != before) configurationChanged(now);
}

void Controller::loadReport(const Link* link, const proto::LoadReport& report, Micros now) {
    const auto id = proxyOf_.find(link);
    if (id == proxyOf_.end()) return;
    for (const proto::ServerLoad& load : report.servers()) {
        if (load.tries() > load.failed()) registry_.alive(now, load.server());
    }
    for (const std::string& gone : report.voided()) {
        if (registry_.voided(now, gone)) registryChanged(now);
    }
    steering_.sums(id->second, proxies_.at(id->second).peer.zone(), report);
}

}  // namespace marldale::controller
