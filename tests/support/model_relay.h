// A relay as the protocol describes it, in its plainest form: the tests' second opinion on what a stream
// brings.
#pragma once

#include <map>
#include <set>
#include <string>

#include "dispatch/content_hash.h"
#include "dispatch/dispatcher.h"

namespace marldale::tests {

struct ModelRelay {
    using Lines = std::map<std::string, float>;
    struct Table {
        Lines lines;
        std::map<ClassMask, std::pair<float, int>> levels;
        bool operator==(const Table&) const = default;
    };
    std::vector<std::string> classes;
    std::map<TableId, Table> tables;
    std::map<ProxyId, std::map<ClassMask, TableId>> binds;
    std::set<std::string> shut;
    std::uint64_t lastTaken = 0;  // 0: what it holds may not be what was ordered
    std::size_t refuseAt = SIZE_MAX;
    std::size_t linesGot = 0;
    bool boundToNothing = false;  // a bind came before any line of its table
    bool differed = false;        // a table that was to be like another one was not what it should be
    std::set<ProxyId> concerned;  // by the last batch

    void welcome(const dispatch::Welcome& w) {
        if (!w.kept) tables.clear();
        binds.clear();
        shut = {w.shut.begin(), w.shut.end()};
        lastTaken = w.kept ? lastTaken : 0;
    }
    // How many orders it has taken.
    std::size_t apply(const dispatch::Batch& batch) {
        concerned.clear();
        std::size_t taken = 0;
        for (const auto& order : batch.orders) {
            if (taken == refuseAt || !std::visit([this](const auto& o) { return take(o); }, order)) break;
            ++taken;
        }
        const bool whole = taken == batch.orders.size();
        if (!whole) spoilt_ = true;
        lastTaken = whole && !spoilt_ ? batch.nonce : 0;
        return taken;
    }
    [[nodiscard]] const Table& used(ProxyId proxy, ClassMask mask) const {
        return tables.at(binds.at(proxy).at(mask));
    }

private:
    bool take(const protocol::LineOrder& o) {
        ++linesGot;
        auto& lines = tables[o.table].lines;
        if (o.weight > 0) lines[o.server] = o.weight;
        if (o.weight <= 0) lines.erase(o.server);
        concern(o.table);
        return true;
    }
    bool take(const protocol::ClearOrder& o) {
        tables.erase(o.table);
        return true;
    }
    bool take(const protocol::BindOrder& o) {
        const auto at = tables.find(o.table);
        boundToNothing = boundToNothing || at == tables.end() || at->second.lines.empty();
        if (o.classes == 0) binds[o.proxy].clear();
        binds[o.proxy][o.classes] = o.table;
        concerned.insert(o.proxy);
        return true;
    }
    bool take(const protocol::ShutOrder& o) {
        o.out ? (void)shut.insert(o.server) : (void)shut.erase(o.server);
        for (const auto& [id, t] : tables) {
            if (t.lines.count(o.server)) concern(id);
        }
        return true;
    }
    bool take(const protocol::LevelOrder& o) {
        ++linesGot;
        tables[o.table].levels[o.classes] = {o.limit, o.retryMode};
        concern(o.table);
        return true;
    }
    bool take(const protocol::MarkOrder&) { return true; }
    bool take(const dispatch::LayOrder& o) {
        if (!tables.count(o.like)) return false;
        tables[o.table] = tables.at(o.like);
        return true;
    }
    bool take(const dispatch::CheckOrder& o) {
        std::uint64_t hash = 0;
        for (const auto& [server, weight] : tables[o.table].lines) hash += dispatch::lineHash(server, weight);
        for (const auto& [mask, level] : tables[o.table].levels) {
            for (std::size_t k = 0; k < classes.size(); ++k) {
                if ((mask >> k & 1U) != 0)
                    hash +=
                        dispatch::levelHash(classes[k], level.first, static_cast<std::uint8_t>(level.second));
            }
        }
        differed = differed || hash != o.hash;
        return hash == o.hash;
    }
    void concern(TableId table) {
        for (const auto& [proxy, mine] : binds) {
            for (const auto& [mask, id] : mine) {
                if (id == table) concerned.insert(proxy);
            }
        }
    }
    bool spoilt_ = false;
};

// What the book says of a table, in the relay's form.
inline ModelRelay::Table saidOf(const dispatch::Table& t) {
    ModelRelay::Table out;
    for (const auto& [server, line] : t.lines) {
        if (line.weight > 0) out.lines[server] = line.weight;
    }
    for (const auto& [k, level] : t.levels) {
        out.levels[static_cast<ClassMask>(1U << k)] = {level.limit, level.retryMode};
    }
    return out;
}

}  // namespace marldale::tests
