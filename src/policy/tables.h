/// The planner's tables: their desired content, the order in which changes are sent, and the pacing of sends.
#pragma once

#include <algorithm>
#include <cmath>

#include "policy/distribution.h"
#include "policy/levels.h"
#include "policy/servers.h"

namespace marldale::policy {

constexpr Micros kMarkTimeout = 3 * kSecond;  // an unacknowledged mark holds later changes back this long
constexpr Micros kMinCopyAge = 2 * kSecond;   // before a copy is folded back into its main table
constexpr double kBacklogShare = 0.5, kUrgentFactor = 1.6;  // of the allowed backlog; urgent: times that
constexpr double kChannelSlowdown = 8;  // the channel may be this many times slower than configured
constexpr Micros kMinSlotInterval = 200 * kMs;
constexpr double kLevelPriority = 1e6;

/// Keeps the channel's backlog under its cap. Messages leave in slots, far enough apart to keep a proxy's
/// message limit; what falls due in between goes out as one message. Only a proxy's first bind does not wait
/// for a slot. (Incident i648ecb: withdrawals on top of a full window broke the limit.)
struct Pacer {
    Context& ctx;
    Channel channel{};
    bool anyOrder = false;
    Micros lastSlot = 0;
    bool slotOpen = true;
    void open() {
        channel.drain(ctx.now, ctx.settings.pushRate / kChannelSlowdown);
        const Micros gap = ctx.settings.messagesMost > 1
                               ? ctx.settings.messagesOver / (ctx.settings.messagesMost - 1) + 1
                               : 0;
        slotOpen = ctx.now - lastSlot >= std::max(gap, kMinSlotInterval);
    }
    [[nodiscard]] double remainingLines(bool urgent) const {
        return ctx.settings.backlogLines * kBacklogShare * (urgent ? kUrgentFactor : 1.0) - channel.backlog();
    }
    [[nodiscard]] bool mayWrite(const std::set<ProxyId>& ids, double lines, bool urgent) const {
        return slotOpen && static_cast<double>(ids.size()) * (lines + ctx.settings.envelopeLines + 1) <=
                               remainingLines(urgent);
    }
    void wrote(ProxyId id, double lines) {
        anyOrder = true;
        channel.write(id, lines, ctx.settings.envelopeLines + 1);  // the message head and the mark
    }
    void close(std::uint64_t turn) {
        if (anyOrder) {
            ctx.actions.push_back(Mark{static_cast<std::uint16_t>(turn & 0xffffU), false});
            if (slotOpen) lastSlot = ctx.now;
        }
        channel.close(turn, ctx.now);
        anyOrder = false;
    }
};

/// Desired table content, and the port through which Distribution writes it.
struct Tables : Pacer {
    const Servers& servers;
    const Levels& levels;
    Distribution<Key, Entry, Scope, ProxyId, Tables> distribution{*this, kMarkTimeout, kMinCopyAge};
    std::map<Scope, Content> contents{};  // shared by copies; cleared every turn

    /// Adds all ready servers, healthy or not, so that no table is empty: warm servers, else cold ones.
    void addLastResort(Content& c, const ClassGroup& g, bool onlyWarm) const {
        for (const auto& [id, s] : ctx.fleet) {
            const bool usable = s.ready() && g.allowsZone(s.entry.zone) && (ctx.isWarm(s) || !onlyWarm);
            if (usable) c[id] = {static_cast<float>(s.weight()), 0};
        }
    }
    const Content& wanted(const Scope& scope) {
        const auto [at, fresh] = contents.try_emplace(scope);
        if (fresh) at->second = computeContent(scope);
        return at->second;
    }
    [[nodiscard]] Content computeContent(const Scope& scope) const {
        const auto& [zone, group, subset] = scope;
        Content c;
        const ClassGroup& g = ctx.groups[group];
        std::map<ZoneId, double> seen;  // ready servers of this subset
        for (const ServerId id : ctx.subsets.members[subset]) {
            const Server& s = ctx.fleet.at(id);
            const double position = s.ready() ? seen[s.entry.zone]++ : 0;
            if (s.baseFactor <= 0 || !g.allowsZone(s.entry.zone)) continue;
            const bool local = s.entry.zone == zone;
            if (!local && g.ownZoneOnly) continue;
            const double factor = s.baseFactor * servers.health.serverFactor(zone, id) *
                                  (local ? 1.0 : servers.weights.spilloverFactor(s, zone, position));
            if (factor > 0) c[id] = {static_cast<float>(s.weight() * quantized(factor)), 0};
        }
        if (c.empty()) addLastResort(c, g, true);
        if (c.empty()) addLastResort(c, g, false);
        for (std::size_t k = 0; k < levels.current.size(); ++k) {
            if (g.classes == 0 || ((g.classes >> k) & 1U) != 0)
                c[kLevelKey + k] = levels.capped(levels.current[k], zone, k);
        }
        return c;
    }
    [[nodiscard]] static Hash hash(const Entry& e) { return entryHash(e); }
    [[nodiscard]] static std::size_t slot(const Scope& scope) { return std::get<1>(scope); }
    /// Urgent are changes that the rules or failing servers demand, followed by levels, then weights by the
    /// size of their change. Lines of withdrawn servers carry no traffic and go last.
    [[nodiscard]] double priority(const Scope& scope, Key key, const Entry* wanted, Hash held) const {
        if (key >= kLevelKey) return kLevelPriority;
        const auto s = ctx.fleet.find(static_cast<ServerId>(key));
        const bool ready = s != ctx.fleet.end() && s->second.ready();  // else it is withdrawn
        if (ready && (servers.health.serverFactor(std::get<0>(scope), s->first) == 0 ||
                      ctx.age(s->second) < kRampStepTime || servers.ramp(s->second) == 0))
            return kUrgentPriority;
        if (wanted != nullptr) return std::abs(wanted->value - hashedValue(held));
        return ready ? hashedValue(held) : 0;
    }
    [[nodiscard]] double lineBudget(std::size_t proxies, bool urgent) const {
        if (!slotOpen) return 0;
        return remainingLines(urgent) / static_cast<double>(proxies) - ctx.settings.envelopeLines - 1;
    }
    [[nodiscard]] bool mayCopy(const std::set<ProxyId>& ids) const {
        return mayWrite(ids, ctx.tableLines(), false);
    }
    void line(TableId id, Key key, const Entry* e) { ctx.actions.push_back(actionFor(id, key, e)); }
    void drop(TableId id) { ctx.actions.push_back(DropLines{id}); }
    void bind(ProxyId id, TableId table) {
        ctx.proxies.at(id).bound = true;
        ctx.actions.push_back(Bind{id, table, ctx.groups[slot(distribution.tables.at(table).scope)].classes});
    }

    /// Withdraws or restores servers whose readiness changed, without waiting for acknowledgements.
    void withdraw(const std::set<ProxyId>& joined) {
        if (!slotOpen) return;
        for (auto& [id, s] : ctx.fleet) {
            if (s.ready() == !s.withdrawn) continue;
            s.withdrawn = !s.ready();
            ctx.actions.push_back(Withdraw{id, s.withdrawn});
            for (const ProxyId p : joined) distribution.write(p, 1);
            for (const ProxyId p : distribution.holders(id)) distribution.write(p, 1);
        }
    }
};

}  // namespace marldale::policy
