#include "attempts/body_quota.h"

#include <algorithm>
#include <tuple>

namespace marldale::attempts {

void BodyQuota::open(BodyId id, std::uint64_t client, double worth) {
    bodies_[id] = {client, worth, 0, false};
}

std::size_t BodyQuota::fairPart(std::uint64_t client) const {
    return settings_.bytes / (byClient_.size() + (byClient_.count(client) != 0 ? 0 : 1));
}

std::size_t BodyQuota::kept(BodyId id) const {
    const auto at = bodies_.find(id);
    return at == bodies_.end() ? 0 : at->second.bytes;
}

void BodyQuota::drop(Body& body) {
    used_ -= body.bytes;
    if (body.bytes > 0) {
        auto& all = byClient_[body.client];
        all -= body.bytes;
        if (all == 0) byClient_.erase(body.client);
    }
    body.bytes = 0;
    body.gone = true;
}

// Of clients over their fair part: the body of the least worth, then the largest. A client within its part
// gives way to nobody but itself; a body is not dropped for one of less worth of the same client.
BodyId BodyQuota::victim(std::uint64_t client, double worth, BodyId but, bool ownOnly) const {
    const std::size_t fair = fairPart(client);
    BodyId out = 0;
    std::tuple<double, std::size_t> best;
    for (const auto& [id, body] : bodies_) {
        if (id == but || body.bytes == 0) continue;
        const bool over = byClient_.at(body.client) > fair;
        if (body.client == client ? body.worth >= worth : !over || ownOnly) continue;
        const std::tuple how{-body.worth, body.bytes};
        if (out == 0 || how > best) {
            out = id;
            best = how;
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
        // Who would have more than a fair part gets what is free, or the room of its own bodies of less
        // worth.
        const auto mine = byClient_.find(body.client);
        const bool over = mine != byClient_.end() && mine->second + bytes > fairPart(body.client);
        const BodyId gives = victim(body.client, body.worth, id, over);
        if (gives == 0) {
            drop(body);
            return out;
        }
        drop(bodies_.at(gives));
        out.evicted.push_back(gives);
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
        // The least worth first, whoever's it is; of those the largest.
        BodyId gives = 0;
        std::tuple<double, std::size_t> best;
        for (const auto& [id, body] : bodies_) {
            const std::tuple how{-body.worth, body.bytes};
            if (body.bytes > 0 && (gives == 0 || how > best)) {
                gives = id;
                best = how;
            }
        }
        drop(bodies_.at(gives));
        out.push_back(gives);
    }
    return out;
}

}  // namespace marldale::attempts
