#include "attempts/circuit_breaker.h"

#include <algorithm>
#include <charconv>
#include <ctime>
#include <string>

namespace marldale::attempts {
namespace {

constexpr Micros kSecond = 1000000;
constexpr Micros kRetryAfterMost = 3600 * kSecond;

}  // namespace

std::optional<Micros> readRetryAfter(std::string_view value, Micros wallNow) {
    while (!value.empty() && value.front() == ' ') value.remove_prefix(1);
    while (!value.empty() && value.back() == ' ') value.remove_suffix(1);
    if (value.empty() || value.size() > 64) return std::nullopt;
    std::int64_t seconds = 0;
    const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), seconds);
    if (error == std::errc{} && end == value.data() + value.size()) {
        if (seconds < 0) return std::nullopt;
        return std::min(seconds, kRetryAfterMost / kSecond) * kSecond;
    }
    std::tm date{};
    const std::string text(value);
    const char* const rest = strptime(text.c_str(), "%a, %d %b %Y %H:%M:%S GMT", &date);
    if (rest == nullptr || *rest != '\0') return std::nullopt;
    return std::clamp<Micros>(static_cast<Micros>(timegm(&date)) * kSecond - wallNow, 0, kRetryAfterMost);
}

void CircuitBreaker::refused(Micros now, std::optional<Micros> retryAfter) {
    if (retryAfter) {
        shutUntil_ = std::max(shutUntil_, now + *retryAfter);
        onTrial_ = true;
    }
    // What went before it was shut says nothing that is not known: only a trial makes the wait longer.
    if (refusals_ >= settings_.refusalsMost && !trialOut_) return;
    ++refusals_;
    trialOut_ = false;
    if (refusals_ < settings_.refusalsMost) return;
    const unsigned doublings = std::min(refusals_ - settings_.refusalsMost, 20U);
    const Micros shut = std::min(settings_.shutLeast << doublings, settings_.shutMost);
    shutUntil_ = std::max(shutUntil_, now + shut);
    onTrial_ = true;
}

void CircuitBreaker::answered() {
    refusals_ = 0;
    onTrial_ = trialOut_ = false;
    shutUntil_ = 0;
}

void RetryBudget::firstTry() { kept_ = std::min(most_, kept_ + ratio_); }

bool RetryBudget::take() {
    if (kept_ < 1) return false;
    kept_ -= 1;
    return true;
}

}  // namespace marldale::attempts
