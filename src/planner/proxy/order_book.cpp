#include "proxy/order_book.h"

#include <algorithm>
#include <utility>

#include "proxy/order_text.h"

namespace marldale::proxy {

OrderBook::OrderBook(std::vector<std::string> classes, ProxyId self, BookLimits limits)
    : classes_(std::move(classes)), self_(self), limits_(limits) {}

void OrderBook::join() {
    joined_ = true;
    bound_.clear();
}

void OrderBook::leave() {
    joined_ = false;
    bound_.clear();
}

template <class Change>
void OrderBook::each(TableId table, const Change& change) {
    if (table != kAllTables) return change(table, tables_[table]);
    for (auto& [id, t] : tables_) change(id, t);
}

bool OrderBook::uses(TableId table) const {
    return std::any_of(bound_.begin(), bound_.end(), [&](const auto& b) { return b.second == table; });
}

// One order. Returns why it can't be used; empty: it is in the book.
struct OrderBook::Take {
    OrderBook& book;
    Outcome& out;

    std::string operator()(const protocol::LineOrder& o) const {
        const bool isNew = o.table != kAllTables && book.tables_.count(o.table) == 0;
        if (isNew && book.tables_.size() >= book.limits_.tables) return "there are too many tables";
        const std::size_t more = o.weight <= 0 ? 0 : o.table == kAllTables ? book.tables_.size() : 1;
        if (book.lines_ + more > book.limits_.lines) return "the tables have too many lines";
        book.each(o.table, [&](TableId id, Table& t) {
            book.lines_ -= t.lines.size();
            if (o.weight > 0) t.lines[o.server] = o.weight;
            if (o.weight <= 0) t.lines.erase(o.server);
            book.lines_ += t.lines.size();
            touched(id);
        });
        return {};
    }
    std::string operator()(const protocol::ClearOrder& o) const {
        if (o.table != kAllTables) return clear(o.table), std::string();
        std::vector<TableId> all;
        for (const auto& [id, t] : book.tables_) all.push_back(id);
        for (const TableId id : all) clear(id);
        return {};
    }
    std::string operator()(const protocol::BindOrder& o) const {
        if (o.proxy != book.self_ || !book.joined_) return "the proxy has not joined here";
        for (std::size_t k = 0; k < book.classes_.size(); ++k) {
            if (o.classes == 0 || (o.classes >> k & 1U) != 0) book.bound_[k] = o.table;
        }
        concerned = out.changed = true;
        return {};
    }
    std::string operator()(const protocol::ShutOrder& o) const {
        if (o.out && book.shut_.size() >= book.limits_.shut && book.shut_.count(o.server) == 0)
            return "too many servers are shut out";
        o.out ? (void)book.shut_.insert(o.server) : (void)book.shut_.erase(o.server);
        concerned = out.changed = true;
        return {};
    }
    std::string operator()(const protocol::LevelOrder& o) const {
        if (o.table != kAllTables && book.tables_.count(o.table) == 0 &&
            book.tables_.size() >= book.limits_.tables)
            return "there are too many tables";
        book.each(o.table, [&](TableId id, Table& t) {
            for (std::size_t k = 0; k < book.classes_.size(); ++k) {
                if (o.classes == 0 || (o.classes >> k & 1U) != 0) t.levels[k] = {o.limit, o.retryMode};
            }
            touched(id);
        });
        return {};
    }
    // Whoever is concerned by what stands before it answers; everyProxy: whether it is or not.
    std::string operator()(const protocol::MarkOrder& o) const {
        if (book.joined_ && (o.everyProxy || concerned)) out.mark = o.mark;
        return {};
    }

    mutable bool concerned = false;

private:
    void clear(TableId id) const {
        const auto at = book.tables_.find(id);
        if (at == book.tables_.end()) return;
        book.lines_ -= at->second.lines.size();
        book.tables_.erase(at);  // its levels too: it is as one that was never written
        touched(id);
    }
    void touched(TableId id) const {
        if (!book.uses(id)) return;
        concerned = out.changed = true;
    }

public:
    Take(OrderBook& of, Outcome& into) : book(of), out(into) {}
};

OrderBook::Outcome OrderBook::apply(const std::vector<std::string_view>& orders) {
    Outcome out;
    const Take take(*this, out);
    for (const std::string_view text : orders) {
        const auto order = readOrder(text, classes_, out.refused);
        if (order) out.refused = std::visit(take, *order);
        if (!out.refused.empty()) break;
        ++out.taken;
    }
    return out;
}

Orders OrderBook::orders() const {
    Orders out;
    out.shut = shut_;
    for (const auto& [klass, id] : bound_) {
        ClassOrder& order = out.byClass[classes_[klass]];
        const auto table = tables_.find(id);
        if (table == tables_.end()) continue;
        order.lines = table->second.lines;
        const auto level = table->second.levels.find(klass);
        if (level == table->second.levels.end()) continue;
        order.limit = level->second.limit;
        order.retryMode = level->second.retryMode;
    }
    return out;
}

}  // namespace marldale::proxy
