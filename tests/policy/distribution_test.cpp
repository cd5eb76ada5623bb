// Tests of the distribution alone, with lines that map names to texts instead of servers to weights.
#include "policy/distribution.h"

#include <gtest/gtest.h>

#include <functional>
#include <random>
#include <string>

namespace marldale::policy {
namespace {

constexpr Micros kSecond = 1000000, kTimeout = 3 * kSecond, kMinCopyAge = 2 * kSecond;
using Lines = std::map<std::string, std::string>;
using Id = std::uint32_t;

// A port whose scopes are zones. It reconstructs what each proxy holds from the orders alone.
struct FakePort {
    std::map<std::string, Lines> desired;
    std::set<std::string> urgent;  // keys
    double budget = 1e9;
    std::map<TableId, Lines> tables;
    std::map<Id, TableId> bound;
    std::vector<std::string> sent;
    std::map<Id, double> writtenLines;

    const Lines& wanted(const std::string& zone) { return desired[zone]; }
    static Hash hash(const std::string& text) { return std::hash<std::string>{}(text) | 1U; }
    double priority(const std::string&, const std::string& key, const std::string* now, Hash) const {
        if (urgent.count(key)) return kUrgentPriority;
        return now != nullptr ? static_cast<double>(now->size()) : 0;
    }
    static std::size_t slot(const std::string&) { return 0; }
    double lineBudget(std::size_t, bool) const { return budget; }
    static bool mayWrite(const std::set<Id>&, double, bool) { return true; }
    static bool mayCopy(const std::set<Id>&) { return true; }
    void line(TableId id, const std::string& key, const std::string* now) {
        sent.push_back(now != nullptr ? key + "=" + *now : "-" + key);
        if (now != nullptr) tables[id][key] = *now;
        if (now == nullptr) tables[id].erase(key);
    }
    void drop(TableId id) { tables.erase(id); }
    void bind(Id p, TableId id) { bound[p] = id; }
    void wrote(Id p, double lines) { writtenLines[p] += lines; }
};

class DistributionTest : public ::testing::Test {
protected:
    void join(const std::set<Id>& ids, const std::string& zone = "east") {
        for (const Id id : ids) lines.proxyStates[id];
        lines.bindFresh(ids, zone, false);
    }
    // Runs a turn, and then these proxies acknowledge its mark.
    std::vector<std::string> turn(const std::set<Id>& acknowledging = {}, Micros later = kSecond / 10) {
        lines.now += later;
        lines.run();
        for (const Id id : acknowledging) lines.acknowledge(id, lines.turn);
        ++lines.turn;
        return std::exchange(port.sent, {});
    }
    // Two proxies share the zone's table and have acknowledged it.
    void settle() {
        port.desired["east"] = {{"a", "1"}, {"b", "1"}};
        join({1, 2});
        turn({1, 2});
    }
    Lines& east() { return port.desired["east"]; }
    Lines held(Id id) { return port.tables.at(port.bound.at(id)); }
    using Sent = std::vector<std::string>;

    FakePort port;
    Distribution<std::string, std::string, std::string, Id, FakePort> lines{port, kTimeout, kMinCopyAge};
};

TEST_F(DistributionTest, ProxiesOfAZoneShareItsTableAndItsLinesPrecedeTheBind) {
    settle();
    EXPECT_EQ(port.bound.at(1), port.bound.at(2));
    EXPECT_EQ(held(1), east());
    EXPECT_EQ(port.writtenLines.at(1), 3);  // the bind and two lines
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

TEST_F(DistributionTest, LaterChangesWaitForEveryAcknowledgementAndMerge) {
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

TEST_F(DistributionTest, AChangeRevertedWhileItWaitsIsNeverSent) {
    settle();
    east()["a"] = "2";
    turn({1});
    east()["b"] = "2";
    turn();
    east()["b"] = "1";
    lines.acknowledge(2, lines.turn - 2);
    EXPECT_EQ(turn(), Sent{});
}

TEST_F(DistributionTest, AnUrgentRemovalDoesNotWaitAndIsNotRepeated) {
    settle();
    east()["a"] = "2";
    turn({1});
    port.urgent = {"b"};
    east().erase("b");
    EXPECT_EQ(turn(), Sent{"-b"});
    EXPECT_EQ(turn(), Sent{});
    EXPECT_FALSE(lines.anyHolds("b"));
    EXPECT_TRUE(lines.anyHolds("a"));
}

TEST_F(DistributionTest, AnAcknowledgementCoversEarlierMarksAndUnknownOnesNone) {
    settle();
    EXPECT_FALSE(lines.acknowledge(1, 999).turn);
    EXPECT_FALSE(lines.acknowledge(77, 0).turn);
    lines.turn = 0x10003;
    east()["a"] = "2";
    turn();
    port.urgent = {"b"};
    east()["b"] = "2";
    turn();
    EXPECT_FALSE(lines.acknowledge(1, 0x4).turn);  // not the whole mark
    EXPECT_EQ(lines.acknowledge(1, 0x4, 0xffff).turn, 0x10004U);
    EXPECT_FALSE(lines.acknowledge(1, 0x3, 0xffff).turn) << "the earlier mark was acknowledged with it";
    EXPECT_FALSE(lines.acknowledge(2, 0x3, 0xffff).over) << "a later mark is still open";
    EXPECT_TRUE(lines.acknowledge(2, 0x4, 0xffff).over);
}

TEST_F(DistributionTest, TheTimeoutEndsTheWaitAndSilentProxiesGetACopy) {
    settle();
    east()["a"] = "2";
    turn({1});
    east()["b"] = "2";
    EXPECT_EQ(turn({}, kTimeout - 1), Sent{});
    turn({1}, 1);
    EXPECT_NE(port.bound.at(1), port.bound.at(2));
    EXPECT_EQ(turn({1}), Sent{"b=2"});  // to the main table, which no longer waits; the copy holds it already
    EXPECT_EQ(held(1), east());
    EXPECT_EQ(held(2), east());
}

TEST_F(DistributionTest, AJoiningProxyGetsAMarkedCopyThatIsFoldedBackOnceAcknowledged) {
    settle();
    const TableId home = port.bound.at(1);
    join({3});
    EXPECT_NE(port.bound.at(3), home);
    EXPECT_EQ(held(3), east());
    turn({}, kMinCopyAge);
    EXPECT_NE(port.bound.at(3), home) << "folded back before it was acknowledged";
    lines.acknowledge(3, lines.turn - 1);
    turn({3});
    EXPECT_EQ(port.bound.at(3), home);
    turn();
    EXPECT_EQ(port.tables.size(), 1U);
}

TEST_F(DistributionTest, LaterChangesAreAlsoSentToCopies) {
    settle();
    join({3});
    turn({1, 2, 3});
    east()["a"] = "2";
    EXPECT_EQ(turn({1, 2, 3}), (Sent{"a=2", "a=2"}));
    EXPECT_EQ(held(1), held(3));
}

TEST_F(DistributionTest, ASlowJoiningProxyDelaysNoOther) {
    settle();
    join({3});
    turn({1, 2});
    east()["a"] = "2";
    EXPECT_EQ(turn({1, 2}), Sent{"a=2"});
    EXPECT_EQ(held(1), east());
}

TEST_F(DistributionTest, ChangesOverTheBudgetWaitAndTheHighestPriorityGoesFirst) {
    settle();
    port.budget = 1;
    east() = {{"b", "1"}, {"c", "long"}, {"d", "longer"}};
    EXPECT_EQ(turn({1, 2}), Sent{"d=longer"});
    east()["c"] = "lo";
    port.budget = 0.5;
    EXPECT_EQ(turn({1, 2}), Sent{});
    port.budget = 2;
    EXPECT_EQ(turn({1, 2}), (Sent{"c=lo", "-a"}));
}

TEST_F(DistributionTest, AProxyThatLeavesIsNoLongerWaitedFor) {
    settle();
    east()["a"] = "2";
    turn({1});
    lines.leave(2);
    east()["b"] = "2";
    EXPECT_EQ(turn({1}), Sent{"b=2"});
    lines.leave(1);
    join({5});  // no proxy was left: the new table is the main one
    turn({5});
    EXPECT_EQ(port.tables.size(), 1U);
    EXPECT_EQ(held(5), east());
}

TEST_F(DistributionTest, HoldersAreTheProxiesWhoseTableHasTheLine) {
    settle();
    port.desired["west"] = {{"c", "1"}};
    join({3}, "west");
    EXPECT_EQ(lines.holders("a"), (std::vector<Id>{1, 2}));
    EXPECT_EQ(lines.holders("c"), std::vector<Id>{3});
    EXPECT_TRUE(lines.holders("d").empty());
}

// Random joins, departures and changes: once all proxies acknowledge, each holds the desired content of its
// zone, in one table per zone, and no change that is not urgent was sent under an open mark.
TEST_F(DistributionTest, RandomHistoriesEndInOneTableWithTheDesiredContent) {
    std::mt19937 rng(20261202);
    const auto below = [&](unsigned n) { return static_cast<unsigned>(rng() % n); };
    std::set<Id> present;
    const auto zoneOf = [](Id id) { return id % 2 == 0 ? "east" : "west"; };
    for (int step = 0; step < 5000; ++step) {
        Lines& zone = port.desired[below(2) == 0 ? "east" : "west"];
        const std::string key(1, static_cast<char>('a' + below(8)));
        const Id id = below(12);
        port.urgent.clear();
        switch (below(8)) {
            case 0:
                zone.erase(key);
                if (below(2) == 0) port.urgent = {key};
                break;
            case 1:
                if (present.erase(id) > 0) lines.leave(id), port.bound.erase(id);
                break;
            case 2:
                if (present.insert(id).second) join({id}, zoneOf(id));
                break;
            default: zone[key] = std::to_string(below(100));
        }
        std::map<TableId, Lines> waiting;
        for (const auto& [table, t] : lines.tables) {
            if (!t.unacknowledged.empty()) waiting[table] = port.tables[table];
        }
        std::set<Id> acknowledging;
        for (const Id p : present) {
            if (below(3) > 0) acknowledging.insert(p);
        }
        const bool nothingUrgent = port.urgent.empty();
        lines.now += kSecond / 5;
        for (auto& [table, t] : lines.tables) lines.push(table, t);
        for (const auto& [table, before] : waiting) {
            if (!nothingUrgent) break;
            ASSERT_EQ(port.tables[table], before) << "step " << step;
        }
        turn(acknowledging, 0);
    }
    for (int i = 0; i < 40; ++i) turn(present, kSecond);
    ASSERT_FALSE(present.empty());
    for (const Id p : present) EXPECT_EQ(held(p), port.desired[zoneOf(p)]) << p;
    EXPECT_EQ(lines.tables.size(), lines.mains.size());
}

}  // namespace
}  // namespace marldale::policy
