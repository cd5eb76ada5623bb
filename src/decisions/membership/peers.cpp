#include "membership/peers.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "bytes/mix.h"

namespace marldale::membership {
namespace {

using Kind = PeerMessage::Kind;

// No start has such an incarnation; above it a refutation would have no number left.
constexpr std::size_t kNameMost = 128;
constexpr std::uint64_t kIncarnationMost = std::uint64_t{1} << 62U;

bool isOver(PeerState state) { return state == PeerState::dead || state == PeerState::left; }

// Whether a word of the same incarnation overrides another: what is worse does.
int gravity(PeerState state) { return static_cast<int>(state); }

}  // namespace

Peers::Peers(std::string self, std::string address, std::uint64_t incarnation, PeerRules rules,
             std::uint64_t seed)
    : self_(std::move(self)),
      address_(std::move(address)),
      incarnation_(incarnation),
      firstIncarnation_(incarnation),
      rules_(rules),
      random_(seed * 0x9e3779b97f4a7c15ULL + 1) {}

std::uint32_t Peers::random(std::uint32_t below) {  // SplitMix64
    random_ += 0x9e3779b97f4a7c15ULL;
    return static_cast<std::uint32_t>(bytes::mixed(random_) % below);
}

double Peers::logOfMembers() const { return std::log2(static_cast<double>(members_.size()) + 2); }

void Peers::addSeed(const std::string& name, const std::string& address, Micros now) {
    if (name == self_ || members_.count(name) != 0 || members_.size() >= rules_.membersMost) return;
    // Incarnation 0: it has not been heard yet, and any word of its own counts more.
    members_[name] = {0, PeerState::alive, address, now, 0, false};
}

std::string Peers::addressOf(const std::string& name) const {
    const auto at = members_.find(name);
    return at == members_.end() ? std::string() : at->second.address;
}

std::map<std::string, PeerState> Peers::members() const {
    std::map<std::string, PeerState> out;
    for (const auto& [name, m] : members_) out[name] = m.state;
    return out;
}

std::vector<std::string> Peers::alive() const {
    std::vector<std::string> out;
    for (const auto& [name, m] : members_) {
        if (!isOver(m.state) && m.incarnation > 0) out.push_back(name);
    }
    return out;
}

std::vector<PeerEvent> Peers::takeEvents() { return std::exchange(events_, {}); }

void Peers::set(const std::string& name, std::uint64_t incarnation, PeerState state, Micros now,
                const std::string& address) {
    const auto known = members_.find(name);
    const bool fresh = known == members_.end();
    if (fresh && members_.size() >= rules_.membersMost) return;
    const PeerState before = fresh ? PeerState::left : known->second.state;
    const bool unheard = fresh || known->second.incarnation == 0;
    std::string at = address.empty() && !fresh ? known->second.address : address;
    members_[name] = {incarnation, state, std::move(at), now, 0, !fresh && known->second.doubled};
    if (state == PeerState::alive) {
        if (isOver(before) || unheard)
            event(PeerEvent::Kind::joined, name);
        else if (before == PeerState::suspect)
            event(PeerEvent::Kind::recovered, name);
    }
    if (state == PeerState::suspect && before == PeerState::alive) event(PeerEvent::Kind::suspected, name);
    if (state == PeerState::dead && !isOver(before)) event(PeerEvent::Kind::died, name);
    if (state == PeerState::left && !isOver(before)) event(PeerEvent::Kind::left, name);
}

void Peers::hear(const Gossip& gossip, Micros now) {
    if (gossip.name.empty() || gossip.name.size() > kNameMost || gossip.address.size() > kNameMost ||
        gossip.incarnation > kIncarnationMost)
        return;
    if (gossip.name == self_) {
        if (gossip.state == PeerState::alive) {
            // Nobody but us raises our incarnation: somebody else has our name.
            if (gossip.incarnation > incarnation_) {
                event(PeerEvent::Kind::duplicateName, self_);
                incarnation_ = gossip.incarnation + 1;
                selfTold_ = 0;
            }
        } else if (gossip.incarnation >= incarnation_) {
            incarnation_ = gossip.incarnation + 1;  // we are here
            selfTold_ = 0;
        }
        return;
    }
    const auto known = members_.find(gossip.name);
    if (known == members_.end()) {
        // Of the dead nobody needs to hear for the first time.
        if (!isOver(gossip.state)) set(gossip.name, gossip.incarnation, gossip.state, now, gossip.address);
        return;
    }
    const Member& m = known->second;
    const bool newer = gossip.incarnation > m.incarnation;
    const bool graver = gossip.incarnation == m.incarnation && gravity(gossip.state) > gravity(m.state);
    if (newer || graver) set(gossip.name, gossip.incarnation, gossip.state, now, gossip.address);
}

void Peers::addGossip(std::vector<Gossip>& into, const std::string& to) {
    const auto most = static_cast<unsigned>(std::ceil(rules_.toldTimes * (logOfMembers() + 1)));
    if (incarnation_ != firstIncarnation_ && selfTold_ < most) ++selfTold_;
    // Its own word is always among them: it is how others know its incarnation.
    into.push_back({self_, incarnation_, gone_ ? PeerState::left : PeerState::alive, address_});
    // Whom we suspect, or take for dead, must hear of it first of all: only it can refute.
    const auto target = members_.find(to);
    if (target != members_.end() && target->second.state != PeerState::alive &&
        target->second.incarnation > 0) {
        into.push_back({to, target->second.incarnation, target->second.state, target->second.address});
    }
    std::vector<std::pair<unsigned, std::string>> open;
    for (const auto& [name, m] : members_) {
        if (m.told < most && name != to && m.incarnation > 0) open.emplace_back(m.told, name);
    }
    std::sort(open.begin(), open.end());
    for (const auto& [told, name] : open) {
        if (into.size() >= rules_.gossipMost) return;
        Member& m = members_.at(name);
        ++m.told;
        into.push_back({name, m.incarnation, m.state, m.address});
    }
    // Where there is room left, anybody: so that who has just come learns of all, and a partition that ends
    // is found.
    std::vector<std::string> others;
    for (const auto& [name, m] : members_) {
        if (name != to && m.incarnation > 0 && m.told >= most) others.push_back(name);
    }
    while (into.size() < rules_.gossipMost && !others.empty()) {
        const std::size_t at = random(static_cast<std::uint32_t>(others.size()));
        const Member& m = members_.at(others[at]);
        into.push_back({others[at], m.incarnation, m.state, m.address});
        others.erase(others.begin() + static_cast<std::ptrdiff_t>(at));
    }
}

PeerMessage Peers::message(Kind kind, const std::string& to, std::uint64_t number, const std::string& about) {
    PeerMessage out{kind, self_, to, number, about, {}};
    addGossip(out.gossip, to);
    return out;
}

// Every member once a round, in a new order each time; now and then one that is dead, for partitions end.
std::string Peers::nextOfRound() {
    for (int rounds = 0; rounds < 2; ++rounds) {
        while (!round_.empty()) {
            const std::string name = round_.back();
            round_.pop_back();
            const auto at = members_.find(name);
            if (at != members_.end() && at->second.state != PeerState::left) return name;
        }
        for (const auto& [name, m] : members_) {
            const bool revisit = m.state == PeerState::dead && random(4) == 0;
            if (!isOver(m.state) || revisit) round_.push_back(name);
        }
        for (std::size_t i = round_.size(); i > 1; --i) {
            std::swap(round_[i - 1], round_[random(static_cast<std::uint32_t>(i))]);
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

void Peers::ageSuspicions(Micros now) {
    const auto most = static_cast<Micros>(rules_.suspicionPeriods * (logOfMembers() + 1) *
                                          static_cast<double>(rules_.period));
    std::vector<std::string> dead;
    for (const auto& [name, m] : members_) {
        if (m.state == PeerState::suspect && now - m.since >= most) dead.push_back(name);
    }
    for (const std::string& name : dead) set(name, members_.at(name).incarnation, PeerState::dead, now);
    std::erase_if(members_, [&](const auto& m) {
        return isOver(m.second.state) && now - m.second.since >= rules_.deadKept;
    });
    std::erase_if(asked_, [&](const auto& a) { return now >= a.second.until; });
}

std::vector<PeerMessage> Peers::tick(Micros now) {
    std::vector<PeerMessage> out;
    if (gone_) return out;
    if (probe_ && !probe_->asked && !probe_->answered && now - probe_->begun >= rules_.ackWithin) {
        probe_->asked = true;
        std::vector<std::string> helpers;
        for (const std::string& name : alive()) {
            if (name != probe_->name && members_.at(name).state == PeerState::alive) helpers.push_back(name);
        }
        for (unsigned i = 0; i < rules_.askedMost && !helpers.empty(); ++i) {
            const std::size_t at = random(static_cast<std::uint32_t>(helpers.size()));
            out.push_back(message(Kind::askToPing, helpers[at], probe_->number, probe_->name));
            helpers.erase(helpers.begin() + static_cast<std::ptrdiff_t>(at));
        }
    }
    if (begun_ && now < nextPeriod_) return out;
    begun_ = true;
    nextPeriod_ = now + rules_.period;
    endProbe(now);
    ageSuspicions(now);
    const std::string name = nextOfRound();
    if (name.empty()) return out;
    probe_ = Probe{name, ++lastNumber_, now, false, false};
    out.push_back(message(Kind::ping, name, lastNumber_));
    return out;
}

// Who speaks for itself from another place, in a life that is over by what we know, is not the one we know.
void Peers::noteDouble(const PeerMessage& m) {
    const auto known = members_.find(m.from);
    if (known == members_.end() || known->second.state != PeerState::alive || known->second.doubled) return;
    for (const Gossip& g : m.gossip) {
        if (g.name != m.from || g.state != PeerState::alive || g.incarnation >= known->second.incarnation ||
            g.address == known->second.address)
            continue;
        known->second.doubled = true;
        event(PeerEvent::Kind::duplicateName, m.from);
        return;
    }
}

std::vector<PeerMessage> Peers::received(const PeerMessage& m, Micros now) {
    std::vector<PeerMessage> out;
    if (gone_ || m.to != self_) return out;
    noteDouble(m);
    for (std::size_t i = 0; i < m.gossip.size() && i < rules_.gossipIn; ++i) hear(m.gossip[i], now);
    switch (m.kind) {
        case Kind::ping: out.push_back(message(Kind::ack, m.from, m.number)); break;
        case Kind::askToPing:
            if (m.about == self_ || asked_.size() >= 4 * rules_.membersMost) break;
            asked_[++lastNumber_] = {m.from, m.about, m.number, now + rules_.period};
            out.push_back(message(Kind::ping, m.about, lastNumber_));
            break;
        case Kind::ack: {
            const auto asked = asked_.find(m.number);
            if (asked != asked_.end() && asked->second.about == m.from) {
                out.push_back(message(Kind::ack, asked->second.by, asked->second.theirs, m.from));
                asked_.erase(asked);
                break;
            }
            const std::string& who = m.about.empty() ? m.from : m.about;
            if (probe_ && probe_->number == m.number && probe_->name == who) probe_->answered = true;
            break;
        }
        case Kind::leave: break;  // its gossip has said so
    }
    return out;
}

std::vector<PeerMessage> Peers::leave(Micros /*now*/) {
    gone_ = true;
    std::vector<PeerMessage> out;
    for (const std::string& name : alive()) out.push_back(message(Kind::leave, name, 0));
    return out;
}

Micros Peers::nextDue() const {
    const bool asks = probe_ && !probe_->asked && !probe_->answered;
    return asks ? std::min(nextPeriod_, probe_->begun + rules_.ackWithin) : nextPeriod_;
}

}  // namespace marldale::membership
