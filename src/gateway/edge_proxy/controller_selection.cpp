#include "gateway/edge_proxy/controller_selection.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>
#include <utility>

#include "gateway/settings/contact_limits.h"

namespace marldale::edge_proxy {
SelectionLimits selectionLimits(const settings::Bounds& bounds) {
    SelectionLimits out;
    out.maxContactAge = settings::quorumContactLimit(bounds);
    out.maxSilence = bounds.apply * 11 / 20;
    out.isolatedAfter = bounds.apply * 5 / 4;
    out.unprovenTimeout = bounds.apply / 5;
    out.maxLoopDelay = bounds.apply * 3 / 10;
    return out;
}

const char* textOf(LeaveReason reason) {
    switch (reason) {
        case LeaveReason::silent: return "silent";
        case LeaveReason::noQuorumContact: return "no quorum contact";
        case LeaveReason::closed: return "closed";
        case LeaveReason::olderConfiguration: return "older than what is held";
    }
    return "";
}

ControllerSelection::ControllerSelection(SelectionLimits limits, std::string node, std::string zone,
                                         std::uint64_t start, Micros now, SelectionFaults faults)
    : limits_(limits),
      faults_(faults),
      node_(std::move(node)),
      zone_(std::move(zone)),
      marks_(start),
      startedAt_(now) {}

void ControllerSelection::know(const proto::Peer& peer) { candidates_[peer.address()].peer = peer; }

void ControllerSelection::knowAddress(const std::string& address) {
    Candidate& candidate = candidates_[address];
    if (candidate.peer.address().empty()) candidate.peer.set_address(address);
}

void ControllerSelection::forgetFailed(Micros now, const Named& named) {
    std::erase_if(candidates_, [&](const auto& at) {
        const Micros failedAt = at.second.failedAt;
        return failedAt != 0 && now - failedAt > limits_.forgetAfter && !named(at.first);
    });
    for (auto& [address, candidate] : candidates_) {
        if (candidate.failedAt != 0 && now - candidate.failedAt > limits_.failureMemory)
            candidate.failedAt = 0;
    }
}

std::optional<std::string> ControllerSelection::choose(Micros now, const Named& named) {
    forgetFailed(now, named);
    return best();
}

std::optional<std::string> ControllerSelection::best() const {
    const auto rankOf = [this](const std::string& address, const Candidate& candidate) {
        const std::string mix = node_ + address;
        // The current controller comes last: it is suspected whenever another one is sought.
        return std::tuple(address == address_, candidate.failedAt, candidate.peer.zone() != zone_,
                          XXH3_64bits(mix.data(), mix.size()));
    };
    const auto least = std::min_element(
        candidates_.begin(), candidates_.end(),
        [&](const auto& a, const auto& b) { return rankOf(a.first, a.second) < rankOf(b.first, b.second); });
    if (least == candidates_.end()) return std::nullopt;
    return least->first;
}

void ControllerSelection::failed(Micros now, const std::string& address) {
    if (const auto at = candidates_.find(address); at != candidates_.end()) at->second.failedAt = now;
}

void ControllerSelection::bound(Micros now, const std::string& address) {
    address_ = address;
    boundAt_ = now;
    checkedAt_ = now;
    loopDelayGraceUntil_ = 0;
    reportedNoContact_ = false;
}

void ControllerSelection::left(Micros now, LeaveReason /*reason*/) {
    failed(now, address_);
    address_.clear();
}

std::optional<Micros> ControllerSelection::sentNoEarlier(const proto::Heartbeat& heartbeat) const {
    return marks_.sentNoEarlier(heartbeat.echo(), heartbeat.echo_held());
}

void ControllerSelection::heartbeat(Micros now, const proto::Heartbeat& heartbeat, std::uint64_t heldIndex) {
    // Twice the limit, so that an election, which affects all controllers alike, does not trigger it.
    reportedNoContact_ = heartbeat.age() > 2 * limits_.maxContactAge;
    delay_ = {0, heartbeat.echo_held(), heartbeat.age(), false};
    if (const auto sent = marks_.sentNoEarlier(heartbeat.echo(), 0))
        delay_.roundTrip = now - *sent - heartbeat.echo_held();
    if (heartbeat.age() < 0 || heartbeat.index() < heldIndex) return;
    // The controller receives nothing from this proxy: the link works one way only, and nothing would be
    // acknowledged.
    if (heartbeat.echo_held() > limits_.maxContactAge / 2) return;
    const auto sentAt = faults_.trustsArrival ? std::optional(now)
                                              : marks_.sentNoEarlier(heartbeat.echo(), heartbeat.echo_held());
    if (!sentAt) return;
    const Micros contactAt = std::min(now, *sentAt) - heartbeat.age();
    contactAt_ = std::max(contactAt_, contactAt);
    delay_.counted = true;
    if (now - contactAt > limits_.maxContactAge) return;
    if (const auto at = candidates_.find(address_); at != candidates_.end()) at->second.failedAt = 0;
}

std::optional<LeaveReason> ControllerSelection::check(Micros now, Micros heardAt) {
    if (now - std::exchange(checkedAt_, now) > limits_.maxLoopDelay)
        loopDelayGraceUntil_ = now + limits_.unprovenTimeout;
    if (now < loopDelayGraceUntil_) return std::nullopt;
    if (now - heardAt > limits_.maxSilence) return LeaveReason::silent;
    if (faults_.staysWithoutProof) return std::nullopt;
    if (proven(now)) return std::nullopt;
    const Micros patience = reportedNoContact_ ? limits_.unprovenTimeout : limits_.maxContactAge;
    if (now - boundAt_ > patience) return LeaveReason::noQuorumContact;
    return std::nullopt;
}

bool ControllerSelection::proven(Micros now) const {
    return contactAt_ != 0 && now - contactAt_ <= limits_.maxContactAge;
}

Micros ControllerSelection::contactAge(Micros now) const {
    return now - (contactAt_ == 0 ? startedAt_ : std::max(contactAt_, startedAt_));
}

}  // namespace marldale::edge_proxy
