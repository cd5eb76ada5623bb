// Sites with slices: slices stay where the store has them. One moves only when none of its servers is ready;
// where a slice has one owner, the new one waits until a proxy that has lost us has stopped writing to the
// old one (the lease) and what it had taken in is over (the settle time).
#pragma once

#include <algorithm>

#include "policy/tables.h"

namespace marldale::policy {

struct SliceKeeper {
    View& in;
    Tables& tables;
    std::map<TableId, Slice> slices{};  // those in our charge

    void on(const SliceAssignment& g) {
        slices.erase(g.slice);
        if (g.assigned) slices[g.slice].freeAt = ownerWait();
    }
    void on(const SliceLine& l) {
        const auto at = slices.find(l.slice);
        if (at != slices.end() && l.weight > 0) at->second.lines.insert(l.server);
    }
    [[nodiscard]] Micros ownerWait() const {
        return in.set.oneOwner ? in.now + in.set.writeLease + in.set.settle : in.now;
    }
    // The ready server with the fewest slices for its weight; cold ones only where no warm one is ready.
    [[nodiscard]] const ServerId* leastUsed() const {
        std::map<ServerId, double> used = usesOf(slices);
        const ServerId* best = nullptr;
        const auto cost = [&](ServerId id) {
            const Server& s = in.fleet.at(id);
            return std::pair(!in.warm(s), (used[id] + 1) / s.weight());
        };
        for (const auto& [id, s] : in.fleet) {
            if (s.ready() && (best == nullptr || cost(id) < cost(*best))) best = &id;
        }
        return best;
    }
    void run() {
        std::set<ProxyId> all;
        for (const auto& [id, p] : in.proxies) all.insert(id);
        const auto tell = [&](TableId slice, ServerId server, float weight) {
            in.out.push_back(SetLine{slice, server, weight});
            for (const ProxyId p : all) tables.lines.write(p, 1);
            tables.ordered = true;
        };
        for (auto& [id, slice] : slices) {
            if (!tables.mayWrite(all, 2, true)) return;
            const bool served = std::any_of(slice.lines.begin(), slice.lines.end(), [&](ServerId s) {
                const auto at = in.fleet.find(s);
                return at != in.fleet.end() && at->second.ready();
            });
            if (served || in.fleet.empty()) continue;
            if (!slice.lines.empty()) {
                for (const ServerId s : slice.lines) tell(id, s, 0);
                slice.lines.clear();
                slice.freeAt = ownerWait();
            }
            const ServerId* next = in.now >= slice.freeAt ? leastUsed() : nullptr;
            if (next == nullptr) continue;
            tell(id, *next, 1);
            slice.lines.insert(*next);
        }
    }
};

}  // namespace marldale::policy
