// The planner's connections against scripted parties on loopback.
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>

#include "routing/catalog_watch.h"
#include "routing/intake.h"
#include "routing/news_watch.h"
#include "routing/prober.h"
#include "routing/proxy_news.h"
#include "routing/relay_calls.h"
#include "support/sockets.h"

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
    calls->call(OrderCall{{"clear,1", "mark,1,0"}, 10, {}});
    ASSERT_TRUE(runUntil(loop, [&] { return done == 1; }));
    EXPECT_EQ(heard(), "APPLY clear,1;mark,1,0\r\n");
    calls->call(OrderCall{{"clear,2", "mark,2,0"}, 10, {}});
    ASSERT_TRUE(runUntil(loop, [&] { return done == 2; }));
    EXPECT_EQ(relay->came(), 1U) << "the connection is kept";
}

TEST_F(CallsTest, BreakAfterTheCallSendsTheSameAgainOnANewConnection) {
    start([](Scripted::Client& c) { c.number == 0 ? c.hangUp() : c.say("OK 1\r\n"); });
    calls->call(OrderCall{{"clear,1"}, 10, {}});
    ASSERT_TRUE(runUntil(loop, [&] { return done == 1; }));
    EXPECT_EQ(relay->got(0), "APPLY clear,1\r\n");
    EXPECT_EQ(relay->got(1), "APPLY clear,1\r\n");
}

TEST_F(CallsTest, SilenceSendsTheSameAgainOnANewConnection) {
    start([](Scripted::Client& c) {
        if (c.number > 0) c.say("OK 1\r\n");
    });
    calls->call(OrderCall{{"clear,1"}, 10, {}});
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
    calls->call(OrderCall{{"clear,1"}, 10, {}});
    ASSERT_TRUE(runUntil(loop, [&] { return done == 1; }));
    EXPECT_EQ(relay->came(), 4U);
    for (std::size_t n = 0; n < 4; ++n) EXPECT_EQ(relay->got(n), "APPLY clear,1\r\n");
}

TEST_F(CallsTest, BusyIsAskedAgainUntilTheRunBegins) {
    int asked = 0;
    start([&](Scripted::Client& c) { c.say(++asked < 3 ? "BUSY\r\n" : "OK 1\r\n"); });
    calls->call(OrderCall{{"clear,1"}, 10, {}});
    ASSERT_TRUE(runUntil(loop, [&] { return done == 1; }));
    EXPECT_EQ(asked, 3);
}

TEST_F(CallsTest, ShortAnswerDropsOneOrderAndSendsTheRest) {
    int asked = 0;
    start([&](Scripted::Client& c) { c.say(++asked == 1 ? "OK 1\r\n" : "OK 2\r\n"); });
    calls->call(OrderCall{{"a", "bad", "c", "d"}, 10, {}});
    ASSERT_TRUE(runUntil(loop, [&] { return done == 1; }));
    EXPECT_EQ(heard(), "APPLY a;bad;c;d\r\nAPPLY c;d\r\n");
}

TEST_F(CallsTest, ConnectionClosedAsIdleIsReplacedBeforeTheNextCall) {
    start([](Scripted::Client& c) { c.say("OK 1\r\n"); });
    ASSERT_TRUE(runUntil(loop, [&] { return relay->came() == 1; }));
    relay->client(0).hangUp();
    ASSERT_TRUE(runUntil(loop, [&] { return relay->came() == 2; }));
    calls->call(OrderCall{{"clear,1"}, 10, {}});
    ASSERT_TRUE(runUntil(loop, [&] { return done == 1; }));
    EXPECT_EQ(heard(), "APPLY clear,1\r\n") << "sent once";
}

TEST_F(CallsTest, LineThatNobodyAskedForIsNotTakenForTheNextAnswer) {
    start([](Scripted::Client& c) { c.say("OK 1\r\n"); });
    ASSERT_TRUE(runUntil(loop, [&] { return relay->came() == 1; }));
    relay->client(0).say("OK 1\r\n");
    ASSERT_TRUE(runUntil(loop, [&] { return relay->came() == 2; }));
    EXPECT_EQ(done, 0);
    calls->call(OrderCall{{"clear,1"}, 10, {}});
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
    calls->call(OrderCall{{"clear,1"}, 10, {}});
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
        NewsWatch::Handlers handlers;
        handlers.begins = [this] { kinds += '('; };
        handlers.stands = [this] { kinds += ')'; };
        handlers.lost = [this] { kinds += '!'; };
        handlers.line = [this](const protocol::News& news) { kinds += "*hba"[news.index()]; };
        watch = std::make_unique<NewsWatch>(loop, relay->address(), 1, std::move(handlers), kSilent);
    }

    transport::Loop loop;
    std::unique_ptr<Scripted> relay;
    std::unique_ptr<NewsWatch> watch;
    std::string kinds;  // of what was told
};

TEST_F(NewsTest, WhatStandsEndsWithTheFirstSignOfLife) {
    start([](Scripted::Client& c) {
        for (const char* piece : {"OK\r", "\n* hel", "lo 1 a 5 0\r\n* hello 2 a", " 5 1\r\n", "*\r\n",
                                  "* ack 1 9 3.5\r\n*", "\r\n* bye 2\r\n"}) {
            c.say(piece);
        }
    });
    ASSERT_TRUE(runUntil(loop, [&] { return kinds.size() >= 7; }));
    EXPECT_EQ(kinds, "(hh)a*b");
    EXPECT_EQ(relay->got(0), "WATCH\r\n");
}

TEST_F(NewsTest, BreakIsWatchedAgainAndWhatStandsIsToldAnew) {
    start([](Scripted::Client& c) {
        c.say("OK\r\n* hello 1 a 5 0\r\n*\r\n");
        if (c.number == 0) c.connection->close();
    });
    EXPECT_TRUE(runUntil(loop, [&] { return endsWith(kinds, "(h)"); }));
}

TEST_F(NewsTest, SilenceBeyondTheSignOfLifeIsWatchedAgain) {
    start([](Scripted::Client& c) { c.say("OK\r\n*\r\n"); });
    const auto from = SteadyTime::clock::now();
    ASSERT_TRUE(runUntil(loop, [&] { return relay->came() >= 2 && kinds == "()!()"; }));
    const auto took = SteadyTime::clock::now() - from;
    EXPECT_GE(took, limits::kNewsSilence) << "one second without a word is no silence";
    EXPECT_TRUE(relay->client(0).ended) << "the mute one is let go";
}

TEST_F(NewsTest, LineThatCantBeReadIsWatchedAgain) {
    for (const char* bad : {"* hello 1 a nan 0\r\n", "\x01\x02\r\n"}) {
        kinds.clear();
        start([&](Scripted::Client& c) { c.say("OK\r\n*\r\n" + std::string(c.number == 0 ? bad : "")); });
        EXPECT_TRUE(runUntil(loop, [&] { return relay->came() == 2 && kinds == "()!()"; })) << bad;
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
    EXPECT_TRUE(runUntil(loop, [&] { return kinds == "("; }));
    EXPECT_EQ(relay->came(), 3U);
}

// ---- News, merged out of several watches ----

const char* const kTwo = "* hello 1 a 5 0\r\n* hello 2 a 5 0\r\n";

class MergeTest : public testing::Test {
protected:
    // A relay's end of the watches: what it says, it says on those that have asked.
    static void standing(Scripted::Client& c, const std::string& who) {
        if (c.got != "WATCH\r\n") return;
        c.say("OK\r\n" + who + "*\r\n");
    }
    void start(Scripted::Script script) {
        relay = std::make_unique<Scripted>(loop, std::move(script));
        news = std::make_unique<ProxyNews>(
            loop, relay->address(), 1,
            [this](const Input& input) {
                if (room == 0) return false;
                --room;
                const auto& told = std::get<protocol::News>(input);
                if (const auto* h = std::get_if<protocol::Hello>(&told)) say('h', h->proxy);
                if (const auto* b = std::get_if<protocol::Bye>(&told)) say('b', b->proxy);
                if (std::holds_alternative<protocol::Ack>(told)) ++acks;
                return true;
            },
            kSilent);
    }
    void say(char kind, int proxy) { heard += kind + std::to_string(proxy) + ' '; }
    bool hears(const std::string& what) {
        return runUntil(
            loop, [&] { return heard == what; }, std::chrono::seconds{5});
    }
    // All that a connection has said until now has been read once an answer said last has come.
    bool settled(std::initializer_list<Scripted::Client*> clients) {
        return std::all_of(clients.begin(), clients.end(), [this](Scripted::Client* c) {
            const int before = acks;
            c->say("* ack 2 " + std::to_string(++mark) + " 3\r\n");
            return runUntil(loop, [&] { return acks > before; });
        });
    }
    void startTwo() {
        start([](Scripted::Client& c) { standing(c, kTwo); });
        ASSERT_TRUE(runUntil(loop, [&] { return relay->came() == 2 && relay->got(1) == "WATCH\r\n"; }));
        ASSERT_TRUE(settled({&relay->client(0), &relay->client(1), &relay->client(0)}));
        ASSERT_EQ(heard, "h1 h2 ");
    }

    transport::Loop loop;
    std::unique_ptr<Scripted> relay;
    std::unique_ptr<ProxyNews> news;
    std::string heard;
    int room = 1000, acks = 0, mark = 100;
};

TEST_F(MergeTest, WhatTwoWatchesTellIsToldOnce) {
    startTwo();
    for (std::size_t n : {0, 1}) relay->client(n).say("* bye 1\r\n* hello 1 a 5 1\r\n* ack 1 9 3\r\n");
    for (std::size_t n : {1, 0}) relay->client(n).say("* hello 3 a 5 0\r\n* bye 3\r\n");
    ASSERT_TRUE(settled({&relay->client(0), &relay->client(1)}));
    EXPECT_EQ(heard, "h1 h2 b1 h1 h3 b3 ");
    EXPECT_EQ(acks, 6) << "five of the test's own, and the one that both have told";
}

TEST_F(MergeTest, BreakOfOneWatchIsNoNews) {
    startTwo();
    relay->client(1).say("*\r\n");
    relay->client(0).hangUp();
    ASSERT_TRUE(runUntil(loop, [&] { return relay->got(2) == "WATCH\r\n"; }));
    ASSERT_TRUE(settled({&relay->client(2), &relay->client(1)}));
    relay->client(1).hangUp();  // it has been heard since, so its word holds
    ASSERT_TRUE(settled({&relay->client(2)}));
    EXPECT_EQ(heard, "h1 h2 ");
}

// The watch that is left may be mute already: what was taken on its word is told anew when it proves to be.
TEST_F(MergeTest, WordOfAWatchThatIsNotHeardAgainIsWorthNothing) {
    startTwo();
    relay->client(0).hangUp();
    ASSERT_TRUE(runUntil(loop, [&] { return relay->got(2) == "WATCH\r\n"; }));
    ASSERT_TRUE(settled({&relay->client(2)}));
    EXPECT_EQ(heard, "h1 h2 ");
    relay->client(1).hangUp();
    EXPECT_TRUE(hears("h1 h2 h1 h2 ")) << heard;
}

TEST_F(MergeTest, BreakOfAllWatchesTellsAnewWhoStandsAndWhoHasLeft) {
    start([](Scripted::Client& c) {
        standing(c, c.number < 2 ? kTwo : "* hello 2 a 5 0\r\n* hello 3 a 5 0\r\n");
    });
    ASSERT_TRUE(runUntil(loop, [&] { return relay->came() == 2 && relay->got(1) == "WATCH\r\n"; }));
    ASSERT_TRUE(settled({&relay->client(0), &relay->client(1), &relay->client(0)}));
    ASSERT_TRUE(hears("h1 h2 "));
    relay->client(0).hangUp();
    relay->client(1).hangUp();
    EXPECT_TRUE(runUntil(loop, [&] { return endsWith(heard, "b1 "); }));
    EXPECT_EQ(heard, "h1 h2 h2 h3 b1 ");
}

TEST_F(MergeTest, MoveToANewRelayIsNoNewsAndTheOldWatchesEnd) {
    startTwo();
    Scripted next(loop, [](Scripted::Client& c) { standing(c, kTwo); });
    news->moveTo(next.address());
    ASSERT_TRUE(runUntil(loop, [&] { return next.got(0) == "WATCH\r\n" && next.got(1) == "WATCH\r\n"; }));
    EXPECT_FALSE(relay->client(0).ended || relay->client(1).ended) << "the old stand until the new do";
    relay->client(1).say("*\r\n");
    ASSERT_TRUE(runUntil(loop, [&] {
        next.client(0).say("*\r\n");
        next.client(1).say("*\r\n");
        return relay->client(0).ended && relay->client(1).ended;
    }));
    ASSERT_TRUE(settled({&next.client(0)}));
    EXPECT_EQ(heard, "h1 h2 ");
    EXPECT_EQ(news->watches(), limits::kNewsWatches);
    EXPECT_EQ(relay->came(), 2U) << "the old address is not dialled again";
}

TEST_F(MergeTest, SeveralMovesInARowEndAtTheLast) {
    start([](Scripted::Client&) {});
    Scripted mute(loop, [](Scripted::Client&) {});
    Scripted last(loop, [](Scripted::Client& c) { standing(c, kTwo); });
    news->moveTo(mute.address());
    news->moveTo(last.address());
    EXPECT_TRUE(hears("h1 h2 "));
    EXPECT_EQ(news->watches(), limits::kNewsWatches);
}

TEST_F(MergeTest, NewsWithoutRoomIsNotLostButToldAnew) {
    room = 1;
    start([](Scripted::Client& c) { standing(c, kTwo); });
    ASSERT_TRUE(runUntil(loop, [&] { return relay->came() >= 4; }));
    room = 1000;
    EXPECT_TRUE(runUntil(loop, [&] { return heard.find("h2 ") != std::string::npos; })) << heard;
}

TEST_F(MergeTest, ModuleThatStartsOverIsToldWhoIsJoined) {
    start([](Scripted::Client& c) { standing(c, kTwo); });
    ASSERT_TRUE(hears("h1 h2 "));
    news->tellAgain();
    EXPECT_EQ(heard, "h1 h2 h1 h2 ");
}

TEST_F(CallsTest, CallThatIsOutIsSettledBeforeTheMoveAndTheNextGoesToTheNewRelay) {
    Scripted next(loop, [](Scripted::Client& c) { c.say("OK 1\r\n"); });
    start([&](Scripted::Client& c) {
        calls->moveTo(next.address());
        c.say("OK 1\r\n");
    });
    calls->call(OrderCall{{"clear,1"}, 10, {}});
    ASSERT_TRUE(runUntil(loop, [&] { return done == 1; }));
    calls->call(OrderCall{{"clear,2"}, 10, {}});
    ASSERT_TRUE(runUntil(loop, [&] { return done == 2; }));
    EXPECT_EQ(heard(), "APPLY clear,1\r\n");
    EXPECT_EQ(next.got(0), "APPLY clear,2\r\n");
}

TEST_F(CallsTest, CallWithoutAnAnswerIsSentAgainToTheNewRelay) {
    Scripted next(loop, [](Scripted::Client& c) { c.say("OK 1\r\n"); });
    start([&](Scripted::Client& c) {
        calls->moveTo(next.address());
        c.hangUp();
    });
    calls->call(OrderCall{{"clear,1"}, 10, {}});
    ASSERT_TRUE(runUntil(loop, [&] { return done == 1; }));
    EXPECT_EQ(heard(), "APPLY clear,1\r\n");
    EXPECT_EQ(next.got(0), "APPLY clear,1\r\n");
}

TEST_F(CallsTest, MoveWhileTheRelayIsBusySendsTheCallToTheNewOne) {
    Scripted next(loop, [](Scripted::Client& c) { c.say("OK 1\r\n"); });
    start([&](Scripted::Client& c) {
        c.say("BUSY\r\n");
        calls->moveTo(next.address());
    });
    calls->call(OrderCall{{"clear,1"}, 10, {}});
    ASSERT_TRUE(runUntil(loop, [&] { return done == 1; }));
    EXPECT_EQ(next.got(0), "APPLY clear,1\r\n");
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

TEST_F(CatalogTest, MoveKeepsTheOldWatchUntilTheNewOneSaysSomething) {
    start([](Scripted::Client& c) { c.say(kChunked + chunk(listLine(43, false))); });
    ASSERT_TRUE(runUntil(loop, [&] { return revs.size() == 1; }));
    Scripted next(loop, [](Scripted::Client&) {});
    watch->moveTo(next.address());
    ASSERT_TRUE(runUntil(loop, [&] { return !next.got(0).empty(); }));
    EXPECT_TRUE(next.got(0).starts_with("GET /catalog/members?watch=1&from=43 HTTP/1.1"));
    EXPECT_FALSE(discovery->client(0).ended);
    discovery->client(0).say(chunk(listLine(44, false)));
    ASSERT_TRUE(runUntil(loop, [&] { return revs.size() == 2; })) << "the old one still counts";
    next.client(0).say(kChunked + chunk(listLine(44, false)));
    ASSERT_TRUE(runUntil(loop, [&] { return discovery->client(0).ended; }));
    EXPECT_EQ(discovery->came(), 1U) << "the old address is not dialled again";
}

TEST_F(CatalogTest, MoveDuringABreakDialsTheNewAddressOnly) {
    start([](Scripted::Client& c) { c.hangUp(); });
    ASSERT_TRUE(runUntil(loop, [&] { return discovery->came() == 2; }));
    Scripted next(loop, [](Scripted::Client& c) { c.say(kChunked + chunk(listLine(43, false))); });
    watch->moveTo(next.address());
    const std::size_t before = discovery->came();
    ASSERT_TRUE(runUntil(loop, [&] { return revs.size() == 1; }));
    EXPECT_EQ(discovery->came(), before);
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
                  {"a", "b"},
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

TEST_F(IntakeTest, SpoiltReportsAreLeftOutAloneAndTheNextCounts) {
    const auto one = dial();
    one->connection->write(agent());
    for (const char* bad : {"{}", R"({"type":7})", R"({"type":"hot"})", R"({"type":"demand","id":-1})",
                            R"({"type":"agent","site":"nowhere"})", R"({"type":"outcomes"})"}) {
        one->connection->write(protocol::frame(bad));
    }
    one->connection->write(demand(7));
    ASSERT_TRUE(runUntil(loop, [&] { return !counts.empty(); }));
    EXPECT_EQ(counts, std::vector<std::uint32_t>{7});
    EXPECT_FALSE(one->ended);
}

TEST_F(IntakeTest, CollectorWhoseBytesAreNoMessagesAnyMoreIsEndedAndTakenAgainAtOnce) {
    const auto good = dial();
    good->connection->write(agent());
    for (const std::string& bad :
         {std::string(4, '\0'), std::string("\x01\0\x10\0", 4), std::string(4, '\xff'),
          protocol::frame("\x01\xfe"), protocol::frame("[1,2]"), std::string("GET / HTTP/1.1\r\n\r\n")}) {
        const auto collector = dial();
        collector->connection->write(agent() + demand(1) + bad + demand(2));
        EXPECT_TRUE(runUntil(loop, [&] { return collector->ended; }));
        EXPECT_TRUE(collector->got.empty()) << "nothing is ever written to a collector";
    }
    EXPECT_EQ(counts, std::vector<std::uint32_t>(6, 1));
    const auto again = dial();
    again->connection->write(agent() + demand(3));
    EXPECT_TRUE(runUntil(loop, [&] { return counts.back() == 3; }));
    EXPECT_FALSE(good->ended);
}

TEST_F(IntakeTest, HalfAMessageOfACollectorIsNotWaitedForForEver) {
    const auto half = dial(), whole = dial();
    whole->connection->write(agent());
    half->connection->write(agent() + demand(1).substr(0, 9));
    ASSERT_TRUE(runUntil(loop, [&] { return half->ended; }));
    EXPECT_FALSE(whole->ended) << "one that says nothing may just have nothing to report";
    EXPECT_EQ(intake.collectors(), 1U);
}

// What is neither a probe nor a collector of a known zone is told `error`, and ends at once.
TEST_F(IntakeTest, AnythingButAProbeOrAValidAgentIsToldErrorAndEnds) {
    const std::string words[] = {
        "GET / HTTP/1.1\r\nHost: x\r\n\r\n",
        std::string(4, '\xff'),
        std::string(4, '\0'),
        std::string("\x01\x10\0\0", 4),  // longer than a stranger's message may be
        protocol::frame("no json"),
        protocol::frame("{}"),
        protocol::frame(R"({"type":"hello","id":1,"site":"a","rps":1,"new":true})"),
        protocol::frame(R"({"type":"hello","id":9999,"site":"nowhere"})"),
        protocol::frame(R"({"type":"ack","id":1,"seq":1,"ms":1})"),
        protocol::frame(R"({"type":"agent"})"),
        protocol::frame(R"({"type":"agent","site":"nowhere"})"),
        protocol::frame(R"({"type":"agent","site":""})"),
        protocol::frame("APPLY clear,1"),
        demand(1),
    };
    for (const std::string& word : words) {
        const auto from = SteadyTime::clock::now();
        const auto stranger = dial();
        stranger->connection->write(word);
        EXPECT_TRUE(runUntil(loop, [&] { return stranger->ended; }));
        EXPECT_EQ(stranger->got, protocol::errorAnswer()) << word;
        EXPECT_LT(SteadyTime::clock::now() - from, limits::kJoinWithin) << word;
    }
    EXPECT_TRUE(counts.empty());
    EXPECT_EQ(intake.strangers(), 0U);
    EXPECT_EQ(intake.collectors(), 0U);
}

// Silent, with half a message, dribbling, or with a probe now and then: counted from connecting.
TEST_F(IntakeTest, WhoHasNotJoinedInTimeIsClosedWhateverItSays) {
    const auto from = SteadyTime::clock::now();
    std::vector<std::unique_ptr<Dialler>> strangers;
    for (int i = 0; i < 4; ++i) strangers.push_back(dial());
    strangers[1]->connection->write(agent().substr(0, 10));
    int round = 0;
    std::unique_ptr<transport::Timer> dribble;
    dribble = std::make_unique<transport::Timer>(loop, [&] {
        strangers[2]->connection->write(std::string(1, round++ == 0 ? '\x40' : '\0'));
        strangers[3]->connection->write(probe());
        dribble->after(Millis{300});
    });
    dribble->after(Millis{0});
    ASSERT_TRUE(runUntil(loop, [&] {
        return std::all_of(strangers.begin(), strangers.end(), [](const auto& s) { return s->ended; });
    }));
    const auto took = SteadyTime::clock::now() - from;
    EXPECT_GE(took, std::chrono::seconds{1}) << "it has a second to join";
    EXPECT_LT(took, std::chrono::seconds{3});
    EXPECT_TRUE(strangers[3]->got.starts_with(protocol::aliveAnswer()));
}

TEST_F(IntakeTest, CollectorsMayBeSilentForLongAndSendLongMessages) {
    const auto collector = dial();
    collector->connection->write(agent());
    const auto stranger = dial();
    ASSERT_TRUE(runUntil(loop, [&] { return stranger->ended; }));
    EXPECT_FALSE(collector->ended);
    collector->connection->write(protocol::frame("{" + std::string(500000, ' ') + "}") + demand(1));
    EXPECT_TRUE(runUntil(loop, [&] { return counts.size() == 1; }));
}

TEST_F(IntakeTest, HundredsWhoSayNothingNeitherGatherNorKeepOthersOut) {
    const auto collector = dial();
    collector->connection->write(agent());
    ASSERT_TRUE(runUntil(loop, [&] { return intake.collectors() == 1; }));
    std::vector<std::unique_ptr<Dialler>> strangers;
    for (int i = 0; i < 400; ++i) {
        if (i == 200) {
            const auto checker = dial();
            ASSERT_TRUE(answersProbes(*checker));
        }
        strangers.push_back(dial());
    }
    // In the middle of a crowd that is accepted in one go, with its first words on the way.
    const int late = socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in to = address().socketAddress();
    ASSERT_EQ(connect(late, reinterpret_cast<const sockaddr*>(&to), sizeof to), 0);
    const std::string words = agent() + demand(5);
    ASSERT_EQ(send(late, words.data(), words.size(), MSG_NOSIGNAL), static_cast<ssize_t>(words.size()));
    for (int i = 0; i < 400; ++i) strangers.push_back(dial());
    ASSERT_TRUE(runUntil(loop, [&] { return counts.size() == 1; }));
    EXPECT_LE(intake.strangers(), limits::kStrangersMost);
    EXPECT_TRUE(runUntil(loop, [&] { return strangers.front()->ended; })) << "the oldest has made room";
    EXPECT_EQ(intake.collectors(), 2U);
    close(late);
    EXPECT_TRUE(answersProbes(*collector)) << "no stranger pushes a collector out";
}

TEST_F(IntakeTest, CollectorsLeftOverFromCutsMakeRoomTheMostSilentOfTheZoneFirst) {
    const auto other = dial();
    other->connection->write(protocol::frame(R"({"type":"agent","site":"b"})"));
    ASSERT_TRUE(runUntil(loop, [&] { return intake.collectors() == 1; }));
    std::vector<std::unique_ptr<Dialler>> all;
    for (std::size_t i = 0; i < limits::kCollectorsOfZone; ++i) {
        all.push_back(dial());
        all.back()->connection->write(agent());
        ASSERT_TRUE(runUntil(loop, [&] { return intake.collectors() == i + 2; }));
    }
    ASSERT_TRUE(answersProbes(*all[0]));  // so it is not the most silent
    all.push_back(dial());
    all.back()->connection->write(agent());
    ASSERT_TRUE(runUntil(loop, [&] { return all[1]->ended; }));
    EXPECT_EQ(intake.collectors(), limits::kCollectorsOfZone + 1);
    EXPECT_FALSE(all[0]->ended);
    EXPECT_FALSE(other->ended) << "its zone has no other";
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
