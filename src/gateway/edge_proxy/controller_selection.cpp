#include "gateway/edge_proxy/controller_selection.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>
#include <utility>

#include "gateway/settings/contact_limits.h"

namespace marldale::edge_proxy {
SelectionLimits selectionLimits(const settings::Bounds& bounds) {
    SelectionLimits out;
    out.contact = settings::quorumContactLimit(bounds);
    out.maxSilence = bounds.apply * 11 / 20;
    out.stranded = bounds.apply * 5 / 4;
    out.unproven = bounds.apply / 5;
    out.lateLoop = bounds.apply * 3 / 10;
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
        return failedAt != 0 && now - failedAt > limits_.forget && !named(at.first);
    });
    for (auto& [address, candidate] : candidates_) {
        if (candidate.failedAt != 0 && now - candidate.failedAt > limits_.forgive) candidate.failedAt = 0;
    }
}

std::optional<std::string> ControllerSelection::choose(Micros now, const Named& named) {
    forgetFailed(now, named);
    return best();
}

std::optional<std::string> ControllerSelection::best() const {
    const auto rankOf = [this](const std::string& address, const Candidate& candidate) {
        const std::string mix = node_ + address;
        // The present one, which is doubted where another is looked for, comes last.
        return std::tuple(address == at_, candidate.failedAt, candidate.peer.zone() != zone_,
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
    at_ = address;
    boundAt_ = now;
    checkedAt_ = now;
    patienceUntil_ = 0;
    toldNoContact_ = false;
}

void ControllerSelection::left(Micros now, LeaveReason /*reason*/) {
    failed(now, at_);
    at_.clear();
}

std::optional<Micros> ControllerSelection::sentNoEarlier(const proto::Heartbeat& heartbeat) const {
    return marks_.sentNoEarlier(heartbeat.echo(), heartbeat.echo_held());
}

void ControllerSelection::heartbeat(Micros now, const proto::Heartbeat& heartbeat, std::uint64_t heldIndex) {
    // Well over the limit: an election alone, which strikes all controllers alike, is waited for.
    toldNoContact_ = heartbeat.age() > 2 * limits_.contact;
    delay_ = {0, heartbeat.echo_held(), heartbeat.age(), false};
    if (const auto sent = marks_.sentNoEarlier(heartbeat.echo(), 0))
        delay_.roundTrip = now - *sent - heartbeat.echo_held();
    if (heartbeat.age() < 0 || heartbeat.index() < heldIndex) return;
    // It hears nothing of this proxy any more: the link works one way only, and nothing would be
    // acknowledged.
    if (heartbeat.echo_held() > limits_.contact / 2) return;
    const auto sentAt = faults_.trustsArrival ? std::optional(now)
                                              : marks_.sentNoEarlier(heartbeat.echo(), heartbeat.echo_held());
    if (!sentAt) return;
    const Micros contactAt = std::min(now, *sentAt) - heartbeat.age();
    contactAt_ = std::max(contactAt_, contactAt);
    delay_.counted = true;
    if (now - contactAt > limits_.contact) return;
    if (const auto at = candidates_.find(at_); at != candidates_.end()) at->second.failedAt = 0;
}

std::optional<LeaveReason> ControllerSelection::check(Micros now, Micros heardAt) {
    if (now - std::exchange(checkedAt_, now) > limits_.lateLoop) patienceUntil_ = now + limits_.unproven;
    if (now < patienceUntil_) return std::nullopt;
    if (now - heardAt > limits_.maxSilence) return LeaveReason::silent;
    if (faults_.staysWithoutProof) return std::nullopt;
    if (proven(now)) return std::nullopt;
    const Micros patience = toldNoContact_ ? limits_.unproven : limits_.contact;
    if (now - boundAt_ > patience) return LeaveReason::noQuorumContact;
    return std::nullopt;
}

bool ControllerSelection::proven(Micros now) const {
    return contactAt_ != 0 && now - contactAt_ <= limits_.contact;
}

Micros ControllerSelection::contactAge(Micros now) const {
    return now - (contactAt_ == 0 ? startedAt_ : std::max(contactAt_, startedAt_));
}

}  // namespace marldale::edge_proxy
