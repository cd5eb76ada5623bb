#include "standin/grpc_party.h"

#include <utility>

namespace marldale::standin {
namespace {

std::shared_ptr<::grpc::Channel> channelTo(const std::string& address) {
    ::grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);  // each node a connection of its own
    return ::grpc::CreateCustomChannel(address, ::grpc::InsecureChannelCredentials(), arguments);
}

}  // namespace

GrpcParty::GrpcParty(std::string address, std::vector<std::string> classes,
                     std::function<int(int relay)> group)
    : address_(std::move(address)), classes_(std::move(classes)), group_(std::move(group)) {}

GrpcParty::~GrpcParty() {
    nodes_.clear();
    collectors_.clear();
}

int GrpcParty::nodeOf(int relay) const { return relay - relay % group_(relay); }

GrpcParty::Node& GrpcParty::node(int number) {
    Node& out = nodes_[number];
    if (out.stream) return out;
    client::AssignmentsOptions options;
    options.node = "relays-" + std::to_string(number);
    options.agent = "stand-in";
    options.classes = classes_;
    options.redial.on = false;
    client::AssignmentsHandlers handlers;
    handlers.applied = [this, &out](const v1::Batch& batch, const client::RelayTables::Outcome& outcome) {
        applied(out, batch, outcome);
    };
    handlers.ended = [this, &out](const ::grpc::Status&) {
        watch_.change([&] { out.open = out.ending = false; });
    };
    out.stream =
        std::make_unique<client::Assignments>(channelTo(address_), std::move(options), std::move(handlers));
    return out;
}

// On a thread of the library: it must not look into the map that others change.
void GrpcParty::applied(const Node& node, const v1::Batch& batch,
                        const client::RelayTables::Outcome& outcome) {
    const auto& tables = node.stream->tables();
    std::vector<Delivered> messages;
    for (const std::uint32_t relay : outcome.concerned) {
        std::optional<unsigned> mark;
        if (outcome.mark) mark = *outcome.mark;
        const auto id = static_cast<int>(relay);
        messages.push_back({id, viewOf(tables, id, classes_), tables.shutOut(), mark});
    }
    watch_.change([&] {
        ++batches_;
        orders_ += outcome.taken;
        for (const auto& order : batch.orders()) kept_ += order.has_lay();
        for (Delivered& m : messages) delivered_.push_back(std::move(m));
    });
}

std::size_t GrpcParty::hello(const RelayHello& hello) {
    Node& n = node(nodeOf(hello.relay));
    const bool stands = watch_.look([&n] { return n.open && !n.ending; });
    if (!stands) watch_.until("a broken stream to end", [&n] { return !n.open; });
    n.joined.insert(hello.relay);
    n.stream->join({static_cast<std::uint32_t>(hello.relay), hello.site, hello.rps, hello.fresh});
    if (stands) return 1;
    watch_.change([&n] { n.open = true; });
    n.stream->dialNow();
    return 2;
}

std::size_t GrpcParty::bye(const std::vector<int>& relays) {
    std::size_t words = 0;
    std::map<int, std::vector<int>> byNode;
    for (const int relay : relays) byNode[nodeOf(relay)].push_back(relay);
    for (const auto& [number, gone] : byNode) {
        Node& n = node(number);
        for (const int relay : gone) n.joined.erase(relay);
        if (n.joined.empty()) {
            watch_.change([&n] { n.ending = n.open; });
            n.stream->breakOffWithout({gone.begin(), gone.end()});
            ++words;
            continue;
        }
        for (const int relay : gone) n.stream->leave(static_cast<std::uint32_t>(relay));
        words += gone.size();
    }
    return words;
}

void GrpcParty::ack(const RelayAck& ack) {
    node(nodeOf(ack.relay))
        .stream->answer({static_cast<std::uint32_t>(ack.relay)}, ack.mark,
                        std::chrono::microseconds{ack.took});
}

v1::Outcomes GrpcParty::row(const SumRow& row) {
    v1::Outcomes out;
    out.set_zone(row.site);
    out.set_server(row.box);
    out.set_tries(row.tries);
    out.set_failed(row.failed);
    out.set_mean_us(static_cast<std::uint64_t>(row.mean));
    out.set_over_us(static_cast<std::uint64_t>(row.over));
    if (row.spoilt == 1) out.set_over_us(0);
    if (row.spoilt == 2) out.set_failed(row.tries + 1);
    if (row.spoilt == 3) out.clear_server();
    if (row.spoilt == 4) out.set_mean_us(~std::uint64_t{0});
    return out;
}

v1::Demand GrpcParty::row(const DemandRow& row) {
    v1::Demand out;
    out.set_relay(static_cast<std::uint32_t>(row.relay));
    out.set_request_class(row.className);
    out.set_came(row.came);
    out.set_failed(row.failed);
    out.set_over_us(static_cast<std::uint64_t>(row.over));
    if (row.spoilt == 1) out.set_over_us(0);
    if (row.spoilt == 2) out.set_came(4000000000U);
    if (row.spoilt == 3) out.clear_request_class();
    if (row.spoilt == 4) out.set_relay(4000000000U);
    return out;
}

void GrpcParty::collect(const std::string& site, const std::vector<SumRow>& sums,
                        const std::vector<DemandRow>& demand) {
    auto& collector = collectors_[site];
    if (!collector) {
        client::LoadReportsOptions options;
        options.node = "collector-" + site;
        options.paced = false;
        options.redial.on = false;
        collector = std::make_unique<client::LoadReports>(channelTo(address_), options,
                                                          client::LoadReportsHandlers{});
        collector->open();
    }
    v1::ReportBatch batch;
    for (const SumRow& s : sums) *batch.add_outcomes() = row(s);
    for (const DemandRow& d : demand) *batch.add_demand() = row(d);
    collector->send(std::move(batch));
}

std::vector<Delivered> GrpcParty::take() {
    return watch_.look([this] { return std::exchange(delivered_, {}); });
}
std::uint64_t GrpcParty::batches() {
    return watch_.look([this] { return batches_; });
}
std::uint64_t GrpcParty::orders() {
    return watch_.look([this] { return orders_; });
}

}  // namespace marldale::standin
