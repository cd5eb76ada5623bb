// What is read out of a JSON object: only the fields that a decision needs, each checked.
#pragma once

#include <cmath>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace marldale::protocol {

using Json = nlohmann::json;

// The nesting levels of the planner's messages: the deepest, the configuration, has 5.
constexpr int kMaxMessageDepth = 16;

// Null (discarded) when the text is no JSON, or nests deeper than `maxDepth` levels. Copying and writing a
// value call themselves once for each level.
[[nodiscard]] Json parseJson(std::string_view text, int maxDepth = kMaxMessageDepth);

// A finite number from 0 to `most`; JSON has neither NaN nor infinity, but 1e999 reads as one.
[[nodiscard]] std::optional<double> numberIn(const Json& object, const char* key, double most);
[[nodiscard]] std::optional<std::string> textIn(const Json& object, const char* key);

template <class Int>
[[nodiscard]] std::optional<Int> wholeIn(const Json& object, const char* key, Int most) {
    const auto value = numberIn(object, key, static_cast<double>(most));
    if (!value || *value != std::floor(*value)) return std::nullopt;
    return static_cast<Int>(*value);
}

// Milliseconds, as microseconds.
[[nodiscard]] std::optional<std::int64_t> millisIn(const Json& object, const char* key, double mostMs);

}  // namespace marldale::protocol
