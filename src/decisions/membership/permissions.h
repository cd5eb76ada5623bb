// What an identity may speak for. The identity is a name out of a client's certificate; the settings say what
// each name may do. Without certificates everybody may speak for everything: that is allowed on loopback, or
// when said so.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "policy/types.h"

namespace marldale::membership {

struct Permissions {
    bool everything = false;
    std::vector<std::string> zones;                   // it may report for, and hold relays of; `*`: all
    std::vector<std::string> boxes;                   // it may report as; a trailing `*` stands for any end
    std::vector<std::pair<ProxyId, ProxyId>> relays;  // it may hold, from and to
    bool peer = false;                                // it is an instance of the planner

    [[nodiscard]] bool mayBePeer() const { return everything || peer; }
    [[nodiscard]] bool mayReport(std::string_view zone) const;
    [[nodiscard]] bool mayReportAs(std::string_view box) const;
    [[nodiscard]] bool mayHold(ProxyId relay, std::string_view zone) const;
    bool operator==(const Permissions&) const = default;
};

// `7`, `0-49`; nothing if it is no such range.
[[nodiscard]] std::optional<std::pair<ProxyId, ProxyId>> parseRelayRange(std::string_view text);

// By the names of identities. A certificate may carry several names: the first that is known counts.
class PermissionTable {
public:
    void add(const std::string& name, Permissions passport) { known_[name] = std::move(passport); }
    [[nodiscard]] const Permissions* find(const std::vector<std::string>& names) const;
    [[nodiscard]] bool empty() const { return known_.empty(); }
    [[nodiscard]] std::map<std::string, Permissions>& all() { return known_; }
    bool operator==(const PermissionTable&) const = default;

private:
    std::map<std::string, Permissions> known_;
};

}  // namespace marldale::membership
