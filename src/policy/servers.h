// The servers: which there are and in what state, the slow start of those that are cold, and the
// columns of tables that they are dealt into.
#pragma once

#include <algorithm>
#include <cmath>
#include <set>

#include "policy/weights.h"

namespace marldale::policy {

constexpr double kRampFrom = 0.25;  // weight of a server that has just started
constexpr Micros kRampStep = 2 * kSecond;
constexpr double kColdOpen = 0.65, kColdShut = 0.5;  // part of the calm picture that lets cold ones in
constexpr double kTipPerLoad = 2.5;     // load that a ramp may meet, as a part of the tip multiple
constexpr std::size_t kShutKept = 256;  // withdrawn servers that have gone, remembered for their return
constexpr double kColumnCost = 0.1;     // seconds of channel for all tables, from which a fleet is dealt
constexpr double kDearCost = 0.35;      // and from which lines are dear
constexpr double kColumnLeast = 8;      // servers of a zone that a column keeps at least
constexpr double kUneven = 1.15;        // load against capacity of a column that calls for a server

struct Servers {
    View& in;
    HealthBook& health;
    Weights& weights;
    double answered = 0;
    bool coldOpen = false;
    double carried = 0;     // the most answered tries that the fading sums have held
    double calmWeight = 0;  // the most weight that healthy servers have had, cold ones by their warmth

    void on(const ServerListUpdate& news) {
        if (news.kind == ServerListUpdateKind::failed) return askForList();
        for (const ServerId id : in.take(news)) forget(id);
    }
    // What has gone takes all that was known of it along: a fleet that is replaced all day must not gather.
    template <class Held>
    void bury(const Held& held) {
        std::erase_if(in.fleet, [&](const auto& at) {
            const auto& [id, s] = at;
            if (s.entry.state != ServerState::gone || !s.withdrawn || held(id)) return false;
            forget(id);
            in.columns.drop(id, s);
            return in.shut.insert(id).second;
        });
        while (in.shut.size() > kShutKept) in.shut.erase(in.shut.begin());
    }
    void askForList() {
        if (in.set.listOnRequest) in.out.push_back(Subscribe{true});
    }
    // What a process did is no sign of its successor: one that hung and came back is only cold (i4aa4a7).
    void forget(ServerId id) {
        health.forget(id);
        weights.forget(id);
    }

    [[nodiscard]] double ramp(const Server& s) const {
        return warmth(s) * (in.warm(s) ? 1 : coldOpen ? answered : 0);
    }
    [[nodiscard]] double warmth(const Server& s) const {
        if (in.warm(s) || in.set.warmUp <= 0) return 1;
        const double from = std::min(kRampFrom, in.set.coldShare);
        const Micros steps = in.age(s) / kRampStep;
        const auto step = static_cast<double>(steps * kRampStep);
        return from + (1 - from) * step / static_cast<double>(in.set.warmUp);
    }
    // In a jam a weight says little: failed tries come again, and proxies that avoid the servers that failed
    // them bring everything to the cold ones (incident i6bbaa1: half a fleet came back at once and was pushed
    // over). So a cold server's ramp shrinks with the tries beyond what the fleet has carried and with the
    // weight that the fleet has lost, and it takes nothing far below the calm picture, nor before a planner
    // that has just started can tell.
    void noteAnswered() {
        Tally all;
        for (const auto& [key, h] : health.healths) all.add(h.seen);
        double weight = 0;
        for (const auto& [id, s] : in.fleet) {
            if (s.ready())
                weight += s.weight() * warmth(s) * weights.shiftOf(id) * health.of(s.entry.zone, id);
        }
        calmWeight = std::max(calmWeight, weight);
        if (all.tries >= kFewTries && calmWeight > 0) {
            // A fleet that tips only at a high multiple leaves room before the shrinking has to begin.
            const double room = std::max(1.0, in.set.tipMultiple / kTipPerLoad);
            carried = std::max(carried, all.tries - all.failed);
            answered = std::min(1.0, room * carried / all.tries * weight / calmWeight);
        }
        if (answered < kColdShut) coldOpen = false;
        if (answered > kColdOpen) coldOpen = true;
    }

    // A large fleet is run as several small ones. Where sending all proxies their zone's table would take the
    // channel too long, each zone's servers are dealt into columns, and a proxy's table holds those of its
    // column: bounded tables, few connections a server, and changes that concern few proxies.
    [[nodiscard]] std::size_t columnsWanted() const {
        const double zone = static_cast<double>(in.fleet.size()) / std::max(1U, in.set.zones);
        const double most = std::max(1.0, zone / kColumnLeast);
        return static_cast<std::size_t>(std::clamp(std::round(in.tableCost(zone) / kColumnCost), 1.0, most));
    }
    // New servers go where least is; then at most one server a zone moves, from the column with most to spare
    // to the one most strained: a moved line costs far less than a moved proxy.
    void deal() {
        if (in.columns.members.empty() && !in.fleet.empty()) {
            in.columns.members.resize(columnsWanted());
            in.dear = in.columns.members.size() > 1 &&
                      in.tableCost(in.tableLines(in.fleet.size() / in.columns.members.size())) > kDearCost;
        }
        in.columns.powers.clear();
        for (auto& [id, s] : in.fleet) {
            s.base = s.ready() ? ramp(s) * weights.shiftOf(id) * weights.leanOf(s.entry.zone) : 0;
            const double power = s.weight() * s.base * health.of(s.entry.zone, id);
            if (s.column != kNoColumn) in.columns.powers[{s.entry.zone, s.column}] += power;
        }
        for (auto& [id, s] : in.fleet) {
            if (s.column != kNoColumn || !s.ready()) continue;
            in.columns.put(id, s, in.columns.weakest(s.entry.zone));
            in.columns.powers[{s.entry.zone, s.column}] += s.weight() * s.base;
        }
    }
    void even(const Demands& demands) {
        in.noteLoads(demands);
        for (ZoneId z = 0; z < in.set.zones; ++z) {
            const std::size_t most = in.columns.mostStrained(z), least = in.columns.leastStrained(z);
            if (most == least || in.columns.strain(z, most) < kUneven * in.columns.strain(z)) continue;
            auto& from = in.columns.members[least];
            const auto gives = std::find_if(from.begin(), from.end(), [&](ServerId id) {
                const Server& s = in.fleet.at(id);
                return s.entry.zone == z && s.base > 0 && in.warm(s) && health.of(z, id) == 1;
            });
            if (gives == from.end()) continue;
            const ServerId moved = *gives;
            from.erase(gives);
            in.columns.put(moved, in.fleet.at(moved), most);
        }
    }
};

}  // namespace marldale::policy
