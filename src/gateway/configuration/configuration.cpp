#include "gateway/configuration/configuration.h"

#include <rapidjson/document.h>
#include <xxhash.h>

#include <algorithm>
#include <cstring>
#include <deque>
#include <set>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "gateway/configuration/schema.h"
#include "gateway/json/json.h"
#include "gateway/settings/settings.h"

namespace marldale::configuration {
namespace {

// Targets that exceed give_up by this much or more are rejected.
constexpr Micros kTargetExcessLimitUs = 60000000;

absl::Status invalidAt(const std::string& place, const std::string& what) {
    return absl::InvalidArgumentError(absl::StrCat(place, ": ", what));
}
std::string stringMember(const rapidjson::Value& from, const char* key) {
    const auto at = from.FindMember(key);
    return at != from.MemberEnd() && at->value.IsString()
               ? std::string(at->value.GetString(), at->value.GetStringLength())
               : std::string();
}
// A location in a configuration. Formatted only for an error message.
struct JsonLocation {
    const char* path;  // JSON pointer; a trailing slash means that `index` follows
    unsigned index = 0;
    int rule = -1;  // index among the rules of a listener; negative: none
    [[nodiscard]] std::string text(const char* rest = "") const {
        if (path[std::strlen(path) - 1] != '/') return absl::StrCat(path, rest);
        return rule < 0 ? absl::StrCat(path, index, rest) : absl::StrCat(path, index, "/rules/", rule, rest);
    }
};

absl::StatusOr<Micros> durationMember(const rapidjson::Value& from, const char* key, Micros defaultValue,
                                      const JsonLocation& place, const char* member = "") {
    if (!from.HasMember(key)) return defaultValue;
    auto read = settings::readTime(stringMember(from, key));
    if (!read.ok())
        return invalidAt(absl::StrCat(place.text(member), "/", key), std::string(read.status().message()));
    return read;
}

absl::Status readRoute(const rapidjson::Value& rule, const std::string& host, const JsonLocation& place,
                       const std::set<std::string>& services, proto::RouteResource& out) {
    out.set_name(stringMember(rule, "name"));
    out.set_host_name(absl::AsciiStrToLower(host));
    out.set_path_start(stringMember(rule["match"], "path_start"));
    const std::string kind = stringMember(rule, "route_kind");
    out.set_kind(kind == "writing"      ? proto::RouteResource::WRITING
                 : kind == "fetch_down" ? proto::RouteResource::FETCH_DOWN
                                        : proto::RouteResource::READ_ONLY);
    const rapidjson::Value& action = rule["action"];
    const auto giveUp = durationMember(action, "give_up", 0, place, "/action");
    if (!giveUp.ok()) return giveUp.status();
    if (*giveUp <= 0) return invalidAt(place.text("/action/give_up"), "must be above 0");
    const auto target = durationMember(rule, "target", *giveUp, place);
    if (!target.ok()) return target.status();
    if (*target - *giveUp >= kTargetExcessLimitUs)
        return invalidAt(place.text("/target"), "lies a minute or more over give_up");
    out.set_give_up(*giveUp);
    out.set_target(*target);
    out.set_tries(static_cast<std::uint32_t>(std::min<std::uint64_t>(action["tries"].GetUint64(), 1000)));
    out.set_rank(rule.HasMember("rank")
                     ? static_cast<std::uint32_t>(std::min<std::uint64_t>(rule["rank"].GetUint64(), 1000000))
                     : 0);
    const bool single = action.HasMember("service"), split = action.HasMember("shares");
    if (single == split) return invalidAt(place.text("/action"), "needs either service or shares");
    std::uint64_t sum = 0;
    const auto add = [&](const std::string& service, std::uint64_t share) -> absl::Status {
        if (!services.count(service)) return invalidAt(place.text("/action"), "names an unknown service");
        auto* addedShare = out.add_shares();
        addedShare->set_service(service);
        addedShare->set_share(static_cast<std::uint32_t>(std::min<std::uint64_t>(share, 1000000000)));
        sum += addedShare->share();
        return absl::OkStatus();
    };
    if (single) {
        if (auto s = add(stringMember(action, "service"), 1); !s.ok()) return s;
    } else {
        for (const auto& share : action["shares"].GetArray()) {
            if (auto s = add(stringMember(share, "service"), share["share"].GetUint64()); !s.ok()) return s;
        }
    }
    if (sum == 0) return invalidAt(place.text("/action/shares"), "all shares are 0");
    return absl::OkStatus();
}

absl::Status readLimits(const rapidjson::Value& document, proto::LimitsResource& out) {
    out.set_max_header_bytes(16384);
    out.set_max_body_bytes(std::uint64_t{64} << 20U);
    out.set_header_wait(3000000);
    out.set_quiet(15000000);
    if (!document.HasMember("limits")) return absl::OkStatus();
    const rapidjson::Value& limits = document["limits"];
    if (limits.HasMember("max_header_bytes"))
        out.set_max_header_bytes(limits["max_header_bytes"].GetUint64());
    if (limits.HasMember("max_body_bytes")) out.set_max_body_bytes(limits["max_body_bytes"].GetUint64());
    const JsonLocation limitsPlace{"#/limits"};
    const auto wait = durationMember(limits, "header_wait", out.header_wait(), limitsPlace);
    const auto quiet = durationMember(limits, "quiet", out.quiet(), limitsPlace);
    if (!wait.ok()) return wait.status();
    if (!quiet.ok()) return quiet.status();
    out.set_header_wait(*wait);
    out.set_quiet(*quiet);
    return absl::OkStatus();
}

absl::Status readService(const rapidjson::Value& serviceJson, const JsonLocation& place,
                         proto::ServiceResource& out) {
    out.set_name(stringMember(serviceJson, "name"));
    out.set_health_path(serviceJson.HasMember("health_path") ? stringMember(serviceJson, "health_path")
                                                             : "/health");
    if (serviceJson.HasMember("max_connections")) {
        out.set_max_connections(static_cast<std::uint32_t>(
            std::min<std::uint64_t>(serviceJson["max_connections"].GetUint64(), 1000000)));
    }
    const auto warm = durationMember(serviceJson, "warm_up", 0, place);
    if (!warm.ok()) return warm.status();
    out.set_warm_up(*warm);
    if (serviceJson.HasMember("cold_per_s")) out.set_cold_per_s(serviceJson["cold_per_s"].GetDouble());
    return absl::OkStatus();
}

using Names = std::set<std::string>;

absl::StatusOr<std::vector<proto::ServiceResource>> readServices(const rapidjson::Value& servicesJson,
                                                                 Names& names) {
    std::vector<proto::ServiceResource> services(servicesJson.Size());
    for (unsigned i = 0; i < servicesJson.Size(); ++i) {
        const JsonLocation place{"#/groups/", i};
        if (auto s = readService(servicesJson[i], place, services[i]); !s.ok()) return s;
        if (!names.insert(services[i].name()).second) return invalidAt(place.text("/name"), "stands twice");
    }
    return services;
}

absl::StatusOr<std::vector<proto::RouteResource>> readRoutes(const rapidjson::Value& listeners,
                                                             const Names& services) {
    std::vector<proto::RouteResource> routes;
    std::set<std::pair<std::string, std::string>> seenHostPaths;
    for (unsigned i = 0; i < listeners.Size(); ++i) {
        const rapidjson::Value& listener = listeners[i];
        for (unsigned k = 0; k < listener["rules"].Size(); ++k) {
            const JsonLocation place{"#/listeners/", i, static_cast<int>(k)};
            proto::RouteResource route;
            if (auto s = readRoute(listener["rules"][k], stringMember(listener, "host_name"), place, services,
                                   route);
                !s.ok())
                return s;
            if (!seenHostPaths.emplace(route.host_name(), route.path_start()).second)
                return invalidAt(place.text("/match/path_start"), "stands twice under this host");
            routes.push_back(std::move(route));
        }
    }
    return routes;
}

// The most recently parsed configurations, keyed by the hash of their JSON text.
class ParseCache {
public:
    [[nodiscard]] const Configuration* find(const XXH128_hash_t& hash) const {
        const auto at = std::find_if(entries_.begin(), entries_.end(), [&](const Entry& entry) {
            return XXH128_isEqual(entry.hash, hash) != 0;
        });
        return at == entries_.end() ? nullptr : &at->configuration;
    }
    void insert(const XXH128_hash_t& hash, const Configuration& configuration) {
        entries_.push_back({hash, configuration});
        if (entries_.size() > kEntries) entries_.pop_front();
    }

private:
    static constexpr std::size_t kEntries = 4;
    struct Entry {
        XXH128_hash_t hash;
        Configuration configuration;
    };
    std::deque<Entry> entries_;
};

}  // namespace

absl::StatusOr<Configuration> parseConfiguration(std::string_view text) {
    std::string buffer;
    rapidjson::Document document;
    if (auto s = json::parse(text, buffer, document); !s.ok()) return s;
    if (!matchesSchema(document)) return absl::InvalidArgumentError(schemaViolation(document));
    Configuration out;
    out.version = document["version"].GetUint64();
    out.builtOn = document["built_on"].GetUint64();
    if (auto s = readLimits(document, out.limits); !s.ok()) return s;
    Names names;
    auto services = readServices(document["groups"], names);
    if (!services.ok()) return services.status();
    auto routes = readRoutes(document["listeners"], names);
    if (!routes.ok()) return routes.status();
    out.services = std::move(*services);
    out.routes = std::move(*routes);
    return out;
}

absl::StatusOr<Configuration> parseConfigurationCached(std::string_view json) {
    thread_local ParseCache cache;
    const XXH128_hash_t hash = XXH3_128bits(json.data(), json.size());
    if (const Configuration* cached = cache.find(hash)) return *cached;
    auto parsed = parseConfiguration(json);
    if (parsed.ok()) cache.insert(hash, *parsed);
    return parsed;
}

}  // namespace marldale::configuration
