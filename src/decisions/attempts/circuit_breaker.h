// When a box that refuses may be asked again, and how many further tries there are to spend. A refusal is an
// answer of 429 or 503, or a dial that came to nothing.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "policy/types.h"

namespace marldale::attempts {

// The seconds of a `Retry-After` header: a whole number, or a date of HTTP (RFC 9110, 10.2.3), of which what
// is left of it at `wallNow` counts. Nothing if it is neither. At most an hour.
[[nodiscard]] std::optional<Micros> readRetryAfter(std::string_view value, Micros wallNow);

// For one box. While it is shut, nothing is sent there; then one request goes, and its answer decides.
class CircuitBreaker {
public:
    struct Settings {
        unsigned refusalsMost = 5;                       // in a row, before it shuts without being told to
        Micros shutLeast = 100000, shutMost = 10000000;  // doubled with each refusal after that
    };
    explicit CircuitBreaker(Settings settings) : settings_(settings) {}
    CircuitBreaker() = default;

    // True: a request may go now. A trial that this lets through must be told by `sent`.
    [[nodiscard]] bool allows(Micros now) const { return now >= shutUntil_ && !(onTrial_ && trialOut_); }
    void sent() { trialOut_ = onTrial_; }
    void refused(Micros now, std::optional<Micros> retryAfter);
    void answered();
    // The trial came to nothing that tells: it may be tried again.
    void inconclusive() { trialOut_ = false; }
    [[nodiscard]] Micros shutUntil() const { return shutUntil_; }
    [[nodiscard]] unsigned refusals() const { return refusals_; }

private:
    Settings settings_;
    unsigned refusals_ = 0;
    Micros shutUntil_ = 0;
    bool onTrial_ = false, trialOut_ = false;
};

// Further tries as clients had them: each first try brings `ratio` of one, and no more than `most` are kept.
class RetryBudget {
public:
    RetryBudget(double ratio, double most) : ratio_(ratio), most_(most), kept_(most) {}
    void firstTry();
    // Takes one, if there is one.
    [[nodiscard]] bool take();
    [[nodiscard]] double kept() const { return kept_; }

private:
    double ratio_, most_, kept_;
};

}  // namespace marldale::attempts
