// One event, one line of JSON, with stable keys; by log4cxx to standard error. Bounded in rate.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace marldale::log {

enum class Level { debug, info, warn, error };
using Value = std::variant<std::string, std::int64_t, double, bool>;
struct Field {
    Field(std::string_view k, std::string v) : key(k), value(std::move(v)) {}
    Field(std::string_view k, const char* v) : key(k), value(std::string(v)) {}
    Field(std::string_view k, std::string_view v) : key(k), value(std::string(v)) {}
    Field(std::string_view k, bool v) : key(k), value(v) {}
    Field(std::string_view k, double v) : key(k), value(v) {}
    template <class Whole>
    requires std::is_integral_v<Whole> Field(std::string_view k, Whole v)
        : key(k), value(static_cast<std::int64_t>(v)) {}
    std::string_view key;
    Value value;
};

// Once, at the start. `node` is in every line.
void begin(const std::string& node, Level least);
// At most 200 lines a second; what is dropped is told with the next line as "dropped".
void event(Level level, std::string_view name, const std::vector<Field>& fields = {});
inline void info(std::string_view name, const std::vector<Field>& fields = {}) {
    event(Level::info, name, fields);
}
inline void warn(std::string_view name, const std::vector<Field>& fields = {}) {
    event(Level::warn, name, fields);
}
inline void debug(std::string_view name, const std::vector<Field>& fields = {}) {
    event(Level::debug, name, fields);
}

}  // namespace marldale::log
