/// Weight factors from measured latency, and how much of a zone's load spills over to other zones.
#pragma once

#include <algorithm>
#include <cmath>

#include "policy/health.h"

namespace marldale::policy {

constexpr double kLatencyPower = 0.7;  // how strongly a server's latency moves its weight
constexpr double kZonePower = 0.05;    // the same for a zone's latency, each second
constexpr double kMinZoneFactor = 0.4, kMaxZoneFactor = 1.6;
constexpr double kPriorTries = 8;        // at the fleet's mean latency, credited to each server
constexpr double kLatencyHalfLifeS = 6;  // of the latency statistics
constexpr Micros kUpdateInterval = kSecond;
constexpr double kMinFactor = 0.25, kMaxFactor = 2;

constexpr double kSlackLatency = 0.3, kZoneOverloadLatency = 0.45;  // a zone's mean, in latency targets
constexpr double kQueueingFactor = 1.6, kSlackFactor = 1.3;  // of the best latency: zone queues, has slack
constexpr double kMinSpilloverShare = 0.2;                   // a smaller share is not worth its lines
constexpr double kMaxUnhealthyShare = 0.1;         // of a zone's weight; above it the zone needs the others
constexpr double kFlowStep = 0.05, kFlowGain = 3;  // change of a flow per tick
constexpr double kFlowDecay = 0.02;                // of a step, for a flow that is not needed
constexpr double kLentLineWeight = 0.3;            // weight factor of a server lent to another zone
constexpr Micros kSlackHold = 5 * kSecond;         // slack before spillover is reduced

struct Weights {
    const Context& ctx;
    const HealthTracker& health;
    // Failed tries count as very slow answers, so that a server that fails fast does not attract load.
    std::map<ServerId, TryStats> latencies{};
    std::map<ServerId, double> latencyFactors{};
    std::map<ZoneId, double> zoneFactors{};
    Micros nextUpdate = 0;
    [[nodiscard]] double zoneFactor(ZoneId zone) const { return valueOr(zoneFactors, zone, 1); }
    [[nodiscard]] double latencyFactor(ServerId id) const {
        const double cap = ctx.isWarm(ctx.fleet.at(id)) ? kMaxFactor : 1;  // idle cold servers seem fast
        return std::min(cap, valueOr(latencyFactors, id, 1));
    }
    void forget(ServerId id) {
        latencies.erase(id);
        latencyFactors.erase(id);
    }
    void record(const ServerStats& r) {
        latencies[r.server].record(r, ctx.now, kLatencyHalfLifeS, failedTryTime(ctx));
    }
    void updateLatencyFactors() {
        if (ctx.now < nextUpdate) return;
        nextUpdate = ctx.now + kUpdateInterval;
        TryStats all;
        for (auto& [id, t] : latencies) {
            t.decay(ctx.now, kLatencyHalfLifeS);
            all.add(t);
        }
        const double overall = all.meanTime();
        if (overall <= 0) return;
        for (const auto& [id, d] : latencies) {
            const double mean = (d.totalTime + kPriorTries * overall) / (d.tries + kPriorTries);
            latencyFactors[id] = std::clamp(std::pow(overall / mean, kLatencyPower), kMinFactor, kMaxFactor);
        }
        // If some classes are bound to some zones, the other zones take more of the unbound classes.
        if (ctx.groups.size() < 2) return;
        std::map<ZoneId, TryStats> byZone;
        for (const auto& [id, t] : latencies) byZone[ctx.fleet.at(id).entry.zone].add(t);
        for (const auto& [zone, t] : byZone) {
            if (t.tries < 2 * kMinSampleTries) continue;
            double& factor = zoneFactors.try_emplace(zone, 1.0).first->second;
            factor = std::clamp(factor * std::pow(overall / t.meanTime(), kZonePower), kMinZoneFactor,
                                kMaxZoneFactor);
        }
    }

    // A zone's table holds other zones' lines only while the zone is overloaded or nothing is known of it.
    std::map<ZoneId, Spillover> spillovers{};
    std::map<std::pair<ZoneId, ZoneId>, double> zoneFlows{};  // if lines are costly; from zone, to zone
    /// Weight factor of a server in another zone's table. If lines are costly, only as many servers are lent
    /// as the excess needs, which also limits connections, each at a part of its weight: with its full weight
    /// in two zones a server would get twice its share and overload next. `position` counts within its zone.
    [[nodiscard]] double spilloverFactor(const Server& s, ZoneId from, double position) const {
        const auto at = spillovers.find(from);
        if (!ctx.linesCostly) return at == spillovers.end() ? 1 : at->second.share;
        const double avg =
            static_cast<double>(ctx.fleet.size()) / ctx.settings.zones / ctx.subsets.members.size();
        const double offset = std::floor(avg * from / ctx.settings.zones);  // differs by zone
        const double lines = avg * valueOr(zoneFlows, std::pair(from, s.entry.zone), 0) / kLentLineWeight;
        const double index = std::fmod(position + offset, std::max(1.0, std::ceil(avg)));
        return kLentLineWeight * std::clamp(lines - index, 0.0, 1.0);
    }
    void updateSpillovers() {              // once per tick
        std::map<ZoneId, TryStats> local;  // by the servers' zone
        std::map<ZoneId, double> readyWeight, unhealthyWeight;
        std::map<std::pair<ZoneId, ZoneId>, TryStats> pairs;
        for (const auto& [id, s] : ctx.fleet) readyWeight[s.entry.zone] += s.ready() ? s.weight() : 0;
        for (const auto& [key, h] : health.servers) {
            const Server& s = ctx.fleet.at(key.second);
            local[s.entry.zone].add(h.stats);
            pairs[{key.first, s.entry.zone}].add(h.stats);
            if (s.entry.zone == key.first && s.ready() && h.state != HealthState::ok)
                unhealthyWeight[key.first] += s.weight();
        }
        for (ZoneId z = 0; z < ctx.settings.zones; ++z) {
            const bool unhealthy = unhealthyWeight[z] > kMaxUnhealthyShare * readyWeight[z];
            ctx.linesCostly ? updateFlows(z, pairs, unhealthy) : updateSpillover(z, local[z], unhealthy);
        }
    }
    void updateSpillover(ZoneId z, const TryStats& local, bool unhealthy) {
        Spillover& s = spillovers[z];
        const double time = local.meanTime();
        if (local.tries >= kMinSampleTries && time > 0) s.best = s.best > 0 ? std::min(s.best, time) : time;
        const bool queueing = time > kQueueingFactor * s.best;
        const bool overloaded = unhealthy || queueing || time > kZoneOverloadLatency * ctx.latencyTarget;
        const bool slack = !overloaded && local.tries >= kMinSampleTries &&
                           time < kSlackLatency * ctx.latencyTarget && time < kSlackFactor * s.best;
        if (overloaded) s.share = 1;
        if (!slack || s.slackSince == 0) s.slackSince = ctx.now;
        if (ctx.now - s.slackSince < kSlackHold) return;
        s.share = s.share > kMinSpilloverShare ? s.share / 2 : 0;
        s.slackSince = ctx.now;
    }
    /// Moves load from an overloaded zone to zones that answer faster; slow or lossy ones get less again.
    void updateFlows(ZoneId z, const std::map<std::pair<ZoneId, ZoneId>, TryStats>& pairs, bool unhealthy) {
        const auto local = pairs.find({z, z});
        if (local == pairs.end() || local->second.tries < kMinSampleTries) return;
        const double time = local->second.meanTime();
        const bool overloaded = unhealthy || time > kOverloadLatency * ctx.latencyTarget;
        for (ZoneId to = 0; to < ctx.settings.zones; ++to) {
            if (to == z) continue;
            const auto remote = pairs.find({z, to});
            const bool known = remote != pairs.end() && remote->second.tries >= kMinSampleTries;
            const double advantage = known ? kFlowGain * (time / remote->second.meanTime() - 1) : 1;
            double& share = zoneFlows[{z, to}];
            const double gain = std::clamp(advantage, -1.0, overloaded ? 1.0 : 0.0);
            share = std::clamp(share + kFlowStep * (overloaded || gain < 0 ? gain : -kFlowDecay), 0.0, 1.0);
        }
    }
};

}  // namespace marldale::policy
