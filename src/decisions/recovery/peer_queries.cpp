#include "recovery/peer_queries.h"

#include <algorithm>
#include <tuple>

#include "bytes/mix.h"

namespace marldale::recovery {

Asking::Asking(AskRules rules, std::uint64_t seed, Micros now) : rules_(rules), began_(now), random_(seed) {}

void Asking::know(const std::string& peer, Micros now) {
    if (peers_.count(peer) != 0) return;
    peers_[peer] = {false, false, now, 0, bytes::mixed(++random_)};
}

std::vector<std::string> Asking::due(Micros now) {
    std::vector<std::string> out;
    if (!open(now)) return out;
    unsigned asked = 0;
    for (auto& [name, peer] : peers_) {
        if (peer.asked && now - peer.at >= rules_.answerWithin) failed(name, now);
        asked += peer.asked ? 1 : 0;
    }
    std::vector<std::pair<std::tuple<unsigned, std::uint64_t>, Peer*>> ready;
    std::map<const Peer*, std::string> names;
    for (auto& [name, peer] : peers_) {
        if (peer.asked || peer.done || now < peer.at) continue;
        ready.emplace_back(std::tuple(peer.tries, peer.turn), &peer);
        names[&peer] = name;
    }
    std::sort(ready.begin(), ready.end());
    for (const auto& [order, peer] : ready) {
        if (asked >= rules_.atOnce) break;
        ++asked;
        peer->asked = true;
        peer->at = now;
        ++peer->tries;
        out.push_back(names.at(peer));
    }
    return out;
}

void Asking::answered(const std::string& peer, bool useful, Micros now) {
    const auto at = peers_.find(peer);
    if (at == peers_.end() || !at->second.asked) return;
    at->second.asked = false;
    at->second.done = useful;
    at->second.at = now + (rules_.again << std::min(at->second.tries - 1, 10U));
}

bool Asking::awaits(const std::string& peer) const {
    const auto at = peers_.find(peer);
    return at != peers_.end() && at->second.asked;
}

bool Asking::over(Micros now) const {
    return !open(now) ||
           std::all_of(peers_.begin(), peers_.end(), [](const auto& p) { return p.second.done; });
}

std::optional<Micros> Asking::nextDue(Micros now) const {
    std::optional<Micros> out;
    if (!open(now)) return out;
    for (const auto& [name, peer] : peers_) {
        if (peer.done) continue;
        const Micros at = peer.asked ? peer.at + rules_.answerWithin : peer.at;
        if (!out || at < *out) out = at;
    }
    return out;
}

}  // namespace marldale::recovery
