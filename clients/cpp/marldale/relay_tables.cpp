#include "marldale/relay_tables.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cstring>

namespace marldale::client {
namespace {

constexpr std::uint32_t kAllTables = 65535;
constexpr std::uint32_t kRetryModeMost = 3;

void append(std::string& out, float value) {
    std::uint32_t bits = 0;
    std::memcpy(&bits, &value, sizeof bits);
    for (unsigned i = 0; i < sizeof bits; ++i) out.push_back(static_cast<char>(bits >> (8 * i) & 0xffU));
}

}  // namespace

void RelayTables::welcome(const v1::Welcome& welcome) {
    if (!welcome.kept()) {
        // Numbers are void. What a relay uses it goes on using until it is bound anew, under numbers of no
        // order.
        tables_.clear();
        lines_ = 0;
        lastTaken_ = 0;
        refused_ = false;
    }
    bound_.clear();
    joined_.clear();
    epoch_ = welcome.epoch();
    shut_ = {welcome.shut_out().begin(), welcome.shut_out().end()};
}

void RelayTables::join(std::uint32_t relay) {
    joined_.insert(relay);
    bound_.erase(relay);
}

void RelayTables::leave(std::uint32_t relay) {
    joined_.erase(relay);
    bound_.erase(relay);
}

RelayTables::Outcome RelayTables::apply(const v1::Batch& batch) {
    Outcome out;
    for (const v1::Order& order : batch.orders()) {
        out.refusedBecause = take(order, out);
        if (!out.refusedBecause.empty()) break;
        ++out.taken;
    }
    if (out.taken < static_cast<std::uint32_t>(batch.orders_size())) refused_ = true;
    lastTaken_ = refused_ ? 0 : batch.nonce();
    return out;
}

template <class Change>
void RelayTables::each(std::uint32_t table, const Change& change) {
    if (table != kAllTables) return change(table, tables_[table]);
    for (auto& [id, t] : tables_) change(id, t);
}

void RelayTables::concern(std::uint32_t table, Outcome& outcome) const {
    for (const auto& [relay, mine] : bound_) {
        const bool uses =
            std::any_of(mine.begin(), mine.end(), [&](const auto& b) { return b.second == table; });
        if (uses) outcome.concerned.insert(relay);
    }
}

std::uint64_t RelayTables::hashOf(std::uint32_t table) const {
    std::uint64_t sum = 0;
    const auto add = [&](const std::string& text) { sum += XXH64(text.data(), text.size(), 0); };
    const auto at = tables_.find(table);
    if (at == tables_.end()) return 0;
    for (const auto& [server, weight] : at->second.lines) {
        std::string text = "l" + server + '\0';
        append(text, weight);
        add(text);
    }
    for (const auto& [name, level] : at->second.levels) {
        std::string text = "a" + name + '\0';
        append(text, level.limit);
        text.push_back(static_cast<char>(level.retryMode));
        add(text);
    }
    return sum;
}

std::string RelayTables::take(const v1::Order& order, Outcome& outcome) {
    switch (order.order_case()) {
        case v1::Order::kLine:
            if (order.line().server().empty() || !(order.line().weight() >= 0) ||
                order.line().table() > kAllTables)
                return "a line that can't be";
            if (order.line().weight() > 0 &&
                lines_ + (order.line().table() == kAllTables ? tables_.size() : 1) > linesMost_)
                return "the tables have too many lines";
            each(order.line().table(), [&](std::uint32_t id, Table& t) {
                lines_ -= t.lines.size();
                if (order.line().weight() > 0) t.lines[order.line().server()] = order.line().weight();
                if (order.line().weight() <= 0) t.lines.erase(order.line().server());
                lines_ += t.lines.size();
                concern(id, outcome);
            });
            return {};
        case v1::Order::kClear:
            if (order.clear().table() == kAllTables) {
                for (const auto& [id, t] : tables_) concern(id, outcome);
                tables_.clear();
                lines_ = 0;
            } else {
                concern(order.clear().table(), outcome);
                const auto gone = tables_.find(order.clear().table());
                if (gone != tables_.end()) {
                    lines_ -= gone->second.lines.size();
                    tables_.erase(gone);
                }
            }
            return {};
        case v1::Order::kBind: {
            if (joined_.count(order.bind().relay()) == 0) return "this relay is not here";
            auto& mine = bound_[order.bind().relay()];
            for (const std::string& name : order.bind().classes()) mine[name] = order.bind().table();
            if (order.bind().classes().empty()) {
                for (const std::string& name : classes_) mine[name] = order.bind().table();
            }
            outcome.concerned.insert(order.bind().relay());
            return {};
        }
        case v1::Order::kShut:
            if (order.shut().server().empty()) return "no server is named";
            order.shut().out() ? (void)shut_.insert(order.shut().server())
                               : (void)shut_.erase(order.shut().server());
            for (const auto& [id, t] : tables_) {
                if (t.lines.count(order.shut().server()) != 0) concern(id, outcome);
            }
            for (const std::uint32_t relay : joined_) {  // on tables of its own, which may name it
                if (bound_.count(relay) == 0) outcome.concerned.insert(relay);
            }
            return {};
        case v1::Order::kLevel: {
            const v1::LevelOrder& level = order.level();
            if (!(level.limit() >= 0) || level.retry_mode() > kRetryModeMost || level.table() > kAllTables)
                return "a level that can't be";
            each(level.table(), [&](std::uint32_t id, Table& t) {
                const auto set = [&](const std::string& name) {
                    t.levels[name] = {level.limit(), level.retry_mode()};
                };
                std::for_each(level.classes().begin(), level.classes().end(), set);
                if (level.classes().empty()) std::for_each(classes_.begin(), classes_.end(), set);
                concern(id, outcome);
            });
            return {};
        }
        case v1::Order::kMark:
            outcome.mark = order.mark().number();
            if (order.mark().every_relay()) outcome.concerned.insert(joined_.begin(), joined_.end());
            return {};
        case v1::Order::kLay: {
            const auto like = tables_.find(order.lay().like());
            if (like == tables_.end()) return "there is no table " + std::to_string(order.lay().like());
            if (order.lay().table() >= kAllTables || lines_ + like->second.lines.size() > linesMost_)
                return "a table that can't be, or the tables have too many lines";
            const Table copy = like->second;
            Table& laid = tables_[order.lay().table()];
            lines_ += copy.lines.size();
            lines_ -= laid.lines.size();
            laid = copy;
            concern(order.lay().table(), outcome);
            return {};
        }
        case v1::Order::kCheck:
            return hashOf(order.check().table()) == order.check().hash() ? "" : "the table's content differs";
        case v1::Order::ORDER_NOT_SET: break;
    }
    return "an order of a later version";
}

bool RelayTables::isBound(std::uint32_t relay, const std::string& className) const {
    const auto mine = bound_.find(relay);
    return mine != bound_.end() && mine->second.count(className) != 0;
}

const RelayTables::Table* RelayTables::tableOf(std::uint32_t relay, const std::string& className) const {
    const auto mine = bound_.find(relay);
    if (mine == bound_.end()) return nullptr;
    const auto bound = mine->second.find(className);
    if (bound == mine->second.end()) return nullptr;
    const auto table = tables_.find(bound->second);
    return table == tables_.end() ? nullptr : &table->second;
}

std::map<std::string, float> RelayTables::linesOf(std::uint32_t relay, const std::string& className) const {
    const Table* table = tableOf(relay, className);
    if (table == nullptr) return {};
    std::map<std::string, float> out = table->lines;
    std::erase_if(out, [this](const auto& line) { return shut_.count(line.first) != 0; });
    return out;
}

}  // namespace marldale::client
