// Which proxies a call concerns, told from the orders alone: those that it binds, those that use a table
// which it changes, and all of them where it shuts a server out. No I/O.
#pragma once

#include <map>
#include <set>
#include <vector>

#include "protocol/order.h"

namespace marldale::dispatch {

class Audience {
public:
    // A proxy has joined and uses none of our tables, or it has left.
    void joined(ProxyId proxy) { uses_[proxy].clear(); }
    void left(ProxyId proxy) { uses_.erase(proxy); }

    // The proxies that these orders concern, in order of their numbers; binds among them hold from here on.
    [[nodiscard]] std::vector<ProxyId> of(const std::vector<protocol::Order>& orders);

private:
    std::map<ProxyId, std::map<ClassMask, TableId>> uses_;
};

}  // namespace marldale::dispatch
