// Lanes: what differs is sent, once; refusals, silence, breaks and returns never leave a relay with a wrong
// table.
#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>
#include <random>
#include <stdexcept>

#include "support/model_relay.h"

namespace marldale::dispatch {
namespace {

using protocol::BindOrder;
using protocol::ClearOrder;
using protocol::LevelOrder;
using protocol::LineOrder;
using protocol::MarkOrder;
using protocol::Order;
using protocol::ShutOrder;
using tests::ModelRelay;
using tests::saidOf;

constexpr Micros kMs = 1000, kSecond = 1000 * kMs;

DispatchRules rules() {
    DispatchRules out;
    out.classes = {"image", "reserve"};
    out.platform.maySkipLines = false;
    out.stream.answerWithin = 1500 * kMs;
    out.messagesMost = 12;
    out.messagesOver = 10 * kSecond;
    out.arrivalJitter = 0;
    out.epoch = 77;
    return out;
}

class DispatchTest : public testing::Test {
protected:
    explicit DispatchTest()
        : dispatcher(rules(), [this](const std::string& text) { told.push_back(text); }) {}

    std::vector<Batch> batches(LaneId lane) {
        std::vector<Batch> out;
        for (const Command& c : take()) {
            const auto* send = std::get_if<SendBatch>(&c);
            if (send != nullptr && send->lane == lane) out.push_back(send->batch);
        }
        return out;
    }
    std::vector<Command> take() { return dispatcher.take(); }
    Batch only(LaneId lane) {
        auto all = batches(lane);
        EXPECT_EQ(all.size(), 1U);
        return all.empty() ? Batch{} : all.front();
    }
    void answer(LaneId lane, const Batch& b) { dispatcher.answered(lane, b.nonce, b.orders.size(), "", now); }
    void layTwo(TableId table, ProxyId proxy) {
        dispatcher.turn({LineOrder{table, "s-1", 1}, LineOrder{table, "s-2", 2}, LevelOrder{table, 1, 5, 1},
                         BindOrder{proxy, table, 0}, MarkOrder{++mark, false}},
                        now);
    }
    std::vector<std::string> told;
    Dispatcher dispatcher;
    Micros now = 100 * kSecond;
    std::uint16_t mark = 0;
};

TEST_F(DispatchTest, ATurnGoesOnlyToTheLanesItConcerns) {
    dispatcher.open(1, {"a"}, now);
    dispatcher.open(2, {"b"}, now);
    dispatcher.own(10, 1);
    dispatcher.own(20, 2);
    layTwo(5, 10);
    const auto commands = take();
    ASSERT_EQ(commands.size(), 3U);  // two welcomes, one batch
    const auto& batch = std::get<SendBatch>(commands[2]);
    EXPECT_EQ(batch.lane, 1U);
    const std::vector<LaneOrder> expected = {LineOrder{5, "s-1", 1}, LineOrder{5, "s-2", 2},
                                             LevelOrder{5, 1, 5, 1}, BindOrder{10, 5, 0},
                                             MarkOrder{1, false}};
    EXPECT_EQ(batch.batch.orders, expected);
}

TEST_F(DispatchTest, ALaneThatComesLaterIsLaidTheTableBeforeItsBind) {
    dispatcher.open(1, {"a"}, now);
    dispatcher.own(10, 1);
    layTwo(5, 10);
    dispatcher.open(2, {"b"}, now);
    dispatcher.own(20, 2);
    (void)take();
    dispatcher.turn({BindOrder{20, 5, 0}, MarkOrder{++mark, false}}, now);
    const std::vector<LaneOrder> expected = {LineOrder{5, "s-1", 1}, LineOrder{5, "s-2", 2},
                                             LevelOrder{5, 1, 5, 1}, BindOrder{20, 5, 0},
                                             MarkOrder{2, false}};
    EXPECT_EQ(only(2).orders, expected);
}

TEST_F(DispatchTest, WhatALaneMissesWhileItsBatchIsOutComesAsOneDifferenceWithTheLastMark) {
    dispatcher.open(1, {"a"}, now);
    dispatcher.own(10, 1);
    layTwo(5, 10);
    const Batch first = only(1);
    for (const float w : {3.0F, 4.0F, 5.0F}) {
        dispatcher.turn({LineOrder{5, "s-1", w}, LineOrder{5, "s-2", 0}, MarkOrder{++mark, false}}, now);
    }
    EXPECT_TRUE(batches(1).empty()) << "one batch at a time";
    answer(1, first);
    const Batch next = only(1);
    const std::vector<LaneOrder> expected = {LineOrder{5, "s-1", 5}, LineOrder{5, "s-2", 0},
                                             MarkOrder{4, false}};
    EXPECT_EQ(next.orders, expected);
    EXPECT_EQ(dispatcher.marksOf(1, 4), (std::vector<std::uint16_t>{2, 3, 4}));
    EXPECT_EQ(dispatcher.marksOf(1, 1), (std::vector<std::uint16_t>{1}));
}

TEST_F(DispatchTest, ARefusedOrderIsSentAnewOnceThenDroppedAndTheRestGoesOn) {
    dispatcher.open(1, {"a"}, now);
    dispatcher.own(10, 1);
    layTwo(5, 10);
    const Batch first = only(1);
    dispatcher.answered(1, first.nonce, 1, "no such server", now);
    Batch again = only(1);
    ASSERT_EQ(again.orders.size(), 4U);
    EXPECT_EQ(again.orders[0], (LaneOrder{LineOrder{5, "s-2", 2}}))
        << "what stands before it is not sent again";
    EXPECT_GT(again.nonce, first.nonce);
    dispatcher.answered(1, again.nonce, 0, "no such server", now);
    again = only(1);
    EXPECT_EQ(again.orders[0], (LaneOrder{LevelOrder{5, 1, 5, 1}}));
    ASSERT_EQ(told.size(), 2U);
    EXPECT_EQ(told[0], "a: an order was refused and is sent anew: share,5,s-2,2: no such server");
    EXPECT_EQ(told[1], "a: an order was refused twice and is dropped: share,5,s-2,2: no such server");
    answer(1, again);
    EXPECT_TRUE(batches(1).empty());
}

TEST_F(DispatchTest, SendingAnewWaitsForTheLimitOfMessages) {
    dispatcher.open(1, {"a"}, now);
    dispatcher.own(10, 1);
    layTwo(5, 10);
    answer(1, only(1));
    for (int i = 0; i < 10; ++i) {
        now += 100 * kMs;
        dispatcher.turn({LineOrder{5, "s-1", 2.0F + static_cast<float>(i)}, MarkOrder{++mark, false}}, now);
        answer(1, only(1));
    }
    now += 100 * kMs;
    dispatcher.turn({LineOrder{5, "s-1", 50}, MarkOrder{++mark, false}}, now);
    const Batch twelfth = only(1);
    dispatcher.answered(1, twelfth.nonce, 0, "not now", now);
    EXPECT_TRUE(batches(1).empty()) << "a thirteenth message within ten seconds";
    ASSERT_TRUE(dispatcher.nextDue());
    EXPECT_EQ(*dispatcher.nextDue(), 110 * kSecond);
    dispatcher.due(110 * kSecond - 1);
    EXPECT_TRUE(batches(1).empty());
    dispatcher.due(110 * kSecond);
    EXPECT_EQ(only(1).orders.size(), 2U);
}

TEST_F(DispatchTest, WhatWasSentAnewCountsForWhatFollows) {
    dispatcher.open(1, {"a"}, now);
    dispatcher.own(10, 1);
    layTwo(5, 10);
    for (int i = 0; i < 11; ++i) {  // eleven turns, each refused once: by the sixth the limit is reached
        const auto sent = batches(1);
        if (sent.empty()) break;
        dispatcher.answered(1, sent[0].nonce, 0, "not now", now);
        answer(1, only(1));
        now += 100 * kMs;
        dispatcher.turn({LineOrder{5, "s-1", 2.0F + static_cast<float>(i)}, MarkOrder{++mark, false}}, now);
    }
    EXPECT_EQ(mark, 7) << "twelve messages for six turns; the seventh waits";
    dispatcher.turn({LineOrder{5, "s-1", 99}, MarkOrder{++mark, false}}, now);
    EXPECT_TRUE(batches(1).empty());
    ASSERT_TRUE(dispatcher.nextDue());
    dispatcher.due(110 * kSecond - 1);
    EXPECT_TRUE(batches(1).empty());
    dispatcher.due(110 * kSecond);
    const std::vector<LaneOrder> expected = {LineOrder{5, "s-1", 99}, MarkOrder{8, false}};
    EXPECT_EQ(only(1).orders, expected) << "both turns as one";
    EXPECT_EQ(dispatcher.marksOf(1, 8), (std::vector<std::uint16_t>{7, 8}));
}

TEST_F(DispatchTest, ABatchThatIsTooLargeGoesInPartsAndIsRememberedOnlyWhole) {
    DispatchRules small = rules();
    small.stream.bytesMost = 300;
    Dispatcher d(small, [](const std::string&) {});
    d.open(1, {"a"}, now);
    d.own(10, 1);
    std::vector<Order> lay;
    for (int i = 0; i < 40; ++i) lay.emplace_back(LineOrder{5, "s-" + std::to_string(i), 1});
    lay.emplace_back(BindOrder{10, 5, 0});
    lay.emplace_back(MarkOrder{1, false});
    d.turn(lay, now);
    ModelRelay relay;
    std::size_t parts = 0;
    std::uint64_t firstNonce = 0;
    for (bool more = true; more;) {
        more = false;
        for (const Command& c : d.take()) {
            const auto* send = std::get_if<SendBatch>(&c);
            if (send == nullptr) continue;
            ++parts;
            more = true;
            EXPECT_LE(send->batch.orders.size(), 12U);
            if (firstNonce == 0) firstNonce = send->batch.nonce;
            d.answered(1, send->batch.nonce, relay.apply(send->batch), "", now);
        }
    }
    EXPECT_GE(parts, 4U);
    EXPECT_FALSE(relay.boundToNothing);
    EXPECT_EQ(relay.used(10, 0), saidOf(*d.book().find(5)));
    d.close(1, now);
    d.open(2, {"a", 77, firstNonce}, now);
    EXPECT_FALSE(std::get<Welcome>(d.take().at(0)).kept) << "a part is not the whole";
    d.close(2, now);
}

TEST_F(DispatchTest, ABatchWithoutAnAnswerEndsTheLaneAndNoOther) {
    dispatcher.open(1, {"mute"}, now);
    dispatcher.open(2, {"well"}, now);
    dispatcher.own(10, 1);
    dispatcher.own(20, 2);
    layTwo(5, 10);
    layTwo(6, 20);
    for (const Command& c : take()) {
        const auto* send = std::get_if<SendBatch>(&c);
        if (send != nullptr && send->lane == 2) answer(2, send->batch);
    }
    dispatcher.due(now + 1500 * kMs - 1);
    EXPECT_TRUE(take().empty());
    dispatcher.due(now + 1500 * kMs);
    const auto commands = take();
    ASSERT_EQ(commands.size(), 1U);
    EXPECT_EQ(std::get<EndLane>(commands[0]).lane, 1U);
    now += 2 * kSecond;
    dispatcher.turn({LineOrder{5, "s-1", 9}, LineOrder{6, "s-1", 9}, MarkOrder{++mark, false}}, now);
    EXPECT_EQ(only(2).orders.size(), 2U) << "the other lane goes on, the one that ends gets nothing more";
}

TEST_F(DispatchTest, ARelayThatComesBackIsSentOnlyWhatDiffers) {
    dispatcher.open(1, {"a"}, now);
    dispatcher.own(10, 1);
    std::vector<Order> lay;
    for (int i = 0; i < 20; ++i) lay.emplace_back(LineOrder{5, "s-" + std::to_string(i), 1});
    lay.emplace_back(BindOrder{10, 5, 0});
    lay.emplace_back(MarkOrder{++mark, false});
    dispatcher.turn(lay, now);
    const Batch first = only(1);
    answer(1, first);
    dispatcher.close(1, now);
    now += kSecond;
    dispatcher.open(2, {"a", 77, first.nonce}, now);
    const auto welcome = take();
    ASSERT_EQ(welcome.size(), 1U);
    EXPECT_TRUE(std::get<Welcome>(welcome[0]).kept);
    dispatcher.own(10, 2);
    // The module lays a fresh copy under a new number, and drops the old table.
    lay.clear();
    for (int i = 0; i < 20; ++i)
        lay.emplace_back(LineOrder{6, "s-" + std::to_string(i), i == 7 ? 2.0F : 1.0F});
    lay.emplace_back(ClearOrder{5});
    lay.emplace_back(BindOrder{10, 6, 0});
    lay.emplace_back(MarkOrder{++mark, false});
    dispatcher.turn(lay, now);
    const Batch again = only(2);
    const auto hash = dispatcher.book().find(6)->hash;
    const std::vector<LaneOrder> expected = {LayOrder{6, 5},      LineOrder{6, "s-7", 2},
                                             CheckOrder{6, hash}, BindOrder{10, 6, 0},
                                             ClearOrder{5},       MarkOrder{2, false}};
    EXPECT_EQ(again.orders, expected);
    EXPECT_EQ(dispatcher.linesSaved(), 17U);
}

TEST_F(DispatchTest, ATableIsNotLaidLikeOneThatTheSameBatchHasLaidAnew) {
    dispatcher.open(1, {"a"}, now);
    ModelRelay relay;
    relay.classes = rules().classes;
    for (const ProxyId p : {ProxyId{10}, ProxyId{11}}) dispatcher.own(p, 1);
    const auto lines = [](TableId table, const char* kind) {
        std::vector<Order> out;
        for (int i = 0; i < 9; ++i) out.emplace_back(LineOrder{table, kind + std::to_string(i), 1});
        return out;
    };
    std::vector<Order> turn = lines(3, "old-");
    turn.emplace_back(BindOrder{10, 3, 0});
    dispatcher.turn(turn, now);
    const Batch first = only(1);
    (void)relay.apply(first);
    answer(1, first);
    turn = {ClearOrder{3}};
    for (const auto& o : lines(3, "new-")) turn.push_back(o);
    for (const auto& o : lines(9, "old-")) turn.push_back(o);
    turn.emplace_back(BindOrder{11, 9, 0});
    dispatcher.turn(turn, now);
    const Batch second = only(1);
    EXPECT_EQ(relay.apply(second), second.orders.size());
    EXPECT_EQ(relay.tables[9], saidOf(*dispatcher.book().find(9)));
    EXPECT_EQ(relay.tables[3], saidOf(*dispatcher.book().find(3)));
}

TEST_F(DispatchTest, ATableIsNotLaidLikeOneWhoseRemovedLinesAreForgotten) {
    dispatcher.open(1, {"a"}, now);
    ModelRelay relay;
    relay.classes = rules().classes;
    dispatcher.own(10, 1);
    std::vector<Order> turn;
    for (int i = 0; i < 300; ++i) turn.emplace_back(LineOrder{5, "s-" + std::to_string(i), 1});
    turn.emplace_back(BindOrder{10, 5, 0});
    dispatcher.turn(turn, now);
    const Batch first = only(1);
    (void)relay.apply(first);
    answer(1, first);
    dispatcher.close(1, now);
    turn = {LineOrder{5, "s-0", 0}};
    for (int i = 0; i < 80; ++i) {
        turn.emplace_back(LineOrder{5, "churn-" + std::to_string(i), 1});
        turn.emplace_back(LineOrder{5, "churn-" + std::to_string(i), 0});
    }
    dispatcher.turn(turn, now);
    EXPECT_EQ(dispatcher.book().find(5)->lines.count("s-0"), 0U) << "it is forgotten that it was there";
    dispatcher.open(2, {"a", 77, first.nonce}, now);
    dispatcher.own(10, 2);
    turn.clear();
    for (int i = 1; i < 300; ++i) turn.emplace_back(LineOrder{6, "s-" + std::to_string(i), 1});
    turn.emplace_back(BindOrder{10, 6, 0});
    dispatcher.turn(turn, now);
    const Batch again = only(2);
    EXPECT_EQ(relay.apply(again), again.orders.size());
    EXPECT_EQ(relay.tables[6], saidOf(*dispatcher.book().find(6)));
}

TEST_F(DispatchTest, AReturnThatCantBeTrustedStartsOver) {
    LaneId lane = 0;
    const auto keeps = [&](const Returning& returning, const std::function<void(const Batch&)>& before) {
        dispatcher.open(++lane, {"a"}, now);
        dispatcher.own(10, lane);
        layTwo(static_cast<TableId>(lane), 10);
        const Batch b = only(lane);
        before(b);
        (void)take();
        dispatcher.close(lane, now);
        Returning r = returning;
        if (r.lastTaken == 1) r.lastTaken = b.nonce;
        dispatcher.open(++lane, r, now);
        const bool kept = std::get<Welcome>(take().at(0)).kept;
        dispatcher.close(lane, now);
        return kept;
    };
    const auto taken = [&](const Batch& b) { answer(lane, b); };
    EXPECT_TRUE(keeps({"a", 77, 1}, taken));
    EXPECT_TRUE(keeps({"a", 77, 1}, [](const Batch&) {})) << "taken, and the answer was lost on the way";
    EXPECT_FALSE(keeps({"a", 76, 1}, taken)) << "another planner's batch";
    EXPECT_FALSE(keeps({"a", 77, 0}, taken)) << "it has lost its tables";
    EXPECT_FALSE(keeps({"a", 77, 12345}, taken)) << "a batch that was never sent";
    EXPECT_FALSE(keeps({"b", 77, 1}, taken)) << "another relay";
    EXPECT_FALSE(keeps({"a", 77, 1}, [&](const Batch& b) {
        dispatcher.answered(lane, b.nonce, 1, "no", now);
    })) << "something was refused: what it holds is not what was ordered";
    EXPECT_FALSE(keeps({"a", 77, 1}, [&](const Batch& b) {
        answer(lane, b);
        now += 61 * kSecond;
        dispatcher.close(lane, now - 61 * kSecond);
    })) << "it was away too long";
}

TEST_F(DispatchTest, ATableThatDiffersAfterAllEndsTheLaneAndIsLaidWholeTheNextTime) {
    dispatcher.open(1, {"a"}, now);
    dispatcher.own(10, 1);
    layTwo(5, 10);
    const Batch first = only(1);
    answer(1, first);
    dispatcher.close(1, now);
    dispatcher.open(2, {"a", 77, first.nonce}, now);
    dispatcher.own(10, 2);
    layTwo(6, 10);
    Batch again = only(2);
    ASSERT_EQ(again.orders[0], (LaneOrder{LayOrder{6, 5}}));
    dispatcher.answered(2, again.nonce, 1, "hash", now);
    const auto commands = take();
    ASSERT_EQ(commands.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<EndLane>(commands[0]));
    dispatcher.close(2, now);
    dispatcher.open(3, {"a", 77, first.nonce}, now);
    EXPECT_FALSE(std::get<Welcome>(take().at(0)).kept);
}

TEST_F(DispatchTest, ServersThatAreShutOutAreToldInTheWelcomeAndWithoutAMessageToWhomTheyDontConcern) {
    dispatcher.open(1, {"a"}, now);
    dispatcher.own(10, 1);
    layTwo(5, 10);
    answer(1, only(1));
    dispatcher.turn({ShutOrder{"s-9", true}, MarkOrder{++mark, false}}, now);
    EXPECT_TRUE(batches(1).empty()) << "no table of this lane has it";
    dispatcher.open(2, {"b"}, now);
    EXPECT_EQ(std::get<Welcome>(take().at(0)).shut, (std::vector<std::string>{"s-9"}));
    dispatcher.turn({ShutOrder{"s-1", true}, MarkOrder{++mark, false}}, now);
    const std::vector<LaneOrder> expected = {ShutOrder{"s-1", true}, ShutOrder{"s-9", true},
                                             MarkOrder{3, false}};
    EXPECT_EQ(only(1).orders, expected) << "the other one goes along";
}

TEST_F(DispatchTest, ThePlatformHoldsTheModuleUpNoLongerThanItMay) {
    dispatcher.open(1, {"a"}, now);
    dispatcher.own(10, 1);
    dispatcher.own(20, kPlatform);
    layTwo(5, 10);
    EXPECT_FALSE(dispatcher.heldUntil()) << "nobody waits for a stream";
    layTwo(6, 20);
    ASSERT_TRUE(dispatcher.heldUntil());
    EXPECT_EQ(*dispatcher.heldUntil(), now + 500 * kMs);
    (void)take();
    now += 500 * kMs;
    dispatcher.due(now);
    EXPECT_FALSE(dispatcher.heldUntil());
    dispatcher.turn({LineOrder{5, "s-1", 7}, LineOrder{6, "s-1", 7}, MarkOrder{++mark, false}}, now);
    EXPECT_FALSE(dispatcher.heldUntil()) << "no second call while the first is out";
    EXPECT_TRUE(batches(kPlatform).empty());
    dispatcher.platformSettled(now);
    EXPECT_EQ(only(kPlatform).orders.size(), 2U);
    EXPECT_TRUE(dispatcher.heldUntil());
}

TEST_F(DispatchTest, WhatIsRememberedIsBounded) {
    DispatchRules small = rules();
    small.rememberedMost = 10;
    Dispatcher d(small, [](const std::string&) {});
    for (LaneId lane = 1; lane <= 100; ++lane) {
        d.open(lane, {"n" + std::to_string(lane)}, now);
        d.close(lane, now + lane);
    }
    EXPECT_EQ(d.remembered(), 10U);
    EXPECT_EQ(d.lanes(), 1U);
    for (TableId t = 1; t <= 500; ++t) {
        d.turn({LineOrder{t, "s", 1}, ClearOrder{t}}, now);
        for (int i = 0; i < 3; ++i) {
            const std::string s = "s" + std::to_string(t * 3 + i);
            d.turn({LineOrder{1000, s, 1}, ShutOrder{s, true}, LineOrder{1000, s, 0}, ShutOrder{s, false}},
                   now);
        }
    }
    EXPECT_LE(d.book().ghosts(), TableBook::kGhosts);
    EXPECT_LE(d.book().shuts().size(), TableBook::kShutsMost);
    EXPECT_LE(d.book().find(1000)->lines.size(), TableBook::kRemovedMost + 1);
}

// ---- Random histories ----

void require(int line, bool holds) {
    if (!holds) throw std::runtime_error("line " + std::to_string(line));
}

// A module that keeps the design's rules (lines before binds, no table dropped that is bound), relays that
// answer late, refuse, fall silent, break and come back, and a clock. Each number of the script is one step.
class History {
public:
    explicit History(std::uint32_t seed) : random_(seed) {}

    void step(std::uint32_t word) {
        // Mostly moments, now and then longer than a batch may be out.
        now += (word >> 8 & 0xffU) * (random_() % 40 == 0 ? 20 : 1) * kMs;
        dispatcher.due(now);
        carry();
        const auto pick = word >> 16;
        switch (word % 16) {
            case 0: openLane(pick % 4); break;
            case 1: breakLane(pick % 4); break;
            case 2:
            case 3: join(static_cast<ProxyId>(pick % 12), pick >> 8); break;
            case 4:
                if (owner_.erase(static_cast<ProxyId>(pick % 12)) > 0) {
                    dispatcher.disown(static_cast<ProxyId>(pick % 12));
                    unbind(static_cast<ProxyId>(pick % 12));
                }
                break;
            case 5: shut(pick); break;
            case 6: refuse(pick); break;
            case 7: now += 300 * kMs; break;
            case 9: copyOf(pick); break;
            case 10: churn(pick); break;
            default: change(pick); break;
        }
        turnDone();
        for (int i = 0; i < 4 && random_() % 4 != 0; ++i) (void)answerOne();
    }
    // All answers come, and nothing is refused any more.
    void settle() {
        for (int i = 0; i < 200; ++i) {
            now += kSecond;
            for (auto& [lane, l] : lanes_) l.relay.refuseAt = SIZE_MAX;
            while (answerOne()) {
            }
            dispatcher.due(now);
            carry();
        }
    }
    void check() {
        for (const auto& [proxy, lane] : owner_) {
            const ModelRelay& relay = lanes_.at(lane).relay;
            require(__LINE__, !relay.boundToNothing);
            if (lanes_.at(lane).dropped)
                continue;  // an order was refused twice: it is told, and not made up for
            ++checked;
            for (const auto& [mask, bound] : dispatcher.book().binds(proxy)) {
                const Table* said = dispatcher.book().find(bound.table);
                require(__LINE__, said != nullptr);
                require(__LINE__, relay.binds.count(proxy) == 1 && relay.binds.at(proxy).count(mask) == 1);
                require(__LINE__, relay.used(proxy, mask) == saidOf(*said));
                for (const auto& [server, s] : dispatcher.book().shuts()) {
                    if (said->holds(server)) require(__LINE__, relay.shut.count(server) == (s.out ? 1U : 0U));
                }
            }
        }
    }
    Micros now = 100 * kSecond;
    Dispatcher dispatcher{rules(), [this](const std::string& text) {
                              if (text.find("dropped") != std::string::npos)
                                  droppedIn_ = text.substr(0, text.find(':'));
                          }};
    std::uint64_t batches = 0, welcomes = 0, kept = 0, checked = 0;

private:
    struct Peer {
        ModelRelay relay;
        std::string node;
        std::optional<Batch> out;
        bool open = false, dropped = false;
        std::uint64_t lastTaken = 0;
    };

    static std::string serverName(std::uint32_t n) { return "s-" + std::to_string(n % 24); }
    float weight() { return static_cast<float>(1 + random_() % 4); }

    void openLane(std::uint32_t node) {
        const std::string name = "node" + std::to_string(node);
        for (auto& [lane, l] : lanes_) {
            if (l.open && l.node == name) return;
        }
        Peer peer;
        if (const auto old = memory_.find(name); old != memory_.end()) peer.relay = old->second;
        peer.relay.classes = rules().classes;
        peer.node = name;
        peer.open = true;
        lanes_[++lastLane_] = peer;
        dispatcher.open(lastLane_, {name, random_() % 8 == 0 ? 1U : 77U, peer.relay.lastTaken}, now);
        carry();
    }
    void breakLane(std::uint32_t node) {
        const std::string name = "node" + std::to_string(node);
        for (auto& [lane, l] : lanes_) {
            if (l.open && l.node == name) return ended(lane);
        }
    }
    void ended(LaneId lane) {
        Peer& peer = lanes_.at(lane);
        if (peer.out && random_() % 2 == 0) (void)peer.relay.apply(*peer.out);  // taken; the answer is lost
        peer.out.reset();
        peer.open = false;
        memory_[peer.node] = peer.relay;
        memory_[peer.node].boundToNothing = false;
        dispatcher.close(lane, now);
        std::vector<ProxyId> gone;
        for (const auto& [proxy, l] : owner_) {
            if (l == lane) gone.push_back(proxy);
        }
        for (const ProxyId p : gone) {
            owner_.erase(p);
            unbind(p);
        }
    }
    void join(ProxyId proxy, std::uint32_t pick) {
        std::vector<LaneId> open;
        for (const auto& [lane, l] : lanes_) {
            if (l.open) open.push_back(lane);
        }
        if (open.empty()) return;
        const LaneId lane = open[pick % open.size()];
        dispatcher.own(proxy, lane);
        unbind(proxy);
        owner_[proxy] = lane;
        lanes_.at(lane).relay.binds.erase(proxy);
        orders_.emplace_back(BindOrder{proxy, lay(), 0});
        bound_[proxy] = lastTable_;
    }
    TableId lay() {
        lastTable_ = static_cast<TableId>(lastTable_ % 40 + 1);
        while (tables_.count(lastTable_)) lastTable_ = static_cast<TableId>(lastTable_ % 40 + 1);
        tables_.insert(lastTable_);
        const std::uint32_t from = random_() % 24;
        for (std::uint32_t i = 0; i < 8 + random_() % 8; ++i) {
            orders_.emplace_back(
                LineOrder{lastTable_, serverName(from + i), random_() % 4 == 0 ? weight() : 1.0F});
        }
        orders_.emplace_back(LevelOrder{lastTable_, 1, weight(), 1});
        orders_.emplace_back(LevelOrder{lastTable_, 2, weight(), 1});
        return lastTable_;
    }
    void unbind(ProxyId proxy) {
        bound_.erase(proxy);
        dropUnused();
    }
    void dropUnused() {
        std::set<TableId> used;
        for (const auto& [p, t] : bound_) used.insert(t);
        for (auto at = tables_.begin(); at != tables_.end();) {
            if (used.count(*at) || random_() % 2 == 0 || *at == lastTable_) {
                ++at;
                continue;
            }
            orders_.emplace_back(ClearOrder{*at});
            at = tables_.erase(at);
        }
    }
    void copyOf(std::uint32_t pick) {  // a bound proxy moves to a copy of its table
        if (bound_.empty()) return;
        const auto at = std::next(bound_.begin(), static_cast<std::ptrdiff_t>(pick % bound_.size()));
        const TableId from = at->second;
        const Table* t = dispatcher.book().find(from);
        if (t == nullptr) return;
        const ModelRelay::Table said = saidOf(*t);
        const TableId to = lay();
        orders_.emplace_back(ClearOrder{to});
        for (const auto& [server, w] : said.lines) orders_.emplace_back(LineOrder{to, server, w});
        for (const auto& [mask, l] : said.levels)
            orders_.emplace_back(LevelOrder{to, mask, l.first, static_cast<std::uint8_t>(l.second)});
        orders_.emplace_back(BindOrder{at->first, to, 0});
        at->second = to;
        dropUnused();
    }
    void change(std::uint32_t pick) {
        if (bound_.empty()) return;
        const TableId t =
            std::next(bound_.begin(), static_cast<std::ptrdiff_t>(pick % bound_.size()))->second;
        orders_.emplace_back(LineOrder{t, serverName(pick >> 4), weight()});
        if (pick % 3 == 0) orders_.emplace_back(LineOrder{t, "only-" + std::to_string(pick % 100), 0});
        if (pick % 5 == 0) orders_.emplace_back(LevelOrder{t, 1, weight(), 0});
        if (pick % 2 == 0) {
            const Table* said = dispatcher.book().find(t);
            if (said != nullptr && said->size() > 6)
                orders_.emplace_back(LineOrder{t, saidOf(*said).lines.begin()->first, 0});
        }
    }
    void churn(std::uint32_t pick) {  // many lines come and go, so that removals are forgotten
        if (bound_.empty()) return;
        const TableId t =
            std::next(bound_.begin(), static_cast<std::ptrdiff_t>(pick % bound_.size()))->second;
        const Table* said = dispatcher.book().find(t);
        if (said != nullptr && said->size() > 6)
            orders_.emplace_back(LineOrder{t, saidOf(*said).lines.begin()->first, 0});
        for (std::uint32_t i = 0; i < 80; ++i) {
            const std::string s = "churn-" + std::to_string(pick % 50 * 100 + i);
            orders_.emplace_back(LineOrder{t, s, 1});
            if (i % 8 != 0) orders_.emplace_back(LineOrder{t, s, 0});
        }
    }
    void shut(std::uint32_t pick) { orders_.emplace_back(ShutOrder{serverName(pick), pick % 3 != 0}); }
    void refuse(std::uint32_t pick) {
        for (auto& [lane, l] : lanes_) {
            if (l.open && lane % 16 == pick % 16) l.relay.refuseAt = pick % 6;
        }
    }
    bool answerOne() {
        std::vector<LaneId> due;
        for (const auto& [lane, l] : lanes_) {
            if (l.open && l.out) due.push_back(lane);
        }
        if (!due.empty()) {
            const LaneId lane = due[random_() % due.size()];
            Peer& l = lanes_.at(lane);
            const Batch batch = *std::exchange(l.out, std::nullopt);
            const std::size_t taken = l.relay.apply(batch);
            require(__LINE__, !l.relay.differed || l.dropped);  // a memory that is trusted is right
            if (random_() % 4 != 0) l.relay.refuseAt = SIZE_MAX;
            droppedIn_.clear();
            dispatcher.answered(lane, batch.nonce, taken, "no", now);
            if (!droppedIn_.empty()) l.dropped = true;
            carry();
            return true;
        }
        return false;
    }
    void turnDone() {
        if (!orders_.empty()) orders_.emplace_back(MarkOrder{++mark_, false});
        dispatcher.turn(std::exchange(orders_, {}), now);
        carry();
    }
    void carry() {
        for (const Command& c : dispatcher.take()) {
            if (const auto* w = std::get_if<Welcome>(&c)) {
                lanes_.at(w->lane).relay.welcome(*w);
                ++welcomes;
                kept += w->kept;
            } else if (const auto* s = std::get_if<SendBatch>(&c)) {
                if (s->lane == kPlatform) continue;
                require(__LINE__, lanes_.at(s->lane).open);
                require(__LINE__, !lanes_.at(s->lane).out);  // one at a time
                lanes_.at(s->lane).out = s->batch;
                ++batches;
            } else if (const auto* e = std::get_if<EndLane>(&c)) {
                if (lanes_.at(e->lane).open) ended(e->lane);
            }
        }
    }

    std::mt19937 random_;
    std::map<LaneId, Peer> lanes_;
    std::map<std::string, ModelRelay> memory_;
    std::map<ProxyId, LaneId> owner_;
    std::map<ProxyId, TableId> bound_;
    std::set<TableId> tables_;
    std::vector<Order> orders_;
    LaneId lastLane_ = 0;
    TableId lastTable_ = 0;
    std::uint16_t mark_ = 0;
    std::string droppedIn_;
};

// The rule: whatever happens on the way, a relay that has answered everything holds what the module has
// ordered.
RC_GTEST_PROP(DispatchProperty, ARelayThatHasAnsweredEverythingHoldsWhatWasOrdered,
              (const std::vector<std::uint32_t>& script, std::uint32_t seed)) {
    History history(seed);
    for (int i = 0; i < 4; ++i) history.step(static_cast<std::uint32_t>(i) << 16);
    for (const std::uint32_t word : script) {
        history.step(word * 2654435761U);
        history.step(word ^ seed);
    }
    history.settle();
    history.check();
}

// The same over long histories, and enough of each thing must have happened for it to mean something.
TEST(DispatchHistory, LongOnesEndInTheTablesThatWereOrdered) {
    std::uint64_t batches = 0, kept = 0, welcomes = 0, saved = 0, checked = 0;
    for (std::uint32_t seed = 1; seed <= 60; ++seed) {
        std::mt19937 random(seed);
        History history(seed);
        for (int i = 0; i < 600; ++i) history.step(static_cast<std::uint32_t>(random()));
        history.settle();
        history.check();
        batches += history.batches;
        kept += history.kept;
        welcomes += history.welcomes;
        saved += history.dispatcher.linesSaved();
        checked += history.checked;
    }
    EXPECT_GT(batches, 5000U);
    EXPECT_GT(kept, 200U);
    EXPECT_GT(welcomes, 2 * kept);
    EXPECT_GT(saved, 1000U);
    EXPECT_GT(checked, 100U);
}

}  // namespace
}  // namespace marldale::dispatch
