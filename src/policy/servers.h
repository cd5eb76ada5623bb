/// Server lifecycle, slow start of cold servers, and the partition of a large fleet into subsets.
#pragma once

#include <algorithm>
#include <cmath>
#include <set>

#include "policy/weights.h"

namespace marldale::policy {

constexpr double kInitialRamp = 0.25;  // weight factor of a server that has just started
constexpr Micros kRampStepTime = 2 * kSecond;
constexpr double kAdmitColdAbove = 0.65, kExcludeColdBelow = 0.5;  // cold factors, with hysteresis
constexpr double kTipMultiplePerLoad = 2.5;  // tip multiple per load that a ramping server may meet
constexpr std::size_t kMaxRemovedIds = 256;  // remembered, to restore servers that return
constexpr double kSubsetSendS = 0.1, kCostlySendS = 0.35;  // to send all tables: per subset; costly lines
constexpr double kMinSubsetServers = 8;                    // of one zone
constexpr double kUsageRatio = 1.15;                       // subset's usage relative to the zone's

struct Servers {
    Context& ctx;
    HealthTracker& health;
    Weights& weights;
    double coldFactor = 0;  // weight factor of cold servers for the fleet's load
    bool coldAdmitted = false;
    double peakGoodTries = 0;  // most successful tries in the decaying statistics
    double peakWeight = 0;     // most weight of healthy servers, cold ones by warm-up

    void on(const ServerListUpdate& update) {
        if (update.kind == ServerListUpdateKind::failed) return subscribeToList();
        for (const ServerId id : ctx.applyList(update)) forget(id);
    }
    /// Forgets servers that are gone and in no table: a fleet replaced all day must not accumulate state.
    template <class Held>
    void removeGone(const Held& held) {
        std::erase_if(ctx.fleet, [&](const auto& at) {
            const auto& [id, s] = at;
            if (s.entry.state != ServerState::gone || !s.withdrawn || held(id)) return false;
            forget(id);
            ctx.subsets.remove(id, s);
            return ctx.removedIds.insert(id).second;
        });
        while (ctx.removedIds.size() > kMaxRemovedIds) ctx.removedIds.erase(ctx.removedIds.begin());
    }
    void subscribeToList() {
        if (ctx.settings.listOnRequest) ctx.actions.push_back(Subscribe{true});
    }
    /// Forgets a restarted server: the new process must not inherit its predecessor's record (i4aa4a7).
    void forget(ServerId id) {
        health.forget(id);
        weights.forget(id);
    }

    [[nodiscard]] double ramp(const Server& s) const {
        return warmUpFactor(s) * (ctx.isWarm(s) ? 1 : coldAdmitted ? coldFactor : 0);
    }
    [[nodiscard]] double warmUpFactor(const Server& s) const {
        if (ctx.isWarm(s) || ctx.settings.warmUp <= 0) return 1;
        const double from = std::min(kInitialRamp, ctx.settings.coldShare);
        const Micros steps = ctx.age(s) / kRampStepTime;
        const auto step = static_cast<double>(steps * kRampStepTime);
        return from + (1 - from) * step / static_cast<double>(ctx.settings.warmUp);
    }
    /// In an overload, retries and proxies that avoid failing servers send cold servers far more than their
    /// weight (incident i6bbaa1: half a fleet returned at once and tipped over). So a cold server's weight
    /// shrinks with the tries beyond the fleet's peak and with the weight that the fleet has lost. Far below
    /// the peak, or before a planner that has just started knows it, cold servers get nothing.
    void updateColdFactor() {
        TryStats all;
        for (const auto& [key, h] : health.servers) all.add(h.stats);
        double weight = 0;
        for (const auto& [id, s] : ctx.fleet) {
            if (s.ready())
                weight += s.weight() * warmUpFactor(s) * weights.latencyFactor(id) *
                          health.serverFactor(s.entry.zone, id);
        }
        peakWeight = std::max(peakWeight, weight);
        if (all.tries >= kMinSampleTries && peakWeight > 0) {
            // A fleet that tips over only at a high multiple of its load leaves headroom before that.
            const double headroom = std::max(1.0, ctx.settings.tipMultiple / kTipMultiplePerLoad);
            peakGoodTries = std::max(peakGoodTries, all.tries - all.failed);
            coldFactor = std::min(1.0, headroom * peakGoodTries / all.tries * weight / peakWeight);
        }
        if (coldFactor < kExcludeColdBelow) coldAdmitted = false;
        if (coldFactor > kAdmitColdAbove) coldAdmitted = true;
    }

    /// Number of subsets. If sending every proxy its zone's table would occupy the channel for too long, each
    /// zone's servers are split into subsets and a proxy's table holds one of them. This bounds tables and
    /// connections, and a change concerns few proxies.
    [[nodiscard]] std::size_t subsetCount() const {
        const double size = static_cast<double>(ctx.fleet.size()) / std::max(1U, ctx.settings.zones);
        const double max = std::max(1.0, size / kMinSubsetServers);
        return static_cast<std::size_t>(std::clamp(std::round(ctx.sendTimeS(size) / kSubsetSendS), 1.0, max));
    }
    void assignSubsets() {  // new servers go to the subset with the least capacity
        if (ctx.subsets.members.empty() && !ctx.fleet.empty()) {
            ctx.subsets.members.resize(subsetCount());
            ctx.linesCostly =
                ctx.subsets.members.size() > 1 &&
                ctx.sendTimeS(ctx.tableLines(ctx.fleet.size() / ctx.subsets.members.size())) > kCostlySendS;
        }
        ctx.subsets.capacities.clear();
        for (auto& [id, s] : ctx.fleet) {
            s.baseFactor =
                s.ready() ? ramp(s) * weights.latencyFactor(id) * weights.zoneFactor(s.entry.zone) : 0;
            const double capacity = s.weight() * s.baseFactor * health.serverFactor(s.entry.zone, id);
            if (s.subset != kNoSubset) ctx.subsets.capacities[{s.entry.zone, s.subset}] += capacity;
        }
        for (auto& [id, s] : ctx.fleet) {
            if (s.subset != kNoSubset || !s.ready()) continue;
            ctx.subsets.add(id, s, ctx.subsets.smallestCapacity(s.entry.zone));
            ctx.subsets.capacities[{s.entry.zone, s.subset}] += s.weight() * s.baseFactor;
        }
    }
    /// Moves at most one server per zone to the most used subset; moving a proxy would cost far more.
    void rebalanceSubsets(const Demands& demands) {
        ctx.updateLoads(demands);
        for (ZoneId z = 0; z < ctx.settings.zones; ++z) {
            const std::size_t most = ctx.subsets.mostUsed(z), least = ctx.subsets.leastUsed(z);
            if (most == least || ctx.subsets.usage(z, most) < kUsageRatio * ctx.subsets.usage(z)) continue;
            auto& from = ctx.subsets.members[least];
            const auto candidate = std::find_if(from.begin(), from.end(), [&](ServerId id) {
                const Server& s = ctx.fleet.at(id);
                return s.entry.zone == z && s.baseFactor > 0 && ctx.isWarm(s) &&
                       health.serverFactor(z, id) == 1;
            });
            if (candidate == from.end()) continue;
            const ServerId moved = *candidate;
            from.erase(candidate);
            ctx.subsets.add(moved, ctx.fleet.at(moved), most);
        }
    }
};

}  // namespace marldale::policy
