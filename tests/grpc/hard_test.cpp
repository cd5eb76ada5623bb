// What goes wrong on streams: breaks at every point, peers that are mute or greedy, what can't be, and
// crowds.
#include "forwarder.h"
#include "marldale/assignments.h"
#include "parties.h"

namespace marldale::tests {
namespace {

using ::grpc::StatusCode;

// A planner that goes away, in a thread of its own; it has ten seconds for what takes a moment.
class Leaving {
public:
    explicit Leaving(GrpcPlanner& planner) : thread_([&planner] { planner.server->stop(20000); }) {}
    ~Leaving() { thread_.join(); }
    Leaving(const Leaving&) = delete;
    Leaving& operator=(const Leaving&) = delete;

private:
    std::thread thread_;
};

class GrpcHard : public testing::Test {
protected:
    std::uint32_t markOf(const v1::Batch& batch) {
        for (const auto& o : batch.orders()) {
            if (o.has_mark()) return o.mark().number();
        }
        ADD_FAILURE() << "a batch without a mark";
        return 0;
    }
    bool binds(const v1::Batch& batch, std::uint32_t relay) {
        return std::any_of(batch.orders().begin(), batch.orders().end(),
                           [&](const v1::Order& o) { return o.has_bind() && o.bind().relay() == relay; });
    }
    // A node's stream with relay 1 joined, and its first batch.
    std::unique_ptr<AssignPeer> bound(v1::Batch& batch, std::uint64_t epoch = 0,
                                      std::uint64_t lastTaken = 0) {
        auto peer = std::make_unique<AssignPeer>(planner.channel());
        EXPECT_TRUE(peer->hello("relay-1", epoch, lastTaken));
        EXPECT_TRUE(peer->join(1, "a"));
        const auto first = peer->batch(0);
        EXPECT_TRUE(first);
        if (first) batch = *first;
        EXPECT_TRUE(binds(batch, 1));
        return peer;
    }
    // Relay 2 on a stream that nobody reads, with a table that does not fit the flow-control window: the
    // write of its first batch stays out.
    auto joinedWithATableOverTheWindow(v1::Assignments::Stub& stub, ::grpc::ClientContext& context) {
        std::vector<protocol::CatalogEntry> many;
        for (int i = 0; i < 2500; ++i) {
            many.push_back(box("server-with-a-long-name-" + std::to_string(i), "a"));
        }
        planner.list(many, true);
        auto stream = stub.Assign(&context);
        v1::AssignRequest hello, joined;
        hello.mutable_hello()->mutable_node()->set_id("mute");
        joined.mutable_joined()->set_relay(2);
        joined.mutable_joined()->set_zone("a");
        EXPECT_TRUE(stream->Write(hello));
        EXPECT_TRUE(stream->Write(joined));
        EXPECT_TRUE(planner.await<routing::LaneNews>(1));
        return stream;
    }
    static bool kept(AssignPeer& peer) {
        return peer.await([](const auto& r) { return r.has_welcome() && r.welcome().kept(); });
    }
    GrpcPlanner planner{smallConfig()};
};

// ---- Breaks ----

TEST_F(GrpcHard, AStreamBrokenBetweenABatchAndItsAnswerIsTakenUpWithWhatWasTaken) {
    v1::Batch batch;
    auto peer = bound(batch);
    peer.reset();  // it took the batch; the answer never left
    ASSERT_TRUE(planner.await<routing::LaneClosed>(1));
    auto again = bound(batch, 77, batch.nonce());
    EXPECT_TRUE(kept(*again));
    EXPECT_TRUE(std::any_of(batch.orders().begin(), batch.orders().end(), [](const auto& o) {
        return o.has_lay();
    })) << "the fresh table is written as a difference";
}

TEST_F(GrpcHard, AStreamBrokenBeforeItsBatchWasTakenStartsOver) {
    v1::Batch batch;
    auto peer = bound(batch);
    peer.reset();
    ASSERT_TRUE(planner.await<routing::LaneClosed>(1));
    auto again = bound(batch, 0, 0);
    EXPECT_FALSE(
        std::any_of(batch.orders().begin(), batch.orders().end(), [](const auto& o) { return o.has_lay(); }));
}

TEST_F(GrpcHard, AStreamBrokenBetweenAMarkAndItsAnswerIsBoundAnew) {
    v1::Batch batch;
    auto peer = bound(batch);
    ASSERT_TRUE(peer->take(batch));
    peer.reset();  // relay 1 applied it, and never said so
    ASSERT_TRUE(planner.await<routing::LaneClosed>(1));
    auto again = bound(batch, 77, batch.nonce());
    ASSERT_TRUE(again->take(batch));
    ASSERT_TRUE(again->answer(1, markOf(batch)));
    planner.list({box("s-3", "a")});
    const auto next = again->batch(1);
    ASSERT_TRUE(next) << "the table's next change is not held up by the mark that was lost";
}

TEST_F(GrpcHard, ARefusedOrderComesAnewOnceAndIsThenLeftOut) {
    v1::Batch batch;
    auto peer = bound(batch);
    ASSERT_TRUE(peer->take(batch, 1, "no"));
    const auto second = peer->batch(1);
    ASSERT_TRUE(second);
    EXPECT_EQ(second->orders_size(), batch.orders_size() - 1);
    EXPECT_EQ(second->orders(0).SerializeAsString(), batch.orders(1).SerializeAsString());
    ASSERT_TRUE(peer->take(*second, 0, "still no"));
    const auto third = peer->batch(2);
    ASSERT_TRUE(third);
    EXPECT_EQ(third->orders_size(), batch.orders_size() - 2);
    EXPECT_TRUE(planner.logged("lanes: relay-1: an order was refused twice and is dropped"));
    EXPECT_TRUE(planner.logged("still no"));
}

TEST_F(GrpcHard, AnAnswerThatCantBeEndsTheStream) {
    v1::Batch batch;
    auto peer = bound(batch);
    ASSERT_TRUE(peer->take(batch, static_cast<std::uint32_t>(batch.orders_size()) + 1));
    ASSERT_TRUE(peer->awaitEnd());
    EXPECT_EQ(peer->status.error_code(), StatusCode::UNAVAILABLE);
}

TEST_F(GrpcHard, ABatchThatIsNeverAnsweredEndsTheStream) {
    v1::Batch batch;
    auto peer = bound(batch);
    ASSERT_TRUE(peer->awaitEnd());
    EXPECT_EQ(peer->status.error_code(), StatusCode::UNAVAILABLE);
    EXPECT_NE(peer->status.error_message().find("no answer in time"), std::string::npos);
}

TEST_F(GrpcHard, APeerThatVanishesWithoutAWordIsGoneSoon) {
    auto settings = plainFront();
    settings.keepaliveMs = 500;
    GrpcPlanner planner(smallConfig(), settings);
    Forwarder forwarder(planner.server->port());
    ::grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    AssignPeer peer(
        ::grpc::CreateCustomChannel(forwarder.address(), ::grpc::InsecureChannelCredentials(), arguments));
    ASSERT_TRUE(peer.hello("relay-1"));
    ASSERT_TRUE(peer.await([](const auto& r) { return r.has_welcome(); }));
    forwarder.fallSilent();
    EXPECT_TRUE(planner.await<routing::LaneClosed>(1)) << "its pings stay without an answer";
}

TEST_F(GrpcHard, ANodesNewerStreamTakesTheOldOnesPlace) {
    v1::Batch batch;
    auto old = bound(batch);
    ASSERT_TRUE(old->take(batch));
    AssignPeer fresh(planner.channel());
    ASSERT_TRUE(fresh.hello("relay-1", 77, batch.nonce()));
    EXPECT_TRUE(kept(fresh)) << "what the old one held is remembered before the new one opens";
    ASSERT_TRUE(old->awaitEnd());
    EXPECT_EQ(old->status.error_code(), StatusCode::ABORTED);
    ASSERT_TRUE(fresh.join(1, "a"));
    EXPECT_TRUE(fresh.batch(0));
}

// ---- Peers that do not read ----

TEST_F(GrpcHard, ARelayThatStopsReadingIsEndedAndOthersAreServed) {
    const auto stub = v1::Assignments::NewStub(planner.channel());
    ::grpc::ClientContext context;
    const auto mute = joinedWithATableOverTheWindow(*stub, context);
    ASSERT_TRUE(planner.await<routing::LaneClosed>(1)) << "ended without being read";
    v1::Batch batch;
    auto well = bound(batch);
    EXPECT_TRUE(well->take(batch));
    context.TryCancel();
    (void)mute->Finish();
}

// ---- What can't be ----

TEST_F(GrpcHard, StreamsThatDoNotSayHelloAreEndedInTime) {
    auto settings = plainFront();
    settings.helloWithinMs = 100;
    GrpcPlanner planner(smallConfig(), settings);
    AssignPeer silent(planner.channel());
    ReportPeer mute(planner.channel());
    ASSERT_TRUE(silent.awaitEnd());
    ASSERT_TRUE(mute.awaitEnd());
    EXPECT_EQ(silent.status.error_code(), StatusCode::DEADLINE_EXCEEDED);
    EXPECT_EQ(mute.status.error_code(), StatusCode::DEADLINE_EXCEEDED);
}

TEST_F(GrpcHard, WordsInTheWrongOrderEndTheStreamWithAReason) {
    AssignPeer early(planner.channel());
    ASSERT_TRUE(early.join(1, "a"));
    ASSERT_TRUE(early.awaitEnd());
    EXPECT_EQ(early.status.error_code(), StatusCode::FAILED_PRECONDITION);
    ReportPeer twice(planner.channel());
    ASSERT_TRUE(twice.hello("c"));
    ASSERT_TRUE(twice.hello("c"));
    ASSERT_TRUE(twice.awaitEnd());
    EXPECT_EQ(twice.status.error_code(), StatusCode::FAILED_PRECONDITION);
    for (const std::string& name : {std::string(), std::string(129, 'n'), std::string("line\nbreak")}) {
        AssignPeer unnamed(planner.channel());
        ASSERT_TRUE(unnamed.hello(name));
        ASSERT_TRUE(unnamed.awaitEnd());
        EXPECT_EQ(unnamed.status.error_code(), StatusCode::INVALID_ARGUMENT);
    }
}

TEST_F(GrpcHard, RelaysThatCantBeAreSentAwayAndTheOthersStay) {
    AssignPeer peer(planner.channel());
    ASSERT_TRUE(peer.hello("relay-1"));
    ASSERT_TRUE(peer.join(9, "a"));   // there are nine, from 0
    ASSERT_TRUE(peer.join(2, "zz"));  // there is no such zone
    ASSERT_TRUE(peer.join(70000, "a"));
    ASSERT_TRUE(peer.join(1, "a"));
    for (const std::uint32_t relay : {9U, 2U, 70000U}) {
        EXPECT_TRUE(peer.await([&](const auto& r) {
            return r.has_release() && r.release().relay() == relay;
        })) << relay;
    }
    const auto batch = peer.batch(0);
    ASSERT_TRUE(batch);
    EXPECT_TRUE(binds(*batch, 1));
}

TEST_F(GrpcHard, RowsThatCantBeAreLeftOutAloneAndCounted) {
    ReportPeer peer(planner.channel());
    ASSERT_TRUE(peer.hello("c"));
    std::vector<v1::Outcomes> rows(9, outcomes("a", "s-1", 10));
    rows[0].set_failed(11);
    rows[1].set_over_us(0);
    rows[2].set_over_us(60000001);
    rows[3].clear_mean_us();
    rows[4].set_mean_us(~std::uint64_t{0});
    rows[5].set_tries(4000000000U);
    rows[6].clear_server();
    rows[7].clear_zone();
    ASSERT_TRUE(peer.report(1, rows));
    ASSERT_TRUE(peer.await([](const auto& c) { return c.taken() == 1 && c.left_out() == 8; }));
    ASSERT_TRUE(planner.await<routing::SourceRows>(1));
    const auto got = planner.watch.look([&] { return std::get<routing::SourceRows>(planner.posted.back()); });
    EXPECT_EQ(got.rows.size(), 1U);
    EXPECT_EQ(got.spoilt, 8U);
    EXPECT_TRUE(planner.logged("reports: c: left out: outcomes of s-1 are out of range"));
}

TEST_F(GrpcHard, WhatALaterVersionSaysIsLeftOutAndTheRestCounts) {
    ReportPeer peer(planner.channel());
    ASSERT_TRUE(peer.hello("c"));
    v1::ReportRequest unknown;  // a message kind of a later version: field 99
    ASSERT_TRUE(unknown.ParseFromString(std::string("\x9a\x06\x02hi", 5)));
    ASSERT_TRUE(peer.say(unknown));
    v1::ReportRequest request;
    *request.mutable_batch()->add_outcomes() = outcomes("a", "s-1", 7);
    request.mutable_batch()->set_sequence(1);
    std::string bytes = request.SerializeAsString();
    v1::ReportRequest later;
    ASSERT_TRUE(later.ParseFromString(
        bytes + std::string("\x9a\x06\x02hi", 5)));  // and a field beside the known ones
    ASSERT_TRUE(peer.say(later));
    ASSERT_TRUE(peer.awaitTaken(1));
    EXPECT_EQ(planner.count<routing::SourceRows>(), 1U);
    v1::AssignRequest joined;
    AssignPeer relay(planner.channel());
    ASSERT_TRUE(relay.hello("relay-1"));
    ASSERT_TRUE(joined.ParseFromString(std::string("\x9a\x06\x02hi", 5)));
    ASSERT_TRUE(relay.say(joined));
    ASSERT_TRUE(relay.join(1, "a"));
    EXPECT_TRUE(relay.batch(0));
}

TEST_F(GrpcHard, DeadlinesAndCancellationsEndAStreamAsABreakDoes) {
    auto hurried = std::make_unique<AssignPeer>(planner.channel(), std::chrono::seconds{3});
    ASSERT_TRUE(hurried->hello("hurried"));
    ASSERT_TRUE(hurried->awaitEnd());
    EXPECT_EQ(hurried->status.error_code(), StatusCode::DEADLINE_EXCEEDED);
    ASSERT_TRUE(planner.await<routing::LaneClosed>(1));
    AssignPeer cancelled(planner.channel());
    ASSERT_TRUE(cancelled.hello("cancelled"));
    ASSERT_TRUE(planner.await<routing::LaneOpened>(2));
    cancelled.context.TryCancel();
    ASSERT_TRUE(planner.await<routing::LaneClosed>(2));
}

// ---- Reports that are large, many, or sent again ----

TEST_F(GrpcHard, AReportOfOneMebibyteIsTakenAndALargerOneIsNot) {
    ReportPeer peer(planner.channel());
    ASSERT_TRUE(peer.hello("c"));
    v1::ReportRequest request;
    request.mutable_batch()->set_sequence(1);
    const std::size_t each = outcomes("a", "s-1", 1).ByteSizeLong() + 2;
    const std::size_t rows = ((1U << 20U) - 64) / each;
    for (std::size_t i = 0; i < rows; ++i) *request.mutable_batch()->add_outcomes() = outcomes("a", "s-1", 1);
    ASSERT_GT(request.ByteSizeLong(), (1U << 20U) - 256);
    ASSERT_LE(request.ByteSizeLong(), 1U << 20U);
    ASSERT_TRUE(peer.say(request));
    ASSERT_TRUE(peer.awaitTaken(1));
    ASSERT_TRUE(planner.watch.until([&] { return planner.rows() == rows; }));
    for (int i = 0; i < 100; ++i) *request.mutable_batch()->add_outcomes() = outcomes("a", "s-1", 1);
    request.mutable_batch()->set_sequence(2);
    (void)peer.say(request);
    ASSERT_TRUE(peer.awaitEnd());
    EXPECT_EQ(peer.status.error_code(), StatusCode::RESOURCE_EXHAUSTED);
}

TEST_F(GrpcHard, ABurstOfAHundredThousandRowsIsHeldBackAndNotLost) {
    std::atomic<std::uint64_t> told = 0;
    ReportPeer peer(planner.channel());
    ASSERT_TRUE(peer.hello("c"));
    const std::vector<v1::Outcomes> rows(500, outcomes("a", "s-1", 1));
    planner.refusing = true;  // as if the queue were full
    std::thread sender([&] {
        for (std::uint64_t i = 1; i <= 200; ++i) {
            if (peer.report(i, rows)) told = i;
        }
    });
    ASSERT_TRUE(planner.watch.until([&] { return planner.refused > 3; }));
    EXPECT_EQ(planner.rows(), 0U);
    planner.refusing = false;
    ASSERT_TRUE(peer.await([](const auto& c) { return c.taken() == 200 && c.left_out() == 0; }));
    sender.join();
    EXPECT_EQ(told, 200U);
    EXPECT_TRUE(planner.watch.until([&] { return planner.rows() == 100000; }));
}

TEST_F(GrpcHard, AStreamBrokenInTheMiddleOfAReportLosesNothingAndCountsNothingTwice) {
    auto peer = std::make_unique<ReportPeer>(planner.channel());
    ASSERT_TRUE(peer->hello("c", 5));
    ASSERT_TRUE(peer->report(1, {outcomes("a", "s-1", 1)}));
    ASSERT_TRUE(peer->report(2, {outcomes("a", "s-2", 2)}));
    ASSERT_TRUE(peer->awaitTaken(2));
    peer.reset();  // the third of three batches of one report was not sent; what was told of the second was
                   // lost
    ReportPeer again(planner.channel());
    ASSERT_TRUE(again.hello("c", 5));
    ASSERT_TRUE(again.awaitTaken(2)) << "it is told where to go on";
    ASSERT_TRUE(again.report(2, {outcomes("a", "s-2", 2)}));
    ASSERT_TRUE(again.report(3, {outcomes("b", "s-1", 3)}));
    ASSERT_TRUE(again.awaitTaken(3));
    EXPECT_EQ(planner.count<routing::SourceRows>(), 3U) << "the second came twice and counts once";
    ReportPeer reborn(planner.channel());
    ASSERT_TRUE(reborn.hello("c", 6));
    ASSERT_TRUE(reborn.report(1, {outcomes("a", "s-1", 4)}));
    ASSERT_TRUE(planner.await<routing::SourceRows>(4)) << "another life of the node counts anew";
}

TEST_F(GrpcHard, ABoxMayTellOfItselfAndOfNoOther) {
    ReportPeer peer(planner.channel());
    ASSERT_TRUE(peer.hello("s-1"));
    v1::ReportRequest request;
    request.mutable_batch()->set_sequence(1);
    auto* box = request.mutable_batch()->add_loads();
    box->set_server("s-1");
    box->mutable_load()->set_cpu_utilization(0.5);
    (*box->mutable_load()->mutable_named_metrics())["inflight"] = 7;
    (*box->mutable_load()->mutable_named_metrics())["bad"] = std::numeric_limits<double>::quiet_NaN();
    *box->add_outcomes() = outcomes("a", "", 10);
    *box->add_outcomes() = outcomes("a", "s-2", 10);
    ASSERT_TRUE(peer.say(request));
    ASSERT_TRUE(peer.await([](const auto& c) { return c.taken() == 1 && c.left_out() == 1; }));
    const auto got = planner.watch.look([&] { return std::get<routing::SourceRows>(planner.posted.back()); });
    ASSERT_EQ(got.rows.size(), 1U);
    EXPECT_EQ(std::get<protocol::Outcomes>(got.rows[0]).server, "s-1");
    ASSERT_EQ(got.loads.size(), 1U);
    EXPECT_EQ(got.loads[0].load, (protocol::LoadValues{{"inflight", 7.0}, {"util", 0.5}}));
}

// ---- Crowds ----

TEST_F(GrpcHard, AThousandStreamsAtOnceAreServedAndDropped) {
    const auto channel = planner.channel();
    const auto stub = v1::Assignments::NewStub(channel);
    struct Call {
        ::grpc::ClientContext context;
        std::unique_ptr<::grpc::ClientReaderWriter<v1::AssignRequest, v1::AssignResponse>> stream;
    };
    std::vector<std::unique_ptr<Call>> calls;
    for (int i = 0; i < 1000; ++i) {
        auto& call = calls.emplace_back(std::make_unique<Call>());
        call->stream = stub->Assign(&call->context);
        v1::AssignRequest hello;
        hello.mutable_hello()->mutable_node()->set_id("n" + std::to_string(i));
        ASSERT_TRUE(call->stream->Write(hello));
    }
    ASSERT_TRUE(planner.await<routing::LaneOpened>(1000));
    for (auto& call : calls) call->context.TryCancel();
    for (auto& call : calls) (void)call->stream->Finish();
    ASSERT_TRUE(planner.await<routing::LaneClosed>(1000));
    v1::Batch batch;
    EXPECT_TRUE(bound(batch)->take(batch));
}

TEST(GrpcCrowd, StreamsOverTheLimitAreRefusedWithAReason) {
    auto settings = plainFront();
    settings.streamsMost = 2;
    GrpcPlanner planner(smallConfig(), settings);
    AssignPeer one(planner.channel()), two(planner.channel());
    ASSERT_TRUE(one.hello("one"));
    ASSERT_TRUE(two.hello("two"));
    ASSERT_TRUE(planner.await<routing::LaneOpened>(2));
    AssignPeer three(planner.channel());
    ASSERT_TRUE(three.awaitEnd());
    EXPECT_EQ(three.status.error_code(), StatusCode::RESOURCE_EXHAUSTED);
}

TEST(GrpcEnd, PeersAreToldThatThePlannerGoesAway) {
    GrpcPlanner planner(smallConfig());
    AssignPeer relay(planner.channel());
    ReportPeer collector(planner.channel());
    ASSERT_TRUE(relay.hello("relay-1"));
    ASSERT_TRUE(collector.hello("c"));
    ASSERT_TRUE(relay.await([](const auto& r) { return r.has_welcome(); }));
    ASSERT_TRUE(collector.await([](const auto&) { return true; }));
    const Leaving leaving(planner);
    EXPECT_TRUE(relay.await([](const auto& r) { return r.has_goodbye(); }));
    relay.stream->WritesDone();
    ASSERT_TRUE(relay.awaitEnd());
    ASSERT_TRUE(collector.awaitEnd());
    EXPECT_EQ(relay.status.error_code(), StatusCode::UNAVAILABLE);
    EXPECT_EQ(relay.status.error_message(), "the planner goes away");
    EXPECT_EQ(collector.status.error_code(), StatusCode::UNAVAILABLE);
}

// The library ends the process of whoever writes behind the end of its own side.
TEST_F(GrpcHard, AClientThatHasSaidByeMayGoOnTalkingAndIsNotHeard) {
    client::AssignmentsOptions options;
    options.node = "relay-1";
    options.classes = {"lookup", "write it"};
    client::Assignments relay(planner.channel(), options, {});
    relay.open();
    relay.join({1, "a", 10, true});
    ASSERT_TRUE(planner.await<routing::LaneNews>(1));
    relay.bye();
    for (int i = 0; i < 2000000 && relay.dialled(); ++i) {
        relay.join({2, "a", 10, true});
        relay.answer({1}, 7, std::chrono::microseconds{1});
    }
    ASSERT_TRUE(planner.await<routing::LaneClosed>(1));
    EXPECT_EQ(planner.count<routing::LaneNews>(), 1U);
}

// What is being written when the planner goes away must not swallow the goodbye that waits behind it.
TEST_F(GrpcHard, AGoodbyeBehindAWriteThatIsOutIsStillSaid) {
    const auto stub = v1::Assignments::NewStub(planner.channel());
    ::grpc::ClientContext context;
    AssignPeer prompt(planner.channel());
    ASSERT_TRUE(prompt.hello("prompt"));
    const auto late = joinedWithATableOverTheWindow(*stub, context);
    ASSERT_TRUE(planner.watch.until([this] { return planner.batches > 0; }));
    const Leaving leaving(planner);
    ASSERT_TRUE(prompt.await([](const auto& r) { return r.has_goodbye(); }));  // so it is said to all
    prompt.stream->WritesDone();
    v1::AssignResponse response;
    bool goodbye = false;
    while (!goodbye && late->Read(&response)) goodbye = response.has_goodbye();
    EXPECT_TRUE(goodbye);
    late->WritesDone();
    EXPECT_EQ(late->Finish().error_code(), StatusCode::UNAVAILABLE);
}

}  // namespace
}  // namespace marldale::tests
