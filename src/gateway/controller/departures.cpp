// Departures of servers (`emptying`, or a sign-off): acknowledged once a majority of the voters has them on
// disk, and part of what a restart begins with and of what controllers exchange when they meet.
#include "gateway/controller/controller.h"
#include "gateway/controller/controller_shared.h"
#include "gateway/log/log.h"

namespace marldale::controller {
namespace {

using transport::Link;
using transport::steadyNow;

constexpr Micros kAcknowledgedWithin = 700000;

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
void Controller::departuresChanged(Micros now) {
    proto::ServerUpdates known;
    for (proto::Server& departed : registry_.departures(now)) *known.add_servers() = std::move(departed);
    for (const auto& [id, server] : registry_.servers()) {
        if (!server.said.emptying()) continue;
        known.add_servers()->set_id(id);
        known.mutable_servers()->rbegin()->set_gone(true);
    }
    departureCopy_.change(known.SerializeAsString());
}

std::vector<std::string> Controller::voterAddresses() const {
    std::vector<std::string> out;
    for (const proto::Member& voter : replica_->members().voters()) out.push_back(voter.address());
    return out;
}

// Each repeat of the call asks anew.
void Controller::acknowledgeDeparture(const proto::Server& said, Answer answer, Micros now) {
    if (!inQuorumContact(now)) return answer(problem(503, textOf(UnavailableReason::noQuorumContact)));
    const DepartureAcks::Number number = ++lastDeparture_;
    proto::Frame frame;
    const auto at = registry_.servers().find(said.id());
    *frame.mutable_updates()->add_servers() =
        at == registry_.servers().end() ? said : registry_.wordOf(at->second, now);
    frame.mutable_updates()->set_number(number);
    sendToPeers(frame);
    departureAcks_.add(number, now + kAcknowledgedWithin);
    departureAnswers_.emplace(number, std::move(answer));
    departureCopy_.whenDurable([this, number] {
        departureAcks_.confirmed(number, settings_.inside());
        answerConfirmedDepartures(steadyNow());
    });
    arm();
}

void Controller::updateAcknowledged(const Link* link, std::uint64_t number) {
    for (const auto& [address, peer] : peers_) {
        if (peer.link.get() == link) departureAcks_.confirmed(number, address);
    }
    answerConfirmedDepartures(steadyNow());
}

void Controller::answerConfirmedDepartures(Micros now) {
    const auto confirmed = departureAcks_.takeConfirmed(voterAddresses());
    if (!inQuorumContact(now)) return endDepartures(confirmed, UnavailableReason::noQuorumContact);
    for (const DepartureAcks::Number number : confirmed) {
        const auto answer = departureAnswers_.extract(number);
        if (!answer.empty()) answer.mapped()({});
    }
}

void Controller::endLateDepartures(Micros now) {
    endDepartures(departureAcks_.takeLate(now), UnavailableReason::timedOut);
}

void Controller::endDepartures(const std::vector<DepartureAcks::Number>& numbers, UnavailableReason reason) {
    for (const DepartureAcks::Number number : numbers) {
        const auto answer = departureAnswers_.extract(number);
        if (!answer.empty()) answer.mapped()(problem(503, textOf(reason)));
    }
}

}  // namespace marldale::controller
