#include "dispatch/table_book.h"

#include <algorithm>

#include "dispatch/content_hash.h"

namespace marldale::dispatch {

void TableBook::apply(const protocol::Order& order) {
    ++version_;
    std::visit([this](const auto& o) { set(o); }, order);
}

const Table* TableBook::find(TableId table) const {
    const auto at = tables_.find(table);
    return at == tables_.end() ? nullptr : &at->second;
}

const Table* TableBook::find(TableId table, Version born) const {
    if (const Table* t = find(table); t != nullptr && t->born == born) return t;
    const auto ghost = std::find_if(ghosts_.begin(), ghosts_.end(),
                                    [&](const auto& g) { return g.first == table && g.second.born == born; });
    return ghost == ghosts_.end() ? nullptr : &ghost->second;
}

const std::map<ClassMask, Bound>& TableBook::binds(ProxyId proxy) const {
    static const std::map<ClassMask, Bound> kNone;
    const auto at = binds_.find(proxy);
    return at == binds_.end() ? kNone : at->second;
}

template <class Change>
void TableBook::each(TableId table, const Change& change) {
    if (table != kAllTables) {
        Table& t = tables_[table];
        if (t.born == 0) t.born = version_;
        change(t);
        return;
    }
    for (auto& [id, t] : tables_) change(t);
}

void TableBook::set(const protocol::LineOrder& order) {
    each(order.table, [&](Table& t) {
        const float weight = order.weight > 0 ? order.weight : 0;
        const auto [at, fresh] = t.lines.try_emplace(order.server);
        Line& line = at->second;
        if (line.weight > 0) {
            t.hash -= lineHash(order.server, line.weight);
        } else if (!fresh) {
            --t.removed;
        }
        line = {weight, version_};
        weight > 0 ? t.hash += lineHash(order.server, weight) : ++t.removed;
        t.changed = version_;
        if (t.removed > kRemovedMost) prune(t);
    });
}

// The older half of what was removed is forgotten.
void TableBook::prune(Table& table) const {
    std::vector<Version> at;
    for (const auto& [server, line] : table.lines) {
        if (line.weight <= 0) at.push_back(line.at);
    }
    const auto middle = at.begin() + static_cast<std::ptrdiff_t>(at.size() / 2);
    std::nth_element(at.begin(), middle, at.end());
    table.pruned = *middle;
    table.removed -= std::erase_if(
        table.lines, [&](const auto& l) { return l.second.weight <= 0 && l.second.at <= table.pruned; });
}

void TableBook::set(const protocol::LevelOrder& order) {
    each(order.table, [&](Table& t) {
        for (std::size_t k = 0; k < classes_.size(); ++k) {
            if (order.classes != 0 && (order.classes >> k & 1U) == 0) continue;
            const auto [at, fresh] = t.levels.try_emplace(k);
            Level& level = at->second;
            if (!fresh) t.hash -= levelHash(classes_[k], level.limit, level.retryMode);
            level = {order.limit, order.retryMode, version_};
            t.hash += levelHash(classes_[k], level.limit, level.retryMode);
        }
        t.changed = version_;
    });
}

void TableBook::set(const protocol::ClearOrder& order) {
    for (auto at = tables_.begin(); at != tables_.end();) {
        if (order.table != kAllTables && at->first != order.table) {
            ++at;
            continue;
        }
        ghosts_.emplace_back(at->first, std::move(at->second));
        at = tables_.erase(at);
    }
    while (ghosts_.size() > kGhosts) ghosts_.pop_front();
}

void TableBook::set(const protocol::BindOrder& order) {
    auto& mine = binds_[order.proxy];
    // A later bind takes its classes from earlier ones.
    std::erase_if(mine, [&](const auto& b) {
        return order.classes == 0 || (b.first != 0 && (b.first & ~order.classes) == 0);
    });
    mine[order.classes] = {order.table, version_};
}

void TableBook::set(const protocol::ShutOrder& order) {
    shuts_[order.server] = {order.out, version_};
    if (shuts_.size() <= kShutsMost) return;
    // Who was let back the longest ago is as good as never shut: every lane was told since.
    auto oldest = shuts_.end();
    for (auto at = shuts_.begin(); at != shuts_.end(); ++at) {
        if (oldest == shuts_.end() ||
            std::pair(at->second.out, at->second.at) < std::pair(oldest->second.out, oldest->second.at)) {
            oldest = at;
        }
    }
    shuts_.erase(oldest);
}

void TableBook::set(const protocol::MarkOrder& /*order*/) const {}

}  // namespace marldale::dispatch
