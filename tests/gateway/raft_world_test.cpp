// Thousands of histories of replicas whose machines, disks and links fail; and faults planted in the replica,
// each of which the histories must find. Variables: MARLDALE_RAFT_HISTORIES of them from MARLDALE_RAFT_SEED
// on, at most MARLDALE_RAFT_HUNT for a fault; MARLDALE_RAFT_FIGURES prints figures, MARLDALE_RAFT_TRACE each
// step.
#include <catch2/catch.hpp>
#include <cstdlib>
#include <ctime>
#include <iostream>

#include "raft_world.h"

using namespace marldale::raft;
using world::Broken;
using world::Figures;
using world::Plan;
using world::World;

namespace {

std::uint64_t count(const char* variable, std::uint64_t otherwise) {
    const char* text = std::getenv(variable);
    return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

// What breaks first, if anything.
std::optional<std::string> broken(const Plan& plan, Figures* into = nullptr) {
    World world(plan);
    try {
        const Figures figures = world.run();
        if (into != nullptr) into->add(figures);
        return std::nullopt;
    } catch (const Broken& b) {
        return world.about() + ": " + b.what();
    }
}

// Machines go, come and are replaced for a minute, each as soon as the ones before count no more as lost.
Plan replacements(std::uint64_t seed) {
    static constexpr std::size_t kSizes[] = {3, 4, 4, 5, 7};
    Plan plan;
    plan.seed = seed;
    plan.replacements = true;
    plan.machines = kSizes[seed % std::size(kSizes)];
    plan.troubles = 60 * world::kSecond;
    return plan;
}

}  // namespace

TEST_CASE("Histories keep what is acknowledged, one leader a term, fresh reads, and progress",
          "[raft][world]") {
    const std::uint64_t first = count("MARLDALE_RAFT_SEED", 1);
    const std::uint64_t histories = count("MARLDALE_RAFT_HISTORIES", 2000);
    Figures figures;
    const std::clock_t began = std::clock();
    std::uint64_t failed = 0;
    for (std::uint64_t seed = first; seed < first + histories && failed < 10; ++seed) {
        Plan plan;
        plan.seed = seed;
        const auto sentence = broken(plan, &figures);
        INFO(sentence.value_or(""));
        CHECK(!sentence);
        failed += sentence ? 1 : 0;
    }
    if (std::getenv("MARLDALE_RAFT_FIGURES") != nullptr)
        std::cout << histories << " histories, " << static_cast<double>(std::clock() - began) / CLOCKS_PER_SEC
                  << " s: " << figures.acknowledged << " acknowledged, " << figures.refused << " refused, "
                  << figures.unclear << " unclear, " << figures.reads << " reads, " << figures.messages
                  << " messages, " << figures.writes << " writes, " << figures.elections << " leaders, "
                  << figures.kills << " kills, " << figures.powerLosses << " power losses, " << figures.wipes
                  << " wipes, " << figures.installs << " installs, " << figures.changes
                  << " applied changes of members; calm to ack at most " << figures.calmToAck
                  << " us, to all " << figures.calmToAll << " us\n";
}

TEST_CASE("Replacements one right after the other keep what may be lost next", "[raft][world]") {
    const std::uint64_t first = count("MARLDALE_RAFT_SEED", 1);
    const std::uint64_t histories = count("MARLDALE_RAFT_HISTORIES", 2000) / 4;
    Figures figures;
    std::uint64_t failed = 0;
    for (std::uint64_t seed = first; seed < first + histories && failed < 10; ++seed) {
        const auto sentence = broken(replacements(seed), &figures);
        INFO(sentence.value_or(""));
        CHECK(!sentence);
        failed += sentence ? 1 : 0;
    }
    if (std::getenv("MARLDALE_RAFT_FIGURES") != nullptr)
        std::cout << histories << " histories of replacements: " << figures.steps << " steps, "
                  << figures.wipes << " wipes, " << figures.changesInMinute
                  << " changes of members in a minute at most, " << figures.slowestVote
                  << " us from a start to the vote at most\n";
}

TEST_CASE("Histories find each planted fault", "[raft][world]") {
    struct Planted {
        const char* name;
        void (*plant)(Plan&);
    };
    static const Planted kAll[] = {
        {"a vote is answered before it is on disk", [](Plan& p) { p.faults.answersVoteUnsynced = true; }},
        {"entries are answered before they are on disk",
         [](Plan& p) { p.faults.answersAppendUnsynced = true; }},
        {"a leader counts its own entries before they are on disk",
         [](Plan& p) { p.faults.countsOwnUnsynced = true; }},
        {"reads without a round", [](Plan& p) { p.faults.readsWithoutRound = true; }},
        {"votes for shorter logs", [](Plan& p) { p.faults.votesForShorterLogs = true; }},
        {"members change before the last change is committed",
         [](Plan& p) { p.faults.changesAtOnce = p.wild = true, p.machines = 3, p.splits = 30; }},
        {"members change without the outgoing majority",
         [](Plan& p) { p.faults.forgetsOutgoing = p.wild = true, p.machines = 3, p.splits = 30; }},
        {"a member is told by its address alone", [](Plan& p) { p.faults.ignoresNumbers = true; }},
        {"word counts from its arrival", [](Plan& p) { p.faults.trustsArrival = true; }},
        {"a snapshot is installed over a newer state",
         [](Plan& p) { p.faults.installsOlderSnapshots = true; }},
        {"the entry after an installed snapshot isn't written",
         [](Plan& p) { p.faults.losesEntryAfterSnapshot = true; }},
        {"a wiped seed returns as the seed", [](Plan& p) { p.wipedKeepsNumber = true; }},
        {"a silent voter is never replaced",
         [](Plan& p) { p = replacements(p.seed), p.faults.keepsSilentVoter = true; }},
        {"voters are chosen without their zones",
         [](Plan& p) { p = replacements(p.seed), p.faults.ignoresZones = true; }},
    };
    const std::uint64_t most = count("MARLDALE_RAFT_HUNT", 4000);
    for (const auto& planted : kAll) {
        std::optional<std::string> found;
        std::uint64_t seed = 0;
        while (!found && seed < most) {
            Plan plan;
            plan.seed = ++seed;
            planted.plant(plan);
            found = broken(plan);
        }
        INFO(planted.name);
        CHECK(found);
        if (std::getenv("MARLDALE_RAFT_FIGURES") != nullptr)
            std::cout << planted.name << ": after " << seed << " histories: " << found.value_or("not found")
                      << "\n";
    }
}
