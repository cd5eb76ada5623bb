#include "attempts/circuit_breaker.h"

#include <algorithm>
#include <charconv>
#include <ctime>
#include <string>

namespace marldale::attempts {
namespace {

constexpr Micros kSecond = 1000000;
constexpr Micros kMaxRetryAfter = 3600 * kSecond;

}  // namespace

std::optional<Micros> readRetryAfter(std::string_view value, Micros wallNow) {
    while (!value.empty() && value.front() == ' ') value.remove_prefix(1);
    while (!value.empty() && value.back() == ' ') value.remove_suffix(1);
    if (value.empty() || value.size() > 64) return std::nullopt;
    std::int64_t seconds = 0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), seconds);
    if (error == std::errc{} && end == value.data() + value.size()) {
        if (seconds < 0) return std::nullopt;
        return std::min(seconds, kMaxRetryAfter / kSecond) * kSecond;
    }
    std::tm date{};
    const std::string text(value);
    const char* const rest = strptime(text.c_str(), "%a, %d %b %Y %H:%M:%S GMT", &date);
    if (rest == nullptr || *rest != '\0') return std::nullopt;
    return std::clamp<Micros>(static_cast<Micros>(timegm(&date)) * kSecond - wallNow, 0, kMaxRetryAfter);
}

void CircuitBreaker::refused(Micros now, std::optional<Micros> retryAfter) {
    if (retryAfter) {
        openUntil_ = std::max(openUntil_, now + *retryAfter);
        tripped_ = true;
    }
    // While the breaker is open, refusals of requests that were sent before tell nothing new; only a refused
    // trial makes the wait longer.
    if (refusals_ >= settings_.maxRefusals && !trialInFlight_) return;
    ++refusals_;
    trialInFlight_ = false;
    if (refusals_ < settings_.maxRefusals) return;
    const unsigned doublings = std::min(refusals_ - settings_.maxRefusals, 20U);
    const Micros openTime = std::min(settings_.minOpenTime << doublings, settings_.maxOpenTime);
    openUntil_ = std::max(openUntil_, now + openTime);
    tripped_ = true;
}

void CircuitBreaker::answered() {
    refusals_ = 0;
    tripped_ = trialInFlight_ = false;
    openUntil_ = 0;
}

void RetryBudget::firstTry() { tokens_ = std::min(capacity_, tokens_ + ratio_); }

bool RetryBudget::take() {
    if (tokens_ < 1) return false;
    tokens_ -= 1;
    return true;
}

}  // namespace marldale::attempts
