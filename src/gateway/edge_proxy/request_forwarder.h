// The data path of an edge proxy: takes requests from clients, forwards them to servers as its tables say,
// and returns the answers; tells the platform whether it is ready.
#pragma once

#include <absl/status/status.h>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "gateway/forwarding/faults.h"
#include "gateway/http_server/event_loop.h"
#include "gateway/upstream/tables.h"
#include "policy/types.h"

namespace marldale::edge_proxy {

namespace proto = gateway::proto;

struct ForwarderSettings {
    std::string front, readiness;  // "10.1.0.34:8548"
    std::string zone;
    std::size_t openFiles = 4096;
    double cores = 1;  // of the machine's processor
    Micros grace = 6000000, inTouch = 3000000;
    double retryRatio = 0.2;
    Micros retryWindow = 10000000;
    unsigned extraTries = 0;
    double coldExcess = 1, coldMargin = 0;
    std::uint64_t seed = 1;
    forwarding::Faults faults;  // of tests
};

class RequestForwarder {
public:
    // All calls and handlers on one thread. `tables` must outlive it.
    RequestForwarder(boost::asio::io_context& context, ForwarderSettings settings, upstream::Tables& tables);
    // Over a loop of the caller, which must outlive it; connections come by `accept` only.
    RequestForwarder(http_server::EventLoop& loop, ForwarderSettings settings, upstream::Tables& tables);
    ~RequestForwarder();
    RequestForwarder(const RequestForwarder&) = delete;
    RequestForwarder& operator=(const RequestForwarder&) = delete;

    // A connection of a client that was accepted elsewhere.
    void accept(std::unique_ptr<http_server::ByteStream> stream);
    // Front and readiness. Invalid argument: no address; unavailable: it can't be listened on.
    absl::Status listen();
    // After `Tables::apply`: connections to servers that are gone are closed, what waits is looked at again.
    void tablesChanged();
    // No controller for a while: every server may be cold, budgets shrink.
    void setIsolated(bool isIsolated);
    // Serves on until the platform has stopped sending, finishes what is under way, then calls `done`;
    // shortly before `grace` ends in any case.
    void terminate(std::function<void()> done);
    // Since the last call.
    proto::LoadReport takeLoadReport(Micros now);

    // Ports listened on (tests let the system choose).
    [[nodiscard]] unsigned short frontPort() const;
    [[nodiscard]] unsigned short readinessPort() const;

private:
    class Impl;
    boost::asio::io_context* context_ = nullptr;
    std::shared_ptr<Impl> impl_;
};

}  // namespace marldale::edge_proxy
