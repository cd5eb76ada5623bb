#include "dispatch/audience.h"

#include <algorithm>

namespace marldale::dispatch {
namespace {

// What orders touch: tables, single proxies, or everybody.
struct Touched {
    std::set<TableId> tables;
    std::set<ProxyId> proxies;
    bool everybody = false;

    void operator()(const protocol::LineOrder& o) { table(o.table); }
    void operator()(const protocol::ClearOrder& o) { table(o.table); }
    void operator()(const protocol::LevelOrder& o) { table(o.table); }
    void operator()(const protocol::BindOrder& o) { proxies.insert(o.proxy); }
    void operator()(const protocol::ShutOrder& /*o*/) { everybody = true; }
    void operator()(const protocol::MarkOrder& o) { everybody = everybody || o.everyProxy; }
    void table(TableId id) { id == kAllTables ? (void)(everybody = true) : (void)tables.insert(id); }
};

}  // namespace

std::vector<ProxyId> Audience::of(const std::vector<protocol::Order>& orders) {
    Touched touched;
    std::vector<ProxyId> out;
    const auto concerned = [&](ProxyId proxy, const auto& mine) {
        return touched.everybody || touched.proxies.count(proxy) != 0 ||
               std::any_of(mine.begin(), mine.end(),
                           [&](const auto& use) { return touched.tables.count(use.second) != 0; });
    };
    for (const protocol::Order& order : orders) std::visit(touched, order);
    for (const auto& [proxy, mine] : uses_) {
        if (concerned(proxy, mine)) out.push_back(proxy);
    }
    for (const protocol::Order& order : orders) {
        const auto* bind = std::get_if<protocol::BindOrder>(&order);
        if (bind == nullptr || uses_.count(bind->proxy) == 0) continue;
        auto& mine = uses_.at(bind->proxy);
        if (bind->classes == 0) mine.clear();
        mine[bind->classes] = bind->table;
    }
    return out;
}

}  // namespace marldale::dispatch
