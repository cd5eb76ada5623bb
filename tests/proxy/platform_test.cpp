// The proxy among planners that speak the platform's protocol, scripted, on loopback.
#include <gtest/gtest.h>

#include "protocol/frames.h"
#include "protocol/reports.h"
#include "proxy/platform_side.h"
#include "scripted.h"
#include "standin/loop_thread.h"

namespace marldale::proxy {
namespace {

using tests::says;
using tests::ScriptedBox;
using tests::Wire;

// Where a planner takes reports: everything that comes, by connection.
class Reports {
public:
    Reports() : box_([this](Wire& wire, int) { read(wire); }) {}
    [[nodiscard]] std::string address() const { return box_.address(); }
    std::vector<protocol::Report> taken() {
        const std::lock_guard lock(mutex_);
        return taken_;
    }
    template <class Is>
    bool await(const Is& is) {
        for (int i = 0; i < tests::kPatienceMs; ++i) {
            if (is(taken())) return true;
            usleep(1000);
        }
        return false;
    }

private:
    void read(Wire& wire) {
        protocol::FrameReader reader;
        for (std::string byte = wire.bytes(1); !byte.empty(); byte = wire.bytes(1)) {
            (void)reader.feed(byte, [&](std::string_view message) {
                const std::lock_guard lock(mutex_);
                if (auto report = protocol::parseReport(message)) taken_.push_back(std::move(*report));
                return true;
            });
        }
    }
    std::mutex mutex_;
    std::vector<protocol::Report> taken_;
    ScriptedBox box_;  // its threads are gone before what they fill
};

class PlatformTest : public testing::Test {
protected:
    void start(std::size_t planners) {
        loop_.run([&] {
            GatewaySettings settings;
            RequestClass reserve, rest;
            reserve.name = "reserve";
            reserve.prefix = "/reserve";
            reserve.fragile = true;
            rest.name = "rest";
            rest.prefix = "/";
            settings.classes = {reserve, rest};
            settings.pool.idleFor = 200000;
            gateway_ =
                std::make_unique<Gateway>(loop_.loop(), transport::Address{"127.0.0.1", 0}, settings, 0);
            PlannerSettings side;
            side.zone = "a";
            side.relay = 7;
            side.usualRate = 12.5;
            side.reportEvery = transport::Millis{20};
            for (std::size_t i = 0; i < planners; ++i)
                side.platform.push_back({"p" + std::to_string(i), "127.0.0.1:0", reports_[i].address()});
            side_ = std::make_unique<PlatformSide>(loop_.loop(), *gateway_, side,
                                                   [this](const char*, const std::string& text) {
                                                       const std::lock_guard lock(mutex_);
                                                       log_ += text + "\n";
                                                   });
        });
    }
    ~PlatformTest() override {
        loop_.run([&] {
            side_.reset();
            gateway_.reset();
        });
    }
    Wire dial(std::size_t planner) {
        return Wire::to(loop_.run([&] { return side_->relayPort(planner); }));
    }
    void list(const std::map<std::string, std::string>& boxes) {
        loop_.run([&] {
            std::map<std::string, ListedBox> all;
            for (const auto& [uid, address] : boxes) all[uid] = {address, ServerState::ready};
            gateway_->steering().listed(all, true);
        });
    }
    std::string ask(const std::string& path) {
        Wire wire = Wire::to(loop_.run([&] { return gateway_->port(); }));
        wire.say("GET " + path + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        return wire.rest();
    }
    std::size_t lines(std::size_t klass) {
        return loop_.run([&] { return gateway_->steering().lines(klass); });
    }
    Standing standing() {
        return loop_.run([&] { return gateway_->steering().standing(); });
    }
    void awaitStanding(Standing wanted) {
        for (int i = 0; i < tests::kPatienceMs && standing() != wanted; ++i) usleep(1000);
        ASSERT_EQ(standing(), wanted);
    }
    std::string log() {
        const std::lock_guard lock(mutex_);
        return log_;
    }

    std::mutex mutex_;
    std::string log_;
    Reports reports_[2];
    standin::LoopThread loop_;
    std::unique_ptr<Gateway> gateway_;
    std::unique_ptr<PlatformSide> side_;
};

TEST_F(PlatformTest, APlannerIsGreetedObeyedAnsweredAndToldWhatWasMet) {
    start(1);
    ScriptedBox box(says("here"));
    list({{"b1", box.address()}});
    Wire news = dial(0), calls = dial(0);
    news.say("WATCH\r\n");
    EXPECT_EQ(news.until("\r\n"), "OK\r\n");
    EXPECT_NE(news.until("* hello 7 a 12.500 1\r\n"), "");
    calls.say("APPLY share,4,b1,1.5;admit,4,*,1000,2;bind,7,4,*;mark,905,0\r\n");
    EXPECT_EQ(calls.until("\r\n"), "OK 4\r\n");
    EXPECT_NE(news.until("* ack 7 905 ").find("* ack 7 905 "), std::string::npos);
    EXPECT_TRUE(ask("/x").ends_with("here"));
    ASSERT_TRUE(reports_[0].await([](const auto& all) { return all.size() >= 3; }));
    std::uint32_t tries = 0, came = 0;
    const auto all = reports_[0].taken();
    ASSERT_TRUE(std::holds_alternative<protocol::CollectorHello>(all.front()));
    EXPECT_EQ(std::get<protocol::CollectorHello>(all.front()).zone, "a");
    for (const auto& report : all) {
        if (const auto* row = std::get_if<protocol::Outcomes>(&report)) {
            EXPECT_TRUE(protocol::isSound(*row));
            EXPECT_EQ(row->server, "b1");
            tries += row->tries;
        }
        if (const auto* row = std::get_if<protocol::Demand>(&report)) {
            EXPECT_TRUE(protocol::isSound(*row));
            EXPECT_EQ(row->proxy, 7);
            EXPECT_EQ(row->klass, "rest");
            came += row->came;
        }
    }
    EXPECT_EQ(tries, 1U);
    EXPECT_EQ(came, 1U);
}

TEST_F(PlatformTest, AnOrderThatCantBeUsedEndsItsCallAndWhatStoodBeforeHolds) {
    start(1);
    list({{"b1", "127.0.0.1:1"}, {"b2", "127.0.0.1:1"}});
    Wire news = dial(0);
    news.say("WATCH\r\n");
    (void)news.until("* hello 7 a 12.500 1\r\n");
    Wire calls = dial(0);
    calls.say("APPLY share,4,b1,1;bind,7,4,*;share,4,b2,x;mark,3,1\r\n");
    EXPECT_EQ(calls.until("\r\n"), "OK 2\r\n");
    EXPECT_EQ(lines(1), 1U);
    calls.say("NONSENSE\r\nAPPLY mark,4,1\r\n");
    EXPECT_EQ(calls.until("\r\n"), "SYNTAX\r\n");
    EXPECT_EQ(calls.until("\r\n"), "OK 1\r\n");
    EXPECT_EQ(news.until("* ack 7 4 ").find("* ack 7 3"), std::string::npos);
    EXPECT_NE(log().find("order 3 of a call is not taken"), std::string::npos);
}

TEST_F(PlatformTest, ACallThatBreaksOffInItsMiddleChangesNothing) {
    start(1);
    list({{"b1", "127.0.0.1:1"}, {"b2", "127.0.0.1:1"}});
    Wire news = dial(0);
    news.say("WATCH\r\n");
    (void)news.until("* hello 7 a 12.500 1\r\n");
    Wire calls = dial(0);
    calls.say("APPLY share,4,b1,1;share,4,b2,1;bind,7,4,*\r\n");
    EXPECT_EQ(calls.until("\r\n"), "OK 3\r\n");
    calls.say("APPLY clear,4;share,4,b1,1;share,4");
    calls.reset();
    news.reset();
    awaitStanding(Standing::stranded);
    EXPECT_EQ(lines(1), 2U) << "the last tables hold, whole";
}

TEST_F(PlatformTest, TwoPlannersThatClaimItOneHasItAndTheOthersTablesAreNotMixedIn) {
    start(2);
    list({{"b1", "127.0.0.1:1"}, {"b2", "127.0.0.1:1"}, {"b3", "127.0.0.1:1"}});
    Wire first = dial(0), second = dial(1);
    second.say("WATCH\r\n");
    EXPECT_EQ(second.until("\r\n"), "OK\r\n");
    first.say("WATCH\r\n");
    EXPECT_NE(first.until("* hello 7 a 12.500 1\r\n").find("hello"), std::string::npos);
    Wire callsFirst = dial(0), callsSecond = dial(1);
    callsFirst.say("APPLY share,4,b1,1;bind,7,4,*;withdraw,b9\r\n");
    EXPECT_EQ(callsFirst.until("\r\n"), "OK 3\r\n");
    // The other one writes its tables all the same; what is about the proxy is refused.
    callsSecond.say("APPLY share,4,b2,1;share,4,b3,1;withdraw,b1;bind,7,4,*;mark,8,1\r\n");
    EXPECT_EQ(callsSecond.until("\r\n"), "OK 3\r\n");
    EXPECT_EQ(lines(1), 1U);
    EXPECT_TRUE(loop_.run([&] { return gateway_->steering().maySendTo("b1"); }));
    first.reset();
    callsFirst.reset();
    EXPECT_NE(second.until("* hello 7 a 12.500 0\r\n").find("hello"), std::string::npos)
        << "after its time to come back";
    EXPECT_EQ(lines(1), 1U) << "what is in force holds until the new one orders";
    callsSecond.say("APPLY bind,7,4,*;mark,9,1\r\n");
    EXPECT_EQ(callsSecond.until("\r\n"), "OK 2\r\n");
    EXPECT_NE(second.until("* ack 7 9 ").find("ack"), std::string::npos);
    EXPECT_EQ(lines(1), 2U);
    EXPECT_FALSE(loop_.run([&] { return gateway_->steering().maySendTo("b1"); })) << "as the new one says";
    // The older one is back: it is told nothing of a proxy, and its word counts for nothing.
    Wire again = dial(0), callsAgain = dial(0);
    again.say("WATCH\r\n");
    EXPECT_EQ(again.until("*\r\n"), "OK\r\n*\r\n");
    callsAgain.say("APPLY clear,*;bind,7,4,*\r\n");
    EXPECT_EQ(callsAgain.until("\r\n"), "OK 1\r\n");
    EXPECT_EQ(lines(1), 2U);
    EXPECT_EQ(loop_.run([&] { return side_->owner().epoch(); }), 2U);
}

TEST_F(PlatformTest, GarbageEndsItsConnectionAndTooManyConnectionsAreRefused) {
    start(1);
    Wire news = dial(0);
    news.say("WATCH\r\n");
    (void)news.until("* hello 7 a 12.500 1\r\n");
    Wire endless = dial(0);
    endless.say(std::string(100000, 'x'));
    EXPECT_TRUE(endless.ended()) << "a line without an end is not gathered for ever";
    std::vector<Wire> many;
    for (int i = 0; i < 40; ++i) many.push_back(dial(0));
    int ended = 0;
    for (int i = 31; i < 40; ++i) ended += many[static_cast<std::size_t>(i)].ended() ? 1 : 0;
    EXPECT_EQ(ended, 9);
    many[0].say("APPLY withdraw,b1\r\n");
    EXPECT_EQ(many[0].until("\r\n"), "OK 1\r\n") << "the others are served";
    EXPECT_EQ(standing(), Standing::waiting);
}

TEST_F(PlatformTest, WhatWasMetWhileStrandedIsToldOnceAndOfTheLastHalfMinuteOnly) {
    start(1);
    ScriptedBox box(says("here"));
    list({{"b1", box.address()}});
    {
        Wire news = dial(0), calls = dial(0);
        news.say("WATCH\r\n");
        (void)news.until("* hello 7 a 12.500 1\r\n");
        calls.say("APPLY share,4,b1,1;bind,7,4,*\r\n");
        EXPECT_EQ(calls.until("\r\n"), "OK 2\r\n");
        ASSERT_TRUE(reports_[0].await([](const auto& all) { return !all.empty(); }));
    }
    awaitStanding(Standing::stranded);
    const auto countOf = [](const auto& all) {
        std::uint32_t out = 0;
        for (const auto& report : all) {
            if (const auto* row = std::get_if<protocol::Outcomes>(&report)) out += row->tries;
        }
        return out;
    };
    for (int i = 0; i < 25; ++i) EXPECT_TRUE(ask("/x").ends_with("here"));
    EXPECT_EQ(countOf(reports_[0].taken()), 0U) << "nobody is there to be told";
    Wire news = dial(0);
    news.say("WATCH\r\n");
    EXPECT_NE(news.until("* hello 7 a 12.500 0\r\n").find("hello"), std::string::npos);
    ASSERT_TRUE(reports_[0].await([&](const auto& all) { return countOf(all) >= 25; }));
    EXPECT_TRUE(ask("/x").ends_with("here"));
    ASSERT_TRUE(reports_[0].await([&](const auto& all) { return countOf(all) >= 26; }));
    EXPECT_EQ(countOf(reports_[0].taken()), 26U) << "each try once";
}

TEST(Counts, OfLongAgoAreDroppedAndNotMadeIntoRates) {
    Count kept, next;
    next.over = 1000000;
    next.boxes["b"] = {10, 0, 100};
    next.classes = {{10, 0}};
    for (int second = 0; second < 600; ++second) {
        mergeRecent(kept, next);
        EXPECT_LE(kept.over, 30000000);
        EXPECT_EQ(kept.boxes["b"].tries * 1000000LL / kept.over, 10) << "the rate stays what it is";
    }
}

}  // namespace
}  // namespace marldale::proxy
