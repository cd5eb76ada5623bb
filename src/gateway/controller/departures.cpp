// Departures of servers (`emptying`, or a sign-off): acknowledged once a majority of the voters has them on
// disk and no edge proxy uses the servers any more, and part of what a restart begins with and of what
// controllers exchange when they meet.
#include <algorithm>

#include "gateway/controller/controller.h"
#include "gateway/controller/controller_shared.h"
#include "gateway/log/log.h"

namespace marldale::controller {
namespace {

using transport::Link;
using transport::steadyNow;

constexpr Micros kAcknowledgedWithin = 700000;
constexpr Micros kInReachFor = 1000000;  // since the last heartbeat of another controller

}  // namespace

DurableCopy::Writer Controller::departureWriter() {
    if (settings_.dataFolder.empty()) return nullptr;
    return [this](const std::string& text, DurableCopy::Written written) {
        disk_->keep(settings_.dataFolder + "/departures", text, std::move(written));
    };
}

void Controller::readDepartures(Micros now) {
    const auto text = DiskWriter::kept(settings_.dataFolder + "/departures");
    proto::ServerUpdates known;
    if (!text || !known.ParseFromString(*text)) return;
    for (const proto::Server& departed : known.servers()) registry_.heard(now, departed);
    log::info("departures_recalled", {{"servers", registry_.departed().size()}});
}

// To a restart one that was emptying has gone: it may end before anyone hears of it again.
std::string Controller::departuresText(Micros now) const {
    proto::ServerUpdates known;
    for (proto::Server& departed : registry_.departures(now)) *known.add_servers() = std::move(departed);
    for (const auto& [id, server] : registry_.servers()) {
        if (!server.said.emptying()) continue;
        known.add_servers()->set_id(id);
        known.mutable_servers()->rbegin()->set_gone(true);
    }
    return known.SerializeAsString();
}

std::vector<std::string> Controller::voterAddresses() const {
    std::vector<std::string> out;
    for (const proto::Member& voter : replica_->members().voters()) out.push_back(voter.address());
    return out;
}

// Those that come in one turn of the loop are asked for together.
void Controller::acknowledgeDeparture(const std::string& id, Answer answer, Micros now) {
    if (!inQuorumContact(now)) return answer(problem(503, textOf(UnavailableReason::noQuorumContact)));
    const auto known = departures_.find(id);
    if (known != departures_.end() && known->second.isAcknowledged) return answer({});
    newDepartures_.push_back({id, std::move(answer)});
    if (newDepartures_.size() > 1) return;
    boost::asio::post(io_, [this] { askForDepartures(steadyNow()); });
}

void Controller::askForDepartures(Micros now) {
    const DepartureAcks::Number number = ++lastDeparture_;
    std::vector<PendingDeparture> departures = std::exchange(newDepartures_, {});
    std::vector<std::string> ids;
    for (const PendingDeparture& departure : departures) ids.push_back(departure.id);
    proto::Frame frame = updatesOf(ids, false, now);
    frame.mutable_updates()->set_number(number);
    sendToPeers(frame);
    departureAcks_.add(number, now + kAcknowledgedWithin);
    departureAnswers_.emplace(number, std::move(departures));
    departureCopy_.whenDurable([this, number] {
        departureAcks_.durableAt(number, settings_.inside());
        answerConfirmedDepartures(steadyNow());
    });
    whenInForce(ids, [this, number] {
        departureAcks_.inForceAt(number, settings_.inside());
        answerConfirmedDepartures(steadyNow());
    });
    arm();
}

// A departure that is new here goes to the proxies with the next turn of distribution.
void Controller::noteDeparture(const std::string& id) {
    departures_.try_emplace(id, Departure{distributor_.lastTurn() + 1, false});
    departureCopy_.change();
}

void Controller::whenInForce(const std::vector<std::string>& ids, std::function<void()> then) {
    const Micros now = steadyNow();
    std::uint64_t turn = 0;
    for (const std::string& id : ids) {
        const auto at = departures_.find(id);
        turn = std::max(turn, at == departures_.end() ? distributor_.lastTurn() + 1 : at->second.turn);
    }
    barrier_.wait(turn, now, std::move(then));
    if (turn > distributor_.lastTurn()) distributionLoop_.schedule.requestUrgent(now);
    updateBarrier(now);
    wakeDistribution(now);
}

// Both are told to the controller that asks, each as soon as it holds: a disk that hangs holds up nobody
// else.
void Controller::confirmDepartures(const std::shared_ptr<Link>& link, std::uint64_t number,
                                   const std::vector<std::string>& ids) {
    departureCopy_.whenDurable([link, number] {
        proto::Frame answer;
        answer.mutable_updates_ack()->set_number(number);
        answer.mutable_updates_ack()->set_durable(true);
        link->send(answer);
    });
    whenInForce(ids, [link, number] {
        proto::Frame answer;
        answer.mutable_updates_ack()->set_number(number);
        answer.mutable_updates_ack()->set_in_force(true);
        link->send(answer);
    });
}

void Controller::updateBarrier(Micros now) {
    const std::uint64_t last = distributor_.lastTurn();
    // A turn begins only once the frames of the one before have left.
    const std::uint64_t sent = distributionLoop_.outbox.empty() ? last : last - 1;
    barrier_.update(now, sent,
                    distributor_.oldestUnanswered().value_or(distribution::DistributionBarrier::kNoTurn));
}

// This one, and all in reach that have proxies bound.
std::vector<std::string> Controller::controllersWithProxies(Micros now) const {
    std::vector<std::string> out{settings_.inside()};
    for (const auto& [address, told] : proxiesAt_) {
        const auto peer = peers_.find(address);
        const bool isInReach = peer != peers_.end() && peer->second.link && now - told.first < kInReachFor;
        if (isInReach && told.second > 0) out.push_back(address);
    }
    return out;
}

void Controller::updateAcknowledged(const Link* link, const proto::ServerUpdatesAck& ack) {
    const bool isOfOlderRelease = !ack.durable() && !ack.in_force();
    for (const auto& [address, peer] : peers_) {
        if (peer.link.get() != link) continue;
        if (ack.durable() || isOfOlderRelease) departureAcks_.durableAt(ack.number(), address);
        if (ack.in_force() || isOfOlderRelease) departureAcks_.inForceAt(ack.number(), address);
    }
    answerConfirmedDepartures(steadyNow());
}

void Controller::answerConfirmedDepartures(Micros now) {
    const auto confirmed = departureAcks_.takeConfirmed(voterAddresses(), controllersWithProxies(now));
    if (!inQuorumContact(now)) return endDepartures(confirmed, UnavailableReason::noQuorumContact);
    for (const DepartureAcks::Number number : confirmed) {
        const auto departures = departureAnswers_.extract(number);
        if (departures.empty()) continue;
        for (const PendingDeparture& departure : departures.mapped()) {
            const auto known = departures_.find(departure.id);
            if (known != departures_.end()) known->second.isAcknowledged = true;
            departure.answer({});
        }
    }
}

void Controller::endLateDepartures(Micros now) {
    endDepartures(departureAcks_.takeLate(now), UnavailableReason::timedOut);
    std::erase_if(departures_, [this](const auto& departure) {
        return registry_.servers().count(departure.first) == 0 &&
               registry_.departed().count(departure.first) == 0;
    });
}

void Controller::endDepartures(const std::vector<DepartureAcks::Number>& numbers, UnavailableReason reason) {
    for (const DepartureAcks::Number number : numbers) {
        const auto departures = departureAnswers_.extract(number);
        if (departures.empty()) continue;
        for (const PendingDeparture& departure : departures.mapped())
            departure.answer(problem(503, textOf(reason)));
    }
}

}  // namespace marldale::controller
