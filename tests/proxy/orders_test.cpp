// Orders as text, the book of one planner, whose the proxy is, and tables over a restart: without a socket.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <filesystem>
#include <fstream>

#include "proxy/order_book.h"
#include "proxy/order_text.h"
#include "proxy/owner.h"
#include "proxy/table_snapshot.h"

namespace marldale::proxy {
namespace {

const std::vector<std::string> kClasses = {"reserve", "rest"};

// ---- Text ----

TEST(OrderText, EveryKindIsRead) {
    std::string wrong;
    const auto read = [&](const char* text) { return readOrder(text, kClasses, wrong); };
    EXPECT_EQ(read("share,4,s-5be2a07c,1.5"), protocol::Order(protocol::LineOrder{4, "s-5be2a07c", 1.5F}));
    EXPECT_EQ(read("share,*,s,0"), protocol::Order(protocol::LineOrder{kAllTables, "s", 0}));
    EXPECT_EQ(read("clear,4"), protocol::Order(protocol::ClearOrder{4}));
    EXPECT_EQ(read("clear,*"), protocol::Order(protocol::ClearOrder{kAllTables}));
    EXPECT_EQ(read("bind,17,4,rest"), protocol::Order(protocol::BindOrder{17, 4, 2}));
    EXPECT_EQ(read("bind,17,4,reserve+rest"), protocol::Order(protocol::BindOrder{17, 4, 3}));
    EXPECT_EQ(read("withdraw,s"), protocol::Order(protocol::ShutOrder{"s", true}));
    EXPECT_EQ(read("restore,s"), protocol::Order(protocol::ShutOrder{"s", false}));
    EXPECT_EQ(read("admit,4,rest,0.9,1"), protocol::Order(protocol::LevelOrder{4, 2, 0.9F, 1}));
    EXPECT_EQ(read("mark,905,1"), protocol::Order(protocol::MarkOrder{905, true}));
}

TEST(OrderText, WhatIsNoneIsRefusedWithAReason) {
    for (const char* text : {"",
                             "share",
                             "share,4,s",
                             "share,4,s,1,2",
                             "share,4,,1",
                             "share,65536,s,1",
                             "share,65535,s,1",
                             "share,-1,s,1",
                             "share,4,s,-1",
                             "share,4,s,nan",
                             "share,4,s,inf",
                             "share,4,s,1e30",
                             "share,4,s,1x",
                             "share,4,a b,1",
                             "clear",
                             "clear,x",
                             "bind,17,*,rest",
                             "bind,17,4,none",
                             "bind,70000,4,rest",
                             "bind,17,4,",
                             "withdraw",
                             "withdraw,",
                             "admit,4,rest,-1,1",
                             "admit,4,rest,1,4",
                             "admit,4,rest,1,-1",
                             "mark,1,2",
                             "mark,65536,0",
                             "mark,,0",
                             "mark,1",
                             "repeat,4",
                             "SHARE,4,s,1"}) {
        std::string wrong;
        EXPECT_FALSE(readOrder(text, kClasses, wrong)) << text;
        EXPECT_FALSE(wrong.empty()) << text;
    }
    std::string wrong;
    EXPECT_FALSE(readOrder("share,1," + std::string(256, 'x') + ",1", kClasses, wrong));
}

rc::Gen<protocol::Order> anyOrder() {
    const auto table = rc::gen::map(rc::gen::inRange(0, 4),
                                    [](int t) { return t == 3 ? kAllTables : static_cast<TableId>(t); });
    const auto box = rc::gen::map(rc::gen::inRange(0, 4), [](int b) { return "b" + std::to_string(b); });
    const auto weight =
        rc::gen::map(rc::gen::inRange(0, 40), [](int w) { return static_cast<float>(w) / 8; });
    const auto mask = rc::gen::map(rc::gen::inRange(0, 4), [](int m) { return static_cast<ClassMask>(m); });
    using protocol::Order;
    return rc::gen::oneOf(
        rc::gen::map(rc::gen::tuple(table, box, weight),
                     [](const auto& t) {
                         return Order(protocol::LineOrder{std::get<0>(t), std::get<1>(t), std::get<2>(t)});
                     }),
        rc::gen::map(table, [](TableId t) { return Order(protocol::ClearOrder{t}); }),
        rc::gen::map(
            rc::gen::tuple(rc::gen::inRange(0, 3), mask),
            [](const auto& t) {
                return Order(protocol::BindOrder{7, static_cast<TableId>(std::get<0>(t)), std::get<1>(t)});
            }),
        rc::gen::map(rc::gen::tuple(box, rc::gen::arbitrary<bool>()),
                     [](const auto& t) {
                         return Order(protocol::ShutOrder{std::get<0>(t), std::get<1>(t)});
                     }),
        rc::gen::map(rc::gen::tuple(table, mask, weight, rc::gen::inRange(0, 4)),
                     [](const auto& t) {
                         return Order(protocol::LevelOrder{std::get<0>(t), std::get<1>(t), std::get<2>(t),
                                                           static_cast<std::uint8_t>(std::get<3>(t))});
                     }),
        rc::gen::map(rc::gen::tuple(rc::gen::inRange(0, 100), rc::gen::arbitrary<bool>()), [](const auto& t) {
            return Order(protocol::MarkOrder{static_cast<std::uint16_t>(std::get<0>(t)), std::get<1>(t)});
        }));
}

RC_GTEST_PROP(OrderText, WhatThePlannerWritesIsReadAsItMeantIt, ()) {
    const protocol::Order order = *anyOrder();
    std::string wrong;
    const auto read = readOrder(protocol::orderText(order, kClasses), kClasses, wrong);
    RC_ASSERT(read.has_value());
    RC_ASSERT(*read == order);
}

// ---- The book ----

OrderBook joinedBook(BookLimits limits = {}) {
    OrderBook out(kClasses, 7, limits);
    out.join();
    return out;
}

TEST(Book, ACallStandsUpToItsFirstOrderThatCantBeUsed) {
    OrderBook book = joinedBook();
    const auto outcome =
        book.apply(ordersOf("share,4,a,1;share,4,b,2;bind,7,4,*;bind,8,4,*;share,4,c,1;mark,5,1"));
    EXPECT_EQ(outcome.taken, 3U);
    EXPECT_EQ(outcome.refused, "the proxy has not joined here");
    EXPECT_TRUE(outcome.changed);
    EXPECT_FALSE(outcome.mark) << "what stands behind a refused order is not in force, its mark neither";
    EXPECT_EQ(book.orders().byClass.at("rest").lines,
              (std::map<std::string, float>{{"a", 1.0F}, {"b", 2.0F}}));
}

TEST(Book, AMarkIsOwedByWhoIsConcernedAndIsTheLastOne) {
    OrderBook book = joinedBook();
    EXPECT_FALSE(book.apply(ordersOf("share,4,a,1;mark,1,0")).mark) << "nobody uses the table";
    EXPECT_EQ(book.apply(ordersOf("share,4,a,1;mark,2,1")).mark, 2);
    EXPECT_EQ(book.apply(ordersOf("bind,7,4,*;mark,3,0")).mark, 3);
    EXPECT_EQ(book.apply(ordersOf("share,4,a,2;mark,4,0;share,4,b,1;mark,5,0")).mark, 5);
    EXPECT_FALSE(book.apply(ordersOf("share,9,a,2;mark,6,0")).mark);
    EXPECT_EQ(book.apply(ordersOf("withdraw,zzz;mark,7,0")).mark, 7);
    book.leave();
    EXPECT_FALSE(book.apply(ordersOf("share,4,a,3;mark,8,1")).mark) << "it is another planner's";
}

TEST(Book, ATableThatIsEmptiedLeavesItsClassWithoutALineAndOthersAlone) {
    OrderBook book = joinedBook();
    (void)book.apply(ordersOf("share,4,a,1;share,5,b,1;bind,7,4,reserve;bind,7,5,rest"));
    const auto outcome = book.apply(ordersOf("clear,4"));
    EXPECT_TRUE(outcome.changed);
    const Orders now = book.orders();
    ASSERT_EQ(now.byClass.count("reserve"), 1U) << "it is bound, to nothing";
    EXPECT_TRUE(now.byClass.at("reserve").lines.empty());
    EXPECT_EQ(now.byClass.at("rest").lines.size(), 1U);
    Steering steering(kClasses, 1);
    steering.listed({{"a", {"x:1", ServerState::ready}}, {"b", {"x:2", ServerState::ready}}}, true);
    steering.obey(now, 0);
    EXPECT_FALSE(steering.pick(0, {}));
    EXPECT_TRUE(steering.pick(1, {}));
}

TEST(Book, AMillionLinesAreRefusedAtTheLimitAndTheRestStands) {
    OrderBook book = joinedBook({100, 1000, 10});
    std::size_t taken = 0, refused = 0;
    for (int call = 0; call < 1000; ++call) {
        std::string text;
        for (int i = 0; i < 1000; ++i)
            text += (i > 0 ? ";" : "") +
                    ("share," + std::to_string(call % 200) + ",s" + std::to_string(call * 1000 + i) + ",1");
        const auto outcome = book.apply(ordersOf(text));
        taken += outcome.taken;
        refused += outcome.refused.empty() ? 0 : 1;
    }
    EXPECT_EQ(taken, 1000U);
    EXPECT_EQ(refused, 999U);
    EXPECT_EQ(book.lines(), 1000U);
    EXPECT_EQ(book.apply(ordersOf("clear,*;share,1,a,1;bind,7,1,*")).taken, 3U) << "room again";
    EXPECT_EQ(book.lines(), 1U);
    for (int i = 0; i < 20; ++i) (void)book.apply(ordersOf("withdraw,x" + std::to_string(i)));
    EXPECT_EQ(book.orders().shut.size(), 10U);
    EXPECT_EQ(book.apply(ordersOf("withdraw,x1;restore,x1;withdraw,y")).taken, 3U);
}

RC_GTEST_PROP(Book, ItsLinesAreCountedAndWhatIsInForceIsWhatWasBoundLast, ()) {
    OrderBook book = joinedBook();
    std::map<TableId, std::map<std::string, float>> plain;  // tables, kept plainly
    std::map<std::size_t, TableId> bound;
    const auto orders = *rc::gen::container<std::vector<protocol::Order>>(anyOrder());
    for (const protocol::Order& order : orders) {
        const std::string text = protocol::orderText(order, kClasses);
        RC_ASSERT(book.apply({text}).taken == 1U);
        if (const auto* o = std::get_if<protocol::LineOrder>(&order)) {
            std::vector<TableId> ids;
            if (o->table != kAllTables) ids = {o->table};
            if (o->table == kAllTables)
                for (const auto& [id, lines] : plain) ids.push_back(id);
            for (const TableId id : ids) {
                if (o->weight > 0)
                    plain[id][o->server] = o->weight;
                else
                    plain[id].erase(o->server);
            }
        }
        if (const auto* o = std::get_if<protocol::ClearOrder>(&order)) {
            if (o->table == kAllTables)
                plain.clear();
            else
                plain.erase(o->table);
        }
        if (const auto* o = std::get_if<protocol::LevelOrder>(&order)) {
            if (o->table != kAllTables) plain[o->table];
        }
        if (const auto* o = std::get_if<protocol::BindOrder>(&order)) {
            for (std::size_t k = 0; k < 2; ++k)
                if (o->classes == 0 || (o->classes >> k & 1U) != 0) bound[k] = o->table;
        }
    }
    std::size_t lines = 0;
    for (const auto& [id, table] : plain) lines += table.size();
    RC_ASSERT(book.lines() == lines);
    const Orders now = book.orders();
    RC_ASSERT(now.byClass.size() == bound.size());
    for (const auto& [k, id] : bound) RC_ASSERT(now.byClass.at(kClasses[k]).lines == plain[id]);
}

// ---- Whose it is ----

TEST(OwnerTest, TheFirstInTheSettingsIsWaitedForAndThenOneThatIsThereHasIt) {
    Owner owner(2, {100, 1000});
    owner.watches(1, 0);
    EXPECT_FALSE(owner.due(99));
    owner.watches(0, 50);
    EXPECT_EQ(owner.next(), 100);
    EXPECT_EQ(owner.due(100), (Owner::Change{std::nullopt, 0}));
    EXPECT_EQ(owner.epoch(), 1U);
    owner.watchesNoMore(0, 200);
    EXPECT_FALSE(owner.heard());
    EXPECT_FALSE(owner.due(1199));
    owner.watches(0, 1199);
    EXPECT_FALSE(owner.due(5000)) << "it came back in time";
    owner.watchesNoMore(0, 6000);
    EXPECT_EQ(owner.due(7000), (Owner::Change{0, 1}));
    owner.watches(0, 7001);
    EXPECT_FALSE(owner.due(1000000)) << "who has it keeps it: no going to and fro";
    EXPECT_EQ(owner.epoch(), 2U);
}

TEST(OwnerTest, AloneItIsNobodyElsesHoweverLongItIsAway) {
    Owner owner(1, {100, 1000});
    owner.watches(0, 0);
    ASSERT_TRUE(owner.due(100));
    owner.watchesNoMore(0, 200);
    EXPECT_EQ(owner.next(), -1);
    EXPECT_FALSE(owner.due(1000000000));
    EXPECT_EQ(owner.holder(), 0U);
    owner.watches(0, 1000000001);
    EXPECT_TRUE(owner.heard());
    EXPECT_EQ(owner.epoch(), 1U);
}

RC_GTEST_PROP(OwnerTest, OneAtATimeAndNeverTakenFromOneThatIsHeard, ()) {
    constexpr std::size_t kPlanners = 3;
    const Owner::Waits waits{50, 200};
    Owner owner(kPlanners, waits);
    std::vector<bool> there(kPlanners, false);
    std::vector<Micros> lost(kPlanners, 0);
    Micros now = 0;
    std::uint64_t epoch = 0;
    const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
        rc::gen::tuple(rc::gen::inRange(0, 3), rc::gen::inRange(0, 3), rc::gen::inRange(0, 150)));
    for (const auto& [what, who, wait] : steps) {
        now += wait;
        const auto i = static_cast<std::size_t>(who);
        if (what == 0) {
            owner.watches(i, now);
            there[i] = true;
        }
        if (what == 1 && there[i]) {
            owner.watchesNoMore(i, now);
            there[i] = false;
            lost[i] = now;
        }
        if (const auto change = owner.due(now)) {
            RC_ASSERT(change->to.has_value() && there[*change->to]);
            RC_ASSERT(owner.epoch() == ++epoch);
            if (change->from) {
                RC_ASSERT(!there[*change->from]);
                RC_ASSERT(now - lost[*change->from] >= waits.comeBack);
            }
        }
        RC_ASSERT(!owner.due(now).has_value());
        if (owner.holder()) RC_ASSERT(owner.heard() == there[*owner.holder()]);
    }
    // In the end one that is there has it, once the waits are over.
    now += waits.comeBack + waits.settle;
    (void)owner.due(now);
    const bool any = there[0] || there[1] || there[2];
    if (any) RC_ASSERT(owner.heard());
}

// ---- Over a restart ----

TableSnapshot someTables() {
    TableSnapshot out;
    out.node = "gate-1";
    out.wallUs = 1000000000;
    out.orders.shut = {"b9"};
    out.orders.byClass["rest"] = {{{"b1", 2.5F}, {"b2", 0.125F}}, 40, 2};
    return out;
}

TEST(Tables, TornOrChangedAtAnyByteTheyAreNotUsed) {
    const std::string whole = encode(someTables());
    std::string wrong;
    const auto back = decodeTables(whole, wrong);
    ASSERT_TRUE(back) << wrong;
    EXPECT_EQ(back->orders.byClass, someTables().orders.byClass);
    EXPECT_EQ(back->orders.shut, someTables().orders.shut);
    EXPECT_EQ(back->wallUs, 1000000000);
    for (std::size_t at = 0; at < whole.size(); ++at) {
        wrong.clear();
        EXPECT_FALSE(decodeTables(whole.substr(0, at), wrong)) << at;
        EXPECT_FALSE(wrong.empty()) << at;
        std::string other = whole;
        other[at] = static_cast<char>(other[at] ^ 1);
        EXPECT_FALSE(decodeTables(other, wrong)) << at;
    }
    EXPECT_FALSE(decodeTables(sealed("{}"), wrong));
    EXPECT_FALSE(decodeTables(sealed("[1]"), wrong));
    EXPECT_FALSE(decodeTables("marldale-tables 2 0000000000000000\n{}", wrong));
    EXPECT_EQ(wrong, "it is of another version");
}

TEST(Tables, OldForeignOrFromTheFutureTheyAreNotUsed) {
    std::string wrong;
    EXPECT_TRUE(usable(someTables(), "gate-1", 1000000000 + 5, 10, wrong));
    EXPECT_FALSE(usable(someTables(), "gate-1", 1000000000 + 11, 10, wrong));
    EXPECT_FALSE(usable(someTables(), "gate-1", 999999999, 10, wrong));
    EXPECT_EQ(wrong, "the clock has gone back since it was written");
    EXPECT_FALSE(usable(someTables(), "gate-2", 1000000000, 10, wrong));
}

TEST(Tables, WritingReplacesAsAWholeAndAFailureIsToldAndChangesNothing) {
    std::string pattern = testing::TempDir() + "marldaletablesXXXXXX";
    ASSERT_NE(mkdtemp(pattern.data()), nullptr);
    const std::string path = pattern + "/tables";
    std::string wrong;
    EXPECT_FALSE(readTables(path, wrong));
    EXPECT_TRUE(wrong.empty()) << "no file is no trouble";
    writeTables(path, encode(someTables()));
    ASSERT_TRUE(readTables(path, wrong));
    std::filesystem::create_directory(path + ".next");  // so that the next one can't be written
    EXPECT_THROW(writeTables(path, "other"), std::runtime_error);
    EXPECT_TRUE(readTables(path, wrong)) << "the one before stands";
    std::filesystem::remove(path + ".next");
    std::vector<std::string> told;
    {
        TableWriter writer(path, [&](const std::string& why) { told.push_back(why); });
        for (int i = 0; i < 100; ++i) {
            TableSnapshot one = someTables();
            one.wallUs = i;
            writer.write(encode(one));
        }
    }
    EXPECT_TRUE(told.empty());
    EXPECT_EQ(readTables(path, wrong)->wallUs, 99) << "the last one is written before it ends";
    std::filesystem::remove_all(pattern);
    {
        TableWriter writer(path, [&](const std::string& why) { told.push_back(why); });
        writer.write("x");
    }
    ASSERT_EQ(told.size(), 1U) << "the directory is gone";
}

TEST(Tables, RecalledTheyHoldUntilAPlannerSaysOtherwiseAndTheListStillDecides) {
    Steering steering(kClasses, 1);
    steering.recall(someTables().orders, 5);
    EXPECT_EQ(steering.standing(), Standing::stranded);
    EXPECT_EQ(steering.strandedSince(), 5);
    EXPECT_FALSE(steering.pick(1, {})) << "no list, no box";
    steering.listed({{"b1", {"x:1", ServerState::draining}}, {"b2", {"x:2", ServerState::ready}}}, true);
    for (int i = 0; i < 20; ++i) EXPECT_EQ(steering.pick(1, {})->box, "b2");
    Orders fresh;
    fresh.byClass["rest"] = {{{"b1", 1.0F}}, 1e6F, 1};
    steering.obey(fresh, 6);
    steering.planner(true, 6);
    EXPECT_EQ(steering.standing(), Standing::steered);
    EXPECT_FALSE(steering.pick(1, {}));
    steering.recall(someTables().orders, 7);
    EXPECT_FALSE(steering.pick(1, {})) << "what was ordered is not overruled by what was";
}

}  // namespace
}  // namespace marldale::proxy
