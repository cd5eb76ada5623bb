// Orders by name: what the module has ordered, with servers called as discovery calls them. Every front
// writes these in its own form; the platform's is text.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "policy/types.h"

namespace marldale::protocol {

struct LineOrder {  // `share`: a server's line in a table; weight 0 removes it
    TableId table = 0;
    std::string server;
    float weight = 0;
    bool operator==(const LineOrder&) const = default;
};
struct ClearOrder {  // `clear`: the table has no lines any more
    TableId table = 0;
    bool operator==(const ClearOrder&) const = default;
};
struct BindOrder {  // `bind`: the proxy uses this table for these classes (0: all)
    ProxyId proxy = 0;
    TableId table = 0;
    ClassMask classes = 0;
    bool operator==(const BindOrder&) const = default;
};
struct ShutOrder {  // `withdraw` and `restore`: out of all tables that joined proxies hold, or back
    std::string server;
    bool out = false;
    bool operator==(const ShutOrder&) const = default;
};
struct LevelOrder {  // `admit`: how much of these classes (0: all) is let in, and when proxies try again
    TableId table = 0;
    ClassMask classes = 0;
    float limit = 0;
    std::uint8_t retryMode = 0;
    bool operator==(const LevelOrder&) const = default;
};
struct MarkOrder {  // `mark`: whoever is concerned answers once it has applied what stands before
    std::uint16_t mark = 0;
    bool everyProxy = false;
    bool operator==(const MarkOrder&) const = default;
};
using Order = std::variant<LineOrder, ClearOrder, BindOrder, ShutOrder, LevelOrder, MarkOrder>;

// The platform's text of an order; `classes` by index.
[[nodiscard]] std::string orderText(const Order& order, const std::vector<std::string>& classes);

}  // namespace marldale::protocol
