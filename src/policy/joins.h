// Joins and restart: which proxies come and go, and whose table each is bound to.
#pragma once

#include <algorithm>
#include <vector>

#include "policy/tables.h"

namespace marldale::policy {

struct Joins {
    View& in;
    Levels& levels;
    Tables& tables;
    std::set<ProxyId> joined{};            // and not bound yet
    std::vector<std::set<ZoneId>> open{};  // by group: zones with a warm server, worked out once a turn

    void on(const ProxyJoined& j) {
        on(ProxyLeft{j.proxy});
        levels.rescale(j.usualRate);
        Proxy& p = in.proxies[j.proxy];
        p.zone = j.zone;
        p.rate = j.usualRate;
        tables.lines.proxyStates[j.proxy];
        joined.insert(j.proxy);
    }
    void on(const ProxyLeft& l) {
        const auto at = in.proxies.find(l.proxy);
        if (at == in.proxies.end()) return;
        tables.lines.leave(l.proxy);
        levels.rescale(-at->second.rate);
        in.proxies.erase(at);
        joined.erase(l.proxy);
        levels.demands.drop(l.proxy);
    }
    // Where a group's requests go: the proxy's own zone if it has an open warm server, else another zone.
    [[nodiscard]] ZoneId homeZone(ProxyId id, ZoneId zone, std::size_t g) const {
        if (open[g].empty() || open[g].count(zone) || in.groups[g].ownZoneOnly) return zone;
        return *std::next(open[g].begin(), static_cast<std::ptrdiff_t>(id % open[g].size()));
    }
    // As many as the channel takes, the busiest first: until then they have their standing tables.
    void bindJoined() {
        if (joined.empty() || readyIn(in.fleet) == 0) return;  // what they hold is better than nothing
        std::vector<ProxyId> order(joined.begin(), joined.end());
        std::stable_sort(order.begin(), order.end(),
                         [&](ProxyId a, ProxyId b) { return in.proxies.at(a).rate > in.proxies.at(b).rate; });
        std::map<Scope, std::set<ProxyId>> fresh;
        const double each =
            static_cast<double>(in.groups.size()) * in.tableLines() + in.set.envelopeLines + 1;
        double left = tables.room(false);
        for (const ProxyId id : order) {
            if (left < each && (tables.channel.waiting() > 0 || left < tables.room(false))) break;
            left -= each;
            Proxy& p = in.proxies.at(id);
            p.column = in.columns.leastStrained(p.zone);
            in.columns.loads[{p.zone, p.column}] += p.rate;
            for (std::size_t g = 0; g < in.groups.size(); ++g) {
                fresh[{homeZone(id, p.zone, g), g, p.column}].insert(id);
            }
            joined.erase(id);
        }
        for (const auto& [scope, ids] : fresh) tables.lines.bindFresh(ids, scope, in.dear);
    }
    void rebind() {
        auto& lines = tables.lines;
        for (auto& [id, p] : in.proxies) {
            for (const auto& [g, table] : lines.proxyStates.at(id).tables) {
                const Scope home = {homeZone(id, p.zone, g), g, p.column};
                if (std::get<0>(lines.tables.at(table).scope) == std::get<0>(home) ||
                    !tables.mayWrite({id}, in.tableLines(), true))
                    continue;
                lines.mains.count(home) ? lines.bind(id, lines.mains.at(home))
                                        : lines.bindFresh({id}, home, false);
            }
        }
    }
};

}  // namespace marldale::policy
