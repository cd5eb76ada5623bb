// Between the sockets and the module, without sockets: names and numbers, the queue, calls, the module's
// thread.
#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <thread>

#include "routing/backoff.h"
#include "routing/beliefs.h"
#include "routing/clock.h"
#include "routing/event_queue.h"
#include "routing/pending_call.h"
#include "routing/planner_thread.h"
#include "routing/prober.h"
#include "routing/send_guard.h"
#include "routing/translator.h"
#include "support/sockets.h"

namespace marldale::routing {
namespace {

using namespace std::chrono_literals;
using tests::smallConfig;
using Texts = std::vector<std::string>;

const Logger kSilent = [](const char*, const std::string&) {};

class TranslatorTest : public testing::Test {
protected:
    [[nodiscard]] std::optional<std::string> order(const Action& action) const {
        const auto named = translator.named(action);
        if (!named) return std::nullopt;
        return translator.text(*named);
    }
    std::vector<Event> events(const Input& input) {
        std::vector<Event> out;
        translator.events(input, out);
        return out;
    }
    template <class T>
    T only(const Input& input) {
        const auto got = events(input);
        if (got.size() != 1 || !std::holds_alternative<T>(got[0])) {
            ADD_FAILURE() << "not the one event expected, but " << got.size();
            return {};
        }
        return std::get<T>(got[0]);
    }
    static protocol::CatalogEntry server(const std::string& uid, ServerState state = ServerState::ready,
                                         const std::string& zone = "b") {
        return {uid, "127.0.0.9:5000", zone, "m2", 3, state, 1.5, 1700000000123000};
    }
    static ListInput list(std::uint64_t rev, bool whole, std::vector<protocol::CatalogEntry> entries) {
        return {{rev, whole, std::move(entries), 0}, false};
    }
    void know(const Texts& uids) {
        std::vector<protocol::CatalogEntry> entries;
        for (const auto& uid : uids) entries.push_back(server(uid));
        (void)events(ListInput{{1, true, entries, 0}, true});
    }
    static protocol::News hello(std::uint16_t proxy, bool fresh = false) {
        return protocol::Hello{proxy, "a", 21.5, fresh};
    }

    Translator translator{smallConfig(), kSilent};
};

TEST_F(TranslatorTest, ListsKeepTheirKindAndServersTheirNumber) {
    const auto cached = only<ServerListUpdate>(ListInput{{41, true, {server("s1"), server("s2")}, 0}, true});
    EXPECT_EQ(cached.kind, ServerListUpdateKind::cached);
    ASSERT_EQ(cached.entries.size(), 2U);
    EXPECT_EQ(cached.entries[0].zone, 1);
    EXPECT_EQ(cached.entries[0].kind, 1);
    EXPECT_EQ(cached.entries[0].cell, 3);
    EXPECT_EQ(cached.entries[0].weight, 1.5);
    EXPECT_EQ(cached.entries[0].bootTime, 1700000000123000);
    const auto delta = only<ServerListUpdate>(list(43, false, {server("s2", ServerState::draining)}));
    EXPECT_EQ(delta.kind, ServerListUpdateKind::delta);
    EXPECT_EQ(delta.version, 43U);
    EXPECT_EQ(delta.entries[0].server, cached.entries[1].server);
    EXPECT_EQ(delta.entries[0].state, ServerState::draining);
    EXPECT_EQ(only<ServerListUpdate>(list(44, true, {server("s2")})).kind, ServerListUpdateKind::full);
}

TEST_F(TranslatorTest, ListsThatGoBackwardsAreRefused) {
    know({"s1"});
    (void)events(list(50, true, {server("s1")}));
    EXPECT_TRUE(events(list(49, true, {server("s1")})).empty());
    EXPECT_TRUE(events(list(50, false, {server("s1", ServerState::draining)})).empty());
    EXPECT_EQ(events(list(51, false, {server("s1", ServerState::draining)})).size(), 1U);
}

TEST_F(TranslatorTest, EntriesOfUnknownZonesAreLeftOutAndUnknownKindsAreNot) {
    auto odd = server("s2");
    odd.kind = "never heard of";
    const auto news =
        only<ServerListUpdate>(list(5, true, {server("s1", ServerState::ready, "nowhere"), odd}));
    ASSERT_EQ(news.entries.size(), 1U);
    EXPECT_FALSE(order(SetLine{1, 1, 1.0F}).has_value());
}

TEST_F(TranslatorTest, GoneServersThatWereNeverListedAreNoNews) {
    know({"s1"});
    const auto news = only<ServerListUpdate>(list(
        5, false,
        {{"s1", "", "", "", 0, ServerState::gone, 0, 0}, {"s9", "", "", "", 0, ServerState::gone, 0, 0}}));
    ASSERT_EQ(news.entries.size(), 1U);
    EXPECT_EQ(news.entries[0].state, ServerState::gone);
    EXPECT_EQ(news.entries[0].zone, 1) << "what it was stays known";
}

TEST_F(TranslatorTest, EndpointsFollowTheListAndEndWithTheServer) {
    know({"s1"});
    EXPECT_EQ(translator.endpoint(0), "127.0.0.9:5000");
    auto moved = server("s1");
    moved.endpoint = "127.0.0.10:6000";
    (void)events(list(5, false, {moved}));
    EXPECT_EQ(translator.endpoint(0), "127.0.0.10:6000");
    (void)events(list(6, true, {}));
    EXPECT_EQ(translator.endpoint(0), "");
    EXPECT_EQ(translator.endpoint(99), "");
    ASSERT_EQ(translator.wholeList().entries.size(), 1U);
    EXPECT_EQ(translator.wholeList().entries[0].state, ServerState::gone);
}

TEST_F(TranslatorTest, OutcomesBecomeSumsWithTheLoadInTheSettingsOrder) {
    know({"s1"});
    const auto sums = only<ServerStats>(
        protocol::Report{protocol::Outcomes{"b", "s1", 212, 3, 41700, 1000000, {{"inflight", 7}, {"x", 9}}}});
    EXPECT_EQ(sums.server, 0U);
    EXPECT_EQ(sums.fromZone, 1);
    EXPECT_EQ(sums.tries, 212U);
    EXPECT_EQ(sums.failed, 3U);
    EXPECT_EQ(sums.meanTime, 41700);
    EXPECT_EQ(sums.period, 1000000);
    EXPECT_EQ(sums.load, (LoadReport{0.0F, 7.0F}));  // util is absent
    const auto bare = only<ServerStats>(protocol::Report{protocol::Outcomes{"b", "s1", 1, 0, 1, 1, {}}});
    EXPECT_TRUE(bare.load.empty());
}

TEST_F(TranslatorTest, ReportsOfWhatIsUnknownAreLeftOut) {
    know({"s1"});
    for (const protocol::Report& report :
         {protocol::Report{protocol::Outcomes{"b", "s9", 1, 0, 1, 1, {}}},
          protocol::Report{protocol::Outcomes{"nowhere", "s1", 1, 0, 1, 1, {}}},
          protocol::Report{protocol::Demand{1, "odd", 1, 0, 1}},
          protocol::Report{protocol::Demand{9, "lookup", 1, 0, 1}},
          protocol::Report{protocol::AliveProbe{}}}) {
        EXPECT_TRUE(events(report).empty());
    }
    EXPECT_EQ(only<ProxyDemand>(protocol::Report{protocol::Demand{8, "write it", 1, 0, 1}}).klass, 1);
}

// A spoilt mean that is a number all the same would pass for a jam of the whole fleet.
TEST_F(TranslatorTest, MeanThatNoTryCanHaveIsLeftOut) {
    know({"s1"});
    EXPECT_TRUE(events(protocol::Report{protocol::Outcomes{"b", "s1", 1, 0, 50000000, 1000000, {}}}).empty());
    EXPECT_EQ(only<ServerStats>(protocol::Report{protocol::Outcomes{"b", "s1", 1, 0, 2000000, 1, {}}}).tries,
              1U);
}

// The list brings new servers under new ids all day long.
TEST_F(TranslatorTest, ServersThatHaveGoneAreForgottenInTheEndAndNumbersAreNeverUsedTwice) {
    std::uint64_t rev = 1;
    ServerId last = 0;
    for (int generation = 0; generation < 2000; ++generation) {
        const std::string uid = "s" + std::to_string(generation),
                          before = "s" + std::to_string(generation - 1);
        const auto news = only<ServerListUpdate>(list(++rev, generation % 50 == 0, {server(uid)}));
        EXPECT_GE(news.entries[0].server, last);
        last = news.entries[0].server;
        if (generation > 0) (void)events(list(++rev, false, {server(before, ServerState::gone)}));
        EXPECT_LE(translator.serversKnown(), limits::kGoneServers + 2);
    }
    EXPECT_EQ(last, 1999U);
    EXPECT_EQ(translator.endpoint(last), "127.0.0.9:5000");
    EXPECT_FALSE(order(SetLine{1, 0, 1}).has_value()) << "forgotten";
    // One that has gone only lately comes back under its number.
    EXPECT_EQ(only<ServerListUpdate>(list(++rev, false, {server("s1990")})).entries[0].server, 1990U);
}

// Found by reading: servers that had gone long ago were looked up after those that go now had pushed them
// out.
TEST_F(TranslatorTest, WholeListWithoutServersThatWentLongAgoAndOthersThatGoNow) {
    const std::size_t all = limits::kGoneServers + 10;
    std::vector<protocol::CatalogEntry> first, oldGone;
    for (std::size_t i = 0; i < all; ++i) first.push_back(server("s" + std::to_string(i)));
    for (std::size_t i = 10; i < all; ++i) {
        oldGone.push_back(server("s" + std::to_string(i), ServerState::gone));
    }
    (void)events(list(1, true, first));
    (void)events(list(2, false, oldGone));  // as many as are remembered, with the higher numbers
    EXPECT_NO_THROW((void)events(list(3, true, {server("new")})));
    EXPECT_EQ(translator.serversKnown(), limits::kGoneServers + 1);
    EXPECT_EQ(translator.endpoint(static_cast<ServerId>(all)), "127.0.0.9:5000");
}

TEST_F(TranslatorTest, NewsOfProxies) {
    const auto joined = only<ProxyJoined>(hello(3, true));
    EXPECT_EQ(joined.proxy, 3);
    EXPECT_EQ(joined.zone, 0);
    EXPECT_EQ(joined.usualRate, 21.5);
    EXPECT_TRUE(joined.fresh);
    EXPECT_EQ(only<Acknowledged>(protocol::News{protocol::Ack{3, 905, 310400}}).mark, 905U);
    EXPECT_EQ(only<ProxyLeft>(protocol::News{protocol::Bye{3}}).proxy, 3);
    EXPECT_TRUE(events(protocol::News{protocol::Bye{3}}).empty()) << "it has left already";
    EXPECT_TRUE(events(protocol::News{protocol::Ack{3, 906, 1}}).empty());
    EXPECT_TRUE(events(protocol::News{protocol::Hello{9, "a", 1, false}}).empty()) << "9 proxies: 0 to 8";
    EXPECT_TRUE(events(protocol::News{protocol::Hello{1, "nowhere", 1, false}}).empty());
}

// A proxy that left and came back while there was no news is bound to none of our tables.
TEST_F(TranslatorTest, WhoIsToldAgainHasJoinedAnew) {
    (void)events(hello(1));
    EXPECT_EQ(only<ProxyJoined>(hello(1)).proxy, 1);
}

TEST_F(TranslatorTest, OrdersAreWrittenWithNamesAndPlainDigits) {
    know({"s-1", "s-2"});
    EXPECT_EQ(order(SetLine{4, 1, 1.5F}), "share,4,s-2,1.5");
    EXPECT_EQ(order(SetLine{4, 0, 0.0F}), "share,4,s-1,0");
    EXPECT_EQ(order(DropLines{4}), "clear,4");
    EXPECT_EQ(order(Bind{17, 4, 0}), "bind,17,4,*");
    EXPECT_EQ(order(Bind{17, 4, 3}), "bind,17,4,lookup+write it");
    EXPECT_EQ(order(Withdraw{0, true}), "withdraw,s-1");
    EXPECT_EQ(order(Withdraw{0, false}), "restore,s-1");
    EXPECT_EQ(order(SetLevel{4, 1e6F, 1, 1}), "admit,4,lookup,1000000,1");
    EXPECT_EQ(order(SetLevel{kAllTables, 0.0001F, 0, 0}), "admit,*,*,0.0001,0");
    EXPECT_EQ(order(Mark{905, true}), "mark,905,1");
    EXPECT_EQ(order(Mark{905, false}), "mark,905,0");
    EXPECT_EQ(order(SetLine{4, 99, 1.0F}), std::nullopt) << "never listed";
    EXPECT_EQ(order(ArmTimer{1, 2}), std::nullopt);
}

// ---- Calls ----

protocol::Answer ok(std::size_t n) { return protocol::Taken{n}; }

TEST(PendingCalls, WholeAnswerEndsIt) {
    PendingCall call({"a", "b"});
    EXPECT_EQ(call.line(), "APPLY a;b\r\n");
    EXPECT_TRUE(call.answered(ok(2)).dropped.empty());
    EXPECT_TRUE(call.done());
}

TEST(PendingCalls, ShortAnswerDropsTheOrderThatItHaltedAt) {
    PendingCall call({"a", "b", "c", "d"});
    const auto verdict = call.answered(ok(1));
    EXPECT_EQ(verdict.next, PendingCall::Next::goOn);
    EXPECT_EQ(verdict.dropped, "b");
    EXPECT_EQ(call.line(), "APPLY c;d\r\n");
    EXPECT_EQ(call.answered(ok(1)).dropped, "d");
    EXPECT_TRUE(call.done());
}

TEST(PendingCalls, UnreadableAnswerSendsTheSameAgain) {
    PendingCall call({"a", "b"});
    EXPECT_EQ(call.answered(protocol::Unreadable{}).next, PendingCall::Next::sendAgainOnNewConnection);
    EXPECT_EQ(call.line(), "APPLY a;b\r\n");
    EXPECT_EQ(call.answered(protocol::Busy{}).next, PendingCall::Next::waitAndSendAgain);
    EXPECT_EQ(call.line(), "APPLY a;b\r\n");
    EXPECT_FALSE(call.done());
}

TEST(PendingCalls, LongOnesGoInOrder) {
    PendingCall call({std::string(40000, 'a'), std::string(40000, 'b'), "c"});
    EXPECT_EQ(call.count(), 1U);
    (void)call.answered(ok(1));
    EXPECT_FALSE(call.done());
    EXPECT_EQ(call.line(), "APPLY " + std::string(40000, 'b') + ";c\r\n");
    (void)call.answered(ok(2));
    EXPECT_TRUE(call.done());
}

TEST(PendingCalls, OrderThatSpoilsTheLineIsFoundByHalves) {
    PendingCall call({"a", "bad", "c"});
    Texts dropped, taken;
    for (int i = 0; i < 20 && !call.done(); ++i) {
        const std::string line = call.line();
        const bool spoilt = line.find("bad") != std::string::npos;
        if (!spoilt) taken.push_back(line);
        const auto verdict = call.answered(spoilt ? protocol::Answer{protocol::Syntax{}} : ok(call.count()));
        if (!verdict.dropped.empty()) dropped.push_back(verdict.dropped);
    }
    EXPECT_TRUE(call.done());
    EXPECT_EQ(dropped, Texts{"bad"});
    EXPECT_EQ(taken, (Texts{"APPLY a\r\n", "APPLY c\r\n"}));
}

// ---- Calls of unknown outcome ----

class SendGuards : public testing::Test {
protected:
    static SteadyTime at(std::chrono::milliseconds time) {
        return SteadyTime{std::chrono::seconds{1000} + time};
    }
    Settings settings = [] {
        Settings out;
        out.messagesMost = 3;
        out.messagesOver = 10000000;
        out.backlogLines = 1000;
        out.pushRate = 500;
        return out;
    }();
    const OrderCall toOne{{}, 1, {1}}, toTwo{{}, 1, {2}}, toBoth{{}, 1, {1, 2}};
};

TEST_F(SendGuards, LetASmallCallGoAgainAtOnce) {
    SendGuard guard(settings);
    EXPECT_EQ(guard.wait(at(0s), toOne, false), 0s);
    guard.sent(at(0s), toOne);
    EXPECT_EQ(guard.wait(at(0s), toOne, true), 0s);
}

TEST_F(SendGuards, HoldBackWhatWouldBeAMessageTooManyToAnyOfItsProxies) {
    SendGuard guard(settings);
    guard.sent(at(0s), toBoth);
    guard.sent(at(2s), toOne);
    guard.sent(at(3s), toOne);
    EXPECT_EQ(guard.wait(at(4s), toTwo, true), 0s);
    // The one at 0 s counts for ten seconds, and a little longer since two calls may arrive closer than they
    // left.
    EXPECT_EQ(guard.wait(at(4s), toOne, true), 6s + limits::kArrivalJitter);
    EXPECT_EQ(guard.wait(at(4s), toBoth, true), 6s + limits::kArrivalJitter);
    EXPECT_EQ(guard.wait(at(11s), toOne, true), 0s);
}

// On a day of garbled answers two calls were sent anew within ten seconds, and the turns that followed made
// it thirteen messages where twelve are allowed: only what was sent anew had been held back.
TEST_F(SendGuards, WhatWasSentAnewCountsForTheCallsThatFollow) {
    SendGuard guard(settings);
    guard.sent(at(0s), toOne);
    guard.sent(at(1s), toOne);  // again
    guard.sent(at(2s), toOne);  // again
    EXPECT_EQ(guard.wait(at(3s), toOne, false), 7s + limits::kArrivalJitter) << "an ordinary call waits too";
}

TEST_F(SendGuards, HoldALargeCallBackUntilItsFirstCopyHasLeftTheChannel) {
    settings.messagesMost = 0;
    SendGuard guard(settings);
    const OrderCall large{{}, 250, {1}};  // more than the fifth that the module leaves
    guard.sent(at(1s), large);
    EXPECT_EQ(guard.wait(at(1s), large, true), 500ms);
    EXPECT_EQ(guard.wait(at(1s), large, false), 0s);
    EXPECT_EQ(guard.wait(at(2s), large, true), 0s);
}

// ---- Whom a call concerns ----

using Proxies = std::vector<ProxyId>;

TEST(Audiences, AreThoseBoundThoseWhoseTablesChangeAndAllWhereAServerIsShutOut) {
    dispatch::Audience audience;
    for (const ProxyId p : {1, 2, 3}) audience.joined(p);
    using namespace protocol;
    EXPECT_EQ(audience.of({LineOrder{7, "s", 1}, BindOrder{1, 7, 0}, MarkOrder{1, false}}), (Proxies{1}));
    EXPECT_EQ(audience.of({BindOrder{2, 7, 1}, BindOrder{2, 8, 2}}), (Proxies{2}));
    EXPECT_EQ(audience.of({LineOrder{7, "s", 2}}), (Proxies{1, 2}));
    EXPECT_EQ(audience.of({LevelOrder{8, 0, 1, 1}}), (Proxies{2}));
    EXPECT_EQ(audience.of({LineOrder{9, "s", 2}}), Proxies{}) << "nobody uses it yet";
    EXPECT_EQ(audience.of({ShutOrder{"s", true}}), (Proxies{1, 2, 3}));
    EXPECT_EQ(audience.of({MarkOrder{2, true}}), (Proxies{1, 2, 3}));
    EXPECT_EQ(audience.of({ClearOrder{kAllTables}}), (Proxies{1, 2, 3}));
    EXPECT_EQ(audience.of({BindOrder{2, 7, 0}}), (Proxies{2}));
    EXPECT_EQ(audience.of({LineOrder{8, "s", 1}}), Proxies{})
        << "a bind for all classes takes the others away";
    audience.left(1);
    EXPECT_EQ(audience.of({LineOrder{7, "s", 3}}), (Proxies{2}));
    audience.joined(2);
    EXPECT_EQ(audience.of({LineOrder{7, "s", 3}}), Proxies{})
        << "who has joined anew uses none of our tables";
}

TEST_F(TranslatorTest, CostOfACallIsBoundedAsIfItConcernedEveryProxy) {
    know({"s1", "s2"});
    for (const std::uint16_t p : {1, 2, 3}) (void)events(hello(p));
    // 3 heads and marks of 4 + 1 lines; 3 lines for each change; a bind brings 2 servers, 2 levels and
    // itself.
    EXPECT_EQ(translator.linesAtMost(
                  {SetLine{1, 0, 1}, Withdraw{0, true}, Bind{1, 1, 0}, Mark{1, false}, ArmTimer{1, 1}}),
              3 * 5 + 2 * 3 + 5);
}

// ---- Beliefs ----

TEST(WhatIsBelieved, FollowsReportsAndOrdersAndForgetsWhatIsOld) {
    Beliefs beliefs;
    constexpr Micros kS = 1000000;
    beliefs.told(kS, {ServerStats{1, 0, 20, 2, kS, 250000, {}}, ServerStats{2, 0, 10, 0, kS, 100000, {}},
                      ProxyDemand{1, 0, 30, 0, kS}});
    beliefs.ordered({SetLine{1, 1, 1.0F}, SetLine{1, 2, 0.0F}, SetLevel{1, 0.5F, 1, 0}, Withdraw{3, true}});
    const auto line = beliefs.line(2 * kS);
    ASSERT_TRUE(line);
    EXPECT_NE(line->find("30.0/s come, 30.0/s tried, 2.0/s failed, 6.0 in flight, oldest report 1.0 s"),
              std::string::npos)
        << *line;
    EXPECT_NE(line->find("1 withdrawn, 1 tables, 1 servers left out, levels 1:0.5"), std::string::npos)
        << *line;
    EXPECT_FALSE(beliefs.line(2 * kS + 1)) << "once a second";
    const auto later = beliefs.line(20 * kS);
    ASSERT_TRUE(later);
    EXPECT_NE(later->find("0.0/s come, 0.0/s tried"), std::string::npos) << *later;
}

// ---- Small parts ----

TEST(Backoffs, DoubleToABoundWithJitterAndBeginAnewAfterSuccess) {
    Backoff backoff(1);
    for (int i = 0; i < 50; ++i) {
        const auto bound = std::min(limits::kRedialLeast * (1 << std::min(i, 10)), limits::kRedialMost);
        const auto delay = backoff.failed();
        EXPECT_LE(delay, bound);
        EXPECT_GE(delay, bound / 2);
    }
    backoff.succeeded();
    EXPECT_LE(backoff.failed(), limits::kRedialLeast);
}

TEST(Clocks, AreTheWallClockAtTheStartPlusSteadyTime) {
    const Clock::Steady::time_point start{5s};
    const Clock clock(Clock::System::time_point{1700000000s}, start);
    EXPECT_EQ(clock.at(start), 1700000000000000);
    EXPECT_EQ(clock.at(start + 1500ms), 1700000001500000);
}

TEST(Outcomes, OfProbesAreToldApart) {
    using transport::HttpEnd;
    EXPECT_EQ(outcomeOf(HttpEnd::answered, 200), ProbeOutcome::ok);
    EXPECT_EQ(outcomeOf(HttpEnd::answered, 503), ProbeOutcome::refused);
    EXPECT_EQ(outcomeOf(HttpEnd::answered, 500), ProbeOutcome::error);
    EXPECT_EQ(outcomeOf(HttpEnd::timeout, 0), ProbeOutcome::timeout);
    EXPECT_EQ(outcomeOf(HttpEnd::unreachable, 0), ProbeOutcome::unreachable);
    EXPECT_EQ(outcomeOf(HttpEnd::broken, 0), ProbeOutcome::broken);
}

// ---- The queue ----

TEST(Queue, ReportsGetOnlyAPartOfTheRoom) {
    EventQueue<int> queue(3, 2, 0ms);
    EXPECT_TRUE(queue.push(1, true));
    EXPECT_TRUE(queue.push(2, true));
    EXPECT_FALSE(queue.push(3, true)) << "the rest of the room is for what may not be lost";
    EXPECT_TRUE(queue.push(4, false));
    EXPECT_FALSE(queue.push(5, false));
    EXPECT_EQ(queue.take({}), (std::vector{1, 2, 4}));
    EXPECT_TRUE(queue.push(6, true));
}

TEST(Queue, HandsOutNothingWhileACallIsOut) {
    EventQueue<int> queue(10, 10, 0ms);
    queue.hold();
    ASSERT_TRUE(queue.push(1, false));
    std::atomic<bool> released = false;
    auto taken = std::async(std::launch::async, [&] {
        const auto items = queue.take(std::chrono::steady_clock::now());
        EXPECT_TRUE(released) << "a batch came while the call was out";
        return items;
    });
    ASSERT_TRUE(queue.push(2, false));
    released = true;
    queue.release();
    EXPECT_EQ(taken.get(), (std::vector{1, 2}));
}

TEST(Queue, WaitsForATimer) {
    EventQueue<int> queue(10, 10, 0ms);
    const auto due = std::chrono::steady_clock::now() + 20ms;
    EXPECT_EQ(queue.take(due), std::vector<int>{});
    EXPECT_GE(std::chrono::steady_clock::now(), due);
}

// Found on a fleet day: hellos of one moment came in two reads and became two turns with a table each.
TEST(Queue, GathersWhatComesTogetherButNoTimerWaitsForIt) {
    EventQueue<int> queue(10, 10, 200ms);
    ASSERT_TRUE(queue.push(1, false));
    auto taken = std::async(std::launch::async, [&] { return queue.take({}); });
    std::this_thread::sleep_for(20ms);
    ASSERT_TRUE(queue.push(2, false));
    EXPECT_EQ(taken.get(), (std::vector{1, 2}));
    ASSERT_TRUE(queue.push(3, false));
    const auto due = std::chrono::steady_clock::now() + 10ms;
    EXPECT_EQ(queue.take(due), std::vector{3});
    EXPECT_LT(std::chrono::steady_clock::now(), due + 150ms);
}

TEST(Queue, ManyWritersLoseNothingAndClosingEndsTheWait) {
    EventQueue<int> queue(100000, 100000, 0ms);
    std::vector<std::thread> writers;
    for (int w = 0; w < 4; ++w) {
        writers.emplace_back([&] {
            for (int i = 0; i < 1000; ++i) {
                if (!queue.push(i, false)) ADD_FAILURE() << "no room";
            }
        });
    }
    std::size_t got = 0;
    while (got < 4000) got += queue.take({}).value().size();
    for (auto& writer : writers) writer.join();
    auto waiting = std::async(std::launch::async, [&] { return queue.take({}); });
    queue.close();
    EXPECT_EQ(waiting.get(), std::nullopt);
}

// ---- The module's thread ----

class PlannerThreadTest : public testing::Test {
protected:
    using Orders = std::vector<std::string>;

    PlannerThread::Outlets outlets() {
        PlannerThread::Outlets out;
        out.call = [this](OrderCall call) {
            const std::lock_guard lock(mutex);
            calls.push_back(std::move(call.orders));
            changed.notify_all();
        };
        out.probe = [](ServerId, const std::string&) {};
        out.fetchList = [] {};
        out.startedOver = [this] {
            const std::lock_guard lock(mutex);
            ++startedOver;
            changed.notify_all();
        };
        return out;
    }
    // The orders of call `n`, as soon as it is there.
    Orders call(std::size_t n) {
        std::unique_lock lock(mutex);
        if (!changed.wait_for(lock, 10s, [&] { return calls.size() > n; })) {
            ADD_FAILURE() << "call " << n << " never came";
            return {};
        }
        return calls[n];
    }
    std::size_t count() {
        const std::lock_guard lock(mutex);
        return calls.size();
    }
    static bool has(const Orders& orders, const std::string& start) {
        return std::any_of(orders.begin(), orders.end(), [&](const auto& o) { return o.starts_with(start); });
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::vector<Orders> calls;
    int startedOver = 0;
};

TEST_F(PlannerThreadTest, AJoinBecomesOneCallAndTheNextWaitsForItsEnd) {
    PlannerThread thread(smallConfig(), outlets(), kSilent);
    ASSERT_TRUE(thread.post(protocol::News{protocol::Hello{1, "a", 10, true}}));
    const Orders first = call(0);
    EXPECT_TRUE(has(first, "share,"));
    EXPECT_TRUE(has(first, "bind,1,"));
    EXPECT_TRUE(has(first, "mark,"));
    ASSERT_TRUE(thread.post(protocol::News{protocol::Hello{2, "a", 10, true}}));
    // Time enough for many turns: none may start.
    std::this_thread::sleep_for(50ms);
    EXPECT_EQ(count(), 1U) << "a call went out while the first had no answer";
    thread.callEnded();
    EXPECT_TRUE(has(call(1), "bind,2,"));
}

TEST_F(PlannerThreadTest, AModuleThatFailsStartsOverWithTheListAndMayFailAgain) {
    int made = 0;
    const PlannerThread::MakeModule make = [&]() -> PlannerThread::Module {
        const int number = made++;
        return [number](Micros, const std::vector<Event>& events) -> std::vector<Action> {
            const bool joined = std::any_of(events.begin(), events.end(), [](const Event& e) {
                return std::holds_alternative<ProxyJoined>(e);
            });
            if (number < 2 && joined) throw std::runtime_error("a defect");
            const auto* list = std::get_if<ServerListUpdate>(&events.at(0));
            if (number < 2 || !joined || list == nullptr) return {};
            return {Bind{static_cast<ProxyId>(list->entries.size()), 1, 0}};
        };
    };
    PlannerThread thread(smallConfig(), make, outlets(), kSilent);
    for (int failure = 1; failure <= 2; ++failure) {
        ASSERT_TRUE(thread.post(protocol::News{protocol::Hello{1, "a", 10, true}}));
        std::unique_lock lock(mutex);
        ASSERT_TRUE(changed.wait_for(lock, 10s, [&] { return startedOver == failure; }));
    }
    ASSERT_TRUE(thread.post(protocol::News{protocol::Hello{1, "a", 10, true}}));
    EXPECT_EQ(call(0), Orders{"bind,2,1,*"}) << "the third module has been told both servers";
}

TEST_F(PlannerThreadTest, EndsWhileACallIsOut) {
    auto thread = std::make_unique<PlannerThread>(smallConfig(), outlets(), kSilent);
    ASSERT_TRUE(thread->post(protocol::News{protocol::Hello{1, "a", 10, true}}));
    (void)call(0);
    thread.reset();  // hangs if it waits for the answer
    EXPECT_EQ(count(), 1U);
}

}  // namespace
}  // namespace marldale::routing
