// Exhaustive and random histories of the forwarding model, and checks that it detects injected faults.
#include <cstdlib>

#include "forwarding_model.h"

using namespace marldale::edge_proxy::model;

namespace {

std::vector<Act> allActs() {
    std::vector<Act> acts;
    for (unsigned k = 0; k < kActs; ++k) acts.push_back(static_cast<Act>(k));
    return acts;
}

const std::vector<Act> kFewActs{Act::answer, Act::notRun503, Act::silentRun};

// Success is as likely as all failures together.
std::vector<Act> mixedActs() {
    std::vector<Act> acts = allActs();
    acts.insert(acts.end(), kActs, Act::answer);
    return acts;
}

// Plays every history that the plan allows and returns their number.
std::size_t playAll(const Plan& plan) {
    AllChoices choices;
    std::size_t histories = 0;
    do {
        Model(choices, plan).play();
        ++histories;
    } while (choices.next());
    return histories;
}

Plan wildPlan(Choices& choices) {
    Plan plan;
    plan.firstActs = plan.laterActs = mixedActs();
    plan.servers = 1 + choices.below(4);
    plan.clients = 1 + choices.below(4);
    plan.requestsPerClient = 1 + choices.below(6);
    plan.connectTrouble = choices.below(4) == 0;
    plan.linkTrouble = choices.below(3) == 0;
    plan.clientTrouble = choices.below(4) == 0;
    plan.limits = choices.below(3) == 0;
    plan.largeBodies = choices.below(4) == 0;
    if (choices.below(4) == 0) plan.firstRoom = choices.below(300);
    if (choices.below(8) == 0) plan.requestCutAt = choices.below(200);
    if (choices.below(2) == 0) plan.keepAlive = choices.below(6);
    return plan;
}

void playRandom(std::uint64_t seed, const marldale::forwarding::Faults& faults = {}) {
    RandomChoices choices(seed);
    Plan plan = wildPlan(choices);
    plan.faults = faults;
    Model(choices, plan).play();
}

std::size_t histories() {
    const char* const told = std::getenv("MARLDALE_PROXY_HISTORIES");
    return told == nullptr ? 4000 : static_cast<std::size_t>(std::strtoull(told, nullptr, 10));
}

}  // namespace

TEST_CASE("Every sequence of two requests with every server behavior", "[forwarding_model]") {
    Plan plan;
    plan.firstActs = allActs();
    plan.laterActs = kFewActs;
    plan.cutAt = 100;  // in the body; a separate test covers each byte
    const std::size_t histories = playAll(plan);
    CHECK(histories > 10000);
    WARN(histories << " histories");
}

TEST_CASE("An answer cut at each of its bytes", "[forwarding_model]") {
    Plan plan;
    plan.firstActs = {Act::cutByReset, Act::cutByClose};
    plan.laterActs = kFewActs;
    plan.requestsPerClient = 1;
    for (std::size_t at = 0; at < 120; ++at) {
        plan.cutAt = at;
        playAll(plan);
    }
}

TEST_CASE("A request cut at each of its bytes, and a connection that accepts a limited number of bytes",
          "[forwarding_model]") {
    Plan plan;
    plan.firstActs = {Act::answer, Act::earlyRefusal};
    plan.laterActs = {Act::answer};
    for (std::size_t at = 0; at < 160; ++at) {
        plan.requestCutAt = at;
        plan.firstRoom.reset();
        playAll(plan);
        plan.requestCutAt.reset();
        plan.firstRoom = at;
        playAll(plan);
    }
}

TEST_CASE("Every kind of connect failure", "[forwarding_model]") {
    Plan plan;
    plan.firstActs = {Act::answer, Act::resetUnrun};
    plan.laterActs = {Act::answer, Act::silentRun};
    plan.connectTrouble = true;
    plan.requestsPerClient = 1;
    plan.servers = 3;
    CHECK(playAll(plan) > 100);
}

TEST_CASE("Stray bytes while a connection accepts no byte of the next request", "[forwarding_model]") {
    // Regression found by a random history: 502 for a writing request of which no byte had been sent.
    Plan plan;
    plan.firstActs = {Act::lateBytes};
    plan.laterActs = kFewActs;
    plan.pipelining = false;
    for (std::size_t room = 100; room < 260; ++room) {
        plan.firstRoom = room;
        playAll(plan);
    }
}

TEST_CASE("Random histories of several clients and servers", "[forwarding_model]") {
    const std::size_t most = histories();
    for (std::uint64_t seed = 1; seed <= most; ++seed) {
        INFO("seed " << seed);
        REQUIRE_NOTHROW(playRandom(seed));
    }
}

TEST_CASE("Connections are reused only while the server certainly keeps them open", "[forwarding_model]") {
    constexpr unsigned kRequests = 20;
    Plan plan;
    plan.firstActs = plan.laterActs = {Act::answer};
    plan.servers = 1;
    plan.requestsPerClient = kRequests;
    plan.thinkTime = 3 * kSecond;  // between requests, half of which are writing
    plan.pipelining = false;
    plan.keepAlive = 5;
    RandomChoices choices(1);
    Model kept(choices, plan);
    kept.play();
    CHECK(kept.connectsMade == 1);
    // In the last second, which rounding may cut off, a connection carries only repeatable requests.
    plan.keepAlive = 3;
    Model unsure(choices, plan);
    unsure.play();
    CHECK(unsure.connectsMade > 1);
}

TEST_CASE("A server with an unresponsive host is left after a quarter of a second", "[forwarding_model]") {
    Plan plan;
    plan.firstActs = plan.laterActs = {Act::answer};
    plan.servers = 2;
    plan.requestsPerClient = 40;
    plan.thinkTime = 100 * kMs;
    plan.pipelining = false;
    plan.keepAlive = 5;
    plan.cutOffFirstServer = true;
    unsigned unanswered = 0, served = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        RandomChoices choices(seed);
        Model model(choices, plan);
        model.play();
        for (const auto& [id, request] : model.requests) {
            if (request.status == 200) ++served;
            if (request.status == 502 || request.status == 504) ++unanswered;
            if (!request.writing) CHECK(request.status == 200);
        }
    }
    CHECK(served > 20 * 38);
    CHECK(unanswered <= 20);  // requests that were pending when the host stopped responding
}

TEST_CASE("Requests that are queued or connecting when the process ends are refused, not cut",
          "[forwarding_model]") {
    Plan plan;
    plan.firstActs = plan.laterActs = {Act::answer};
    plan.servers = 1;
    plan.requestsPerClient = 1;
    plan.serversAccept = ConnectResult::silent;
    plan.terminateAfter = 20 * kMs;
    plan.grace = 320 * kMs;  // minus the margin: the process ends 20 ms later, while connecting
    for (std::uint64_t seed = 1; seed <= 8; ++seed) {
        RandomChoices choices(seed);
        Model model(choices, plan);
        model.play();
        CHECK(model.requests.begin()->second.status == 503);
    }
}

TEST_CASE("The model detects injected faults", "[forwarding_model]") {
    using marldale::forwarding::Faults;
    struct InjectedFault {
        const char* name;
        Faults faults;
    };
    const auto injected =
        GENERATE(InjectedFault{"reuses a connection with surplus bytes", {.reuseWithSurplus = true}},
                 InjectedFault{"sends a writing request again after a timeout", {.retryAfterTimeout = true}},
                 InjectedFault{"503 after bytes were sent", {.refuseAfterSend = true}},
                 InjectedFault{"does not compare X-Try-Id", {.ignoreTryId = true}},
                 InjectedFault{"forwards a success without its seal", {.passWithoutSeal = true}},
                 InjectedFault{"trusts a 503 without X-Not-Run", {.trustUnprovenStatus = true}},
                 InjectedFault{"502 although nothing was sent", {.badGatewayUnsent = true}},
                 InjectedFault{"reuses a connection whose answer timed out", {.keepAfterTimeout = true}},
                 InjectedFault{"502 although the connection accepted no byte", {.unsentMayHaveRun = true}});
    constexpr std::uint64_t kMost = 2000;
    std::uint64_t seed = 0;
    std::string rule;
    while (rule.empty() && seed < kMost) {
        try {
            playRandom(++seed, injected.faults);
        } catch (const RuleViolation& violation) {
            rule = violation.what();
        }
    }
    INFO(injected.name << ": " << rule);
    CHECK_FALSE(rule.empty());
    WARN(injected.name << ": found after " << seed << " histories: " << rule.substr(0, rule.find('\n')));
}
