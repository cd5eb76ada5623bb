#include "membership/peers.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "bytes/mix.h"

namespace marldale::membership {
namespace {

using Kind = PeerMessage::Kind;

constexpr std::size_t kMaxNameBytes = 128;  // also of an address
// No start has a higher incarnation. A forged one at the top of the range would make refutation impossible.
constexpr std::uint64_t kMaxIncarnation = std::uint64_t{1} << 62U;

bool hasDeparted(PeerState state) { return state == PeerState::dead || state == PeerState::left; }

// Of two claims with the same incarnation the more severe one holds.
int severity(PeerState state) { return static_cast<int>(state); }

}  // namespace

Peers::Peers(std::string self, std::string address, std::uint64_t incarnation, PeerRules rules,
             std::uint64_t seed)
    : self_(std::move(self)),
      address_(std::move(address)),
      incarnation_(incarnation),
      firstIncarnation_(incarnation),
      rules_(rules),
      randomState_(seed * 0x9e3779b97f4a7c15ULL + 1) {}

std::uint32_t Peers::random(std::uint32_t below) {  // SplitMix64
    randomState_ += 0x9e3779b97f4a7c15ULL;
    return static_cast<std::uint32_t>(bytes::mixed(randomState_) % below);
}

double Peers::logMembers() const { return std::log2(static_cast<double>(members_.size()) + 2); }

void Peers::addSeed(const std::string& name, const std::string& address, Micros now) {
    if (name == self_ || members_.count(name) != 0 || members_.size() >= rules_.maxMembers) return;
    // Incarnation 0: it has not been heard from, and any claim of its own overrides this.
    members_[name] = {0, PeerState::alive, address, now, 0, false};
}

std::string Peers::addressOf(const std::string& name) const {
    const auto at = members_.find(name);
    return at == members_.end() ? std::string() : at->second.address;
}

std::map<std::string, PeerState> Peers::members() const {
    std::map<std::string, PeerState> out;
    for (const auto& [name, member] : members_) out[name] = member.state;
    return out;
}

std::vector<std::string> Peers::alive() const {
    std::vector<std::string> out;
    for (const auto& [name, member] : members_) {
        if (!hasDeparted(member.state) && member.incarnation > 0) out.push_back(name);
    }
    return out;
}

std::vector<PeerEvent> Peers::takeEvents() { return std::exchange(events_, {}); }

void Peers::set(const std::string& name, std::uint64_t incarnation, PeerState state, Micros now,
                const std::string& address) {
    const auto known = members_.find(name);
    const bool isNew = known == members_.end();
    if (isNew && members_.size() >= rules_.maxMembers) return;
    const PeerState before = isNew ? PeerState::left : known->second.state;
    const bool neverHeard = isNew || known->second.incarnation == 0;
    std::string newAddress = address.empty() && !isNew ? known->second.address : address;
    members_[name] = {incarnation, state, std::move(newAddress),
                      now,         0,     !isNew && known->second.duplicateReported};
    if (state == PeerState::alive) {
        if (hasDeparted(before) || neverHeard)
            event(PeerEvent::Kind::joined, name);
        else if (before == PeerState::suspect)
            event(PeerEvent::Kind::recovered, name);
    }
    if (state == PeerState::suspect && before == PeerState::alive) event(PeerEvent::Kind::suspected, name);
    if (state == PeerState::dead && !hasDeparted(before)) event(PeerEvent::Kind::died, name);
    if (state == PeerState::left && !hasDeparted(before)) event(PeerEvent::Kind::left, name);
}

void Peers::applyGossip(const Gossip& gossip, Micros now) {
    if (gossip.name.empty() || gossip.name.size() > kMaxNameBytes || gossip.address.size() > kMaxNameBytes ||
        gossip.incarnation > kMaxIncarnation)
        return;
    if (gossip.name == self_) {
        if (gossip.state == PeerState::alive) {
            // Only this instance raises its incarnation, so another one has the same name.
            if (gossip.incarnation > incarnation_) {
                event(PeerEvent::Kind::duplicateName, self_);
                incarnation_ = gossip.incarnation + 1;
                refutationGossiped_ = 0;
            }
        } else if (gossip.incarnation >= incarnation_) {
            incarnation_ = gossip.incarnation + 1;  // refutes it
            refutationGossiped_ = 0;
        }
        return;
    }
    const auto known = members_.find(gossip.name);
    if (known == members_.end()) {
        // Members that departed before they were known are of no interest.
        if (!hasDeparted(gossip.state))
            set(gossip.name, gossip.incarnation, gossip.state, now, gossip.address);
        return;
    }
    const Member& member = known->second;
    const bool newer = gossip.incarnation > member.incarnation;
    const bool moreSevere =
        gossip.incarnation == member.incarnation && severity(gossip.state) > severity(member.state);
    if (newer || moreSevere) set(gossip.name, gossip.incarnation, gossip.state, now, gossip.address);
}

void Peers::addGossip(std::vector<Gossip>& into, const std::string& to) {
    const auto maxTimes = static_cast<unsigned>(std::ceil(rules_.gossipRepeats * (logMembers() + 1)));
    if (incarnation_ != firstIncarnation_ && refutationGossiped_ < maxTimes) ++refutationGossiped_;
    // This instance's own claim is always included: it tells others its incarnation.
    into.push_back({self_, incarnation_, left_ ? PeerState::left : PeerState::alive, address_});
    // A receiver that is suspected or declared dead must learn so first of all: only it can refute that.
    const auto target = members_.find(to);
    if (target != members_.end() && target->second.state != PeerState::alive &&
        target->second.incarnation > 0) {
        into.push_back({to, target->second.incarnation, target->second.state, target->second.address});
    }
    std::vector<std::pair<unsigned, std::string>> pending;
    for (const auto& [name, member] : members_) {
        if (member.timesGossiped < maxTimes && name != to && member.incarnation > 0)
            pending.emplace_back(member.timesGossiped, name);
    }
    std::sort(pending.begin(), pending.end());
    for (const auto& [timesGossiped, name] : pending) {
        if (into.size() >= rules_.maxGossip) return;
        Member& member = members_.at(name);
        ++member.timesGossiped;
        into.push_back({name, member.incarnation, member.state, member.address});
    }
    // Fill up with random others: this is how a new member learns of all, and how the end of a partition is
    // noticed.
    std::vector<std::string> others;
    for (const auto& [name, member] : members_) {
        if (name != to && member.incarnation > 0 && member.timesGossiped >= maxTimes) others.push_back(name);
    }
    while (into.size() < rules_.maxGossip && !others.empty()) {
        const std::size_t at = random(static_cast<std::uint32_t>(others.size()));
        const Member& member = members_.at(others[at]);
        into.push_back({others[at], member.incarnation, member.state, member.address});
        others.erase(others.begin() + static_cast<std::ptrdiff_t>(at));
    }
}

PeerMessage Peers::makeMessage(Kind kind, const std::string& to, std::uint64_t number,
                               const std::string& about) {
    PeerMessage out{kind, self_, to, number, about, {}};
    addGossip(out.gossip, to);
    return out;
}

// Every member once a round, in a new order each time, and some of the dead ones, since partitions end.
std::string Peers::nextToProbe() {
    for (int rounds = 0; rounds < 2; ++rounds) {
        while (!probeOrder_.empty()) {
            const std::string name = probeOrder_.back();
            probeOrder_.pop_back();
            const auto at = members_.find(name);
            if (at != members_.end() && at->second.state != PeerState::left) return name;
        }
        for (const auto& [name, member] : members_) {
            const bool revisit = member.state == PeerState::dead && random(4) == 0;
            if (!hasDeparted(member.state) || revisit) probeOrder_.push_back(name);
        }
        for (std::size_t i = probeOrder_.size(); i > 1; --i) {
            std::swap(probeOrder_[i - 1], probeOrder_[random(static_cast<std::uint32_t>(i))]);
        }
    }
    return {};
}

void Peers::endProbe(Micros now) {
    if (!probe_) return;
    const Probe probe = *std::exchange(probe_, std::nullopt);
    const auto at = members_.find(probe.name);
    if (probe.answered || at == members_.end() || at->second.state != PeerState::alive) return;
    set(probe.name, at->second.incarnation, PeerState::suspect, now);
}

void Peers::expireSuspicions(Micros now) {
    const auto timeout = static_cast<Micros>(rules_.suspicionPeriods * (logMembers() + 1) *
                                             static_cast<double>(rules_.period));
    std::vector<std::string> dead;
    for (const auto& [name, member] : members_) {
        if (member.state == PeerState::suspect && now - member.since >= timeout) dead.push_back(name);
    }
    for (const std::string& name : dead) set(name, members_.at(name).incarnation, PeerState::dead, now);
    std::erase_if(members_, [&](const auto& entry) {
        return hasDeparted(entry.second.state) && now - entry.second.since >= rules_.departedRetention;
    });
    std::erase_if(relayedPings_, [&](const auto& entry) { return now >= entry.second.until; });
}

std::vector<PeerMessage> Peers::tick(Micros now) {
    std::vector<PeerMessage> out;
    if (left_) return out;
    if (probe_ && !probe_->helpersAsked && !probe_->answered && now - probe_->begun >= rules_.ackTimeout) {
        probe_->helpersAsked = true;
        std::vector<std::string> helpers;
        for (const std::string& name : alive()) {
            if (name != probe_->name && members_.at(name).state == PeerState::alive) helpers.push_back(name);
        }
        for (unsigned i = 0; i < rules_.maxHelpers && !helpers.empty(); ++i) {
            const std::size_t at = random(static_cast<std::uint32_t>(helpers.size()));
            out.push_back(makeMessage(Kind::askToPing, helpers[at], probe_->number, probe_->name));
            helpers.erase(helpers.begin() + static_cast<std::ptrdiff_t>(at));
        }
    }
    if (started_ && now < nextPeriod_) return out;
    started_ = true;
    nextPeriod_ = now + rules_.period;
    endProbe(now);
    expireSuspicions(now);
    const std::string name = nextToProbe();
    if (name.empty()) return out;
    probe_ = Probe{name, ++lastNumber_, now, false, false};
    out.push_back(makeMessage(Kind::ping, name, lastNumber_));
    return out;
}

// A sender that states its own address differently from the one known, with an older incarnation, is another
// instance of the same name.
void Peers::detectDuplicate(const PeerMessage& incoming) {
    const auto known = members_.find(incoming.from);
    if (known == members_.end() || known->second.state != PeerState::alive || known->second.duplicateReported)
        return;
    for (const Gossip& claim : incoming.gossip) {
        if (claim.name != incoming.from || claim.state != PeerState::alive ||
            claim.incarnation >= known->second.incarnation || claim.address == known->second.address)
            continue;
        known->second.duplicateReported = true;
        event(PeerEvent::Kind::duplicateName, incoming.from);
        return;
    }
}

std::vector<PeerMessage> Peers::received(const PeerMessage& incoming, Micros now) {
    std::vector<PeerMessage> out;
    if (left_ || incoming.to != self_) return out;
    detectDuplicate(incoming);
    for (std::size_t i = 0; i < incoming.gossip.size() && i < rules_.maxReceivedGossip; ++i)
        applyGossip(incoming.gossip[i], now);
    switch (incoming.kind) {
        case Kind::ping: out.push_back(makeMessage(Kind::ack, incoming.from, incoming.number)); break;
        case Kind::askToPing:
            if (incoming.about == self_ || relayedPings_.size() >= 4 * rules_.maxMembers) break;
            relayedPings_[++lastNumber_] = {incoming.from, incoming.about, incoming.number,
                                            now + rules_.period};
            out.push_back(makeMessage(Kind::ping, incoming.about, lastNumber_));
            break;
        case Kind::ack: {
            const auto relayed = relayedPings_.find(incoming.number);
            if (relayed != relayedPings_.end() && relayed->second.target == incoming.from) {
                out.push_back(makeMessage(Kind::ack, relayed->second.requester, relayed->second.requestNumber,
                                          incoming.from));
                relayedPings_.erase(relayed);
                break;
            }
            const std::string& answered = incoming.about.empty() ? incoming.from : incoming.about;
            if (probe_ && probe_->number == incoming.number && probe_->name == answered)
                probe_->answered = true;
            break;
        }
        case Kind::leave: break;  // the sender's gossip has already said so
    }
    return out;
}

std::vector<PeerMessage> Peers::leave(Micros /*now*/) {
    left_ = true;
    std::vector<PeerMessage> out;
    for (const std::string& name : alive()) out.push_back(makeMessage(Kind::leave, name, 0));
    return out;
}

Micros Peers::nextDue() const {
    const bool awaitsAck = probe_ && !probe_->helpersAsked && !probe_->answered;
    return awaitsAck ? std::min(nextPeriod_, probe_->begun + rules_.ackTimeout) : nextPeriod_;
}

}  // namespace marldale::membership
