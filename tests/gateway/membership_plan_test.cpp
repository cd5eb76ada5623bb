// Tests of the membership planner: which voters are chosen for the best fault tolerance.
#include "gateway/raft/membership_plan.h"

#include <catch2/catch.hpp>

using namespace marldale::raft;

namespace {

MembershipCandidate machine(const char* address, const char* zone) {
    MembershipCandidate candidate;
    candidate.member.set_address(address);
    candidate.member.set_zone(zone);
    return candidate;
}

constexpr std::size_t kMaxVoters = 7;

}  // namespace

TEST_CASE("A fourth machine stays a learner, and two additional machines become voters",
          "[raft][membership]") {
    const std::vector voters{machine("a", ""), machine("b", ""), machine("c", "")};
    CHECK_FALSE(planMembership(voters, {machine("d", "")}, kMaxVoters));
    const auto change = planMembership(voters, {machine("d", ""), machine("e", "")}, kMaxVoters);
    REQUIRE(change);
    CHECK(change->added.size() == 2);
    CHECK(change->reason == ChangeReason::moreVoters);
    CHECK_FALSE(planMembership(voters, {machine("d", ""), machine("e", "")}, 3));
}

TEST_CASE("A silent voter is replaced before a leaving one", "[raft][membership]") {
    std::vector voters{machine("a", "x"), machine("b", "y"), machine("c", "z")};
    voters[1].leaving = true;
    voters[2].silent = true;
    const auto change = planMembership(voters, {machine("d", "z")}, kMaxVoters);
    REQUIRE(change);
    CHECK(change->reason == ChangeReason::voterSilent);
    CHECK(change->removed.at(0).address() == "c");
    CHECK(change->added.at(0).address() == "d");
}

TEST_CASE("No voter is removed without a benefit", "[raft][membership]") {
    std::vector voters{machine("a", "x"), machine("b", "y"), machine("c", "z")};
    voters[2].silent = true;
    CHECK_FALSE(planMembership(voters, {}, kMaxVoters));
    const std::vector pair{machine("a", "x"), machine("b", "x")};
    CHECK_FALSE(planMembership(pair, {}, kMaxVoters));
}

TEST_CASE("Voters are spread so that the loss of one zone leaves a majority", "[raft][membership]") {
    const std::vector voters{machine("a", "x"), machine("b", "x"), machine("c", "y")};
    const auto spread = planMembership(voters, {machine("d", "z")}, kMaxVoters);
    REQUIRE(spread);
    CHECK(spread->reason == ChangeReason::zoneSpread);
    // After a planned replacement: five voters, one of them leaving, and two of the others in one zone.
    std::vector five{machine("a", "x"), machine("b", "y"), machine("c", "z"), machine("d", "x"),
                     machine("e", "x")};
    five[0].leaving = true;
    const auto fewer = planMembership(five, {}, kMaxVoters);
    REQUIRE(fewer);
    CHECK(fewer->removed.size() == 2);
    CHECK(fewer->removed.at(0).address() == "a");
}
