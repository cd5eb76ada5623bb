// The checkers of the five rules: each is given runs that break it, and runs that come near.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "known.h"

namespace marldale::emulator {
namespace {

using tests::Breaker;
using tests::kSmall;
using tests::Played;
using tests::scenarioOf;

constexpr Micros kSecond = 1000000;

// A log written by hand.
class Told {
public:
    Told() : scenario(scenarioOf(kSmall)), checker(scenario) {}
    Told& at(double seconds) {
        now = static_cast<Micros>(seconds * kSecond);
        return *this;
    }
    Told& say(Kind kind, std::uint32_t subject, std::uint32_t other = 0, std::uint32_t klass = 0,
              double value = 0, std::int64_t more = 0) {
        Event e;
        e.at = now;
        e.kind = kind;
        e.subject = subject;
        e.other = other;
        e.klass = static_cast<std::uint8_t>(klass);
        e.value = static_cast<float>(value);
        e.more = more;
        checker.read(e);
        return *this;
    }
    // Instance 0 with a list of two warm boxes, relay 0 joined with lines.
    Told& begun() {
        at(0).say(Kind::planner, 0, 0, 0, 1);
        for (std::uint32_t box : {0U, 1U}) list(box, ServerState::ready);
        say(Kind::joined, 0, 0);
        return holds(2);
    }
    Told& list(std::uint32_t box, ServerState state, Micros boot = 0) {
        return say(Kind::listed, 0, box, static_cast<std::uint32_t>(state), 0, boot);
    }
    Told& holds(std::uint32_t lines) {
        for (std::uint32_t k = 0; k < 2; ++k) say(Kind::holds, 0, lines, k);
        return *this;
    }
    std::uint64_t end(double seconds, Rule rule) {
        // Something happens now and then, so that time passes for the checker.
        for (double t = static_cast<double>(now) / kSecond; t < seconds; t += 0.1) at(t).say(Kind::turn, 0);
        checker.finish(static_cast<Micros>(seconds * kSecond));
        std::uint64_t others = checker.count() - checker.count(rule);
        EXPECT_EQ(others, 0U) << (checker.violations().empty() ? "" : checker.violations().front().text);
        return checker.count(rule);
    }
    Scenario scenario;
    RuleChecker checker;
    Micros now = 0;
};

TEST(EmptyRule, ARelayWithoutALineForLongerThanItMayIsAccusedOnce) {
    Told told;
    told.begun().at(5).holds(0);
    EXPECT_EQ(told.end(6.9, Rule::neverEmpty), 0U) << "2 s are allowed";
    EXPECT_EQ(told.end(30, Rule::neverEmpty), 2U) << "once for each class";
    const Violation& v = told.checker.violations().front();
    EXPECT_EQ(v.subject, 0U);
    EXPECT_NE(v.text.find("relay 0 has had nothing to pick for class "), std::string::npos);
    EXPECT_FALSE(v.history.empty());
}

TEST(EmptyRule, NothingWarmOnTheListNoPlannerOrLinesInTimeIsNoFault) {
    {
        Told told;
        told.begun().at(5).list(0, ServerState::draining).list(1, ServerState::gone).holds(0);
        EXPECT_EQ(told.end(30, Rule::neverEmpty), 0U);
    }
    {
        Told told;
        told.begun().at(5).say(Kind::left, 0, 0).holds(0);
        EXPECT_EQ(told.end(30, Rule::neverEmpty), 0U);
    }
    {
        Told told;
        told.begun().at(5).holds(0).at(6.5).holds(1);
        EXPECT_EQ(told.end(30, Rule::neverEmpty), 0U);
    }
    {
        // All that is ready is cold until 21 s, and 2 s more are allowed.
        Told told;
        told.begun().at(5).list(0, ServerState::gone).list(1, ServerState::ready, 5 * kSecond).holds(0);
        EXPECT_EQ(told.end(22.5, Rule::neverEmpty), 0U);
        EXPECT_EQ(told.end(30, Rule::neverEmpty), 2U);
    }
}

TEST(EffectRule, TwoEffectsOfOneWishAreOneViolationWithItsHistory) {
    Told told;
    told.begun().at(1).say(Kind::wish, 7, 0, 1);
    told.say(Kind::tried, 70, 0, 1, 0, 7).say(Kind::effect, 7, 0, 1, 0, 70);
    told.say(Kind::tried, 71, 1, 1, 1, 7);
    EXPECT_EQ(told.end(2, Rule::noSecondEffect), 0U) << "a second try alone is none";
    told.say(Kind::effect, 7, 1, 1, 0, 71);
    EXPECT_EQ(told.end(3, Rule::noSecondEffect), 1U);
    const Violation& v = told.checker.violations().front();
    EXPECT_EQ(v.text, "wish 7 took effect twice, tried again by its relay");
    EXPECT_EQ(v.history.size(), 5U);
}

TEST(EffectRule, WhatIsSafeToRepeatMayRunOften) {
    Told told;
    told.begun().at(1).say(Kind::wish, 7, 0, 0);
    told.say(Kind::effect, 7, 0, 0).say(Kind::effect, 7, 1, 0);
    EXPECT_EQ(told.end(2, Rule::noSecondEffect), 0U);
}

TEST(DrainRule, TriesAfterTheGraceAreCountedAndThoseWithinItAreNot) {
    Told told;
    told.begun().at(5).list(0, ServerState::draining);
    told.at(7.9).say(Kind::wish, 1, 0, 0).say(Kind::tried, 1, 0, 0, 0, 1);
    EXPECT_EQ(told.end(8, Rule::drainsKept), 0U);
    told.at(8.5).say(Kind::wish, 2, 0, 0).say(Kind::tried, 2, 0, 0, 0, 2).say(Kind::tried, 3, 1, 0, 0, 2);
    EXPECT_EQ(told.end(9, Rule::drainsKept), 1U) << "to the other box it may send";
    // Listed as ready again it may be sent to at once.
    told.list(0, ServerState::ready);
    told.at(9.5).say(Kind::wish, 4, 0, 0).say(Kind::tried, 4, 0, 0, 0, 4);
    EXPECT_EQ(told.end(10, Rule::drainsKept), 1U);
}

TEST(DrainRule, ARelayThatHasJustJoinedOrHasNoPlannerIsGivenItsTime) {
    Told told;
    told.begun().at(5).list(0, ServerState::gone).at(9).say(Kind::left, 0, 0);
    told.at(9.5).say(Kind::wish, 1, 0, 0).say(Kind::tried, 1, 0, 0, 0, 1);
    told.at(10).say(Kind::joined, 0, 0).holds(2);
    told.at(12.9).say(Kind::wish, 2, 0, 0).say(Kind::tried, 2, 0, 0, 0, 2);
    EXPECT_EQ(told.end(13, Rule::drainsKept), 0U);
    told.at(13.1).say(Kind::wish, 3, 0, 0).say(Kind::tried, 3, 0, 0, 0, 3);
    EXPECT_EQ(told.end(14, Rule::drainsKept), 1U);
}

TEST(ColdRule, ABoxThatFellIsAViolation) {
    Told told;
    told.begun().at(3).say(Kind::fell, 1);
    EXPECT_EQ(told.end(4, Rule::noColdPushedOver), 1U);
    EXPECT_EQ(told.checker.violations().front().subject, 1U);
}

TEST(QueueRule, TooManyLinesOrMessagesAreViolations) {
    Told told;
    told.begun().say(Kind::queued, 0, 0, 0, 20000);
    for (int i = 0; i < 12; ++i) told.at(1 + i * 0.5).say(Kind::messaged, 0, 0, 0, 5);
    EXPECT_EQ(told.end(7, Rule::shortQueue), 0U) << "up to the limit";
    told.at(10.9).say(Kind::messaged, 0, 0, 0, 5);
    EXPECT_EQ(told.checker.count(Rule::shortQueue), 1U) << "thirteen within ten seconds";
    told.at(11.6).say(Kind::messaged, 0, 0, 0, 5);
    EXPECT_EQ(told.checker.count(Rule::shortQueue), 1U) << "two have passed out of the ten seconds";
    told.say(Kind::queued, 0, 0, 0, 20001);
    EXPECT_EQ(told.end(12, Rule::shortQueue), 2U);
}

// ---- Runs that break a rule, and runs that do not ----

class BreakersTest : public testing::TestWithParam<Breaker> {};

TEST_P(BreakersTest, WhatBreaksARuleIsCaughtAndWhatComesNearIsNotAccused) {
    const Breaker& b = GetParam();
    EXPECT_GT(Played(b.breaks).rules->count(b.rule), 0U) << b.why;
    EXPECT_EQ(Played(b.keeps).rules->count(b.rule), 0U);
}

std::string nameOf(const testing::TestParamInfo<Breaker>& at) {
    static constexpr const char* kNames[] = {"NeverEmpty", "NoSecondEffect", "DrainsKept", "NoColdPushedOver",
                                             "ShortQueue"};
    return kNames[static_cast<std::size_t>(at.param.rule)];
}
INSTANTIATE_TEST_SUITE_P(Rules, BreakersTest, testing::ValuesIn(tests::breakers()), nameOf);

TEST(NotAccused, TheLibraryOfIncidentsUnderTheModule) {
    for (const char* extra :
         {"", "[fault c]\nkind = cut\nat_s = 8\nlasts_s = 8\nsubject = zone a\n",
          "[fault p]\nkind = planner_loss\nat_s = 8\nlasts_s = 2\nsubject = planner 0\n",
          "[fault d]\nkind = deploy\nat_s = 6\nlasts_s = 20\nsubject = boxes 50%\nevery_ms = 2500\n"}) {
        const Played run(scenarioOf(std::string(kSmall) + extra));
        for (const Violation& v : run.rules->violations()) ADD_FAILURE() << extra << v.text;
    }
}

}  // namespace
}  // namespace marldale::emulator
