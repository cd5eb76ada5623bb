// Tests of the decision module alone, part by part.
#include "support/fleet.h"

namespace marldale::test {
namespace {

using enum ServerState;

// Changes the listed weight of server 2 and waits until the change is sent.
void changeWeight(Rig& rig, double weight) {
    ListEntry entry = server(2, 0);
    entry.weight = weight;
    rig.list({entry}, ServerListUpdateKind::delta);
    rig.run(400 * kMs);
}

// Server 2 fails every try and the others answer; waits until the ejection is sent.
Rig rigWithServer2Failing() {
    Rig rig = settledRig();
    rig.sums({1, 3, 4}, 10, 0, 150 * kMs);
    rig.sums({2}, 10, 10, 0);
    rig.run(600 * kMs);
    return rig;
}

// ---- Fleet view, table store and push ----

TEST(Push, EveryProxyIsBoundToItsZonesTableWithLinesFirst) {
    const Rig rig = settledRig();
    for (ProxyId p = 0; p < 4; ++p) EXPECT_GT(rig.weight(p, 1) + rig.weight(p, 3), 0);
    EXPECT_EQ(rig.tableOf(0), rig.tableOf(1));
    EXPECT_EQ(rig.tableOf(2), rig.tableOf(3));
    EXPECT_NE(rig.tableOf(0), rig.tableOf(2));
}

TEST(Push, NothingChangesNothingIsSent) {
    Rig rig = settledRig();
    const auto before = rig.messages;
    rig.run(10 * kSecond);
    EXPECT_EQ(rig.messages, before);
}

TEST(Push, UnlistedWeightCountsAsOne) {
    Rig rig(calmSettings());
    ListEntry unlisted = server(1, 0);
    unlisted.weight = 0;
    rig.list({unlisted, server(2, 0)});
    rig.join(0, 0);
    EXPECT_FLOAT_EQ(rig.weight(0, 1), 1);
    EXPECT_FLOAT_EQ(rig.weight(0, 1), rig.weight(0, 2));
}

TEST(Push, AHeldChangeWaitsForTheAcknowledgementAndMerges) {
    Rig rig = settledRig();
    rig.silent = {0};
    changeWeight(rig, 2);
    EXPECT_FLOAT_EQ(rig.weight(0, 2), 2);  // sent under a mark that proxy 0 does not acknowledge
    for (const double w : {3.0, 4.0}) {
        changeWeight(rig, w);
        EXPECT_FLOAT_EQ(rig.weight(0, 2), 2) << "a change was sent under an open mark";
    }
    const int before = rig.messages[1];
    rig.answerNow(0);
    rig.run(600 * kMs);
    EXPECT_FLOAT_EQ(rig.weight(0, 2), 4);  // both held changes, as one difference
    EXPECT_EQ(rig.messages[1], before + 1);
}

TEST(Push, TheTimeoutReleasesTheWaitAndTheSilentProxyGetsACopy) {
    Rig rig = settledRig();
    rig.silent = {0};
    changeWeight(rig, 2);
    changeWeight(rig, 3);
    rig.run(3500 * kMs);
    EXPECT_NE(rig.tableOf(0), rig.tableOf(1));
    EXPECT_FLOAT_EQ(rig.weight(1, 2), 3);
    EXPECT_FLOAT_EQ(rig.weight(0, 2), 3) << "later changes are sent to copies too";
}

TEST(Push, ALateAcknowledgementAfterTheTimeoutFoldsTheCopyBack) {
    Rig rig = settledRig();
    rig.silent = {0};
    changeWeight(rig, 2);
    rig.run(3600 * kMs);
    ASSERT_NE(rig.tableOf(0), rig.tableOf(1));
    rig.answerNow(0);
    rig.run(6 * kSecond);
    EXPECT_EQ(rig.tableOf(0), rig.tableOf(1));
    EXPECT_EQ(rig.tables.size(), 2U);
}

TEST(Push, ProxiesThatJoinInOneTurnShareOneFreshTable) {
    Rig rig = settledRig();
    rig.turn({ProxyJoined{7, 0, 10, true}, ProxyJoined{8, 0, 10, true}});
    EXPECT_EQ(rig.tableOf(7), rig.tableOf(8));
    EXPECT_NE(rig.tableOf(7), rig.tableOf(0));
    EXPECT_EQ(rig.count<Mark>(), 1);
    rig.run(6 * kSecond);
    EXPECT_EQ(rig.tableOf(7), rig.tableOf(0)) << "the copy was not folded back";
}

TEST(Push, AJoinDuringAPushGetsTheWholeTableAtOnce) {
    Rig rig = settledRig();
    rig.silent = {0};
    changeWeight(rig, 2);
    changeWeight(rig, 3);
    rig.join(7, 0);
    EXPECT_FLOAT_EQ(rig.weight(7, 2), 3);
    EXPECT_FLOAT_EQ(rig.weight(1, 2), 2) << "the shared table still waits";
}

TEST(Push, AnAcknowledgementOfADepartedProxyChangesNothing) {
    Rig rig = settledRig();
    rig.leave(0);
    const auto actions = rig.turn(
        {Acknowledged{0, 1, kSecond}, Acknowledged{99, 1, kSecond}, ServerStats{77, 0, 5, 5, kSecond, 0, {}},
         ProxyDemand{99, 0, 5, 0, kSecond}, ProbeResult{77, ProbeOutcome::ok, 1, {}}, TimerDue{12345}});
    EXPECT_EQ(rig.count<SetLine>() + rig.count<Bind>() + rig.count<Withdraw>(), 0);
    rig.run(kSecond);
    EXPECT_GT(rig.weight(1, 1), 0);
}

// ---- Pacer ----

TEST(Pacer, NoProxyGetsMoreMessagesThanTheLimit) {
    Settings s = calmSettings();
    s.messagesMost = 6;
    s.messagesOver = 10 * kSecond;
    Rig rig(s);
    rig.list({server(1, 0), server(2, 0), server(3, 1), server(4, 1), server(5, 1)});
    rig.now += kSecond;
    rig.join(0, 0);
    for (int i = 0; i < 100; ++i) {  // one server drains and returns over and over
        rig.now += 100 * kMs;
        rig.list({server(5, 1, i % 2 == 0 ? draining : ready)}, ServerListUpdateKind::delta);
    }
    EXPECT_GT(rig.messages[0], 1);
    EXPECT_LE(rig.messages[0], 6);
}

TEST(Pacer, WithoutAcknowledgementsTheBacklogStaysUnderItsCap) {
    Settings s = calmSettings();
    s.backlogLines = 150;
    s.pushRate = 1;  // an almost stopped channel
    Rig rig = settledRig(s);
    rig.sums({1, 2, 3, 4}, 10, 0, 150 * kMs);
    rig.run(kSecond);
    rig.answers = false;
    const auto sent = [&rig] {
        int n = 0;
        for (const auto& [p, count] : rig.messages) n += count;
        return n;
    };
    const int before = sent();
    double lines = 0;
    int rounds = 0;
    for (int i = 0; i < 100; ++i) {  // a server restarts again and again, each time an urgent change
        rig.now += 300 * kMs;
        ListEntry e = server(2, 0, ready, rig.now);
        e.weight = 1 + i % 7;
        rig.list({e}, ServerListUpdateKind::delta);
        if (rig.count<Mark>() == 0) continue;
        ++rounds;
        lines += 2 * rig.count<SetLine>() + 7 * rig.count<Bind>();
    }
    EXPECT_GT(rounds, 1);
    EXPECT_LE(lines + (sent() - before) * (s.envelopeLines + 1), s.backlogLines);
}

// ---- Withdrawals ----

TEST(Withdrawals, ADrainDoesNotWaitForAnOpenMark) {
    Rig rig = settledRig();
    rig.silent = {0, 1, 2, 3};
    changeWeight(rig, 2);
    rig.list({server(1, 0, draining)}, ServerListUpdateKind::delta);
    rig.run(300 * kMs);
    EXPECT_TRUE(rig.withdrawn[1]);
}

TEST(Withdrawals, AServerThatAWholeListLeavesOutIsGoneAndMayReturn) {
    Rig rig = settledRig();
    rig.list({server(1, 0), server(3, 1), server(4, 1)});
    rig.run(300 * kMs);
    EXPECT_TRUE(rig.withdrawn[2]);
    rig.run(2 * kSecond);
    EXPECT_FLOAT_EQ(rig.weight(0, 2), 0);
    rig.list({server(2, 0)}, ServerListUpdateKind::delta);
    rig.run(2 * kSecond);
    EXPECT_FALSE(rig.withdrawn[2]);
    EXPECT_GT(rig.weight(0, 2), 0);
}

TEST(Withdrawals, AZoneWithoutAWarmServerRebindsToAnother) {
    Rig rig = settledRig();
    const TableId before = rig.tableOf(0);
    rig.list({server(1, 0, gone), server(2, 0, gone)}, ServerListUpdateKind::delta);
    rig.run(kSecond);
    EXPECT_NE(rig.tableOf(0), before);
    EXPECT_EQ(rig.tableOf(0), rig.tableOf(2));
    EXPECT_GT(rig.weight(0, 3), 0);
}

TEST(Withdrawals, TheLastReadyServerKeepsItsLine) {
    Rig rig = settledRig();
    rig.list({server(1, 0, gone), server(2, 0, gone), server(3, 1, gone)}, ServerListUpdateKind::delta);
    rig.run(3 * kSecond);
    rig.sums({4}, 20, 20, 0);
    rig.run(3 * kSecond);
    for (ProxyId p = 0; p < 4; ++p) EXPECT_GT(rig.weight(p, 4), 0);
}

// ---- Slow start ----

TEST(SlowStart, ASameIdRestartedColdEntersLowAndRisesInSteps) {
    Rig rig = settledRig();
    rig.sums({1, 2, 3, 4}, 10, 0, 150 * kMs);
    const float full = rig.weight(0, 2);
    rig.list({server(2, 0, ready, rig.now)}, ServerListUpdateKind::delta);
    rig.run(400 * kMs);
    float weight = rig.weight(0, 2);
    EXPECT_GT(weight, 0);
    EXPECT_LE(weight, full / 4 * 1.01F);
    for (int i = 0; i < 17; ++i) {
        rig.run(kSecond);
        rig.sums({1, 2, 3, 4}, 10, 0, 150 * kMs);
        EXPECT_GE(rig.weight(0, 2), weight);
        weight = rig.weight(0, 2);
    }
    EXPECT_FLOAT_EQ(weight, full);
}

// Incident i4aa4a7: restarted servers kept the trial weight of their ejected predecessor on top of their
// ramp.
TEST(SlowStart, ARestartedServerIsNotHeldToWhatItsFormerProcessDid) {
    Rig rig = rigWithServer2Failing();
    ASSERT_FLOAT_EQ(rig.weight(0, 2), 0);
    rig.list({server(2, 0, ready, rig.now)}, ServerListUpdateKind::delta);
    rig.run(600 * kMs);
    EXPECT_GT(rig.weight(0, 2), 0.15F * rig.weight(0, 1));
}

// Incident i6bbaa1: half a fleet returned cold into an overload and tipped over.
TEST(SlowStart, UnderOverloadColdServersGetNoTraffic) {
    Rig rig = settledRig();
    rig.sums({1, 2, 3, 4}, 20, 18, kSecond);
    rig.run(300 * kMs);
    rig.list({server(2, 0, ready, rig.now)}, ServerListUpdateKind::delta);
    rig.run(600 * kMs);
    EXPECT_FLOAT_EQ(rig.weight(0, 2), 0);
    EXPECT_GT(rig.weight(0, 1), 0);
}

TEST(SlowStart, APlannerThatKnowsNothingYetLeavesColdServersOut) {
    Rig rig(calmSettings());
    rig.list({server(1, 0), server(2, 0, ready, rig.now - kSecond)});
    rig.join(0, 0);
    EXPECT_GT(rig.weight(0, 1), 0);
    EXPECT_FLOAT_EQ(rig.weight(0, 2), 0);
}

TEST(SlowStart, WhereOnlyColdServersAreReadyTheyKeepTheirLines) {
    Rig rig(calmSettings());
    rig.list({server(1, 0, ready, rig.now - kSecond), server(2, 1, gone)});
    rig.join(0, 0);
    EXPECT_GT(rig.weight(0, 1), 0);
}

// Incident i9298a4: a cold server's share grew as the warm ones lost weight.
TEST(SlowStart, AColdServerShrinksWithTheWarmWeight) {
    Rig rig = settledRig();
    rig.sums({1, 2, 3, 4}, 10, 0, 150 * kMs);
    rig.list({server(2, 0, ready, rig.now)}, ServerListUpdateKind::delta);
    rig.run(400 * kMs);
    const float calm = rig.weight(2, 2);
    ASSERT_GT(calm, 0);
    rig.list({server(3, 1, gone), server(4, 1, gone)}, ServerListUpdateKind::delta);
    rig.run(600 * kMs);
    rig.sums({1}, 10, 0, 150 * kMs);
    rig.run(600 * kMs);
    EXPECT_LT(rig.weight(0, 2), calm);
}

// ---- Health ----

TEST(Health, AServerThatAnswersNothingIsEjectedAndReturnsAtALowWeight) {
    Rig rig = rigWithServer2Failing();
    EXPECT_FLOAT_EQ(rig.weight(0, 2), 0);
    rig.run(5 * kSecond);
    EXPECT_GT(rig.weight(0, 2), 0);
    EXPECT_LT(rig.weight(0, 2), 0.3F * rig.weight(0, 1));
}

TEST(Health, ManyFailingAtOnceMeansLoadAndEjectsNobody) {
    Rig rig = settledRig();
    rig.sums({1, 2, 3, 4}, 10, 10, 0);
    rig.run(600 * kMs);
    for (const ServerId s : {1U, 2U, 3U, 4U}) EXPECT_GT(rig.weight(0, s), 0);
}

TEST(Health, FastErrorsDoNotAttractLoad) {
    Rig rig = settledRig();
    for (int i = 0; i < 4; ++i) {
        rig.sums({1, 3, 4}, 10, 0, 150 * kMs);
        rig.sums({2}, 10, 4, 20 * kMs);
        rig.run(kSecond);
    }
    EXPECT_LT(rig.weight(0, 2), 0.8F * rig.weight(0, 1));
}

// With a zone cut off, the cap on ejections left half of the other zone's lines in the tables.
TEST(Health, AnUnreachableZoneIsNotUsedByTheOther) {
    Rig rig = settledRig();
    for (int i = 0; i < 4; ++i) {
        std::vector<Event> events;
        for (ServerId s = 1; s <= 4; ++s) {
            for (ZoneId z = 0; z < 2; ++z) {
                const bool across = (s <= 2) != (z == 0);
                events.push_back(
                    ServerStats{s, z, 10, across ? 10U : 0U, kSecond, across ? 0 : 150 * kMs, {}});
            }
        }
        rig.turn(events);
        rig.run(kSecond);
    }
    EXPECT_FLOAT_EQ(rig.weight(0, 3) + rig.weight(0, 4) + rig.weight(2, 1) + rig.weight(2, 2), 0);
    for (const ServerId s : {1U, 2U}) EXPECT_GT(rig.weight(0, s), 0);
    for (const ServerId s : {3U, 4U}) EXPECT_GT(rig.weight(2, s), 0);
    rig.run(10 * kSecond);
    EXPECT_GT(rig.weight(0, 3), 0) << "the other zone is tried again";
}

// With slow channels, a zone that used only its own servers tipped over before their latency was high in
// absolute terms.
TEST(Health, AZoneWhoseServersQueueGetsOtherZonesLines) {
    Rig rig = settledRig();
    for (int i = 0; i < 30; ++i) {
        rig.sums({1, 2, 3, 4}, 10, 0, 100 * kMs);
        rig.run(kSecond);
    }
    ASSERT_FLOAT_EQ(rig.weight(0, 3), 0);
    for (int i = 0; i < 4; ++i) {
        rig.sums({1, 2}, 10, 0, 200 * kMs);  // a third of the latency target, but twice the usual
        rig.run(kSecond);
    }
    EXPECT_GT(rig.weight(0, 3), 0);
}

TEST(Health, ASlowServerGetsLessAndAFastOneMore) {
    Rig rig = settledRig();
    for (int i = 0; i < 6; ++i) {
        rig.sums({1, 3}, 20, 0, 100 * kMs);
        rig.sums({2, 4}, 20, 0, 250 * kMs);
        rig.run(kSecond);
    }
    EXPECT_LT(rig.weight(0, 2), 0.8F * rig.weight(0, 1));
}

TEST(Health, AZoneWithSpareCapacityUsesOnlyItsOwnServers) {
    Rig rig = settledRig();
    ASSERT_GT(rig.weight(0, 3), 0) << "nothing is known at the start: lines of all zones";
    for (int i = 0; i < 30; ++i) {
        rig.sums({1, 2, 3, 4}, 10, 0, 100 * kMs);
        rig.run(kSecond);
    }
    EXPECT_FLOAT_EQ(rig.weight(0, 3), 0);
    EXPECT_GT(rig.weight(0, 1), 0);
    for (int i = 0; i < 4; ++i) {
        rig.sums({1, 2, 3, 4}, 10, 0, 500 * kMs);
        rig.run(kSecond);
    }
    EXPECT_GT(rig.weight(0, 3), 0) << "an overloaded zone gets lines of other zones";
}

// ---- Levels and retries ----

Settings admissionSettings(Admission how) {
    Settings s = calmSettings();
    s.admission = how;
    return s;
}

void overload(Rig& rig, int seconds) {
    for (int i = 0; i < seconds; ++i) {
        std::vector<Event> demand;
        for (ProxyId p = 0; p < 4; ++p) {
            for (std::uint16_t k = 0; k < 2; ++k) demand.push_back(ProxyDemand{p, k, 20, 10, kSecond});
        }
        rig.turn(demand);
        rig.sums({1, 2, 3, 4}, 20, 8, 900 * kMs);
        rig.run(kSecond);
    }
}

// 75 proxies made lines costly, and ten servers of a zone had to serve alone while twenty others were
// available.
TEST(Zones, AFleetTooSmallForSubsetsUsesOtherZonesWhateverItsTablesCost) {
    Settings settings = calmSettings();
    settings.proxies = 400;  // their tables take over half a second of the channel
    Rig rig(settings);
    std::vector<ListEntry> servers;
    for (ServerId id = 0; id < 20; ++id) servers.push_back(server(id, static_cast<ZoneId>(id % 2)));
    rig.list(servers);
    rig.join(0, 0);
    for (ServerId id = 0; id < 20; ++id) EXPECT_GT(rig.weight(0, id), 0) << id;
}

// Servers that are gone are forgotten, since a fleet may be replaced all day under new ids. One may still
// return.
TEST(Withdrawals, ARemovedServerThatReturnsIsRestored) {
    Rig rig = settledRig();
    ListEntry gone = server(2, 0, ServerState::gone);
    rig.list({gone}, ServerListUpdateKind::delta);
    rig.run(5 * kSecond);
    EXPECT_TRUE(rig.withdrawn.at(2));
    EXPECT_EQ(rig.weight(0, 2), 0);
    rig.list({server(2, 0)}, ServerListUpdateKind::delta);
    rig.run(5 * kSecond);
    EXPECT_FALSE(rig.withdrawn.at(2));
    EXPECT_GT(rig.weight(0, 2), 0);
}

TEST(Levels, ProvenOverloadShedsTheClassWorthLeastFirst) {
    Rig rig = settledRig(admissionSettings(Admission::share));
    EXPECT_GE(rig.levels[rig.tableOf(0)][1].limit, 1);
    overload(rig, 4);
    const auto& levels = rig.levels[rig.tableOf(0)];
    EXPECT_LT(levels.at(1).limit, 0.9F);
    EXPECT_LT(levels.at(1).limit, levels.at(2).limit);
}

TEST(Levels, RatesAreSetIfTheSiteAdmitsByRate) {
    Rig rig = settledRig(admissionSettings(Admission::rate));
    overload(rig, 6);
    EXPECT_GT(rig.levels[rig.tableOf(0)][1].limit, 1) << "a rate, not a share";
    EXPECT_LT(rig.levels[rig.tableOf(0)][1].limit, 20);
}

// At half a request per second and proxy, a limit equal to the wanted rate admitted only half of it.
TEST(Levels, ARateIsHighEnoughForRandomArrivals) {
    EXPECT_NEAR(admittedRate(0.5, 0.5, 1), 0.25, 1e-6)
        << "one place, served as fast as requests arrive: half are refused";
    EXPECT_NEAR(admittedRate(2, 0.5, 1), 0.4, 1e-6);
    EXPECT_NEAR(admittedRate(100, 50, 25), 50, 0.1) << "a long queue admits what it serves";
    for (const double arriving : {0.1, 0.5, 3.0, 200.0}) {
        const std::vector<double> rates(20, arriving);
        double before = 0;
        for (const double share : {0.3, 0.6, 0.9}) {
            const double rate = rateForShare(rates, share, 0.5);
            EXPECT_NEAR(admittedRate(arriving, rate, std::max(1.0, rate / 2)), share * arriving,
                        0.01 * arriving);
            EXPECT_GT(rate, before);
            before = rate;
        }
    }
}

// Absence of requests is not reported, so old demand must not persist.
TEST(Levels, DemandThatIsNotReportedAgainDecays) {
    Demands demands;
    demands.rates[{1, 0}] = {4, 0};
    demands.rates[{2, 0}] = {4, 0};
    demands.decay(2500 * kMs, 2 * kSecond, kSecond, 0.2);
    EXPECT_DOUBLE_EQ(demands.total(), 8) << "not late yet";
    for (Micros now = 3 * kSecond; now < 60 * kSecond; now += 200 * kMs) {
        demands.rates[{2, 0}] = {4, now};
        demands.decay(now, 2 * kSecond, kSecond, 0.2);
    }
    EXPECT_NEAR(demands.total(), 4, 0.05);
}

TEST(Levels, LimitsAreLiftedWhenAnswersAreFastAgain) {
    Rig rig = settledRig(admissionSettings(Admission::share));
    overload(rig, 6);
    for (int i = 0; i < 60; ++i) {
        rig.sums({1, 2, 3, 4}, 20, 0, 100 * kMs);
        rig.run(kSecond);
    }
    EXPECT_GE(rig.levels[rig.tableOf(0)][1].limit, 1);
}

TEST(Levels, SlowAnswersOfOneServerAreNoOverload) {
    Rig rig = settledRig(admissionSettings(Admission::share));
    for (int i = 0; i < 6; ++i) {
        rig.sums({1, 3, 4}, 10, 0, 150 * kMs);
        rig.sums({2}, 10, 10, 0);
        rig.run(kSecond);
    }
    EXPECT_GE(rig.levels[rig.tableOf(0)][1].limit, 1);
}

// One overload, seen in decaying statistics, caused cut after cut until 98% of requests were refused.
TEST(Levels, TheLimitStaysAboveAPartOfThePeakRate) {
    Rig rig = settledRig(admissionSettings(Admission::share));
    overload(rig, 40);
    EXPECT_GT(rig.levels[rig.tableOf(0)][2].limit, 0.2F);
}

// During a rolling restart of controllers, the proxies of a stopped planner were held to a limit made for the
// few proxies that were here before.
TEST(Levels, ALimitGrowsWithTheProxiesThatJoin) {
    Rig rig = settledRig(admissionSettings(Admission::share));
    overload(rig, 4);
    const auto admitted = [&rig] {
        const auto& levels = rig.levels[rig.tableOf(0)];
        return levels.at(1).limit + levels.at(2).limit;
    };
    const float before = admitted();
    std::vector<Event> joins;
    for (ProxyId p = 10; p < 14; ++p) joins.push_back(ProxyJoined{p, 0, 10, false});
    rig.turn(joins);
    std::vector<Event> demand;
    for (ProxyId p = 10; p < 14; ++p) {
        for (std::uint16_t k = 0; k < 2; ++k) demand.push_back(ProxyDemand{p, k, 20, 10, kSecond});
    }
    rig.turn(demand);
    rig.run(kSecond);
    EXPECT_GE(admitted(), 0.9F * before);
}

TEST(Retries, ANonRepeatableRequestIsRetriedOnlyIfProvenNotToHaveRun) {
    Rig rig = settledRig();
    EXPECT_LE(rig.levels[rig.tableOf(0)][2].retryMode, 1);
}

TEST(Retries, OverloadDisablesRetries) {
    Rig rig = settledRig(admissionSettings(Admission::none));
    EXPECT_EQ(rig.levels[rig.tableOf(0)][1].retryMode, 1);
    overload(rig, 6);
    EXPECT_EQ(rig.levels[rig.tableOf(0)][1].retryMode, 0);
    EXPECT_GE(rig.levels[rig.tableOf(0)][1].limit, 1);
}

// ---- Zones of a class ----

TEST(Zones, AClassThatOnlyOneZoneServesIsSentThereAlone) {
    Settings s = calmSettings();
    s.classes[1].zones = 1U << 1U;
    const Rig rig = settledRig(s);
    ASSERT_EQ(rig.bound.at(0).size(), 2U);
    const auto& table = rig.tables.at(rig.bound.at(0).at(2));
    EXPECT_FALSE(table.count(1));
    EXPECT_FALSE(table.count(2));
    EXPECT_TRUE(table.count(3));
}

// ---- Sites with slices ----

// Two ready servers, one proxy, and slice 3 assigned to this planner and held by server 1.
Rig sliceRig(Settings s) {
    s.shards = 4;
    Rig rig(std::move(s));
    rig.list({server(1, 0), server(2, 0)});
    rig.join(0, 0);
    rig.turn({SliceAssignment{3, true}, SliceLine{3, 1, 1}});
    return rig;
}

TEST(Slices, AnOwnerIsReplacedOnlyAfterLeaseAndSettle) {
    Settings s = calmSettings();
    s.oneOwner = true;
    s.writeLease = 2 * kSecond;
    s.settle = kSecond;
    Rig rig = sliceRig(s);
    rig.run(4 * kSecond);
    rig.list({server(1, 0, gone)}, ServerListUpdateKind::delta);
    rig.run(kSecond);
    EXPECT_TRUE(rig.withdrawn[1]);
    rig.run(1500 * kMs);
    EXPECT_TRUE(rig.tables[3].empty()) << "two servers could hold a write";
    rig.run(2 * kSecond);
    EXPECT_TRUE(rig.tables[3].count(2));
    EXPECT_EQ(rig.count<Bind>(), 0);
}

TEST(Slices, ASliceTakenAwayGetsNoMoreOrders) {
    Rig rig = sliceRig(calmSettings());
    rig.turn({SliceAssignment{3, false}});
    rig.list({server(1, 0, gone)}, ServerListUpdateKind::delta);
    rig.run(2 * kSecond);
    EXPECT_TRUE(rig.tables[3].empty());
}

TEST(Slices, WithoutOneOwnerASliceMovesAtOnce) {
    Rig rig = sliceRig(calmSettings());
    rig.run(kSecond);
    rig.list({server(1, 0, draining)}, ServerListUpdateKind::delta);
    rig.run(600 * kMs);
    EXPECT_TRUE(rig.tables[3].count(2));
}

// ---- Restarts and joins ----

TEST(Restart, AnEmptyInstanceBindsWhenTheListComes) {
    Rig rig(calmSettings());
    rig.join(0, 0);
    EXPECT_TRUE(rig.bound.empty()) << "nothing to bind to yet";
    rig.list({server(1, 0), server(3, 1)});
    EXPECT_GT(rig.weight(0, 1), 0);
}

TEST(Restart, WithNothingReadyAProxyKeepsWhatItHolds) {
    Rig rig(calmSettings());
    rig.list({server(1, 0, draining)});
    rig.join(0, 0);
    EXPECT_TRUE(rig.bound.empty());
    rig.list({server(1, 0)}, ServerListUpdateKind::delta);
    EXPECT_GT(rig.weight(0, 1), 0);
}

TEST(Restart, AProxyThatLeavesAndReturnsHasAcknowledgedNothing) {
    Rig rig = settledRig();
    rig.leave(0);
    rig.join(0, 0);
    ASSERT_TRUE(rig.bound.count(0));
    EXPECT_GT(rig.weight(0, 1), 0);
    rig.run(6 * kSecond);
    EXPECT_EQ(rig.tableOf(0), rig.tableOf(1));
}

TEST(Restart, TheSameEventsCauseTheSameActions) {
    const auto play = [] {
        Rig rig = settledRig();
        rig.sums({1, 2, 3}, 10, 0, 150 * kMs);
        rig.sums({4}, 10, 9, 150 * kMs);
        rig.run(8 * kSecond);
        return std::make_pair(rig.tables, rig.messages);
    };
    EXPECT_EQ(play(), play());
}

TEST(Restart, AListOnRequestIsAskedForAndAskedAgainAfterAFailure) {
    Settings s = calmSettings();
    s.listOnRequest = true;
    Rig rig(s);
    rig.turn();
    EXPECT_EQ(rig.count<Subscribe>(), 1);
    rig.turn({ServerListUpdate{0, ServerListUpdateKind::failed, {}}});
    EXPECT_EQ(rig.count<Subscribe>(), 1);
}

}  // namespace
}  // namespace marldale::test
