// Order, timeouts and retries of queries to peers.
#include "recovery/peer_queries.h"

#include <algorithm>
#include <tuple>

#include "bytes/mix.h"

namespace marldale::recovery {

PeerQueries::PeerQueries(PeerQuerySettings rules, std::uint64_t seed, Micros now)
    : rules_(rules), startedAt_(now), rngState_(seed) {}

void PeerQueries::addPeer(const std::string& peer, Micros now) {
    if (peers_.count(peer) != 0) return;
    peers_[peer] = {false, false, now, 0, bytes::mixed(++rngState_)};
}

std::vector<std::string> PeerQueries::takeDue(Micros now) {
    std::vector<std::string> out;
    if (!windowOpen(now)) return out;
    unsigned pending = 0;
    for (auto& [name, peer] : peers_) {
        if (peer.pending && now - peer.at >= rules_.responseTimeout) fail(name, now);
        pending += peer.pending ? 1 : 0;
    }
    std::vector<std::pair<std::tuple<unsigned, std::uint64_t>, Peer*>> ready;
    std::map<const Peer*, std::string> names;
    for (auto& [name, peer] : peers_) {
        if (peer.pending || peer.done || now < peer.at) continue;
        ready.emplace_back(std::tuple(peer.attempts, peer.tieBreak), &peer);
        names[&peer] = name;
    }
    // Fewest attempts first, in random order among equals.
    std::sort(ready.begin(), ready.end());
    for (const auto& [priority, peer] : ready) {
        if (pending >= rules_.maxConcurrent) break;
        ++pending;
        peer->pending = true;
        peer->at = now;
        ++peer->attempts;
        out.push_back(names.at(peer));
    }
    return out;
}

void PeerQueries::finish(const std::string& peer, bool useful, Micros now) {
    const auto found = peers_.find(peer);
    if (found == peers_.end() || !found->second.pending) return;
    found->second.pending = false;
    found->second.done = useful;
    found->second.at = now + (rules_.retryDelay << std::min(found->second.attempts - 1, 10U));
}

bool PeerQueries::isPending(const std::string& peer) const {
    const auto found = peers_.find(peer);
    return found != peers_.end() && found->second.pending;
}

bool PeerQueries::finished(Micros now) const {
    return !windowOpen(now) ||
           std::all_of(peers_.begin(), peers_.end(), [](const auto& p) { return p.second.done; });
}

std::optional<Micros> PeerQueries::nextDue(Micros now) const {
    std::optional<Micros> out;
    if (!windowOpen(now)) return out;
    for (const auto& [name, peer] : peers_) {
        if (peer.done) continue;
        const Micros at = peer.pending ? peer.at + rules_.responseTimeout : peer.at;
        if (!out || at < *out) out = at;
    }
    return out;
}

}  // namespace marldale::recovery
