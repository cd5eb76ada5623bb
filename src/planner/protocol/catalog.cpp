#include "protocol/catalog.h"

#include <limits>

namespace marldale::protocol {
namespace {

constexpr double kRevMost = 9007199254740992;  // 2^53: exact as a JSON number
constexpr double kUnixMsMost = 4e12;           // the year 2096
constexpr double kWeightMost = 1e6;
constexpr std::size_t kUidMost = 256;

// A uid stands in orders as it came, so none may hold what ends a field, an order or the line.
bool fitsOrders(const std::string& uid) {
    if (uid.empty() || uid.size() > kUidMost || uid == "*") return false;
    for (const char c : uid) {
        if (c <= ' ' || c == ',' || c == ';' || c == '+' || c == 0x7f) return false;
    }
    return true;
}

std::optional<ServerState> stateOf(std::string_view text) {
    if (text == "ready") return ServerState::ready;
    if (text == "draining") return ServerState::draining;
    if (text == "gone") return ServerState::gone;
    return std::nullopt;
}

std::optional<CatalogEntry> readEntry(const Json& object) {
    if (!object.is_object()) return std::nullopt;
    const auto uid = textIn(object, "uid");
    const auto state = stateOf(textIn(object, "state").value_or(""));
    if (!uid || !state || !fitsOrders(*uid)) return std::nullopt;
    CatalogEntry out;
    out.uid = *uid;
    out.state = *state;
    const auto endpoint = textIn(object, "endpoint");
    const auto zone = textIn(object, "az");
    const auto boot = millisIn(object, "boot_ms", kUnixMsMost);
    const auto weight = numberIn(object, "capacity_hint", kWeightMost);
    // A server that is gone needs no more than its name; any other must be known whole.
    if (out.state != ServerState::gone && (!endpoint || !zone || !boot || !weight)) return std::nullopt;
    out.endpoint = endpoint.value_or("");
    out.zone = zone.value_or("");
    out.kind = textIn(object, "model").value_or("");
    out.cell =
        wholeIn<std::uint16_t>(object, "pod_group", std::numeric_limits<std::uint16_t>::max()).value_or(0);
    out.weight = weight.value_or(0);
    out.bootUs = boot.value_or(0);
    return out;
}

}  // namespace

std::optional<CatalogNews> readCatalog(const Json& object) {
    if (!object.is_object()) return std::nullopt;
    const auto rev = numberIn(object, "rev", kRevMost);
    const auto whole = object.find("all");
    const auto targets = object.find("targets");
    if (!rev || whole == object.end() || !whole->is_boolean() || targets == object.end() ||
        !targets->is_array()) {
        return std::nullopt;
    }
    CatalogNews out{static_cast<std::uint64_t>(*rev), whole->get<bool>(), {}, 0};
    for (const Json& target : *targets) {
        if (auto entry = readEntry(target)) {
            out.entries.push_back(std::move(*entry));
        } else {
            ++out.unreadable;
        }
    }
    return out;
}

std::optional<CatalogNews> parseCatalog(std::string_view text) { return readCatalog(parseJson(text)); }

std::string catalogPath() { return "/catalog/members"; }

std::string catalogWatchPath(std::uint64_t from) {
    return catalogPath() + "?watch=1&from=" + std::to_string(from);
}

}  // namespace marldale::protocol
