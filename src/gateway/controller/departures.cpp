// Departures of servers (the state `emptying`, or a sign-off). A departure is acknowledged once a majority of
// the voters has it on disk and no edge proxy uses the server any more. Departures are loaded after a
// restart, and controllers exchange them when they connect.
#include <algorithm>

#include "gateway/controller/controller.h"
#include "gateway/controller/controller_shared.h"
#include "gateway/log/log.h"

namespace marldale::controller {
namespace {

using transport::Link;
using transport::steadyNow;

constexpr Micros kAcknowledgeTimeoutUs = 700000;
constexpr Micros kReachableForUs = 1000000;  // since the last heartbeat of another controller

}  // namespace

DurableCopy::Writer Controller::departureWriter() {
    if (settings_.dataFolder.empty()) return nullptr;
    return [this](const std::string& text, DurableCopy::WriteCallback onWritten) {
        disk_->writeFile(settings_.dataFolder + "/departures", text, std::move(onWritten));
    };
}

void Controller::loadDepartures(Micros now) {
    const auto text = DiskWriter::readFile(settings_.dataFolder + "/departures");
    proto::ServerUpdates departures;
    if (!text || !departures.ParseFromString(*text)) return;
    for (const proto::Server& departed : departures.servers()) registry_.applyReport(now, departed);
    log::info("departures_recalled", {{"servers", registry_.departed().size()}});
}

// A server that is emptying is stored as gone: it may end before a restarted controller hears of it again.
std::string Controller::serializedDepartures(Micros now) const {
    proto::ServerUpdates departures;
    for (proto::Server& departed : registry_.departures(now)) *departures.add_servers() = std::move(departed);
    for (const auto& [id, server] : registry_.servers()) {
        if (!server.report.emptying()) continue;
        departures.add_servers()->set_id(id);
        departures.mutable_servers()->rbegin()->set_gone(true);
    }
    return departures.SerializeAsString();
}

std::vector<std::string> Controller::voterAddresses() const {
    std::vector<std::string> out;
    for (const proto::Member& voter : replica_->members().voters()) out.push_back(voter.address());
    return out;
}

// Departures that arrive in one iteration of the event loop share one request for acknowledgement.
void Controller::acknowledgeDeparture(const std::string& id, ReplyCallback sendReply, Micros now) {
    if (!inQuorumContact(now))
        return sendReply(problemReply(503, textOf(UnavailableReason::noQuorumContact)));
    const auto known = departures_.find(id);
    if (known != departures_.end() && known->second.isAcknowledged) return sendReply({});
    newDepartures_.push_back({id, std::move(sendReply)});
    if (newDepartures_.size() > 1) return;
    boost::asio::post(io_, [this] { requestDepartureAcks(steadyNow()); });
}

void Controller::requestDepartureAcks(Micros now) {
    const DepartureAcks::RequestNumber number = ++lastDepartureRequest_;
    std::vector<PendingDeparture> departures = std::exchange(newDepartures_, {});
    std::vector<std::string> ids;
    ids.reserve(departures.size());
    for (const PendingDeparture& departure : departures) ids.push_back(departure.id);
    proto::Frame frame = updatesFrame(ids, false, now);
    frame.mutable_updates()->set_number(number);
    sendToPeers(frame);
    departureAcks_.add(number, now + kAcknowledgeTimeoutUs);
    pendingDepartures_.emplace(number, std::move(departures));
    departureCopy_.whenDurable([this, number] {
        departureAcks_.markDurable(number, settings_.inside());
        answerConfirmedDepartures(steadyNow());
    });
    whenInForce(ids, [this, number] {
        departureAcks_.markInForce(number, settings_.inside());
        answerConfirmedDepartures(steadyNow());
    });
    armTimer();
}

// A departure that is new to this controller goes to the proxies with the next turn of distribution.
void Controller::recordDeparture(const std::string& id) {
    departures_.try_emplace(id, Departure{distributor_.lastTurn() + 1, false});
    departureCopy_.markChanged();
}

void Controller::whenInForce(const std::vector<std::string>& ids, std::function<void()> then) {
    const Micros now = steadyNow();
    std::uint64_t turn = 0;
    for (const std::string& id : ids) {
        const auto found = departures_.find(id);
        turn = std::max(
            turn, found == departures_.end() ? distributor_.lastTurn() + 1 : found->second.distributionTurn);
    }
    barrier_.wait(turn, now, std::move(then));
    if (turn > distributor_.lastTurn()) distributionLoop_.schedule.requestUrgent(now);
    updateBarrier(now);
    wakeDistribution(now);
}

// Reports durability and being in force separately to the controller that asks, each as soon as it holds, so
// that a disk that hangs does not delay the other.
void Controller::confirmDepartures(const std::shared_ptr<Link>& link, std::uint64_t number,
                                   const std::vector<std::string>& ids) {
    departureCopy_.whenDurable([link, number] {
        proto::Frame ack;
        ack.mutable_updates_ack()->set_number(number);
        ack.mutable_updates_ack()->set_durable(true);
        link->send(ack);
    });
    whenInForce(ids, [link, number] {
        proto::Frame ack;
        ack.mutable_updates_ack()->set_number(number);
        ack.mutable_updates_ack()->set_in_force(true);
        link->send(ack);
    });
}

void Controller::updateBarrier(Micros now) {
    const std::uint64_t last = distributor_.lastTurn();
    // A turn begins only once the frames of the previous one have been sent.
    const std::uint64_t sent = distributionLoop_.outbox.empty() ? last : last - 1;
    barrier_.update(now, sent,
                    distributor_.oldestUnanswered().value_or(distribution::DistributionBarrier::kNoTurn));
}

// This controller, and all reachable ones that have proxies bound.
std::vector<std::string> Controller::controllersWithProxies(Micros now) const {
    std::vector<std::string> out{settings_.inside()};
    for (const auto& [address, reported] : peerProxyCounts_) {
        const auto peer = peers_.find(address);
        const bool isReachable =
            peer != peers_.end() && peer->second.link && now - reported.first < kReachableForUs;
        if (isReachable && reported.second > 0) out.push_back(address);
    }
    return out;
}

void Controller::onUpdatesAck(const Link* link, const proto::ServerUpdatesAck& ack) {
    // Older releases set neither flag; their acknowledgement stands for both.
    const bool isFromOlderRelease = !ack.durable() && !ack.in_force();
    for (const auto& [address, peer] : peers_) {
        if (peer.link.get() != link) continue;
        if (ack.durable() || isFromOlderRelease) departureAcks_.markDurable(ack.number(), address);
        if (ack.in_force() || isFromOlderRelease) departureAcks_.markInForce(ack.number(), address);
    }
    answerConfirmedDepartures(steadyNow());
}

void Controller::answerConfirmedDepartures(Micros now) {
    const auto confirmed = departureAcks_.takeConfirmed(voterAddresses(), controllersWithProxies(now));
    if (!inQuorumContact(now)) return failDepartures(confirmed, UnavailableReason::noQuorumContact);
    for (const DepartureAcks::RequestNumber number : confirmed) {
        const auto departures = pendingDepartures_.extract(number);
        if (departures.empty()) continue;
        for (const PendingDeparture& departure : departures.mapped()) {
            const auto known = departures_.find(departure.id);
            if (known != departures_.end()) known->second.isAcknowledged = true;
            departure.sendReply({});
        }
    }
}

void Controller::expireDepartures(Micros now) {
    failDepartures(departureAcks_.takeExpired(now), UnavailableReason::timedOut);
    std::erase_if(departures_, [this](const auto& departure) {
        return registry_.servers().count(departure.first) == 0 &&
               registry_.departed().count(departure.first) == 0;
    });
}

void Controller::failDepartures(const std::vector<DepartureAcks::RequestNumber>& numbers,
                                UnavailableReason reason) {
    for (const DepartureAcks::RequestNumber number : numbers) {
        const auto departures = pendingDepartures_.extract(number);
        if (departures.empty()) continue;
        for (const PendingDeparture& departure : departures.mapped())
            departure.sendReply(problemReply(503, textOf(reason)));
    }
}

}  // namespace marldale::controller
