// Simulates thousands of histories of replicas whose machines, disks and links fail, and checks that they
// detect each fault injected into the replica. Environment variables: MARLDALE_RAFT_HISTORIES (number of
// histories), MARLDALE_RAFT_SEED (first seed), MARLDALE_RAFT_HUNT (most histories per injected fault),
// MARLDALE_RAFT_FIGURES (prints statistics), MARLDALE_RAFT_TRACE (prints each step).
#include <catch2/catch.hpp>
#include <cstdlib>
#include <ctime>
#include <iostream>

#include "raft_world.h"

using namespace marldale::raft;
using world::Plan;
using world::Statistics;
using world::Violation;
using world::World;

namespace {

std::uint64_t setting(const char* variable, std::uint64_t defaultValue) {
    const char* text = std::getenv(variable);
    return text == nullptr ? defaultValue : std::strtoull(text, nullptr, 10);
}

// The first violation in one history, if any.
std::optional<std::string> violationIn(const Plan& plan, Statistics* into = nullptr) {
    World world(plan);
    try {
        const Statistics statistics = world.run();
        if (into != nullptr) into->add(statistics);
        return std::nullopt;
    } catch (const Violation& violation) {
        return world.describe() + ": " + violation.what();
    }
}

// For one minute, machines stop, return and are replaced as soon as the previous ones no longer count as
// lost.
Plan replacementPlan(std::uint64_t seed) {
    static constexpr std::size_t kSizes[] = {3, 4, 4, 5, 7};
    Plan plan;
    plan.seed = seed;
    plan.replacements = true;
    plan.machines = kSizes[seed % std::size(kSizes)];
    plan.faultDuration = 60 * world::kSecond;
    return plan;
}

}  // namespace

TEST_CASE("Histories keep acknowledged changes, one leader per term, linearizable reads, and progress",
          "[raft][world]") {
    const std::uint64_t first = setting("MARLDALE_RAFT_SEED", 1);
    const std::uint64_t histories = setting("MARLDALE_RAFT_HISTORIES", 2000);
    Statistics statistics;
    const std::clock_t startTime = std::clock();
    std::uint64_t failed = 0;
    for (std::uint64_t seed = first; seed < first + histories && failed < 10; ++seed) {
        Plan plan;
        plan.seed = seed;
        const auto violation = violationIn(plan, &statistics);
        INFO(violation.value_or(""));
        CHECK(!violation);
        failed += violation ? 1 : 0;
    }
    if (std::getenv("MARLDALE_RAFT_FIGURES") != nullptr)
        std::cout << histories << " histories, "
                  << static_cast<double>(std::clock() - startTime) / CLOCKS_PER_SEC
                  << " s: " << statistics.acknowledged << " acknowledged, " << statistics.refused
                  << " refused, " << statistics.unclear << " unclear, " << statistics.reads << " reads, "
                  << statistics.messages << " messages, " << statistics.writes << " writes, "
                  << statistics.elections << " leaders, " << statistics.kills << " kills, "
                  << statistics.powerLosses << " power losses, " << statistics.wipes << " wipes, "
                  << statistics.installs << " installs, " << statistics.changes
                  << " applied membership changes; end of faults to acknowledgement at most "
                  << statistics.maxRecoveryToAck << " us, to all machines " << statistics.maxRecoveryToAll
                  << " us\n";
}

TEST_CASE("Replacements in immediate succession leave enough voters for the next loss", "[raft][world]") {
    const std::uint64_t first = setting("MARLDALE_RAFT_SEED", 1);
    const std::uint64_t histories = setting("MARLDALE_RAFT_HISTORIES", 2000) / 4;
    Statistics statistics;
    std::uint64_t failed = 0;
    for (std::uint64_t seed = first; seed < first + histories && failed < 10; ++seed) {
        const auto violation = violationIn(replacementPlan(seed), &statistics);
        INFO(violation.value_or(""));
        CHECK(!violation);
        failed += violation ? 1 : 0;
    }
    if (std::getenv("MARLDALE_RAFT_FIGURES") != nullptr)
        std::cout << histories << " histories of replacements: " << statistics.steps << " steps, "
                  << statistics.wipes << " wipes, " << statistics.maxChangesPerMinute
                  << " membership changes in a minute at most, " << statistics.slowestPromotion
                  << " us from a start to being a voter at most\n";
}

TEST_CASE("Histories detect each injected fault", "[raft][world]") {
    struct InjectedFault {
        const char* name;
        void (*inject)(Plan&);
    };
    static const InjectedFault kInjectedFaults[] = {
        {"a vote is granted before it is on disk",
         [](Plan& plan) { plan.faults.answersVoteUnsynced = true; }},
        {"entries are acknowledged before they are on disk",
         [](Plan& plan) { plan.faults.answersAppendUnsynced = true; }},
        {"a leader counts its own entries before they are on disk",
         [](Plan& plan) { plan.faults.countsOwnUnsynced = true; }},
        {"reads without a round of heartbeats", [](Plan& plan) { plan.faults.readsWithoutRound = true; }},
        {"votes for shorter logs", [](Plan& plan) { plan.faults.votesForShorterLogs = true; }},
        {"members change before the last change is committed",
         [](Plan& plan) {
             plan.faults.changesAtOnce = plan.beyondTolerance = true, plan.machines = 3,
             plan.leaderSplitPercent = 30;
         }},
        {"members change without the outgoing majority",
         [](Plan& plan) {
             plan.faults.forgetsOutgoing = plan.beyondTolerance = true, plan.machines = 3,
             plan.leaderSplitPercent = 30;
         }},
        {"a member is identified by its address alone",
         [](Plan& plan) { plan.faults.ignoresNumbers = true; }},
        {"a message counts from its arrival", [](Plan& plan) { plan.faults.trustsArrival = true; }},
        {"a snapshot is installed over a newer state",
         [](Plan& plan) { plan.faults.installsOlderSnapshots = true; }},
        {"the entry after an installed snapshot isn't written",
         [](Plan& plan) { plan.faults.losesEntryAfterSnapshot = true; }},
        {"a wiped seed returns with its old identity", [](Plan& plan) { plan.wipedKeepsNumber = true; }},
        {"a silent voter is never replaced",
         [](Plan& plan) { plan = replacementPlan(plan.seed), plan.faults.keepsSilentVoter = true; }},
        {"voters are chosen without their zones",
         [](Plan& plan) { plan = replacementPlan(plan.seed), plan.faults.ignoresZones = true; }},
    };
    const std::uint64_t maxHistories = setting("MARLDALE_RAFT_HUNT", 4000);
    for (const auto& fault : kInjectedFaults) {
        std::optional<std::string> found;
        std::uint64_t seed = 0;
        while (!found && seed < maxHistories) {
            Plan plan;
            plan.seed = ++seed;
            fault.inject(plan);
            found = violationIn(plan);
        }
        INFO(fault.name);
        CHECK(found);
        if (std::getenv("MARLDALE_RAFT_FIGURES") != nullptr)
            std::cout << fault.name << ": after " << seed << " histories: " << found.value_or("not found")
                      << "\n";
    }
}
