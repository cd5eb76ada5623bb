// A request whose client disconnects while the request is still in the proxy's send buffer must not reach the
// server later (incident DRAIN, issue 39).
#include "edge_proxy_support.h"
#include "gateway/edge_proxy/request_forwarder.h"
#include "simulated_network.h"

namespace marldale::edge_proxy::model {
namespace {

constexpr Micros kQueueDelay = kSecond;  // of the proxy's outbound link

// A proxy with one server behind a saturated link; counts the requests that arrive there.
class SaturatedLink {
public:
    SaturatedLink() {
        loop_.onConnect = [](unsigned short) { return ConnectResult::accepted; };
        loop_.onAccepted = [this](unsigned short, const std::shared_ptr<Connection>& connection) {
            connection->onBytes = [this](std::string_view bytes) {
                if (bytes.find("X-Try-Id") != std::string_view::npos) ++arrivals;
            };
        };
        ForwarderSettings settings;
        settings.extraTries = 0;
        forwarder_ = std::make_unique<RequestForwarder>(loop_, settings, tables_);
        proto::ResourceBatch orders;
        orders.set_index(1);
        orders.set_fresh(true);
        World::route(orders, "/r/", proto::RouteResource::READ_ONLY, "s", 1, 400 * kMs, 10 * kSecond);
        World::route(orders, "/w/", proto::RouteResource::WRITING, "s", 1, 400 * kMs, 10 * kSecond);
        auto* line = orders.add_resources()->mutable_server();
        line->set_id("i");
        line->set_service("s");
        line->set_address("10.0.0.1:1000");
        tables_.apply(orders, loop_.now());
        loop_.outboundQueue = kQueueDelay;
    }
    // A client sends a request and disconnects after `stays`.
    void play(const std::string& method, const std::string& path, Micros stays) {
        const auto client = loop_.newConnection();
        forwarder_->accept(SimulatedLoop::streamOf(client));
        client->give(method + " " + path +
                     " HTTP/1.1\r\nHost: a.example\r\nX-Try-Id: q\r\nContent-Length: 0\r\n\r\n");
        loop_.after(stays, [client] { client->reset(); });
        loop_.runUntil(loop_.now() + 3 * kQueueDelay);
    }

    unsigned arrivals = 0;

private:
    SimulatedLoop loop_;
    upstream::Tables tables_;
    std::unique_ptr<RequestForwarder> forwarder_;
};

}  // namespace

TEST_CASE("An abandoned request does not leave the send buffer", "[abandoned_request]") {
    SaturatedLink stays, leaves, leavesWriting;
    stays.play("GET", "/r/a", 2 * kQueueDelay);
    CHECK(stays.arrivals == 1);
    leaves.play("GET", "/r/a", kQueueDelay / 3);
    CHECK(leaves.arrivals == 0);
    // A request that must not run twice is allowed to finish.
    leavesWriting.play("POST", "/w/a", kQueueDelay / 3);
    CHECK(leavesWriting.arrivals == 1);
}

}  // namespace marldale::edge_proxy::model
