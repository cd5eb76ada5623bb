#include <catch2/catch.hpp>

#include "gateway/controller/calls.h"
#include "gateway/controller/proxy_shares.h"
#include "gateway/settings/settings.h"

namespace marldale::controller {

TEST_CASE("Parts of cold rates and further tries never add up to more than the whole", "[parts]") {
    for (std::size_t proxies = 0; proxies <= 400; ++proxies) {
        for (const double coldPerS : {0.0, 9.4, 19.0, 40.0}) {
            const ProxyShare parts = proxyShareOf({proxies, 3, 110, coldPerS, 1.5, 5});
            REQUIRE(static_cast<double>(parts.cold * std::max<std::size_t>(1, proxies)) <=
                    coldPerS * 1.5 + 5);
            REQUIRE(parts.inFlight >= 1);
        }
        const BudgetPart part = budgetOf(proxies, 0.2, 58, 10000000);
        REQUIRE((part.burst + 10 * part.perS) * static_cast<double>(proxies) <= 58);
        REQUIRE(part.perRequest <= 0.2);
    }
}

TEST_CASE("Calls are found by method and path", "[parts]") {
    CHECK(findCall("POST", "/-/Servers.Beat/i-7").argument == "i-7");
    CHECK(findCall("POST", "/-/Servers.Beat/").call == nullptr);
    CHECK(findCall("GET", "/-/Settings.Read?x=1").call == &kRead);
    CHECK(findCall("GET", "/-/Settings.Replace").known);
    CHECK(findCall("GET", "/-/Settings.Replace").call == nullptr);
    CHECK_FALSE(findCall("GET", "/else").known);
}

TEST_CASE("Settings are checked with their place", "[settings]") {
    const std::string whole = R"(node_name: "m-1"
ip_address: "10.1.0.37"
zone: "north"
zones:
  north: "here"
listen_on:
  control: "10.1.0.37:8544"
inside_ports:
  - 7540
  - 7555
seed_nodes:
  - "10.1.0.37:8544"
first_run: true
future: {a: [1, b]}
bounds:
  confirm: "4000ms"
  retry_ratio: 0.2
  extra_tries: 58
)";
    const auto read = settings::parse(whole);
    REQUIRE(read.ok());
    CHECK(read->inside() == "10.1.0.37:7540");
    CHECK(read->insideSeeds() == std::vector<std::string>{"10.1.0.37:7540"});
    CHECK(read->bounds.confirm == 4000000);
    CHECK(read->bounds.extraTries == 58);
    for (const auto& [from, to] :
         std::vector<std::pair<std::string, std::string>>{{"first_run: true", "first_run: 3"},
                                                          {"7540", "75400"},
                                                          {"\"4000ms\"", "\"4000\""},
                                                          {"ip_address", "ip"},
                                                          {"10.1.0.37:8544\"\nfirst", "x\"\nfirst"}}) {
        std::string broken = whole;
        broken.replace(broken.find(from), from.size(), to);
        INFO(to);
        CHECK_FALSE(settings::parse(broken).ok());
    }
    CHECK_FALSE(settings::parse("a: [").ok());
    CHECK(*settings::readTime("2.5s") == 2500000);
    CHECK_FALSE(settings::readTime("-1s").ok());
    CHECK_FALSE(settings::readTime("1").ok());
}

}  // namespace marldale::controller
