#include "gateway/configuration/schema.h"

#include <string_view>

#include "gateway/json/json.h"

namespace marldale::configuration {
namespace {

constexpr const char* kSchema = R"({
 "type": "object",
 "required": ["version", "built_on", "listeners", "groups"],
 "properties": {
  "version": {"type": "integer", "minimum": 1},
  "built_on": {"type": "integer", "minimum": 0},
  "limits": {"type": "object", "properties": {
    "max_header_bytes": {"type": "integer", "minimum": 1}, "max_body_bytes": {"type": "integer", "minimum": 0},
    "header_wait": {"type": "string"}, "quiet": {"type": "string"}}},
  "listeners": {"type": "array", "items": {
    "type": "object", "required": ["host_name", "rules"],
    "properties": {
     "host_name": {"type": "string", "minLength": 1},
     "rules": {"type": "array", "items": {
       "type": "object", "required": ["route_kind", "match", "action"],
       "properties": {
        "name": {"type": "string"},
        "route_kind": {"enum": ["read_only", "writing", "fetch_down"]},
        "target": {"type": "string"},
        "rank": {"type": "integer", "minimum": 0},
        "match": {"type": "object", "required": ["path_start"], "properties": {"path_start": {"type": "string", "pattern": "^/"}}},
        "action": {"type": "object", "required": ["give_up", "tries"], "properties": {
          "service": {"type": "string", "minLength": 1},
          "shares": {"type": "array", "minItems": 1, "items": {"type": "object", "required": ["service", "share"],
            "properties": {"service": {"type": "string", "minLength": 1}, "share": {"type": "integer", "minimum": 0}}}},
          "give_up": {"type": "string"},
          "tries": {"type": "integer", "minimum": 1}}}}}}}}},
  "groups": {"type": "array", "items": {
    "type": "object", "required": ["name"],
    "properties": {
     "name": {"type": "string", "minLength": 1},
     "health_path": {"type": "string", "pattern": "^/"},
     "max_connections": {"type": "integer", "minimum": 0},
     "warm_up": {"type": "string"},
     "cold_per_s": {"type": "number", "minimum": 0}}}}
 }
})";

// ---- Handwritten check ----

using rapidjson::Value;

std::string_view textOf(const Value& value) { return {value.GetString(), value.GetStringLength()}; }

bool isText(const Value& value) { return value.IsString(); }
bool isName(const Value& value) { return value.IsString() && value.GetStringLength() > 0; }
bool isPath(const Value& value) { return value.IsString() && textOf(value).starts_with('/'); }
bool isCount(const Value& value) { return value.IsUint64(); }
bool isPositive(const Value& value) { return value.IsUint64() && value.GetUint64() > 0; }
bool isRate(const Value& value) { return value.IsNumber() && value.GetDouble() >= 0; }
bool isKind(const Value& value) {
    if (!value.IsString()) return false;
    const std::string_view kind = textOf(value);
    return kind == "read_only" || kind == "writing" || kind == "fetch_down";
}

template <class Check>
bool isListOf(const Value& value, Check check) {
    if (!value.IsArray()) return false;
    for (const Value& item : value.GetArray()) {
        if (!check(item)) return false;
    }
    return true;
}

struct Member {
    std::string_view name;
    bool (*check)(const Value&);
    bool required = false;
};

// Members that are not listed may have any value.
template <std::size_t count>
bool isObjectOf(const Value& value, const Member (&members)[count]) {
    if (!value.IsObject()) return false;
    std::size_t missing = 0;
    bool present[count] = {};
    for (const Member& member : members) missing += member.required ? 1 : 0;
    for (const auto& actual : value.GetObject()) {
        const std::string_view name = textOf(actual.name);
        for (std::size_t at = 0; at < count; ++at) {
            if (members[at].name != name) continue;
            if (!members[at].check(actual.value)) return false;
            if (members[at].required && !present[at]) --missing;
            present[at] = true;
            break;
        }
    }
    return missing == 0;
}

bool isLimits(const Value& value) {
    static constexpr Member kMembers[] = {{"max_header_bytes", isPositive},
                                          {"max_body_bytes", isCount},
                                          {"header_wait", isText},
                                          {"quiet", isText}};
    return isObjectOf(value, kMembers);
}
bool isShare(const Value& value) {
    static constexpr Member kMembers[] = {{"service", isName, true}, {"share", isCount, true}};
    return isObjectOf(value, kMembers);
}
bool isShares(const Value& value) { return isListOf(value, isShare) && !value.Empty(); }
bool isMatch(const Value& value) {
    static constexpr Member kMembers[] = {{"path_start", isPath, true}};
    return isObjectOf(value, kMembers);
}
bool isAction(const Value& value) {
    static constexpr Member kMembers[] = {
        {"service", isName}, {"shares", isShares}, {"give_up", isText, true}, {"tries", isPositive, true}};
    return isObjectOf(value, kMembers);
}
bool isRule(const Value& value) {
    static constexpr Member kMembers[] = {{"name", isText},         {"route_kind", isKind, true},
                                          {"target", isText},       {"rank", isCount},
                                          {"match", isMatch, true}, {"action", isAction, true}};
    return isObjectOf(value, kMembers);
}
bool isRules(const Value& value) { return isListOf(value, isRule); }
bool isListener(const Value& value) {
    static constexpr Member kMembers[] = {{"host_name", isName, true}, {"rules", isRules, true}};
    return isObjectOf(value, kMembers);
}
bool isListeners(const Value& value) { return isListOf(value, isListener); }
bool isGroup(const Value& value) {
    static constexpr Member kMembers[] = {{"name", isName, true},
                                          {"health_path", isPath},
                                          {"max_connections", isCount},
                                          {"warm_up", isText},
                                          {"cold_per_s", isRate}};
    return isObjectOf(value, kMembers);
}
bool isGroups(const Value& value) { return isListOf(value, isGroup); }

}  // namespace

bool matchesSchema(const Value& document) {
    static constexpr Member kMembers[] = {{"version", isPositive, true},
                                          {"built_on", isCount, true},
                                          {"limits", isLimits},
                                          {"listeners", isListeners, true},
                                          {"groups", isGroups, true}};
    return isObjectOf(document, kMembers);
}

std::string schemaViolation(const Value& document) {
    static const json::Schema schema(kSchema);
    return schema.violation(document);
}

}  // namespace marldale::configuration
