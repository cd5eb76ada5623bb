#include "protocol/json.h"

namespace marldale::protocol {
namespace {

bool tooDeep(std::string_view text, int maxDepth) {
    int depth = 0;
    bool quoted = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        if (quoted) {
            if (c == '\\') ++i;
            if (c == '"') quoted = false;
        } else if (c == '"') {
            quoted = true;
        } else if (c == '{' || c == '[') {
            if (++depth > maxDepth) return true;
        } else if (c == '}' || c == ']') {
            --depth;
        }
    }
    return false;
}

}  // namespace

Json parseJson(std::string_view text, int maxDepth) {
    if (tooDeep(text, maxDepth)) return Json(Json::value_t::discarded);
    return Json::parse(text, nullptr, false);
}

std::optional<double> numberIn(const Json& object, const char* key, double most) {
    const auto at = object.find(key);
    if (at == object.end() || !at->is_number()) return std::nullopt;
    const auto value = at->get<double>();
    if (!std::isfinite(value) || value < 0 || value > most) return std::nullopt;
    return value;
}

std::optional<std::string> textIn(const Json& object, const char* key) {
    const auto at = object.find(key);
    if (at == object.end() || !at->is_string()) return std::nullopt;
    return at->get<std::string>();
}

std::optional<std::int64_t> millisIn(const Json& object, const char* key, double mostMs) {
    const auto ms = numberIn(object, key, mostMs);
    if (!ms) return std::nullopt;
    return std::llround(*ms * 1000);
}

}  // namespace marldale::protocol
