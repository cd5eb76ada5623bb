// The proxy on loopback among scripted boxes and clients: each test causes the failure that it is about.
#include <gtest/gtest.h>

#include "proxy/gateway.h"
#include "scripted.h"
#include "standin/loop_thread.h"

namespace marldale::proxy {
namespace {

using tests::ok;
using tests::says;
using tests::ScriptedBox;
using tests::Wire;

constexpr Micros kSecond = 1000000;

GatewaySettings twoClasses() {
    GatewaySettings out;
    RequestClass reserve;
    reserve.name = "reserve";
    reserve.prefix = "/reserve";
    reserve.fragile = true;
    RequestClass rest;
    rest.name = "rest";
    rest.prefix = "/";
    out.classes = {reserve, rest};
    out.pool.idleFor = 200000;
    out.retries = {{1, 1000}, {1, 1000}, {1, 1000}, {1, 1000}, 1.1};
    return out;
}

class GatewayTest : public testing::Test {
protected:
    void start(GatewaySettings settings = twoClasses()) {
        loop_.run([&] {
            gateway_ = std::make_unique<Gateway>(loop_.loop(), transport::Address{"127.0.0.1", 0},
                                                 std::move(settings), 0);
        });
    }
    ~GatewayTest() override {
        loop_.run([&] { gateway_.reset(); });
    }
    using Boxes = std::vector<std::pair<std::string, std::string>>;  // uid and address, in the order in which
                                                                     // they are picked
    // Earlier ones weigh so much more that they come first.
    void steer(const Boxes& boxes, unsigned mode = 1, float limit = 1e6F,
               const std::set<std::string>& shut = {}) {
        loop_.run([&] {
            std::map<std::string, ListedBox> list;
            Orders orders;
            orders.shut = shut;
            float weight = 1;
            ClassOrder order{{}, limit, mode};
            for (const auto& [uid, address] : boxes) {
                list[uid] = {address, ServerState::ready};
                order.lines[uid] = weight *= 0.001F;
            }
            orders.byClass = {{"reserve", order}, {"rest", order}};
            gateway_->steering().listed(list, true);
            gateway_->steering().obey(orders, Gateway::now());
            gateway_->steered();
        });
    }
    template <class Do>
    auto inLoop(const Do& what) {
        return loop_.run([&] { return what(*gateway_); });
    }
    GatewayFigures figures() {
        return inLoop([](Gateway& g) { return g.figures(); });
    }
    Wire client() {
        return Wire::to(inLoop([](Gateway& g) { return g.port(); }));
    }
    // The whole answer to a request on a connection of its own.
    std::string ask(const std::string& request) {
        Wire wire = client();
        wire.say(request);
        return wire.rest();
    }
    static std::string get(const std::string& path, const std::string& more = "Connection: close\r\n") {
        return "GET " + path + " HTTP/1.1\r\nHost: h\r\n" + more + "\r\n";
    }
    static int statusOf(const std::string& answer) {
        return answer.size() < 12 ? 0 : std::stoi(answer.substr(9, 3));
    }

    standin::LoopThread loop_;
    std::unique_ptr<Gateway> gateway_;
};

TEST_F(GatewayTest, RequestsAndAnswersOfEveryFramingGoThrough) {
    start();
    ScriptedBox box([](Wire& wire, int) {
        for (std::string head = wire.head(); !head.empty(); head = wire.head()) {
            if (head.starts_with("POST /length")) wire.say(ok("got " + wire.bytes(5)));
            if (head.starts_with("POST /chunked")) {
                EXPECT_NE(head.find("Transfer-Encoding: chunked\r\n"), std::string::npos);
                BodyReader body({Framing::chunked, 0});
                std::string content;
                while (!body.done() && body.bad() == nullptr)
                    (void)body.feed(wire.bytes(1), [&](std::string_view piece) { content += piece; });
                EXPECT_EQ(content, "hello");
                EXPECT_EQ(body.trailers(), (Fields{{"X-Sum", "9"}}));
                wire.say(
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
                    "chunked\r\n\r\n3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nX-T: "
                    "1\r\n\r\n");
            }
            if (head.starts_with("HEAD")) wire.say("HTTP/1.1 200 OK\r\nContent-Length: 77\r\n\r\n");
            if (head.starts_with("GET /close")) {
                wire.say("HTTP/1.1 200 OK\r\n\r\nuntil the end");
                return;
            }
        }
    });
    steer({{"a", box.address()}});
    Wire wire = client();
    wire.say("POST /length HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello");
    EXPECT_EQ(statusOf(wire.head()), 200);
    EXPECT_EQ(wire.bytes(9), "got hello");
    wire.say("POST /chunked HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5;ext\r\nhel");
    wire.say("lo\r\n0\r\nX-Sum: 9\r\n\r\n");
    EXPECT_NE(wire.head().find("Transfer-Encoding: chunked"), std::string::npos);
    EXPECT_EQ(wire.until("X-T: 1\r\n\r\n"), "3\r\nabc\r\n2\r\nde\r\n0\r\nX-T: 1\r\n\r\n");
    wire.say("HEAD /h HTTP/1.1\r\nHost: h\r\n\r\n");
    EXPECT_NE(wire.head().find("Content-Length: 77"), std::string::npos);
    wire.say(get("/close", ""));
    EXPECT_NE(wire.head().find("Transfer-Encoding: chunked"), std::string::npos);
    EXPECT_EQ(wire.until("0\r\n\r\n"), "d\r\nuntil the end\r\n0\r\n\r\n");
    EXPECT_EQ(box.connections(), 1) << "one connection carried all of them";
    EXPECT_EQ(inLoop([](Gateway& g) { return g.clients(); }), 1U);
    // An old client gets it as it can read it.
    Wire old = client();
    old.say("GET /close HTTP/1.0\r\n\r\n");
    const std::string answer = old.rest();
    EXPECT_EQ(answer.find("Transfer-Encoding"), std::string::npos);
    EXPECT_TRUE(answer.ends_with("\r\n\r\nuntil the end"));
}

TEST_F(GatewayTest, PipelinedRequestsAreAnsweredInTheirOrder) {
    start();
    ScriptedBox box([](Wire& wire, int) {
        for (std::string head = wire.head(); !head.empty(); head = wire.head())
            wire.say(ok(head.substr(4, head.find(' ', 4) - 4)));
    });
    steer({{"a", box.address()}});
    Wire wire = client();
    std::string all;
    for (int i = 0; i < 50; ++i) all += get("/" + std::to_string(i), i == 49 ? "Connection: close\r\n" : "");
    wire.say(all);
    const std::string answers = wire.rest();
    EXPECT_EQ(box.connections(), 1);
    std::size_t at = 0;
    for (int i = 0; i < 50; ++i) {
        at = answers.find("\r\n\r\n/" + std::to_string(i), at);
        ASSERT_NE(at, std::string::npos) << i;
    }
}

TEST_F(GatewayTest, ABodyOfManyMebibytesStreamsThroughBoundedBuffers) {
    start();
    static constexpr std::size_t kSize = 24 << 20;
    std::atomic<bool> read = false;
    ScriptedBox box([&](Wire& wire, int) {
        (void)wire.head();
        // It reads nothing for as long as the client can still write: the proxy must not take it all.
        while (!read) usleep(1000);
        std::size_t got = 0;
        while (got < kSize) {
            const std::string piece = wire.bytes(std::min<std::size_t>(kSize - got, 1 << 16));
            if (piece.empty()) return;
            got += piece.size();
        }
        wire.say(ok(std::to_string(got)));
    });
    steer({{"a", box.address()}});
    Wire wire = client();
    std::atomic<std::size_t> written = 0;
    std::thread writer([&] {
        wire.say("POST /big HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: " +
                 std::to_string(kSize) + "\r\n\r\n");
        const std::string piece(1 << 16, 'x');
        for (std::size_t at = 0; at < kSize; at += piece.size()) {
            wire.say(piece);
            written += piece.size();
        }
    });
    // Until the writer stands still.
    std::size_t before = 1;
    while (before != written || written == 0) {
        before = written;
        usleep(100000);
    }
    EXPECT_LT(written, kSize) << "the sender is held back";
    read = true;
    writer.join();
    EXPECT_TRUE(wire.rest().ends_with(std::to_string(kSize)));
}

TEST_F(GatewayTest, ARefusedDialGoesElsewhereAsOrderedAndAReserveToo) {
    start();
    auto gone = std::make_unique<ScriptedBox>(says("gone"));
    const std::string dead = gone->address();
    gone.reset();
    ScriptedBox box(says("here"));
    steer({{"a", dead}, {"b", box.address()}}, 1);
    EXPECT_TRUE(ask(get("/x")).ends_with("here"));
    EXPECT_TRUE(ask(get("/reserve")).ends_with("here"))
        << "a dial that came to nothing proves that it never ran";
    steer({{"a", dead}, {"b", box.address()}}, 0);
    EXPECT_EQ(statusOf(ask(get("/x"))), 503) << "unless the order is to make no further try";
    const GatewayFigures f = figures();
    EXPECT_EQ(f.again, 2U);
}

TEST_F(GatewayTest, AReserveThatWasHalfReadOrNotAnsweredIsNeverMadeAgain) {
    start();
    std::atomic<int> effects = 0;
    ScriptedBox half([](Wire& wire, int) {
        (void)wire.head();
        (void)wire.bytes(3);
        wire.reset();
    });
    ScriptedBox after([&](Wire& wire, int) {
        if (wire.head().empty()) return;
        (void)wire.bytes(10);
        ++effects;
        wire.close();
    });
    ScriptedBox other([&](Wire& wire, int) {
        while (!wire.head().empty()) {
            ++effects;
            (void)wire.bytes(10);
            wire.say(ok("done"));
        }
    });
    const std::string reserve =
        "POST /reserve HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 10\r\n\r\n0123456789";
    for (const unsigned mode : {1U, 2U, 3U}) {
        steer({{"a", half.address()}, {"b", other.address()}}, mode);
        EXPECT_EQ(statusOf(ask(reserve)), 502) << mode;
        EXPECT_EQ(effects, 0);
        steer({{"a", after.address()}, {"b", other.address()}}, mode);
        EXPECT_EQ(statusOf(ask(reserve)), 502) << mode;
        EXPECT_EQ(effects, 1);
        effects = 0;
    }
    // What is safe to repeat is repeated if that is ordered, with its body.
    std::string safe = reserve;
    safe.replace(5, 8, "/other");
    steer({{"a", half.address()}, {"b", other.address()}}, 2);
    EXPECT_EQ(statusOf(ask(safe)), 200);
    steer({{"a", half.address()}, {"b", other.address()}}, 1);
    EXPECT_EQ(statusOf(ask(safe)), 502);
}

TEST_F(GatewayTest, ABoxThatSaysItHasNotRunIsTakenAtItsWord) {
    start();
    ScriptedBox busy([](Wire& wire, int) {
        while (!wire.head().empty())
            wire.say("HTTP/1.1 503 No\r\nMarldale-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
    });
    ScriptedBox other(says("here"));
    steer({{"a", busy.address()}, {"b", other.address()}}, 1);
    EXPECT_TRUE(ask(get("/reserve")).ends_with("here"));
    ScriptedBox broken([](Wire& wire, int) {
        while (!wire.head().empty()) wire.say("HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n");
    });
    steer({{"a", broken.address()}, {"b", other.address()}}, 3);
    EXPECT_EQ(statusOf(ask(get("/reserve"))), 503) << "that is no such word";
    EXPECT_EQ(statusOf(ask(get("/x"))), 200);
}

TEST_F(GatewayTest, ABoxThatIsShutOutGetsNothingNotEvenOnConnectionsThatWereKept) {
    start();
    std::atomic<int> seen = 0;
    ScriptedBox one([&](Wire& wire, int) {
        while (!wire.head().empty()) {
            ++seen;
            wire.say(ok("one"));
        }
    });
    ScriptedBox two(says("two"));
    steer({{"a", one.address()}, {"b", two.address()}});
    EXPECT_TRUE(ask(get("/x")).ends_with("one"));
    EXPECT_EQ(seen, 1);
    steer({{"a", one.address()}, {"b", two.address()}}, 1, 1e6F, {"a"});
    for (int i = 0; i < 20; ++i) EXPECT_TRUE(ask(get("/x")).ends_with("two"));
    EXPECT_EQ(seen, 1);
    // Gone from the list, with its table as it was.
    inLoop([](Gateway& g) {
        g.steering().listed({{"b", {"", ServerState::gone}}}, false);
        g.steered();
        return 0;
    });
    EXPECT_EQ(statusOf(ask(get("/x"))), 503);
}

TEST_F(GatewayTest, ABoxThatIsGoneWhileRequestsRunOnItFinishesThem) {
    start();
    std::atomic<int> running = 0;
    std::atomic<bool> go = false;
    ScriptedBox box([&](Wire& wire, int) {
        if (wire.head().empty()) return;
        ++running;
        while (!go) usleep(1000);
        wire.say(ok("finished"));
    });
    steer({{"a", box.address()}});
    std::vector<Wire> clients;
    for (int i = 0; i < 100; ++i) {
        clients.push_back(client());
        clients.back().say(get("/x"));
    }
    while (running < 100) usleep(1000);
    steer({});
    EXPECT_EQ(statusOf(ask(get("/x"))), 503);
    go = true;
    for (Wire& wire : clients) EXPECT_TRUE(wire.rest().ends_with("finished"));
}

TEST_F(GatewayTest, AKeptConnectionThatHadEndedCostsNoRequest) {
    start();
    ScriptedBox box([](Wire& wire, int) {
        if (!wire.head().empty()) wire.say(ok("once"));
    });  // it ends each connection after one answer, without a word of it
    steer({{"a", box.address()}});
    for (int i = 0; i < 30; ++i) {
        Wire wire = client();
        wire.say(get("/reserve"));
        EXPECT_TRUE(wire.rest().ends_with("once")) << i;
    }
}

TEST_F(GatewayTest, AnAnswerThatComesBeforeTheRequestIsWholeIsPassedOnAndEndsTheConnection) {
    start();
    ScriptedBox box([](Wire& wire, int) {
        if (wire.head().empty()) return;
        wire.say("HTTP/1.1 413 No\r\nContent-Length: 2\r\n\r\nno");
        (void)wire.rest();
    });
    steer({{"a", box.address()}});
    Wire wire = client();
    wire.say("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 100000000\r\n\r\nsome");
    const std::string answer = wire.rest();
    EXPECT_EQ(statusOf(answer), 413);
    EXPECT_NE(answer.find("Connection: close"), std::string::npos);
    EXPECT_TRUE(answer.ends_with("\r\n\r\nno"));
}

TEST_F(GatewayTest, AnAnswerThatBreaksOffIsBrokenOffAndNotMadeWhole) {
    start();
    ScriptedBox box([](Wire& wire, int) {
        if (!wire.head().empty())
            wire.say("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
    });
    steer({{"a", box.address()}}, 3);
    const std::string answer = ask(get("/x"));
    EXPECT_EQ(statusOf(answer), 200);
    EXPECT_EQ(answer.find("0\r\n\r\n"), std::string::npos) << "nobody may take it for whole";
    EXPECT_EQ(figures().cutShort, 1U);
    ScriptedBox garbage([](Wire& wire, int) {
        if (!wire.head().empty()) wire.say("SSH-2.0-hello\r\n\r\n");
    });
    steer({{"a", garbage.address()}});
    EXPECT_EQ(statusOf(ask(get("/x"))), 502);
}

TEST_F(GatewayTest, AClientThatGoesAwayCancelsItsTry) {
    start();
    std::atomic<bool> there = false, ended = false;
    ScriptedBox box([&](Wire& wire, int) {
        if (wire.head().empty()) return;
        there = true;
        ended = wire.ended();
    });
    steer({{"a", box.address()}});
    {
        Wire wire = client();
        wire.say(get("/x"));
        while (!there) usleep(1000);
    }
    while (!ended) usleep(1000);
    EXPECT_EQ(figures().clientsGone, 1U);
    const Count count = inLoop([](Gateway& g) { return g.takeCount(); });
    EXPECT_TRUE(count.boxes.empty()) << "a try that its client gave up tells nothing of the box";
}

TEST_F(GatewayTest, TheLevelTurnsAwayAndSaysWhenToComeBack) {
    start();
    ScriptedBox box(says("in"));
    steer({{"a", box.address()}}, 1, 0.001F);
    int in = 0, out = 0;
    for (int i = 0; i < 10; ++i) {
        const std::string answer = ask(get("/x"));
        in += statusOf(answer) == 200 ? 1 : 0;
        out += statusOf(answer) == 503 && answer.find("Retry-After: 1\r\n") != std::string::npos ? 1 : 0;
    }
    EXPECT_EQ(in, 1);
    EXPECT_EQ(out, 9);
    const Count count = inLoop([](Gateway& g) { return g.takeCount(); });
    EXPECT_EQ(count.classes[1].came, 10U);
    EXPECT_EQ(count.boxes.at("a").tries, 1U);
}

TEST_F(GatewayTest, ASilentBoxIsGivenUpInTimeAndTheAnswerIsFinal) {
    GatewaySettings settings = twoClasses();
    settings.classes[1].giveUp = 300000;
    start(settings);
    std::atomic<bool> end = false;
    ScriptedBox box([&](Wire& wire, int) {
        (void)wire.head();
        while (!end) usleep(1000);
    });
    steer({{"a", box.address()}});
    EXPECT_EQ(statusOf(ask(get("/x"))), 504);
    end = true;
}

TEST_F(GatewayTest, ClientsThatSendSlowlyOrGarbageAreLetGo) {
    GatewaySettings settings = twoClasses();
    settings.headWithin = 200000;
    start(settings);
    Wire slow = client();
    slow.say("GET / HTT");
    EXPECT_EQ(statusOf(slow.rest()), 408);
    Wire silent = client();
    EXPECT_EQ(silent.rest(), "");
    EXPECT_EQ(statusOf(ask("\x16\x03\x01 hello\r\n\r\n")), 400);
    EXPECT_EQ(
        statusOf(ask("GET / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n")),
        400);
    EXPECT_EQ(statusOf(ask("GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(100000, 'x') + "\r\n\r\n")), 431);
}

TEST_F(GatewayTest, TooManyClientsAreTurnedAwayAndTheOthersServed) {
    GatewaySettings settings = twoClasses();
    settings.clientsMost = 50;
    start(settings);
    ScriptedBox box(says("in"));
    steer({{"a", box.address()}});
    std::vector<Wire> idle;
    for (int i = 0; i < 50; ++i) idle.push_back(client());
    while (inLoop([](Gateway& g) { return g.clients(); }) < 50) usleep(1000);
    Wire one = client();
    EXPECT_EQ(one.rest(), "");
    idle[7].say(get("/x"));
    EXPECT_TRUE(idle[7].rest().ends_with("in"));
}

TEST_F(GatewayTest, DrainingEndsWhatRunsAndTakesNothingNew) {
    start();
    std::atomic<bool> there = false, go = false;
    ScriptedBox box([&](Wire& wire, int) {
        if (wire.head().empty()) return;
        there = true;
        while (!go) usleep(1000);
        wire.say(ok("last"));
    });
    steer({{"a", box.address()}});
    Wire idle = client(), busy = client();
    busy.say(get("/x", ""));
    while (!there) usleep(1000);
    const std::uint16_t port = inLoop([](Gateway& g) { return g.port(); });
    std::atomic<bool> drained = false;
    inLoop([&](Gateway& g) {
        g.drain([&] { drained = true; });
        return 0;
    });
    EXPECT_EQ(idle.rest(), "") << "an idle connection is ended at once";
    EXPECT_THROW((void)Wire::to(port), std::runtime_error);
    EXPECT_FALSE(drained);
    go = true;
    const std::string answer = busy.rest();
    EXPECT_TRUE(answer.ends_with("last"));
    EXPECT_NE(answer.find("Connection: close"), std::string::npos);
    while (!drained) usleep(1000);
}

TEST_F(GatewayTest, AnAnswerUpToTheEndWaitsForASlowClientAndIsWholeOnlyAfterAnOrderlyEnd) {
    start();
    const std::string large(2 << 20U, 'x');
    ScriptedBox box([&](Wire& wire, int number) {
        if (wire.head().empty()) return;
        wire.say("HTTP/1.1 200 OK\r\n\r\n" + large);
        if (number == 1) wire.reset();
    });
    steer({{"a", box.address()}});
    const int small = 65536;
    Wire slow = client();
    setsockopt(slow.fd(), SOL_SOCKET, SO_RCVBUF, &small, sizeof small);
    slow.say(get("/x"));
    const std::string answer = slow.rest();  // read long after the box has ended
    EXPECT_GT(answer.size(), large.size());
    EXPECT_TRUE(answer.ends_with("\r\n0\r\n\r\n"));
    EXPECT_FALSE(ask(get("/x")).ends_with("\r\n0\r\n\r\n")) << "reset by the box: a part";
    EXPECT_EQ(figures().cutShort, 1U);
}

TEST_F(GatewayTest, AProtocolThatMayBeChangedToIsPassedBothWaysAndOthersEndHere) {
    GatewaySettings settings = twoClasses();
    settings.classes[1].upgrade = "websocket";
    start(settings);
    ScriptedBox box([](Wire& wire, int) {
        std::string head = wire.head();
        // Its connection stays: the next plain request may come on it.
        while (head.find("Upgrade: websocket\r\nConnection: Upgrade\r\n") == std::string::npos) {
            if (head.empty()) return;
            EXPECT_EQ(head.find("Upgrade"), std::string::npos) << "what is not passed on is not named";
            wire.say(ok("plain"));
            head = wire.head();
        }
        wire.say("HTTP/1.1 101 Go\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nX-A: b\r\n\r\nfirst");
        std::string all;
        while (all.size() < 1000000) {
            const std::string piece = wire.bytes(100000);
            if (piece.empty()) return;
            all += piece;
        }
        wire.say(all + "last");
    });
    steer({{"a", box.address()}});
    const std::string asks = "Connection: Upgrade\r\nUpgrade: websocket\r\n";
    Wire wire = client();
    wire.say(get("/x", asks));
    const std::string head = wire.head();
    EXPECT_EQ(statusOf(head), 101);
    EXPECT_NE(head.find("X-A: b\r\n"), std::string::npos);
    EXPECT_EQ(wire.bytes(5), "first");
    wire.say(std::string(1000000, 'z'));
    const std::string back = wire.rest();
    EXPECT_EQ(back.size(), 1000004U);
    EXPECT_TRUE(back.ends_with("zlast"));
    EXPECT_EQ(figures().upgraded, 1U);
    for (const std::string& other :
         {std::string("Connection: Upgrade\r\nUpgrade: h2c\r\n"), std::string("Upgrade: websocket\r\n"),
          std::string("Connection: Upgrade\r\nUpgrade: websocket, h2c\r\n")}) {
        Wire plain = client();
        plain.say(get("/x", other));
        EXPECT_EQ(statusOf(plain.head()), 200) << other;
    }
    Wire wrongClass = client();
    wrongClass.say(get("/reserve", asks));
    EXPECT_EQ(statusOf(wrongClass.head()), 200);
    // The client goes: what it said last still reaches the box.
    std::string heard;
    std::atomic<bool> over = false;
    ScriptedBox listening([&](Wire& w, int) {
        (void)w.head();
        w.say("HTTP/1.1 101 Go\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n\r\n");
        heard = w.rest();
        over = true;
    });
    steer({{"a", listening.address()}});
    {
        Wire going = client();
        going.say(get("/x", asks));
        EXPECT_EQ(statusOf(going.head()), 101);
        going.say("the last words");
    }
    while (!over) usleep(1000);
    EXPECT_EQ(heard, "the last words");
}

TEST_F(GatewayTest, AClientThatSaysNoMoreIsAnsweredOnlyWhereTheSettingsSaySo) {
    for (const bool waits : {false, true}) {
        loop_.run([&] { gateway_.reset(); });
        GatewaySettings settings = twoClasses();
        settings.halfClose = waits;
        start(settings);
        std::atomic<bool> there = false, go = false;
        ScriptedBox box([&](Wire& wire, int) {
            if (wire.head().empty()) return;
            there = true;
            while (!go) usleep(1000);
            wire.say(ok("late"));
        });
        steer({{"a", box.address()}});
        Wire wire = client();
        wire.say(get("/x", ""));
        while (!there) usleep(1000);
        wire.sayNoMore();
        if (!waits) {
            EXPECT_EQ(wire.rest(), "");
        }
        go = true;
        if (waits) {
            EXPECT_TRUE(wire.rest().ends_with("late"));
        }
        EXPECT_EQ(figures().clientsGone, waits ? 0U : 1U);
        Wire half = client();
        half.say("POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhal");
        half.sayNoMore();
        EXPECT_EQ(half.rest(), "") << "a request that will never be whole is none";
    }
}

TEST_F(GatewayTest, WhereRoomIsShortTheLeastWorthGivesWayAndIsNotTriedAgain) {
    for (const bool isShort : {false, true}) {
        loop_.run([&] { gateway_.reset(); });
        GatewaySettings settings = twoClasses();
        settings.classes[0].worth = 5;
        settings.bodiesKept = isShort ? 100000 : 1000000;
        start(settings);
        std::atomic<int> there = 0;
        std::atomic<bool> go = false;
        ScriptedBox first([&](Wire& wire, int) {
            if (wire.head().empty() || wire.bytes(60000).size() != 60000) return;
            ++there;
            while (!go) usleep(1000);
        });  // it breaks off after all of the body
        ScriptedBox second([](Wire& wire, int) {
            if (!wire.head().empty() && wire.bytes(60000).size() == 60000) wire.say(ok("whole"));
        });
        steer({{"a", first.address()}, {"b", second.address()}}, 2);
        const std::string post = " HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 60000\r\n\r\n";
        Wire cheap = client(), dear = client();
        cheap.say("POST /x" + post + std::string(60000, 'x'));
        while (there < 1) usleep(1000);
        dear.say("POST /reserve" + post + std::string(60000, 'y'));
        while (there < 2) usleep(1000);
        go = true;
        const std::string answer = cheap.rest();
        EXPECT_EQ(statusOf(answer), isShort ? 502 : 200) << "a body that is gone can't be sent again";
        EXPECT_EQ(statusOf(dear.rest()), 502) << "it may have run";
        EXPECT_EQ(figures().bodiesGaveWay, isShort ? 1U : 0U);
    }
}

TEST_F(GatewayTest, WithoutTablesItSaysSoAtOnce) {
    start();
    const std::string answer = ask(get("/x"));
    EXPECT_EQ(statusOf(answer), 503);
    EXPECT_NE(answer.find("there are no tables yet"), std::string::npos);
}

}  // namespace
}  // namespace marldale::proxy
