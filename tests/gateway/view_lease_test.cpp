// Leases on views: a proxy does not choose servers from a view that may be outdated, and controllers rely on
// that (incident DRAIN, issue 39).
#include "gateway/upstream/view_lease.h"

#include <catch2/catch.hpp>
#include <vector>

#include "gateway/distribution/distribution_barrier.h"
#include "gateway/distribution/distribution_schedule.h"
#include "gateway/upstream/tables.h"

namespace marldale {
namespace {

using distribution::DistributionBarrier;
using upstream::ViewLease;

constexpr Micros kMs = 1000, kSecond = 1000000;
constexpr Micros kLease = 1500 * kMs, kSilent = 1100 * kMs;

ViewLease boundAt(Micros now) {
    ViewLease lease(kLease, kSilent);
    lease.bound(now);
    lease.copied();
    return lease;
}

}  // namespace

TEST_CASE("Servers are chosen while the view is proven, and while unbound", "[view_lease]") {
    ViewLease lease(kLease, kSilent);
    CHECK(lease.mayChoose(0));
    CHECK(lease.mayChoose(100 * kSecond));
    lease = boundAt(10 * kSecond);
    CHECK(lease.mayChoose(10 * kSecond));
    lease.heard(11 * kSecond);
    lease.proven(10 * kSecond + 800 * kMs);
    CHECK(lease.mayChoose(12 * kSecond));
    lease.proven(10 * kSecond);  // an older proof changes nothing
    CHECK(lease.mayChoose(12 * kSecond));
    lease.unbound();
    CHECK(lease.mayChoose(60 * kSecond));
}

TEST_CASE("An outdated view chooses no server, but a disconnected proxy keeps serving", "[view_lease]") {
    ViewLease lease = boundAt(10 * kSecond);
    // Heartbeats arrive with a growing delay, as on a congested link.
    const auto provenUntil = [](Micros now) { return 10 * kSecond + (now - 10 * kSecond) / 4; };
    for (Micros now = 10 * kSecond; now <= 13 * kSecond; now += 300 * kMs) {
        lease.heard(now);
        lease.proven(provenUntil(now));
        CHECK(lease.mayChoose(now) == (now - provenUntil(now) < kLease));
    }
    // No heartbeats arrive at all.
    CHECK_FALSE(lease.mayChoose(13 * kSecond));
    CHECK(lease.mayChoose(13 * kSecond + kSilent));
    // A controller that proves nothing does not block the proxy forever.
    lease.heard(13 * kSecond + kSilent);
    CHECK(lease.mayChoose(provenUntil(13 * kSecond) + 2 * kLease));
}

TEST_CASE("After binding to another controller its fresh copy is awaited for a limited time",
          "[view_lease]") {
    ViewLease lease = boundAt(10 * kSecond);
    lease.bound(20 * kSecond);
    CHECK_FALSE(lease.mayChoose(20 * kSecond));
    lease.proven(20 * kSecond + 100 * kMs);  // a heartbeat does not replace the missing copy
    lease.heard(20 * kSecond + 900 * kMs);
    CHECK_FALSE(lease.mayChoose(21 * kSecond));
    // No controller sends a copy: without a majority no server can depart.
    lease.bound(21 * kSecond);
    CHECK_FALSE(lease.mayChoose(21 * kSecond));
    CHECK(lease.mayChoose(20 * kSecond + kLease));
    for (Micros now = 22 * kSecond; now < 40 * kSecond; now += kSecond) {
        lease.unbound();
        lease.bound(now);
        CHECK(lease.mayChoose(now));
    }
    lease.copied();
    CHECK(lease.mayChoose(40 * kSecond));
    lease.heard(39 * kSecond + kLease);
    CHECK_FALSE(lease.mayChoose(39 * kSecond + kLease));
}

TEST_CASE("Tables choose no server on a view without a lease", "[view_lease]") {
    upstream::Tables tables;
    gateway::proto::ResourceBatch batch;
    auto* line = batch.add_resources()->mutable_server();
    line->set_id("i");
    line->set_service("s");
    line->set_address("10.0.0.1:80");
    auto* route = batch.add_resources()->mutable_route();
    route->set_host_name("a.example");
    route->set_path_start("/");
    route->add_shares()->set_service("s");
    route->mutable_shares(0)->set_share(1);
    REQUIRE(tables.apply(batch, 0));
    upstream::Service& service = tables.serviceOf(*tables.route("a.example", "/"));
    const auto roomAt = [&](Micros now) {
        return tables.pick(service, upstream::Kind::readOnly, {}, now).room;
    };
    tables.view() = boundAt(10 * kSecond);
    CHECK(roomAt(10 * kSecond) == upstream::Room::found);
    tables.view().heard(10 * kSecond + kLease);
    CHECK(roomAt(10 * kSecond + kLease) == upstream::Room::full);
    tables.view().proven(10 * kSecond + kLease / 2);
    CHECK(roomAt(10 * kSecond + kLease) == upstream::Room::found);
}

TEST_CASE("A turn is passed once all proxies have acknowledged it or their leases have expired",
          "[view_lease]") {
    DistributionBarrier barrier(kLease);
    std::vector<int> passed;
    const auto record = [&passed](int which) { return [&passed, which] { passed.push_back(which); }; };
    barrier.update(0, 4, DistributionBarrier::kNoTurn);
    barrier.wait(5, 0, record(5));
    barrier.wait(7, 0, record(7));
    barrier.update(10 * kMs, 4, DistributionBarrier::kNoTurn);
    CHECK(passed.empty());  // nothing is unacknowledged, but nothing has been sent yet
    barrier.update(20 * kMs, 6, 5);
    CHECK(passed.empty());
    CHECK(barrier.nextDue() == 20 * kMs + kLease);
    barrier.update(30 * kMs, 6, 6);  // 6 is outstanding, 5 was acknowledged by all
    CHECK(passed == std::vector<int>{5});
    barrier.update(40 * kMs, 7, 6);
    CHECK(passed.size() == 1);
    // The lease counts from when the turn's frames were sent, not from the call of `wait`.
    barrier.wait(6, kSecond, record(6));
    barrier.update(20 * kMs + kLease, 7, 6);
    CHECK(passed == std::vector<int>{5, 6});
    barrier.update(40 * kMs + kLease, 7, 6);
    CHECK(passed == std::vector<int>{5, 6, 7});
    CHECK(barrier.nextDue() == INT64_MAX);
    // An earlier turn is passed immediately.
    barrier.wait(3, 3 * kSecond, record(3));
    barrier.update(3 * kSecond, 7, 3);
    CHECK(passed.back() == 3);
}

TEST_CASE("A callback for a turn that is never sent is dropped", "[view_lease]") {
    DistributionBarrier barrier(kLease);
    bool called = false;
    barrier.wait(1, 0, [&called] { called = true; });
    CHECK(barrier.nextDue() == 2 * kLease);
    barrier.update(2 * kLease, 0, DistributionBarrier::kNoTurn);
    CHECK(barrier.nextDue() == INT64_MAX);
    barrier.update(3 * kLease, 1, DistributionBarrier::kNoTurn);
    CHECK_FALSE(called);
}

TEST_CASE("Urgent changes within a fifth of the interval are merged", "[view_lease]") {
    distribution::DistributionSchedule schedule(2 * kSecond);
    schedule.requestUrgent(kSecond);
    CHECK(schedule.due(kSecond));
    schedule.recordTurn(kSecond);
    schedule.requestUrgent(kSecond + 1);
    CHECK(schedule.nextDue() == kSecond + schedule.interval() / 5);
    schedule.requestUrgent(3 * kSecond);
    CHECK(schedule.nextDue() == kSecond + schedule.interval() / 5);
}

}  // namespace marldale
