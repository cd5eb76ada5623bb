// A real controller over loopback with a scripted edge proxy on its inside port. Guards against a departure
// being acknowledged while an edge proxy still sends requests to the server (incident DRAIN, issue 39).
#include <sys/socket.h>
#include <unistd.h>

#include <utility>  // Boost 1.74 forgets it

#include <boost/asio.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <filesystem>
#include <functional>
#include <optional>
#include <string>

#include "free_port.h"
#include "gateway/controller/calls.h"
#include "gateway/controller/controller.h"
#include "gateway/settings/contact_limits.h"
#include "gateway/transport/link.h"

namespace marldale::controller {
namespace {

namespace asio = boost::asio;
using transport::Link;
using transport::steadyNow;

constexpr Micros kMillisecondUs = 1000, kSecond = 1000000;
constexpr const char* kConfiguration =
    R"({"version":1,"built_on":0,"limits":{"max_header_bytes":16384,"max_body_bytes":1000,"header_wait":"3000ms",)"
    R"("quiet":"15000ms"},"listeners":[{"host_name":"a.example","rules":[{"name":"r","route_kind":"read_only",)"
    R"("target":"300ms","rank":1,"match":{"path_start":"/r/"},)"
    R"("action":{"service":"catalogue","give_up":"2000ms","tries":2}}]}],"groups":[{"name":"catalogue",)"
    R"("health_path":"/health","max_connections":100,"warm_up":"3s","cold_per_s":20}]})";

// A data directory that is removed at the end of the test.
struct TemporaryDirectory {
    std::filesystem::path path =
        std::filesystem::temp_directory_path() / ("marldale-departure-" + std::to_string(::getpid()));
    TemporaryDirectory() {
        std::filesystem::remove_all(path);
        std::filesystem::create_directories(path);
    }
    ~TemporaryDirectory() { std::filesystem::remove_all(path); }
    TemporaryDirectory(const TemporaryDirectory&) = delete;
    TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;
};

settings::Settings settingsOf(const TemporaryDirectory& directory) {
    settings::Settings out;
    out.node = "c";
    out.ip = "127.0.0.1";
    out.zone = "z";
    out.zones = {{"z", "r"}};
    out.control = "127.0.0.1:" + std::to_string(tests::freePort(SOCK_STREAM));
    out.portFirst = out.portLast = tests::freePort(SOCK_STREAM);
    out.seeds = {out.control};
    out.firstRun = true;
    out.dataFolder = directory.path.string();
    return out;
}

// A controller, and an edge proxy bound to it that acknowledges its batches or not.
class Deployment {
public:
    Deployment() : settings_(settingsOf(directory_)), controller_(io_, settings_) {
        REQUIRE(controller_.start().ok());
        REQUIRE(runUntil([this] { return replaceConfiguration(); }));
        controller_.beat(server(1, false), [](const Reply&) {});
        transport::dial(io_, settings_.inside(), kSecond,
                        [this](std::shared_ptr<Link> link) { bindProxy(std::move(link)); });
        REQUIRE(runUntil([this] { return proxyHoldsServer_; }));
    }

    static proto::Server server(std::uint64_t callCount, bool emptying) {
        proto::Server out;
        out.set_id("i-1");
        out.set_service("catalogue");
        out.set_address("127.0.0.1:1");
        out.set_zone("z");
        out.set_free_places(4);
        out.set_emptying(emptying);
        out.set_call_count(callCount);
        return out;
    }
    // The server reports that it is emptying.
    void startDeparture() {
        departureStatus_.reset();
        controller_.beat(server(2, true), [this](const Reply& reply) { departureStatus_ = reply.status; });
    }
    // Whether the departure is acknowledged in time. Like a server, repeats the report after an error reply.
    bool becomesAcknowledged(Micros within) {
        return runUntil(
            [this] {
                if (departureStatus_ && departureStatus_ != 200U) startDeparture();
                return departureStatus_ == 200U;
            },
            within);
    }
    // Runs the loop until `done` holds; false if that takes longer than `within`.
    bool runUntil(const std::function<bool()>& done, Micros within = 10 * kSecond) {
        const Micros until = steadyNow() + within;
        while (!done()) {
            if (steadyNow() >= until) return false;
            io_.run_for(std::chrono::milliseconds(5));
        }
        return true;
    }
    void closeLink() { link_->close(); }

    bool proxyAcknowledges = true;
    [[nodiscard]] bool proxyHoldsServer() const { return proxyHoldsServer_; }
    [[nodiscard]] Micros applyBound() const { return settings_.bounds.apply; }
    [[nodiscard]] Micros lease() const { return settings::viewLease(settings_.bounds); }

private:
    bool replaceConfiguration() {
        if (!controller_.inQuorumContact()) return false;
        std::optional<unsigned> status;
        Request request;
        request.method = "POST";
        request.target = "/-/Settings.Replace";
        request.body = kConfiguration;
        findCall(request.method, request.target)
            .call->handle(controller_, request, [&status](const Reply& reply) { status = reply.status; });
        runUntil([&status] { return status.has_value(); });
        return status == 200U;
    }
    void bindProxy(std::shared_ptr<Link> link) {
        REQUIRE(link);
        link_ = std::move(link);
        link_->start({[this](const proto::Frame& frame) { onFrame(frame); }, [] {}});
        proto::Frame hello;
        hello.mutable_hello()->mutable_self()->set_address("127.0.0.1:2");
        hello.mutable_hello()->mutable_self()->set_zone("z");
        hello.mutable_hello()->mutable_self()->set_node("edge-1");
        hello.mutable_hello()->set_mark(1);
        link_->send(hello);
    }
    void onFrame(const proto::Frame& frame) {
        if (!frame.has_batch() || !proxyAcknowledges) return;
        for (const proto::Resource& resource : frame.batch().resources()) {
            if (resource.has_server()) proxyHoldsServer_ = true;
            if (resource.what_case() == proto::Resource::kServerDrop) proxyHoldsServer_ = false;
        }
        if (frame.batch().mark() == 0) return;
        proto::Frame ack;
        ack.mutable_answer()->set_mark(frame.batch().mark());
        link_->send(ack);
    }

    TemporaryDirectory directory_;
    asio::io_context io_{1};
    settings::Settings settings_;
    Controller controller_;
    std::shared_ptr<Link> link_;
    bool proxyHoldsServer_ = false;
    std::optional<unsigned> departureStatus_;
};

}  // namespace

TEST_CASE("A departure is acknowledged once it is in force at the edge proxies", "[controller_departure]") {
    Deployment deployment;
    deployment.startDeparture();
    REQUIRE(deployment.becomesAcknowledged(10 * kSecond));
    CHECK_FALSE(deployment.proxyHoldsServer());
}

TEST_CASE("A departure is not acknowledged while an edge proxy may use the server",
          "[controller_departure]") {
    Deployment deployment;
    deployment.proxyAcknowledges = false;
    deployment.startDeparture();
    // The lease of the proxy lasts at least as long as the allowed age of its contact with the controller.
    CHECK_FALSE(deployment.becomesAcknowledged(deployment.applyBound() / 2));
    // It is acknowledged once the lease of the proxy has expired.
    CHECK(deployment.becomesAcknowledged(10 * kSecond));
}

TEST_CASE("A departure does not wait for an edge proxy that has disconnected", "[controller_departure]") {
    Deployment deployment;
    deployment.proxyAcknowledges = false;
    deployment.closeLink();
    deployment.startDeparture();
    // The departure is acknowledged before the lease of the proxy expires.
    CHECK(deployment.becomesAcknowledged(deployment.lease()));
}

}  // namespace marldale::controller
