#include <catch2/catch.hpp>
#include <random>

#include "gateway/registry/registry.h"

namespace marldale::registry {
namespace {

constexpr Micros kSecond = 1000000;

proto::Server heartbeat(const std::string& id, std::uint64_t count,
                        const std::string& address = "10.0.0.1:80") {
    proto::Server out;
    out.set_id(id);
    out.set_service("a");
    out.set_address(address);
    out.set_zone("north");
    out.set_free_places(3);
    out.set_call_count(count);
    return out;
}

}  // namespace

// Guards against a server whose name no message to an edge proxy can carry, so that each breaks its link.
TEST_CASE("A report with a text that is not UTF-8 has no effect, wherever it comes from", "[registry]") {
    proto::ServerUpdates updates;
    *updates.add_servers() = heartbeat("i-\xff", 1);
    *updates.add_servers() = heartbeat("i", 1, "10.0.0.2:80");
    updates.mutable_servers(1)->set_service("a\xc3");
    *updates.add_servers() = heartbeat("good", 1, "10.0.0.3:80");
    proto::ServerUpdates received;
    REQUIRE(received.ParseFromString(updates.SerializeAsString()));
    Registry registry({});
    for (const proto::Server& server : received.servers()) {
        registry.applyReport(kSecond, server);
        registry.restore(kSecond, server, 0);
    }
    auto gone = heartbeat("i-\xff", 2);
    gone.set_gone(true);
    CHECK(registry.applyReport(kSecond, gone) == Registry::ReportEffect::none);
    CHECK(registry.servers().size() == 1);
    CHECK(registry.servers().count("good") == 1);
    CHECK(registry.departed().empty());
}

TEST_CASE("A delayed heartbeat changes nothing", "[registry]") {
    Registry registry({});
    CHECK(registry.applyReport(kSecond, heartbeat("i", 4)) == Registry::ReportEffect::changed);
    auto emptying = heartbeat("i", 6);
    emptying.set_emptying(true);
    CHECK(registry.applyReport(2 * kSecond, emptying) == Registry::ReportEffect::urgent);
    CHECK(registry.applyReport(2 * kSecond, heartbeat("i", 5)) == Registry::ReportEffect::none);
    CHECK_FALSE(registry.servers().at("i").usable());
    CHECK(registry.applyReport(2 * kSecond, emptying) == Registry::ReportEffect::none);
}

TEST_CASE("A new incarnation at an address replaces the old one permanently", "[registry]") {
    Registry registry({});
    registry.applyReport(kSecond, heartbeat("old", 9));
    CHECK(registry.applyReport(2 * kSecond, heartbeat("new", 1)) == Registry::ReportEffect::changed);
    CHECK(registry.servers().count("old") == 0);
    CHECK(registry.applyReport(2 * kSecond, heartbeat("old", 10)) == Registry::ReportEffect::none);
    CHECK(registry.servers().size() == 1);
}

TEST_CASE("A server that signed off is not restored by an outdated report", "[registry]") {
    Registry registry({});
    registry.applyReport(kSecond, heartbeat("i", 4));
    auto gone = heartbeat("i", 5);
    gone.set_gone(true);
    CHECK(registry.applyReport(2 * kSecond, gone) == Registry::ReportEffect::urgent);
    auto outdated = heartbeat("i", 4);
    outdated.set_heard_ago(kSecond);
    CHECK(registry.applyReport(2 * kSecond, outdated) == Registry::ReportEffect::none);
    CHECK(registry.servers().empty());
}

TEST_CASE("A silent server is removed unless it answers requests or no server reports at all", "[registry]") {
    Registry registry({});
    registry.applyReport(0, heartbeat("silent", 1, "10.0.0.1:80"));
    registry.applyReport(0, heartbeat("busy", 1, "10.0.0.2:80"));
    for (Micros now = 0; now <= 6 * kSecond; now += kSecond) {
        registry.applyReport(now, heartbeat("there", static_cast<std::uint64_t>(now + 1), "10.0.0.3:80"));
        registry.recordAnswer(now, "busy");
        registry.tick(now);
    }
    CHECK(registry.servers().count("silent") == 0);
    CHECK(registry.servers().count("busy") == 1);
    registry.tick(60 * kSecond);  // no reports at all since 6 s
    CHECK(registry.servers().size() == 2);
    CHECK(registry.applyReport(61 * kSecond, heartbeat("silent", 2)) == Registry::ReportEffect::changed);
}

TEST_CASE("Servers of a refilled zone are cold until a later heartbeat reports otherwise", "[registry]") {
    Registry registry({});
    registry.applyReport(10 * kSecond, heartbeat("i", 4));
    registry.markZoneCold(11 * kSecond, "north", {{"a", 3 * kSecond}});
    CHECK(registry.coldLeft(registry.servers().at("i"), 11 * kSecond) == 3 * kSecond);
    auto before = heartbeat("i", 5);
    before.set_heard_ago(2 * kSecond);  // sent before that, passed on by another controller
    registry.applyReport(12 * kSecond, before);
    CHECK(registry.coldLeft(registry.servers().at("i"), 12 * kSecond) == 2 * kSecond);
    CHECK(registry.applyReport(12 * kSecond + 500000, heartbeat("i", 6)) == Registry::ReportEffect::changed);
    CHECK(registry.coldLeft(registry.servers().at("i"), 12 * kSecond + 500000) == 0);
}

TEST_CASE("A cold time counts from the time of its report", "[registry]") {
    Registry registry({});
    auto cold = heartbeat("i", 4);
    cold.set_cold_left(3 * kSecond);
    cold.set_heard_ago(kSecond);
    CHECK(registry.applyReport(10 * kSecond, cold) == Registry::ReportEffect::changed);
    CHECK(registry.coldLeft(registry.servers().at("i"), 10 * kSecond) == 2 * kSecond);
    const proto::Server report = registry.reportOf(registry.servers().at("i"), 10 * kSecond);
    CHECK(report.heard_ago() == kSecond);
    CHECK(report.cold_left() == 3 * kSecond);
}

TEST_CASE("Registries that receive the same reports in any order agree on the servers", "[registry]") {
    std::mt19937_64 random(11);
    for (int history = 0; history < 200; ++history) {
        std::vector<proto::Server> reports;
        for (std::uint64_t i = 0; i < 6; ++i) {
            const std::string id = "i" + std::to_string(i);
            for (std::uint64_t count = 1; count < 5; ++count) {
                auto one = heartbeat(id, count, "10.0.0." + std::to_string(i) + ":80");
                one.set_emptying(count >= 3 && i % 2 == 0);
                one.set_gone(count == 4 && i % 3 == 0);
                reports.push_back(one);
            }
        }
        Registry first({}), second({});
        for (const auto& one : reports) first.applyReport(kSecond, one);
        std::shuffle(reports.begin(), reports.end(), random);
        for (const auto& one : reports) second.applyReport(kSecond, one);
        REQUIRE(first.servers().size() == second.servers().size());
        for (const auto& [id, server] : first.servers())
            REQUIRE(second.servers().at(id).usable() == server.usable());
    }
}

}  // namespace marldale::registry

namespace marldale::registry {

TEST_CASE("A recent report on disk determines the remaining cold time", "[registry]") {
    Registry registry({});
    auto cold = heartbeat("a", 4);
    cold.set_cold_left(3 * kSecond);
    cold.set_heard_ago(kSecond);
    registry.restore(10 * kSecond, cold, kSecond);
    CHECK(registry.coldLeft(registry.servers().at("a"), 10 * kSecond) == kSecond);
    registry.restore(10 * kSecond, heartbeat("b", 4, "10.0.0.2:80"), kSecond);
    CHECK(registry.coldLeft(registry.servers().at("b"), 10 * kSecond) == 0);
}

TEST_CASE("A server restored from disk is cold until its first heartbeat, and removed without one",
          "[registry]") {
    Registry registry({});
    registry.restore(10 * kSecond, heartbeat("a", 4, "10.0.0.1:80"), 60 * kSecond);
    registry.restore(10 * kSecond, heartbeat("b", 4, "10.0.0.2:80"), -kSecond);
    CHECK(registry.coldLeft(registry.servers().at("a"), 10 * kSecond) > 0);
    CHECK(registry.coldLeft(registry.servers().at("b"), 10 * kSecond) > 0);
    CHECK(registry.applyReport(11 * kSecond, heartbeat("a", 5, "10.0.0.1:80")) ==
          Registry::ReportEffect::changed);
    CHECK(registry.coldLeft(registry.servers().at("a"), 11 * kSecond) == 0);
    registry.tick(12 * kSecond);
    CHECK(registry.servers().size() == 2);
    registry.applyReport(12 * kSecond + 500000, heartbeat("a", 6, "10.0.0.1:80"));
    registry.tick(13 * kSecond);
    CHECK(registry.servers().size() == 1);
    registry.restore(13 * kSecond, heartbeat("a", 99, "10.0.0.1:80"), 0);  // received reports take precedence
    CHECK(registry.servers().at("a").report.call_count() == 6);
}

TEST_CASE("A departure is final", "[registry]") {
    Registry registry({});
    registry.applyReport(kSecond, heartbeat("i", 4));
    const auto usable = [&] {
        const auto at = registry.servers().find("i");
        return at != registry.servers().end() && at->second.usable();
    };
    SECTION("a sign-off with a lower call count than a heartbeat") {
        registry.applyReport(2 * kSecond, heartbeat("i", 9));
        auto gone = heartbeat("i", 5);
        gone.set_gone(true);
        CHECK(registry.applyReport(2 * kSecond, gone) == Registry::ReportEffect::urgent);
        CHECK_FALSE(usable());
    }
    SECTION("an earlier heartbeat after the emptying server has stopped reporting") {
        auto emptying = heartbeat("i", 6);
        emptying.set_emptying(true);
        registry.applyReport(2 * kSecond, emptying);
        for (Micros now = 2 * kSecond; now <= 9 * kSecond; now += kSecond) {
            registry.applyReport(now, heartbeat("there", static_cast<std::uint64_t>(now), "10.0.0.3:80"));
            registry.tick(now);
        }
        registry.applyReport(9 * kSecond, heartbeat("i", 5));
        CHECK_FALSE(usable());
    }
    SECTION("a delayed report of emptying, passed on with the latest call count") {
        auto emptying = heartbeat("i", 3);
        emptying.set_emptying(true);
        CHECK(registry.applyReport(2 * kSecond, emptying) == Registry::ReportEffect::urgent);
        Registry other({});
        other.applyReport(kSecond, heartbeat("i", 4));
        const auto report = registry.reportOf(registry.servers().at("i"), 2 * kSecond);
        CHECK(other.applyReport(2 * kSecond, report) == Registry::ReportEffect::urgent);
        CHECK_FALSE(other.servers().at("i").usable());
    }
    SECTION("a later heartbeat that reports ready") {
        auto emptying = heartbeat("i", 6);
        emptying.set_emptying(true);
        registry.applyReport(2 * kSecond, emptying);
        registry.applyReport(3 * kSecond, heartbeat("i", 7));
        CHECK_FALSE(usable());
    }
}

}  // namespace marldale::registry
