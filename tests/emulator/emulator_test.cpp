// The emulator: distributions, scenario files, boxes against theory, conservation, and the same run twice.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <cmath>
#include <filesystem>
#include <fstream>
#include <future>
#include <iterator>
#include <map>
#include <set>

#include "known.h"

namespace marldale::emulator {
namespace {

using tests::kSmall;
using tests::Played;
using tests::scenarioOf;

// ---- Distributions ----

TEST(Distributions, HaveTheMeanAndVarianceThatTheySay) {
    for (const char* text : {"fixed 5ms", "exp 110ms", "uniform 10ms 30ms", "lognormal 100ms 0.5",
                             "erlang 4 80ms", "samples 1ms 2ms 9ms"}) {
        const Distribution d = Distribution::parse(text);
        Stream random(7, text);
        double sum = 0, squares = 0;
        constexpr int kDraws = 200000;
        for (int i = 0; i < kDraws; ++i) {
            const double x = d.draw(random);
            ASSERT_GE(x, 0);
            sum += x;
            squares += x * x;
        }
        const double mean = sum / kDraws, variance = squares / kDraws - mean * mean;
        EXPECT_NEAR(mean / d.mean(), 1, 0.02) << text;
        EXPECT_NEAR(variance, d.variance(), 0.05 * d.variance() + 1e-3) << text;
    }
}

TEST(Distributions, WhatIsNoneIsToldInOneSentence) {
    const auto wrong = [](const char* text) {
        try {
            (void)Distribution::parse(text);
            return std::string("taken");
        } catch (const std::invalid_argument& e) {
            return std::string(e.what());
        }
    };
    EXPECT_EQ(wrong("exp"), "exp takes 1 figures");
    EXPECT_EQ(wrong("exp 5"), "5 is no span of time, as 5ms, 1.5s or 300us");
    EXPECT_EQ(wrong("uniform 5ms 2ms"), "uniform: the first figure is above the second");
    EXPECT_EQ(wrong("pareto 1ms 2"), "pareto is none of fixed, exp, uniform, lognormal, erlang, samples");
    EXPECT_EQ(wrong(""), "a distribution is missing");
    EXPECT_NE(wrong("fixed -1ms"), "taken");
    EXPECT_NE(wrong("fixed nan"), "taken");
    EXPECT_NE(wrong("lognormal 5ms 99"), "taken");
}

// ---- Scenario files ----

std::vector<std::string> problemsOf(const std::string& text, const Parameters& parameters = {}) {
    std::vector<settings::Problem> problems;
    (void)parseScenario("s.ini", text, parameters, problems);
    std::vector<std::string> out;
    for (const auto& p : problems) out.push_back(p.shown());
    return out;
}

TEST(Scenarios, AllThatIsWrongIsToldWithItsLine) {
    const auto all = problemsOf(
        "[fleet]\nzones = a\nboxs = 3\n[class x]\nwork = exp\ngive_up_ms = 100\n[fault f]\nkind = crash\n"
        "subject = boxes 300%\n[fault g]\nkind = crush\nsubject = zone q\n[run]\nduration_s = 1\n");
    const auto has = [&](const std::string& text) {
        return std::any_of(all.begin(), all.end(),
                           [&](const std::string& p) { return p.find(text) != std::string::npos; });
    };
    EXPECT_TRUE(has("s.ini:3: ")) << ::testing::PrintToString(all);
    EXPECT_TRUE(has("boxes")) << "the nearest name";
    EXPECT_TRUE(has("s.ini:5: "));
    EXPECT_TRUE(has("exp takes 1 figures"));
    EXPECT_TRUE(has("s.ini:9: "));
    EXPECT_TRUE(has("needs a share, as boxes 20%"));
    EXPECT_TRUE(has("s.ini:11: "));
    EXPECT_TRUE(has("give_up_ms is below aim_ms"));
    EXPECT_TRUE(has("there is no zone q"));
    EXPECT_TRUE(has("score_from_s is not before duration_s"));
}

TEST(Scenarios, ParametersAreFilledInAndMayBeGiven) {
    const std::string text =
        std::string("[parameters]\nn = 4\n") + kSmall + "[network]\nbetween_us = ${n}000\n";
    EXPECT_EQ(scenarioOf(text).network.between, 4000);
    EXPECT_EQ(scenarioOf(text, {{"n", "7"}}).network.between, 7000);
    EXPECT_EQ(problemsOf(text, {{"m", "7"}}),
              std::vector<std::string>{"s.ini: the scenario has no parameter m"});
    EXPECT_EQ(problemsOf("[network]\nbetween_us = ${k}\n[class x]\nshare = 1\n").front(),
              "s.ini:2: there is no parameter k");
}

TEST(Scenarios, IncludesAreReadFirstAndMayBeOverruled) {
    std::string directory = testing::TempDir() + "marldalescenarioXXXXXX";
    ASSERT_NE(mkdtemp(directory.data()), nullptr);
    std::ofstream(directory + "/base.ini") << kSmall;
    std::ofstream(directory + "/top.ini") << "[include]\nfile = base.ini\n[fleet]\nboxes = 5\n";
    std::ofstream(directory + "/loop.ini") << "[include]\nfile = loop.ini\n";
    std::vector<settings::Problem> problems;
    const Scenario s = readScenario(directory + "/top.ini", {}, problems);
    EXPECT_TRUE(problems.empty());
    EXPECT_EQ(s.fleet.boxes, 5U);
    EXPECT_EQ(s.fleet.relays, 20U);
    EXPECT_EQ(s.name, "top");
    (void)readScenario(directory + "/loop.ini", {}, problems);
    ASSERT_FALSE(problems.empty());
    EXPECT_NE(problems.front().text.find("includes go too deep"), std::string::npos);
    // Each level doubles what is read: it ends all the same, with few words.
    std::ofstream(directory + "/loop.ini") << "[include]\nfile = loop.ini\n[include]\nfile = loop.ini\n";
    problems.clear();
    (void)readScenario(directory + "/loop.ini", {}, problems);
    EXPECT_LT(problems.size(), 20U);
    std::ofstream(directory + "/wide.ini") << [] {
        std::string out;
        for (int i = 0; i < 100; ++i) out += "[include]\nfile = base.ini\n";
        return out;
    }();
    problems.clear();
    (void)readScenario(directory + "/wide.ini", {}, problems);
    ASSERT_FALSE(problems.empty());
    EXPECT_EQ(problems.front().text, "there are too many includes");
    std::filesystem::remove_all(directory);
}

TEST(Scenarios, TheLibraryIsReadWithoutAProblemAndSaysWhatItTeaches) {
    std::size_t count = 0;
    for (const auto& file : std::filesystem::directory_iterator(MARLDALE_SCENARIOS)) {
        if (file.path().extension() != ".ini" || file.path().stem() == "common") continue;
        std::vector<settings::Problem> problems;
        const Scenario s = readScenario(file.path().string(), {}, problems);
        for (const auto& p : problems) ADD_FAILURE() << p.shown();
        EXPECT_FALSE(s.teaches.empty()) << file.path();
        ++count;
    }
    EXPECT_GE(count, 8U);
}

RC_GTEST_PROP(ScenarioProperty, AFaultIsReadBackAsItIsShown, (std::uint32_t seed)) {
    Stream random(seed, "fault");
    Fault f;
    f.name = "x";
    f.kind = static_cast<FaultKind>(random.below(static_cast<std::uint32_t>(FaultKind::count_)));
    f.at = random.below(60000) * 1000;
    f.lasts = random.below(60000) * 1000;
    f.strength = random.below(1000) / 8.0;
    f.every = (1 + random.below(5000)) * 1000;
    const char* const subjects[] = {"box 3",   "boxes 25%", "zone a",       "zone b boxes 50%",
                                    "relay 7", "planner 1", "planners 100%"};
    f.subject = parseSubject(subjects[random.below(7)]);
    const Scenario s = scenarioOf(kSmall + shown(f));
    RC_ASSERT(s.faults.size() == 1U);
    const Fault& back = s.faults[0];
    RC_ASSERT(back.kind == f.kind);
    RC_ASSERT(back.at == f.at);
    RC_ASSERT(back.lasts == f.lasts);
    RC_ASSERT(back.every == f.every);
    RC_ASSERT(std::abs(back.strength - f.strength) < 1e-6);
    RC_ASSERT(back.subject == f.subject);
}

// ---- Boxes ----

struct BoxRig {
    explicit BoxRig(Discipline discipline, int cores = 1) {
        settings.discipline = discipline;
        settings.cores = cores;
        settings.speedSpread = 0;
        settings.connectWork = 0;
        settings.queueMost = 3;
    }
    Box box(bool cold = false) const { return {settings, 0, 0, 1000, cold, 1, 0}; }
    BoxSettings settings;
};
Box::Job job(std::uint32_t number, double work, Micros came) { return {number, work, came, false}; }

std::vector<std::uint32_t> orderOf(Box& box, std::vector<Micros>* times = nullptr) {
    std::vector<std::uint32_t> out;
    Micros now = 1000;
    while (const auto next = box.nextDone(now)) {
        now = *next;
        for (const Box::Job& j : box.done(now)) {
            out.push_back(j.attempt);
            if (times != nullptr) times->push_back(now);
        }
    }
    return out;
}

TEST(Boxes, ServeInTheOrderOfTheirDiscipline) {
    for (const auto& [discipline, expected] :
         {std::pair{Discipline::fifo, std::vector<std::uint32_t>{0, 1, 2}},
          std::pair{Discipline::lifo, std::vector<std::uint32_t>{0, 2, 1}},
          std::pair{Discipline::sharing, std::vector<std::uint32_t>{2, 1, 0}}}) {
        const BoxRig rig(discipline);
        Box box = rig.box();
        ASSERT_FALSE(box.offer(job(0, 900, 1000), false, 1000));
        ASSERT_FALSE(box.offer(job(1, 500, 1000), false, 1000));
        ASSERT_FALSE(box.offer(job(2, 300, 1000), false, 1000));
        std::vector<Micros> times;
        EXPECT_EQ(orderOf(box, &times), expected);
        EXPECT_NEAR(static_cast<double>(times.back()), 2700, 3) << "all of the work, whatever the order";
    }
}

TEST(Boxes, QueuesConnectionsAndDrainsHaveTheirBounds) {
    const BoxRig rig(Discipline::fifo);
    Box box = rig.box();
    for (std::uint32_t i = 0; i < 4; ++i) ASSERT_FALSE(box.offer(job(i, 1000, 1000), false, 1000));
    EXPECT_EQ(box.offer(job(4, 1000, 1000), false, 1000), TurnedAway::full);
    EXPECT_TRUE(box.cancel(2, 1000));
    EXPECT_FALSE(box.cancel(0, 1000)) << "it runs";
    EXPECT_FALSE(box.offer(job(5, 1000, 1000), false, 1000)) << "what was cancelled has made room";
    box.set(BoxState::draining, 1000);
    EXPECT_EQ(box.offer(job(6, 1000, 1000), false, 1000), TurnedAway::drains);
    EXPECT_EQ(orderOf(box), (std::vector<std::uint32_t>{0, 1, 3, 5})) << "what it has it finishes";
    box.set(BoxState::gone, 90000);
    EXPECT_EQ(box.offer(job(7, 1, 90000), false, 90000), TurnedAway::notThere);
}

TEST(Boxes, ASilentOneTakesEverythingAndAnswersWhenItIsOver) {
    const BoxRig rig(Discipline::fifo);
    Box box = rig.box();
    box.troubles.silent = 1;
    box.speedChanged(1000);
    ASSERT_FALSE(box.offer(job(0, 500, 1000), false, 1000));
    EXPECT_FALSE(box.nextDone(1000));
    box.troubles.silent = 0;
    box.speedChanged(9000);
    EXPECT_EQ(box.nextDone(9000), 9500);
}

TEST(Boxes, ASpeedThatChangesInTheMiddleCountsFromThen) {
    const BoxRig rig(Discipline::fifo);
    Box box = rig.box();
    ASSERT_FALSE(box.offer(job(0, 1000, 1000), false, 1000));
    box.troubles.speed = 0.5;
    box.speedChanged(1400);  // 600 of work are left
    EXPECT_EQ(box.nextDone(1400), 2600);
}

TEST(Boxes, AColdOneThatIsSentTooMuchForTooLongFallsOver) {
    BoxRig rig(Discipline::fifo, 2);
    rig.settings.queueMost = 100000;
    for (const double multiple : {3.0, 6.0}) {
        Box box = rig.box(true);
        bool fell = false;
        // Every 10 ms so much work that it is `multiple` times what it can do at first.
        for (Micros now = 1000; now < 6000000 && !fell; now += 10000) {
            (void)box.offer(job(0, multiple * 2 * 0.35 * 10000, now), false, now);
            fell = box.fellOver();
        }
        EXPECT_EQ(fell, multiple > 4);
        EXPECT_EQ(box.nextDone(6000000).has_value(), !fell);
    }
}

RC_GTEST_PROP(BoxProperty, NoWorkIsLostOrDoneTwiceWhateverItsSpeedDoes, (std::uint32_t seed)) {
    Stream random(seed, "box");
    BoxRig rig(static_cast<Discipline>(random.below(3)), 1 + static_cast<int>(random.below(3)));
    rig.settings.queueMost = 50;
    Box box = rig.box(random.chance(0.5));
    std::set<std::uint32_t> inside;
    std::uint32_t next = 0;
    Micros now = 1000;
    for (int i = 0; i < 300; ++i) {
        now += random.below(2000);
        for (const Box::Job& j : box.done(now)) RC_ASSERT(inside.erase(j.attempt) == 1U);
        switch (random.below(4)) {
            case 0:
            case 1:
                if (!box.offer(job(next, random.uniform(1, 3000), now), random.chance(0.3), now))
                    inside.insert(next);
                ++next;
                break;
            case 2:
                box.troubles.speed = random.uniform(0.1, 2);
                box.troubles.paused = random.chance(0.2) ? 1 : 0;
                box.speedChanged(now);
                break;
            default: break;
        }
        RC_ASSERT(box.jobs() == inside.size());
        if (const auto at = box.nextDone(now)) RC_ASSERT(*at >= now);
    }
    box.troubles = {};
    box.speedChanged(now);
    for (const std::uint32_t j : orderOf(box)) RC_ASSERT(inside.erase(j) == 1U);
    RC_ASSERT(inside.empty());
}

// ---- Theory ----

TEST(Theory, WaitingTimesAreThoseOfTheQueuesThatAreKnown) {
    for (const tests::Queue& queue : tests::queues()) {
        const tests::Sojourn seen = tests::sojournOf(queue.scenario);
        EXPECT_NEAR(seen.mean / queue.mean, 1, 0.06) << queue.name;
        EXPECT_NEAR(seen.inside / (seen.arrivals * seen.mean), 1, 0.01) << "Little's law: " << queue.name;
    }
}

// ---- Whole runs ----

TEST(Runs, TheSameScenarioAndSeedGiveTheSameLogOnAnyNumberOfThreads) {
    const std::string text = std::string(kSmall) + "[drawn_faults]\ncount = 4\nfrom_s = 5\n";
    const auto run = [&](std::uint64_t seed) {
        Scenario s = scenarioOf(text);
        s.run.seed = seed;
        return Played(std::move(s)).log.hash();
    };
    const std::uint64_t one = run(1);
    EXPECT_EQ(run(1), one);
    EXPECT_NE(run(2), one);
    std::vector<std::future<std::uint64_t>> many;
    for (int i = 0; i < 8; ++i)
        many.push_back(
            std::async(std::launch::async, [&, i] { return run(1 + static_cast<std::uint64_t>(i % 2)); }));
    for (int i = 0; i < 8; ++i) EXPECT_EQ(many[static_cast<std::size_t>(i)].get() == one, i % 2 == 0);
}

TEST(Runs, ALogIsReadBackRecordForRecordAndACutOneIsTold) {
    const std::string path = testing::TempDir() + "marldale-events-" + std::to_string(getpid());
    std::vector<Event> seen;
    std::uint64_t hash = 0;
    {
        EventLog log;
        log.writeTo(path);
        log.readAlong([&](const Event& e) { seen.push_back(e); });
        Scenario s = scenarioOf(kSmall);
        s.run.duration = 6000000;
        Emulation emulation(std::move(s), log);
        emulation.run();
        log.finish();
        hash = log.hash();
        EXPECT_EQ(log.count(), seen.size() + 0U);
    }
    EXPECT_NE(hash, 0U);
    std::size_t at = 0;
    readLog(path, [&](const Event& e) {
        ASSERT_LT(at, seen.size());
        EXPECT_EQ(std::memcmp(&e, &seen[at++], sizeof e), 0);
    });
    EXPECT_EQ(at, seen.size());
    const auto size = std::filesystem::file_size(path);
    for (const auto cut : {size - 1, size / 2, std::uintmax_t{5}, std::uintmax_t{0}}) {
        std::filesystem::resize_file(path, cut);
        EXPECT_THROW(readLog(path, [](const Event&) {}), std::runtime_error) << cut;
    }
    std::ofstream(path, std::ios::trunc) << "something else";
    EXPECT_THROW(readLog(path, [](const Event&) {}), std::runtime_error);
    std::filesystem::remove(path);
}

// Every wish ends once; every try is answered once at most, and belongs to a wish that has not ended.
struct Conservation {
    std::map<std::uint32_t, int> ends;
    std::map<std::uint32_t, std::uint32_t> wishOf;
    std::set<std::uint32_t> open, answered, tookBefore;
    std::vector<std::string> wrong;
    void read(const Event& e) {
        const auto not_ = [&](bool holds, const char* text) {
            if (!holds) wrong.push_back(std::string(text) + ": " + shown(e));
        };
        switch (e.kind) {
            case Kind::wish:
                if (e.value == 0) not_(open.insert(e.subject).second, "a wish begins twice");
                not_(open.count(e.subject) != 0, "a client asks again after the end");
                break;
            case Kind::tried:
                not_(open.count(static_cast<std::uint32_t>(e.more)) != 0, "a try for a wish that has ended");
                wishOf[e.subject] = static_cast<std::uint32_t>(e.more);
                break;
            case Kind::took: not_(tookBefore.insert(e.subject).second, "a try is taken twice"); break;
            case Kind::answered: not_(answered.insert(e.subject).second, "a try ends twice"); break;
            case Kind::wishDone:
                not_(open.erase(e.subject) == 1, "a wish ends that is not open");
                not_(++ends[e.subject] == 1, "a wish ends twice");
                break;
            default: break;
        }
    }
};

RC_GTEST_PROP(RunProperty, EachRequestEndsExactlyOnceWhateverHappens, (std::uint32_t seed)) {
    Scenario s = scenarioOf(std::string(kSmall) + "[drawn_faults]\ncount = 6\nfrom_s = 3\nuntil_s = 20\n");
    s.run.seed = seed;
    s.run.duration = 25000000;
    Stream random(seed, "shape");
    s.relay.pick = static_cast<Pick>(random.below(3));
    s.box.discipline = static_cast<Discipline>(random.below(3));
    s.planner.policy = static_cast<PolicyKind>(random.below(5));
    s.planner.goesBack = random.chance(0.5);
    s.planner.learn = static_cast<Learn>(random.below(3));
    if (random.chance(0.3)) s.clients.users = 50;
    Conservation check;
    const Played run(std::move(s), [&](const Event& e) { check.read(e); });
    for (const std::string& text : check.wrong) RC_FAIL(text);
    RC_ASSERT(check.ends.size() > 200U);
    RC_ASSERT(run.underWay == check.open.size());
}

TEST(Runs, RelaysThatAreTiedToTheirPlannersHoldWhatIsOrderedAndServe) {
    const Played run(scenarioOf(kSmall));
    EXPECT_GT(run.score->whole(), 0.97);
    EXPECT_EQ(run.rules->count(), 0U);
    EXPECT_GT(run.score->messages(), 20U);
}

TEST(Runs, EveryKindOfFaultIsFelt) {
    std::uint64_t quiet = 0;
    for (int kind = -1; kind < static_cast<int>(FaultKind::count_); ++kind) {
        std::string text = kSmall;
        if (kind >= 0) {
            const auto k = static_cast<FaultKind>(kind);
            text += std::string("[fault f]\nkind = ") + name(k) + "\nat_s = 8\nlasts_s = 10\n";
            const bool isShare = k == FaultKind::errors || k == FaultKind::slow ||
                                 k == FaultKind::neighbour || k == FaultKind::loss ||
                                 k == FaultKind::lostReports || k == FaultKind::spoiltReports ||
                                 k == FaultKind::lostAnswers;
            const bool isTime = k == FaultKind::pause || k == FaultKind::slowLink ||
                                k == FaultKind::lateReports || k == FaultKind::clockSkew;
            text += isShare ? "strength = 0.5\n" : isTime ? "strength = 500\n" : "strength = 3\n";
            const char* subject = "boxes 40%";
            if (k == FaultKind::cut || k == FaultKind::slowLink || k == FaultKind::loss ||
                k == FaultKind::shift)
                subject = "zone a";
            if (k == FaultKind::plannerLoss || k == FaultKind::clockSkew) subject = "planner 0";
            if (k == FaultKind::hotClient) subject = "relay 3";
            text += std::string("subject = ") + subject + "\n";
            // What a clock or a silent list does shows only where boxes are replaced.
            if (k == FaultKind::clockSkew || k == FaultKind::listOutage)
                text += "[fault deploy]\nkind = deploy\nat_s = 8\nlasts_s = 10\nsubject = boxes 50%\n";
        }
        std::uint64_t hash = 0;
        {
            // All but the faults' own records.
            std::uint64_t sum = 0;
            const Played run(scenarioOf(text), [&](const Event& e) {
                if (e.kind == Kind::fault) return;
                sum = bytes::mixed(sum ^ static_cast<std::uint64_t>(e.at) ^
                                   (std::uint64_t{e.subject} << 20U) ^ static_cast<std::uint64_t>(e.kind));
            });
            hash = sum;
        }
        if (kind < 0) quiet = hash;
        if (kind < 0) continue;
        EXPECT_NE(hash, quiet) << name(static_cast<FaultKind>(kind));
    }
}

TEST(Runs, ThePoliciesDifferAndFullSightIsTheBest) {
    std::map<PolicyKind, double> service;
    for (const auto policy : {PolicyKind::module, PolicyKind::even, PolicyKind::zones, PolicyKind::leastLoad,
                              PolicyKind::fullSight}) {
        Scenario s = scenarioOf(
            std::string(kSmall) +
            "[fault e]\nkind = errors\nat_s = 8\nlasts_s = 20\nsubject = boxes 25%\nstrength = 0.9\n");
        s.planner.policy = policy;
        service[policy] = Played(std::move(s)).score->service();
    }
    EXPECT_GT(service[PolicyKind::fullSight], service[PolicyKind::module]);
    EXPECT_GT(service[PolicyKind::module], service[PolicyKind::even]);
}

TEST(Runs, ASmallDayIsTheSameAsEver) {
    // Nothing in it hangs on a function of the mathematical library, which differ from machine to machine.
    const Scenario s = scenarioOf(
        "[fleet]\nzones = a\nboxes = 2\nrelays = 2\nplanners = 1\n[box]\nspeed_spread = 0\nload_noise = "
        "0\n[network]\njitter = 0\n"
        "[clients]\nusers = 2\nthink = fixed 400ms\n[planner]\npolicy = even\n[class x]\nwork = fixed 100ms\n"
        "[run]\nduration_s = 3\nscore_from_s = 0\n[fault c]\nkind = crash\nat_s = 1\nlasts_s = 1\nsubject = "
        "box 0\n");
    std::string text;
    const Played run(s, [&](const Event& e) { text += shown(e) + "\n"; });
    const std::string golden = std::string(MARLDALE_GOLDEN) + "/small-day.txt";
    if (std::getenv("MARLDALE_WRITE_GOLDEN") != nullptr) std::ofstream(golden) << text;
    std::ifstream file(golden);
    const std::string expected{std::istreambuf_iterator<char>(file), {}};
    EXPECT_FALSE(expected.empty());
    EXPECT_EQ(text, expected);
}

}  // namespace
}  // namespace marldale::emulator
