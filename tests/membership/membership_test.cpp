// Whose word counts: reports over two protocols at once, proxies on two lanes, repeated reports, identities.
#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>
#include <random>
#include <set>

#include "membership/permissions.h"
#include "membership/proxy_owners.h"
#include "membership/report_ledger.h"
#include "membership/report_pacer.h"
#include "membership/source_arbiter.h"

namespace marldale::membership {
namespace {

constexpr Micros kMs = 1000, kSecond = 1000 * kMs;
constexpr SourceId kGrpc = 1, kBox = 2;

// ---- Rows and their sources ----

class ArbiterTest : public testing::Test {
protected:
    std::optional<ServerStats> say(SourceId source, std::uint32_t tries = 100, Micros over = 2 * kSecond) {
        return arbiter.admit(source, ServerStats{7, 1, tries, tries / 10, over, 40 * kMs, {}}, now);
    }
    SourceArbiter arbiter{ArbiterRules{}};
    Micros now = 1000 * kSecond;
};

TEST_F(ArbiterTest, ACollectorThatReportsOverBothProtocolsCountsOnce) {
    int taken = 0;
    for (int i = 0; i < 20; ++i, now += 2 * kSecond) {
        taken += say(kPlatformSource).has_value();
        taken += say(kGrpc).has_value();
    }
    EXPECT_EQ(taken, 20);
    EXPECT_EQ(arbiter.counts().notHeld, 20U);
    EXPECT_EQ(arbiter.counts().changes, 0U);
}

TEST_F(ArbiterTest, OneThatFallsSilentIsReplacedWithinItsSilenceAndOneInterval) {
    say(kPlatformSource);
    const Micros last = now;
    Micros heard = 0;
    for (int i = 0; i < 10 && heard == 0; ++i) {
        now += 2 * kSecond;
        if (say(kGrpc)) heard = now;
    }
    EXPECT_GT(heard, last + ArbiterRules{}.silence());
    EXPECT_LE(heard, last + ArbiterRules{}.silence() + 2 * kSecond);
    const auto changes = arbiter.takeChanges();
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes[0].why, "it is silent");
    now += 2 * kSecond;
    EXPECT_FALSE(say(kPlatformSource)) << "there is no way back by rank";
    EXPECT_TRUE(say(kGrpc));
}

TEST_F(ArbiterTest, OneThatEndsInOrderIsReplacedAtOnceAndWhatItToldIsCutOff) {
    say(kPlatformSource);
    arbiter.ended(kPlatformSource);
    now += kSecond;
    const auto row = say(kGrpc, 100);
    ASSERT_TRUE(row);
    EXPECT_EQ(row->tries, 50U) << "the first of its two seconds was told by the other";
    EXPECT_EQ(row->failed, 5U);
    EXPECT_EQ(row->period, kSecond);
    EXPECT_EQ(row->meanTime, 40 * kMs);
    now += 2 * kSecond;
    EXPECT_EQ(say(kGrpc)->tries, 100U);
}

TEST_F(ArbiterTest, SpansThatOverlapAreCutToTheTimeThatHasPassed) {
    double told = 0;
    const Micros from = now;
    for (int i = 0; i < 50; ++i, now += 2 * kSecond) {
        if (const auto row = say(kGrpc, 1000, 10 * kSecond)) told += row->tries;
    }
    const double truth = 100.0 * static_cast<double>(now - from) / kSecond;  // 1000 in ten seconds
    EXPECT_LE(told, truth + 100 * (10 + 1.5));
    EXPECT_GE(told, truth * 0.95);
}

TEST_F(ArbiterTest, HonestWordsThatComeLateOrAllAtOnceAreTakenWhole) {
    std::mt19937 random(5);
    for (int i = 0; i < 500; ++i) {
        const Micros sent = now + i * 2 * kSecond;
        const Micros late = static_cast<Micros>(random() % 1300) * kMs;
        const auto row = arbiter.admit(kGrpc, ServerStats{1, 1, 10, 0, 2 * kSecond, kMs, {}}, sent + late);
        ASSERT_TRUE(row);
        ASSERT_EQ(row->tries, 10U) << i;
    }
    now += 2000 * kSecond;
    say(kBox);
    now += 20 * kSecond;  // a stall: ten reports at once
    for (int i = 0; i < 10; ++i) EXPECT_EQ(say(kBox)->tries, 100U) << i;
}

TEST_F(ArbiterTest, OneWhoseReportsAreSpoiltLosesTheRow) {
    say(kPlatformSource);
    for (int i = 0; i < 17; ++i) arbiter.rowRejected(kPlatformSource, now);
    now += kSecond;
    EXPECT_TRUE(say(kGrpc));
    EXPECT_EQ(arbiter.takeChanges().at(0).why, "its reports are spoilt");
}

TEST_F(ArbiterTest, OneThatSpeaksButNotOfTheRowLosesItToOneThatSeesTries) {
    say(kPlatformSource);
    const Micros last = now;
    Micros heard = 0;
    for (int i = 0; i < 20 && heard == 0; ++i) {
        now += 2 * kSecond;
        arbiter.heard(kPlatformSource, now);
        EXPECT_FALSE(say(kBox, 0)) << "a box that saw nothing is no proof";
        if (say(kGrpc, 5)) heard = now;
    }
    EXPECT_GT(heard, last + 2 * ArbiterRules{}.silence());
    EXPECT_LE(heard, last + 2 * ArbiterRules{}.silence() + 2 * kSecond);
}

TEST_F(ArbiterTest, DemandIsJudgedByTheSameRules) {
    const ProxyDemand d{3, 1, 40, 4, 2 * kSecond};
    EXPECT_TRUE(arbiter.admit(kPlatformSource, d, now));
    EXPECT_FALSE(arbiter.admit(kGrpc, d, now));
    arbiter.ended(kPlatformSource);
    now += kSecond;
    const auto cut = arbiter.admit(kGrpc, d, now);
    ASSERT_TRUE(cut);
    EXPECT_EQ(cut->came, 20U);
    EXPECT_EQ(cut->failed, 2U);
}

TEST_F(ArbiterTest, WhatIsNotNamedAnyMoreIsForgotten) {
    for (ServerId id = 0; id < 100; ++id) {
        (void)arbiter.admit(id, ServerStats{id, 0, 1, 0, kSecond, kMs, {}}, now);
    }
    EXPECT_EQ(arbiter.rows(), 100U);
    arbiter.sweep(now + 301 * kSecond);
    EXPECT_EQ(arbiter.rows(), 0U);
    EXPECT_EQ(arbiter.sources(), 0U);
}

// Three sources see the same tries. Each speaks now and then, falls silent, ends in order, is spoilt, reports
// spans of its own; at any time at least one is sound. The two promises of the note must hold in every such
// history.
RC_GTEST_PROP(ArbiterProperty, NoTryTwiceAndNoLongGap, (std::uint32_t seed)) {
    std::mt19937 random(seed);
    const ArbiterRules rules;
    SourceArbiter arbiter(rules);
    struct Speaker {
        Micros next = 0, span = 0, quietUntil = 0;
        bool sound = true;
    };
    std::vector<Speaker> speakers(3);
    for (auto& s : speakers) s.next = static_cast<Micros>(random() % 2000) * kMs;
    const Micros from = 1000 * kSecond, to = from + 200 * kSecond;
    double told = 0;
    Micros lastTold = from, soundSince = from, longest = 0;
    Micros step = 50 * kMs;
    for (Micros now = from; now < to; now += step) {
        // One speaker after the other is the one that must stay sound.
        const std::size_t keeper = static_cast<std::size_t>((now - from) / (40 * kSecond)) % 3;
        if ((now - from) % (40 * kSecond) == 0) {
            speakers[keeper].quietUntil = 0;
            speakers[keeper].sound = true;
            speakers[keeper].next = std::min(speakers[keeper].next, now + 2 * kSecond);
            soundSince = now;
        }
        for (std::size_t i = 0; i < 3; ++i) {
            Speaker& s = speakers[i];
            if (i != keeper && random() % 400 == 0)
                s.quietUntil = now + static_cast<Micros>(random() % 30) * kSecond;
            if (i != keeper && random() % 400 == 0) s.sound = !s.sound;
            if (i != keeper && random() % 2000 == 0) arbiter.ended(static_cast<SourceId>(i));
            if (now < s.next || now < s.quietUntil) continue;
            // At 1000 tries a second. A sound source tells the time since its last word; others claim as they
            // like.
            const Micros since = s.span == 0 ? 2 * kSecond : now - s.next + 2 * kSecond;
            s.span = std::min<Micros>(since, 10 * kSecond);
            s.next = now + 2 * kSecond;
            if (!s.sound) {
                arbiter.rowRejected(static_cast<SourceId>(i), now);
                continue;
            }
            const Micros claimed = i != keeper && random() % 5 == 0 ? 3 * s.span : s.span;
            const auto tries = static_cast<std::uint32_t>(claimed / kMs);
            const auto row =
                arbiter.admit(static_cast<SourceId>(i), ServerStats{1, 0, tries, 0, claimed, kMs, {}}, now);
            if (!row) continue;
            told += row->tries;
            // The gap is only promised while a sound source speaks.
            longest = std::max(longest, now - std::max(lastTold, soundSince));
            lastTold = now;
        }
    }
    const double passed = static_cast<double>(to - from + 3 * 2 * kSecond + rules.slack) / kMs;
    RC_ASSERT(told <= passed + 1);
    RC_ASSERT(longest <= 2 * rules.silence() + 2 * kSecond + step);
    RC_ASSERT(arbiter.counts().notHeld > 0U);
}

// ---- Proxies and their lanes ----

std::vector<std::string> shown(const std::vector<OwnershipEvent>& news) {
    std::vector<std::string> out;
    for (const OwnershipEvent& n : news) {
        if (const auto* j = std::get_if<JoinedOnLane>(&n))
            out.push_back("join " + std::to_string(j->proxy) + " on " + std::to_string(j->lane));
        if (const auto* l = std::get_if<LeftAllLanes>(&n)) out.push_back("left " + std::to_string(l->proxy));
        if (const auto* a = std::get_if<AcknowledgedOnLane>(&n))
            out.push_back("ack " + std::to_string(a->mark));
        if (const auto* r = std::get_if<Release>(&n)) out.push_back("release on " + std::to_string(r->lane));
    }
    return out;
}
using Lines = std::vector<std::string>;

TEST(Owners, AProxyNamedOnASecondLaneMovesThereAndTheFirstIsTold) {
    ProxyOwners owners;
    Micros now = 100 * kSecond;
    EXPECT_EQ(shown(owners.hello(1, 9, {}, now)), (Lines{"join 9 on 1"}));
    now += 3 * kSecond;
    EXPECT_EQ(shown(owners.hello(2, 9, {}, now)), (Lines{"release on 1", "join 9 on 2"}));
    EXPECT_EQ(shown(owners.acknowledged(1, 9, 5, 0)), Lines{}) << "answers count from the owner only";
    EXPECT_EQ(shown(owners.acknowledged(2, 9, 5, 0)), (Lines{"ack 5"}));
    EXPECT_EQ(shown(owners.bye(1, 9, now)), Lines{});
    EXPECT_EQ(shown(owners.closed(2, now)), (Lines{"left 9"}));
    EXPECT_EQ(owners.known(), 0U);
}

TEST(Owners, ThePlatformKeepsAProxyInMindThatMovedToAStream) {
    ProxyOwners owners;
    Micros now = 100 * kSecond;
    (void)owners.hello(0, 9, {}, now);
    now += 3 * kSecond;
    EXPECT_EQ(shown(owners.hello(4, 9, {}, now)), (Lines{"join 9 on 4"})) << "the platform can't be told";
    now += kSecond;
    EXPECT_EQ(shown(owners.closed(4, now)), (Lines{"join 9 on 0"}))
        << "it is still there, as far as anyone said";
    EXPECT_EQ(shown(owners.bye(0, 9, now)), (Lines{"left 9"}));
}

TEST(Owners, OneThatIsNamedHereAndThereMovesNoMoreThanItMay) {
    ProxyOwners owners;
    const Micros from = 100 * kSecond;
    (void)owners.hello(1, 9, {}, from);
    int joins = 0;
    for (Micros now = from; now < from + 20 * kSecond; now += 100 * kMs) {
        for (const auto& line : shown(owners.hello(now / (100 * kMs) % 2 == 0 ? 2 : 1, 9, {}, now)))
            joins += line.starts_with("join 9 on 2");
        for (const auto& line : shown(owners.due(now))) joins += line.starts_with("join");
    }
    EXPECT_LE(owners.moves(), 10U);
}

TEST(Owners, ALaterHelloThatHadToWaitMovesTheProxyWhenItsTimeHasCome) {
    ProxyOwners owners;
    const Micros now = 100 * kSecond;
    (void)owners.hello(1, 9, {}, now);
    EXPECT_EQ(shown(owners.hello(2, 9, {}, now + kSecond)), Lines{});
    ASSERT_TRUE(owners.nextDue());
    EXPECT_EQ(*owners.nextDue(), now + 2 * kSecond);
    EXPECT_EQ(shown(owners.due(now + 2 * kSecond - 1)), Lines{});
    EXPECT_EQ(shown(owners.due(now + 2 * kSecond)), (Lines{"release on 1", "join 9 on 2"}));
    EXPECT_FALSE(owners.nextDue());
}

TEST(Owners, WhenTheOwnersLaneEndsTheProxyGoesWhereItWasNamedLast) {
    ProxyOwners owners;
    const Micros now = 100 * kSecond;
    (void)owners.hello(1, 9, {}, now);
    (void)owners.hello(2, 9, {}, now + 100 * kMs);
    EXPECT_EQ(shown(owners.closed(1, now + 200 * kMs)), (Lines{"join 9 on 2"}))
        << "a half-open stream gives way";
}

// Whatever is said on whichever lane: the module hears of one proxy in order (join, answers, left), a proxy
// is owned if and only if some open lane names it, and it is released from a lane before it is joined on
// another stream.
RC_GTEST_PROP(OwnersProperty, OneOwnerAtATime, (const std::vector<std::uint32_t>& script)) {
    ProxyOwners owners;
    Micros now = 100 * kSecond;
    std::map<ProxyId, std::set<LaneId>> named;  // by lanes, as they said; a release takes it back
    std::map<ProxyId, LaneId> joined;           // as the module was told
    const auto hear = [&](const std::vector<OwnershipEvent>& news) {
        for (const OwnershipEvent& n : news) {
            if (const auto* j = std::get_if<JoinedOnLane>(&n)) {
                RC_ASSERT(named[j->proxy].count(j->lane) == 1U);
                joined[j->proxy] = j->lane;
            } else if (const auto* l = std::get_if<LeftAllLanes>(&n)) {
                RC_ASSERT(joined.erase(l->proxy) == 1U);
                RC_ASSERT(named[l->proxy].empty());
            } else if (const auto* r = std::get_if<Release>(&n)) {
                RC_ASSERT(r->lane != 0U);
                named[r->proxy].erase(r->lane);
            } else if (const auto* a = std::get_if<AcknowledgedOnLane>(&n)) {
                RC_ASSERT(joined.count(a->proxy) == 1U && joined[a->proxy] == a->lane);
            }
        }
    };
    for (const std::uint32_t letter : script) {
        const std::uint32_t word = (letter + 1) * 2654435761U >> 8U;
        const LaneId lane = word % 4;
        const auto proxy = static_cast<ProxyId>(word / 4 % 3);
        now += static_cast<Micros>(word / 64 % 1500) * kMs;
        hear(owners.due(now));
        switch (word / 16 % 4) {
            case 0:
            case 1:
                named[proxy].insert(lane);
                hear(owners.hello(lane, proxy, {}, now));
                break;
            case 2:
                named[proxy].erase(lane);
                hear(owners.bye(lane, proxy, now));
                break;
            default:
                if (word % 3 == 0) {
                    for (auto& [p, lanes] : named) lanes.erase(lane);
                    hear(owners.closed(lane, now));
                } else {
                    hear(owners.acknowledged(lane, proxy, word, 0));
                }
        }
        for (const auto& [p, lanes] : named) RC_ASSERT((joined.count(p) == 1U) == !lanes.empty());
        for (const auto& [p, l] : joined) RC_ASSERT(owners.owner(p) == std::optional<LaneId>(l));
    }
}

// ---- Reports that are sent again ----

TEST(Ledger, WhatIsSentAgainAfterABreakCountsOnce) {
    ReportLedger ledger;
    EXPECT_EQ(ledger.begin("c", 1, 0), 0U);
    EXPECT_TRUE(ledger.take("c", 1, 0));
    EXPECT_TRUE(ledger.take("c", 2, 0));
    EXPECT_EQ(ledger.begin("c", 1, kSecond), 2U) << "it goes on after what was taken";
    EXPECT_FALSE(ledger.take("c", 2, kSecond));
    EXPECT_TRUE(ledger.take("c", 5, kSecond)) << "a gap is the node's own loss";
    EXPECT_EQ(ledger.duplicates(), 1U);
    EXPECT_EQ(ledger.begin("c", 2, kSecond), 0U) << "another start of the node begins anew";
    EXPECT_TRUE(ledger.take("c", 1, kSecond));
    ledger.giveBack("c", 1);
    EXPECT_TRUE(ledger.take("c", 1, kSecond)) << "there was no room for it";
    EXPECT_FALSE(ledger.take("stranger", 1, kSecond));
}

TEST(Ledger, IsBounded) {
    ReportLedger ledger;
    for (int i = 0; i < 5000; ++i) (void)ledger.begin("n" + std::to_string(i), 1, i);
    EXPECT_EQ(ledger.nodes(), ReportLedger::kNodesMost);
    EXPECT_TRUE(ledger.take("n4999", 1, 5000));
    (void)ledger.begin("late", 1, 5000 + ReportLedger::kForgetAfter + 1);
    EXPECT_EQ(ledger.nodes(), 1U);
}

// ---- Pace ----

TEST(Pacer, TellsALongerIntervalWhereTheRowsAreMoreThanThePlannerTakes) {
    ReportPacer pacer({2 * kSecond, 20 * kSecond, 400});
    Micros now = 100 * kSecond;
    EXPECT_EQ(pacer.interval(now), 2 * kSecond);
    for (SourceId s = 0; s < 10; ++s) pacer.reported(s, 200, now);
    EXPECT_EQ(pacer.interval(now), 5 * kSecond) << "2000 rows at 400 a second";
    for (SourceId s = 0; s < 10; ++s) pacer.reported(s, 205, now);
    EXPECT_EQ(pacer.interval(now), 5 * kSecond) << "a small change is not told";
    for (SourceId s = 0; s < 10; ++s) pacer.reported(s, 100000, now);
    EXPECT_EQ(pacer.interval(now), 20 * kSecond);
    now += 81 * kSecond;
    EXPECT_EQ(pacer.interval(now), 2 * kSecond) << "they are silent";
    pacer.overloaded(now);
    EXPECT_EQ(pacer.interval(now), 4 * kSecond);
    EXPECT_EQ(pacer.interval(now + ReportPacer::kPressedFor), 2 * kSecond);
}

TEST(Pacer, NoLimitMeansTheSettingsInterval) {
    ReportPacer pacer({2 * kSecond, 20 * kSecond, 0});
    pacer.reported(1, 1000000, kSecond);
    EXPECT_EQ(pacer.interval(kSecond), 2 * kSecond);
}

// ---- Identities ----

TEST(PermissionTable, SpeakForWhatTheSettingsSayAndNothingElse) {
    PermissionTable passports;
    passports.add("collector", {false, {"regina"}, {"s-1", "t-*"}, {{0, 49}, {60, 60}}});
    const Permissions* p = passports.find({"unknown", "collector"});
    ASSERT_NE(p, nullptr);
    EXPECT_TRUE(p->mayReport("regina"));
    EXPECT_FALSE(p->mayReport("moose-jaw"));
    EXPECT_TRUE(p->mayReportAs("s-1"));
    EXPECT_TRUE(p->mayReportAs("t-42"));
    EXPECT_FALSE(p->mayReportAs("s-10"));
    EXPECT_TRUE(p->mayHold(49, "regina"));
    EXPECT_TRUE(p->mayHold(60, "regina"));
    EXPECT_FALSE(p->mayHold(50, "regina"));
    EXPECT_FALSE(p->mayHold(1, "moose-jaw"));
    EXPECT_EQ(passports.find({"unknown"}), nullptr);
    EXPECT_TRUE((Permissions{true, {}, {}, {}}).mayHold(1, "x"));
}

TEST(PermissionTable, RangesOfRelaysAreReadStrictly) {
    EXPECT_EQ(parseRelayRange("7"), (std::pair<ProxyId, ProxyId>(7, 7)));
    EXPECT_EQ(parseRelayRange("0-65535"), (std::pair<ProxyId, ProxyId>(0, 65535)));
    for (const char* wrong : {"", "-", "5-", "-5", "9-3", "a", "1-2-3", "65536", "1 - 2"}) {
        EXPECT_FALSE(parseRelayRange(wrong)) << wrong;
    }
}

}  // namespace
}  // namespace marldale::membership
