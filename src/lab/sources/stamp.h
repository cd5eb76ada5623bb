// Moments as logs write them.
#pragma once

#include <optional>
#include <string_view>

#include "policy/types.h"

namespace marldale::sources {

struct Stamp {
    Micros at = 0;            // Unix time
    Micros grain = 0;         // what it can't tell apart: a second, a millisecond, 1
    bool leapSecond = false;  // it said second 60, which counts as the next second's beginning
    bool operator==(const Stamp&) const = default;
};

// `10/Oct/2000:13:55:36 -0700`, or the same without an offset: `assumed` minutes east of UTC then.
[[nodiscard]] std::optional<Stamp> readClfTime(std::string_view text, int assumed = 0);
// RFC 3339 and ISO 8601's full forms: `2026-12-01T19:28:37.123Z`, any offset, `,` for `.`, a blank for `T`.
[[nodiscard]] std::optional<Stamp> readIsoTime(std::string_view text, int assumed = 0);
// Seconds since 1970, with a fraction or without.
[[nodiscard]] std::optional<Stamp> readEpoch(std::string_view text);
// Any of the three.
[[nodiscard]] std::optional<Stamp> readAnyTime(std::string_view text, int assumed = 0);

// `2026-12-01T19:28:37.123456Z`
[[nodiscard]] std::string_view shown(Micros at, char (&into)[40]);

}  // namespace marldale::sources
