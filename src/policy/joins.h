/// Binds joining proxies to tables, and rebinds proxies whose home zone changes.
#pragma once

#include <algorithm>
#include <vector>

#include "policy/tables.h"

namespace marldale::policy {

struct Joins {
    Context& ctx;
    Levels& levels;
    Tables& tables;
    std::set<ProxyId> joined{};                 // and not bound yet
    std::vector<std::set<ZoneId>> openZones{};  // zones with a warm server, by class group; set every turn

    void on(const ProxyJoined& j) {
        on(ProxyLeft{j.proxy});
        levels.scaleLimit(j.usualRate);
        Proxy& p = ctx.proxies[j.proxy];
        p.zone = j.zone;
        p.rate = j.usualRate;
        tables.distribution.proxyStates[j.proxy];
        joined.insert(j.proxy);
    }
    void on(const ProxyLeft& l) {
        const auto at = ctx.proxies.find(l.proxy);
        if (at == ctx.proxies.end()) return;
        tables.distribution.leave(l.proxy);
        levels.scaleLimit(-at->second.rate);
        ctx.proxies.erase(at);
        joined.erase(l.proxy);
        levels.demands.drop(l.proxy);
    }
    /// Zone that serves a class group: the proxy's own if it has a warm server, else another.
    [[nodiscard]] ZoneId homeZone(ProxyId id, ZoneId zone, std::size_t g) const {
        if (openZones[g].empty() || openZones[g].count(zone) || ctx.groups[g].ownZoneOnly) return zone;
        return *std::next(openZones[g].begin(), static_cast<std::ptrdiff_t>(id % openZones[g].size()));
    }
    /// Binds as many proxies as the channel takes, busiest first; the others keep their standing tables.
    void bindJoins() {
        if (joined.empty() || countReady(ctx.fleet) == 0) return;  // they keep what they hold
        std::vector<ProxyId> order(joined.begin(), joined.end());
        std::stable_sort(order.begin(), order.end(), [&](ProxyId a, ProxyId b) {
            return ctx.proxies.at(a).rate > ctx.proxies.at(b).rate;
        });
        std::map<Scope, std::set<ProxyId>> fresh;
        const double cost =
            static_cast<double>(ctx.groups.size()) * ctx.tableLines() + ctx.settings.envelopeLines + 1;
        double left = tables.remainingLines(false);
        for (const ProxyId id : order) {
            if (left < cost && (tables.channel.backlog() > 0 || left < tables.remainingLines(false))) break;
            left -= cost;
            Proxy& p = ctx.proxies.at(id);
            p.subset = ctx.subsets.leastUsed(p.zone);
            ctx.subsets.loads[{p.zone, p.subset}] += p.rate;
            for (std::size_t g = 0; g < ctx.groups.size(); ++g) {
                fresh[{homeZone(id, p.zone, g), g, p.subset}].insert(id);
            }
            joined.erase(id);
        }
        for (const auto& [scope, ids] : fresh) tables.distribution.bindFresh(ids, scope, ctx.linesCostly);
    }
    void rebindMoved() {  // proxies whose home zone has changed
        auto& distribution = tables.distribution;
        for (auto& [id, p] : ctx.proxies) {
            for (const auto& [g, table] : distribution.proxyStates.at(id).tables) {
                const Scope home = {homeZone(id, p.zone, g), g, p.subset};
                if (std::get<0>(distribution.tables.at(table).scope) == std::get<0>(home) ||
                    !tables.mayWrite({id}, ctx.tableLines(), true))
                    continue;
                distribution.mains.count(home) ? distribution.bind(id, distribution.mains.at(home))
                                               : distribution.bindFresh({id}, home, false);
            }
        }
    }
};

}  // namespace marldale::policy
