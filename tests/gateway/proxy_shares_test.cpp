// The shares of edge proxies in common limits, the lookup of calls, and the validation of settings files.
#include <catch2/catch.hpp>

#include "gateway/controller/calls.h"
#include "gateway/controller/proxy_shares.h"
#include "gateway/settings/settings.h"

namespace marldale::controller {

TEST_CASE("Shares of cold rates and retries never add up to more than the limit", "[proxy_shares]") {
    for (std::size_t proxies = 0; proxies <= 400; ++proxies) {
        for (const double coldPerS : {0.0, 9.4, 19.0, 40.0}) {
            const ProxyShare share = proxyShareOf({proxies, 3, 110, coldPerS, 1.5, 5});
            REQUIRE(static_cast<double>(share.cold * std::max<std::size_t>(1, proxies)) <=
                    coldPerS * 1.5 + 5);
            REQUIRE(share.inFlight >= 1);
        }
        const RetryBudgetShare budget = retryBudgetShareOf(proxies, 0.2, 58, 10000000);
        REQUIRE((budget.burst + 10 * budget.perS) * static_cast<double>(proxies) <= 58);
        REQUIRE(budget.perRequest <= 0.2);
    }
}

TEST_CASE("Calls are found by method and path", "[calls]") {
    CHECK(findCall("POST", "/-/Servers.Beat/i-7").argument == "i-7");
    CHECK(findCall("POST", "/-/Servers.Beat/").call == nullptr);
    CHECK(findCall("GET", "/-/Settings.Read?x=1").call == &kSettingsRead);
    CHECK(findCall("GET", "/-/Settings.Replace").pathExists);
    CHECK(findCall("GET", "/-/Settings.Replace").call == nullptr);
    CHECK_FALSE(findCall("GET", "/else").pathExists);
}

TEST_CASE("Settings files are validated", "[settings]") {
    const std::string valid = R"(node_name: "m-1"
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
    const auto read = settings::parse(valid);
    REQUIRE(read.ok());
    CHECK(read->inside() == "10.1.0.37:7540");
    CHECK(read->insideSeeds() == std::vector<std::string>{"10.1.0.37:7540"});
    CHECK(read->bounds.confirm == 4000000);
    CHECK(read->bounds.extraTries == 58);
    for (const auto& [original, replacement] :
         std::vector<std::pair<std::string, std::string>>{{"first_run: true", "first_run: 3"},
                                                          {"7540", "75400"},
                                                          {"\"4000ms\"", "\"4000\""},
                                                          {"ip_address", "ip"},
                                                          {"10.1.0.37:8544\"\nfirst", "x\"\nfirst"}}) {
        std::string broken = valid;
        broken.replace(broken.find(original), original.size(), replacement);
        INFO(replacement);
        CHECK_FALSE(settings::parse(broken).ok());
    }
    CHECK_FALSE(settings::parse("a: [").ok());
    CHECK(*settings::readTime("2.5s") == 2500000);
    CHECK_FALSE(settings::readTime("-1s").ok());
    CHECK_FALSE(settings::readTime("1").ok());
}

}  // namespace marldale::controller
