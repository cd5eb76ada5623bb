// Tests of reports over two protocols at once, proxies on two lanes, resent reports, the reporting interval
// and permissions.
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
    std::optional<ServerStats> report(SourceId source, std::uint32_t tries = 100, Micros span = 2 * kSecond) {
        return arbiter.admit(source, ServerStats{7, 1, tries, tries / 10, span, 40 * kMs, {}}, now);
    }
    SourceArbiter arbiter{ArbiterRules{}};
    Micros now = 1000 * kSecond;
};

TEST_F(ArbiterTest, ACollectorThatReportsOverBothProtocolsCountsOnce) {
    int taken = 0;
    for (int i = 0; i < 20; ++i, now += 2 * kSecond) {
        taken += report(kPlatformSource).has_value();
        taken += report(kGrpc).has_value();
    }
    EXPECT_EQ(taken, 20);
    EXPECT_EQ(arbiter.counts().notHeld, 20U);
    EXPECT_EQ(arbiter.counts().changes, 0U);
}

TEST_F(ArbiterTest, ASilentHolderIsReplacedWithinTheSilenceLimitAndOneInterval) {
    report(kPlatformSource);
    const Micros last = now;
    Micros takenOver = 0;
    for (int i = 0; i < 10 && takenOver == 0; ++i) {
        now += 2 * kSecond;
        if (report(kGrpc)) takenOver = now;
    }
    EXPECT_GT(takenOver, last + ArbiterRules{}.silence());
    EXPECT_LE(takenOver, last + ArbiterRules{}.silence() + 2 * kSecond);
    const auto changes = arbiter.takeChanges();
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes[0].why, "it is silent");
    now += 2 * kSecond;
    EXPECT_FALSE(report(kPlatformSource)) << "the old holder does not get the row back by rank";
    EXPECT_TRUE(report(kGrpc));
}

TEST_F(ArbiterTest, AHolderThatEndsIsReplacedAtOnceAndTheSpanItCoveredIsCutOff) {
    report(kPlatformSource);
    arbiter.ended(kPlatformSource);
    now += kSecond;
    const auto row = report(kGrpc, 100);
    ASSERT_TRUE(row);
    EXPECT_EQ(row->tries, 50U) << "the other source covered the first of the two seconds";
    EXPECT_EQ(row->failed, 5U);
    EXPECT_EQ(row->period, kSecond);
    EXPECT_EQ(row->meanTime, 40 * kMs);
    now += 2 * kSecond;
    EXPECT_EQ(report(kGrpc)->tries, 100U);
}

TEST_F(ArbiterTest, OverlappingSpansAreCutToTheTimeThatHasPassed) {
    double taken = 0;
    const Micros from = now;
    for (int i = 0; i < 50; ++i, now += 2 * kSecond) {
        if (const auto row = report(kGrpc, 1000, 10 * kSecond)) taken += row->tries;
    }
    const double actual = 100.0 * static_cast<double>(now - from) / kSecond;  // 1000 in ten seconds
    EXPECT_LE(taken, actual + 100 * (10 + 1.5));
    EXPECT_GE(taken, actual * 0.95);
}

TEST_F(ArbiterTest, CorrectReportsThatComeLateOrAllAtOnceAreTakenInFull) {
    std::mt19937 random(5);
    for (int i = 0; i < 500; ++i) {
        const Micros sent = now + i * 2 * kSecond;
        const Micros late = static_cast<Micros>(random() % 1300) * kMs;
        const auto row = arbiter.admit(kGrpc, ServerStats{1, 1, 10, 0, 2 * kSecond, kMs, {}}, sent + late);
        ASSERT_TRUE(row);
        ASSERT_EQ(row->tries, 10U) << i;
    }
    now += 2000 * kSecond;
    report(kBox);
    now += 20 * kSecond;  // after a stall, ten reports at once
    for (int i = 0; i < 10; ++i) EXPECT_EQ(report(kBox)->tries, 100U) << i;
}

TEST_F(ArbiterTest, AHolderWithInvalidReportsLosesTheRow) {
    report(kPlatformSource);
    for (int i = 0; i < 17; ++i) arbiter.rowRejected(kPlatformSource, now);
    now += kSecond;
    EXPECT_TRUE(report(kGrpc));
    EXPECT_EQ(arbiter.takeChanges().at(0).why, "its reports are invalid");
}

TEST_F(ArbiterTest, AHolderThatDoesNotReportTheRowLosesItToASourceThatSeesTries) {
    report(kPlatformSource);
    const Micros last = now;
    Micros takenOver = 0;
    for (int i = 0; i < 20 && takenOver == 0; ++i) {
        now += 2 * kSecond;
        arbiter.heard(kPlatformSource, now);
        EXPECT_FALSE(report(kBox, 0)) << "a report without tries proves nothing";
        if (report(kGrpc, 5)) takenOver = now;
    }
    EXPECT_GT(takenOver, last + 2 * ArbiterRules{}.silence());
    EXPECT_LE(takenOver, last + 2 * ArbiterRules{}.silence() + 2 * kSecond);
}

TEST_F(ArbiterTest, DemandFollowsTheSameRules) {
    const ProxyDemand demand{3, 1, 40, 4, 2 * kSecond};
    EXPECT_TRUE(arbiter.admit(kPlatformSource, demand, now));
    EXPECT_FALSE(arbiter.admit(kGrpc, demand, now));
    arbiter.ended(kPlatformSource);
    now += kSecond;
    const auto cut = arbiter.admit(kGrpc, demand, now);
    ASSERT_TRUE(cut);
    EXPECT_EQ(cut->came, 20U);
    EXPECT_EQ(cut->failed, 2U);
}

TEST_F(ArbiterTest, SilentRowsAndSourcesAreForgotten) {
    for (ServerId id = 0; id < 100; ++id) {
        (void)arbiter.admit(id, ServerStats{id, 0, 1, 0, kSecond, kMs, {}}, now);
    }
    EXPECT_EQ(arbiter.rows(), 100U);
    arbiter.sweep(now + 301 * kSecond);
    EXPECT_EQ(arbiter.rows(), 0U);
    EXPECT_EQ(arbiter.sources(), 0U);
}

// Three sources see the same tries. Each may fall silent, end, send invalid rows, or claim spans that are too
// long; at any time at least one is valid. In every such history no try may be counted twice, and the gap
// between two reports that are taken must be bounded, as docs/notes/grpc.md promises.
RC_GTEST_PROP(ArbiterProperty, NoTryIsCountedTwiceAndNoGapIsLong, (std::uint32_t seed)) {
    std::mt19937 random(seed);
    const ArbiterRules rules;
    SourceArbiter arbiter(rules);
    struct Reporter {
        Micros next = 0, span = 0, silentUntil = 0;
        bool valid = true;
    };
    std::vector<Reporter> reporters(3);
    for (auto& reporter : reporters) reporter.next = static_cast<Micros>(random() % 2000) * kMs;
    const Micros from = 1000 * kSecond, to = from + 200 * kSecond;
    double taken = 0;
    Micros lastTaken = from, validSince = from, longestGap = 0;
    Micros step = 50 * kMs;
    for (Micros now = from; now < to; now += step) {
        // Each source in turn is the one that must stay valid.
        const std::size_t required = static_cast<std::size_t>((now - from) / (40 * kSecond)) % 3;
        if ((now - from) % (40 * kSecond) == 0) {
            reporters[required].silentUntil = 0;
            reporters[required].valid = true;
            reporters[required].next = std::min(reporters[required].next, now + 2 * kSecond);
            validSince = now;
        }
        for (std::size_t i = 0; i < 3; ++i) {
            Reporter& reporter = reporters[i];
            if (i != required && random() % 400 == 0)
                reporter.silentUntil = now + static_cast<Micros>(random() % 30) * kSecond;
            if (i != required && random() % 400 == 0) reporter.valid = !reporter.valid;
            if (i != required && random() % 2000 == 0) arbiter.ended(static_cast<SourceId>(i));
            if (now < reporter.next || now < reporter.silentUntil) continue;
            // There are 1000 tries a second. A valid source reports the time since its last report; the
            // others sometimes claim three times as much.
            const Micros since = reporter.span == 0 ? 2 * kSecond : now - reporter.next + 2 * kSecond;
            reporter.span = std::min<Micros>(since, 10 * kSecond);
            reporter.next = now + 2 * kSecond;
            if (!reporter.valid) {
                arbiter.rowRejected(static_cast<SourceId>(i), now);
                continue;
            }
            const Micros claimed = i != required && random() % 5 == 0 ? 3 * reporter.span : reporter.span;
            const auto tries = static_cast<std::uint32_t>(claimed / kMs);
            const auto row =
                arbiter.admit(static_cast<SourceId>(i), ServerStats{1, 0, tries, 0, claimed, kMs, {}}, now);
            if (!row) continue;
            taken += row->tries;
            // The gap is bounded only while a valid source reports.
            longestGap = std::max(longestGap, now - std::max(lastTaken, validSince));
            lastTaken = now;
        }
    }
    const double passed = static_cast<double>(to - from + 3 * 2 * kSecond + rules.slack) / kMs;
    RC_ASSERT(taken <= passed + 1);
    RC_ASSERT(longestGap <= 2 * rules.silence() + 2 * kSecond + step);
    RC_ASSERT(arbiter.counts().notHeld > 0U);
}

// ---- Proxies and their lanes ----

std::vector<std::string> describe(const std::vector<OwnershipEvent>& events) {
    std::vector<std::string> out;
    for (const OwnershipEvent& event : events) {
        if (const auto* joined = std::get_if<JoinedOnLane>(&event))
            out.push_back("join " + std::to_string(joined->proxy) + " on " + std::to_string(joined->lane));
        if (const auto* left = std::get_if<LeftAllLanes>(&event))
            out.push_back("left " + std::to_string(left->proxy));
        if (const auto* acknowledged = std::get_if<AcknowledgedOnLane>(&event))
            out.push_back("ack " + std::to_string(acknowledged->mark));
        if (const auto* release = std::get_if<Release>(&event))
            out.push_back("release on " + std::to_string(release->lane));
    }
    return out;
}
using Lines = std::vector<std::string>;

TEST(Owners, AProxyAnnouncedOnASecondLaneMovesThereAndTheFirstIsReleased) {
    ProxyOwners owners;
    Micros now = 100 * kSecond;
    EXPECT_EQ(describe(owners.hello(1, 9, {}, now)), (Lines{"join 9 on 1"}));
    now += 3 * kSecond;
    EXPECT_EQ(describe(owners.hello(2, 9, {}, now)), (Lines{"release on 1", "join 9 on 2"}));
    EXPECT_EQ(describe(owners.acknowledged(1, 9, 5, 0)), Lines{})
        << "acknowledgements count only from the owner";
    EXPECT_EQ(describe(owners.acknowledged(2, 9, 5, 0)), (Lines{"ack 5"}));
    EXPECT_EQ(describe(owners.bye(1, 9, now)), Lines{});
    EXPECT_EQ(describe(owners.closed(2, now)), (Lines{"left 9"}));
    EXPECT_EQ(owners.known(), 0U);
}

TEST(Owners, AProxyThatMovedToAStreamReturnsToThePlatformWhenTheStreamEnds) {
    ProxyOwners owners;
    Micros now = 100 * kSecond;
    (void)owners.hello(0, 9, {}, now);
    now += 3 * kSecond;
    EXPECT_EQ(describe(owners.hello(4, 9, {}, now)), (Lines{"join 9 on 4"})) << "the platform can't be told";
    now += kSecond;
    EXPECT_EQ(describe(owners.closed(4, now)), (Lines{"join 9 on 0"}))
        << "the platform has not said that it left";
    EXPECT_EQ(describe(owners.bye(0, 9, now)), (Lines{"left 9"}));
}

TEST(Owners, AProxyAnnouncedOnTwoLanesInTurnMovesAtALimitedRate) {
    ProxyOwners owners;
    const Micros from = 100 * kSecond;
    (void)owners.hello(1, 9, {}, from);
    int joins = 0;
    for (Micros now = from; now < from + 20 * kSecond; now += 100 * kMs) {
        for (const auto& line : describe(owners.hello(now / (100 * kMs) % 2 == 0 ? 2 : 1, 9, {}, now)))
            joins += line.starts_with("join 9 on 2");
        for (const auto& line : describe(owners.due(now))) joins += line.starts_with("join");
    }
    EXPECT_LE(owners.moves(), 10U);
}

TEST(Owners, AHelloSoonAfterAMoveMovesTheProxyOnceTheIntervalHasPassed) {
    ProxyOwners owners;
    const Micros now = 100 * kSecond;
    (void)owners.hello(1, 9, {}, now);
    EXPECT_EQ(describe(owners.hello(2, 9, {}, now + kSecond)), Lines{});
    ASSERT_TRUE(owners.nextDue());
    EXPECT_EQ(*owners.nextDue(), now + 2 * kSecond);
    EXPECT_EQ(describe(owners.due(now + 2 * kSecond - 1)), Lines{});
    EXPECT_EQ(describe(owners.due(now + 2 * kSecond)), (Lines{"release on 1", "join 9 on 2"}));
    EXPECT_FALSE(owners.nextDue());
}

TEST(Owners, WhenTheOwningLaneEndsTheProxyMovesToTheLaneThatAnnouncedItLast) {
    ProxyOwners owners;
    const Micros now = 100 * kSecond;
    (void)owners.hello(1, 9, {}, now);
    (void)owners.hello(2, 9, {}, now + 100 * kMs);
    EXPECT_EQ(describe(owners.closed(1, now + 200 * kMs)), (Lines{"join 9 on 2"}))
        << "the new lane replaces a half-open stream";
}

// Whatever happens on whichever lane: the events of a proxy come in order (joined, acknowledged, left), it is
// owned if and only if some open lane announces it, and a move releases it from a stream before it joins on
// another lane.
RC_GTEST_PROP(OwnersProperty, OneOwnerAtATime, (const std::vector<std::uint32_t>& script)) {
    ProxyOwners owners;
    Micros now = 100 * kSecond;
    std::map<ProxyId, std::set<LaneId>> announced;  // lanes that announce the proxy; a release ends it
    std::map<ProxyId, LaneId> owned;                // as the events said
    const auto apply = [&](const std::vector<OwnershipEvent>& events) {
        for (const OwnershipEvent& event : events) {
            if (const auto* joined = std::get_if<JoinedOnLane>(&event)) {
                RC_ASSERT(announced[joined->proxy].count(joined->lane) == 1U);
                owned[joined->proxy] = joined->lane;
            } else if (const auto* left = std::get_if<LeftAllLanes>(&event)) {
                RC_ASSERT(owned.erase(left->proxy) == 1U);
                RC_ASSERT(announced[left->proxy].empty());
            } else if (const auto* release = std::get_if<Release>(&event)) {
                RC_ASSERT(release->lane != 0U);
                announced[release->proxy].erase(release->lane);
            } else if (const auto* acknowledged = std::get_if<AcknowledgedOnLane>(&event)) {
                RC_ASSERT(owned.count(acknowledged->proxy) == 1U &&
                          owned[acknowledged->proxy] == acknowledged->lane);
            }
        }
    };
    for (const std::uint32_t number : script) {
        const std::uint32_t step = (number + 1) * 2654435761U >> 8U;
        const LaneId lane = step % 4;
        const auto proxy = static_cast<ProxyId>(step / 4 % 3);
        now += static_cast<Micros>(step / 64 % 1500) * kMs;
        apply(owners.due(now));
        switch (step / 16 % 4) {
            case 0:
            case 1:
                announced[proxy].insert(lane);
                apply(owners.hello(lane, proxy, {}, now));
                break;
            case 2:
                announced[proxy].erase(lane);
                apply(owners.bye(lane, proxy, now));
                break;
            default:
                if (step % 3 == 0) {
                    for (auto& [p, lanes] : announced) lanes.erase(lane);
                    apply(owners.closed(lane, now));
                } else {
                    apply(owners.acknowledged(lane, proxy, step, 0));
                }
        }
        for (const auto& [p, lanes] : announced) RC_ASSERT((owned.count(p) == 1U) == !lanes.empty());
        for (const auto& [p, owner] : owned) RC_ASSERT(owners.owner(p) == std::optional<LaneId>(owner));
    }
}

// ---- Resent reports ----

TEST(ReportLedgerTest, AReportResentAfterABrokenConnectionCountsOnce) {
    ReportLedger ledger;
    EXPECT_EQ(ledger.begin("c", 1, 0), 0U);
    EXPECT_TRUE(ledger.take("c", 1, 0));
    EXPECT_TRUE(ledger.take("c", 2, 0));
    EXPECT_EQ(ledger.begin("c", 1, kSecond), 2U) << "the node continues after the last report that was taken";
    EXPECT_FALSE(ledger.take("c", 2, kSecond));
    EXPECT_TRUE(ledger.take("c", 5, kSecond)) << "the node has lost the reports in the gap";
    EXPECT_EQ(ledger.duplicates(), 1U);
    EXPECT_EQ(ledger.begin("c", 2, kSecond), 0U) << "a restarted node begins anew";
    EXPECT_TRUE(ledger.take("c", 1, kSecond));
    ledger.undoTake("c", 1);
    EXPECT_TRUE(ledger.take("c", 1, kSecond)) << "it was undone for lack of space";
    EXPECT_FALSE(ledger.take("unknown", 1, kSecond));
}

TEST(ReportLedgerTest, IsBounded) {
    ReportLedger ledger;
    for (int i = 0; i < 5000; ++i) (void)ledger.begin("n" + std::to_string(i), 1, i);
    EXPECT_EQ(ledger.nodes(), ReportLedger::kMaxNodes);
    EXPECT_TRUE(ledger.take("n4999", 1, 5000));
    (void)ledger.begin("late", 1, 5000 + ReportLedger::kForgetAfter + 1);
    EXPECT_EQ(ledger.nodes(), 1U);
}

// ---- The reporting interval ----

TEST(Pacer, TheIntervalGrowsWhenThereAreMoreRowsThanThePlannerCanTakeIn) {
    ReportPacer pacer({2 * kSecond, 20 * kSecond, 400});
    Micros now = 100 * kSecond;
    EXPECT_EQ(pacer.interval(now), 2 * kSecond);
    for (SourceId source = 0; source < 10; ++source) pacer.reported(source, 200, now);
    EXPECT_EQ(pacer.interval(now), 5 * kSecond) << "2000 rows at 400 a second";
    for (SourceId source = 0; source < 10; ++source) pacer.reported(source, 205, now);
    EXPECT_EQ(pacer.interval(now), 5 * kSecond) << "a small change is not made";
    for (SourceId source = 0; source < 10; ++source) pacer.reported(source, 100000, now);
    EXPECT_EQ(pacer.interval(now), 20 * kSecond);
    now += 81 * kSecond;
    EXPECT_EQ(pacer.interval(now), 2 * kSecond) << "the sources are silent";
    pacer.overloaded(now);
    EXPECT_EQ(pacer.interval(now), 4 * kSecond);
    EXPECT_EQ(pacer.interval(now + ReportPacer::kOverloadHold), 2 * kSecond);
}

TEST(Pacer, WithoutALimitTheIntervalIsThatOfTheSettings) {
    ReportPacer pacer({2 * kSecond, 20 * kSecond, 0});
    pacer.reported(1, 1000000, kSecond);
    EXPECT_EQ(pacer.interval(kSecond), 2 * kSecond);
}

// ---- Permissions ----

TEST(PermissionsTest, PermitWhatTheSettingsListAndNothingElse) {
    PermissionTable table;
    table.add("collector", {false, {"regina"}, {"s-1", "t-*"}, {{0, 49}, {60, 60}}});
    const Permissions* permissions = table.find({"unknown", "collector"});
    ASSERT_NE(permissions, nullptr);
    EXPECT_TRUE(permissions->mayReport("regina"));
    EXPECT_FALSE(permissions->mayReport("moose-jaw"));
    EXPECT_TRUE(permissions->mayReportAs("s-1"));
    EXPECT_TRUE(permissions->mayReportAs("t-42"));
    EXPECT_FALSE(permissions->mayReportAs("s-10"));
    EXPECT_TRUE(permissions->mayHold(49, "regina"));
    EXPECT_TRUE(permissions->mayHold(60, "regina"));
    EXPECT_FALSE(permissions->mayHold(50, "regina"));
    EXPECT_FALSE(permissions->mayHold(1, "moose-jaw"));
    EXPECT_EQ(table.find({"unknown"}), nullptr);
    EXPECT_TRUE((Permissions{true, {}, {}, {}}).mayHold(1, "x"));
}

TEST(PermissionsTest, RelayRangesAreParsedStrictly) {
    EXPECT_EQ(parseRelayRange("7"), (std::pair<ProxyId, ProxyId>(7, 7)));
    EXPECT_EQ(parseRelayRange("0-65535"), (std::pair<ProxyId, ProxyId>(0, 65535)));
    for (const char* wrong : {"", "-", "5-", "-5", "9-3", "a", "1-2-3", "65536", "1 - 2"}) {
        EXPECT_FALSE(parseRelayRange(wrong)) << wrong;
    }
}

}  // namespace
}  // namespace marldale::membership
