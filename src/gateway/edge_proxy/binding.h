// The link between an edge proxy and the controller that it follows; which one that is, and when it is
// doubted, is decided by ControllerSelection, when others are dialed by ControllerSearch. Without a
// controller the proxy serves on with what it holds.
#pragma once

#include <utility>  // Boost 1.74 forgets it

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

class Binding {
public:
    struct Ends {
        // Takes a batch; false: it is older than what is held.
        std::function<bool(const proto::ResourceBatch&, Micros)> applyBatch;
        std::function<std::uint64_t()> index;  // of the configuration that is held
        std::function<proto::LoadReport(Micros)> sums;
        upstream::ViewLease& view;
        std::function<void(bool)> stranded;  // no controller in contact with a majority is in reach
    };
    Binding(boost::asio::io_context& io, const settings::Settings& settings, Ends ends);
    [[nodiscard]] absl::Status start();
    void reload(const settings::Settings& settings);
    void stop();  // binds to nobody any more; the last load report is sent

private:
    void tick();
    void arm(Micros after);
    void checkLink(Micros now);
    void choose(Micros now);
    void dial(const std::string& address, Micros now);
    void dialEnded(std::shared_ptr<transport::Link> link, const std::string& address);
    void bound(std::shared_ptr<transport::Link> link, const std::string& address);
    void heard(const proto::Frame& frame);
    void heartbeat(const proto::Heartbeat& heartbeat, Micros now);
    void sendMark(Micros now);
    void sendLoadReport(Micros now);
    void leave(LeaveReason reason);
    void closeLink(LeaveReason reason);
    void noteStranded(Micros now);
    void noteView(Micros now);

    boost::asio::io_context& io_;
    std::uint64_t incarnation_;
    gossip::View view_;
    proto::Peer self_;
    transport::Datagrams datagrams_;
    Ends ends_;
    boost::asio::steady_timer timer_;
    ControllerSelection selection_;
    ControllerSearch search_;
    std::shared_ptr<transport::Link> link_;
    bool stranded_ = false, stopping_ = false, mayChoose_ = true;
    Micros nextReport_ = 0, settledAt_ = 0;
    Micros armedFor_ = 0;
    log::LoopLateness lateness_;
    std::uint32_t proxies_ = 0;
};

}  // namespace marldale::edge_proxy
