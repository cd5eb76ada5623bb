#include <catch2/catch.hpp>
#include <random>

#include "bytes/varint.h"
#include "gateway/configuration/configuration_store.h"

namespace marldale::configuration {
namespace {

std::string configuration(std::uint64_t version, std::uint64_t builtOn,
                          const std::string& action = R"("service":"a","give_up":"2000ms","tries":2)",
                          const std::string& path = "/x/", const std::string& kind = "read_only",
                          const std::string& target = "300ms") {
    return R"({"version":)" + std::to_string(version) + R"(,"built_on":)" + std::to_string(builtOn) +
           R"(,"limits":{"max_header_bytes":16384,"max_body_bytes":1000,"header_wait":"3000ms","quiet":"2.5s"},"listeners":[{"host_name":"H.example","rules":[{"name":"r","route_kind":")" +
           kind + R"(","target":")" + target + R"(","rank":2,"match":{"path_start":")" + path +
           R"("},"action":{)" + action +
           R"(}}]}],"groups":[{"name":"a","health_path":"/health","max_connections":96,"warm_up":"3s","cold_per_s":19.0},{"name":"b","future":[1]}]})";
}

}  // namespace

TEST_CASE("A configuration is parsed with its units", "[configuration]") {
    const auto read = parseConfigurationCached(configuration(
        7, 5,
        R"("shares":[{"service":"a","share":90},{"service":"b","share":10}],"give_up":"1.5s","tries":3)"));
    REQUIRE(read.ok());
    CHECK(read->version == 7);
    CHECK(read->builtOn == 5);
    CHECK(read->limits.quiet() == 2500000);
    REQUIRE(read->routes.size() == 1);
    CHECK(read->routes[0].host_name() == "h.example");
    CHECK(read->routes[0].give_up() == 1500000);
    CHECK(read->routes[0].shares_size() == 2);
    CHECK(read->services[0].cold_per_s() == 19.0);
}

TEST_CASE("Invalid configurations are refused with the location of the error", "[configuration]") {
    const std::string complete = configuration(7, 0);
    const std::vector<std::pair<std::string, std::string>> invalid = {
        {complete.substr(0, complete.size() - 3), "byte"},
        {configuration(7, 0, R"("service":"nobody","give_up":"2000ms","tries":2)"), "unknown service"},
        {configuration(7, 0, R"("service":"a","give_up":"2000ms","tries":0)"), "tries"},
        {configuration(7, 0, R"("service":"a","give_up":"0ms","tries":1)"), "give_up"},
        {configuration(7, 0, R"("service":"a","give_up":"2000","tries":1)"), "give_up"},
        {configuration(7, 0, R"("service":"a","give_up":"2000ms","tries":2)", "x/"), "path_start"},
        {configuration(7, 0, R"("service":"a","give_up":"2000ms","tries":2)", "/x/", "odd"), "route_kind"},
        {configuration(7, 0, R"("service":"a","give_up":"2000ms","tries":2)", "/x/", "writing", "62s"),
         "target"},
        {configuration(7, 0, R"("shares":[{"service":"a","share":0}],"give_up":"2s","tries":2)"), "shares"},
        {R"({"version":7,"built_on":0,"listeners":[]})", "#"},
        {"", "byte"},
        {"[]", "type"},
    };
    for (const auto& [text, place] : invalid) {
        const auto read = parseConfigurationCached(text);
        INFO(text);
        REQUIRE_FALSE(read.ok());
        INFO(std::string(read.status().message()));
        CHECK(std::string(read.status().message()).find(place) != std::string::npos);
    }
    // A target a minute above give_up is refused as a mistake; a little less is accepted.
    CHECK(parseConfigurationCached(
              configuration(7, 0, R"("service":"a","give_up":"2000ms","tries":2)", "/x/", "writing", "61.9s"))
              .ok());
}

TEST_CASE("A configuration that is truncated anywhere is refused", "[configuration]") {
    const std::string complete = configuration(7, 0);
    for (std::size_t length = 0; length + 1 < complete.size(); ++length)
        REQUIRE_FALSE(parseConfigurationCached(complete.substr(0, length)).ok());
}

// Guards against a parser whose stack grows with the text, in requests, in the log and in snapshots.
TEST_CASE("A configuration of any nesting depth is judged without a deep stack", "[configuration]") {
    constexpr std::size_t kManyLevels = 1000000;
    const std::string complete = configuration(7, 0);
    const std::string open =
        complete.substr(0, complete.size() - 1) + R"(,"note":)" + std::string(kManyLevels, '[');
    const std::string closed = open + std::string(kManyLevels, ']') + "}";
    ConfigurationStore store;
    CHECK(store.apply(1, replaceChange(open)) == Verdict::invalid);
    CHECK(store.judge(replaceChange(closed)) == Verdict::taken);
    CHECK_FALSE(parseConfiguration(R"({"version":7,"note":)" + std::string(kManyLevels, '[') +
                                   std::string(kManyLevels, ']') + "}")
                    .ok());
    CHECK(store.apply(2, replaceChange(closed)) == Verdict::taken);
    ConfigurationStore restored;
    REQUIRE(restored.restore(store.snapshot()).ok());
    CHECK(restored.json() == closed);
    CHECK(restored.configuration().version == 7);
}

TEST_CASE("Only one of two changes on the same version is accepted, and it may be sent again",
          "[configuration]") {
    ConfigurationStore store;
    const std::string first = replaceChange(configuration(5, 0)), one = replaceChange(configuration(8, 5)),
                      other = replaceChange(configuration(9, 5));
    CHECK(store.apply(1, first) == Verdict::taken);
    CHECK(store.apply(2, first) == Verdict::already);
    CHECK(store.apply(3, one) == Verdict::taken);
    CHECK(store.apply(4, other) == Verdict::stale);
    CHECK(store.apply(5, one) == Verdict::already);
    CHECK(store.apply(6, first) == Verdict::already);
    CHECK(store.apply(7, replaceChange(configuration(8, 8))) == Verdict::invalid);
    CHECK(store.apply(8, replaceChange("{")) == Verdict::invalid);
    CHECK(store.configuration().version == 8);
    CHECK(store.index() == 3);
}

TEST_CASE("Emptying and refilling a zone take effect once", "[configuration]") {
    ConfigurationStore store;
    CHECK(store.apply(1, zoneChange("north", true)) == Verdict::taken);
    CHECK(store.apply(2, zoneChange("north", true)) == Verdict::already);
    CHECK(store.emptied().count("north") == 1);
    CHECK(store.apply(3, zoneChange("south", false)) == Verdict::already);
    CHECK(store.apply(4, zoneChange("north", false)) == Verdict::taken);
    CHECK(store.emptied().empty());
    CHECK(store.index() == 4);
}

TEST_CASE("Every machine reaches the same verdicts, even after restoring a snapshot", "[configuration]") {
    std::mt19937_64 random(7);
    for (int history = 0; history < 40; ++history) {
        ConfigurationStore one, other;
        std::uint64_t version = 0;
        for (std::uint64_t index = 1; index < 60; ++index) {
            std::string change;
            switch (random() % 4) {
                case 0: change = zoneChange(random() % 2 == 0 ? "n" : "s", random() % 2 == 0); break;
                case 1: change = replaceChange(configuration(version + random() % 3, version)); break;
                case 2:
                    change = replaceChange(configuration(version + 1 + random() % 3, version - random() % 2));
                    break;
                default: change = replaceChange(configuration(1 + random() % 5, 0)); break;
            }
            const Verdict before = one.judge(change);
            const Verdict verdict = one.apply(index, change);
            REQUIRE(before == verdict);
            REQUIRE(other.apply(index, change) == verdict);
            version = one.configuration().version;
            if (random() % 8 == 0) {
                ConfigurationStore restored;
                REQUIRE(restored.restore(other.snapshot()).ok());
                other = std::move(restored);
            }
            REQUIRE(one.json() == other.json());
            REQUIRE(one.index() == other.index());
            REQUIRE(one.emptied() == other.emptied());
        }
    }
}

TEST_CASE("A truncated snapshot is refused", "[configuration]") {
    ConfigurationStore store;
    REQUIRE(store.apply(1, replaceChange(configuration(5, 0))) == Verdict::taken);
    REQUIRE(store.apply(2, zoneChange("north", true)) == Verdict::taken);
    const std::string complete = store.snapshot();
    for (std::size_t length = 0; length < complete.size(); ++length) {
        ConfigurationStore other;
        REQUIRE_FALSE(other.restore(complete.substr(0, length)).ok());
        REQUIRE(other.index() == 0);
    }
}

TEST_CASE("An order is recognized after many others, and after restoring a snapshot",
          "[configuration][orders]") {
    constexpr std::uint64_t kOrders = 600;
    ConfigurationStore store;
    for (std::uint64_t version = 1; version <= kOrders; ++version)
        REQUIRE(store.apply(version, replaceChange(configuration(version, version - 1))) == Verdict::taken);
    ConfigurationStore restored;
    REQUIRE(restored.restore(store.snapshot()).ok());
    for (ConfigurationStore* each : {&store, &restored}) {
        CHECK(each->apply(kOrders + 1, replaceChange(configuration(1, 0))) == Verdict::already);
        CHECK(each->apply(kOrders + 2, replaceChange(configuration(1, 0) + " ")) == Verdict::stale);
        CHECK(each->configuration().version == kOrders);
    }
}

TEST_CASE("A snapshot of an earlier release leaves its older orders undecided", "[configuration][orders]") {
    std::string snapshot = "1";
    bytes::putVar(snapshot, 17);
    bytes::putText(snapshot, configuration(8, 5));
    bytes::putVar(snapshot, 1);
    bytes::putVar(snapshot, 8);
    bytes::putFixed(snapshot, std::uint64_t{12345});
    bytes::putVar(snapshot, 0);
    ConfigurationStore store;
    REQUIRE(store.restore(snapshot).ok());
    CHECK(store.index() == 17);
    CHECK(store.apply(18, replaceChange(configuration(8, 5))) == Verdict::already);
    CHECK(store.apply(19, replaceChange(configuration(5, 0))) == Verdict::undecided);
    CHECK(store.apply(20, replaceChange(configuration(9, 8))) == Verdict::taken);
}

}  // namespace marldale::configuration
