// What a sluice follows: the configuration, the servers, the tables that are in force. It obeys and judges nothing. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "marldale/gateway/inside.pb.h"
#include "policy/types.h"

namespace marldale::manifold {

namespace proto = gateway::proto;

class Tables {
public:
    // One batch, in force at once and as a whole. Says whether it was taken: never one of an older index than what is held.
    bool obey(const proto::Orders& orders, Micros now);

    [[nodiscard]] std::uint64_t index() const { return index_; }  // of the configuration; 0: none yet
    [[nodiscard]] bool holdsServers() const;
    // ... routes by host and longest prefix, services, limits, servers, weights, levels, budgets: to be designed with the
    // picker; see docs/notes/gateway.md.

private:
    std::uint64_t index_ = 0;
};

}  // namespace marldale::manifold
