#include "recovery/memory.h"

#include <algorithm>
#include <utility>

namespace marldale::recovery {
namespace {

using membership::PeerEvent;

std::string told(const PeerEvent& event) {
    switch (event.kind) {
        case PeerEvent::Kind::joined: return "peer " + event.name + " is there";
        case PeerEvent::Kind::suspected: return "peer " + event.name + " does not answer";
        case PeerEvent::Kind::recovered: return "peer " + event.name + " answers again";
        case PeerEvent::Kind::died: return "peer " + event.name + " is taken for dead";
        case PeerEvent::Kind::left: return "peer " + event.name + " has left";
        case PeerEvent::Kind::duplicateName:
            return "two instances are called " + event.name + ": give each its own name";
    }
    return "?";
}

}  // namespace

Memory::Memory(const MemorySettings& settings, Micros now)
    : share_(settings.share),
      copyHolds_(settings.ask.copyHolds),
      knowledge_(settings.self, settings.incarnation, settings.knowledge),
      asking_(settings.ask, settings.seed, now),
      peers_(settings.self, "", settings.incarnation, settings.membership, settings.seed) {
    for (const PeerEndpoint& peer : settings.peers) {
        if (peer.name == settings.self) continue;
        asking_.know(peer.name, now);
        peers_.addSeed(peer.name, peer.address, now);
    }
}

void Memory::connect(const std::string& address) {
    connected_ = share_;
    peers_.setAddress(address);
}

void Memory::listed(std::uint64_t version, const std::map<std::string, Knowledge::Listed>& all, Micros now) {
    knowledge_.listSays(version, all, now);
    fresh_ = true;
}

void Memory::left(std::uint32_t proxy) {
    zones_.erase(proxy);
    knowledge_.left(proxy);
}

void Memory::came(std::uint32_t proxy, const std::string& klass, double rate, Micros now) {
    const auto zone = zones_.find(proxy);
    if (zone != zones_.end()) knowledge_.came(proxy, zone->second, klass, rate, now);
}

MergeCounts Memory::recall(const Handover& handover, Micros age, Micros now) {
    fresh_ = true;
    return knowledge_.merge(handover, age, now);
}

void Memory::answered(const std::string& peer, const std::optional<Handover>& handover, Micros transit,
                      const std::string& wrong, Micros now) {
    if (!asking_.awaits(peer)) return;
    if (!handover) {
        asking_.failed(peer, now);
        lines_.push_back("peer " + peer + " told nothing: " + wrong);
        return;
    }
    const MergeCounts counts = knowledge_.merge(*handover, transit + copyHolds_, now);
    const bool useful = counts.taken + counts.known > 0 && knowledge_.knowsAnything(now);
    asking_.answered(peer, useful, now);
    fresh_ = true;
    lines_.push_back("peer " + peer + " answered within " + std::to_string(transit / 1000) + " ms: " +
                     std::to_string(counts.taken) + " facts taken, " + std::to_string(counts.known) +
                     " known already, " + std::to_string(counts.refused) + " refused");
}

void Memory::heard(const membership::PeerMessage& message, Micros now) {
    for (auto& answer : peers_.received(message, now)) answers_.push_back(std::move(answer));
}

// What was told already is not told again: of a sum that has grown the rest goes.
void Memory::tellSums(Micros now, MemoryActions& out) {
    for (const RecalledSum& sum : knowledge_.recalled(now)) {
        RecalledSum& before =
            told_.try_emplace({sum.box, sum.zone}, RecalledSum{sum.box, sum.zone, 0, 0, 0}).first->second;
        RecalledSum more = sum;
        more.tries -= before.tries;
        if (more.tries < 1) continue;
        more.failed = std::clamp(sum.failed - before.failed, 0.0, more.tries);
        before.tries += more.tries;
        before.failed += more.failed;
        out.sums.push_back(std::move(more));
    }
}

void Memory::tellHolds(Micros now, MemoryActions& out) {
    std::set<std::string> held = knowledge_.heldBack(now);
    for (const std::string& box : held) {
        if (held_.count(box) == 0) out.holds.push_back({box, true});
    }
    for (const std::string& box : held_) {
        if (held.count(box) == 0) out.holds.push_back({box, false});
    }
    held_ = std::move(held);
}

void Memory::tellPeers(Micros now, MemoryActions& out) {
    if (!connected_) return;
    for (auto& message : peers_.tick(now)) out.say.push_back(std::move(message));
    for (const PeerEvent& event : peers_.takeEvents()) {
        if (event.kind == PeerEvent::Kind::joined) asking_.know(event.name, now);
        out.lines.push_back(told(event));
    }
    for (const std::string& peer : asking_.due(now)) out.ask.push_back({peer, peers_.addressOf(peer)});
}

MemoryActions Memory::due(Micros now) {
    MemoryActions out;
    out.say = std::exchange(answers_, {});
    out.lines = std::exchange(lines_, {});
    tellPeers(now, out);
    tellHolds(now, out);
    if (std::exchange(fresh_, false) && asking_.open(now)) tellSums(now, out);
    return out;
}

std::optional<Micros> Memory::nextDue(Micros now) const {
    if (fresh_ || !answers_.empty() || !lines_.empty()) return now;
    std::optional<Micros> out;
    const auto sooner = [&](std::optional<Micros> at) {
        if (at && (!out || *at < *out)) out = at;
    };
    if (connected_) {
        sooner(peers_.nextDue());
        sooner(asking_.nextDue(now));
    }
    if (!held_.empty()) sooner(now + 1000000);
    return out;
}

std::vector<membership::PeerMessage> Memory::leave(Micros now) {
    return connected_ ? peers_.leave(now) : std::vector<membership::PeerMessage>{};
}

}  // namespace marldale::recovery
