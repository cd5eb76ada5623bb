/// What the proxies bound to each table hold of it, as hashes: the lines that they have acknowledged, and
/// those sent under a mark that some have not acknowledged yet. Bookkeeping only, without decisions.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "policy/types.h"

namespace marldale {

using Hash = std::uint64_t;  // of a line's content; 0 means "no such line"

/// One table and the proxies bound to it.
template <class Key, class Scope, class Proxy>
struct HeldLines {
    Scope scope{};                           // which table this is, to those who know what it should say
    bool copy = false;                       // beside the main table of its scope
    std::map<Key, Hash> acked{}, pending{};  // acknowledged; sent under the open mark
    std::uint64_t markTurn = 0;              // the latest turn that wrote to it
    Micros markedAt = 0, madeAt = 0;
    std::set<Proxy> bound{}, unacknowledged{};  // the latter: proxies that owe an acknowledgement

    [[nodiscard]] double lines() const { return static_cast<double>(acked.size() + pending.size()); }
    /// Hash of a line as last sent.
    [[nodiscard]] Hash held(const Key& key) const {
        if (const auto p = pending.find(key); p != pending.end()) return p->second;
        const auto a = acked.find(key);
        return a == acked.end() ? 0 : a->second;
    }
    /// Keys of held lines that `wanted` does not contain.
    template <class Content>
    [[nodiscard]] std::set<Key> unwanted(const Content& wanted) const {
        std::set<Key> keys;
        for (const auto* lines : {&acked, &pending}) {
            for (const auto& [key, hash] : *lines) {
                if (!wanted.count(key) && held(key) != 0) keys.insert(key);
            }
        }
        return keys;
    }
    /// Records that these proxies have to acknowledge a turn.
    void mark(std::uint64_t turn, Micros now, const std::set<Proxy>& by) {
        markTurn = turn;
        markedAt = now;
        unacknowledged.insert(by.begin(), by.end());
    }
    void acknowledge(const Proxy& proxy) {
        unacknowledged.erase(proxy);
        if (unacknowledged.empty()) acknowledgePending();
    }
    /// Counts the pending lines as acknowledged by all.
    void acknowledgePending() {
        for (const auto& [key, hash] : pending) {
            acked[key] = hash;
            if (hash == 0) acked.erase(key);
        }
        pending.clear();
        unacknowledged.clear();
    }
};

/// All tables, which of them are main tables, and each proxy's tables and open marks.
template <class Key, class Scope, class Proxy>
struct TableStore {
    using Table = HeldLines<Key, Scope, Proxy>;
    struct ProxyState {
        std::map<std::size_t, TableId> tables{};  // by slot
        std::deque<std::uint64_t> marks{};        // turns that it was sent and has not acknowledged
    };
    std::map<TableId, Table> tables{};
    std::map<Scope, TableId> mains{};
    std::map<Proxy, ProxyState> proxyStates{};
    TableId last = 0;  // the last id given out

    /// Adds an empty table under an unused id.
    TableId add(const Scope& scope, bool copy, Micros now) {
        do {
            last = static_cast<TableId>(last % (kAllTables - 1) + 1);
        } while (tables.count(last));
        Table& t = tables[last];
        t.scope = scope;
        t.copy = copy;
        t.madeAt = now;
        return last;
    }
    /// Whether any table holds the line.
    [[nodiscard]] bool anyHolds(const Key& key) const {
        return std::any_of(tables.begin(), tables.end(),
                           [&](const auto& t) { return t.second.held(key) != 0; });
    }
    /// Unbinds a proxy from a table and stops waiting for it.
    void release(const Proxy& p, TableId table) {
        const auto at = tables.find(table);
        if (at == tables.end()) return;
        at->second.bound.erase(p);
        at->second.acknowledge(p);
    }
    /// The proxies bound to tables that hold the line, table by table.
    [[nodiscard]] std::vector<Proxy> holders(const Key& key) const {
        std::vector<Proxy> out;
        for (const auto& [id, t] : tables) {
            if (t.held(key) != 0) out.insert(out.end(), t.bound.begin(), t.bound.end());
        }
        return out;
    }
    /// Tables whose mark, set at `since` or before, is still open, with the proxies that owe an
    /// acknowledgement.
    [[nodiscard]] std::vector<std::pair<TableId, std::set<Proxy>>> unacknowledged(Micros since) const {
        std::vector<std::pair<TableId, std::set<Proxy>>> out;
        for (const auto& [id, t] : tables) {
            if (!t.unacknowledged.empty() && t.markedAt <= since) out.emplace_back(id, t.unacknowledged);
        }
        return out;
    }
    /// Removes a proxy.
    void leave(const Proxy& p) {
        for (const auto& [slot, table] : proxyStates[p].tables) release(p, table);
        proxyStates.erase(p);
    }
    struct Acknowledgement {
        std::optional<std::uint64_t> turn{};  // the turn that is acknowledged, if it was open
        bool over = false;                    // a table no longer waits
    };
    /// Records an acknowledgement, which covers all earlier marks too. `bits` are those that the wire
    /// carries.
    Acknowledgement acknowledge(const Proxy& p, std::uint64_t mark, std::uint64_t bits = ~std::uint64_t{0}) {
        const auto at = proxyStates.find(p);
        if (at == proxyStates.end()) return {};
        auto& marks = at->second.marks;
        const auto hit =
            std::find_if(marks.begin(), marks.end(), [&](std::uint64_t t) { return (t & bits) == mark; });
        if (hit == marks.end()) return {};
        Acknowledgement out{*hit, false};
        marks.erase(marks.begin(), hit + 1);
        for (const auto& [slot, id] : at->second.tables) {
            const auto t = tables.find(id);
            if (t == tables.end() || *out.turn < t->second.markTurn) continue;
            t->second.acknowledge(p);
            out.over = out.over || t->second.unacknowledged.empty();
        }
        return out;
    }
};

}  // namespace marldale
