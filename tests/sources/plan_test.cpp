// What a replay sends, without sockets or clock.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <nlohmann/json.hpp>
#include <random>

#include "replay/plan.h"
#include "replay/rehearsal.h"

namespace marldale::replay {
namespace {

using attempts::Answer;
using attempts::Effect;
using attempts::Ended;

constexpr Micros kMs = 1000, kSecond = 1000 * kMs;
const std::vector<trace::TraceClass> kClasses = {{"image", false}, {"reserve", true}};

trace::Entry entryAt(Micros at, std::uint64_t chain, std::uint32_t classIndex = 0, int status = 200,
                     std::uint32_t number = 0) {
    trace::Entry e;
    e.at = at;
    e.chain = chain;
    e.number = number;
    e.classIndex = classIndex;
    e.client = chain;
    e.answer = {Ended::answered, status, 10};
    e.method = "GET";
    e.path = "/";
    return e;
}

struct Rig {
    explicit Rig(std::vector<trace::Entry> all, PlanSettings settings = {})
        : entries(std::move(all)),
          plan(
              settings, kClasses,
              [this](trace::Entry& e) {
                  if (at == entries.size()) return false;
                  e = entries[at++];
                  return true;
              },
              [this] { at = 0; }) {}
    std::vector<trace::Entry> entries;
    std::size_t at = 0;
    Plan plan;
    [[nodiscard]] std::uint64_t notSent(std::size_t c, NotSent why) const {
        return plan.figures()[c].notSent[static_cast<std::size_t>(why)];
    }
};

const Answer kServed{Ended::answered, 200, 5};

TEST(Plan, SendsAtIntendedTimesWhateverIsOut) {
    PlanSettings settings;
    settings.schedule.speed = 2;
    Rig rig({entryAt(100 * kSecond, 1), entryAt(101 * kSecond, 2), entryAt(104 * kSecond, 3)}, settings);
    rig.plan.begin(7 * kSecond);
    EXPECT_EQ(rig.plan.due(7 * kSecond).size(), 1U);
    EXPECT_EQ(rig.plan.wakeAt(7 * kSecond), 7500 * kMs);
    EXPECT_EQ(rig.plan.due(7499 * kMs).size(), 0U);
    // Late: both are due, each with its own intended time.
    const auto sends = rig.plan.due(15 * kSecond);
    ASSERT_EQ(sends.size(), 2U);
    EXPECT_EQ(sends[0].intended, 7500 * kMs);
    EXPECT_EQ(sends[1].intended, 9 * kSecond);
    EXPECT_FALSE(rig.plan.done());
}

TEST(Plan, LimitsHoldBackAndWhatWaitsTooLongIsCounted) {
    PlanSettings settings;
    settings.inFlightMost = 1;
    settings.waitMost = kSecond;
    Rig rig({entryAt(0, 1), entryAt(0, 2), entryAt(0, 3)}, settings);
    rig.plan.begin(0);
    const auto first = rig.plan.due(0);
    ASSERT_EQ(first.size(), 1U);
    EXPECT_EQ(rig.plan.due(10 * kMs).size(), 0U);
    rig.plan.answered(first[0], kServed, std::nullopt, 20 * kMs);
    const auto second = rig.plan.due(20 * kMs);
    ASSERT_EQ(second.size(), 1U);
    rig.plan.answered(second[0], kServed, std::nullopt, 3 * kSecond);
    EXPECT_EQ(rig.plan.due(3 * kSecond).size(), 0U);
    EXPECT_EQ(rig.notSent(0, NotSent::tooLate), 1U);
    EXPECT_TRUE(rig.plan.done());
    EXPECT_EQ(rig.plan.settledBefore(), 3U);
}

TEST(Plan, WhatWaitsWhenItIsStoppedIsSentByTheRunThatGoesOn) {
    PlanSettings settings;
    settings.inFlightMost = 1;
    const std::vector<trace::Entry> all = {entryAt(0, 1), entryAt(0, 2), entryAt(0, 3)};
    Rig rig(all, settings);
    rig.plan.begin(0);
    const auto first = rig.plan.due(0);
    ASSERT_EQ(first.size(), 1U);
    rig.plan.stop();
    EXPECT_FALSE(rig.plan.done());
    rig.plan.answered(first[0], kServed, std::nullopt, kMs);
    EXPECT_TRUE(rig.plan.done());
    EXPECT_EQ(rig.notSent(0, NotSent::stopped), 2U);
    ASSERT_EQ(rig.plan.settledBefore(), 1U);
    settings.inFlightMost = 10;
    Rig next(all, settings);
    next.plan.begin(0, rig.plan.settledBefore());
    EXPECT_EQ(next.plan.due(0).size(), 2U);
}

TEST(Plan, TheRateIsKept) {
    std::vector<trace::Entry> all;
    for (std::uint64_t i = 1; i <= 1000; ++i) all.push_back(entryAt(0, i));
    PlanSettings settings;
    settings.ratePerS = 100;
    settings.inFlightMost = 10000;
    Rig rig(all, settings);
    rig.plan.begin(0);
    std::size_t sent = 0;
    for (Micros now = 0; now <= 2 * kSecond; now += 10 * kMs) sent += rig.plan.due(now).size();
    EXPECT_GE(sent, 195U);
    EXPECT_LE(sent, 206U);
}

TEST(Plan, ABoxThatRefusesIsNotHammeredAndTheOtherGoesOn) {
    std::vector<trace::Entry> all;
    for (std::uint64_t i = 1; i <= 2000; ++i) all.push_back(entryAt(static_cast<Micros>(i) * 10 * kMs, i));
    PlanSettings settings;
    settings.targets = 2;
    Rig rig(all, settings);
    rig.plan.begin(0);
    std::map<std::size_t, int> sent;
    for (Micros now = 0; now <= 21 * kSecond; now += 5 * kMs) {
        for (const Send& s : rig.plan.due(now)) {
            ++sent[s.target];
            rig.plan.answered(s, s.target == 0 ? Answer{Ended::answered, 503, 0} : kServed,
                              s.target == 0 ? std::optional<Micros>(2 * kSecond) : std::nullopt, now);
        }
    }
    EXPECT_LE(sent[0], 12) << "one in two seconds";
    EXPECT_GT(sent[1], 900);
    EXPECT_GT(rig.notSent(0, NotSent::boxRefuses), 900U);
}

TEST(Plan, FirstTriesWithFurtherOnesByTheAnswersAndABudget) {
    std::vector<trace::Entry> all;
    for (std::uint64_t i = 1; i <= 100; ++i) {
        all.push_back(entryAt(static_cast<Micros>(i) * 100 * kMs, i));
        all.push_back(entryAt(static_cast<Micros>(i) * 100 * kMs + 1, i, 0, 200, 1));
    }
    PlanSettings settings;
    settings.tries = Tries::first;
    settings.retryRatio = 0.1;
    settings.retriesKept = 1;
    Rig rig(all, settings);
    rig.plan.begin(0);
    for (Micros now = 0; now <= 20 * kSecond; now += 10 * kMs) {
        for (const Send& s : rig.plan.due(now))
            rig.plan.answered(s, {Ended::answered, 500, 0}, std::nullopt, now);
    }
    EXPECT_EQ(rig.notSent(0, NotSent::furtherTry), 100U);
    EXPECT_GE(rig.plan.figures()[0].retries, 8U);
    EXPECT_LE(rig.plan.figures()[0].retries, 12U);
    EXPECT_TRUE(rig.plan.done());
}

TEST(Plan, ABookingIsTriedAgainOnlyAfterProof) {
    PlanSettings settings;
    settings.tries = Tries::first;
    Rig rig({entryAt(0, 1, 1), entryAt(0, 2, 1)}, settings);
    rig.plan.begin(0);
    const auto sends = rig.plan.due(0);
    ASSERT_EQ(sends.size(), 2U);
    rig.plan.answered(sends[0], {Ended::answered, 504, 0}, std::nullopt, kMs);  // it may stand
    rig.plan.answered(sends[1], {Ended::answered, 429, 0}, 3 * kSecond, kMs);   // it does not
    std::vector<Send> again;
    for (Micros now = kMs; now < 10 * kSecond; now += 10 * kMs) {
        for (const Send& s : rig.plan.due(now)) {
            again.push_back(s);
            EXPECT_GE(now, 3 * kSecond) << "Retry-After";
            rig.plan.answered(s, kServed, std::nullopt, now);
        }
    }
    ASSERT_EQ(again.size(), 1U);
    EXPECT_EQ(again[0].intent, sends[1].intent);
    EXPECT_TRUE(rig.plan.done());
}

TEST(Plan, LoopsAndCopiesAreWishesOfTheirOwn) {
    PlanSettings settings;
    settings.schedule.loops = 3;
    settings.schedule.shareByClass = {1, 2};
    Rig rig({entryAt(0, 1, 1), entryAt(kSecond, 2, 1)}, settings);
    rig.plan.begin(0);
    std::map<attempts::Intent, int> intents;
    for (Micros now = 0; now < 10 * kSecond; now += 10 * kMs) {
        for (const Send& s : rig.plan.due(now)) {
            ++intents[s.intent];
            rig.plan.answered(s, kServed, std::nullopt, now);
        }
    }
    EXPECT_EQ(intents.size(), 12U);
    for (const auto& [intent, sends] : intents) EXPECT_EQ(sends, 1);
    EXPECT_TRUE(rig.plan.done());
}

// Boxes that run, refuse, lose answers; recorded tries of all kinds; stops and resumes at any place.
RC_GTEST_PROP(PlanProperty, NoWishIsBookedTwiceWhateverBoxesAnswerAndHoweverOftenItResumes,
              (std::uint32_t seed)) {
    std::mt19937_64 random(seed);
    std::vector<trace::Entry> all;
    std::map<std::uint64_t, std::uint32_t> tries;
    for (int i = 0; i < 120; ++i) {
        const std::uint64_t chain = 1 + random() % 60;
        const int statuses[] = {200, 429, 500, 503, 404, 0};
        auto e = entryAt(i * 20 * kMs, chain, 1, statuses[random() % 6], tries[chain]++);
        if (e.answer.status == 0) e.answer.ended = Ended::aborted;
        if (random() % 2 == 0) e.requestId = chain;
        all.push_back(e);
    }
    PlanSettings settings;
    settings.tries = random() % 2 == 0 ? Tries::recorded : Tries::first;
    settings.effects.unknown =
        random() % 2 == 0 ? attempts::UnknownPolicy::once : attempts::UnknownPolicy::leaveOut;
    std::map<attempts::Intent, int> booked;
    std::vector<std::pair<attempts::Intent, std::optional<Effect>>> journal;
    std::vector<std::pair<std::uint64_t, std::uint64_t>> kin;
    std::uint64_t reached = 0;
    for (int run = 0; run < 6; ++run) {
        Rig rig(all, settings);
        for (const auto& [intent, effect] : journal) {
            effect ? rig.plan.ledger().ended(intent, *effect)
                   : rig.plan.ledger().begun({intent, Effect::unknown, 0, 0});
        }
        rig.plan.ledger().markOpenUncertain();
        rig.plan.begin(0, reached);
        std::vector<Send> out;
        const Micros killAt = run == 5 ? 100 * kSecond : static_cast<Micros>(random() % (3 * kSecond));
        for (Micros now = 0; now < killAt && !rig.plan.done(); now += 10 * kMs) {
            for (Send& s : rig.plan.due(now)) {
                journal.emplace_back(s.intent, std::nullopt);
                out.push_back(std::move(s));
            }
            while (!out.empty() && random() % 3 != 0) {
                const Send s = out.back();
                out.pop_back();
                const std::uint64_t dice = random() % 5;
                if (dice < 3) ++booked[s.intent];
                const Answer answer = dice == 0   ? kServed
                                      : dice == 1 ? Answer{Ended::timedOut, 0, -1}
                                      : dice == 2 ? Answer{Ended::answered, 502, 0}
                                      : dice == 3 ? Answer{Ended::answered, 429, 0}
                                                  : Answer{Ended::neverSent, 0, -1};
                rig.plan.answered(s, answer, std::nullopt, now);
                journal.emplace_back(s.intent, attempts::effectOf(answer, true));
            }
            reached = rig.plan.settledBefore();
        }
        // Killed with requests out: some of them were run all the same.
        for (const Send& s : out) booked[s.intent] += random() % 2 == 0 ? 1 : 0;
        if (rig.plan.done() && run == 5) RC_ASSERT(rig.plan.settledBefore() == all.size());
    }
    for (const auto& [intent, count] : booked) RC_ASSERT(count <= 1);
}

// ---- Load for a planner ----

RC_GTEST_PROP(RehearsalProperty, EveryEntryIsToldOnce, (std::uint32_t seed)) {
    std::mt19937_64 random(seed);
    RehearsalSettings settings;
    settings.classes = {"image", "reserve"};
    settings.zones = {"a", "b"};
    settings.boxes = {{"s-1", "a"}, {"s-2", "b"}, {"s-3", "b"}};
    settings.relays = 7;
    Rehearsal rehearsal(settings);
    std::uint64_t tries = 0, firsts = 0, bad = 0, told = 0, came = 0, failed = 0;
    const auto take = [&](const std::vector<Rehearsal::Message>& all) {
        for (const auto& m : all) {
            const auto row = nlohmann::json::parse(m.json);
            RC_ASSERT(row["over"].get<double>() > 0);
            RC_ASSERT(row["over"].get<double>() <= 2000);
            if (row["type"] == "outcomes") {
                RC_ASSERT(row["site"] == m.zone);
                told += row["count"].get<std::uint64_t>();
                failed += row["fail"].get<std::uint64_t>();
            } else {
                RC_ASSERT(row["fail"].get<std::uint64_t>() <= row["count"].get<std::uint64_t>());
                came += row["count"].get<std::uint64_t>();
            }
        }
    };
    Micros at = 5 * kSecond;
    for (int i = 0; i < 400; ++i) {
        at += static_cast<Micros>(random() % (random() % 50 == 0 ? 100 * kSecond : 100 * kMs));
        auto e = entryAt(at, 1 + random() % 50, static_cast<std::uint32_t>(random() % 2),
                         random() % 4 == 0 ? 503 : 200, static_cast<std::uint32_t>(random() % 2));
        e.took = static_cast<Micros>(random() % kSecond);
        ++tries;
        firsts += e.number == 0 ? 1 : 0;
        bad += e.answer.status == 503 ? 1 : 0;
        take(rehearsal.add(e));
    }
    take(rehearsal.finish());
    RC_ASSERT(told == tries);
    RC_ASSERT(came == firsts);
    RC_ASSERT(failed == bad);
}

}  // namespace
}  // namespace marldale::replay
