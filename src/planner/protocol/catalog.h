// Discovery's list: whole, or the entries that have changed.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "policy/types.h"
#include "protocol/json.h"

namespace marldale::protocol {

struct CatalogEntry {
    std::string uid, endpoint, zone, kind;
    std::uint16_t cell = 0;
    ServerState state = ServerState::ready;
    double weight = 0;
    std::int64_t bootUs = 0;  // 0: long ago
};

struct CatalogNews {
    std::uint64_t rev = 0;
    bool whole = false;
    std::vector<CatalogEntry> entries;
    std::size_t unreadable = 0;  // entries left out
};

[[nodiscard]] std::optional<CatalogNews> readCatalog(const Json& object);
[[nodiscard]] std::optional<CatalogNews> parseCatalog(std::string_view text);

// The paths of the whole list, and of the watch that tells what changed after a version.
[[nodiscard]] std::string catalogPath();
[[nodiscard]] std::string catalogWatchPath(std::uint64_t from);

}  // namespace marldale::protocol
