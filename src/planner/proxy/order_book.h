// What one planner has ordered one proxy over the platform's protocol. A call is taken as a whole or up to
// its first order that can't be used; the proxy sees nothing in between. No I/O.
#pragma once

#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/order.h"
#include "proxy/steering.h"

namespace marldale::proxy {

struct BookLimits {
    std::size_t tables = 4096, lines = 200000, shut = 50000;  // of one planner
};

class OrderBook {
public:
    OrderBook(std::vector<std::string> classes, ProxyId self, BookLimits limits = {});

    // The proxy comes to this planner: what was bound before is void, tables keep their content.
    void join();
    void leave();
    [[nodiscard]] bool joined() const { return joined_; }

    struct Outcome {
        std::size_t taken = 0;              // orders, from the first
        std::string refused;                // why the next one was not
        bool changed = false;               // what the proxy uses may have
        std::optional<std::uint16_t> mark;  // that it owes an answer to: the last one of the call
    };
    [[nodiscard]] Outcome apply(const std::vector<std::string_view>& orders);
    // What is in force for the proxy: a class that is not bound is absent.
    [[nodiscard]] Orders orders() const;

    [[nodiscard]] std::size_t tables() const { return tables_.size(); }
    [[nodiscard]] std::size_t lines() const { return lines_; }

private:
    struct Level {
        float limit = 1e6F;
        unsigned retryMode = 1;
    };
    struct Table {
        std::map<std::string, float> lines;
        std::map<std::size_t, Level> levels;  // by class
    };
    struct Take;
    template <class Change>
    void each(TableId table, const Change& change);
    [[nodiscard]] bool uses(TableId table) const;

    const std::vector<std::string> classes_;
    const ProxyId self_;
    const BookLimits limits_;
    bool joined_ = false;
    std::map<TableId, Table> tables_;
    std::map<std::size_t, TableId> bound_;  // table by class
    std::set<std::string> shut_;
    std::size_t lines_ = 0;  // of all tables
};

}  // namespace marldale::proxy
