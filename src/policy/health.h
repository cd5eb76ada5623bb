/// Outlier ejection: removes failing servers and links between zones, and restores them through a trial.
#pragma once

#include <algorithm>
#include <cmath>
#include <vector>

#include "policy/state.h"

namespace marldale::policy {

constexpr Micros kTickInterval = 200 * kMs;  // between two evaluations of health, limits and held changes

constexpr double kHealthHalfLifeS = 2.5;  // of a server's try statistics
constexpr double kLinkHalfLifeS = 1;      // of a link's; shorter, since a link has many tries

constexpr double kEjectRatio = 0.5;                       // failure ratio that ejects a server
constexpr double kDeadRatio = 0.9;                        // the same while many fail or all are slow
constexpr double kMinEjectTries = 4, kMinTrialTries = 2;  // recent tries needed; a trial gets few
constexpr double kMinUsualFailureRatio = 0.02;            // assumed of every server
constexpr double kRecoveredFailureRatio = 0.2;            // below it a trial ends at once
constexpr double kLinkFailureRatio = 0.75;                // of tries between two zones: the link is cut
constexpr double kMaxLocalFailureRatio = 0.3;  // of the source zone's own servers, for a link to be to blame
constexpr double kMaxEjectedShare = 0.3;       // of the ready servers
constexpr double kTrialWeight = 0.1;           // weight factor during a trial
constexpr Micros kEjectionTime = 4 * kSecond, kTrialTime = 4 * kSecond;  // the trial follows the ejection

constexpr double kFailedTryTargets = 2;   // a failed try counts as an answer after this many latency targets
constexpr double kMinSampleTries = 10;    // needed for a statement about the fleet or a zone
constexpr double kOverloadLatency = 0.6;  // mean latency of an overloaded fleet, in latency targets
constexpr double kPeriodGain = 0.05, kIntakeFullShare = 0.8;  // of the intake: above it reports are late

/// Rounds a factor to steps of a quarter octave, so that noise in its inputs causes no actions.
inline double quantized(double factor) {
    return factor <= 0 ? 0 : std::exp2(std::round(std::log2(factor) * 4) / 4);
}
inline double failedTryTime(const Context& ctx) { return kFailedTryTargets * ctx.latencyTarget; }

/// Estimates how often each server is reported on: less often than configured when the intake is full.
struct ReportCadence {
    const Context& ctx;
    double received = 0, rate = 0, period = 0;  // since the last tick; per second; mean of the reports, in us
    Micros interval = ctx.settings.reportEvery;
    void record(const ServerStats& r) { period += kPeriodGain * (static_cast<double>(r.period) - period); }
    void tick() {
        rate += kPeriodGain * (received * static_cast<double>(kSecond) / kTickInterval - rate);
        received = 0;
        const bool full = ctx.settings.reportsPerS > 0 && rate > kIntakeFullShare * ctx.settings.reportsPerS;
        interval =
            full ? std::max(static_cast<Micros>(period), ctx.settings.reportEvery) : ctx.settings.reportEvery;
    }
};

/// Health of servers and links, as seen by the proxies of each zone.
struct HealthTracker {
    const Context& ctx;
    const ReportCadence& cadence;
    std::map<std::pair<ZoneId, ServerId>, Health> servers{};
    std::map<std::pair<ZoneId, ZoneId>, Health> links{};  // from a zone's proxies to another zone's servers
    double deviations = 0;  // standard deviations above the usual failures that rule out chance

    template <class Map, class Id>
    [[nodiscard]] static double factor(const Map& map, const Id& id) {
        const auto at = map.find(id);
        if (at == map.end() || at->second.state == HealthState::ok) return 1;
        return at->second.state == HealthState::trial ? kTrialWeight : 0;
    }
    [[nodiscard]] double linkFactor(ZoneId from, ZoneId to) const {
        return factor(links, std::pair(from, to));
    }
    [[nodiscard]] double serverFactor(ZoneId zone, ServerId id) const {
        return factor(servers, std::pair(zone, id)) * linkFactor(zone, ctx.fleet.at(id).entry.zone);
    }
    void record(const ServerStats& r) {
        const ZoneId to = ctx.fleet.at(r.server).entry.zone;
        servers[{r.fromZone, r.server}].record(r, ctx.now, kHealthHalfLifeS, failedTryTime(ctx));
        if (to != r.fromZone) links[{r.fromZone, to}].record(r, ctx.now, kLinkHalfLifeS, failedTryTime(ctx));
    }
    /// Forgets a restarted server: the new process must not inherit its predecessor's record (i4aa4a7).
    void forget(ServerId id) {
        for (ZoneId z = 0; z < ctx.settings.zones; ++z) servers.erase({z, id});
    }
    /// One step of the ok -> ejected -> trial state machine. Returns true if it ejects now.
    bool advance(Health& h, double proof, double usual, bool mayEject) {
        if (h.state == HealthState::ejected) {
            if (ctx.now < h.until) return false;
            h.state = HealthState::trial;
            h.until = ctx.now + kTrialTime + cadence.interval + kSecond;
            return false;
        }
        const double minTries = h.state == HealthState::trial ? kMinTrialTries : kMinEjectTries;
        const double expectedFailures = std::max(usual, kMinUsualFailureRatio) * h.stats.tries;
        const bool proven = h.stats.failed - expectedFailures >= deviations * std::sqrt(expectedFailures);
        if (mayEject && h.stats.tries >= minTries && h.stats.failRatio() >= proof && proven) {
            h.state = HealthState::ejected;
            h.until = ctx.now + kEjectionTime;
            h.stats = {};
            h.countFrom = h.until + cadence.interval + kSecond;  // skips late reports on earlier tries
            return true;
        }
        const bool recovered = h.stats.tries >= minTries && h.stats.failRatio() < kRecoveredFailureRatio;
        if (h.state == HealthState::trial && (recovered || ctx.now >= h.until)) h.state = HealthState::ok;
        return false;
    }
    void evaluate(bool overloaded) {  // once per tick
        std::vector<double> ratios;
        std::map<ZoneId, double> ejected;
        std::map<ZoneId, TryStats> local;
        TryStats all;
        for (auto& [key, h] : servers) {
            h.stats.decay(ctx.now, kHealthHalfLifeS);
            if (h.state == HealthState::ejected) ejected[key.first] += 1;
            if (h.state != HealthState::ejected && h.stats.tries >= 1) ratios.push_back(h.stats.failRatio());
            all.add(h.stats);
            if (ctx.fleet.at(key.second).entry.zone != key.first) continue;
            local[key.first].add(h.stats);
        }
        // Among hundreds of servers four failed tries of four occur by chance: the bar rises with the fleet.
        deviations = std::sqrt(2 * std::log(1 + static_cast<double>(servers.size())));
        std::sort(ratios.begin(), ratios.end());
        const double usual = ratios.empty() ? 0 : ratios[ratios.size() / 2];
        // If a zone fails for another zone whose own servers answer, the link between them is cut.
        for (auto& [key, h] : links) {
            h.stats.decay(ctx.now, kLinkHalfLifeS);
            advance(h, kLinkFailureRatio, 0, local[key.first].failRatio() < kMaxLocalFailureRatio);
        }
        // Panic threshold: many failures at once, or a slow fleet, point to load or the network. Then only
        // servers that answer almost nothing are ejected, and none once the median failure ratio is one half.
        const bool panic = usual > kEjectRatio;
        const double proof = overloaded ? kDeadRatio : std::clamp(3 * usual, kEjectRatio, kDeadRatio);
        const auto ready = static_cast<double>(countReady(ctx.fleet));
        for (auto& [key, h] : servers) {
            if (linkFactor(key.first, ctx.fleet.at(key.second).entry.zone) < 1) h.stats = {};  // link fault
            ejected[key.first] += advance(h, proof, all.failRatio(),
                                          !panic && ejected[key.first] + 1 <= kMaxEjectedShare * ready);
        }
    }
};

}  // namespace marldale::policy
