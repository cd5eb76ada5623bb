// How many messages each proxy was sent lately, so that none gets more within a span than the rules allow:
// whatever is sent, for the first time or anew. Time is any count of microseconds. No I/O.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include "policy/types.h"

namespace marldale::dispatch {

class MessageLedger {
public:
    // `most` messages (0: no limit) to one proxy within `over`. Messages are counted where they arrive, and
    // two that leave some time apart may arrive that much closer: `jitter` is added to the span.
    MessageLedger(std::uint32_t most, Micros over, Micros jitter) : most_(most), span_(over + jitter) {}

    // When a message to these proxies may be sent, `now` or later.
    [[nodiscard]] Micros earliest(const std::vector<ProxyId>& proxies, Micros now) const {
        Micros out = now;
        if (most_ == 0) return out;
        for (const ProxyId proxy : proxies) {
            const auto at = sent_.find(proxy);
            if (at != sent_.end() && at->second.size() >= most_)
                out = std::max(out, at->second.front() + span_);
        }
        return out;
    }
    void sent(const std::vector<ProxyId>& proxies, Micros now) {
        if (most_ == 0) return;
        for (const ProxyId proxy : proxies) {
            auto& times = sent_[proxy];
            times.push_back(now);
            if (times.size() > most_) times.pop_front();
        }
    }
    // It is on another lane now, or on none: what it was sent still counts where it was sent, for a while.
    void forget(ProxyId proxy) { sent_.erase(proxy); }

private:
    std::uint32_t most_;
    Micros span_;
    std::unordered_map<ProxyId, std::deque<Micros>> sent_;  // the last `most_` of each
};

}  // namespace marldale::dispatch
