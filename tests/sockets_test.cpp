// The planner's connections against scripted parties on loopback.
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>

#include "routing/catalog_watch.h"
#include "routing/intake.h"
#include "routing/news_watch.h"
#include "routing/prober.h"
#include "routing/relay_calls.h"
#include "sockets.h"

namespace marldale::routing {
namespace {

using tests::Dialler;
using tests::runUntil;
using tests::Scripted;
using transport::Millis;

const Logger kSilent = [](const char*, const std::string&) {};

bool endsWith(const std::string& text, const std::string& end) {
    return text.size() >= end.size() && text.compare(text.size() - end.size(), end.size(), end) == 0;
}

// ---- Calls ----

class CallsTest : public testing::Test {
protected:
    void start(Scripted::Script script) {
        relay = std::make_unique<Scripted>(loop, std::move(script));
        calls = std::make_unique<RelayCalls>(
            loop, relay->address(), settings, [this] { ++done; }, kSilent);
    }
    // What all connections have received, one after the other.
    std::string heard() {
        std::string out;
        for (std::size_t n = 0; n < relay->came(); ++n) out += relay->got(n);
        return out;
    }

    transport::Loop loop;
    std::unique_ptr<Scripted> relay;
    std::unique_ptr<RelayCalls> calls;
    const Settings settings = tests::smallConfig().settings;
    int done = 0;
};

TEST_F(CallsTest, AnswerInPiecesEndsACall) {
    start([](Scripted::Client& c) {
        for (const char* piece : {"O", "K", " ", "2", "\r", "\n"}) c.say(piece);
    });
    calls->call({"clear,1", "mark,1,0"}, 10);
    ASSERT_TRUE(runUntil(loop, [&] { return done == 1; }));
    EXPECT_EQ(heard(), "APPLY clear,1;mark,1,0\r\n");
    calls->call({"clear,2", "mark,2,0"}, 10);
    ASSERT_TRUE(runUntil(loop, [&] { return done == 2; }));
    EXPECT_EQ(relay->came(), 1U) << "the connection is kept";
}

TEST_F(CallsTest, BreakAfterTheCallSendsTheSameAgainOnANewConnection) {
    start([](Scripted::Client& c) { c.number == 0 ? c.hangUp() : c.say("OK 1\r\n"); });
    calls->call({"clear,1"}, 10);
    ASSERT_TRUE(runUntil(loop, [&] { return done == 1; }));
    EXPECT_EQ(relay->got(0), "APPLY clear,1\r\n");
    EXPECT_EQ(relay->got(1), "APPLY clear,1\r\n");
}

TEST_F(CallsTest, SilenceSendsTheSameAgainOnANewConnection) {
    start([](Scripted::Client& c) {
        if (c.number > 0) c.say("OK 1\r\n");
    });
    calls->call({"clear,1"}, 10);
    ASSERT_TRUE(runUntil(loop, [&] { return done == 1; }));
    EXPECT_EQ(heard(), "APPLY clear,1\r\nAPPLY clear,1\r\n");
    EXPECT_EQ(relay->came(), 2U);
}

TEST_F(CallsTest, AnswersThatCantBeReadSendTheSameAgainOnANewConnection) {
    const std::string endless(1000, 'x');
    start([&](Scripted::Client& c) {
        const std::string answers[] = {"OK 7\r\n", "\x01\x02\r\n", endless, "OK 1\r\n"};
        c.say(answers[std::min<std::size_t>(c.number, 3)]);
    });
    calls->call({"clear,1"}, 10);
    ASSERT_TRUE(runUntil(loop, [&] { return done == 1; }));
    EXPECT_EQ(relay->came(), 4U);
    for (std::size_t n = 0; n < 4; ++n) EXPECT_EQ(relay->got(n), "APPLY clear,1\r\n");
}

TEST_F(CallsTest, BusyIsAskedAgainUntilTheRunBegins) {
    int asked = 0;
    start([&](Scripted::Client& c) { c.say(++asked < 3 ? "BUSY\r\n" : "OK 1\r\n"); });
    calls->call({"clear,1"}, 10);
    ASSERT_TRUE(runUntil(loop, [&] { return done == 1; }));
    EXPECT_EQ(asked, 3);
}

TEST_F(CallsTest, ShortAnswerDropsOneOrderAndSendsTheRest) {
    int asked = 0;
    start([&](Scripted::Client& c) { c.say(++asked == 1 ? "OK 1\r\n" : "OK 2\r\n"); });
    calls->call({"a", "bad", "c", "d"}, 10);
    ASSERT_TRUE(runUntil(loop, [&] { return done == 1; }));
    EXPECT_EQ(heard(), "APPLY a;bad;c;d\r\nAPPLY c;d\r\n");
}

TEST_F(CallsTest, ConnectionClosedAsIdleIsReplacedBeforeTheNextCall) {
    start([](Scripted::Client& c) { c.say("OK 1\r\n"); });
    ASSERT_TRUE(runUntil(loop, [&] { return relay->came() == 1; }));
    relay->client(0).hangUp();
    ASSERT_TRUE(runUntil(loop, [&] { return relay->came() == 2; }));
    calls->call({"clear,1"}, 10);
    ASSERT_TRUE(runUntil(loop, [&] { return done == 1; }));
    EXPECT_EQ(heard(), "APPLY clear,1\r\n") << "sent once";
}

TEST_F(CallsTest, LineThatNobodyAskedForIsNotTakenForTheNextAnswer) {
    start([](Scripted::Client& c) { c.say("OK 1\r\n"); });
    ASSERT_TRUE(runUntil(loop, [&] { return relay->came() == 1; }));
    relay->client(0).say("OK 1\r\n");
    ASSERT_TRUE(runUntil(loop, [&] { return relay->came() == 2; }));
    EXPECT_EQ(done, 0);
    calls->call({"clear,1"}, 10);
    ASSERT_TRUE(runUntil(loop, [&] { return done == 1; }));
}

TEST_F(CallsTest, RelayThatIsNotThereYetIsDialledUntilItIs) {
    transport::Address address;
    {
        const Scripted gone(loop);
        address = gone.address();
    }
    calls = std::make_unique<RelayCalls>(
        loop, address, settings, [this] { ++done; }, kSilent);
    calls->call({"clear,1"}, 10);
    std::unique_ptr<transport::Listener> late;
    std::vector<std::unique_ptr<transport::Connection>> accepted;
    int refused = 0;
    transport::Timer later(loop, [&] {
        ++refused;
        late = std::make_unique<transport::Listener>(loop, address, [&](int fd) {
            transport::Connection::Handlers handlers;
            const std::size_t n = accepted.size();
            handlers.received = [&, n](std::string_view) { accepted[n]->write("OK 1\r\n"); };
            accepted.push_back(std::make_unique<transport::Connection>(loop, fd, 1000, std::move(handlers)));
        });
    });
    later.after(Millis{100});
    ASSERT_TRUE(runUntil(loop, [&] { return done == 1; }));
    EXPECT_EQ(refused, 1);
}

// ---- News ----

class NewsTest : public testing::Test {
protected:
    void start(Scripted::Script script) {
        relay = std::make_unique<Scripted>(loop, std::move(script));
        watch = std::make_unique<NewsWatch>(
            loop, relay->address(), 1,
            [this](Input input) {
                if (static_cast<int>(told.size()) >= room) return false;
                told.push_back(std::move(input));
                return true;
            },
            kSilent);
    }
    // The kinds of what was told: ( standing ) or h, b, a.
    [[nodiscard]] std::string kinds() const {
        std::string out;
        for (const Input& input : told) {
            if (std::holds_alternative<StandingBegins>(input)) out += '(';
            if (std::holds_alternative<StandingEnds>(input)) out += ')';
            const auto* news = std::get_if<protocol::News>(&input);
            if (news != nullptr) out += "*hba"[news->index()];
        }
        return out;
    }

    transport::Loop loop;
    std::unique_ptr<Scripted> relay;
    std::unique_ptr<NewsWatch> watch;
    std::vector<Input> told;
    int room = 1000;
};

TEST_F(NewsTest, WhatStandsEndsWithTheFirstSignOfLife) {
    start([](Scripted::Client& c) {
        for (const char* piece : {"OK\r", "\n* hel", "lo 1 a 5 0\r\n* hello 2 a", " 5 1\r\n", "*\r\n",
                                  "* ack 1 9 3.5\r\n*", "\r\n* bye 2\r\n"}) {
            c.say(piece);
        }
    });
    ASSERT_TRUE(runUntil(loop, [&] { return told.size() >= 6; }));
    EXPECT_EQ(kinds(), "(hh)ab");
    EXPECT_EQ(relay->got(0), "WATCH\r\n");
}

TEST_F(NewsTest, BreakIsWatchedAgainAndWhatStandsIsToldAnew) {
    start([](Scripted::Client& c) {
        c.say("OK\r\n* hello 1 a 5 0\r\n*\r\n");
        if (c.number == 0) c.connection->close();
    });
    ASSERT_TRUE(runUntil(loop, [&] { return kinds() == "(h)"; }));
}

TEST_F(NewsTest, SilenceBeyondTheSignOfLifeIsWatchedAgain) {
    start([](Scripted::Client& c) { c.say("OK\r\n*\r\n"); });
    const auto from = SteadyTime::clock::now();
    ASSERT_TRUE(runUntil(loop, [&] { return relay->came() >= 2 && kinds() == "()()"; }));
    const auto took = SteadyTime::clock::now() - from;
    EXPECT_GE(took, limits::kNewsSilence) << "one second without a word is no silence";
    EXPECT_TRUE(relay->client(0).ended) << "the mute one is let go";
}

TEST_F(NewsTest, LineThatCantBeReadIsWatchedAgain) {
    for (const char* bad : {"* hello 1 a nan 0\r\n", "\x01\x02\r\n"}) {
        told.clear();
        start([&](Scripted::Client& c) { c.say("OK\r\n*\r\n" + std::string(c.number == 0 ? bad : "")); });
        EXPECT_TRUE(runUntil(loop, [&] { return relay->came() == 2 && kinds() == "()()"; })) << bad;
        watch.reset();
    }
}

TEST_F(NewsTest, LineWithoutAnEndIsWatchedAgain) {
    start([](Scripted::Client& c) { c.say(c.number == 0 ? "OK\r\n" + std::string(5000, 'x') : "OK\r\n"); });
    EXPECT_TRUE(runUntil(loop, [&] { return relay->came() == 2; }));
}

TEST_F(NewsTest, BusyRelayAndOneThatSaysNothingAreAskedAgain) {
    start([](Scripted::Client& c) {
        if (c.number == 0) c.say("BUSY\r\n");
        if (c.number == 2) c.say("OK\r\n");
    });
    EXPECT_TRUE(runUntil(loop, [&] { return kinds() == "("; }));
    EXPECT_EQ(relay->came(), 3U);
}

TEST_F(NewsTest, NewsWithoutRoomIsNotLostButToldAnew) {
    room = 2;
    start([](Scripted::Client& c) { c.say("OK\r\n* hello 1 a 5 0\r\n* hello 2 a 5 0\r\n*\r\n"); });
    ASSERT_TRUE(runUntil(loop, [&] { return relay->came() >= 2; }));
    room = 1000;
    EXPECT_TRUE(runUntil(loop, [&] { return endsWith(kinds(), "(hh)"); }));
}

// ---- Discovery ----

std::string chunk(const std::string& text) {
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
}
constexpr const char* kChunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string listLine(int rev, bool all) {
    return R"({"rev":)" + std::to_string(rev) + R"(,"all":)" + (all ? "true" : "false") +
           R"(,"targets":[{"uid":"s-1","endpoint":"127.0.0.1:9","az":"a","model":"m1","pod_group":1,)"
           R"("state":"ready","capacity_hint":1,"boot_ms":0}]})"
           "\n";
}
std::string wholeAnswer(const std::string& body, const std::string& status = "200 OK") {
    return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

class CatalogTest : public testing::Test {
protected:
    void start(Scripted::Script script) {
        discovery = std::make_unique<Scripted>(loop, std::move(script));
        watch = std::make_unique<CatalogWatch>(
            loop, discovery->address(), 41, 1,
            [this](Input input) {
                revs.push_back(std::get<ListInput>(input).news.rev);
                return true;
            },
            kSilent);
    }
    std::string firstLine(std::size_t n) {
        const std::string got = discovery->got(n);
        return got.substr(0, got.find("\r\n"));
    }

    transport::Loop loop;
    std::unique_ptr<Scripted> discovery;
    std::unique_ptr<CatalogWatch> watch;
    std::vector<std::uint64_t> revs;
};

TEST_F(CatalogTest, WatchIsResumedAtTheLastVersionAfterABreak) {
    start([](Scripted::Client& c) {
        if (c.number > 0) return;
        c.say(kChunked + chunk(listLine(43, false)) + chunk("\n") + chunk(listLine(44, false)));
    });
    ASSERT_TRUE(runUntil(loop, [&] { return revs.size() == 2; }));
    EXPECT_EQ(revs, (std::vector<std::uint64_t>{43, 44}));
    discovery->client(0).hangUp();
    ASSERT_TRUE(runUntil(loop, [&] { return !discovery->got(1).empty(); }));
    EXPECT_EQ(firstLine(0), "GET /catalog/members?watch=1&from=41 HTTP/1.1");
    EXPECT_EQ(firstLine(1), "GET /catalog/members?watch=1&from=44 HTTP/1.1");
}

TEST_F(CatalogTest, LinesMayBeCutAnywhere) {
    start([](Scripted::Client& c) {
        const std::string line = listLine(43, true);
        std::string bytes = kChunked;
        for (const char part : line) bytes += chunk({part});
        for (const char byte : bytes) c.say({&byte, 1});
    });
    ASSERT_TRUE(runUntil(loop, [&] { return revs.size() == 1; }));
    EXPECT_EQ(revs[0], 43U);
}

TEST_F(CatalogTest, MuteWatchIsDroppedWellInsideSixSeconds) {
    start([](Scripted::Client& c) {
        c.say(c.number == 0 ? kChunked + chunk("\n") : kChunked + chunk(listLine(42, true)));
    });
    const auto from = SteadyTime::clock::now();
    ASSERT_TRUE(runUntil(loop, [&] { return !revs.empty(); }));
    const auto took = SteadyTime::clock::now() - from;
    EXPECT_LT(took, std::chrono::seconds{4});
    EXPECT_GT(took, std::chrono::seconds{2}) << "an empty line comes only every 2 s";
}

TEST_F(CatalogTest, LineThatCantBeReadAsksForTheWholeList) {
    start([](Scripted::Client& c) {
        const bool watches = c.got.find("watch=1") != std::string::npos;
        if (!watches) return c.say(wholeAnswer(listLine(50, true)));
        if (c.number == 0) c.say(kChunked + chunk("{\"rev\":43,\n"));
    });
    ASSERT_TRUE(runUntil(loop, [&] { return revs.size() == 1; }));
    EXPECT_EQ(revs[0], 50U);
}

TEST_F(CatalogTest, ErrorsAndRefusalsAreTriedAgain) {
    start([](Scripted::Client& c) {
        if (c.number == 0) return c.say(wholeAnswer(listLine(99, true), "500 Oops"));
        if (c.number == 1) return c.hangUp();
        if (c.number == 2) return c.say("this is no HTTP\r\n\r\n");
        c.say(kChunked + chunk(listLine(43, true)));
    });
    ASSERT_TRUE(runUntil(loop, [&] { return !revs.empty(); }));
    EXPECT_EQ(revs[0], 43U) << "the body of an error is no list";
}

TEST_F(CatalogTest, ChunkOfFalseLengthIsNotGatheredForEver) {
    bool flooding = false;
    start([&](Scripted::Client& c) {
        if (c.number > 0) return c.say(kChunked + chunk(listLine(43, true)));
        flooding = true;
        c.say(std::string(kChunked) + "7fffffff\r\n" + std::string(std::size_t{16} << 20U, 'x'));
    });
    ASSERT_TRUE(runUntil(loop, [&] { return !revs.empty(); }));
    EXPECT_TRUE(flooding);
}

// ---- The planner's own address ----

class IntakeTest : public testing::Test {
protected:
    std::unique_ptr<Dialler> dial() { return std::make_unique<Dialler>(loop, address()); }
    [[nodiscard]] transport::Address address() const { return {"127.0.0.1", intake.port()}; }
    static std::string probe() { return protocol::frame(R"({"type":"probe"})"); }
    static std::string agent() { return protocol::frame(R"({"type":"agent","site":"a"})"); }
    static std::string demand(int count) {
        return protocol::frame(R"({"type":"demand","id":1,"lane":"lookup","fail":0,"over":1000,"count":)" +
                               std::to_string(count) + "}");
    }
    bool answersProbes(Dialler& dialler) {
        const std::size_t before = dialler.got.size();
        dialler.connection->write(probe());
        return runUntil(loop, [&] {
            return dialler.got.size() > before && endsWith(dialler.got, protocol::aliveAnswer());
        });
    }

    transport::Loop loop;
    std::vector<std::uint32_t> counts;
    Intake intake{loop,
                  {"127.0.0.1", 0},
                  limits::kStrangersMost,
                  [this](Input input) {
                      counts.push_back(std::get<protocol::Demand>(std::get<protocol::Report>(input)).came);
                      return true;
                  },
                  kSilent};
};

TEST_F(IntakeTest, ProbesAreAnsweredOnAnyConnectionEvenInPieces) {
    const auto one = dial();
    for (const char c : probe() + probe()) one->connection->write({&c, 1});
    ASSERT_TRUE(
        runUntil(loop, [&] { return one->got == protocol::aliveAnswer() + protocol::aliveAnswer(); }));
    const auto two = dial();
    two->connection->write(agent());
    EXPECT_TRUE(answersProbes(*two));
}

TEST_F(IntakeTest, ReportsComeFromSeveralCollectorsAtOnce) {
    const auto a = dial(), b = dial();
    a->connection->write(agent() + demand(1));
    b->connection->write(agent() + demand(2));
    ASSERT_TRUE(runUntil(loop, [&] { return counts.size() == 2; }));
    EXPECT_EQ(counts[0] + counts[1], 3U);
    EXPECT_EQ(intake.collectors(), 2U);
    EXPECT_TRUE(a->got.empty()) << "nothing is ever written to a collector";
}

TEST_F(IntakeTest, BadMessagesAreSkippedAndTheNextCounts) {
    const auto one = dial();
    one->connection->write(agent());
    for (const char* bad : {"no json", "{}", R"({"type":"hot"})", R"({"type":"demand","id":-1})", "[1,2]"}) {
        one->connection->write(protocol::frame(bad));
    }
    one->connection->write(demand(7));
    ASSERT_TRUE(runUntil(loop, [&] { return !counts.empty(); }));
    EXPECT_EQ(counts, std::vector<std::uint32_t>{7});
    EXPECT_FALSE(one->ended);
}

TEST_F(IntakeTest, FalseLengthsEndTheirConnectionAndNoOther) {
    const auto good = dial();
    good->connection->write(agent());
    for (const std::string& length :
         {std::string(4, '\0'), std::string("\x01\0\x10\0", 4), std::string(4, '\xff')}) {
        const auto bad = dial();
        bad->connection->write(agent() + length);
        EXPECT_TRUE(runUntil(loop, [&] { return bad->ended; }));
    }
    EXPECT_TRUE(answersProbes(*good));
}

TEST_F(IntakeTest, StrangersMayNotMakeUsHoldMuch) {
    const auto stranger = dial();
    stranger->connection->write(protocol::frame(std::string(5000, ' ')));
    EXPECT_TRUE(runUntil(loop, [&] { return stranger->ended; }));
    const auto collector = dial();
    collector->connection->write(agent() + protocol::frame(std::string(500000, ' ')) + demand(1));
    EXPECT_TRUE(runUntil(loop, [&] { return counts.size() == 1; }));
}

TEST_F(IntakeTest, HundredsWhoSayNothingNeitherGatherNorKeepOthersOut) {
    const auto collector = dial();
    collector->connection->write(agent());
    ASSERT_TRUE(runUntil(loop, [&] { return intake.collectors() == 1; }));
    const auto checker = dial();
    ASSERT_TRUE(answersProbes(*checker));
    std::vector<std::unique_ptr<Dialler>> strangers;
    for (int i = 0; i < 400; ++i) {
        if (i == 200) {
            ASSERT_TRUE(answersProbes(*checker));
        }
        strangers.push_back(dial());
        ASSERT_TRUE(runUntil(loop, [&] { return strangers.back()->up; }));
    }
    const auto late = dial();
    EXPECT_TRUE(answersProbes(*late));
    EXPECT_LE(intake.strangers(), limits::kStrangersMost);
    EXPECT_TRUE(strangers.front()->ended) << "the oldest has made room";
    EXPECT_FALSE(checker->ended) << "one that probes now and then has been heard from since";
    EXPECT_TRUE(answersProbes(*collector)) << "no stranger pushes a collector out";
}

TEST_F(IntakeTest, CollectorsLeftOverFromCutsMakeRoomTheMostSilentFirst) {
    std::vector<std::unique_ptr<Dialler>> all;
    for (std::size_t i = 0; i < limits::kCollectorsMost; ++i) {
        all.push_back(dial());
        all.back()->connection->write(agent());
        ASSERT_TRUE(runUntil(loop, [&] { return intake.collectors() == i + 1; }));
    }
    ASSERT_TRUE(answersProbes(*all[0]));  // so it is not the most silent
    all.push_back(dial());
    all.back()->connection->write(agent());
    ASSERT_TRUE(runUntil(loop, [&] { return all[1]->ended; }));
    EXPECT_EQ(intake.collectors(), limits::kCollectorsMost);
    EXPECT_FALSE(all[0]->ended);
}

// Found by this test: the end of the connection was told in the middle of reading from it.
TEST_F(IntakeTest, WhoLeavesTheAnswersUnreadIsEnded) {
    const int flood = socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in to = address().socketAddress();
    ASSERT_EQ(connect(flood, reinterpret_cast<const sockaddr*>(&to), sizeof to), 0);
    std::string probes;
    for (int i = 0; i < 4000; ++i) probes += probe();
    bool came = false;
    EXPECT_TRUE(runUntil(loop, [&] {
        (void)send(flood, probes.data(), probes.size(), MSG_DONTWAIT | MSG_NOSIGNAL);  // and never reads
        came = came || intake.strangers() == 1;
        return came && intake.strangers() == 0;
    }));
    close(flood);
    const auto other = dial();
    EXPECT_TRUE(answersProbes(*other));
}

// ---- Probes ----

class ProberTest : public testing::Test {
protected:
    ProbeEnded probe(const std::string& endpoint) {
        told.clear();
        prober.probe(3, endpoint);
        EXPECT_TRUE(runUntil(loop, [&] { return !told.empty(); }));
        return told.empty() ? ProbeEnded{} : told[0];
    }
    ProbeEnded probeScript(Scripted::Script script) {
        Scripted server(loop, std::move(script));
        return probe(server.address().text());
    }

    transport::Loop loop;
    std::vector<ProbeEnded> told;
    Prober prober{loop, true,
                  [this](Input input) {
                      told.push_back(std::get<ProbeEnded>(input));
                      return true;
                  },
                  kSilent};
};

TEST_F(ProberTest, OutcomesAreToldApart) {
    const auto ok = probeScript([](Scripted::Client& c) {
        EXPECT_EQ(c.got.substr(0, c.got.find("\r\n")), "GET /_load HTTP/1.1");
        c.say(wholeAnswer("TEXT inflight=7, queue=2, util=0.61"));
    });
    EXPECT_EQ(ok.outcome, ProbeOutcome::ok);
    EXPECT_EQ(ok.server, 3U);
    EXPECT_EQ(ok.load.at("inflight"), 7);
    EXPECT_GT(ok.roundTrip, 0);
    const auto busy =
        probeScript([](Scripted::Client& c) { c.say(wholeAnswer("TEXT util=1", "503 Unavailable")); });
    EXPECT_EQ(busy.outcome, ProbeOutcome::refused);
    EXPECT_EQ(busy.load.at("util"), 1);
    EXPECT_EQ(probeScript([](Scripted::Client& c) { c.hangUp(); }).outcome, ProbeOutcome::broken);
    EXPECT_EQ(probeScript([](Scripted::Client&) {}).outcome, ProbeOutcome::timeout);
    std::string nobody;
    {
        const Scripted gone(loop);
        nobody = gone.address().text();
    }
    EXPECT_EQ(probe(nobody).outcome, ProbeOutcome::unreachable);
    EXPECT_EQ(probe("no address").outcome, ProbeOutcome::other);
}

TEST_F(ProberTest, EndlessAnswersAreCut) {
    const auto endless = probeScript([](Scripted::Client& c) {
        c.say("HTTP/1.1 200 OK\r\nContent-Length: 100000000\r\n\r\n" + std::string(1U << 20U, 'x'));
    });
    EXPECT_NE(endless.outcome, ProbeOutcome::ok);
}

TEST_F(ProberTest, NoMoreAtOnceThanTheBound) {
    Scripted mute(loop);
    for (std::size_t i = 0; i < limits::kProbesMost + 5; ++i) prober.probe(1, mute.address().text());
    EXPECT_EQ(told.size(), 5U) << "the rest is told at once that it was not sent";
    EXPECT_TRUE(runUntil(loop, [&] { return told.size() == limits::kProbesMost + 5; }));
    prober.probe(1, mute.address().text());
    EXPECT_TRUE(runUntil(loop, [&] { return told.size() == limits::kProbesMost + 6; }));
}

}  // namespace
}  // namespace marldale::routing
