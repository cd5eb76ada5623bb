#include "emulator/arrivals.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>

#include "bytes/mix.h"

namespace marldale::emulator {
namespace {

constexpr Micros kLookAgain = 250000;
constexpr std::uint32_t kNoClass = ~0U;

}  // namespace

Arrivals::Arrivals(const Scenario& s) : scenario_(s), factors_(s.fleet.relays, 1) {
    const std::uint32_t busy = std::max(1U, s.fleet.relays / 10), rest = s.fleet.relays - busy;
    const double share = rest == 0 ? 1 : s.clients.busiest;
    for (std::uint32_t relay = 0; relay < s.fleet.relays; ++relay) {
        // The busiest are spread over zones and planners.
        const bool isBusy = relay % 10 == 0 && relay / 10 < busy;
        const double rate =
            isBusy ? s.clients.rate * share / busy : s.clients.rate * (1 - share) / std::max(1U, rest);
        rates_.push_back(rate);
        streams_.emplace_back(s.run.seed, "arrivals", relay);
    }
    double sum = 0;
    for (const ScenarioClass& k : s.classes) shares_.push_back(sum += k.share);
    if (s.clients.trace.empty()) return;
    reader_ = std::make_unique<trace::Reader>(s.clients.trace);
    for (const trace::TraceClass& k : reader_->head().classes) {
        const auto at = std::find_if(s.classes.begin(), s.classes.end(),
                                     [&](const ScenarioClass& mine) { return mine.name == k.name; });
        classes_.push_back(at == s.classes.end() ? kNoClass
                                                 : static_cast<std::uint32_t>(at - s.classes.begin()));
    }
    if (std::all_of(classes_.begin(), classes_.end(), [](std::uint32_t k) { return k == kNoClass; })) {
        throw std::runtime_error(s.clients.trace + ": has no class of the scenario");
    }
}

double Arrivals::curve(Micros now) const {
    const auto& points = scenario_.clients.curve;
    if (points.empty()) return 1;
    const double at = static_cast<double>(now) / 1e6;
    if (at <= points.front().first) return points.front().second;
    for (std::size_t i = 1; i < points.size(); ++i) {
        const auto& [from, a] = points[i - 1];
        const auto& [to, b] = points[i];
        if (at <= to) return a + (b - a) * (at - from) / (to - from);
    }
    return points.back().second;
}

Arrivals::Next Arrivals::next(std::uint32_t relay, Micros now) {
    const double rate = rates_[relay] * factors_[relay] * all_ * curve(now);
    if (rate <= 0) return {now + kLookAgain, false};
    const double gap = streams_[relay].exponential() / rate * 1e6;
    if (gap > static_cast<double>(kLookAgain)) return {now + kLookAgain, false};
    return {now + std::max<Micros>(1, std::llround(gap)), true};
}

std::uint32_t Arrivals::klass(std::uint32_t relay) {
    const double at = streams_[relay].uniform() * shares_.back();
    const auto found = std::upper_bound(shares_.begin(), shares_.end(), at);
    return static_cast<std::uint32_t>(
        std::min<std::ptrdiff_t>(found - shares_.begin(), static_cast<std::ptrdiff_t>(shares_.size()) - 1));
}

std::optional<Arrivals::Recorded> Arrivals::recorded() {
    trace::Entry entry;
    while (reader_->next(entry)) {
        const bool first = entry.number == 0;
        if (!first || classes_[entry.classIndex] == kNoClass) continue;
        if (!first_) first_ = entry.at;
        const auto at = static_cast<double>(entry.at - *first_) / scenario_.clients.traceSpeed;
        const auto relay = static_cast<std::uint32_t>(bytes::mixed(entry.client) % scenario_.fleet.relays);
        return Recorded{std::llround(at), relay, classes_[entry.classIndex]};
    }
    return std::nullopt;
}

}  // namespace marldale::emulator
