// Experiments: plans, results that survive a kill, intervals, differences, explanations and searches.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>
#include <sqlite3.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>

#include "emulator/emulation.h"
#include "lab/explain.h"
#include "lab/report.h"
#include "lab/runner.h"
#include "lab/search.h"

namespace marldale::lab {
namespace {

const char* const kScenario = R"([parameters]
boxes = 6
[fleet]
zones = a, b
boxes = ${boxes}
relays = 10
planners = 2
[clients]
rate = 40
[run]
duration_s = 20
score_from_s = 4
[class read]
share = 3
work = exp 60ms
aim_ms = 500
give_up_ms = 2000
[class write]
work = exp 60ms
aim_ms = 500
give_up_ms = 2000
repeat = fragile
writes = yes
[fault e]
kind = errors
at_s = 6
lasts_s = 12
subject = boxes 30%
strength = 0.9
)";

class Lab : public testing::Test {
protected:
    void SetUp() override {
        directory = testing::TempDir() + "marldalelabXXXXXX";
        ASSERT_NE(mkdtemp(directory.data()), nullptr);
        std::ofstream(path("s.ini")) << kScenario;
    }
    void TearDown() override { std::filesystem::remove_all(directory); }
    [[nodiscard]] std::string path(const std::string& name) const { return directory + "/" + name; }
    Plan planOf(const std::string& text) {
        std::ofstream(path("plan.ini"), std::ios::trunc) << text;
        std::vector<settings::Problem> problems;
        Plan out = readPlan(path("plan.ini"), problems);
        for (const auto& p : problems) ADD_FAILURE() << p.shown();
        return out;
    }
    std::vector<std::string> problemsOf(const std::string& text) {
        std::ofstream(path("plan.ini"), std::ios::trunc) << text;
        std::vector<settings::Problem> problems;
        (void)readPlan(path("plan.ini"), problems);
        std::vector<std::string> out;
        for (const auto& p : problems) out.push_back(p.shown());
        return out;
    }
    static RunId idOf(const Plan& plan) { return {plan.name, plan.text, "test", "build-1", "here"}; }
    std::string directory;
    const std::string twoVariants =
        "[experiment]\nseeds = 1-3\n[scenario errors]\nfile = s.ini\n[variant module]\npolicy = module\n"
        "[variant even]\npolicy = even\n";
};

// ---- Plans ----

TEST_F(Lab, APlanIsItsCellsAndEachCellItsScenario) {
    const Plan plan = planOf(twoVariants + "[size small]\nset = boxes=4\n[size large]\nset = boxes=8\n");
    const auto cells = cellsOf(plan);
    ASSERT_EQ(cells.size(), 12U);
    std::set<std::string> keys;
    for (const Cell& cell : cells) keys.insert(keyOf(plan, cell));
    EXPECT_EQ(keys.size(), 12U);
    EXPECT_EQ(keys.count("errors/large/even/3"), 1U);
    std::vector<settings::Problem> problems;
    const auto s = scenarioOf(plan, cells.back(), problems);
    EXPECT_EQ(s.fleet.boxes, 8U);
    EXPECT_EQ(s.run.seed, 3U);
    EXPECT_EQ(s.planner.policy, emulator::PolicyKind::even);
}

TEST_F(Lab, WhatIsWrongInAPlanIsToldBeforeAnythingIsPlayed) {
    const auto has = [](const std::vector<std::string>& all, const std::string& text) {
        return std::any_of(all.begin(), all.end(),
                           [&](const std::string& t) { return t.find(text) != std::string::npos; });
    };
    EXPECT_TRUE(has(problemsOf("[experiment]\nseeds = 1-3\n"), "there is no [scenario NAME]"));
    EXPECT_TRUE(has(problemsOf("[scenario s]\nfile = nowhere.ini\n"), "nowhere.ini"));
    EXPECT_TRUE(has(problemsOf("[experiment]\nseeds = 5\n[scenario s]\nfile = s.ini\n"), "is no FROM-TO"));
    EXPECT_TRUE(has(problemsOf("[scenario s]\nfile = s.ini\n[variant v]\nset = nothing=1\n"),
                    "has no parameter nothing"));
}

// ---- Results ----

TEST_F(Lab, ResultsAreReadBackAsTheyWere) {
    const Plan plan = planOf(twoVariants);
    Store store(path("r.sqlite"));
    const auto number = store.experiment(idOf(plan));
    std::atomic<bool> stop = false;
    std::size_t told = 0;
    runPlan(plan, store, number, 4, stop, [&](const Progress& p) {
        ++told;
        EXPECT_LE(p.done, p.all);
    });
    EXPECT_EQ(told, 6U);
    const auto results = store.results(number);
    ASSERT_EQ(results.size(), 6U);
    for (const Cell& cell : cellsOf(plan)) {
        std::vector<settings::Problem> problems;
        const CellResult again = play(scenarioOf(plan, cell, problems));
        const CellResult& kept = results.at(keyOf(plan, cell));
        EXPECT_EQ(kept.hash, again.hash) << "the same on any thread";
        EXPECT_EQ(kept.service, again.service);
        EXPECT_EQ(kept.windows.size(), again.windows.size());
        EXPECT_EQ(toJson(fromJson(toJson(again))), toJson(again));
    }
    EXPECT_EQ(store.experiment(idOf(plan)), number) << "the same plan and build";
    RunId other = idOf(plan);
    other.build = "build-2";
    EXPECT_NE(store.experiment(other), number) << "another build's results are not ours";
    EXPECT_EQ(store.list().size(), 2U);
}

TEST_F(Lab, WhatWasStoppedGoesOnWhereItWas) {
    const Plan plan = planOf(twoVariants);
    Store store(path("r.sqlite"));
    const auto number = store.experiment(idOf(plan));
    std::atomic<bool> stop = false;
    runPlan(plan, store, number, 1, stop, [&](const Progress& p) { stop = p.done >= 2; });
    EXPECT_EQ(store.results(number).size(), 2U);
    stop = false;
    std::size_t played = 0;
    runPlan(plan, store, number, 2, stop, [&](const Progress&) { ++played; });
    EXPECT_EQ(played, 4U);
    EXPECT_EQ(store.results(number).size(), 6U);
}

TEST_F(Lab, AKilledRunLeavesWholeResultsOnlyAndIsGoneOnWith) {
    (void)planOf("[experiment]\nseeds = 1-40\n[scenario errors]\nfile = s.ini\n");
    const auto start = [&] {
        const pid_t child = fork();
        if (child == 0) {
            execl(MARLDALE_LAB, "marldale_lab", "experiment", "run", path("plan.ini").c_str(), "--store",
                  path("k.sqlite").c_str(), "--threads", "2", nullptr);
            _exit(127);
        }
        return child;
    };
    const auto count = [&] {
        sqlite3* db = nullptr;
        int out = 0;
        if (sqlite3_open_v2(path("k.sqlite").c_str(), &db, SQLITE_OPEN_READONLY, nullptr) == SQLITE_OK) {
            sqlite3_busy_timeout(db, 2000);
            sqlite3_exec(
                db, "SELECT COUNT(*) FROM result",
                [](void* to, int, char** values, char**) {
                    *static_cast<int*>(to) = std::atoi(values[0]);
                    return 0;
                },
                &out, nullptr);
        }
        sqlite3_close(db);
        return out;
    };
    const pid_t first = start();
    while (count() < 3 && waitpid(first, nullptr, WNOHANG) == 0) usleep(2000);
    kill(first, SIGKILL);
    waitpid(first, nullptr, 0);
    const int kept = count();
    EXPECT_GE(kept, 3);
    const pid_t second = start();
    int status = 0;
    waitpid(second, &status, 0);
    EXPECT_EQ(WEXITSTATUS(status), 0);
    EXPECT_EQ(count(), 40);
    // Each is whole: it can be read.
    Store store(path("k.sqlite"));
    EXPECT_EQ(store.results(store.list().front().number).size(), 40U);
}

TEST_F(Lab, AFileOfResultsThatMayNotGrowEndsTheRunWithAWord) {
    (void)planOf("[experiment]\nseeds = 1-40\n[scenario errors]\nfile = s.ini\n");
    const pid_t child = fork();
    if (child == 0) {
        const rlimit most{30000, 30000};
        setrlimit(RLIMIT_FSIZE, &most);
        execl(MARLDALE_LAB, "marldale_lab", "experiment", "run", path("plan.ini").c_str(), "--store",
              path("f.sqlite").c_str(), nullptr);
        _exit(127);
    }
    int status = 0;
    waitpid(child, &status, 0);
    ASSERT_TRUE(WIFEXITED(status)) << "killed by signal " << WTERMSIG(status);
    EXPECT_EQ(WEXITSTATUS(status), 1);
}

TEST_F(Lab, AFileThatIsNoneAndAResultThatIsSpoiltAreTold) {
    std::ofstream(path("none.sqlite")) << std::string(5000, 'x');
    EXPECT_THROW(Store(path("none.sqlite")), std::runtime_error);
    EXPECT_THROW(Store("/nowhere/r.sqlite"), std::runtime_error);
    EXPECT_THROW((void)fromJson("{"), std::runtime_error);
    EXPECT_THROW((void)fromJson("{\"service\": 1}"), std::runtime_error);
}

// ---- Statistics ----

TEST(Experiments, ThisBuildsOrTheOneThatIsNamedIsMeant) {
    const auto listed = [](std::int64_t number, const char* text, const char* build, std::size_t results) {
        return Store::Listed{number, {"p", text, "1", build, "h"}, "", results};
    };
    const std::vector<Store::Listed> all = {listed(1, "t", "old", 5), listed(2, "t", "new", 0),
                                            listed(3, "u", "new", 2), listed(4, "t", "newest", 7)};
    EXPECT_EQ(choose(all, {"p", "t", "1", "newest", "h"}, 0).number, 4);
    EXPECT_EQ(choose(all, {"p", "t", "1", "newest", "h"}, 1).number, 1);
    const auto wrong = [&](const RunId& id, std::int64_t number) -> std::string {
        try {
            (void)choose(all, id, number);
        } catch (const std::runtime_error& e) {
            return e.what();
        }
        return "";
    };
    EXPECT_EQ(wrong({"p", "t", "1", "new", "h"}, 0),
              "there are no results of this plan and build: run it first; build old has 5: --experiment 1; "
              "build newest has "
              "7: --experiment 4");
    EXPECT_EQ(wrong({"p", "t", "1", "new", "h"}, 3), "experiment 3 is of another plan");
    EXPECT_FALSE(wrong({"p", "x", "1", "new", "h"}, 9).empty());
}

TEST(Statistics, AnIntervalHoldsTheTruthAboutAsOftenAsItSays) {
    emulator::Stream random(3, "interval");
    int held = 0;
    constexpr int kTimes = 300;
    for (int i = 0; i < kTimes; ++i) {
        std::vector<double> values;
        for (int n = 0; n < 20; ++n) values.push_back(0.3 + random.normal());
        const Interval interval = bootstrap(values, static_cast<std::uint64_t>(i), 1000);
        held += interval.low <= 0.3 && 0.3 <= interval.high ? 1 : 0;
    }
    // 95% of 300, less what the bootstrap is known to be short of with twenty values.
    EXPECT_GT(held, 265);
    EXPECT_LT(held, 299);
}

TEST(Statistics, NothingIsNotTakenForSomething) {
    const Interval none = bootstrap({0.1, -0.1, 0.05, -0.07, 0.02, -0.01});
    EXPECT_FALSE(none.clear());
    const Interval some = bootstrap({0.1, 0.12, 0.08, 0.11, 0.09, 0.1});
    EXPECT_TRUE(some.clear());
    EXPECT_NEAR(some.mean, 0.1, 1e-9);
    EXPECT_FALSE(bootstrap({0.1}).clear()) << "one seed proves nothing";
    EXPECT_NEAR(rankCorrelation({1, 2, 3, 4}, {10, 20, 30, 90}), 1, 1e-9);
    EXPECT_NEAR(rankCorrelation({1, 2, 3, 4}, {4, 3, 2, 1}), -1, 1e-9);
    EXPECT_EQ(rankCorrelation({1, 1, 1}, {1, 2, 3}), 0);
    EXPECT_NEAR(quantile({4, 1, 3, 2}, 0.5), 2.5, 1e-9);
}

TEST_F(Lab, DifferencesArePairedBySeedAndSayWhatMayBeChance) {
    Plan plan = planOf(twoVariants);
    Results results;
    for (std::uint64_t seed = 1; seed <= 3; ++seed) {
        CellResult one, other;
        one.service = 0.5 + 0.1 * static_cast<double>(seed);
        other.service = one.service + 0.02;
        one.messages = 100;
        other.messages = 100 + (seed == 2 ? 10 : seed == 1 ? -10 : 1);
        results[keyOf(plan, {0, 0, 0, seed})] = one;
        results[keyOf(plan, {0, 0, 1, seed})] = other;
    }
    const auto all = compare(plan, results, "module", "even");
    const auto of = [&](const std::string& figure) {
        return *std::find_if(all.begin(), all.end(), [&](const Difference& d) { return d.figure == figure; });
    };
    EXPECT_NEAR(of("service").by.mean, 0.02, 1e-9);
    EXPECT_EQ(of("service").verdict(), "more") << "though the seeds differ by far more than the variants";
    EXPECT_EQ(of("messages").verdict(), "may be chance");
    EXPECT_EQ(of("broken rules").verdict(), "the same");
    EXPECT_THROW((void)compare(plan, results, "module", "other"), std::runtime_error);
    EXPECT_NE(shown(all, "module", "even").find("| errors | usual | service | +0.02 |"), std::string::npos);
}

TEST_F(Lab, AReportHasItsTablesItsChartsAndALineForEachResult) {
    const Plan plan = planOf(twoVariants);
    Store store(path("r.sqlite"));
    const auto number = store.experiment(idOf(plan));
    std::atomic<bool> stop = false;
    runPlan(plan, store, number, 4, stop, [](const Progress&) {});
    writeReport(plan, idOf(plan), store.results(number), path("report"));
    std::ifstream file(path("report/report.md"));
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    EXPECT_NE(text.find("| module | 3 | "), std::string::npos) << text;
    EXPECT_NE(text.find("From module to even"), std::string::npos);
    std::ifstream csv(path("report/results.csv"));
    std::string line;
    int lines = 0;
    while (std::getline(csv, line)) ++lines;
    EXPECT_EQ(lines, 7);
    for (const char* chart :
         {"errors-service.svg", "errors-service.png", "errors-queue.svg", "errors-p95.png"}) {
        EXPECT_GT(std::filesystem::file_size(path(std::string("report/") + chart)), 1000U) << chart;
    }
}

// ---- Explanations ----

TEST_F(Lab, AWishIsFollowedThroughAllThatBecameOfIt) {
    std::vector<settings::Problem> problems;
    auto s = emulator::readScenario(path("s.ini"), {}, problems);
    (void)play(s, path("one.log"));
    const auto failed = wishesThatEnded(path("one.log"), emulator::End::failed, 5);
    ASSERT_FALSE(failed.empty());
    const auto chain = chainOf(path("one.log"), failed.front());
    const auto has = [&](emulator::Kind kind) {
        return std::any_of(chain.begin(), chain.end(),
                           [&](const emulator::Event& e) { return e.kind == kind; });
    };
    EXPECT_TRUE(has(emulator::Kind::wish));
    EXPECT_TRUE(has(emulator::Kind::holds));
    EXPECT_TRUE(has(emulator::Kind::tried));
    EXPECT_TRUE(has(emulator::Kind::answered));
    EXPECT_TRUE(has(emulator::Kind::wishDone));
    EXPECT_TRUE(chainOf(path("one.log"), 4000000000U).empty());
    EXPECT_TRUE(wishesDoubled(path("one.log"), 5).empty());
}

TEST_F(Lab, WhereTwoVersionsPartIsFound) {
    std::vector<settings::Problem> problems;
    auto s = emulator::readScenario(path("s.ini"), {}, problems);
    (void)play(s, path("one.log"));
    (void)play(s, path("same.log"));
    EXPECT_FALSE(partingOf(path("one.log"), path("same.log")).parts);
    s.faults[0].strength = 0.8;  // from 6 s on some tries end otherwise
    (void)play(s, path("other.log"));
    const Parting parting = partingOf(path("one.log"), path("other.log"));
    ASSERT_TRUE(parting.parts);
    ASSERT_FALSE(parting.one.empty());
    ASSERT_FALSE(parting.other.empty());
    ASSERT_EQ(parting.before.size(), 12U);
    EXPECT_GE(parting.one[0].at, 6000000);
    EXPECT_LT(parting.one[0].at, 8000000);
    EXPECT_NE(std::memcmp(&parting.one[0], &parting.other[0], sizeof(emulator::Event)), 0);
}

// ---- Search ----

TEST_F(Lab, ASearchFindsAWorseDayAndTheSmallestPlanThatIsAsBad) {
    std::vector<settings::Problem> problems;
    auto base = emulator::readScenario(path("s.ini"), {}, problems);
    base.faults.clear();
    SearchSettings settings;
    settings.random = 10;
    settings.guided = 8;
    settings.faults = 3;
    settings.threads = 4;
    settings.kinds = {emulator::FaultKind::errors, emulator::FaultKind::silence, emulator::FaultKind::surge};
    std::vector<std::string> lines;
    const Found worst = searchWorst(base, settings, [&](const std::string& line) { lines.push_back(line); });
    EXPECT_EQ(worst.runs, 18U);
    EXPECT_FALSE(lines.empty());
    const double quiet = play(base).service;
    EXPECT_LT(worst.result.service, quiet);
    settings.threads = 1;
    EXPECT_EQ(searchWorst(base, settings, [](const std::string&) {}).result.hash, worst.result.hash);
    // A fault that does nothing is left out when it is made small.
    auto padded = worst.scenario;
    emulator::Fault idle;
    idle.name = "idle";
    idle.kind = emulator::FaultKind::slowLink;
    idle.strength = 0;
    idle.subject = emulator::parseSubject("zone a");
    padded.faults.push_back(idle);
    const Found small = shrink(padded, 60, [](const std::string&) {});
    EXPECT_LE(small.scenario.faults.size(), worst.scenario.faults.size());
    EXPECT_TRUE(std::none_of(small.scenario.faults.begin(), small.scenario.faults.end(),
                             [](const emulator::Fault& f) { return f.name == "idle"; }));
    EXPECT_GE(quiet - small.result.service, 0.9 * (quiet - worst.result.service) - 1e-9);
}

}  // namespace
}  // namespace marldale::lab
