// From end to end: relays and collectors over gRPC, the real module behind them.
#include "marldale/assignments.h"
#include "marldale/load_reports.h"
#include "parties.h"

namespace marldale::tests {
namespace {

std::set<std::string> linesOf(const v1::Batch& batch, std::uint32_t table) {
    std::set<std::string> out;
    for (const auto& o : batch.orders()) {
        if (o.has_line() && o.line().table() == table && o.line().weight() > 0) out.insert(o.line().server());
    }
    return out;
}

TEST(GrpcThread, ARelayGetsATableAnswersAndHearsOfADrain) {
    GrpcPlanner planner(smallConfig());
    AssignPeer relay(planner.channel());
    ASSERT_TRUE(relay.hello("relay-1"));
    ASSERT_TRUE(relay.await([](const auto& r) { return r.has_welcome() && r.welcome().epoch() == 77; }));
    ASSERT_TRUE(relay.join(1, "a"));
    const auto first = relay.batch(0);
    ASSERT_TRUE(first);
    std::uint32_t table = 0, mark = 0;
    bool linesFirst = true, bound = false;
    for (const auto& o : first->orders()) {
        if (o.has_bind()) {
            bound = true;
            table = o.bind().table();
            EXPECT_EQ(o.bind().relay(), 1U);
        }
        if (o.has_line() && bound) linesFirst = false;
        if (o.has_mark()) mark = o.mark().number();
    }
    ASSERT_TRUE(bound);
    EXPECT_TRUE(linesFirst) << "a table's lines come before its bind";
    EXPECT_EQ(linesOf(*first, table), (std::set<std::string>{"s-1", "s-2"}));
    ASSERT_TRUE(relay.take(*first));
    ASSERT_TRUE(relay.answer(1, mark));
    planner.list({box("s-1", "a", ServerState::draining)});
    const auto second = relay.batch(1);
    ASSERT_TRUE(second);
    ASSERT_GT(second->orders_size(), 0);
    EXPECT_TRUE(second->orders(0).has_shut());
    EXPECT_EQ(second->orders(0).shut().server(), "s-1");
    EXPECT_TRUE(second->orders(0).shut().out());
}

TEST(GrpcThread, TheClientLibraryHoldsWhatWasOrderedAndComesBackWithIt) {
    GrpcPlanner planner(smallConfig());
    Watch watch;
    std::vector<bool> kept;
    // Copied by the handler: whoever asked the client for its tables while it holds the watch would wait for
    // a handler that waits for the watch.
    std::optional<client::RelayTables> held;
    std::optional<client::Assignments> relay;
    client::AssignmentsHandlers handlers;
    handlers.welcomed = [&](bool k) { watch.change([&] { kept.push_back(k); }); };
    handlers.applied = [&](const v1::Batch&, const client::RelayTables::Outcome& outcome) {
        if (outcome.mark) relay->answer(outcome.concerned, *outcome.mark, std::chrono::microseconds{1000});
        watch.change([&] { held = relay->tables(); });
    };
    relay.emplace(planner.channel(),
                  client::AssignmentsOptions{"relay-1", "test", planner.server->host().classes, {}},
                  handlers);
    relay->open();
    relay->join({1, "a", 10, true});
    relay->join({2, "b", 10, true});
    const auto lines = [&](std::uint32_t id) { return held ? held->linesOf(id, "lookup").size() : 0; };
    ASSERT_TRUE(watch.until([&] { return lines(1) == 2 && lines(2) == 2; }));
    planner.list({box("s-2", "b", ServerState::draining), box("s-3", "b")});
    ASSERT_TRUE(watch.until([&] {
        const auto mine = held->linesOf(1, "lookup");
        return mine.count("s-2") == 0 && mine.count("s-3") == 1;
    }));
    relay->breakOff();
    ASSERT_TRUE(watch.until([&] { return kept.size() == 2; }));
    EXPECT_FALSE(kept[0]);
    EXPECT_TRUE(kept[1]) << "the planner remembers what this relay holds";
    ASSERT_TRUE(watch.until([&] { return lines(1) == 2 && lines(2) == 2; }));
    relay.reset();
}

TEST(GrpcThread, ReportsReachTheModuleAndThePaceIsTold) {
    GrpcPlanner planner(smallConfig());
    ReportPeer collector(planner.channel());
    ASSERT_TRUE(collector.hello("collector-a"));
    ASSERT_TRUE(collector.await([](const auto& c) { return c.interval_us() == 1000000; }));
    ASSERT_TRUE(collector.report(1, {outcomes("a", "s-1", 100), outcomes("a", "s-2", 50)}));
    ASSERT_TRUE(collector.awaitTaken(1));
    ASSERT_TRUE(planner.await<routing::SourceRows>(1));
    const auto rows =
        planner.watch.look([&] { return std::get<routing::SourceRows>(planner.posted.back()).rows; });
    ASSERT_EQ(rows.size(), 2U);
    const auto& first = std::get<protocol::Outcomes>(rows[0]);
    EXPECT_EQ(first.server, "s-1");
    EXPECT_EQ(first.tries, 100U);
    EXPECT_EQ(first.meanUs, 40000);
}

}  // namespace
}  // namespace marldale::tests
