// The link between an edge proxy and the controller that it follows. ControllerSelection decides which
// controller to follow and when to suspect it; ControllerSearch decides when to dial others. Without a
// controller the proxy continues with its last configuration.
#pragma once

#include <utility>  // missing in Boost 1.74's headers

#include <boost/asio.hpp>
#include <functional>
#include <memory>
#include <string>

#include "gateway/edge_proxy/controller_search.h"
#include "gateway/edge_proxy/controller_selection.h"
#include "gateway/gossip/view.h"
#include "gateway/log/loop_lateness.h"
#include "gateway/settings/settings.h"
#include "gateway/transport/datagrams.h"
#include "gateway/transport/link.h"
#include "gateway/upstream/view_lease.h"

namespace marldale::edge_proxy {

namespace proto = gateway::proto;

// Maintains the connection to a controller and applies what it sends.
class Binding {
public:
    // The proxy's functions that the binding uses.
    struct Callbacks {
        // Applies a batch; false if it is older than the current configuration.
        std::function<bool(const proto::ResourceBatch&, Micros)> applyBatch;
        std::function<std::uint64_t()> configurationIndex;  // of the current configuration
        std::function<proto::LoadReport(Micros)> takeLoadReport;
        upstream::ViewLease& view;
        std::function<void(bool)> setIsolated;  // no controller with a quorum is reachable
    };
    Binding(boost::asio::io_context& io, const settings::Settings& settings, Callbacks callbacks);
    [[nodiscard]] absl::Status start();
    void reload(const settings::Settings& settings);
    void stop();  // sends the last load report and selects no further controller

private:
    void tick();
    void startTimer(Micros after);
    void checkLink(Micros now);
    void choose(Micros now);
    void dial(const std::string& address, Micros now);
    void dialEnded(std::shared_ptr<transport::Link> link, const std::string& address);
    void onLinkOpened(std::shared_ptr<transport::Link> link, const std::string& address);
    void onFrame(const proto::Frame& frame);
    void onHeartbeat(const proto::Heartbeat& heartbeat, Micros now);
    void sendMark(Micros now);
    void sendLoadReport(Micros now);
    void leave(LeaveReason reason);
    void closeLink(LeaveReason reason);
    void updateIsolated(Micros now);
    void logViewChange(Micros now);

    boost::asio::io_context& io_;
    std::uint64_t incarnation_;
    gossip::View view_;
    proto::Peer self_;
    transport::Datagrams datagrams_;
    Callbacks callbacks_;
    boost::asio::steady_timer timer_;
    ControllerSelection selection_;
    ControllerSearch search_;
    std::shared_ptr<transport::Link> link_;
    bool isolated_ = false, stopping_ = false, couldChoose_ = true;
    Micros nextReport_ = 0, settledAt_ = 0;
    Micros timerDueAt_ = 0;
    log::LoopLateness lateness_;
    std::uint32_t proxies_ = 0;
};

}  // namespace marldale::edge_proxy
