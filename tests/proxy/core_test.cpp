// What the proxy decides, without a socket: heads and bodies, picks and levels, attempts, steering, counts.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <cctype>
#include <cmath>
#include <set>

#include "emulator/relay.h"
#include "proxy/attempt.h"
#include "proxy/body.h"
#include "proxy/forward.h"
#include "proxy/settings.h"
#include "proxy/steering.h"
#include "proxy/tally.h"
#include "slow_reader.h"

namespace marldale::proxy {
namespace {

constexpr Micros kSecond = 1000000;

// ---- Heads ----

int statusOf(const std::string& head) {
    RequestHead out;
    std::size_t length = 0;
    if (const auto wrong = findHead(head, {}, length)) return wrong->status;
    if (length == 0) return -1;
    const auto wrong = readRequest(std::string_view(head).substr(0, length), {}, out);
    return wrong ? wrong->status : 0;
}

TEST(Heads, WhatTwoReadersCouldTakeDifferentlyIsRefused) {
    const std::string get = "GET / HTTP/1.1\r\nHost: a\r\n", post = "POST /x HTTP/1.1\r\nHost: a\r\n";
    EXPECT_EQ(statusOf(get + "\r\n"), 0);
    const struct {
        std::string head;
        int status;
    } cases[] = {
        {post + "Content-Length: 5\r\nContent-Length: 6\r\n\r\n", 400},
        {post + "Content-Length: 5\r\nContent-Length: 5\r\n\r\n", 400},
        {post + "Content-Length: 5, 5\r\n\r\n", 400},
        {post + "Content-Length: +5\r\n\r\n", 400},
        {post + "Content-Length: 0x5\r\n\r\n", 400},
        {post + "Content-Length: \r\n\r\n", 400},
        {post + "Content-Length: 9999999999999999999\r\n\r\n", 400},
        {post + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n", 400},
        {post + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n", 400},
        {post + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", 400},
        {post + "Transfer-Encoding: xchunked\r\n\r\n", 501},
        {post + "Transfer-Encoding: gzip, chunked\r\n\r\n", 501},
        {post + "Transfer-Encoding : chunked\r\n\r\n", 400},
        {post + "Transfer-Encoding: chunked\r\n X: y\r\n\r\n", 400},
        {"POST /x HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", 400},
        {get + "X: a\nY: b\r\n\r\n", 400},
        {get + "X: a\rY: b\r\n\r\n", 400},
        {get + std::string("X: a\0b", 6) + "\r\n\r\n", 400},
        {get + "X\r\n\r\n", 400},
        {get + ": a\r\n\r\n", 400},
        {get + "X Y: a\r\n\r\n", 400},
        {get + "Host: b\r\n\r\n", 400},
        {get + "Connection: content-length\r\n\r\n", 400},
        {get + "Connection: close, Transfer-Encoding\r\n\r\n", 400},
        {get + "Expect: tea\r\n\r\n", 417},
        {"GET / HTTP/1.1\r\n\r\n", 400},
        {"GET / HTTP/2.0\r\nHost: a\r\n\r\n", 505},
        {"GET  / HTTP/1.1\r\nHost: a\r\n\r\n", 400},
        {"GET / HTTP/1.1 \r\nHost: a\r\n\r\n", 400},
        {"GET /\tx HTTP/1.1\r\nHost: a\r\n\r\n", 400},
        {"GET http:// HTTP/1.1\r\nHost: a\r\n\r\n", 400},
        {"GET http://u@h/ HTTP/1.1\r\nHost: a\r\n\r\n", 400},
        {"CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n", 501},
        {"\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n", 400},
        {"GET / HTTP/1.1\nHost: a\n\n", 400},
        {get + "X: " + std::string(20000, 'x') + "\r\n\r\n", 431},
        {get +
             [] {
                 std::string out;
                 for (int i = 0; i < 150; ++i) out += "X: a\r\n";
                 return out;
             }() +
             "\r\n",
         431},
    };
    for (const auto& c : cases) EXPECT_EQ(statusOf(c.head), c.status) << c.head.substr(0, 120);
}

TEST(Heads, TheAbsoluteFormBecomesTheOriginFormAndItsHost) {
    RequestHead out;
    ASSERT_FALSE(readRequest("GET http://h:8/p?q HTTP/1.1\r\nHost: other\r\n\r\n", {}, out));
    EXPECT_EQ(out.target, "/p?q");
    EXPECT_EQ(*valueOf(out.fields, "host"), "h:8");
    ASSERT_FALSE(readRequest("GET HTTP://h?q HTTP/1.1\r\nHost: other\r\n\r\n", {}, out));
    EXPECT_EQ(out.target, "/?q");
}

TEST(Heads, WhatIsOfOneConnectionEndsHere) {
    RequestHead in;
    ASSERT_FALSE(readRequest(
        "POST /x HTTP/1.1\r\nHost: a\r\nConnection: close, X-One\r\nX-One: 1\r\nX-Two: 2\r\nTE: trailers\r\n"
        "Keep-Alive: 5\r\nUpgrade: h2c\r\nMarldale-Time-Left-Ms: 7\r\nTransfer-Encoding: chunked\r\n\r\n",
        {}, in));
    EXPECT_FALSE(in.keepAlive);
    EXPECT_EQ(toBox(in, 1500000),
              "POST /x HTTP/1.1\r\nHost: a\r\nX-Two: 2\r\nTransfer-Encoding: chunked\r\nVia: 1.1 marldale\r\n"
              "Marldale-Time-Left-Ms: 1500\r\n\r\n");
}

TEST(Heads, AnswersAreFramedByTheirRequestAndStatus) {
    ResponseHead out;
    const auto read = [&](const std::string& head, const char* method) {
        const auto wrong = readResponse(head, {}, method, out);
        return wrong ? wrong->status : 0;
    };
    EXPECT_EQ(read("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", "GET"), 0);
    EXPECT_EQ(out.body, (BodyFrame{Framing::length, 5}));
    EXPECT_EQ(read("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", "HEAD"), 0);
    EXPECT_EQ(out.body.framing, Framing::none);
    EXPECT_NE(toClient(out, out.body, true).find("Content-Length: 5\r\n"), std::string::npos);
    EXPECT_EQ(read("HTTP/1.1 204 No\r\nContent-Length: 5\r\n\r\n", "GET"), 0);
    EXPECT_EQ(out.body.framing, Framing::none);
    EXPECT_EQ(read("HTTP/1.1 304 \r\nTransfer-Encoding: chunked\r\n\r\n", "GET"), 0);
    EXPECT_EQ(out.body.framing, Framing::none);
    EXPECT_EQ(read("HTTP/1.1 200\r\n\r\n", "GET"), 0);
    EXPECT_EQ(out.body.framing, Framing::untilClose);
    EXPECT_FALSE(out.keepAlive);
    EXPECT_EQ(toClientFrame(out, 1).framing, Framing::chunked);
    EXPECT_EQ(toClientFrame(out, 0).framing, Framing::untilClose);
    EXPECT_EQ(read("HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n", "GET"), 400);
    for (const char* bad : {"HTTP/1.1 2000 OK\r\n\r\n", "HTTP/1.1 20 OK\r\n\r\n", "HTTP/1.1 600 OK\r\n\r\n",
                            "HTTP/1.1 099 OK\r\n\r\n", "ICY 200 OK\r\n\r\n"})
        EXPECT_NE(read(bad, "GET"), 0) << bad;
}

// Against a slow and plain reading of the same bytes: both refuse, or both read the same.
RC_GTEST_PROP(HeadsAgainstThePlain, BothReadTheSame, ()) {
    static const std::vector<std::string> kParts = {"GET",
                                                    "POST",
                                                    " ",
                                                    "  ",
                                                    "/",
                                                    "/a?b",
                                                    "*",
                                                    "http://h/x",
                                                    "HTTP/1.1",
                                                    "HTTP/1.0",
                                                    "HTTP/1.2",
                                                    "\r\n",
                                                    "\n",
                                                    "\r",
                                                    "Host: a",
                                                    "host:b",
                                                    "Content-Length: 3",
                                                    "Content-Length:03",
                                                    "content-length: 4,4",
                                                    "Transfer-Encoding: chunked",
                                                    "Transfer-Encoding: identity",
                                                    "Connection: close",
                                                    "Connection: keep-alive, x",
                                                    "Connection: host",
                                                    "X: y",
                                                    " z",
                                                    "\t",
                                                    ":",
                                                    "Expect: 100-continue",
                                                    std::string(1, '\0'),
                                                    "\x7f",
                                                    "é",
                                                    "OPTIONS",
                                                    "CONNECT"};
    std::string head = "GET / HTTP/1.1\r\nHost: a\r\n";
    if (*rc::gen::arbitrary<bool>()) {
        const auto at = *rc::gen::inRange<std::size_t>(0, 6);
        head.clear();
        for (std::size_t i = 0; i < at; ++i) head += *rc::gen::elementOf(kParts);
    }
    const auto more = *rc::gen::inRange<int>(0, 8);
    for (int i = 0; i < more; ++i) {
        head += *rc::gen::elementOf(kParts);
        if (*rc::gen::inRange(0, 4) != 0) head += "\r\n";
    }
    head += "\r\n\r\n";
    std::size_t length = 0;
    if (findHead(head, {}, length) || length == 0) return;
    const std::string whole = head.substr(0, length);
    RequestHead mine;
    const auto wrong = readRequest(whole, {}, mine);
    const auto plain = tests::readPlainly(whole);
    RC_ASSERT(wrong.has_value() == !plain.has_value());
    if (!plain) return;
    RC_ASSERT(plain->method == mine.method);
    RC_ASSERT(plain->length == (mine.body.framing == Framing::length ? mine.body.length : 0));
    RC_ASSERT(plain->chunked == (mine.body.framing == Framing::chunked));
    RC_ASSERT(plain->keepAlive == mine.keepAlive);
}

// ---- Bodies ----

std::string readIn(const BodyFrame& frame, const std::string& bytes, std::size_t step, BodyReader& reader,
                   std::size_t& taken) {
    std::string out;
    taken = 0;
    (void)frame;
    while (taken < bytes.size() && !reader.done() && reader.bad() == nullptr) {
        const std::size_t most = std::min(step, bytes.size() - taken);
        std::size_t in = 0;
        while (in < most && !reader.done() && reader.bad() == nullptr)
            in += reader.feed(std::string_view(bytes).substr(taken + in, most - in),
                              [&](std::string_view piece) { out.append(piece); });
        taken += in;
    }
    return out;
}

RC_GTEST_PROP(Bodies, AnySplitReadsTheSameAndStopsAtTheSameByte, ()) {
    const auto pieces =
        *rc::gen::container<std::vector<std::string>>(rc::gen::nonEmpty(rc::gen::string<std::string>()));
    std::string content, bytes;
    for (const std::string& piece : pieces) {
        content += piece;
        bytes += framedPiece(Framing::chunked, piece);
    }
    bytes += framedEnd(Framing::chunked, {{"X-Sum", "1"}});
    const std::size_t whole = bytes.size();
    bytes += "GET /next HTTP/1.1\r\n";
    BodyReader reader({Framing::chunked, 0});
    std::size_t taken = 0;
    const auto step = *rc::gen::inRange<std::size_t>(1, 40);
    RC_ASSERT(readIn({Framing::chunked, 0}, bytes, step, reader, taken) == content);
    RC_ASSERT(reader.done() && taken == whole);
    RC_ASSERT(reader.trailers() == (Fields{{"X-Sum", "1"}}));
}

TEST(Bodies, WhatIsNoChunkedBodyIsTold) {
    for (const std::string bytes :
         {"5\nhello\r\n0\r\n\r\n", "5\r\nhelloX\r\n0\r\n\r\n", "x\r\n", "\r\n", "-1\r\n", "5 \r\nhello\r\n",
          "1000000000000000000\r\n", "5;\x01\r\nhello\r\n", "0\r\nbad line\r\n\r\n",
          "0\r\nX: a\nY: b\r\n\r\n", "5\r\r\nhello\r\n"}) {
        BodyReader reader({Framing::chunked, 0});
        std::size_t taken = 0;
        (void)readIn({Framing::chunked, 0}, bytes, 1, reader, taken);
        EXPECT_NE(reader.bad(), nullptr) << bytes;
    }
    BodyReader cut({Framing::length, 5});
    (void)cut.feed("hel", [](std::string_view) {});
    cut.ended();
    EXPECT_NE(cut.bad(), nullptr);
    BodyReader smuggled({Framing::chunked, 0});
    (void)smuggled.feed("0\r\nContent-Length: 5\r\nX: y\r\n\r\n", [](std::string_view) {});
    EXPECT_TRUE(smuggled.done());
    EXPECT_EQ(smuggled.trailers(), (Fields{{"X", "y"}})) << "what frames a message is no trailer";
}

// ---- Picks and levels ----

RC_GTEST_PROP(Picks, SharesAreThoseOfTheWeights, ()) {
    const auto weights = *rc::gen::nonEmpty(rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 40)));
    RC_PRE(weights.size() <= 12);
    std::map<std::string, float> lines;
    int total = 0;
    for (std::size_t i = 0; i < weights.size(); ++i) {
        lines["b" + std::to_string(100 + i)] = static_cast<float>(weights[i]);
        total += weights[i];
    }
    Picker picker(*rc::gen::inRange<std::uint64_t>(0, 5));
    picker.hold(lines);
    // Any row of `total` picks has each line as often as its weight says, but for one or two at its ends.
    std::map<std::string, int> seen;
    for (int i = 0; i < total; ++i) ++seen[*picker.pick([](const std::string&) { return true; })];
    double chi = 0;
    for (const auto& [box, weight] : lines) {
        RC_ASSERT(std::abs(seen[box] - static_cast<int>(weight)) <= 2);
        chi += std::pow(seen[box] - static_cast<double>(weight), 2) / static_cast<double>(weight);
    }
    // At 12 lines the 99.9th percentile of chance would be 31.
    RC_ASSERT(chi < 31);
}

TEST(Picks, WhatMayNotBePickedIsAsIfItWereNotThere) {
    Picker picker;
    picker.hold({{"a", 1.0F}, {"b", 3.0F}, {"c", 1.0F}});
    std::map<std::string, int> seen;
    for (int i = 0; i < 200; ++i) ++seen[*picker.pick([](const std::string& box) { return box != "b"; })];
    EXPECT_EQ(seen, (std::map<std::string, int>{{"a", 100}, {"c", 100}}));
    EXPECT_FALSE(picker.pick([](const std::string&) { return false; }).has_value());
}

// The emulator's model of a proxy, and this one: fed the same tables and requests they choose the same.
RC_GTEST_PROP(PicksAgainstTheModel, TheSameTablesGiveTheSameChoices, ()) {
    emulator::RelaySettings settings;
    settings.pick = emulator::Pick::smooth;
    settings.avoidAfter = 0;
    emulator::Relay model(settings, Admission::rate, 0, 1, 0);
    Steering mine({"x", "y"}, 0);
    std::map<std::string, ListedBox> list;
    for (int i = 10; i < 30; ++i) list["b" + std::to_string(i)] = {"127.0.0.1:1", ServerState::ready};
    mine.listed(list, true);
    Micros now = kSecond;
    const auto steps = *rc::gen::inRange(1, 40);
    for (int step = 0; step < steps; ++step) {
        emulator::View view;
        Orders orders;
        emulator::Shut shut;
        for (std::size_t k = 0; k < 2; ++k) {
            auto content = std::make_shared<emulator::Content>();
            content->levels.resize(2);
            content->levels[k].limit = *rc::gen::elementOf(std::vector<float>{1e6F, 0.5F, 20.0F});
            ClassOrder order;
            order.limit = content->levels[k].limit;
            for (int i = 10; i < 30; ++i) {
                const auto weight = static_cast<float>(*rc::gen::inRange(0, 4));
                if (weight <= 0) continue;
                content->boxes.push_back(static_cast<emulator::BoxNumber>(i));
                content->weights.push_back(weight);
                content->sums.push_back((content->sums.empty() ? 0 : content->sums.back()) +
                                        static_cast<double>(weight));
                order.lines["b" + std::to_string(i)] = weight;
            }
            view.byClass.push_back(content);
            orders.byClass[k == 0 ? "x" : "y"] = order;
        }
        for (int i = 10; i < 30; ++i) {
            if (*rc::gen::inRange(0, 6) != 0) continue;
            shut.insert(static_cast<emulator::BoxNumber>(i));
            orders.shut.insert("b" + std::to_string(i));
        }
        view.shut = std::make_shared<const emulator::Shut>(shut);
        model.hold(view);
        mine.obey(orders, now);
        const auto requests = *rc::gen::inRange(0, 30);
        for (int i = 0; i < requests; ++i) {
            now += *rc::gen::inRange(0, 100000);
            const auto k = *rc::gen::inRange<std::size_t>(0, 2);
            const bool in = model.admits(k, now);
            RC_ASSERT(mine.admits(k, now) == in);
            if (!in) continue;
            const auto theirs = model.pick(k, std::nullopt, now);
            const auto ours = mine.pick(k, {});
            RC_ASSERT(theirs.has_value() == ours.has_value());
            if (theirs) RC_ASSERT("b" + std::to_string(*theirs) == ours->box);
        }
    }
}

// ---- Attempts ----

TEST(Attempts, OnlyWhatIsProvenNotToHaveRunIsMadeAgainWhereItMustNotRunTwice) {
    std::size_t again = 0, all = 0;
    for (const Came came : {Came::answer, Came::noConnection, Came::broke, Came::badAnswer, Came::timedOut}) {
        for (const std::uint64_t written : {0U, 1U}) {
            for (const int status : {200, 404, 421, 429, 500, 503}) {
                for (const bool says : {false, true}) {
                    for (const bool fragile : {false, true}) {
                        for (const bool kept : {false, true}) {
                            for (const unsigned mode : {0U, 1U, 2U, 3U}) {
                                for (const unsigned tries : {1U, 2U, 3U}) {
                                    const TryEnd end{came, written, came == Came::answer ? status : 0, says};
                                    const bool more = proxy::again(end, {fragile, kept, tries, kSecond},
                                                                   mode) == attempts::RetryDecision::retry;
                                    ++all;
                                    again += more ? 1 : 0;
                                    if (more) {
                                        EXPECT_TRUE(kept) << "a body that is gone can't be sent again";
                                        EXPECT_GE(mode, 1U);
                                        EXPECT_LT(tries, mode == 3 ? 3U : 2U);
                                        EXPECT_TRUE(provenUnrun(end) || (!fragile && mode >= 2));
                                    }
                                    if (more) continue;
                                    const Verdict v = finalOf(end);
                                    EXPECT_EQ(v.next == Next::passOn, came == Came::answer)
                                        << "a box's answer is the client's";
                                    EXPECT_TRUE(came == Came::answer || v.status >= 502);
                                }
                            }
                        }
                    }
                }
            }
        }
    }
    EXPECT_GT(again, 0U);
    EXPECT_LT(again, all / 2);
}

TEST(Attempts, ProofIsExact) {
    EXPECT_TRUE(provenUnrun({Came::noConnection, 0, 0, false}));
    EXPECT_TRUE(provenUnrun({Came::broke, 0, 0, false})) << "a kept connection that had ended";
    EXPECT_FALSE(provenUnrun({Came::broke, 1, 0, false}));
    EXPECT_FALSE(provenUnrun({Came::timedOut, 80, 0, false}));
    EXPECT_TRUE(provenUnrun({Came::answer, 80, 429, false}));
    EXPECT_TRUE(provenUnrun({Came::answer, 80, 421, false}));
    EXPECT_FALSE(provenUnrun({Came::answer, 80, 503, false}));
    EXPECT_TRUE(provenUnrun({Came::answer, 80, 503, true}));
    EXPECT_FALSE(provenUnrun({Came::answer, 80, 500, true}));
}

TEST(Attempts, TheTimeEndsThemAndWhatIsToldSaysWhatCame) {
    const TryEnd refused{Came::noConnection, 0, 0, false};
    EXPECT_EQ(finalOf(refused), (Verdict{Next::tell, 503, "the box can't be reached", 1}));
    EXPECT_EQ(again(refused, {false, true, 1, 0}, 1), attempts::RetryDecision::noTime);
    EXPECT_EQ(again(refused, {false, true, 1, 1}, 1), attempts::RetryDecision::retry);
    EXPECT_EQ(again(refused, {false, false, 1, 1}, 1), attempts::RetryDecision::bodyGone);
}

// ---- Steering ----

Steering steered() {
    Steering s({"x", "y"}, 0);
    s.listed({{"a", {"127.0.0.1:1", ServerState::ready}}, {"b", {"127.0.0.1:2", ServerState::ready}}}, true);
    s.obey({{{"x", {{{"a", 1.0F}, {"b", 1.0F}}, 1e6F, 1}}}, {}}, 0);
    return s;
}

TEST(Steered, StrandedItKeepsItsTablesAndNeverSendsToWhatIsGone) {
    Steering s = steered();
    s.planner(true, 0);
    EXPECT_EQ(s.standing(), Standing::steered);
    s.planner(false, 5 * kSecond);
    EXPECT_EQ(s.standing(), Standing::stranded);
    EXPECT_EQ(s.strandedSince(), 5 * kSecond);
    s.planner(false, 9 * kSecond);
    EXPECT_EQ(s.strandedSince(), 5 * kSecond) << "a dial that fails is no new loss";
    EXPECT_EQ(s.lines(0), 2U);
    // The list goes on without a planner.
    s.listed({{"a", {"127.0.0.1:1", ServerState::draining}}}, false);
    for (int i = 0; i < 10; ++i) EXPECT_EQ(s.pick(0, {})->box, "b");
    s.listed({{"b", {"", ServerState::gone}}}, false);
    EXPECT_FALSE(s.pick(0, {}).has_value());
    s.listed({{"b", {"127.0.0.1:9", ServerState::ready}}}, false);
    EXPECT_EQ(s.pick(0, {})->endpoint, "127.0.0.1:9") << "its new address";
}

TEST(Steered, AnotherPlannersFirstWordsDoNotEmptyTablesButWhatItShutsOutIsOut) {
    Steering s = steered();
    s.obey({{}, {"a"}}, 0);  // no table yet
    EXPECT_EQ(s.lines(0), 1U);
    EXPECT_EQ(s.pick(0, {})->box, "b");
    s.obey({{{"x", {{}, 1e6F, 1}}}, {}}, 0);  // a table that an order has emptied is empty
    EXPECT_EQ(s.lines(0), 0U);
    EXPECT_EQ(s.standing(), Standing::stranded);
}

TEST(Steered, ABoxThatTheListDoesNotNameGetsNothing) {
    Steering s({"x"}, 0);
    s.obey({{{"x", {{{"ghost", 1.0F}}, 1e6F, 1}}}, {}}, 0);
    EXPECT_FALSE(s.pick(0, {}).has_value());
    EXPECT_EQ(s.lines(0), 0U);
}

TEST(Steered, WhatIsInForceIsReadBackAsItWas) {
    const Steering s = steered();
    const Orders held = s.inForce();
    Steering other({"x", "y"}, 0);
    other.obey(held, 0);
    EXPECT_EQ(other.inForce().byClass, held.byClass);
}

// ---- Counts ----

RC_GTEST_PROP(Counts, AnySplitIntoSpansAddsUpToTheSame, ()) {
    Tally one(2, 0), many(2, 0);
    Count merged;
    Micros now = 0;
    const auto steps = *rc::gen::inRange(0, 60);
    std::uint32_t tries = 0;
    for (int i = 0; i < steps; ++i) {
        now += *rc::gen::inRange(0, 400000);
        const auto what = *rc::gen::inRange(0, 4);
        const auto k = *rc::gen::inRange<std::size_t>(0, 2);
        const std::string box = "b" + std::to_string(*rc::gen::inRange(0, 3));
        const bool failed = *rc::gen::arbitrary<bool>();
        const auto took = *rc::gen::inRange<Micros>(0, 900000);
        for (Tally* t : {&one, &many}) {
            if (what == 0) t->came(k, now);
            if (what == 1) t->requestFailed(k, now);
            if (what == 2) t->tried(box, failed, took, now);
        }
        tries += what == 2 ? 1 : 0;
        if (what == 3) merge(merged, many.take(now));
    }
    merge(merged, many.take(now));
    const Count whole = one.take(now);
    RC_ASSERT(merged.boxes == whole.boxes);
    RC_ASSERT(merged.classes == whole.classes);
    std::uint32_t seen = 0;
    for (const auto& [box, count] : whole.boxes) seen += count.tries;
    RC_ASSERT(seen == tries);
}

TEST(Tallies, WhatNobodyTookForLongIsDroppedAndCounted) {
    Tally tally(1, 0, 10 * kSecond);
    tally.came(0, kSecond);
    tally.tried("b", false, 5, kSecond);
    tally.tried("b", true, 5, 12 * kSecond);
    const Count count = tally.take(13 * kSecond);
    EXPECT_EQ(tally.dropped(), 2U);
    EXPECT_EQ(count.boxes.at("b"), (BoxCount{1, 1, 0}));
    EXPECT_EQ(count.over, kSecond);
}

// ---- Settings ----

TEST(ProxyFile, AllThatIsWrongIsToldAtOnce) {
    std::vector<settings::Problem> problems;
    (void)readProxySettings(
        "p.ini", "[proxy]\nzoen = a\nhead_most = 5\n[class x]\npath = y\n[planners]\naddresses = here\n",
        problems);
    std::set<std::string> texts;
    for (const auto& p : problems) texts.insert(p.shown());
    EXPECT_GE(problems.size(), 6U);
    EXPECT_EQ(texts.count("p.ini:2: unknown key zoen in [proxy]; the nearest known is zone"), 1U);
    EXPECT_EQ(texts.count("p.ini: there is neither [proxy] discovery nor a [box UID]"), 1U);
}

TEST(ProxyFile, ClassesKeepTheirOrder) {
    std::vector<settings::Problem> problems;
    const ProxySettings s = readProxySettings("p.ini",
                                              "[proxy]\nzone = a\n[planners]\naddresses = 127.0.0.1:1, "
                                              "127.0.0.1:2\n[box b1]\naddress = 127.0.0.1:9\n"
                                              "[class reserve]\npath = /reserve\nmethod = POST\nfragile = "
                                              "yes\ngive_up_ms = 2000\n[class rest]\npath = /\n",
                                              problems);
    for (const auto& p : problems) ADD_FAILURE() << p.shown();
    ASSERT_EQ(s.gateway.classes.size(), 2U);
    EXPECT_EQ(s.gateway.classes[0].name, "reserve");
    EXPECT_TRUE(s.gateway.classes[0].fragile);
    EXPECT_EQ(s.gateway.classes[0].giveUp, 2 * kSecond);
    EXPECT_EQ(s.planner.planners.size(), 2U);
}

}  // namespace
}  // namespace marldale::proxy
