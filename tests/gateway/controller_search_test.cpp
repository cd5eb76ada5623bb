// A proxy that searches for another controller keeps following the current one. Tests the decisions in
// virtual time, and the binding over loopback with scripted controllers.
#include <utility>  // missing in Boost 1.74's headers

#include <boost/asio.hpp>
#include <catch2/catch.hpp>

#include "gateway/edge_proxy/binding.h"
#include "gateway/edge_proxy/controller_search.h"
#include "gateway/transport/echo.h"

namespace marldale::edge_proxy {
namespace {

using boost::asio::ip::tcp;
using transport::Link;

constexpr Micros kMillisecond = 1000;
constexpr unsigned short kAnyPort = 0;

// A controller that accepts links and sends heartbeats, with or without a proof of contact.
class ScriptedController {
public:
    ScriptedController(boost::asio::io_context& io, std::string ip, bool proves)
        : ip_(std::move(ip)), proves_(proves), acceptor_(io), timer_(io) {}

    // Starts listening and returns the port.
    unsigned short listen(unsigned short port) {
        const tcp::endpoint endpoint(boost::asio::ip::make_address_v4(ip_), port);
        acceptor_.open(endpoint.protocol());
        acceptor_.set_option(tcp::acceptor::reuse_address(true));
        acceptor_.bind(endpoint);
        acceptor_.listen();
        accept();
        tick();
        return acceptor_.local_endpoint().port();
    }
    void sendBatch(std::uint64_t index) {
        proto::Frame frame;
        frame.mutable_batch()->set_index(index);
        if (link) link->send(frame);
    }

    std::shared_ptr<Link> link;
    bool closedByProxy = false;

private:
    void accept() {
        acceptor_.async_accept([this](boost::system::error_code wrong, tcp::socket socket) {
            if (wrong) return;
            link = std::make_shared<Link>(std::move(socket));
            link->start(
                {[this](const proto::Frame& frame) { onFrame(frame); }, [this] { closedByProxy = true; }});
            accept();
        });
    }
    void onFrame(const proto::Frame& frame) {
        if (frame.has_hello()) echo_.received(transport::steadyNow(), frame.hello().mark());
        if (frame.has_mark()) echo_.received(transport::steadyNow(), frame.mark().mark());
    }
    void tick() {
        if (link) {
            const Micros now = transport::steadyNow();
            proto::Frame frame;
            auto* heartbeat = frame.mutable_heartbeat();
            heartbeat->set_age(0);
            heartbeat->set_index(1);
            if (proves_) heartbeat->set_echo(echo_.mark());
            if (proves_) heartbeat->set_echo_held(echo_.held(now));
            link->send(frame);
        }
        timer_.expires_after(std::chrono::milliseconds(50));
        timer_.async_wait([this](boost::system::error_code wrong) {
            if (!wrong) tick();
        });
    }

    std::string ip_;
    bool proves_;
    tcp::acceptor acceptor_;
    boost::asio::steady_timer timer_;
    transport::EchoReceiver echo_;
};

// A binding with the parts of a proxy that it needs.
struct BoundProxy {
    static settings::Settings settingsWith(unsigned short port) {
        settings::Settings settings;
        settings.node = "edge-1";
        settings.ip = "127.0.0.1";
        settings.zone = "north";
        settings.portFirst = port;
        settings.portLast = port + 1U;
        settings.seeds = {"127.0.0.2:1", "127.0.0.3:1"};
        settings.bounds.apply = 1000 * kMillisecond;
        return settings;
    }
    BoundProxy(boost::asio::io_context& io, unsigned short port)
        : binding(io, settingsWith(port),
                  {[this](const proto::ResourceBatch& batch, Micros) {
                       index = batch.index();
                       return true;
                   },
                   [this] { return index; }, [](Micros) { return proto::LoadReport(); }, view, [](bool) {}}) {
    }

    std::uint64_t index = 0;
    upstream::ViewLease view{1500 * kMillisecond, 1100 * kMillisecond};
    Binding binding;
};

// Runs the loop until the condition holds; false after 20 s.
template <typename Condition>
bool runUntil(boost::asio::io_context& io, Condition condition) {
    const Micros end = transport::steadyNow() + 20000 * kMillisecond;
    while (!condition()) {
        if (transport::steadyNow() > end) return false;
        io.run_one_for(std::chrono::milliseconds(20));
    }
    return true;
}

}  // namespace

TEST_CASE("Dials overlap, and none starts once a controller is settled", "[controller_search]") {
    ControllerSearch search;
    CHECK(search.mayDial(0));
    search.dialed(0);
    CHECK_FALSE(search.mayDial(search.limits().dialInterval - 1));
    CHECK(search.mayDial(search.limits().dialInterval));
    search.dialed(search.limits().dialInterval);
    CHECK(search.dialEnded());
    search.settled();
    CHECK_FALSE(search.dialEnded());  // the second connection is closed
    CHECK_FALSE(search.mayDial(10 * search.limits().dialInterval));
    CHECK(search.suspect(LeaveReason::noQuorumContact));
    CHECK_FALSE(search.suspect(LeaveReason::silent));
    CHECK(search.suspectedReason() == LeaveReason::silent);
    Micros now = 20 * search.limits().dialInterval;
    for (unsigned k = 0; k < search.limits().maxDials; ++k, now += search.limits().dialInterval) {
        REQUIRE(search.mayDial(now));
        search.dialed(now);
    }
    CHECK_FALSE(search.mayDial(now));
}

TEST_CASE("The next dial starts at once after a failed one", "[controller_search]") {
    ControllerSearch search;
    search.dialed(0);
    CHECK(search.dialEnded());
    CHECK(search.mayDial(1));
}

TEST_CASE("A late loop extends the time limit but proves nothing", "[controller_search]") {
    ControllerSelection selection(selectionLimits({}), "edge-1", "north", 1, 0);
    constexpr Micros kTick = 250 * kMillisecond;
    Micros now = 0;
    selection.bound(now, "10.0.0.1:7000");
    std::optional<LeaveReason> reason;
    while (!reason && now < 100 * kTick) {
        now += kTick;
        reason = selection.check(now, now);
    }
    CHECK(reason == LeaveReason::noQuorumContact);
    now += 10 * kTick;
    CHECK_FALSE(selection.check(now, now));
    CHECK_FALSE(selection.proven(now));  // so a running search continues
}

TEST_CASE("A suspected controller is followed until another one is bound", "[controller_search]") {
    boost::asio::io_context io;
    ScriptedController suspected(io, "127.0.0.2", false);
    ScriptedController other(io, "127.0.0.3", true);
    const unsigned short port = suspected.listen(kAnyPort);
    BoundProxy proxy(io, port);
    REQUIRE(proxy.binding.start().ok());
    REQUIRE(runUntil(io, [&] { return suspected.link != nullptr; }));
    // The controller proves nothing and no other one listens. Wait twice the time after which it would be
    // left.
    const Micros suspectedAt = transport::steadyNow() + 2500 * kMillisecond;
    REQUIRE(runUntil(io, [&] { return transport::steadyNow() > suspectedAt; }));
    CHECK_FALSE(suspected.closedByProxy);
    suspected.sendBatch(7);
    CHECK(runUntil(io, [&] { return proxy.index == 7; }));
    (void)other.listen(port);
    REQUIRE(runUntil(io, [&] { return other.link != nullptr; }));
    CHECK(runUntil(io, [&] { return suspected.closedByProxy; }));
    other.sendBatch(8);
    CHECK(runUntil(io, [&] { return proxy.index == 8; }));
    CHECK_FALSE(other.closedByProxy);
}

}  // namespace marldale::edge_proxy
