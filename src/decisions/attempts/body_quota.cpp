#include "attempts/body_quota.h"

#include <algorithm>
#include <tuple>

namespace marldale::attempts {

void BodyQuota::open(BodyId id, std::uint64_t client, double worth) {
    bodies_[id] = {client, worth, 0, false};
}

std::size_t BodyQuota::fairShare(std::uint64_t client) const {
    return settings_.bytes / (byClient_.size() + (byClient_.count(client) != 0 ? 0 : 1));
}

std::size_t BodyQuota::kept(BodyId id) const {
    const auto at = bodies_.find(id);
    return at == bodies_.end() ? 0 : at->second.bytes;
}

void BodyQuota::drop(Body& body) {
    used_ -= body.bytes;
    if (body.bytes > 0) {
        auto& clientBytes = byClient_[body.client];
        clientBytes -= body.bytes;
        if (clientBytes == 0) byClient_.erase(body.client);
    }
    body.bytes = 0;
    body.gone = true;
}

// Candidates are the client's own bodies of less worth and, unless `ownOnly`, all bodies of clients above
// their fair share. The candidate of least worth is chosen, and of those the largest. A client within its
// share thus never loses a body to another client.
BodyId BodyQuota::victim(std::uint64_t client, double worth, BodyId except, bool ownOnly) const {
    const std::size_t share = fairShare(client);
    BodyId out = 0;
    std::tuple<double, std::size_t> highest;
    for (const auto& [id, body] : bodies_) {
        if (id == except || body.bytes == 0) continue;
        const bool overShare = byClient_.at(body.client) > share;
        if (body.client == client ? body.worth >= worth : !overShare || ownOnly) continue;
        const std::tuple rank{-body.worth, body.bytes};
        if (out == 0 || rank > highest) {
            out = id;
            highest = rank;
        }
    }
    return out;
}

BodyQuota::Grant BodyQuota::reserve(BodyId id, std::size_t bytes) {
    Grant out;
    const auto at = bodies_.find(id);
    if (at == bodies_.end() || at->second.gone) return out;
    Body& body = at->second;
    const bool tooLarge = bytes > settings_.each || body.bytes > settings_.each - bytes;
    if (tooLarge || bytes > settings_.bytes) {
        drop(body);
        return out;
    }
    while (bytes > settings_.bytes - used_) {
        // A client that would exceed its fair share only gets free memory, or that of its own bodies of less
        // worth.
        const auto client = byClient_.find(body.client);
        const bool overShare = client != byClient_.end() && client->second + bytes > fairShare(body.client);
        const BodyId evicted = victim(body.client, body.worth, id, overShare);
        if (evicted == 0) {
            drop(body);
            return out;
        }
        drop(bodies_.at(evicted));
        out.evicted.push_back(evicted);
    }
    body.bytes += bytes;
    used_ += bytes;
    if (bytes > 0) byClient_[body.client] += bytes;
    out.granted = true;
    return out;
}

void BodyQuota::release(BodyId id) {
    const auto at = bodies_.find(id);
    if (at == bodies_.end()) return;
    drop(at->second);
    bodies_.erase(at);
}

std::vector<BodyId> BodyQuota::resize(std::size_t bytes) {
    settings_.bytes = bytes;
    std::vector<BodyId> out;
    while (used_ > bytes) {
        // The body of least worth first, whichever client it belongs to; of those the largest.
        BodyId evicted = 0;
        std::tuple<double, std::size_t> highest;
        for (const auto& [id, body] : bodies_) {
            const std::tuple rank{-body.worth, body.bytes};
            if (body.bytes > 0 && (evicted == 0 || rank > highest)) {
                evicted = id;
                highest = rank;
            }
        }
        drop(bodies_.at(evicted));
        out.push_back(evicted);
    }
    return out;
}

}  // namespace marldale::attempts
