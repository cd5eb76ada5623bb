// Distribution: which lines go to which proxies, and when (docs/design.md, 1 to 6), whatever a line says.
// Proxies share tables; each push carries a mark that every proxy bound answers; only differences go out;
// more of them wait until the mark is answered or has timed out, and merge. Urgent ones skip the wait.
// Proxies that join, or that stay silent, get a fresh marked copy, which is folded back later.
//
// The Port says what a table should say and carries the orders out:
//   const std::map<Key, Value>& wanted(const Scope&)   what the table should say now; steady within a turn
//   Hash hash(const Value&)                            never 0
//   double priority(const Scope&, const Key&, const Value* now, Hash held)   most first; kUrgentPriority: no
//   wait std::size_t slot(const Scope&)                     which of a proxy's tables it is double
//   lineBudget(std::size_t proxies, bool urgent)      so many lines may go to each of as many proxies bool
//   mayWrite(const std::set<Proxy>&, double lines, bool urgent), mayCopy(const std::set<Proxy>&)
//   line(TableId, const Key&, const Value* now), drop(TableId), bind(Proxy, TableId), wrote(Proxy, double)
// The turn's number is the mark of all that it wrote: whoever has the port sends it after the last order.
#pragma once

#include <algorithm>
#include <vector>

#include "policy/held_lines.h"

namespace marldale::policy {

constexpr double kUrgentPriority = 1e9;

template <class Key, class Value, class Scope, class Proxy, class Port>
struct Distribution : TableStore<Key, Scope, Proxy> {
    using typename TableStore<Key, Scope, Proxy>::Table;
    using TableStore<Key, Scope, Proxy>::tables, TableStore<Key, Scope, Proxy>::mains;
    using TableStore<Key, Scope, Proxy>::proxyStates;
    struct Change {
        double priority = 0;  // what goes first where not all fits
        Key key{};
        const Value* now = nullptr;
    };
    Port& port;
    const Micros markTimeout;  // an unanswered mark holds later changes this long
    const Micros foldAfter;    // a copy lives at least this long before it is folded back
    Distribution(Port& to, Micros timeout, Micros fold) : port(to), markTimeout(timeout), foldAfter(fold) {}
    Micros now = 0;
    std::uint64_t turn = 0;

    // What the table's proxies lack, most valuable first.
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
    // Sends what differs, or holds it until the open mark is answered or has run out. What does not fit the
    // channel waits and merges into the next difference.
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
    // A fresh marked copy of a place's table for these proxies; it is the main table where there is none.
    // Where copies are dear those that join may share the main one.
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

    // The timeout releases the wait; silent proxies go to a copy, so that the others are not held up.
    void releaseSilent() {
        for (const auto& [id, silent] : this->unacknowledged(now - markTimeout)) {
            Table& t = tables.at(id);
            t.acknowledgePending();
            if (t.copy || silent.size() == t.bound.size() || !port.mayCopy(silent)) continue;
            bindFresh(silent, Scope(t.scope), false);
        }
    }
    // Copies that say the same as their main table are folded back, so that tables stay few and shared.
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
                now - t.madeAt >= foldAfter && t.acked == main.acked &&
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
