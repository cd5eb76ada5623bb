// Server updates that were delayed between controllers.
#include <catch2/catch.hpp>

#include "gateway/controller/update_age.h"
#include "gateway/registry/registry.h"

namespace marldale::controller {
namespace {

constexpr Micros kSecond = 1000000;

gateway::proto::Server update(const std::string& id) {
    gateway::proto::Server out;
    out.set_id(id);
    out.set_service("bookings");
    out.set_address("10.0.1." + id + ":80");
    out.set_zone("north");
    out.set_call_count(1);
    out.set_heard_ago(100000);
    return out;
}

}  // namespace

TEST_CASE("A delayed update does not make a silent server appear alive", "[updates]") {
    const Micros now = 100 * kSecond;
    registry::Registry registry({});
    (void)registry.applyReport(now, agedUpdate(update("1"), 10 * kSecond));
    (void)registry.applyReport(now, agedUpdate(update("2"), kMaxTrustedUpdateDelayUs));
    (void)registry.tick(now);
    CHECK(registry.servers().count("1") == 0);
    CHECK(registry.servers().count("2") == 1);
}

TEST_CASE("The cold time of a delayed update counts from its arrival", "[updates]") {
    const Micros now = 100 * kSecond;
    gateway::proto::Server cold = update("1");
    cold.set_heard_ago(0);
    cold.set_cold_left(3 * kSecond);
    registry::Registry registry({});
    (void)registry.applyReport(now, agedUpdate(cold, 2 * kSecond));
    CHECK(registry.coldLeft(registry.servers().at("1"), now) == 3 * kSecond);
}

}  // namespace marldale::controller
