// What an edge proxy does with requests that come after SIGTERM (incident LOST, issue 36).
#include "ending_proxy.h"

using namespace marldale::edge_proxy::model;

namespace {

constexpr std::uint64_t kHistories = 40;

std::string joined(const std::vector<std::string>& lines) {
    std::string out;
    for (const std::string& line : lines) out += line + "\n";
    return out;
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
