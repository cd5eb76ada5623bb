// Weights: how slowness moves them, and what a zone's table holds of other zones' lines.
#pragma once

#include <algorithm>
#include <cmath>

#include "policy/health.h"

namespace marldale::policy {

constexpr double kShiftPower = 0.7;  // how strongly a server's slowness moves its weight
constexpr double kLean = 0.05;       // how fast weight leans away from slow zones, a second
constexpr double kLeanLeast = 0.4, kLeanMost = 1.6;
constexpr double kShiftPrior = 8;     // tries at the fleet's mean, credited to each
constexpr double kPaceHalfLifeS = 6;  // answer times fade with this half-life
constexpr Micros kShiftEvery = kSecond;
constexpr double kShiftLeast = 0.25, kShiftMost = 2;
constexpr double kCoolTime = 0.3;  // mean answer time, in tightest aims, of a zone with slack
constexpr double kHotTime = 0.45;
constexpr double kQueueing = 1.6, kCalmOfBase = 1.3;  // of the best answer time: a zone queues, is calm
constexpr double kSpillLeast = 0.2;  // a smaller share of the other zones' lines is not worth its orders
constexpr double kLostMost = 0.1;    // of a zone's weight ejected: it needs the others
constexpr double kSpillStep = 0.05, kSpillGain = 3;  // of flows, a tick
constexpr double kFlowWeight = 0.3;                  // of a line that another zone's servers lend
constexpr double kFlowBack = 0.02;  // of a step: how fast flows recede where nothing is known against them
constexpr Micros kCoolHold = 5 * kSecond;  // calm this long before a zone draws its lines in

struct Weights {
    const View& in;
    const HealthBook& health;
    // Slowness: weights move slowly towards equal answer times. Failed tries count as very slow answers, so
    // that a server that fails fast does not attract load.
    std::map<ServerId, Tally> paces{};
    std::map<ServerId, double> shifts{};
    std::map<ZoneId, double> leans{};
    Micros nextShift = 0;
    [[nodiscard]] double leanOf(ZoneId zone) const { return valueIn(leans, zone, 1); }
    [[nodiscard]] double shiftOf(ServerId id) const {
        const double most = in.warm(in.fleet.at(id)) ? kShiftMost : 1;  // a cold one looks fast while idle
        return std::min(most, valueIn(shifts, id, 1));
    }
    void forget(ServerId id) {
        paces.erase(id);
        shifts.erase(id);
    }
    void note(const ServerStats& r) { paces[r.server].note(r, in.now, kPaceHalfLifeS, failedTime(in)); }
    void shift() {
        if (in.now < nextShift) return;
        nextShift = in.now + kShiftEvery;
        Tally all;
        for (auto& [id, t] : paces) {
            t.fade(in.now, kPaceHalfLifeS);
            all.add(t);
        }
        const double usual = all.mean();
        if (usual <= 0) return;
        for (const auto& [id, d] : paces) {
            const double mine = (d.time + kShiftPrior * usual) / (d.tries + kShiftPrior);
            shifts[id] = std::clamp(std::pow(usual / mine, kShiftPower), kShiftLeast, kShiftMost);
        }
        // A whole zone has tries enough to learn from: where only some zones may take a class, the others
        // take more of what may go anywhere.
        if (in.groups.size() < 2) return;
        std::map<ZoneId, Tally> byZone;
        for (const auto& [id, t] : paces) byZone[in.fleet.at(id).entry.zone].add(t);
        for (const auto& [zone, t] : byZone) {
            if (t.tries < 2 * kFewTries) continue;
            double& lean = leans.try_emplace(zone, 1.0).first->second;
            lean = std::clamp(lean * std::pow(usual / t.mean(), kLean), kLeanLeast, kLeanMost);
        }
    }

    // A zone's own servers carry its requests while they have slack. The exception: where they are proven
    // hot, or nothing is proven yet, the zone's table also holds the other zones' lines.
    std::map<ZoneId, Spill> spills{};
    std::map<std::pair<ZoneId, ZoneId>, double> flows{};  // where lines are dear: by zones, from and to
    // A share of the other zones' lines. Where lines are dear, some of the lines, as many as the excess
    // needs, so that connections stay few too; each at a part of its weight, for a server that carries a line
    // of its own zone and a whole one of another is asked for twice its share, and is the next to be hot.
    [[nodiscard]] double spillTo(const Server& s, ZoneId from, double before) const {
        const auto at = spills.find(from);
        if (!in.dear) return at == spills.end() ? 1 : at->second.share;
        const double mean = static_cast<double>(in.fleet.size()) / in.set.zones / in.columns.members.size();
        const double offset = std::floor(mean * from / in.set.zones);  // zones begin at different servers
        const double lines = mean * valueIn(flows, std::pair(from, s.entry.zone), 0) / kFlowWeight;
        const double place = std::fmod(before + offset, std::max(1.0, std::ceil(mean)));
        return kFlowWeight * std::clamp(lines - place, 0.0, 1.0);
    }
    void spread() {
        std::map<ZoneId, Tally> own;           // a zone's servers, whoever met them
        std::map<ZoneId, double> whole, lost;  // weight of its ready servers, of those not fit
        std::map<std::pair<ZoneId, ZoneId>, Tally> way;
        for (const auto& [id, s] : in.fleet) whole[s.entry.zone] += s.ready() ? s.weight() : 0;
        for (const auto& [key, h] : health.healths) {
            const Server& s = in.fleet.at(key.second);
            own[s.entry.zone].add(h.seen);
            way[{key.first, s.entry.zone}].add(h.seen);
            if (s.entry.zone == key.first && s.ready() && h.fit != Fit::ok) lost[key.first] += s.weight();
        }
        for (ZoneId z = 0; z < in.set.zones; ++z) {
            const bool troubled = lost[z] > kLostMost * whole[z];
            in.dear ? flow(z, way, troubled) : spill(z, own[z], troubled);
        }
    }
    void spill(ZoneId z, const Tally& own, bool troubled) {
        Spill& s = spills[z];
        const double time = own.mean();
        if (own.tries >= kFewTries && time > 0) s.base = s.base > 0 ? std::min(s.base, time) : time;
        const bool queueing = time > kQueueing * s.base;
        const bool hot = troubled || queueing || time > kHotTime * in.aim;
        const bool calm =
            !hot && own.tries >= kFewTries && time < kCoolTime * in.aim && time < kCalmOfBase * s.base;
        if (hot) s.share = 1;
        if (!calm || s.calmSince == 0) s.calmSince = in.now;
        if (in.now - s.calmSince < kCoolHold) return;
        s.share = s.share > kSpillLeast ? s.share / 2 : 0;
        s.calmSince = in.now;
    }
    // From a hot zone more goes to each other zone as far as it answers faster there; a slow or lossy way, or
    // a zone that is as hot, gets less again.
    void flow(ZoneId z, const std::map<std::pair<ZoneId, ZoneId>, Tally>& way, bool troubled) {
        const auto home = way.find({z, z});
        if (home == way.end() || home->second.tries < kFewTries) return;
        const double time = home->second.mean();
        const bool hot = troubled || time > kOverTime * in.aim;
        for (ZoneId to = 0; to < in.set.zones; ++to) {
            if (to == z) continue;
            const auto there = way.find({z, to});
            const bool known = there != way.end() && there->second.tries >= kFewTries;
            const double better = known ? kSpillGain * (time / there->second.mean() - 1) : 1;
            double& share = flows[{z, to}];
            const double gain = std::clamp(better, -1.0, hot ? 1.0 : 0.0);
            share = std::clamp(share + kSpillStep * (hot || gain < 0 ? gain : -kFlowBack), 0.0, 1.0);
        }
    }
};

}  // namespace marldale::policy
