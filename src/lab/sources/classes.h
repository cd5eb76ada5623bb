// Which class an entry is of, by rules in INI; the first that fits.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "attempts/chains.h"
#include "settings/schema.h"
#include "sources/record.h"

namespace marldale::sources {

// `*` stands for any characters, `?` for one.
[[nodiscard]] bool fits(std::string_view pattern, std::string_view text);

struct ClassRule {
    std::string name;
    std::vector<std::string> methods, hosts, paths;            // empty: any
    std::vector<std::pair<int, int>> statuses;                 // from, to
    std::int64_t sizeLeast = -1, sizeMost = -1;                // of the reply; -1: any
    std::vector<std::pair<std::string, std::string>> headers;  // name in small letters, pattern
    bool hasEffect = false;                                    // must never run twice
    attempts::ChainRule chain;
    [[nodiscard]] bool matches(const Record& record) const;
};

struct Rules {
    std::vector<ClassRule> classes;
    bool leaveOthersOut = false;  // what fits no class; else it is of a class of its own, `other`
    [[nodiscard]] std::vector<std::string> names() const;  // with `other` at the end
    // The index; that of `other` if no rule fits.
    [[nodiscard]] std::uint32_t classOf(const Record& record) const;
    [[nodiscard]] std::uint32_t other() const { return static_cast<std::uint32_t>(classes.size()); }
};

}  // namespace marldale::sources
