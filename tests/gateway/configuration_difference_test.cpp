#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>

#include "gateway/configuration/configuration_difference.h"
#include "gateway/configuration/schema.h"
#include "gateway/distribution/configuration_resources.h"

namespace marldale::configuration {
namespace {

const char* const kText =
    R"({"version":7,"built_on":0,"limits":{"max_header_bytes":16384,"max_body_bytes":1000,"header_wait":"3000ms","quiet":"2.5s"},)"
    R"("listeners":[{"host_name":"H.example","rules":[{"name":"r","route_kind":"writing","target":"300ms","rank":2,"match":{"path_start":"/x/"},)"
    R"("action":{"service":"a","give_up":"2000ms","tries":2}},{"route_kind":"read_only","match":{"path_start":"/y/"},)"
    R"("action":{"shares":[{"service":"a","share":1},{"service":"b","share":0}],"give_up":"2s","tries":1}}]}],)"
    R"("groups":[{"name":"a","health_path":"/health","max_connections":96,"warm_up":"3s","cold_per_s":19.0},{"name":"b","future":[1]}]})";

using rapidjson::Value;

void collect(Value& value, std::vector<Value*>& all) {
    all.push_back(&value);
    if (value.IsArray()) {
        for (Value& item : value.GetArray()) collect(item, all);
    } else if (value.IsObject()) {
        for (auto& member : value.GetObject()) collect(member.value, all);
    }
}

// Replaces a random value, removes a member or duplicates a member.
void mutate(rapidjson::Document& document, std::mt19937_64& random) {
    std::vector<Value*> all;
    collect(document, all);
    Value& at = *all[random() % all.size()];
    auto& memory = document.GetAllocator();
    if (at.IsObject() && at.MemberCount() > 0 && random() % 3 == 0) {
        const auto member = at.MemberBegin() + static_cast<std::ptrdiff_t>(random() % at.MemberCount());
        if (random() % 2 == 0) {
            at.EraseMember(member);
        } else {
            Value name(member->name, memory);
            at.AddMember(name, Value(static_cast<int>(random() % 3)), memory);
        }
        return;
    }
    switch (random() % 12) {
        case 0: at.SetInt(0); break;
        case 1: at.SetInt(-1); break;
        case 2: at.SetInt(1); break;
        case 3: at.SetUint64(UINT64_MAX); break;
        case 4: at.SetDouble(1.0); break;
        case 5: at.SetDouble(-0.5); break;
        case 6: at.SetString("", memory); break;
        case 7: at.SetString("/z", memory); break;
        case 8: at.SetString("writing", memory); break;
        case 9: at.SetArray(); break;
        case 10: at.SetObject(); break;
        default: at.SetNull(); break;
    }
}

proto::RouteResource routeOf(unsigned host, unsigned content) {
    proto::RouteResource route;
    route.set_host_name("h" + std::to_string(host));
    route.set_path_start("/");
    route.set_tries(content);
    return route;
}

using ContentByKey = std::map<std::string, unsigned>;
ContentByKey contentByKey(const Configuration& configuration) {
    ContentByKey out;
    for (const auto& route : configuration.routes) out[route.host_name()] = route.tries();
    for (const auto& service : configuration.services) out[service.name()] = service.max_connections();
    return out;
}

Configuration randomConfiguration(std::mt19937_64& random) {
    std::vector<proto::RouteResource> routes;
    std::vector<proto::ServiceResource> services;
    for (unsigned host = 0; host < 12; ++host) {
        if (random() % 3 != 0) routes.push_back(routeOf(host, static_cast<unsigned>(random() % 2)));
    }
    if (random() % 3 == 0) std::shuffle(routes.begin(), routes.end(), random);
    for (unsigned k = 0; k < 4; ++k) {
        if (random() % 4 == 0) continue;
        services.emplace_back();
        services.back().set_name("s" + std::to_string(k));
        services.back().set_max_connections(static_cast<std::uint32_t>(random() % 2));
    }
    Configuration out;
    out.routes = std::move(routes);
    out.services = std::move(services);
    return out;
}

}  // namespace

TEST_CASE("The handwritten check and the schema validator agree", "[configuration]") {
    std::size_t valid = 0, invalid = 0;
    std::mt19937_64 random(1);
    for (int round = 0; round < 20000; ++round) {
        rapidjson::Document document;
        document.Parse(kText);
        REQUIRE_FALSE(document.HasParseError());
        for (std::uint64_t changes = random() % 3; changes > 0; --changes) mutate(document, random);
        const std::string violation = schemaViolation(document);
        INFO(violation);
        REQUIRE(matchesSchema(document) == violation.empty());
        ++(violation.empty() ? valid : invalid);
    }
    CHECK(valid > 2000);
    CHECK(invalid > 2000);
}

TEST_CASE("A parsed text is cached, and an invalid text is not mistaken for it", "[configuration]") {
    const auto first = parseConfigurationCached(kText), again = parseConfigurationCached(kText);
    REQUIRE(first.ok());
    REQUIRE(again.ok());
    CHECK(first->routes.sharesStorageWith(again->routes));
    CHECK_FALSE(first->routes.sharesStorageWith(parseConfiguration(kText)->routes));
    std::string changed = kText;
    changed.replace(changed.find("\"tries\":2"), 9, "\"tries\":3");
    CHECK(parseConfigurationCached(changed)->routes[0].tries() == 3);
    changed.replace(changed.find("\"tries\":3"), 9, "\"tries\":0");
    CHECK_FALSE(parseConfigurationCached(changed).ok());
    CHECK_FALSE(parseConfigurationCached(changed).ok());
}

TEST_CASE("Resources that differ in any single field are not equal", "[configuration]") {
    const auto differ = [](auto&& change) {
        proto::RouteResource left = routeOf(1, 2), right = routeOf(1, 2);
        left.add_shares()->set_service("a");
        *right.mutable_shares() = left.shares();
        REQUIRE(same(left, right));
        change(right);
        CHECK_FALSE(same(left, right));
    };
    differ([](auto& r) { r.set_name("x"); });
    differ([](auto& r) { r.set_host_name("x"); });
    differ([](auto& r) { r.set_path_start("x"); });
    differ([](auto& r) { r.set_kind(proto::RouteResource::WRITING); });
    differ([](auto& r) { r.set_target(1); });
    differ([](auto& r) { r.set_give_up(1); });
    differ([](auto& r) { r.set_tries(1); });
    differ([](auto& r) { r.set_rank(1); });
    differ([](auto& r) { r.add_shares(); });
    differ([](auto& r) { r.mutable_shares(0)->set_share(5); });
    differ([](auto& r) { r.mutable_shares(0)->set_service("b"); });
    const auto differService = [](auto&& change) {
        proto::ServiceResource left, right;
        change(right);
        CHECK_FALSE(same(left, right));
    };
    differService([](auto& s) { s.set_name("x"); });
    differService([](auto& s) { s.set_health_path("x"); });
    differService([](auto& s) { s.set_max_connections(1); });
    differService([](auto& s) { s.set_warm_up(1); });
    differService([](auto& s) { s.set_cold_per_s(1); });
    const auto differLimits = [](auto&& change) {
        proto::LimitsResource left, right;
        change(right);
        CHECK_FALSE(same(left, right));
    };
    differLimits([](auto& l) { l.set_max_header_bytes(1); });
    differLimits([](auto& l) { l.set_max_body_bytes(1); });
    differLimits([](auto& l) { l.set_header_wait(1); });
    differLimits([](auto& l) { l.set_quiet(1); });
}

TEST_CASE("Applying a difference yields the new configuration, and unchanged items are left out",
          "[configuration]") {
    std::mt19937_64 random(2);
    for (int round = 0; round < 3000; ++round) {
        const Configuration before = randomConfiguration(random), after = randomConfiguration(random);
        const ConfigurationDifference difference = differenceOf(before, after);
        ContentByKey now = contentByKey(before);
        const auto put = [&](const std::string& key, unsigned content) {
            const auto at = now.find(key);
            REQUIRE((at == now.end() || at->second != content));
            now[key] = content;
        };
        for (const auto* route : difference.routesRemoved) REQUIRE(now.erase(route->host_name()) == 1);
        for (const auto* service : difference.servicesRemoved) REQUIRE(now.erase(service->name()) == 1);
        for (const auto* route : difference.routesPut) put(route->host_name(), route->tries());
        for (const auto* service : difference.servicesPut) put(service->name(), service->max_connections());
        REQUIRE(now == contentByKey(after));
        const bool namesChanged =
            !difference.servicesRemoved.empty() ||
            std::any_of(difference.servicesPut.begin(), difference.servicesPut.end(),
                        [&](const auto* s) { return !contentByKey(before).count(s->name()); });
        REQUIRE(difference.serviceNamesChanged == namesChanged);
    }
    Configuration left = randomConfiguration(random), right = left;
    right.limits.set_quiet(5);
    CHECK(differenceOf(left, right).limitsChanged);
    CHECK(differenceOf(left, right).routesPut.empty());
}

TEST_CASE("Resources that are updated change by change equal those of a fresh start", "[configuration]") {
    using namespace distribution;
    std::mt19937_64 random(3);
    ResourceDistributor updatedDistributor;
    ConfigurationResources updated(updatedDistributor);
    for (int round = 0; round < 300; ++round) {
        const Configuration configuration = randomConfiguration(random);
        std::set<std::string> emptied;
        if (random() % 3 == 0) emptied.insert("north");
        if (random() % 3 == 0) emptied.insert("south");
        proto::BudgetResource budget;
        budget.set_per_s(static_cast<double>(random() % 2));
        const ConfigurationResources::Source source{configuration, emptied, budget, true};
        updated.update(source);
        ResourceDistributor freshDistributor;
        ConfigurationResources(freshDistributor).update(source);
        REQUIRE(updatedDistributor.desired().size() == freshDistributor.desired().size());
        for (const auto& [key, desired] : freshDistributor.desired()) {
            INFO(key);
            REQUIRE(updatedDistributor.desired().count(key) == 1);
            REQUIRE(updatedDistributor.desired().at(key).hash == desired.hash);
        }
    }
}

}  // namespace marldale::configuration
