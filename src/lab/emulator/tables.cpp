#include "emulator/tables.h"

#include <cmath>

namespace marldale::emulator {

void Book::joined(std::uint32_t relay) { uses_[relay].assign(classes_, 0); }

std::shared_ptr<const Content> Book::content(TableId table) const {
    const auto at = tables_.find(table);
    return at == tables_.end() ? nullptr : at->second;
}

Book::Draft& Book::draft(TableId table) {
    const auto [at, fresh] = drafts_.try_emplace(table);
    Draft& out = at->second;
    if (!fresh) return out;
    out.levels.resize(classes_);
    if (const auto before = content(table)) {
        for (std::size_t i = 0; i < before->boxes.size(); ++i)
            out.lines[before->boxes[i]] = before->weights[i];
        out.levels = before->levels;
    }
    return out;
}

void Book::settle() {
    for (const auto& [table, d] : drafts_) {
        auto made = std::make_shared<Content>();
        double sum = 0;
        for (const auto& [box, weight] : d.lines) {
            made->boxes.push_back(box);
            made->weights.push_back(weight);
            made->sums.push_back(sum += static_cast<double>(weight));
        }
        made->levels = d.levels;
        tables_[table] = std::move(made);
    }
}

std::vector<Message> Book::apply(const std::vector<protocol::Order>& orders,
                                 const std::vector<ProxyId>& audience) {
    drafts_.clear();
    std::map<std::uint32_t, std::vector<std::pair<std::size_t, TableId>>> binds;
    std::optional<std::uint16_t> mark;
    std::uint32_t shuts = 0;
    auto shut = *shut_;
    for (const protocol::Order& order : orders) {
        if (const auto* line = std::get_if<protocol::LineOrder>(&order)) {
            const auto box = numbers_.find(line->server);
            if (box == numbers_.end()) continue;
            Draft& d = draft(line->table);
            ++d.changes;
            if (line->weight > 0) d.lines[box->second] = line->weight;
            if (line->weight <= 0) d.lines.erase(box->second);
        } else if (const auto* clear = std::get_if<protocol::ClearOrder>(&order)) {
            Draft& d = draft(clear->table);
            ++d.changes;
            d.lines.clear();
        } else if (const auto* level = std::get_if<protocol::LevelOrder>(&order)) {
            Draft& d = draft(level->table);
            ++d.changes;
            for (std::size_t k = 0; k < classes_; ++k) {
                if (level->classes == 0 || ((level->classes >> k) & 1U) != 0) {
                    d.levels[k] = {level->limit, level->retryMode};
                }
            }
        } else if (const auto* bind = std::get_if<protocol::BindOrder>(&order)) {
            for (std::size_t k = 0; k < classes_; ++k) {
                if (bind->classes == 0 || ((bind->classes >> k) & 1U) != 0) {
                    binds[bind->proxy].emplace_back(k, bind->table);
                }
            }
        } else if (const auto* out = std::get_if<protocol::ShutOrder>(&order)) {
            const auto box = numbers_.find(out->server);
            if (box == numbers_.end()) continue;
            ++shuts;
            out->out ? (void)shut.insert(box->second) : (void)shut.erase(box->second);
        } else if (const auto* m = std::get_if<protocol::MarkOrder>(&order)) {
            mark = m->mark;
        }
    }
    settle();
    if (shuts > 0) shut_ = std::make_shared<const Shut>(std::move(shut));
    std::vector<Message> out;
    for (const ProxyId relay : audience) {
        const auto uses = uses_.find(relay);
        if (uses == uses_.end()) continue;
        Message message;
        message.relay = relay;
        double lines = envelope_ + 1 + shuts;
        std::set<TableId> bound;
        if (const auto mine = binds.find(relay); mine != binds.end()) {
            for (const auto& [k, table] : mine->second) {
                uses->second[k] = table;
                bound.insert(table);
            }
        }
        for (const TableId table : std::set<TableId>(uses->second.begin(), uses->second.end())) {
            const auto changed = drafts_.find(table);
            const auto whole = content(table);
            // A table that is bound goes as a whole; of others what has changed.
            if (bound.count(table) != 0) {
                lines += 1 + (whole ? static_cast<double>(whole->boxes.size()) : 0);
            } else if (changed != drafts_.end()) {
                lines += changed->second.changes;
            }
        }
        for (const TableId table : uses->second) message.view.byClass.push_back(content(table));
        message.view.shut = shut_;
        message.lines = static_cast<std::uint32_t>(std::llround(lines));
        message.mark = mark;
        out.push_back(std::move(message));
    }
    return out;
}

}  // namespace marldale::emulator
