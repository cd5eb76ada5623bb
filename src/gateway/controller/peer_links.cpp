// Links to other controllers, and the dispatch of every frame that arrives on any link.
#include <algorithm>
#include <set>

#include "gateway/controller/controller.h"
#include "gateway/controller/controller_shared.h"
#include "gateway/log/log.h"

namespace marldale::controller {
namespace {

using boost::asio::ip::tcp;
using transport::Link;
using transport::steadyNow;

constexpr Micros kDialTimeoutUs = 400000, kRedialIntervalUs = 250000;
constexpr Micros kLinkSilenceTimeoutUs = 1500000;  // four times as long for a peer that is still wanted

}  // namespace

void Controller::acceptInside() {
    insideAcceptor_.async_accept([this](boost::system::error_code error, tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted || !insideAcceptor_.is_open()) return;
        if (!error) onConnectionAccepted(std::move(socket));
        acceptInside();
    });
}

void Controller::onConnectionAccepted(tcp::socket socket) {
    auto link = std::make_shared<Link>(std::move(socket));
    const Link* rawLink = link.get();
    acceptedLinks_[rawLink] = link;
    link->start({[this, rawLink](const proto::Frame& frame) {
                     const auto at = acceptedLinks_.find(rawLink);
                     if (at != acceptedLinks_.end()) onFrame(std::shared_ptr<Link>(at->second), frame);
                 },
                 [this, rawLink] { onLinkClosed(rawLink); }});
}

void Controller::onLinkClosed(const Link* link) {
    if (const auto at = proxyByLink_.find(link); at != proxyByLink_.end())
        releaseProxy(distribution::ProxyId(at->second));
    peerAddresses_.erase(link);
    acceptedLinks_.erase(link);
    for (auto& [address, peer] : peers_) {
        if (peer.link.get() == link) {
            peer.link.reset();
            peer.nextDialAt = steadyNow() + kRedialIntervalUs;
        }
    }
    armTimer();
}

void Controller::dialPeers(Micros now) {
    std::set<std::string> wanted;
    for (const proto::Peer& peer : view_.control()) wanted.insert(peer.address());
    for (const std::string& seed : settings_.insideSeeds()) wanted.insert(seed);
    for (const proto::Member& voter : replica_->members().voters()) wanted.insert(voter.address());
    wanted.erase(settings_.inside());
    std::vector<std::string> contacts(wanted.begin(), wanted.end());
    if (contacts != contacts_) {
        contacts_ = contacts;
        replica_->contacts(contacts);
    }
    for (const std::string& address : wanted) peers_.try_emplace(address);
    removeStalePeers(wanted, now);
    for (auto& [address, peer] : peers_) {
        if (peer.link || peer.dialing || now < peer.nextDialAt || !wanted.count(address)) continue;
        dialPeer(address);
    }
}

void Controller::removeStalePeers(const std::set<std::string>& wanted, Micros now) {
    for (auto at = peers_.begin(); at != peers_.end();) {
        PeerLink& peer = at->second;
        const auto proxyCount = peerProxyCounts_.find(at->first);
        const Micros countHeardAt = proxyCount == peerProxyCounts_.end() ? 0 : proxyCount->second.first;
        const bool isWanted = wanted.count(at->first) != 0;
        const Micros maxSilence = isWanted ? 4 * kLinkSilenceTimeoutUs : kLinkSilenceTimeoutUs;
        if (peer.link && now - std::max(peer.link->heardAt(), countHeardAt) > maxSilence) {
            // The peer process may be frozen; frames queued for it are outdated and are discarded.
            auto link = std::exchange(peer.link, nullptr);
            peerAddresses_.erase(link.get());
            link->close();
            peer.nextDialAt = now + kRedialIntervalUs;
        }
        const bool isForgotten = !isWanted && !peer.link && !peer.dialing;
        if (isForgotten) {
            log::info("peer_forgotten", {{"peer", at->first}});
            peerClocks_.erase(at->first);
            peerProxyCounts_.erase(at->first);
        }
        at = isForgotten ? peers_.erase(at) : std::next(at);
    }
}

void Controller::dialPeer(const std::string& address) {
    peers_[address].dialing = true;
    transport::dial(io_, address, kDialTimeoutUs, [this, address](std::shared_ptr<Link> link) {
        PeerLink& peer = peers_[address];
        peer.dialing = false;
        const Micros at = steadyNow();
        peer.nextDialAt =
            at + (at - startedAt_ < kStartupPeriodUs ? kStartupRedialIntervalUs : kRedialIntervalUs);
        if (!link || stopping_) return;
        const Link* rawLink = link.get();
        peer.link = link;
        link->start({[this, rawLink](const proto::Frame& frame) {
                         for (auto& [candidateAddress, candidate] : peers_) {
                             if (candidate.link.get() != rawLink) continue;
                             onFrame(std::shared_ptr<Link>(candidate.link), frame);
                             break;
                         }
                     },
                     [this, rawLink] { onLinkClosed(rawLink); }});
        proto::Frame greeting;
        *greeting.mutable_greeting() = selfPeer(settings_, incarnation_);
        link->send(greeting);
        std::vector<std::string> all;
        for (const auto& [id, server] : registry_.servers()) all.push_back(id);
        link->send(updatesFrame(all, true, steadyNow()));
    });
}

Controller::PeerClock& Controller::clockOf(const std::string& address) {
    return peerClocks_.try_emplace(address, incarnation_).first->second;
}

void Controller::onPeerHeartbeat(const Link* link, const proto::Heartbeat& heartbeat, Micros now) {
    const auto peerAddress = peerAddresses_.find(link);
    if (peerAddress == peerAddresses_.end()) return;
    peerProxyCounts_[peerAddress->second] = {now, heartbeat.edge_proxies()};
    PeerClock& clock = clockOf(peerAddress->second);
    clock.receiver.received(now, heartbeat.mark());
    if (const auto sentAt = clock.sender.sentNoEarlier(heartbeat.echo(), heartbeat.echo_held()))
        clock.maxDelay = std::max<Micros>(0, now - *sentAt);
}

void Controller::sendToPeers(const proto::Frame& frame) {
    for (auto& [address, peer] : peers_) {
        if (peer.link) peer.link->send(frame);
    }
}

void Controller::onFrame(const std::shared_ptr<Link>& link, const proto::Frame& frame) {
    const Micros now = steadyNow();
    switch (frame.what_case()) {
        case proto::Frame::kGreeting:
            peerAddresses_[link.get()] = frame.greeting().address();
            view_.recordContact(frame.greeting());
            dialPeers(now);
            break;
        case proto::Frame::kRaft: replica_->receive(now, frame.raft()); break;
        case proto::Frame::kUpdates: onServerUpdates(link, frame.updates()); break;
        case proto::Frame::kUpdatesAck: onUpdatesAck(link.get(), frame.updates_ack()); break;
        case proto::Frame::kHello: onHello(link, frame.hello()); break;
        case proto::Frame::kHeartbeat: onPeerHeartbeat(link.get(), frame.heartbeat(), now); break;
        case proto::Frame::kMark:
            if (const auto id = proxyByLink_.find(link.get()); id != proxyByLink_.end())
                proxies_.at(id->second).echo.received(now, frame.mark().mark());
            break;
        case proto::Frame::kAnswer: {
            const auto id = proxyByLink_.find(link.get());
            if (id == proxyByLink_.end()) break;
            const std::uint64_t mark = frame.answer().mark();
            if (mark % 2 == 1) {
                steering_.answered(id->second, mark / 2, 0);
            } else {
                distributor_.answered(id->second, mark / 2);
                distributionDue_ = true;
            }
            break;
        }
        case proto::Frame::kLoadReport: onLoadReport(link.get(), frame.load_report(), now); break;
        default: break;
    }
    processPending();
}

}  // namespace marldale::controller
