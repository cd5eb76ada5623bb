/// Distribution of tables to proxies, whatever the lines contain (docs/design.md, 1 to 6). Proxies share
/// tables. Only differences are sent, under a mark that every bound proxy acknowledges; later ones wait for
/// that or its timeout and merge, urgent ones do not wait. Proxies that join or stay silent get a marked
/// copy, folded back later. The Port supplies the desired content and carries out the orders:
//   const std::map<Key, Value>& wanted(const Scope&)       desired content; constant within a turn
//   Hash hash(const Value&)                                never 0
//   double priority(const Scope&, const Key&, const Value* now, Hash held)    highest first
//   std::size_t slot(const Scope&)                         which of a proxy's tables it is
//   double lineBudget(std::size_t proxies, bool urgent)    lines that may go to each of so many proxies
//   bool mayWrite(const std::set<Proxy>&, double lines, bool urgent), mayCopy(const std::set<Proxy>&)
//   line(TableId, const Key&, const Value* now), drop(TableId), bind(Proxy, TableId), wrote(Proxy, double)
/// The turn number is the mark of all that a turn wrote; the Port's owner sends it after the last order.
#pragma once

#include <algorithm>
#include <vector>

#include "policy/held_lines.h"

namespace marldale::policy {

constexpr double kUrgentPriority = 1e9;  // and above: the change does not wait for the mark

template <class Key, class Value, class Scope, class Proxy, class Port>
struct Distribution : TableStore<Key, Scope, Proxy> {
    using typename TableStore<Key, Scope, Proxy>::Table;
    using TableStore<Key, Scope, Proxy>::tables, TableStore<Key, Scope, Proxy>::mains;
    using TableStore<Key, Scope, Proxy>::proxyStates;
    struct Change {
        double priority = 0;  // highest first, if not all fits
        Key key{};
        const Value* now = nullptr;
    };
    Port& port;
    const Micros markTimeout;  // an unacknowledged mark holds later changes back this long
    const Micros minCopyAge;   // before a copy is folded back
    Distribution(Port& to, Micros timeout, Micros fold) : port(to), markTimeout(timeout), minCopyAge(fold) {}
    Micros now = 0;
    std::uint64_t turn = 0;

    /// Changes between what the table's proxies hold and its desired content, by priority.
    [[nodiscard]] std::vector<Change> differences(const Table& t) const {
        const std::map<Key, Value>& wanted = port.wanted(t.scope);
        std::vector<Change> diff;
        const auto add = [&](const Key& key, const Value* value, Hash held) {
            diff.push_back({port.priority(t.scope, key, value, held), key, value});
        };
        for (const auto& [key, value] : wanted) {
            if (const Hash held = t.held(key); held != port.hash(value)) add(key, &value, held);
        }
        for (const Key& key : t.unwanted(wanted)) add(key, nullptr, t.held(key));
        std::stable_sort(diff.begin(), diff.end(),
                         [](const Change& a, const Change& b) { return a.priority > b.priority; });
        return diff;
    }
    /// Sends the differences, unless a mark is open and none is urgent. What exceeds the budget is sent
    /// later.
    void push(TableId id, Table& t) {
        std::vector<Change> diff = differences(t);
        if (diff.empty()) return;
        const bool urgent = diff.front().priority >= kUrgentPriority;
        if (!t.unacknowledged.empty() && !urgent) return;
        if (!t.bound.empty()) {
            const double fits = port.lineBudget(t.bound.size(), urgent);
            if (fits < 1) return;
            if (fits < static_cast<double>(diff.size())) diff.resize(static_cast<std::size_t>(fits));
        }
        for (const Change& d : diff) {
            port.line(id, d.key, d.now);
            t.pending[d.key] = d.now == nullptr ? 0 : port.hash(*d.now);
        }
        t.mark(turn, now, t.bound);
        for (const Proxy& p : t.bound) write(p, static_cast<double>(diff.size()));
        if (t.bound.empty()) t.acknowledgePending();
    }
    void write(const Proxy& p, double lines) {
        auto& marks = proxyStates.at(p).marks;
        if (marks.empty() || marks.back() != turn) marks.push_back(turn);
        port.wrote(p, lines);
    }
    void bind(const Proxy& p, TableId table) {
        Table& t = tables.at(table);
        TableId& mine = proxyStates.at(p).tables[port.slot(t.scope)];
        this->release(p, mine);
        mine = table;
        t.bound.insert(p);
        port.bind(p, table);
        t.mark(turn, now, {p});
        write(p, 1 + t.lines());
    }
    /// Binds proxies to a new marked copy of a table, which becomes the main table if no proxy uses that one.
    /// With `share` they are bound to the main table instead, if it is in use.
    void bindFresh(const std::set<Proxy>& ids, const Scope& scope, bool share) {
        const auto at = mains.find(scope);
        const bool alone = at == mains.end() || tables.at(at->second).bound.empty();
        const TableId table = alone || !share ? this->add(scope, !alone, now) : at->second;
        if (alone || !share) push(table, tables.at(table));
        if (alone) {
            if (at != mains.end()) {
                port.drop(at->second);
                tables.erase(at->second);
            }
            mains[scope] = table;
        }
        for (const Proxy& p : ids) bind(p, table);
    }

    /// Ends waits that timed out, and moves silent proxies to a copy so that they do not delay the others.
    void releaseSilent() {
        for (const auto& [id, silent] : this->unacknowledged(now - markTimeout)) {
            Table& t = tables.at(id);
            t.acknowledgePending();
            if (t.copy || silent.size() == t.bound.size() || !port.mayCopy(silent)) continue;
            bindFresh(silent, Scope(t.scope), false);
        }
    }
    /// Folds copies that equal their main table back into it, so that tables stay few and shared.
    void foldCopies() {
        for (auto at = tables.begin(); at != tables.end();) {
            auto& [id, t] = *at;
            if (t.copy && t.bound.empty()) {
                port.drop(id);
                at = tables.erase(at);
                continue;
            }
            const TableId home = mains.at(t.scope);
            const Table& main = tables.at(home);
            if (t.copy && t.unacknowledged.empty() && main.unacknowledged.empty() &&
                now - t.madeAt >= minCopyAge && t.acked == main.acked &&
                port.mayWrite(t.bound, 1 + t.lines(), false)) {
                const std::set<Proxy> ids = t.bound;
                for (const Proxy& p : ids) bind(p, home);
                continue;
            }
            ++at;
        }
    }
    void run() {
        for (auto& [id, t] : tables) push(id, t);
        releaseSilent();
        foldCopies();
    }
};

}  // namespace marldale::policy
