#include "membership/permissions.h"

#include <algorithm>
#include <charconv>

namespace marldale::membership {
namespace {

// A pattern is the whole text, or a prefix of it followed by `*`.
bool matches(std::string_view pattern, std::string_view text) {
    if (!pattern.ends_with('*')) return pattern == text;
    return text.starts_with(pattern.substr(0, pattern.size() - 1));
}

bool anyMatches(const std::vector<std::string>& patterns, std::string_view text) {
    return std::any_of(patterns.begin(), patterns.end(),
                       [&](const std::string& p) { return matches(p, text); });
}

std::optional<ProxyId> parseNumber(std::string_view text) {
    ProxyId out = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out);
    if (error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
    return out;
}

}  // namespace

bool Permissions::mayReport(std::string_view zone) const { return everything || anyMatches(zones, zone); }

bool Permissions::mayReportAs(std::string_view box) const { return everything || anyMatches(boxes, box); }

bool Permissions::mayHold(ProxyId relay, std::string_view zone) const {
    if (everything) return true;
    return anyMatches(zones, zone) && std::any_of(relays.begin(), relays.end(), [&](const auto& range) {
               return relay >= range.first && relay <= range.second;
           });
}

std::optional<std::pair<ProxyId, ProxyId>> parseRelayRange(std::string_view text) {
    const auto dash = text.find('-');
    const auto from = parseNumber(text.substr(0, dash));
    const auto to = dash == std::string_view::npos ? from : parseNumber(text.substr(dash + 1));
    if (!from || !to || *from > *to) return std::nullopt;
    return std::pair(*from, *to);
}

const Permissions* PermissionTable::find(const std::vector<std::string>& names) const {
    for (const std::string& name : names) {
        if (const auto at = byName_.find(name); at != byName_.end()) return &at->second;
    }
    return nullptr;
}

}  // namespace marldale::membership
