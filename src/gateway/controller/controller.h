// One controller process: its replica of the log, its registry of servers, the decision modules for the edge
// proxies bound to it, and the distribution of resources to those proxies. It runs on one thread, plus one
// that waits for the disk.
#pragma once

#include <utility>  // Boost 1.74 forgets it

#include <boost/asio.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "gateway/configuration/configuration_store.h"
#include "gateway/controller/control_server.h"
#include "gateway/controller/departure_acks.h"
#include "gateway/controller/disk_writer.h"
#include "gateway/controller/durable_copy.h"
#include "gateway/controller/order_queue.h"
#include "gateway/distribution/configuration_resources.h"
#include "gateway/distribution/distribution_barrier.h"
#include "gateway/distribution/distribution_loop.h"
#include "gateway/distribution/resource_distributor.h"
#include "gateway/distribution/steering.h"
#include "gateway/gossip/view.h"
#include "gateway/log/loop_lateness.h"
#include "gateway/raft/compaction_policy.h"
#include "gateway/raft/replica.h"
#include "gateway/registry/registry.h"
#include "gateway/settings/settings.h"
#include "gateway/transport/datagrams.h"
#include "gateway/transport/echo.h"
#include "gateway/transport/link.h"

namespace marldale::controller {

namespace proto = gateway::proto;
class StatusWriter;

/// The controller process.
class Controller : private distribution::DistributionHost {
public:
    Controller(boost::asio::io_context& io, settings::Settings settings);
    ~Controller() override;
    Controller(const Controller&) = delete;
    Controller& operator=(const Controller&) = delete;

    /// Opens the log and the sockets, and starts the timer.
    [[nodiscard]] absl::Status start();
    /// Takes over the seeds of the new settings; other settings are not reloaded.
    void reload(const settings::Settings& settings);
    /// Hands over leadership, releases the edge proxies and ends pending calls; then calls `done`.
    void stop(std::function<void()> done);

    // ---- handlers of the HTTP calls ----
    /// Takes a server's heartbeat. A departure is answered once it is acknowledged.
    void beat(const proto::Server& server, ReplyCallback sendReply);
    /// Signs a server off; answered once its departure is acknowledged.
    void leave(const std::string& id, ReplyCallback sendReply);
    /// Submits an order to the log; answered once its verdict is known. `description` names the order in the
    /// log output.
    void change(std::string change, std::string description, ReplyCallback sendReply);
    /// Refuses an order that is invalid on any version: gives `refusal` in contact with a majority of the
    /// controllers, otherwise 503 like any other order. The order never enters the log.
    void refuse(Reply refusal, std::string description, ReplyCallback sendReply);
    /// Answers with the newest configuration, by a linearizable read.
    void read(ReplyCallback sendReply);
    /// Whether a majority was heard from recently. Without it no order is confirmed or refused.
    [[nodiscard]] bool inQuorumContact() const;
    /// The body of the status reply, in JSON.
    [[nodiscard]] std::string status() const;
    [[nodiscard]] const settings::Settings& settings() const { return settings_; }

private:
    struct PeerLink {                           // a link dialed by this process
        std::shared_ptr<transport::Link> link;  // null if not connected
        bool dialing = false;
        Micros nextDialAt = 0;
    };
    struct BoundProxy {
        std::shared_ptr<transport::Link> link;
        proto::Peer peer;
        bool inDistribution = false;  // it has joined the distribution of resources
        // It holds no server that this controller does not know of.
        bool serverListComplete = false;
        std::uint64_t configurationIndex = 0;  // of the configuration it holds
        transport::EchoReceiver echo;
    };
    struct PeerClock {  // bounds the age of messages from another controller
        explicit PeerClock(std::uint64_t start) : sender(start) {}
        transport::EchoSender sender;
        transport::EchoReceiver receiver;
        Micros maxDelay = 0;  // upper bound of the transit time of its last heartbeat
    };
    struct PendingCall {  // a call in the order queue
        ReplyCallback sendReply;
        std::string description;                      // for the log output
        std::optional<Reply> refusal = std::nullopt;  // of an order that is known to be invalid
    };

    struct Departure {
        std::uint64_t distributionTurn = 0;  // the turn of distribution that tells the proxies
        bool isAcknowledged = false;         // by this controller
    };
    struct PendingDeparture {  // not acknowledged yet
        std::string id;
        ReplyCallback sendReply;
    };

    void acceptInside();
    void onConnectionAccepted(boost::asio::ip::tcp::socket socket);
    void onFrame(const std::shared_ptr<transport::Link>& link, const proto::Frame& frame);
    void onServerUpdates(const std::shared_ptr<transport::Link>& link, const proto::ServerUpdates& updates);
    void onHello(const std::shared_ptr<transport::Link>& link, const proto::Hello& hello);
    void onLinkClosed(const transport::Link* link);

    void armTimer();
    void tick();
    void reportLoopLateness(Micros now);
    void dialPeers(Micros now);
    void removeStalePeers(const std::set<std::string>& wanted, Micros now);
    void dialPeer(const std::string& address);
    void sendToPeers(const proto::Frame& frame);
    void onPeerHeartbeat(const transport::Link* link, const proto::Heartbeat& heartbeat, Micros now);
    void onLoadReport(const transport::Link* link, const proto::LoadReport& report, Micros now);
    void onUpdatesAck(const transport::Link* link, const proto::ServerUpdatesAck& ack);
    void acknowledgeDeparture(const std::string& id, ReplyCallback sendReply, Micros now);
    void requestDepartureAcks(Micros now);
    void recordDeparture(const std::string& id);
    // Calls `then` once no proxy bound to this controller acts on a view from before these departures.
    void whenInForce(const std::vector<std::string>& ids, std::function<void()> then);
    void confirmDepartures(const std::shared_ptr<transport::Link>& link, std::uint64_t number,
                           const std::vector<std::string>& ids);
    void updateBarrier(Micros now);
    [[nodiscard]] std::vector<std::string> controllersWithProxies(Micros now) const;
    void answerConfirmedDepartures(Micros now);
    void failDepartures(const std::vector<DepartureAcks::RequestNumber>& numbers, UnavailableReason reason);
    [[nodiscard]] std::string serializedDepartures(Micros now) const;
    [[nodiscard]] DurableCopy::Writer departureWriter();
    void loadDepartures(Micros now);
    [[nodiscard]] std::vector<std::string> voterAddresses() const;
    [[nodiscard]] PeerClock& clockOf(const std::string& address);
    [[nodiscard]] Micros maxDelayOf(const transport::Link* link) const;
    void saveServerHints(Micros now);
    void loadServerHints(Micros now);
    void sendUpdates(Micros now);
    [[nodiscard]] proto::Frame updatesFrame(const std::vector<std::string>& ids, bool all, Micros now) const;
    void exitWhenReleased(Micros latest, std::function<void()> done);
    void runAfter(std::function<void()> step, Micros delay);
    // Processes what the replica has ready until nothing is left, then what depends on it.
    void processPending();
    void takeReady();
    [[nodiscard]] bool takeReadyOnce();
    void sendRaftMessages(std::vector<proto::RaftMessage> messages);
    void installSnapshot(const proto::Snapshot& snapshot);
    void logLeaderChange();
    void applyEntry(const proto::Entry& entry);
    [[nodiscard]] configuration::Verdict applyChange(const proto::Entry& entry, Micros now);
    void deliverReplies();
    [[nodiscard]] Reply replyOf(const OrderReply& reply) const;
    // Whether this controller can be expected to know all servers.
    [[nodiscard]] bool knowsAllServers(Micros now) const;
    // Whether a majority was heard from recently enough to distribute resources and to answer orders.
    [[nodiscard]] bool inQuorumContact(Micros now) const;

    void writeProxies(StatusWriter& json) const;
    void writeServers(StatusWriter& json, Micros now) const;

    // Derives the resources of all servers again before the next turn of distribution.
    void markAllServersChanged(Micros now);
    // Derives only the resources of the servers that changed in the registry.
    void onRegistryChanged(Micros now);
    void deriveServerResources(Micros now);
    void addAllServerIds(std::set<std::string>& ids) const;
    void putAbsentServer(const std::string& id);
    void updateModuleLists(Micros now);
    void putServer(const registry::Server& server, const proto::ServiceResource* service, Micros now);
    void onConfigurationChanged(Micros now);
    void putServerDrop(const std::string& id);
    void admitToDistribution(distribution::ProxyId id, BoundProxy& proxy, Micros now);
    void sendServerListComplete(Micros now);
    void wakeDistribution(Micros now);
    void distributeResources(Micros now);
    void fillColdTimes(std::vector<proto::Resource>& resources, Micros now) const;
    void runModules(Micros now) override;

    // The rest of DistributionHost.
    [[nodiscard]] Micros now() const override { return transport::steadyNow(); }
    void post(std::function<void()> step) override { boost::asio::post(io_, std::move(step)); }
    [[nodiscard]] Micros timersDue() const override;
    void runTimers() override { tick(); }
    void distribute(Micros now) override { distributeResources(now); }
    [[nodiscard]] Micros modulesDue() const override { return steering_.nextDue(); }
    void send(const distribution::OutgoingFrame& frame) override;
    void sendHeartbeats(Micros now);
    void sendPeerHeartbeats(Micros now);
    void updateProxyCount(Micros now);
    void expireDepartures(Micros now);
    void releaseProxy(distribution::ProxyId id);

    boost::asio::io_context& io_;
    settings::Settings settings_;
    const Micros startedAt_;
    std::uint64_t incarnation_;
    gossip::View view_;
    transport::Datagrams datagrams_;
    registry::Registry registry_;
    configuration::ConfigurationStore configurations_;
    distribution::Steering steering_;
    std::unique_ptr<raft::Replica> replica_;
    std::unique_ptr<DiskWriter> disk_;
    ControlServer control_;
    boost::asio::ip::tcp::acceptor insideAcceptor_;
    boost::asio::steady_timer timer_;
    Micros timerDue_ = 0;  // 0: the timer is not armed

    std::map<std::string, PeerLink> peers_;  // by inside address
    std::map<const transport::Link*, std::shared_ptr<transport::Link>> acceptedLinks_;
    std::map<const transport::Link*, std::string> peerAddresses_;  // inside address, from the greeting
    std::map<distribution::ProxyId, BoundProxy> proxies_;
    std::map<const transport::Link*, distribution::ProxyId> proxyByLink_;
    distribution::ProxyId lastProxyId_ = 0;
    distribution::ResourceDistributor distributor_;
    distribution::ConfigurationResources configurationResources_{distributor_};
    distribution::DistributionLoop distributionLoop_;
    bool allServersChanged_ = false, moduleListChanged_ = false;
    Micros nextModuleList_ = 0;
    bool distributionDue_ = false;  // distribution is to be requested from the schedule
    log::LoopLateness loopLateness_;

    std::unique_ptr<ReplicaLog> replicatedLog_;
    std::unique_ptr<OrderQueue> orders_;
    std::map<OrderId, PendingCall> pendingCalls_;
    OrderId lastOrderId_ = 0;
    DurableCopy departureCopy_;
    DepartureAcks departureAcks_;
    std::map<DepartureAcks::RequestNumber, std::vector<PendingDeparture>> pendingDepartures_;
    std::vector<PendingDeparture> newDepartures_;  // that came in this iteration of the event loop
    std::map<std::string, Departure> departures_;  // by server id
    distribution::DistributionBarrier barrier_;
    DepartureAcks::RequestNumber lastDepartureRequest_ = 0;
    std::set<std::string> updatesDue_;             // ids of servers
    std::map<std::string, PeerClock> peerClocks_;  // by inside address
    // The number of proxies bound to each other controller, and when it was reported; by inside address.
    std::map<std::string, std::pair<Micros, std::uint32_t>> peerProxyCounts_;
    // The largest number of proxies of the last half minute: shares that were handed out may still be in use.
    std::size_t recentMaxProxies_ = 0;
    Micros recentMaxProxiesAt_ = 0;
    bool receivedAllServers_ = false, stopping_ = false, processing_ = false;
    std::string lastLeader_;
    Micros nextHeartbeat_ = 0, nextUpdates_ = 0, nextSweep_ = 0, nextHints_ = 0;
    raft::CompactionPolicy compaction_;
    std::vector<std::string> contacts_;
};

}  // namespace marldale::controller
