// Requests that arrive at an edge proxy after SIGTERM must not be lost (incident LOST, issue 36).
#include "ending_proxy.h"
#include "gateway/edge_proxy/termination_schedule.h"

using namespace marldale::edge_proxy::model;

namespace {

constexpr std::uint64_t kHistories = 40;

std::string joined(const std::vector<std::string>& lines) {
    std::string out;
    for (const std::string& line : lines) out += line + "\n";
    return out;
}

// Requires that each simulation ends and that each request the proxy read has an answer.
void requireAllAnswered(EndingPlan plan) {
    for (plan.seed = 1; plan.seed <= kHistories; ++plan.seed) {
        EndingProxy proxy(plan);
        proxy.play();
        INFO("seed " << plan.seed);
        INFO(joined(proxy.unanswered()));
        REQUIRE(proxy.unanswered().empty());
        REQUIRE(proxy.endedAt != 0);
    }
}

}  // namespace

TEST_CASE("Each request that is read after SIGTERM is answered or refused", "[ending_proxy]") {
    EndingPlan plan;
    plan.timeLeft = GENERATE(10 * kSecond, 2 * kSecond);
    plan.secondSignal = GENERATE(false, true);
    unsigned served = 0, refused = 0;
    for (plan.seed = 1; plan.seed <= kHistories; ++plan.seed) {
        EndingProxy proxy(plan);
        proxy.play();
        INFO("seed " << plan.seed << ", time left " << plan.timeLeft / kMs << " ms");
        INFO(joined(proxy.unanswered()));
        REQUIRE(proxy.unanswered().empty());
        REQUIRE(proxy.endedAt != 0);
        REQUIRE(proxy.endedAt <= proxy.terminatedAt + plan.grace);
        for (const auto& [id, request] : proxy.requests) {
            if (request.sentAt < proxy.terminatedAt || request.status == 0) continue;
            CHECK(request.toldToClose);
            served += request.status == 200 ? 1 : 0;
            refused += request.status == 503 ? 1 : 0;
            if (request.status == 503) CHECK(request.arrivals == 0);
        }
    }
    CHECK(served > 40 * kHistories);
    CHECK(refused > 0);
}

TEST_CASE("A request read while its idle connection is being closed is answered", "[ending_proxy]") {
    EndingPlan plan;
    plan.readDelay = 8 * kMs;
    plan.newClientEvery = 3 * kMs;
    plan.slowestAnswer = 30 * kMs;
    requireAllAnswered(plan);
}

TEST_CASE("A request that arrives just as no work is left is answered", "[ending_proxy]") {
    EndingPlan plan;
    plan.timeLeft = 400 * kMs;  // short, so that requests are accepted after the platform has stopped sending
    plan.keptClients = 0;
    plan.slowestAnswer = 40 * kMs;
    plan.readDelay = 8 * kMs;
    plan.newClientEvery = GENERATE(21, 33) * kMs;
    requireAllAnswered(plan);
}

// A request is queued at the proxy's inbound link while idle connections are closed, as in the operators'
// second record of the incident.
TEST_CASE("A request in transit while a terminating proxy closes idle connections is answered",
          "[ending_proxy]") {
    EndingPlan plan;
    plan.inboundQueue = GENERATE(150, 430) * kMs;
    plan.slowestAnswer = 300 * kMs;
    plan.thinkTime = GENERATE(20, 300) * kMs;
    for (plan.seed = 1; plan.seed <= kHistories; ++plan.seed) {
        EndingProxy proxy(plan);
        proxy.play();
        INFO("seed " << plan.seed);
        INFO(joined(proxy.closedUnanswered()));
        REQUIRE(proxy.closedUnanswered().empty());
        REQUIRE(proxy.unanswered().empty());
        REQUIRE(proxy.endedAt <= proxy.terminatedAt + plan.grace);
    }
}

TEST_CASE("A terminating proxy serves until the platform stops sending, then accepts what it can finish",
          "[ending_proxy]") {
    using marldale::edge_proxy::TerminationSchedule;
    TerminationSchedule schedule;
    const marldale::Micros from = 100 * kSecond;
    CHECK(schedule.accepts(from, from + 60 * kSecond));
    schedule.begin(from, 6 * kSecond);
    CHECK(schedule.serveUntil() == from + 2500 * kMs);
    CHECK(schedule.endAt() == from + 5700 * kMs);
    CHECK(schedule.accepts(from + 2499 * kMs, from + 60 * kSecond));
    CHECK_FALSE(schedule.accepts(from + 2500 * kMs, from + 60 * kSecond));
    CHECK(schedule.accepts(from + 2500 * kMs, from + 5600 * kMs));
    CHECK_FALSE(schedule.accepts(from + 2500 * kMs, from + 5601 * kMs));
    schedule.begin(from, kSecond);
    CHECK(schedule.serveUntil() == from + 450 * kMs);
}
