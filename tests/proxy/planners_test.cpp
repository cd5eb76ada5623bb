// The proxy's side to its planners: tables as orders, counts as reports, and the clients beneath it.
#include <grpcpp/grpcpp.h>
#include <gtest/gtest.h>

#include <atomic>
#include <chrono>
#include <thread>

#include "marldale/load_reports.h"
#include "proxy/planner_side.h"

namespace marldale::proxy {
namespace {

v1::Batch batchOf(const std::function<void(v1::Batch&)>& fill) {
    v1::Batch out;
    out.set_nonce(1);
    fill(out);
    return out;
}

TEST(Planners, WhatTheTablesSayIsWhatIsOrdered) {
    client::RelayTables tables({"reserve", "rest"});
    tables.join(7);
    (void)tables.apply(batchOf([](v1::Batch& b) {
        auto* line = b.add_orders()->mutable_line();
        line->set_table(3);
        line->set_server("b1");
        line->set_weight(2);
        auto* level = b.add_orders()->mutable_level();
        level->set_table(3);
        level->add_classes("rest");
        level->set_limit(40);
        level->set_retry_mode(2);
        auto* bind = b.add_orders()->mutable_bind();
        bind->set_relay(7);
        bind->set_table(3);
        bind->add_classes("rest");
        auto* shut = b.add_orders()->mutable_shut();
        shut->set_server("b9");
        shut->set_out(true);
    }));
    const Orders orders = ordersOf(tables, 7, {"reserve", "rest"});
    EXPECT_EQ(orders.shut, (std::set<std::string>{"b9"}));
    ASSERT_EQ(orders.byClass.size(), 1U) << "a class that is not bound has no table";
    EXPECT_EQ(orders.byClass.at("rest"), (ClassOrder{{{"b1", 2.0F}}, 40, 2}));
}

TEST(Planners, AMillionLinesAreRefusedAtTheLimitAndAnEmptiedTableIsEmpty) {
    client::RelayTables tables({"rest"}, 1000);
    tables.join(7);
    std::uint32_t taken = 0;
    for (int batch = 0; batch < 1000; ++batch) {
        const auto outcome = tables.apply(batchOf([&](v1::Batch& b) {
            for (int i = 0; i < 1000; ++i) {
                auto* line = b.add_orders()->mutable_line();
                line->set_table(static_cast<std::uint32_t>(batch % 7));
                line->set_server("s" + std::to_string(batch * 1000 + i));
                line->set_weight(1);
            }
        }));
        taken += outcome.taken;
        EXPECT_EQ(outcome.refusedBecause.empty(), batch == 0);
    }
    EXPECT_EQ(taken, 1000U);
    const auto beyond = tables.apply(batchOf([](v1::Batch& b) {
        b.add_orders()->mutable_line()->set_table(70000);
        b.mutable_orders(0)->mutable_line()->set_server("s");
        b.mutable_orders(0)->mutable_line()->set_weight(1);
    }));
    EXPECT_EQ(beyond.refusedBecause, "a line that can't be");
    (void)tables.apply(batchOf([](v1::Batch& b) {
        b.add_orders()->mutable_bind()->set_relay(7);
        b.mutable_orders(0)->mutable_bind()->set_table(0);
        b.add_orders()->mutable_clear()->set_table(0);
    }));
    const Orders orders = ordersOf(tables, 7, {"rest"});
    ASSERT_EQ(orders.byClass.count("rest"), 1U) << "it is bound, to a table without a line";
    EXPECT_TRUE(orders.byClass.at("rest").lines.empty());
}

TEST(Planners, CountsBecomeRows) {
    PlannerSettings settings;
    settings.zone = "a";
    settings.relay = 7;
    Count count;
    count.over = 90000000;
    count.boxes["b1"] = {5, 2, 300};
    count.boxes["b2"] = {1, 1, 0};
    count.classes = {{0, 0}, {9, 1}};
    const v1::ReportBatch batch = reportOf(count, settings, {"reserve", "rest"});
    ASSERT_EQ(batch.outcomes_size(), 2);
    EXPECT_EQ(batch.outcomes(0).mean_us(), 100U);
    EXPECT_EQ(batch.outcomes(0).over_us(), 60000000U) << "no longer than a span may be";
    EXPECT_FALSE(batch.outcomes(1).has_mean_us()) << "nothing was good";
    ASSERT_EQ(batch.demand_size(), 1) << "a class of which nothing came is not told";
    EXPECT_EQ(batch.demand(0).request_class(), "rest");
    EXPECT_EQ(batch.demand(0).came(), 9U);
}

// Tells an interval of a millisecond, and takes what comes.
class Taker final : public v1::LoadReports::Service {
public:
    ::grpc::Status Report(::grpc::ServerContext*,
                          ::grpc::ServerReaderWriter<v1::ReportControl, v1::ReportRequest>* stream) override {
        v1::ReportRequest request;
        while (stream->Read(&request)) {
            v1::ReportControl control;
            control.set_interval_us(1000);
            control.set_taken(request.batch().sequence());
            stream->Write(control);
            taken = std::max<std::uint64_t>(taken, request.batch().sequence());
        }
        return ::grpc::Status::OK;
    }
    std::atomic<std::uint64_t> taken = 0;
};

// The alarm of a paced client sets itself again from within its own task; that ended the closure that was
// running (found by make measure-proxy, caught by AddressSanitizer here).
TEST(Planners, APacedClientGoesOnTellingAtItsInterval) {
    Taker service;
    ::grpc::ServerBuilder builder;
    int port = 0;
    builder.AddListeningPort("127.0.0.1:0", ::grpc::InsecureServerCredentials(), &port);
    builder.RegisterService(&service);
    const auto server = builder.BuildAndStart();
    ASSERT_NE(server, nullptr);
    std::atomic<int> collected = 0;
    {
        client::LoadReportsOptions options;
        options.node = "n";
        client::LoadReportsHandlers handlers;
        handlers.collect = [&] {
            ++collected;
            return v1::ReportBatch();
        };
        client::LoadReports client(
            ::grpc::CreateChannel("127.0.0.1:" + std::to_string(port), ::grpc::InsecureChannelCredentials()),
            options, std::move(handlers));
        client.open();
        const auto most = std::chrono::steady_clock::now() + std::chrono::seconds{20};
        while (service.taken < 20 && std::chrono::steady_clock::now() < most)
            std::this_thread::sleep_for(std::chrono::milliseconds{1});
    }
    EXPECT_GE(service.taken, 20U);
    EXPECT_GE(collected, 20);
    server->Shutdown(std::chrono::system_clock::now());
}

}  // namespace
}  // namespace marldale::proxy
