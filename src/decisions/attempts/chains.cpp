#include "attempts/chains.h"

#include <algorithm>
#include <utility>

#include "bytes/mix.h"

namespace marldale::attempts {

using bytes::mixed;

std::size_t ChainJoiner::HashKey::operator()(const Key& key) const {
    return static_cast<std::size_t>(mixed(key.a + mixed(key.b + key.classIndex)));
}

ChainJoiner::ChainJoiner(ChainSettings settings) : settings_(std::move(settings)) {
    if (settings_.byClass.empty()) settings_.byClass.emplace_back();
    for (const ChainRule& rule : settings_.byClass) longestGap_ = std::max(longestGap_, rule.maxGap);
}

const ChainRule& ChainJoiner::ruleOf(std::uint32_t classIndex) const {
    return settings_.byClass[std::min<std::size_t>(classIndex, settings_.byClass.size() - 1)];
}

bool ChainJoiner::continues(const Open& open, const Try& entry, bool byId) const {
    const ChainRule& rule = ruleOf(entry.classIndex);
    if (byId) return entry.at - open.end <= settings_.idLifetime;
    return open.retryExpected && open.link.number + 1 < rule.maxTries &&
           entry.at >= open.end - settings_.timestampResolution &&
           entry.at - open.end <= rule.maxGap + settings_.timestampResolution;
}

Link ChainJoiner::join(Table& table, const Key& key, const Try& entry, bool byId) {
    const auto known = table.find(key);
    const bool continued = known != table.end() && continues(known->second, entry, byId);
    const Link link =
        continued ? Link{known->second.link.chain, known->second.link.number + 1} : Link{++lastChain_, 0};
    const Open open{link, entry.at + std::max<Micros>(entry.took, 0), entry.at,
                    clientsRetryAfter(entry.answer)};
    if (byId || open.retryExpected) {
        table[key] = open;
        expiries_.push_back({key, entry.at, byId});
    } else if (known != table.end()) {
        table.erase(known);  // the request was served: no retry will follow
    }
    return link;
}

Link ChainJoiner::add(const Try& entry) {
    expire(entry.at);
    if (entry.requestId != 0) return join(byId_, {entry.requestId, 0, entry.classIndex}, entry, true);
    // The client is unknown: the entry is a chain of its own.
    if (entry.client == 0) return {++lastChain_, 0};
    return join(byTarget_, {entry.client, entry.target, entry.classIndex}, entry, false);
}

// Forgets the chains that no entry can continue any more, and the oldest ones while too many are open.
void ChainJoiner::expire(Micros now) {
    const Micros lifetime = std::max(settings_.idLifetime, longestGap_ + settings_.timestampResolution);
    while (!expiries_.empty()) {
        const Expiry& oldest = expiries_.front();
        Table& table = oldest.byId ? byId_ : byTarget_;
        const auto at = table.find(oldest.key);
        const bool current = at != table.end() && at->second.start == oldest.at;
        const Micros end = current ? std::max(at->second.end, oldest.at) : oldest.at;
        const bool tooMany = open() > settings_.maxOpen;
        if (current && !tooMany && now - end <= lifetime) return;
        if (current) {
            if (tooMany && now - end <= lifetime) ++forgottenEarly_;
            table.erase(at);
        }
        expiries_.pop_front();
    }
}

}  // namespace marldale::attempts
