// The planner's tables: what each should say, what of it goes first, and how it is written as orders.
#pragma once

#include <algorithm>
#include <cmath>

#include "policy/distribution.h"
#include "policy/levels.h"
#include "policy/servers.h"

namespace marldale::policy {

constexpr Micros kMarkTimeout = 3 * kSecond;  // an unanswered mark holds later changes this long
constexpr Micros kFoldAfter = 2 * kSecond;    // a copy lives at least this long before it is folded back
constexpr double kBacklogShare = 0.5;         // of the allowed backlog we fill this much
constexpr double kSlowChannel = 8;            // the channel may run this many times slower than told
constexpr double kUrgentCap = 1.6;            // what the rules demand may fill this much more
constexpr Micros kSlotLeast = 200 * kMs;      // least time between two rounds of messages
constexpr double kLevelWorth = 1e6;

// All orders pass through the pacer, so that what waits in the channel stays under its cap.
struct Pacer {
    View& in;
    Channel channel{};
    bool ordered = false;
    // Messages leave in slots, so far apart that a proxy's limit holds whatever happens in between: all that
    // falls due meanwhile goes out as one message. Only a proxy's first bind does not wait for a slot.
    // (Incident i648ecb: withdrawals that came on top of a full window broke the limit.)
    Micros lastSlot = 0;
    bool slotOpen = true;
    void open() {
        channel.drain(in.now, in.set.pushRate / kSlowChannel);
        const Micros apart =
            in.set.messagesMost > 1 ? in.set.messagesOver / (in.set.messagesMost - 1) + 1 : 0;
        slotOpen = in.now - lastSlot >= std::max(apart, kSlotLeast);
    }
    [[nodiscard]] double room(bool urgent) const {
        return in.set.backlogLines * kBacklogShare * (urgent ? kUrgentCap : 1.0) - channel.waiting();
    }
    [[nodiscard]] bool mayWrite(const std::set<ProxyId>& ids, double lines, bool urgent) const {
        return slotOpen &&
               static_cast<double>(ids.size()) * (lines + in.set.envelopeLines + 1) <= room(urgent);
    }
    void wrote(ProxyId id, double lines) {
        ordered = true;
        channel.write(id, lines, in.set.envelopeLines + 1);  // the head, and the mark's own line
    }
    void close(std::uint64_t turn) {
        if (ordered) {
            in.out.push_back(Mark{static_cast<std::uint16_t>(turn & 0xffffU), false});
            if (slotOpen) lastSlot = in.now;
        }
        channel.close(turn, in.now);
        ordered = false;
    }
};

struct Tables : Pacer {
    const Servers& servers;
    const Levels& levels;
    Distribution<Key, Entry, Scope, ProxyId, Tables> lines{*this, kMarkTimeout, kFoldAfter};
    std::map<Scope, Content> contents{};  // copies want what their main table wants: worked out once a turn

    // No table is left without a line while anything is ready, healthy or not: warm servers, else cold ones.
    void lastResort(Content& c, const Group& g, bool onlyWarm) const {
        for (const auto& [id, s] : in.fleet) {
            const bool fits = s.ready() && g.opens(s.entry.zone) && (in.warm(s) || !onlyWarm);
            if (fits) c[id] = {static_cast<float>(s.weight()), 0};
        }
    }
    const Content& wanted(const Scope& scope) {
        const auto [at, fresh] = contents.try_emplace(scope);
        if (fresh) at->second = contentNow(scope);
        return at->second;
    }
    [[nodiscard]] Content contentNow(const Scope& scope) const {
        const auto& [zone, group, column] = scope;
        Content c;
        const Group& g = in.groups[group];
        std::map<ZoneId, double> met;  // among its zone's servers of this column
        for (const ServerId id : in.columns.members[column]) {
            const Server& s = in.fleet.at(id);
            const double before = s.ready() ? met[s.entry.zone]++ : 0;
            if (s.base <= 0 || !g.opens(s.entry.zone)) continue;
            const bool local = s.entry.zone == zone;
            if (!local && g.ownZoneOnly) continue;
            const double factor = s.base * servers.health.of(zone, id) *
                                  (local ? 1.0 : servers.weights.spillTo(s, zone, before));
            if (factor > 0) c[id] = {static_cast<float>(s.weight() * stepped(factor)), 0};
        }
        if (c.empty()) lastResort(c, g, true);
        if (c.empty()) lastResort(c, g, false);
        for (std::size_t k = 0; k < levels.now.size(); ++k) {
            if (g.classes == 0 || ((g.classes >> k) & 1U) != 0)
                c[kLevelKey + k] = levels.under(levels.now[k], zone, k);
        }
        return c;
    }
    [[nodiscard]] static Hash hash(const Entry& e) { return hashOf(e); }
    [[nodiscard]] static std::size_t slot(const Scope& scope) { return std::get<1>(scope); }
    // First cuts that the rules or failing servers ask for, then levels, weights by how much they shift.
    // Lines of withdrawn servers carry nothing and go last.
    [[nodiscard]] double priority(const Scope& scope, Key key, const Entry* want, Hash held) const {
        if (key >= kLevelKey) return kLevelWorth;
        const auto s = in.fleet.find(static_cast<ServerId>(key));
        const bool ready = s != in.fleet.end() && s->second.ready();  // else withdrawn already
        if (ready && (servers.health.of(std::get<0>(scope), s->first) == 0 || in.age(s->second) < kRampStep ||
                      servers.ramp(s->second) == 0))
            return kUrgentPriority;
        if (want != nullptr) return std::abs(want->value - valueOf(held));
        return ready ? valueOf(held) : 0;
    }
    [[nodiscard]] double lineBudget(std::size_t proxies, bool urgent) const {
        if (!slotOpen) return 0;
        return room(urgent) / static_cast<double>(proxies) - in.set.envelopeLines - 1;
    }
    [[nodiscard]] bool mayCopy(const std::set<ProxyId>& ids) const {
        return mayWrite(ids, in.tableLines(), false);
    }
    void line(TableId id, Key key, const Entry* e) { in.out.push_back(orderOf(id, key, e)); }
    void drop(TableId id) { in.out.push_back(DropLines{id}); }
    void bind(ProxyId id, TableId table) {
        in.proxies.at(id).bound = true;
        in.out.push_back(Bind{id, table, in.groups[slot(lines.tables.at(table).scope)].classes});
    }

    // Step 7: withdrawals skip the wait.
    void withdraw(const std::set<ProxyId>& joined) {
        if (!slotOpen) return;
        for (auto& [id, s] : in.fleet) {
            if (s.ready() == !s.withdrawn) continue;
            s.withdrawn = !s.ready();
            in.out.push_back(Withdraw{id, s.withdrawn});
            for (const ProxyId p : joined) lines.write(p, 1);
            for (const ProxyId p : lines.holders(id)) lines.write(p, 1);
        }
    }
};

}  // namespace marldale::policy
