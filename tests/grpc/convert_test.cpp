// Messages to values and back: nothing that can't be gets through, and nothing that can is lost.
#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>
#include <cmath>
#include <random>

#include "grpc/convert.h"

namespace marldale::grpc_front {
namespace {

const std::vector<std::string> kClasses = {"image", "write it", "reserve"};

dispatch::LaneOrder anyOrder(std::mt19937& random) {
    const auto table = static_cast<TableId>(random());
    const std::string server = "s-" + std::to_string(random() % 100);
    const auto weight = static_cast<float>(random() % 4096) / 64;
    switch (random() % 8) {
        case 0: return protocol::LineOrder{table, server, weight};
        case 1: return protocol::ClearOrder{table};
        case 2:
            return protocol::BindOrder{static_cast<ProxyId>(random()), table,
                                       static_cast<ClassMask>(random() % 8)};
        case 3: return protocol::ShutOrder{server, random() % 2 == 0};
        case 4:
            return protocol::LevelOrder{table, static_cast<ClassMask>(random() % 8), weight,
                                        static_cast<std::uint8_t>(random() % 4)};
        case 5: return protocol::MarkOrder{static_cast<std::uint16_t>(random()), random() % 2 == 0};
        case 6: return dispatch::LayOrder{table, static_cast<TableId>(random())};
        default: return dispatch::CheckOrder{table, (std::uint64_t{random()} << 32U) | random()};
    }
}

RC_GTEST_PROP(Convert, OrdersComeBackAsTheyWere, (std::uint32_t seed)) {
    std::mt19937 random(seed);
    const dispatch::LaneOrder order = anyOrder(random);
    v1::Order read;
    RC_ASSERT(read.ParseFromString(writeOrder(order, kClasses).SerializeAsString()));
    const auto back = readOrder(read, kClasses);
    RC_ASSERT(back.has_value());
    RC_ASSERT(*back == order);
}

// Whatever bytes parse as a message: what comes out of it is sound, or nothing comes out.
RC_GTEST_PROP(Convert, NothingThatCantBeGetsThrough, (std::uint32_t seed)) {
    std::mt19937 random(seed);
    v1::Outcomes row;
    row.set_zone(random() % 4 == 0 ? "" : "a");
    row.set_server(random() % 4 == 0 ? "" : "s");
    const auto any = [&] { return random() % 3 == 0 ? random() : random() % 20; };
    row.set_tries(static_cast<std::uint32_t>(any()));
    row.set_failed(static_cast<std::uint32_t>(any()));
    if (random() % 2 == 0) row.set_mean_us((std::uint64_t{any()} << (random() % 40)));
    row.set_over_us(std::uint64_t{any()} << (random() % 40));
    auto& metrics = *row.mutable_load()->mutable_named_metrics();
    for (int i = 0; i < 40; ++i) {
        const double odd[] = {std::nan(""), -1.0, 1e300, HUGE_VAL, 0.5};
        metrics["m" + std::to_string(i)] = odd[random() % 5];
    }
    std::string why;
    const auto out = readOutcomes(row, "", why);
    RC_ASSERT(out.has_value() || !why.empty());
    if (!out) return;
    RC_ASSERT(protocol::isSound(*out));
    RC_ASSERT(!out->zone.empty() && !out->server.empty());
    RC_ASSERT(out->load.size() <= protocol::kLoadValuesMost);
    for (const auto& [name, value] : out->load) {
        RC_ASSERT(std::isfinite(value) && value >= 0 && value <= protocol::kLoadMost);
    }
}

// Garbage, cut messages and flipped bits never crash a reader.
TEST(Convert, GarbageIsReadOrRefused) {
    const google::protobuf::LogSilencer silent;
    std::mt19937 random(11);
    std::size_t read = 0;
    for (int i = 0; i < 20000; ++i) {
        v1::AssignResponse response;
        for (int n = 0; n < 3; ++n)
            *response.mutable_batch()->add_orders() = writeOrder(anyOrder(random), kClasses);
        std::string bytes = response.SerializeAsString();
        if (random() % 2 == 0) bytes.resize(random() % bytes.size());
        for (int flips = static_cast<int>(random() % 4); flips > 0 && !bytes.empty(); --flips) {
            bytes[random() % bytes.size()] = static_cast<char>(random());
        }
        v1::AssignResponse back;
        if (!back.ParseFromString(bytes)) continue;
        for (const auto& order : back.batch().orders()) read += readOrder(order, kClasses).has_value();
    }
    EXPECT_GT(read, 1000U);
}

TEST(Convert, ALoadGoesByTheNamesOfTheSettings) {
    v1::Load load;
    load.set_cpu_utilization(0.25);
    load.set_rps_fractional(12);
    load.set_eps(1);
    (*load.mutable_named_metrics())["inflight"] = 3;
    EXPECT_EQ(readLoad(load),
              (protocol::LoadValues{{"eps", 1}, {"inflight", 3}, {"qps", 12}, {"util", 0.25}}));
    load.set_application_utilization(0.75);
    EXPECT_EQ(readLoad(load).at("util"), 0.75);
    load.set_application_utilization(-1);
    EXPECT_EQ(readLoad(load).count("util"), 0U);
}

TEST(Convert, RelaysAndAnswersAreCheckedForRange) {
    std::string why;
    v1::RelayJoined joined;
    joined.set_relay(5);
    EXPECT_FALSE(readJoined(joined, why)) << "no zone";
    joined.set_zone("a");
    joined.set_rps(std::nan(""));
    EXPECT_FALSE(readJoined(joined, why));
    joined.set_rps(-1);
    EXPECT_FALSE(readJoined(joined, why));
    joined.set_rps(2);
    EXPECT_TRUE(readJoined(joined, why));
    joined.set_relay(65536);
    EXPECT_FALSE(readJoined(joined, why));
    v1::RelayAnswer answer;
    answer.set_mark(65536);
    EXPECT_FALSE(readAnswer(answer));
    answer.set_mark(1);
    answer.set_took_us(3600000001);
    EXPECT_FALSE(readAnswer(answer));
}

}  // namespace
}  // namespace marldale::grpc_front
