// Levels and further tries, set only under proven overload: answers are slow on the whole and on half the
// servers. Without them clients' repeats keep a fleet full of work that nobody waits for any more.
#pragma once

#include <algorithm>
#include <cmath>
#include <vector>

#include "policy/health.h"

namespace marldale::policy {

constexpr double kEaseTime = 0.5;    // below this the limit is raised again
constexpr double kDemandGain = 0.2;  // how fast the picture of demand follows
constexpr double kCutLeast = 0.5, kCutMost = 0.9, kRaiseLeast = 1.1, kRaiseMost = 1.5;
constexpr Micros kWindowExtra = 500 * kMs;
constexpr double kLeastSpanS = 0.1, kProvenFade = 0.98;  // least span of a rate; fade a window
constexpr double kLiftAt = 1.2;                          // of what comes: a limit above it is lifted
constexpr double kLimitFloor = 0.8;                      // of the proven rate: no limit goes below this
constexpr double kBurstS = 0.5;       // of its rate a proxy lets in at once (seen by trying rates)
constexpr double kClassLeast = 0.02;  // and this much in any case
constexpr double kClassFloor = 0.25;  // a class keeps this share while another can still give
constexpr double kUnlimited = 1e6;

struct Levels {
    const View& in;
    Cadence& cadence;
    Demands demands{};
    double limit = 0;  // admitted tries a second over all our proxies; 0: no limit
    bool overloaded = false;
    std::vector<Entry> now{};
    std::map<std::pair<ZoneId, ServerId>, Tally> window{};
    Micros windowFrom = 0;
    double proven = 0;  // good answers a second that the fleet has given us
    std::map<std::pair<ZoneId, std::size_t>, double> ceilings{};

    void on(const ProxyDemand& d) {
        ++cadence.told;
        if (!in.proxies.count(d.proxy) || d.klass >= in.set.classes.size() || d.period <= 0) return;
        demands.note(d, in.now, demandGain());
    }
    [[nodiscard]] double demandGain() const {  // a late sum speaks for all the periods that it covers
        return std::min(
            1.0, kDemandGain * static_cast<double>(cadence.cycle) / static_cast<double>(in.set.reportEvery));
    }
    void fade() { demands.fade(in.now, cadence.cycle, cadence.cycle / 2, demandGain()); }
    // The limit is judged on windows of sums; after a change, sums of tries from before it are left out, lest
    // the same jam be answered over and over.
    void note(const ServerStats& r) {
        if (in.now >= windowFrom) window[{r.fromZone, r.server}].add(r, failedTime(in));
    }
    void setLimit() {
        if (in.now < windowFrom + in.set.reportEvery + kWindowExtra) return;
        Tally all;
        std::vector<double> times;
        // Each sum covers a span of its own; where they come late, a window holds those of a part of the
        // servers.
        const double parts =
            std::max(1.0, static_cast<double>(cadence.cycle) / static_cast<double>(in.now - windowFrom));
        double admitted = 0, good = 0;  // a second
        for (const auto& [key, t] : window) {
            all.add(t);
            times.push_back(t.mean() / in.aim);
            admitted += parts * t.tries / std::max(t.seconds, kLeastSpanS);
            good += parts * (t.tries - t.failed) / std::max(t.seconds, kLeastSpanS);
        }
        window.clear();
        windowFrom = in.now;
        if (all.tries < kFewTries) return;
        // The median server counts beside the mean: a few that fail or hang are no overload.
        std::nth_element(times.begin(), times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2),
                         times.end());
        const double slow = all.mean() / in.aim, middle = times[times.size() / 2];
        proven = std::max(proven * kProvenFade, good);
        if (slow > kOverTime && middle > kOverTime) {
            overloaded = true;
            const double cut = std::clamp(kOverTime / slow, kCutLeast, kCutMost);
            limit = std::max(cut * (limit > 0 ? std::min(limit, admitted) : admitted), kLimitFloor * proven);
            windowFrom = in.now + cadence.cycle + kSecond;
        } else if (overloaded && slow < kEaseTime) {
            limit *= std::clamp(std::sqrt(kEaseTime / slow), kRaiseLeast, kRaiseMost);
            if (limit <= 0 || limit > kLiftAt * demands.total()) {
                overloaded = false;
                limit = 0;
            }
        }
    }
    // The share of each class let in: the least worth for its work (which grows with its aim) gives first.
    [[nodiscard]] std::vector<double> shares() const {
        const std::size_t n = in.set.classes.size();
        std::vector<double> load(n, 0), keep(n, 1);
        for (const auto& [key, d] : demands.rates) {
            load[key.second] += d.rate * static_cast<double>(in.set.classes[key.second].latencyTarget);
        }
        const double total = std::accumulate(load.begin(), load.end(), 0.0);
        const double came = demands.total();
        if (limit <= 0 || came <= 0) return keep;
        double excess = total * std::max(0.0, 1 - limit / came);
        std::vector<std::size_t> order(n);
        for (std::size_t c = 0; c < n; ++c) order[c] = c;
        std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
            return in.set.classes[a].worth / static_cast<double>(in.set.classes[a].latencyTarget) <
                   in.set.classes[b].worth / static_cast<double>(in.set.classes[b].latencyTarget);
        });
        for (const double floor : {kClassFloor, kClassLeast}) {
            for (const std::size_t c : order) {
                const double give = std::min(excess, load[c] * (keep[c] - floor));
                if (load[c] <= 0 || give <= 0) continue;
                keep[c] -= give / load[c];
                excess -= give;
            }
        }
        return keep;
    }
    // By class; the same in every table, so worked out once a turn.
    [[nodiscard]] std::vector<Entry> levelsNow() const {
        std::vector<Entry> out;
        const std::vector<double> keep = shares();
        for (std::size_t k = 0; k < in.set.classes.size(); ++k) {
            double level = kUnlimited;
            if (keep[k] < 1 && in.set.admission == Admission::share) level = stepped(keep[k]);
            if (keep[k] < 1 && in.set.admission == Admission::rate)
                level = std::min(kUnlimited, stepped(evenRate(demands.of(k), keep[k], kBurstS)));
            const auto mode = static_cast<std::uint8_t>(overloaded ? 0 : in.set.defaultRetry);
            out.push_back({static_cast<float>(level), mode});
        }
        return out;
    }

    void on(const Ceiling& c) {
        if (c.klass >= in.set.classes.size() || !(c.share >= 0)) return;
        ceilings[{c.zone, c.klass}] = c.share;
        if (c.share >= 1) ceilings.erase({c.zone, c.klass});
    }
    [[nodiscard]] Entry under(Entry level, ZoneId zone, std::size_t k) const {
        const auto at = ceilings.find({zone, k});
        if (at == ceilings.end() || in.set.admission == Admission::none) return level;
        double most = at->second;
        if (in.set.admission == Admission::rate) {
            std::vector<double> rates;  // of this zone's proxies
            for (const auto& [id, p] : in.proxies) {
                const auto d = demands.rates.find({id, k});
                if (p.zone == zone && d != demands.rates.end()) rates.push_back(d->second.rate);
            }
            if (rates.empty()) return level;  // nothing comes
            most = evenRate(rates, at->second, kBurstS);
        }
        level.value = std::min(level.value, static_cast<float>(stepped(most)));
        return level;
    }
    // A limit belongs to the proxies that it was judged on: those that come from a dead planner bring their
    // part of the load and of what the fleet has proven, those that leave take theirs along.
    void rescale(double rate) {
        double before = 0;
        for (const auto& [id, p] : in.proxies) before += p.rate;
        if (before <= 0) return;
        const double factor = std::max(0.0, before + rate) / before;
        limit *= factor;
        proven *= factor;
    }
};

}  // namespace marldale::policy
