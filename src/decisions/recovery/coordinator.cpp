// Computes the planner's next actions from stored facts and peer events.
#include "recovery/coordinator.h"

#include <algorithm>
#include <utility>

namespace marldale::recovery {
namespace {

using membership::PeerEvent;

constexpr Micros kHoldCheckInterval = 1000000;

std::string describe(const PeerEvent& event) {
    switch (event.kind) {
        case PeerEvent::Kind::joined: return "peer " + event.name + " joined";
        case PeerEvent::Kind::suspected: return "peer " + event.name + " is not responding";
        case PeerEvent::Kind::recovered: return "peer " + event.name + " is responding again";
        case PeerEvent::Kind::died: return "peer " + event.name + " is considered dead";
        case PeerEvent::Kind::left: return "peer " + event.name + " left";
        case PeerEvent::Kind::duplicateName:
            return "two instances are named " + event.name + "; each needs a unique name";
    }
    return "?";
}

}  // namespace

Coordinator::Coordinator(const CoordinatorSettings& settings, Micros now)
    : share_(settings.share),
      handoverCacheTime_(settings.peerQueries.handoverCacheTime),
      knowledge_(settings.self, settings.incarnation, settings.knowledge),
      queries_(settings.peerQueries, settings.seed, now),
      peers_(settings.self, "", settings.incarnation, settings.membership, settings.seed) {
    for (const PeerEndpoint& peer : settings.peers) {
        if (peer.name == settings.self) continue;
        queries_.addPeer(peer.name, now);
        peers_.addSeed(peer.name, peer.address, now);
    }
}

void Coordinator::connect(const std::string& address) {
    connected_ = share_;
    peers_.setAddress(address);
}

void Coordinator::updateServerList(std::uint64_t version,
                                   const std::map<std::string, Knowledge::ListedServer>& all, Micros now) {
    knowledge_.updateList(version, all, now);
    sumsDirty_ = true;
}

void Coordinator::proxyLeft(std::uint32_t proxy) {
    proxyZones_.erase(proxy);
    knowledge_.removeProxy(proxy);
}

void Coordinator::recordDemand(std::uint32_t proxy, const std::string& klass, double rate, Micros now) {
    const auto zone = proxyZones_.find(proxy);
    if (zone != proxyZones_.end()) knowledge_.recordDemand(proxy, zone->second, klass, rate, now);
}

MergeCounts Coordinator::mergeSnapshot(const Handover& handover, Micros age, Micros now) {
    sumsDirty_ = true;
    return knowledge_.merge(handover, age, now);
}

void Coordinator::receiveHandover(const std::string& peer, const std::optional<Handover>& handover,
                                  Micros transit, const std::string& error, Micros now) {
    if (!queries_.isPending(peer)) return;
    if (!handover) {
        queries_.fail(peer, now);
        logLines_.push_back("peer " + peer + " sent no handover: " + error);
        return;
    }
    // The peer may have exported the handover up to the cache time before the query.
    const MergeCounts counts = knowledge_.merge(*handover, transit + handoverCacheTime_, now);
    const bool useful = counts.merged + counts.known > 0 && knowledge_.hasRecalled(now);
    queries_.finish(peer, useful, now);
    sumsDirty_ = true;
    logLines_.push_back("peer " + peer + " answered within " + std::to_string(transit / 1000) + " ms: " +
                        std::to_string(counts.merged) + " facts taken, " + std::to_string(counts.known) +
                        " already known, " + std::to_string(counts.refused) + " refused");
}

void Coordinator::receiveMessage(const membership::PeerMessage& message, Micros now) {
    for (auto& reply : peers_.received(message, now)) replies_.push_back(std::move(reply));
}

// Emits each sum once; if it grows later, emits only the increase.
void Coordinator::addSums(Micros now, CoordinatorActions& out) {
    for (const RecalledSum& sum : knowledge_.recalled(now)) {
        RecalledSum& emitted =
            emittedSums_.try_emplace({sum.server, sum.zone}, RecalledSum{sum.server, sum.zone, 0, 0, 0})
                .first->second;
        RecalledSum added = sum;
        added.tries -= emitted.tries;
        if (added.tries < 1) continue;
        added.failed = std::clamp(sum.failed - emitted.failed, 0.0, added.tries);
        emitted.tries += added.tries;
        emitted.failed += added.failed;
        out.sums.push_back(std::move(added));
    }
}

void Coordinator::addHolds(Micros now, CoordinatorActions& out) {
    std::set<std::string> held = knowledge_.heldBack(now);
    for (const std::string& server : held) {
        if (heldBack_.count(server) == 0) out.holds.push_back({server, true});
    }
    for (const std::string& server : heldBack_) {
        if (held.count(server) == 0) out.holds.push_back({server, false});
    }
    heldBack_ = std::move(held);
}

void Coordinator::addPeerActions(Micros now, CoordinatorActions& out) {
    if (!connected_) return;
    for (auto& message : peers_.tick(now)) out.messages.push_back(std::move(message));
    for (const PeerEvent& event : peers_.takeEvents()) {
        if (event.kind == PeerEvent::Kind::joined) queries_.addPeer(event.name, now);
        out.logLines.push_back(describe(event));
    }
    for (const std::string& peer : queries_.takeDue(now))
        out.queries.push_back({peer, peers_.addressOf(peer)});
}

CoordinatorActions Coordinator::due(Micros now) {
    CoordinatorActions out;
    out.messages = std::exchange(replies_, {});
    out.logLines = std::exchange(logLines_, {});
    addPeerActions(now, out);
    addHolds(now, out);
    if (std::exchange(sumsDirty_, false) && queries_.windowOpen(now)) addSums(now, out);
    return out;
}

std::optional<Micros> Coordinator::nextDue(Micros now) const {
    if (sumsDirty_ || !replies_.empty() || !logLines_.empty()) return now;
    std::optional<Micros> out;
    const auto useEarlier = [&](std::optional<Micros> at) {
        if (at && (!out || *at < *out)) out = at;
    };
    if (connected_) {
        useEarlier(peers_.nextDue());
        useEarlier(queries_.nextDue(now));
    }
    if (!heldBack_.empty()) useEarlier(now + kHoldCheckInterval);
    return out;
}

std::vector<membership::PeerMessage> Coordinator::leave(Micros now) {
    return connected_ ? peers_.leave(now) : std::vector<membership::PeerMessage>{};
}

}  // namespace marldale::recovery
