/// Admission levels and retry modes, tightened only while the fleet is proven overloaded, that is, slow on
/// average and on half of its servers. Without them client retries keep it busy with abandoned work.
#pragma once

#include <algorithm>
#include <cmath>
#include <vector>

#include "policy/health.h"

namespace marldale::policy {

constexpr double kRecoveryLatency = 0.5;  // mean latency, in latency targets, below which the limit rises
constexpr double kDemandSmoothing = 0.2;  // weight of a new demand report
constexpr double kMinCutFactor = 0.5, kMaxCutFactor = 0.9, kMinRaiseFactor = 1.1, kMaxRaiseFactor = 1.5;
constexpr Micros kWindowMargin = 500 * kMs;
constexpr double kMinCoveredS = 0.1, kPeakDecay = 0.98;  // least time of a rate; peak rate, per window
constexpr double kLiftFactor = 1.2;  // a limit above this multiple of the demand is lifted
constexpr double kMinLimit = 0.8;    // of the peak rate; no limit is lower
constexpr double kBurstS = 0.5;      // a proxy admits this many seconds of its rate at once
constexpr double kFirstClassFloor = 0.25, kMinClassShare = 0.02;  // kept while others can be cut; always
constexpr double kUnlimited = 1e6;

struct Levels {
    const Context& ctx;
    ReportCadence& cadence;
    Demands demands{};
    double limit = 0;  // tries per second admitted by all our proxies; 0: no limit
    bool overloaded = false;
    std::vector<Entry> current{};
    std::map<std::pair<ZoneId, ServerId>, TryStats> windowStats{};
    Micros windowStart = 0;
    double peakRate = 0;  // successful tries per second, decaying
    std::map<std::pair<ZoneId, std::size_t>, double> ceilings{};

    void on(const ProxyDemand& d) {
        ++cadence.received;
        if (!ctx.proxies.count(d.proxy) || d.klass >= ctx.settings.classes.size() || d.period <= 0) return;
        demands.record(d, ctx.now, demandGain());
    }
    [[nodiscard]] double demandGain() const {  // a late report covers several periods
        return std::min(1.0, kDemandSmoothing * static_cast<double>(cadence.interval) /
                                 static_cast<double>(ctx.settings.reportEvery));
    }
    void decay() { demands.decay(ctx.now, cadence.interval, cadence.interval / 2, demandGain()); }
    /// Adds a report. Tries before the last cut are skipped, so that one overload is not cut for repeatedly.
    void record(const ServerStats& r) {
        if (ctx.now >= windowStart) windowStats[{r.fromZone, r.server}].add(r, failedTryTime(ctx));
    }
    void updateLimit() {  // at the end of a window
        if (ctx.now < windowStart + ctx.settings.reportEvery + kWindowMargin) return;
        TryStats all;
        std::vector<double> times;
        // Each report covers a period of its own; if reports are late, a window lacks some of the servers.
        const double parts =
            std::max(1.0, static_cast<double>(cadence.interval) / static_cast<double>(ctx.now - windowStart));
        double admitted = 0, good = 0;  // a second
        for (const auto& [key, t] : windowStats) {
            all.add(t);
            times.push_back(t.meanTime() / ctx.latencyTarget);
            admitted += parts * t.tries / std::max(t.seconds, kMinCoveredS);
            good += parts * (t.tries - t.failed) / std::max(t.seconds, kMinCoveredS);
        }
        windowStats.clear();
        windowStart = ctx.now;
        if (all.tries < kMinSampleTries) return;
        // The median must be high too: a few servers that fail or hang are no overload.
        std::nth_element(times.begin(), times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2),
                         times.end());
        const double mean = all.meanTime() / ctx.latencyTarget, median = times[times.size() / 2];
        peakRate = std::max(peakRate * kPeakDecay, good);
        if (mean > kOverloadLatency && median > kOverloadLatency) {
            overloaded = true;
            const double cut = std::clamp(kOverloadLatency / mean, kMinCutFactor, kMaxCutFactor);
            limit = std::max(cut * (limit > 0 ? std::min(limit, admitted) : admitted), kMinLimit * peakRate);
            windowStart = ctx.now + cadence.interval + kSecond;
        } else if (overloaded && mean < kRecoveryLatency) {
            limit *= std::clamp(std::sqrt(kRecoveryLatency / mean), kMinRaiseFactor, kMaxRaiseFactor);
            if (limit <= 0 || limit > kLiftFactor * demands.total()) {
                overloaded = false;
                limit = 0;
            }
        }
    }
    /// Admitted share by class: the class worth least per unit of work (its latency target) is cut first.
    [[nodiscard]] std::vector<double> classShares() const {
        const std::size_t n = ctx.settings.classes.size();
        std::vector<double> load(n, 0), share(n, 1);
        for (const auto& [key, d] : demands.rates) {
            load[key.second] += d.rate * static_cast<double>(ctx.settings.classes[key.second].latencyTarget);
        }
        const double total = std::accumulate(load.begin(), load.end(), 0.0);
        const double arriving = demands.total();
        if (limit <= 0 || arriving <= 0) return share;
        double excess = total * std::max(0.0, 1 - limit / arriving);
        std::vector<std::size_t> order(n);
        for (std::size_t c = 0; c < n; ++c) order[c] = c;
        std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
            return ctx.settings.classes[a].worth /
                       static_cast<double>(ctx.settings.classes[a].latencyTarget) <
                   ctx.settings.classes[b].worth / static_cast<double>(ctx.settings.classes[b].latencyTarget);
        });
        for (const double floor : {kFirstClassFloor, kMinClassShare}) {
            for (const std::size_t c : order) {
                const double cut = std::min(excess, load[c] * (share[c] - floor));
                if (load[c] <= 0 || cut <= 0) continue;
                share[c] -= cut / load[c];
                excess -= cut;
            }
        }
        return share;
    }
    /// Levels by class; the same in every table, so computed once per turn.
    [[nodiscard]] std::vector<Entry> computeLevels() const {
        std::vector<Entry> out;
        const std::vector<double> share = classShares();
        for (std::size_t k = 0; k < ctx.settings.classes.size(); ++k) {
            double level = kUnlimited;
            if (share[k] < 1 && ctx.settings.admission == Admission::share) level = quantized(share[k]);
            if (share[k] < 1 && ctx.settings.admission == Admission::rate)
                level = std::min(kUnlimited, quantized(rateForShare(demands.ratesOf(k), share[k], kBurstS)));
            const auto mode = static_cast<std::uint8_t>(overloaded ? 0 : ctx.settings.defaultRetry);
            out.push_back({static_cast<float>(level), mode});
        }
        return out;
    }

    void on(const Ceiling& c) {
        if (c.klass >= ctx.settings.classes.size() || !(c.share >= 0)) return;
        ceilings[{c.zone, c.klass}] = c.share;
        if (c.share >= 1) ceilings.erase({c.zone, c.klass});
    }
    /// A class's level under the ceiling of a zone, if there is one.
    [[nodiscard]] Entry capped(Entry level, ZoneId zone, std::size_t k) const {
        const auto at = ceilings.find({zone, k});
        if (at == ceilings.end() || ctx.settings.admission == Admission::none) return level;
        double most = at->second;
        if (ctx.settings.admission == Admission::rate) {
            std::vector<double> rates;  // of this zone's proxies
            for (const auto& [id, p] : ctx.proxies) {
                const auto d = demands.rates.find({id, k});
                if (p.zone == zone && d != demands.rates.end()) rates.push_back(d->second.rate);
            }
            if (rates.empty()) return level;  // no demand
            most = rateForShare(rates, at->second, kBurstS);
        }
        level.value = std::min(level.value, static_cast<float>(quantized(most)));
        return level;
    }
    /// Scales the limit and the peak rate with the demand of the proxies that join (rate > 0) or leave: those
    /// that join from a failed planner bring their part of both along.
    void scaleLimit(double rate) {
        double before = 0;
        for (const auto& [id, p] : ctx.proxies) before += p.rate;
        if (before <= 0) return;
        const double factor = std::max(0.0, before + rate) / before;
        limit *= factor;
        peakRate *= factor;
    }
};

}  // namespace marldale::policy
