/// Sharded sites: assigns slices to servers. A slice stays where the store has it and moves only when none of
/// its servers is ready. If a slice has one owner, the new owner waits until a proxy that has lost this
/// planner has stopped writing to the old one (the lease) and accepted writes are done (the settle time).
#pragma once

#include <algorithm>

#include "policy/tables.h"

namespace marldale::policy {

struct SliceAssigner {
    Context& ctx;
    Tables& tables;
    std::map<TableId, Slice> slices{};  // assigned to this planner

    void on(const SliceAssignment& g) {
        slices.erase(g.slice);
        if (g.assigned) slices[g.slice].assignableAt = earliestAssignment();
    }
    void on(const SliceLine& l) {
        const auto at = slices.find(l.slice);
        if (at != slices.end() && l.weight > 0) at->second.lines.insert(l.server);
    }
    [[nodiscard]] Micros earliestAssignment() const {
        return ctx.settings.oneOwner ? ctx.now + ctx.settings.writeLease + ctx.settings.settle : ctx.now;
    }
    /// The ready server with the fewest slices for its weight; a cold one only if no warm one is ready.
    [[nodiscard]] const ServerId* leastLoadedServer() const {
        std::map<ServerId, double> counts = sliceCounts(slices);
        const ServerId* best = nullptr;
        const auto cost = [&](ServerId id) {
            const Server& s = ctx.fleet.at(id);
            return std::pair(!ctx.isWarm(s), (counts[id] + 1) / s.weight());
        };
        for (const auto& [id, s] : ctx.fleet) {
            if (s.ready() && (best == nullptr || cost(id) < cost(*best))) best = &id;
        }
        return best;
    }
    void run() {  // moves slices that no ready server holds
        std::set<ProxyId> all;
        for (const auto& [id, p] : ctx.proxies) all.insert(id);
        const auto setLine = [&](TableId slice, ServerId server, float weight) {
            ctx.actions.push_back(SetLine{slice, server, weight});
            for (const ProxyId p : all) tables.distribution.write(p, 1);
            tables.anyOrder = true;
        };
        for (auto& [id, slice] : slices) {
            if (!tables.mayWrite(all, 2, true)) return;
            const bool served = std::any_of(slice.lines.begin(), slice.lines.end(), [&](ServerId s) {
                const auto at = ctx.fleet.find(s);
                return at != ctx.fleet.end() && at->second.ready();
            });
            if (served || ctx.fleet.empty()) continue;
            if (!slice.lines.empty()) {
                for (const ServerId s : slice.lines) setLine(id, s, 0);
                slice.lines.clear();
                slice.assignableAt = earliestAssignment();
            }
            const ServerId* next = ctx.now >= slice.assignableAt ? leastLoadedServer() : nullptr;
            if (next == nullptr) continue;
            setLine(id, *next, 1);
            slice.lines.insert(*next);
        }
    }
};

}  // namespace marldale::policy
