// The decision module by itself, part by part.
#include "support/fleet.h"

namespace marldale::test {
namespace {

using enum ServerState;

// The list gives server 2 another weight; the change has time to go out.
void reweigh(Rig& rig, double weight) {
    ListEntry entry = server(2, 0);
    entry.weight = weight;
    rig.list({entry}, ServerListUpdateKind::delta);
    rig.run(400 * kMs);
}

// All servers answer but server 2, which fails every try; the ejection has time to go out.
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

TEST(Push, AHeldChangeWaitsForTheAnswerAndMerges) {
    Rig rig = settledRig();
    rig.silent = {0};
    reweigh(rig, 2);
    EXPECT_FLOAT_EQ(rig.weight(0, 2), 2);  // sent under a mark that proxy 0 does not answer
    for (const double w : {3.0, 4.0}) {
        reweigh(rig, w);
        EXPECT_FLOAT_EQ(rig.weight(0, 2), 2) << "a change went out under an unanswered mark";
    }
    const int before = rig.messages[1];
    rig.answerNow(0);
    rig.run(600 * kMs);
    EXPECT_FLOAT_EQ(rig.weight(0, 2), 4);  // both held changes as one difference
    EXPECT_EQ(rig.messages[1], before + 1);
}

TEST(Push, TheTimeoutReleasesTheWaitAndTheSilentProxyGetsACopy) {
    Rig rig = settledRig();
    rig.silent = {0};
    reweigh(rig, 2);
    reweigh(rig, 3);
    rig.run(3500 * kMs);
    EXPECT_NE(rig.tableOf(0), rig.tableOf(1));
    EXPECT_FLOAT_EQ(rig.weight(1, 2), 3);
    EXPECT_FLOAT_EQ(rig.weight(0, 2), 3) << "later changes go to copies too";
}

TEST(Push, ALateAnswerAfterTheTimeoutFoldsTheCopyBack) {
    Rig rig = settledRig();
    rig.silent = {0};
    reweigh(rig, 2);
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
    reweigh(rig, 2);
    reweigh(rig, 3);
    rig.join(7, 0);
    EXPECT_FLOAT_EQ(rig.weight(7, 2), 3);
    EXPECT_FLOAT_EQ(rig.weight(1, 2), 2) << "the shared table still waits";
}

TEST(Push, AnAnswerOfADepartedProxyChangesNothing) {
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

TEST(Pacer, NoProxyIsWrittenMoreThanTheLimitWhateverComes) {
    Settings s = calmSettings();
    s.messagesMost = 6;
    s.messagesOver = 10 * kSecond;
    Rig rig(s);
    rig.list({server(1, 0), server(2, 0), server(3, 1), server(4, 1), server(5, 1)});
    rig.now += kSecond;
    rig.join(0, 0);
    for (int i = 0; i < 100;
         ++i) {  // a list that never rests: one server drains and comes back, over and over
        rig.now += 100 * kMs;
        rig.list({server(5, 1, i % 2 == 0 ? draining : ready)}, ServerListUpdateKind::delta);
    }
    EXPECT_GT(rig.messages[0], 1);
    EXPECT_LE(rig.messages[0], 6);
}

TEST(Pacer, WithoutAnswersTheBacklogStaysUnderItsCap) {
    Settings s = calmSettings();
    s.backlogLines = 150;
    s.pushRate = 1;  // a channel that all but stands still
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
    for (int i = 0; i < 100; ++i) {  // a server that restarts again and again: each time an urgent change
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

TEST(Withdrawals, ADrainSkipsTheWaitOfAnUnansweredMark) {
    Rig rig = settledRig();
    rig.silent = {0, 1, 2, 3};
    reweigh(rig, 2);
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

// Found by incident i4aa4a7: servers that had vanished kept the trickle of an ejected one on top of their
// ramp.
TEST(SlowStart, ARestartedServerIsNotHeldToWhatItsFormerProcessDid) {
    Rig rig = rigWithServer2Failing();
    ASSERT_FLOAT_EQ(rig.weight(0, 2), 0);
    rig.list({server(2, 0, ready, rig.now)}, ServerListUpdateKind::delta);
    rig.run(600 * kMs);
    EXPECT_GT(rig.weight(0, 2), 0.15F * rig.weight(0, 1));
}

// Found by incident i6bbaa1: half a fleet came back cold into a jam and was pushed over.
TEST(SlowStart, InAJamColdServersTakeNothing) {
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

// Found by incident i9298a4: a cold server's share grew as the warm ones lost weight.
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

TEST(Health, AServerThatAnswersNothingIsEjectedAndComesBackByATrickle) {
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

// Found on days with a zone cut: the cap on ejections left half of another zone's lines in the tables.
TEST(Health, AZoneThatCannotBeReachedFromOneSideIsLeftToItself) {
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
    EXPECT_GT(rig.weight(0, 3), 0) << "the other side is tried again";
}

// Found on a day of slow channels: a zone drawn in to its own servers tipped before it was hot in absolute
// terms.
TEST(Health, AZoneWhoseServersQueueGetsTheOthersLines) {
    Rig rig = settledRig();
    for (int i = 0; i < 30; ++i) {
        rig.sums({1, 2, 3, 4}, 10, 0, 100 * kMs);
        rig.run(kSecond);
    }
    ASSERT_FLOAT_EQ(rig.weight(0, 3), 0);
    for (int i = 0; i < 4; ++i) {
        rig.sums({1, 2}, 10, 0, 200 * kMs);  // a third of the aim: not hot yet, but twice the usual
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

TEST(Health, AZoneWithSlackKeepsToItself) {
    Rig rig = settledRig();
    ASSERT_GT(rig.weight(0, 3), 0) << "nothing is proven at the start: lines of all zones";
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
    EXPECT_GT(rig.weight(0, 3), 0) << "a hot zone gets the others' lines";
}

// ---- Levels and retries ----

Settings sheddingSettings(Admission how) {
    Settings s = calmSettings();
    s.admission = how;
    return s;
}

void jam(Rig& rig, int seconds) {
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

// Found on worse days in service: 75 proxies made lines dear, and ten servers of a zone were left to
// themselves with another twenty at hand.
TEST(Zones, AFleetTooSmallForColumnsSpreadsWhateverItsTablesCost) {
    Settings settings = calmSettings();
    settings.proxies = 400;  // their tables take over half a second of the channel
    Rig rig(settings);
    std::vector<ListEntry> servers;
    for (ServerId id = 0; id < 20; ++id) servers.push_back(server(id, static_cast<ZoneId>(id % 2)));
    rig.list(servers);
    rig.join(0, 0);
    for (ServerId id = 0; id < 20; ++id) EXPECT_GT(rig.weight(0, id), 0) << id;
}

// A fleet that is replaced all day under new ids: what has gone is forgotten, and may come back all the same.
TEST(Withdrawals, AServerThatHasGoneAndComesBackIsLetBack) {
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

TEST(Levels, ProvenOverloadShedsTheLeastWorthFirst) {
    Rig rig = settledRig(sheddingSettings(Admission::share));
    EXPECT_GE(rig.levels[rig.tableOf(0)][1].limit, 1);
    jam(rig, 4);
    const auto& levels = rig.levels[rig.tableOf(0)];
    EXPECT_LT(levels.at(1).limit, 0.9F);
    EXPECT_LT(levels.at(1).limit, levels.at(2).limit);
}

TEST(Levels, RatesAreSetWhereTheSiteTakesRates) {
    Rig rig = settledRig(sheddingSettings(Admission::rate));
    jam(rig, 6);
    EXPECT_GT(rig.levels[rig.tableOf(0)][1].limit, 1) << "a rate, not a share";
    EXPECT_LT(rig.levels[rig.tableOf(0)][1].limit, 20);
}

// Found on worse days in service: with half a request a second and proxy, a level of what was to be let in
// let in half of that.
TEST(Levels, ARateIsHighEnoughForRequestsThatComeByChance) {
    EXPECT_NEAR(letIn(0.5, 0.5, 1), 0.25, 1e-6) << "one place, as many again as it serves: half are refused";
    EXPECT_NEAR(letIn(2, 0.5, 1), 0.4, 1e-6);
    EXPECT_NEAR(letIn(100, 50, 25), 50, 0.1) << "a long queue lets in what it serves";
    for (const double came : {0.1, 0.5, 3.0, 200.0}) {
        const std::vector<double> rates(20, came);
        double before = 0;
        for (const double keep : {0.3, 0.6, 0.9}) {
            const double rate = evenRate(rates, keep, 0.5);
            EXPECT_NEAR(letIn(came, rate, std::max(1.0, rate / 2)), keep * came, 0.01 * came);
            EXPECT_GT(rate, before);
            before = rate;
        }
    }
}

// Nobody reports that nothing came, so what is not told again must not stand for good.
TEST(Levels, DemandThatIsNotToldAgainFades) {
    Demands demands;
    demands.rates[{1, 0}] = {4, 0};
    demands.rates[{2, 0}] = {4, 0};
    demands.fade(2500 * kMs, 2 * kSecond, kSecond, 0.2);
    EXPECT_DOUBLE_EQ(demands.total(), 8) << "not late yet";
    for (Micros now = 3 * kSecond; now < 60 * kSecond; now += 200 * kMs) {
        demands.rates[{2, 0}] = {4, now};
        demands.fade(now, 2 * kSecond, kSecond, 0.2);
    }
    EXPECT_NEAR(demands.total(), 4, 0.05);
}

TEST(Levels, TheyAreLiftedWhenAnswersAreFastAgain) {
    Rig rig = settledRig(sheddingSettings(Admission::share));
    jam(rig, 6);
    for (int i = 0; i < 60; ++i) {
        rig.sums({1, 2, 3, 4}, 20, 0, 100 * kMs);
        rig.run(kSecond);
    }
    EXPECT_GE(rig.levels[rig.tableOf(0)][1].limit, 1);
}

TEST(Levels, SlowAnswersOfOneServerAreNoOverload) {
    Rig rig = settledRig(sheddingSettings(Admission::share));
    for (int i = 0; i < 6; ++i) {
        rig.sums({1, 3, 4}, 10, 0, 150 * kMs);
        rig.sums({2}, 10, 10, 0);
        rig.run(kSecond);
    }
    EXPECT_GE(rig.levels[rig.tableOf(0)][1].limit, 1);
}

// Found on an overloaded day: one jam, seen in fading sums, was answered again and again until 98% was
// refused.
TEST(Levels, TheLimitStaysAboveAPartOfWhatTheFleetHasProven) {
    Rig rig = settledRig(sheddingSettings(Admission::share));
    jam(rig, 40);
    EXPECT_GT(rig.levels[rig.tableOf(0)][2].limit, 0.2F);
}

// Found on a roll of the controllers: a dead planner's proxies were held to the limit of the few who had been
// here.
TEST(Levels, ALimitGrowsWithTheProxiesThatJoin) {
    Rig rig = settledRig(sheddingSettings(Admission::share));
    jam(rig, 4);
    const auto letIn = [&rig] {
        const auto& levels = rig.levels[rig.tableOf(0)];
        return levels.at(1).limit + levels.at(2).limit;
    };
    const float before = letIn();
    std::vector<Event> joins;
    for (ProxyId p = 10; p < 14; ++p) joins.push_back(ProxyJoined{p, 0, 10, false});
    rig.turn(joins);
    std::vector<Event> demand;
    for (ProxyId p = 10; p < 14; ++p) {
        for (std::uint16_t k = 0; k < 2; ++k) demand.push_back(ProxyDemand{p, k, 20, 10, kSecond});
    }
    rig.turn(demand);
    rig.run(kSecond);
    EXPECT_GE(letIn(), 0.9F * before);
}

TEST(Retries, WhatMustNotRunTwiceIsOnlyTriedAgainAfterProof) {
    Rig rig = settledRig();
    EXPECT_LE(rig.levels[rig.tableOf(0)][2].retryMode, 1);
}

TEST(Retries, OverloadTakesFurtherTriesAway) {
    Rig rig = settledRig(sheddingSettings(Admission::none));
    EXPECT_EQ(rig.levels[rig.tableOf(0)][1].retryMode, 1);
    jam(rig, 6);
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

// Two ready servers, one proxy, and slice 3 in our charge at server 1.
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

TEST(Slices, WhatIsTakenAwayIsOrderedNoMore) {
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

// ---- Restart and joins ----

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

TEST(Restart, SameEventsSameActions) {
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
