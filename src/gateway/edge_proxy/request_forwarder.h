// Data path of an edge proxy: accepts requests from clients, forwards them to servers according to its
// tables, and returns the answers. Also answers the platform's readiness probe.
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

// Settings of a forwarder; times in microseconds.
struct ForwarderSettings {
    std::string front, readiness;  // listening addresses, such as "10.1.0.34:8548"
    std::string zone;
    std::size_t openFiles = 4096;
    double cores = 1;  // processor cores of the machine
    Micros grace = 6000000, inTouch = 3000000;
    double retryRatio = 0.2;
    Micros retryWindow = 10000000;
    unsigned extraTries = 0;
    double coldExcess = 1, coldMargin = 0;
    std::uint64_t seed = 1;
    forwarding::Faults faults;  // set by tests only
};

// Forwards requests of clients to servers.
class RequestForwarder {
public:
    // All calls and handlers run on one thread. `tables` must outlive this object.
    RequestForwarder(boost::asio::io_context& context, ForwarderSettings settings, upstream::Tables& tables);
    // Uses the caller's loop, which must outlive this object; connections arrive through `accept` only.
    RequestForwarder(http_server::EventLoop& loop, ForwarderSettings settings, upstream::Tables& tables);
    ~RequestForwarder();
    RequestForwarder(const RequestForwarder&) = delete;
    RequestForwarder& operator=(const RequestForwarder&) = delete;

    // Takes over a client connection accepted elsewhere.
    void accept(std::unique_ptr<http_server::ByteStream> stream);
    // Listens on both addresses. Invalid argument: not an address; unavailable: cannot listen on it.
    absl::Status listen();
    // To be called after `Tables::apply`: closes connections to removed servers and rechecks queued requests.
    void tablesChanged();
    // Without a controller for a while every server may be cold, and retry budgets shrink.
    void setIsolated(bool isIsolated);
    // Serves until the platform has stopped sending, finishes pending requests, then calls `done`; at the
    // latest shortly before `grace` ends.
    void terminate(std::function<void()> done);
    // Counters since the last call.
    proto::LoadReport takeLoadReport(Micros now);

    // Listening ports (tests let the system choose them).
    [[nodiscard]] unsigned short frontPort() const;
    [[nodiscard]] unsigned short readinessPort() const;

private:
    class Impl;
    boost::asio::io_context* context_ = nullptr;
    std::shared_ptr<Impl> impl_;
};

}  // namespace marldale::edge_proxy
