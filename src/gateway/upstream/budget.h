// Retry budget of a proxy: its share of what all proxies together may send beyond the first attempt of each
// request.
#pragma once

#include <algorithm>

#include "policy/types.h"

namespace marldale::upstream {

// Token bucket. In any time window at most `burst` + `perRequest` x its requests + `perS` x its length tokens
// are taken.
class Budget {
public:
    // Tokens per request, tokens per second, and the bucket's size.
    struct Rates {
        double perRequest = 0, perS = 0, burst = 0;
    };
    // Sets the planner's rates or the defaults. Remaining tokens are kept up to the new burst.
    void set(Rates rates) {
        rates_ = rates;
        tokens_ = std::min(tokens_, rates.burst);
    }
    void fill() { tokens_ = rates_.burst; }
    // Adds tokens for a new request. `share` (0 to 1) scales them: it is lower without a controller.
    void onRequest(double share) { tokens_ = std::min(rates_.burst, tokens_ + rates_.perRequest * share); }
    // Takes one token if available. `isIsolated`: no tokens accrue over time.
    [[nodiscard]] bool take(Micros now, bool isIsolated) {
        const double passed = static_cast<double>(std::max<Micros>(0, now - lastTake_)) / 1e6;
        lastTake_ = now;
        if (!isIsolated) tokens_ = std::min(rates_.burst, tokens_ + rates_.perS * passed);
        if (tokens_ < 1) return false;
        tokens_ -= 1;
        return true;
    }
    // Returns the token of a retry that was not sent.
    void returnToken() { tokens_ = std::min(rates_.burst, tokens_ + 1); }
    [[nodiscard]] double tokens() const { return tokens_; }

private:
    Rates rates_;
    double tokens_ = 0;
    Micros lastTake_ = 0;
};

}  // namespace marldale::upstream
