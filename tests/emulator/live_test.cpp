// What a daemon behind sockets is configured with says the same as what the model's planner is given.
#include <gtest/gtest.h>

#include <set>

#include "emulator/instance.h"
#include "runs.h"
#include "standin/live_table.h"

namespace marldale::emulator {
namespace {

Scenario unusual() {
    Scenario s = tests::scenarioOf(tests::kSmall);
    s.classes[0].zones = {"b"};
    s.classes[1].ownZoneOnly = true;
    s.classes[1].worth = 3;
    s.classes[1].lateWorth = 0.25;
    s.planner.reportsPerS = 700;
    s.planner.messagesMost = 9;
    s.planner.messagesOver = 7000000;
    s.planner.emptyFor = 2500000;
    s.planner.drainGrace = 3500000;
    s.planner.admission = Admission::share;
    s.planner.envelope = 3;
    s.box.tipMultiple = 2.5;
    s.box.coldSpeed = 0.2;
    s.box.warmUp = 11000000;
    return s;
}

TEST(Live, TheDaemonIsConfiguredAsTheModel) {
    const Scenario s = unusual();
    const Start start{1, 3, 0, 0};
    ListedNews known;
    known.entries = {{4, 0, ServerState::ready, 0}, {5, 1, ServerState::draining, 2000000}};
    constexpr Micros kBase = 1764600000000000;
    const protocol::Config config = protocol::parseConfig(
        standin::liveConfig(s, start, known, {"127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3"}, kBase));
    const Settings want = configOf(s, 1, 3).settings;
    const Settings& got = config.settings;
    EXPECT_EQ(got.plannerIndex, want.plannerIndex);
    EXPECT_EQ(got.planners, want.planners);
    EXPECT_EQ(got.seed, want.seed);
    EXPECT_EQ(got.zones, want.zones);
    EXPECT_EQ(got.myZone, want.myZone);
    EXPECT_EQ(got.proxies, want.proxies);
    EXPECT_EQ(got.admission, want.admission);
    EXPECT_EQ(got.pushRate, want.pushRate);
    EXPECT_EQ(got.backlogLines, want.backlogLines);
    EXPECT_EQ(got.envelopeLines, want.envelopeLines);
    EXPECT_EQ(got.messagesMost, want.messagesMost);
    EXPECT_EQ(got.messagesOver, want.messagesOver);
    EXPECT_EQ(got.reportEvery, want.reportEvery);
    EXPECT_EQ(got.reportsPerS, want.reportsPerS);
    EXPECT_EQ(got.emptyFor, want.emptyFor);
    EXPECT_EQ(got.drainGrace, want.drainGrace);
    EXPECT_EQ(got.coldShare, want.coldShare);
    EXPECT_EQ(got.tipMultiple, want.tipMultiple);
    EXPECT_EQ(got.fallWithin, want.fallWithin);
    EXPECT_EQ(got.warmUp, want.warmUp);
    EXPECT_EQ(got.tryTimeoutFactor, want.tryTimeoutFactor);
    EXPECT_EQ(got.loadFields, want.loadFields);
    ASSERT_EQ(got.classes.size(), want.classes.size());
    for (std::size_t k = 0; k < want.classes.size(); ++k) {
        EXPECT_EQ(got.classes[k].latencyTarget, want.classes[k].latencyTarget);
        EXPECT_EQ(got.classes[k].giveUp, want.classes[k].giveUp);
        EXPECT_EQ(got.classes[k].worth, want.classes[k].worth);
        EXPECT_EQ(got.classes[k].lateWorth, want.classes[k].lateWorth);
        EXPECT_EQ(got.classes[k].repeat, want.classes[k].repeat);
        EXPECT_EQ(got.classes[k].writes, want.classes[k].writes);
        EXPECT_EQ(got.classes[k].ownZoneOnly, want.classes[k].ownZoneOnly);
        EXPECT_EQ(got.classes[k].zones & 3U, want.classes[k].zones & 3U);
    }
    ASSERT_EQ(config.known.entries.size(), 2U);
    EXPECT_EQ(config.known.entries[0].uid, "b4");
    EXPECT_EQ(config.known.entries[0].bootUs, 0) << "long ago";
    EXPECT_EQ(config.known.entries[1].state, ServerState::draining);
    EXPECT_EQ(config.known.entries[1].bootUs, kBase + 2000000);
}

TEST(Live, WhatCantBePlayedInRealTimeIsRefused) {
    const auto refused = [](auto change) {
        Scenario s = tests::scenarioOf(tests::kSmall);
        change(s);
        EXPECT_THROW((void)standin::besideTheModel(s), std::invalid_argument);
    };
    refused([](Scenario& s) { s.run.duration = 121000000; });
    refused([](Scenario& s) { s.fleet.boxes = 601; });
    refused([](Scenario& s) { s.planner.policy = PolicyKind::even; });
    refused([](Scenario& s) { s.planner.learn = Learn::peer; });
}

struct Enough {};

// Over both fronts; the run ends as soon as it is seen.
TEST(Live, RelaysHoldWhatTheDaemonOrders) {
    Scenario s = tests::scenarioOf(tests::kSmall);
    s.run.duration = 60000000;
    for (const auto front : {standin::LiveFront::platform, standin::LiveFront::grpc}) {
        standin::RealTime time;
        std::set<std::uint32_t> told, held;
        Outside outside = standin::overSockets(front, time);
        outside.pace = [&, pace = outside.pace](Micros at) {
            if (held.size() == s.fleet.relays) throw Enough();
            pace(at);
        };
        const auto read = [&](const Event& e) {
            if (e.kind == Kind::messaged) told.insert(e.subject);
            if (e.kind == Kind::holds && e.other > 0 && told.count(e.subject) != 0) held.insert(e.subject);
        };
        EXPECT_THROW(tests::Played(s, read, std::move(outside)), Enough)
            << told.size() << " relays told, " << held.size() << " hold what they were told";
    }
}

}  // namespace
}  // namespace marldale::emulator
