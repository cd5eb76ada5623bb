// Links to other controllers, and the dispatch of every frame that comes in on any link.
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

constexpr Micros kDialWithin = 400000, kDialAgain = 250000;
constexpr Micros kSilentLink = 1500000;

}  // namespace

void Controller::acceptInside() {
    inside_.async_accept([this](boost::system::error_code wrong, tcp::socket socket) {
        if (wrong == boost::asio::error::operation_aborted || !inside_.is_open()) return;
        if (!wrong) arrived(std::move(socket));
        acceptInside();
    });
}

void Controller::arrived(tcp::socket socket) {
    auto link = std::make_shared<Link>(std::move(socket));
    const Link* raw = link.get();
    open_[raw] = link;
    link->start({[this, raw](const proto::Frame& frame) {
                     const auto at = open_.find(raw);
                     if (at != open_.end()) heard(std::shared_ptr<Link>(at->second), frame);
                 },
                 [this, raw] { closed(raw); }});
}

void Controller::closed(const Link* link) {
    if (const auto at = proxyOf_.find(link); at != proxyOf_.end()) letGo(distribution::ProxyId(at->second));
    names_.erase(link);
    open_.erase(link);
    for (auto& [address, peer] : peers_) {
        if (peer.link.get() == link) {
            peer.link.reset();
            peer.nextDial = steadyNow() + kDialAgain;
        }
    }
    arm();
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
    forgetPeers(wanted, now);
    for (auto& [address, peer] : peers_) {
        if (peer.link || peer.dialing || now < peer.nextDial || !wanted.count(address)) continue;
        dialPeer(address);
    }
}

void Controller::forgetPeers(const std::set<std::string>& wanted, Micros now) {
    for (auto at = peers_.begin(); at != peers_.end();) {
        PeerLink& peer = at->second;
        const auto count = proxiesAt_.find(at->first);
        const Micros heardAt = count == proxiesAt_.end() ? 0 : count->second.first;
        const bool isWanted = wanted.count(at->first) != 0;
        const Micros most = isWanted ? 4 * kSilentLink : kSilentLink;
        if (peer.link && now - std::max(peer.link->heardAt(), heardAt) > most) {
            // Its process may be frozen: what waits for it is worth nothing any more.
            auto link = std::exchange(peer.link, nullptr);
            names_.erase(link.get());
            link->close();
            peer.nextDial = now + kDialAgain;
        }
        const bool forgotten = !isWanted && !peer.link && !peer.dialing;
        if (forgotten) {
            log::info("peer_forgotten", {{"peer", at->first}});
            peerClocks_.erase(at->first);
            proxiesAt_.erase(at->first);
        }
        at = forgotten ? peers_.erase(at) : std::next(at);
    }
}

void Controller::dialPeer(const std::string& address) {
    peers_[address].dialing = true;
    transport::dial(io_, address, kDialWithin, [this, address](std::shared_ptr<Link> link) {
        PeerLink& peer = peers_[address];
        peer.dialing = false;
        const Micros at = steadyNow();
        peer.nextDial = at + (at - startedAt_ < kStarting ? kDialAgainStarting : kDialAgain);
        if (!link || stopping_) return;
        const Link* raw = link.get();
        peer.link = link;
        link->start({[this, raw](const proto::Frame& frame) {
                         for (auto& [name, p] : peers_) {
                             if (p.link.get() != raw) continue;
                             heard(std::shared_ptr<Link>(p.link), frame);
                             break;
                         }
                     },
                     [this, raw] { closed(raw); }});
        proto::Frame greeting;
        *greeting.mutable_greeting() = selfOf(settings_, incarnation_);
        link->send(greeting);
        std::vector<std::string> all;
        for (const auto& [id, server] : registry_.servers()) all.push_back(id);
        link->send(updatesOf(all, true, steadyNow()));
    });
}

Controller::PeerClock& Controller::clockOf(const std::string& address) {
    return peerClocks_.try_emplace(address, incarnation_).first->second;
}

void Controller::heartbeatFromPeer(const Link* link, const proto::Heartbeat& heartbeat, Micros now) {
    const auto name = names_.find(link);
    if (name == names_.end()) return;
    proxiesAt_[name->second] = {now, heartbeat.edge_proxies()};
    PeerClock& clock = clockOf(name->second);
    clock.received.received(now, heartbeat.mark());
    if (const auto sentAt = clock.sent.sentNoEarlier(heartbeat.echo(), heartbeat.echo_held()))
        clock.delay = std::max<Micros>(0, now - *sentAt);
}

void Controller::sendToPeers(const proto::Frame& frame) {
    for (auto& [address, peer] : peers_) {
        if (peer.link) peer.link->send(frame);
    }
}

void Controller::heard(const std::shared_ptr<Link>& link, const proto::Frame& frame) {
    const Micros now = steadyNow();
    switch (frame.what_case()) {
        case proto::Frame::kGreeting:
            names_[link.get()] = frame.greeting().address();
            view_.met(frame.greeting());
            dialPeers(now);
            break;
        case proto::Frame::kRaft: replica_->receive(now, frame.raft()); break;
        case proto::Frame::kUpdates: receiveUpdates(link, frame.updates()); break;
        case proto::Frame::kUpdatesAck: updateAcknowledged(link.get(), frame.updates_ack()); break;
        case proto::Frame::kHello: heardHello(link, frame.hello()); break;
        case proto::Frame::kHeartbeat: heartbeatFromPeer(link.get(), frame.heartbeat(), now); break;
        case proto::Frame::kMark:
            if (const auto id = proxyOf_.find(link.get()); id != proxyOf_.end())
                proxies_.at(id->second).echo.received(now, frame.mark().mark());
            break;
        case proto::Frame::kAnswer: {
            const auto id = proxyOf_.find(link.get());
            if (id == proxyOf_.end()) break;
            const std::uint64_t mark = frame.answer().mark();
            if (mark % 2 == 1) {
                steering_.answered(id->second, mark / 2, 0);
            } else {
                distributor_.answered(id->second, mark / 2);
                flushDue_ = true;
            }
            break;
        }
        case proto::Frame::kLoadReport: loadReport(link.get(), frame.load_report(), now); break;
        default: break;
    }
    processPending();
}

}  // namespace marldale::controller
