// What hooks may ask for. There is no wish that orders a request repeated, shortens a drain, lists a box,
// sends a message or touches a mark: nothing in these types could say so.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "policy/types.h"

namespace marldale::plugins {

using Json = nlohmann::json;

// Let in at most this share (0 to 1) of what comes of a class in a zone. `*`: every zone, or every class.
struct LevelWish {
    std::string zone, klass;
    double share = 1;
    bool operator==(const LevelWish&) const = default;
};
// Less of a box: its weight by `factor` (0 to 1), or nothing new at all while it is held back.
struct BoxWish {
    std::string box;
    double factor = 1;
    bool hold = false;
    bool operator==(const BoxWish&) const = default;
};
// Of one row of a report: leave it out, or count its requests under another class.
struct RowWish {
    std::size_t row = 0;  // from 0
    bool leaveOut = false;
    std::string klass;  // empty: as it is
    bool operator==(const RowWish&) const = default;
};
// What one hook wants to hold until it says otherwise.
struct Wishes {
    std::vector<LevelWish> levels;
    std::vector<BoxWish> boxes;
    std::vector<std::string> log;          // lines, to be told under the hook's name
    std::map<std::string, double> counts;  // added to counters of the hook's own
    bool operator==(const Wishes&) const = default;
};

// Something that was asked for and is not done, or not so.
struct Clip {
    std::string hook, what, why;
    bool operator==(const Clip&) const = default;
};

inline constexpr std::size_t kWishesMost = 1000, kLogLinesMost = 10, kCountsMost = 100, kTextMost = 300;

// Reads what a hook has returned. Whatever is no wish becomes a clip; nothing is thrown.
[[nodiscard]] Wishes readWishes(const std::string& hook, const Json& from, std::vector<Clip>& clips);
[[nodiscard]] std::vector<RowWish> readRowWishes(const std::string& hook, const Json& from, std::size_t rows,
                                                 std::vector<Clip>& clips);

// A field of words between a planner and its worker; empty, or 0, if it is absent or of another kind.
[[nodiscard]] inline std::string textOf(const Json& words, const char* key) {
    const auto at = words.find(key);
    return at != words.end() && at->is_string() ? at->get<std::string>() : "";
}
[[nodiscard]] inline std::uint64_t numberOf(const Json& words, const char* key) {
    const auto at = words.find(key);
    return at != words.end() && at->is_number_unsigned() ? at->get<std::uint64_t>() : 0;
}

// Letters, digits, `_`, `-` and `.`, at most 64.
[[nodiscard]] bool isHookName(const std::string& text);
// A hook's text made harmless for a log: printable, and not longer than kTextMost.
[[nodiscard]] std::string plain(const std::string& text);

}  // namespace marldale::plugins
