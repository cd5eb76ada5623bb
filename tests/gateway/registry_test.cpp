#include <catch2/catch.hpp>
#include <random>

#include "gateway/registry/registry.h"

namespace marldale::registry {
namespace {

constexpr Micros kS = 1000000;

proto::Server beat(const std::string& id, std::uint64_t count, const std::string& address = "10.0.0.1:80") {
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

TEST_CASE("A late beat changes nothing", "[registry]") {
    Registry registry({});
    CHECK(registry.applyReport(kS, beat("i", 4)) == Registry::ReportEffect::changed);
    auto emptying = beat("i", 6);
    emptying.set_emptying(true);
    CHECK(registry.applyReport(2 * kS, emptying) == Registry::ReportEffect::urgent);
    CHECK(registry.applyReport(2 * kS, beat("i", 5)) == Registry::ReportEffect::none);
    CHECK_FALSE(registry.servers().at("i").usable());
    CHECK(registry.applyReport(2 * kS, emptying) == Registry::ReportEffect::none);
}

TEST_CASE("A new incarnation at an address voids the old one, for good", "[registry]") {
    Registry registry({});
    registry.applyReport(kS, beat("old", 9));
    CHECK(registry.applyReport(2 * kS, beat("new", 1)) == Registry::ReportEffect::changed);
    CHECK(registry.servers().count("old") == 0);
    CHECK(registry.applyReport(2 * kS, beat("old", 10)) == Registry::ReportEffect::none);
    CHECK(registry.servers().size() == 1);
}

TEST_CASE("Who has signed off does not come back by late news", "[registry]") {
    Registry registry({});
    registry.applyReport(kS, beat("i", 4));
    auto gone = beat("i", 5);
    gone.set_gone(true);
    CHECK(registry.applyReport(2 * kS, gone) == Registry::ReportEffect::urgent);
    auto news = beat("i", 4);
    news.set_heard_ago(kS);
    CHECK(registry.applyReport(2 * kS, news) == Registry::ReportEffect::none);
    CHECK(registry.servers().empty());
}

TEST_CASE("Silence ends a server, unless it answers requests or nobody at all is heard", "[registry]") {
    Registry registry({});
    registry.applyReport(0, beat("silent", 1, "10.0.0.1:80"));
    registry.applyReport(0, beat("busy", 1, "10.0.0.2:80"));
    for (Micros now = 0; now <= 6 * kS; now += kS) {
        registry.applyReport(now, beat("there", static_cast<std::uint64_t>(now + 1), "10.0.0.3:80"));
        registry.recordAnswer(now, "busy");
        registry.tick(now);
    }
    CHECK(registry.servers().count("silent") == 0);
    CHECK(registry.servers().count("busy") == 1);
    registry.tick(60 * kS);  // deaf since 6 s
    CHECK(registry.servers().size() == 2);
    CHECK(registry.applyReport(61 * kS, beat("silent", 2)) == Registry::ReportEffect::changed);
}

TEST_CASE("After a zone is taken back its servers are cold until a beat from after it says otherwise",
          "[registry]") {
    Registry registry({});
    registry.applyReport(10 * kS, beat("i", 4));
    registry.markZoneCold(11 * kS, "north", {{"a", 3 * kS}});
    CHECK(registry.coldLeft(registry.servers().at("i"), 11 * kS) == 3 * kS);
    auto before = beat("i", 5);
    before.set_heard_ago(2 * kS);  // passed on by another controller, from before
    registry.applyReport(12 * kS, before);
    CHECK(registry.coldLeft(registry.servers().at("i"), 12 * kS) == 2 * kS);
    CHECK(registry.applyReport(12 * kS + 500000, beat("i", 6)) == Registry::ReportEffect::changed);
    CHECK(registry.coldLeft(registry.servers().at("i"), 12 * kS + 500000) == 0);
}

TEST_CASE("A cold time counts from when it was said", "[registry]") {
    Registry registry({});
    auto cold = beat("i", 4);
    cold.set_cold_left(3 * kS);
    cold.set_heard_ago(kS);
    CHECK(registry.applyReport(10 * kS, cold) == Registry::ReportEffect::changed);
    CHECK(registry.coldLeft(registry.servers().at("i"), 10 * kS) == 2 * kS);
    const proto::Server word = registry.reportOf(registry.servers().at("i"), 10 * kS);
    CHECK(word.heard_ago() == kS);
    CHECK(word.cold_left() == 3 * kS);
}

TEST_CASE("Two registries that hear the same in any order agree on who is there", "[registry]") {
    std::mt19937_64 draw(11);
    for (int history = 0; history < 200; ++history) {
        std::vector<proto::Server> said;
        for (std::uint64_t i = 0; i < 6; ++i) {
            const std::string id = "i" + std::to_string(i);
            for (std::uint64_t count = 1; count < 5; ++count) {
                auto one = beat(id, count, "10.0.0." + std::to_string(i) + ":80");
                one.set_emptying(count >= 3 && i % 2 == 0);
                one.set_gone(count == 4 && i % 3 == 0);
                said.push_back(one);
            }
        }
        Registry first({}), second({});
        for (const auto& one : said) first.applyReport(kS, one);
        std::shuffle(said.begin(), said.end(), draw);
        for (const auto& one : said) second.applyReport(kS, one);
        REQUIRE(first.servers().size() == second.servers().size());
        for (const auto& [id, server] : first.servers())
            REQUIRE(second.servers().at(id).usable() == server.usable());
    }
}

}  // namespace marldale::registry

namespace marldale::registry {

TEST_CASE("A fresh word on disk tells how cold a server still is", "[registry]") {
    Registry registry({});
    auto cold = beat("a", 4);
    cold.set_cold_left(3 * kS);
    cold.set_heard_ago(kS);
    registry.restore(10 * kS, cold, kS);
    CHECK(registry.coldLeft(registry.servers().at("a"), 10 * kS) == kS);
    registry.restore(10 * kS, beat("b", 4, "10.0.0.2:80"), kS);
    CHECK(registry.coldLeft(registry.servers().at("b"), 10 * kS) == 0);
}

TEST_CASE("A server recalled from disk is cold until it beats, and goes if it doesn't", "[registry]") {
    Registry registry({});
    registry.restore(10 * kS, beat("a", 4, "10.0.0.1:80"), 60 * kS);
    registry.restore(10 * kS, beat("b", 4, "10.0.0.2:80"), -kS);
    CHECK(registry.coldLeft(registry.servers().at("a"), 10 * kS) > 0);
    CHECK(registry.coldLeft(registry.servers().at("b"), 10 * kS) > 0);
    CHECK(registry.applyReport(11 * kS, beat("a", 5, "10.0.0.1:80")) == Registry::ReportEffect::changed);
    CHECK(registry.coldLeft(registry.servers().at("a"), 11 * kS) == 0);
    registry.tick(12 * kS);
    CHECK(registry.servers().size() == 2);
    registry.applyReport(12 * kS + 500000, beat("a", 6, "10.0.0.1:80"));
    registry.tick(13 * kS);
    CHECK(registry.servers().size() == 1);
    registry.restore(13 * kS, beat("a", 99, "10.0.0.1:80"), 0);  // what was heard outweighs it
    CHECK(registry.servers().at("a").report.call_count() == 6);
}

TEST_CASE("A departure is final", "[registry]") {
    Registry registry({});
    registry.applyReport(kS, beat("i", 4));
    const auto usable = [&] {
        const auto at = registry.servers().find("i");
        return at != registry.servers().end() && at->second.usable();
    };
    SECTION("a sign-off with an older call count than a beat's") {
        registry.applyReport(2 * kS, beat("i", 9));
        auto gone = beat("i", 5);
        gone.set_gone(true);
        CHECK(registry.applyReport(2 * kS, gone) == Registry::ReportEffect::urgent);
        CHECK_FALSE(usable());
    }
    SECTION("a beat of before, after the leaving server has fallen silent") {
        auto emptying = beat("i", 6);
        emptying.set_emptying(true);
        registry.applyReport(2 * kS, emptying);
        for (Micros now = 2 * kS; now <= 9 * kS; now += kS) {
            registry.applyReport(now, beat("there", static_cast<std::uint64_t>(now), "10.0.0.3:80"));
            registry.tick(now);
        }
        registry.applyReport(9 * kS, beat("i", 5));
        CHECK_FALSE(usable());
    }
    SECTION("a late word that it empties, passed on with the newest call count") {
        auto emptying = beat("i", 3);
        emptying.set_emptying(true);
        CHECK(registry.applyReport(2 * kS, emptying) == Registry::ReportEffect::urgent);
        Registry other({});
        other.applyReport(kS, beat("i", 4));
        const auto word = registry.reportOf(registry.servers().at("i"), 2 * kS);
        CHECK(other.applyReport(2 * kS, word) == Registry::ReportEffect::urgent);
        CHECK_FALSE(other.servers().at("i").usable());
    }
    SECTION("a later beat that says ready") {
        auto emptying = beat("i", 6);
        emptying.set_emptying(true);
        registry.applyReport(2 * kS, emptying);
        registry.applyReport(3 * kS, beat("i", 7));
        CHECK_FALSE(usable());
    }
}

}  // namespace marldale::registry
