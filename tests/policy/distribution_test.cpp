// Distribution by itself, with lines that have names and texts instead of servers and weights.
#include "policy/distribution.h"

#include <gtest/gtest.h>

#include <functional>
#include <random>
#include <string>

namespace marldale::policy {
namespace {

constexpr Micros kSecond = 1000000, kTimeout = 3 * kSecond, kFold = 2 * kSecond;
using Lines = std::map<std::string, std::string>;
using Id = std::uint32_t;

// Places are zones. What a proxy has is painted from the orders alone.
struct Post {
    std::map<std::string, Lines> says;
    std::set<std::string> urgent;  // keys
    double room = 1e9;
    std::map<TableId, Lines> tables;
    std::map<Id, TableId> bound;
    std::vector<std::string> sent;
    std::map<Id, double> booked;

    const Lines& wanted(const std::string& zone) { return says[zone]; }
    static Hash hash(const std::string& text) { return std::hash<std::string>{}(text) | 1U; }
    double priority(const std::string&, const std::string& key, const std::string* now, Hash) const {
        if (urgent.count(key)) return kUrgentPriority;
        return now != nullptr ? static_cast<double>(now->size()) : 0;
    }
    static std::size_t slot(const std::string&) { return 0; }
    double lineBudget(std::size_t, bool) const { return room; }
    static bool mayWrite(const std::set<Id>&, double, bool) { return true; }
    static bool mayCopy(const std::set<Id>&) { return true; }
    void line(TableId id, const std::string& key, const std::string* now) {
        sent.push_back(now != nullptr ? key + "=" + *now : "-" + key);
        if (now != nullptr) tables[id][key] = *now;
        if (now == nullptr) tables[id].erase(key);
    }
    void drop(TableId id) { tables.erase(id); }
    void bind(Id p, TableId id) { bound[p] = id; }
    void wrote(Id p, double lines) { booked[p] += lines; }
};

class DistributionTest : public ::testing::Test {
protected:
    void join(const std::set<Id>& ids, const std::string& zone = "east") {
        for (const Id id : ids) lines.proxyStates[id];
        lines.bindFresh(ids, zone, false);
    }
    // A turn; then these answer its mark.
    std::vector<std::string> turn(const std::set<Id>& answering = {}, Micros later = kSecond / 10) {
        lines.now += later;
        lines.run();
        for (const Id id : answering) lines.acknowledge(id, lines.turn);
        ++lines.turn;
        return std::exchange(post.sent, {});
    }
    // Two proxies share the zone's table and have answered for it.
    void settle() {
        post.says["east"] = {{"a", "1"}, {"b", "1"}};
        join({1, 2});
        turn({1, 2});
    }
    Lines& east() { return post.says["east"]; }
    Lines held(Id id) { return post.tables.at(post.bound.at(id)); }
    using Sent = std::vector<std::string>;

    Post post;
    Distribution<std::string, std::string, std::string, Id, Post> lines{post, kTimeout, kFold};
};

TEST_F(DistributionTest, ProxiesOfAZoneShareItsTableAndItsLinesStandBeforeTheBind) {
    settle();
    EXPECT_EQ(post.bound.at(1), post.bound.at(2));
    EXPECT_EQ(held(1), east());
    EXPECT_EQ(post.booked.at(1), 3);  // the bind and two lines
}

TEST_F(DistributionTest, OnlyDifferencesGoOut) {
    settle();
    EXPECT_EQ(turn(), Sent{});
    east()["b"] = "2";
    east()["c"] = "1";
    EXPECT_EQ(turn({1, 2}), (Sent{"b=2", "c=1"}));
    east().erase("a");
    EXPECT_EQ(turn({1, 2}), Sent{"-a"});
    EXPECT_EQ(turn(), Sent{});
    EXPECT_EQ(held(2), east());
}

TEST_F(DistributionTest, FurtherChangesWaitForEveryAnswerAndMerge) {
    settle();
    east()["a"] = "2";
    EXPECT_EQ(turn({1}), Sent{"a=2"});
    east()["a"] = "3";
    east()["b"] = "3";
    EXPECT_EQ(turn(), Sent{});
    east()["a"] = "4";
    EXPECT_EQ(turn(), Sent{});
    EXPECT_TRUE(lines.acknowledge(2, lines.turn - 3).over);
    EXPECT_EQ(turn(), (Sent{"a=4", "b=3"}));
}

TEST_F(DistributionTest, AChangeTakenBackWhileItWaitsIsNeverSent) {
    settle();
    east()["a"] = "2";
    turn({1});
    east()["b"] = "2";
    turn();
    east()["b"] = "1";
    lines.acknowledge(2, lines.turn - 2);
    EXPECT_EQ(turn(), Sent{});
}

TEST_F(DistributionTest, AnUrgentWithdrawalSkipsTheWaitAndIsNotRepeated) {
    settle();
    east()["a"] = "2";
    turn({1});
    post.urgent = {"b"};
    east().erase("b");
    EXPECT_EQ(turn(), Sent{"-b"});
    EXPECT_EQ(turn(), Sent{});
    EXPECT_FALSE(lines.anyHolds("b"));
    EXPECT_TRUE(lines.anyHolds("a"));
}

TEST_F(DistributionTest, AnswersStandForEarlierMarksAndStrangeOnesForNone) {
    settle();
    EXPECT_FALSE(lines.acknowledge(1, 999).turn);
    EXPECT_FALSE(lines.acknowledge(77, 0).turn);
    lines.turn = 0x10003;
    east()["a"] = "2";
    turn();
    post.urgent = {"b"};
    east()["b"] = "2";
    turn();
    EXPECT_FALSE(lines.acknowledge(1, 0x4).turn);  // no whole mark
    EXPECT_EQ(lines.acknowledge(1, 0x4, 0xffff).turn, 0x10004U);
    EXPECT_FALSE(lines.acknowledge(1, 0x3, 0xffff).turn) << "the mark before was answered with it";
    EXPECT_FALSE(lines.acknowledge(2, 0x3, 0xffff).over) << "a later mark is still open";
    EXPECT_TRUE(lines.acknowledge(2, 0x4, 0xffff).over);
}

TEST_F(DistributionTest, TheTimeoutReleasesTheWaitAndTheSilentGetACopy) {
    settle();
    east()["a"] = "2";
    turn({1});
    east()["b"] = "2";
    EXPECT_EQ(turn({}, kTimeout - 1), Sent{});
    turn({1}, 1);
    EXPECT_NE(post.bound.at(1), post.bound.at(2));
    EXPECT_EQ(turn({1}), Sent{"b=2"});  // to the main table, which no longer waits; the copy has it already
    EXPECT_EQ(held(1), east());
    EXPECT_EQ(held(2), east());
}

TEST_F(DistributionTest, AJoinerGetsAFreshMarkedCopyWhichIsFoldedBackOnceAnswered) {
    settle();
    const TableId home = post.bound.at(1);
    join({3});
    EXPECT_NE(post.bound.at(3), home);
    EXPECT_EQ(held(3), east());
    turn({}, kFold);
    EXPECT_NE(post.bound.at(3), home) << "folded before it was answered";
    lines.acknowledge(3, lines.turn - 1);
    turn({3});
    EXPECT_EQ(post.bound.at(3), home);
    turn();
    EXPECT_EQ(post.tables.size(), 1U);
}

TEST_F(DistributionTest, LaterChangesAlsoGoToCopies) {
    settle();
    join({3});
    turn({1, 2, 3});
    east()["a"] = "2";
    EXPECT_EQ(turn({1, 2, 3}), (Sent{"a=2", "a=2"}));
    EXPECT_EQ(held(1), held(3));
}

TEST_F(DistributionTest, ASlowJoinerHoldsUpNobodyElse) {
    settle();
    join({3});
    turn({1, 2});
    east()["a"] = "2";
    EXPECT_EQ(turn({1, 2}), Sent{"a=2"});
    EXPECT_EQ(held(1), east());
}

TEST_F(DistributionTest, WhatDoesNotFitWaitsAndTheMostWorthGoesFirst) {
    settle();
    post.room = 1;
    east() = {{"b", "1"}, {"c", "long"}, {"d", "longer"}};
    EXPECT_EQ(turn({1, 2}), Sent{"d=longer"});
    east()["c"] = "lo";
    post.room = 0.5;
    EXPECT_EQ(turn({1, 2}), Sent{});
    post.room = 2;
    EXPECT_EQ(turn({1, 2}), (Sent{"c=lo", "-a"}));
}

TEST_F(DistributionTest, WhoLeavesIsWaitedForNoLonger) {
    settle();
    east()["a"] = "2";
    turn({1});
    lines.leave(2);
    east()["b"] = "2";
    EXPECT_EQ(turn({1}), Sent{"b=2"});
    lines.leave(1);
    join({5});  // nobody was left: the new table is the main one
    turn({5});
    EXPECT_EQ(post.tables.size(), 1U);
    EXPECT_EQ(held(5), east());
}

TEST_F(DistributionTest, HoldersAreThoseWhoseTableHasTheLine) {
    settle();
    post.says["west"] = {{"c", "1"}};
    join({3}, "west");
    EXPECT_EQ(lines.holders("a"), (std::vector<Id>{1, 2}));
    EXPECT_EQ(lines.holders("c"), std::vector<Id>{3});
    EXPECT_TRUE(lines.holders("d").empty());
}

// Whatever comes and goes, in whatever order: once all answer, everyone holds what its zone should say, in
// one table a zone; and on the way no plain change leaves under an open mark.
TEST_F(DistributionTest, RandomHistoriesEndInOneTableThatSaysWhatItShould) {
    std::mt19937 draw(20261202);
    const auto below = [&](unsigned n) { return static_cast<unsigned>(draw() % n); };
    std::set<Id> there;
    const auto zoneOf = [](Id id) { return id % 2 == 0 ? "east" : "west"; };
    for (int step = 0; step < 5000; ++step) {
        Lines& zone = post.says[below(2) == 0 ? "east" : "west"];
        const std::string key(1, static_cast<char>('a' + below(8)));
        const Id id = below(12);
        post.urgent.clear();
        switch (below(8)) {
            case 0:
                zone.erase(key);
                if (below(2) == 0) post.urgent = {key};
                break;
            case 1:
                if (there.erase(id) > 0) lines.leave(id), post.bound.erase(id);
                break;
            case 2:
                if (there.insert(id).second) join({id}, zoneOf(id));
                break;
            default: zone[key] = std::to_string(below(100));
        }
        std::map<TableId, Lines> waiting;
        for (const auto& [table, t] : lines.tables) {
            if (!t.unacknowledged.empty()) waiting[table] = post.tables[table];
        }
        std::set<Id> answering;
        for (const Id p : there) {
            if (below(3) > 0) answering.insert(p);
        }
        const bool calm = post.urgent.empty();
        lines.now += kSecond / 5;
        for (auto& [table, t] : lines.tables) lines.push(table, t);
        for (const auto& [table, before] : waiting) {
            if (!calm) break;
            ASSERT_EQ(post.tables[table], before) << "step " << step;
        }
        turn(answering, 0);
    }
    for (int i = 0; i < 40; ++i) turn(there, kSecond);
    ASSERT_FALSE(there.empty());
    for (const Id p : there) EXPECT_EQ(held(p), post.says[zoneOf(p)]) << p;
    EXPECT_EQ(lines.tables.size(), lines.mains.size());
}

}  // namespace
}  // namespace marldale::policy
