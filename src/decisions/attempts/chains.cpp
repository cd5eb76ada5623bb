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

bool ChainJoiner::continues(const Open& open, const Try& seen, bool byId) const {
    const ChainRule& rule = ruleOf(seen.classIndex);
    if (byId) return seen.at - open.end <= settings_.idKept;
    return open.invites && open.link.number + 1 < rule.maxTries &&
           seen.at >= open.end - settings_.timestampResolution &&
           seen.at - open.end <= rule.maxGap + settings_.timestampResolution;
}

Link ChainJoiner::join(Table& table, const Key& key, const Try& seen, bool byId) {
    const auto known = table.find(key);
    const bool goesOn = known != table.end() && continues(known->second, seen, byId);
    const Link link =
        goesOn ? Link{known->second.link.chain, known->second.link.number + 1} : Link{++last_, 0};
    const Open open{link, seen.at + std::max<Micros>(seen.took, 0), seen.at, clientsRetryAfter(seen.answer)};
    if (byId || open.invites) {
        table[key] = open;
        due_.push_back({key, seen.at, byId});
    } else if (known != table.end()) {
        table.erase(known);  // it is served: nothing goes on from here
    }
    return link;
}

Link ChainJoiner::add(const Try& seen) {
    forget(seen.at);
    if (seen.requestId != 0) return join(byId_, {seen.requestId, 0, seen.classIndex}, seen, true);
    // Nobody knows who asked: it stands for itself.
    if (seen.client == 0) return {++last_, 0};
    return join(byTarget_, {seen.client, seen.target, seen.classIndex}, seen, false);
}

// What no entry can continue any more, and the oldest where there are too many.
void ChainJoiner::forget(Micros now) {
    const Micros kept = std::max(settings_.idKept, longestGap_ + settings_.timestampResolution);
    while (!due_.empty()) {
        const Due& oldest = due_.front();
        Table& table = oldest.id ? byId_ : byTarget_;
        const auto at = table.find(oldest.key);
        const bool current = at != table.end() && at->second.start == oldest.at;
        const Micros end = current ? std::max(at->second.end, oldest.at) : oldest.at;
        const bool crowded = open() > settings_.openMost;
        if (current && !crowded && now - end <= kept) return;
        if (current) {
            if (crowded && now - end <= kept) ++forgottenEarly_;
            table.erase(at);
        }
        due_.pop_front();
    }
}

}  // namespace marldale::attempts
