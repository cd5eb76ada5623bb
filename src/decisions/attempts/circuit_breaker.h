// When a box that refuses requests may be sent to again, and how many retries a replay may make. A refusal is
// a response with status 429 or 503, or a failed connection attempt.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "policy/types.h"

namespace marldale::attempts {

/// Parses the value of a `Retry-After` header: a number of seconds, or an HTTP date (RFC 9110,
/// section 10.2.3), which counts from `wallNow`. Returns nothing if it is neither, and an hour at most.
[[nodiscard]] std::optional<Micros> readRetryAfter(std::string_view value, Micros wallNow);

/// A circuit breaker for one box. While it is open, nothing is sent there. Then a single trial request is let
/// through, and its outcome closes the breaker or keeps it open for longer.
class CircuitBreaker {
public:
    struct Settings {
        unsigned maxRefusals = 5;  // in a row; then the breaker opens even without a Retry-After
        Micros minOpenTime = 100000, maxOpenTime = 10000000;  // doubled with each further refusal
    };
    explicit CircuitBreaker(Settings settings) : settings_(settings) {}
    CircuitBreaker() = default;

    /// Whether a request may be sent now. If it is, `sent` must be called.
    [[nodiscard]] bool allows(Micros now) const { return now >= openUntil_ && !(tripped_ && trialInFlight_); }
    void sent() { trialInFlight_ = tripped_; }
    void refused(Micros now, std::optional<Micros> retryAfter);
    /// The box has responded: the breaker closes.
    void answered();
    /// The request ended without showing anything about the box: another trial may follow.
    void inconclusive() { trialInFlight_ = false; }
    [[nodiscard]] Micros openUntil() const { return openUntil_; }
    /// Consecutive refusals, not counting those of requests that were sent before the breaker opened.
    [[nodiscard]] unsigned refusals() const { return refusals_; }

private:
    Settings settings_;
    unsigned refusals_ = 0;
    Micros openUntil_ = 0;
    bool tripped_ = false;  // open, or half-open once `openUntil_` has passed
    bool trialInFlight_ = false;
};

/// A token bucket for retries: each first try adds `ratio` of a token, up to `capacity`, and a retry takes
/// one.
class RetryBudget {
public:
    RetryBudget(double ratio, double capacity) : ratio_(ratio), capacity_(capacity), tokens_(capacity) {}
    void firstTry();
    /// Takes a token; false if there is none.
    [[nodiscard]] bool take();
    [[nodiscard]] double tokens() const { return tokens_; }

private:
    double ratio_, capacity_, tokens_;
};

}  // namespace marldale::attempts
