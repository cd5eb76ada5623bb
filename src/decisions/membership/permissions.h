// What an identity is permitted to report and to hold. An identity is a name from a client's certificate, and
// the settings define what each one may do. Without certificates everyone may do everything; this is allowed
// on loopback, or where the settings say so.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "policy/types.h"

namespace marldale::membership {

/// The permissions of one identity.
struct Permissions {
    bool everything = false;
    std::vector<std::string> zones;  // whose reports it may send and whose relays it may hold; `*`: all
    std::vector<std::string> boxes;  // whose own reports it may send; a trailing `*` matches any suffix
    std::vector<std::pair<ProxyId, ProxyId>> relays;  // ranges, both ends included, that it may hold
    bool peer = false;                                // it is another instance of the planner

    [[nodiscard]] bool mayBePeer() const { return everything || peer; }
    [[nodiscard]] bool mayReport(std::string_view zone) const;
    [[nodiscard]] bool mayReportAs(std::string_view box) const;
    [[nodiscard]] bool mayHold(ProxyId relay, std::string_view zone) const;
    bool operator==(const Permissions&) const = default;
};

/// Parses a relay number or a range of them, as in `7` or `0-49`; nothing if the text is neither.
[[nodiscard]] std::optional<std::pair<ProxyId, ProxyId>> parseRelayRange(std::string_view text);

/// Permissions by the names of identities.
class PermissionTable {
public:
    void add(const std::string& name, Permissions permissions) { byName_[name] = std::move(permissions); }
    /// The permissions of the first known name, for a certificate may carry several; null if none is known.
    [[nodiscard]] const Permissions* find(const std::vector<std::string>& names) const;
    [[nodiscard]] bool empty() const { return byName_.empty(); }
    [[nodiscard]] std::map<std::string, Permissions>& all() { return byName_; }
    bool operator==(const PermissionTable&) const = default;

private:
    std::map<std::string, Permissions> byName_;
};

}  // namespace marldale::membership
