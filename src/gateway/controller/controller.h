// One process of control: its part of the replicated log, the registry of servers, the decision modules for
// the proxies that are bound to it, and what it tells them. One thread, and one more that waits for the disk.
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

class Controller : private distribution::DistributionHost {
public:
    Controller(boost::asio::io_context& io, settings::Settings settings);
    ~Controller() override;
    Controller(const Controller&) = delete;
    Controller& operator=(const Controller&) = delete;

    [[nodiscard]] absl::Status start();
    void reload(const settings::Settings& settings);  // seeds
    void stop(std::function<void()> done);            // hands the lead over, lets go of proxies, ends calls

    // ---- for the calls ----
    void beat(proto::Server said, Answer answer);
    void leave(const std::string& id, Answer answer);
    // Ordered by the log, answered once its verdict is known. `about` says in the log which order it is.
    void change(std::string change, std::string about, Answer answer);
    void read(Answer answer);
    // Without it no order is judged, not even one that makes no sense.
    [[nodiscard]] bool inQuorumContact() const;
    [[nodiscard]] std::string status() const;
    [[nodiscard]] const settings::Settings& settings() const { return settings_; }

private:
    struct PeerLink {                           // dialed by this process
        std::shared_ptr<transport::Link> link;  // nothing: none stands
        bool dialing = false;
        Micros nextDial = 0;
    };
    struct BoundProxy {
        std::shared_ptr<transport::Link> link;
        proto::Peer peer;
        bool joined = false;  // the lines' distribution has it
        // It holds no server that this controller doesn't know of.
        bool serversWhole = false;
        std::uint64_t index = 0;  // of the configuration it holds
        transport::EchoReceiver echo;
    };
    struct PeerClock {  // of another controller: how old what it sends is at most
        explicit PeerClock(std::uint64_t start) : sent(start) {}
        transport::EchoSender sent;
        transport::EchoReceiver received;
        Micros delay = 0;  // of its last heartbeat on its way, at most
    };
    struct PendingCall {  // waits in the order queue
        Answer answer;
        std::string about;  // for the log
    };

    struct Departure {
        std::uint64_t turn = 0;       // of distribution, that tells the proxies
        bool isAcknowledged = false;  // here
    };
    struct PendingDeparture {  // waits to be acknowledged
        std::string id;
        Answer answer;
    };

    void acceptInside();
    void arrived(boost::asio::ip::tcp::socket socket);
    void heard(const std::shared_ptr<transport::Link>& link, const proto::Frame& frame);
    void receiveUpdates(const std::shared_ptr<transport::Link>& link, const proto::ServerUpdates& news);
    void heardHello(const std::shared_ptr<transport::Link>& link, const proto::Hello& hello);
    void closed(const transport::Link* link);

    void arm();
    void tick();
    void noteLateness(Micros now);
    void dialPeers(Micros now);
    void forgetPeers(const std::set<std::string>& wanted, Micros now);
    void dialPeer(const std::string& address);
    void sendToPeers(const proto::Frame& frame);
    void heartbeatFromPeer(const transport::Link* link, const proto::Heartbeat& heartbeat, Micros now);
    void loadReport(const transport::Link* link, const proto::LoadReport& report, Micros now);
    void updateAcknowledged(const transport::Link* link, const proto::ServerUpdatesAck& ack);
    void acknowledgeDeparture(const std::string& id, Answer answer, Micros now);
    void askForDepartures(Micros now);
    void noteDeparture(const std::string& id);
    // Once no proxy that is bound here acts on a view from before these departures.
    void whenInForce(const std::vector<std::string>& ids, std::function<void()> then);
    void confirmDepartures(const std::shared_ptr<transport::Link>& link, std::uint64_t number,
                           const std::vector<std::string>& ids);
    void updateBarrier(Micros now);
    [[nodiscard]] std::vector<std::string> controllersWithProxies(Micros now) const;
    void answerConfirmedDepartures(Micros now);
    void endDepartures(const std::vector<DepartureAcks::Number>& numbers, UnavailableReason reason);
    [[nodiscard]] std::string departuresText(Micros now) const;
    [[nodiscard]] DurableCopy::Writer departureWriter();
    void readDepartures(Micros now);
    [[nodiscard]] std::vector<std::string> voterAddresses() const;
    [[nodiscard]] PeerClock& clockOf(const std::string& address);
    [[nodiscard]] Micros delayOf(const transport::Link* link) const;
    void keepHints(Micros now);
    void readHints(Micros now);
    void sendUpdates(Micros now);
    [[nodiscard]] proto::Frame updatesOf(const std::vector<std::string>& ids, bool whole, Micros now) const;
    void endOnceReleased(Micros latest, std::function<void()> done);
    void apart(std::function<void()> step, Micros after);
    void processPending();  // takes what the replica has ready, until it has nothing
    void takeReady();
    [[nodiscard]] bool takeReadyOnce();
    void sendRaftMessages(std::vector<proto::RaftMessage> messages);
    void installSnapshot(const proto::Snapshot& snapshot);
    void noteLeader();
    void applied(const proto::Entry& entry);
    [[nodiscard]] configuration::Verdict applyChange(const proto::Entry& entry, Micros now);
    void deliverReplies();
    [[nodiscard]] Reply replyOf(const OrderReply& reply) const;
    [[nodiscard]] bool whole(Micros now) const;
    // Whether this has heard from a majority recently enough to serve configurations and to answer orders.
    [[nodiscard]] bool inQuorumContact(Micros now) const;

    void writeProxies(StatusWriter& json) const;
    void writeServers(StatusWriter& json, Micros now) const;

    // All servers' resources are derived anew, before the next turn of distribution; or those alone that
    // changed in the registry.
    void serversChanged(Micros now);
    void registryChanged(Micros now);
    void deriveServers(Micros now);
    void addAllServers(std::set<std::string>& ids) const;
    void putAbsent(const std::string& id);
    void updateModuleLists(Micros now);
    void putServer(const registry::Server& server, const proto::ServiceResource* service, Micros now);
    void configurationChanged(Micros now);
    void putDrop(const std::string& id);
    void admit(distribution::ProxyId id, BoundProxy& proxy, Micros now);
    void sendServersWhole(Micros now);
    void wakeDistribution(Micros now);
    void flush(Micros now);
    void fillColdTimes(std::vector<proto::Resource>& resources, Micros now) const;
    void runModules(Micros now) override;

    // What the loop of distribution needs.
    [[nodiscard]] Micros now() const override { return transport::steadyNow(); }
    void post(std::function<void()> step) override { boost::asio::post(io_, std::move(step)); }
    [[nodiscard]] Micros timersDue() const override;
    void runTimers() override { tick(); }
    void distribute(Micros now) override { flush(now); }
    [[nodiscard]] Micros modulesDue() const override { return steering_.nextDue(); }
    void send(const distribution::OutgoingFrame& frame) override;
    void sendHeartbeats(Micros now);
    void sendPeerHeartbeats(Micros now);
    void countProxies(Micros now);
    void endLateDepartures(Micros now);
    void letGo(distribution::ProxyId id);

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
    boost::asio::ip::tcp::acceptor inside_;
    boost::asio::steady_timer timer_;
    Micros armedFor_ = 0;

    std::map<std::string, PeerLink> peers_;                                    // by inside address
    std::map<const transport::Link*, std::shared_ptr<transport::Link>> open_;  // accepted
    std::map<const transport::Link*, std::string> names_;                      // greeted on: inside address
    std::map<distribution::ProxyId, BoundProxy> proxies_;
    std::map<const transport::Link*, distribution::ProxyId> proxyOf_;
    distribution::ProxyId lastProxy_ = 0;
    distribution::ResourceDistributor distributor_;
    distribution::ConfigurationResources configurationResources_{distributor_};
    distribution::DistributionLoop distributionLoop_;
    bool allServersChanged_ = false, moduleListChanged_ = false;
    Micros nextModuleList_ = 0;
    bool flushDue_ = false;  // something is to go out, as soon as the schedule lets it
    log::LoopLateness loopLateness_;

    std::unique_ptr<ReplicaLog> log_;
    std::unique_ptr<OrderQueue> orders_;
    std::map<OrderId, PendingCall> pendingCalls_;
    OrderId lastOrder_ = 0;
    DurableCopy departureCopy_;
    DepartureAcks departureAcks_;
    std::map<DepartureAcks::Number, std::vector<PendingDeparture>> departureAnswers_;
    std::vector<PendingDeparture> newDepartures_;  // of this turn of the loop
    std::map<std::string, Departure> departures_;  // by id
    distribution::DistributionBarrier barrier_;
    DepartureAcks::Number lastDeparture_ = 0;
    std::set<std::string> updatesDue_;
    std::map<std::string, PeerClock> peerClocks_;  // by inside address
    std::map<std::string, std::pair<Micros, std::uint32_t>>
        proxiesAt_;                // of other controller: when told, how many
    std::size_t proxiesMost_ = 0;  // of the last half minute: parts that were handed out may still be in use
    Micros proxiesMostAt_ = 0;
    bool gotWhole_ = false, stopping_ = false, working_ = false;
    std::string lastLeader_;
    Micros nextHeartbeat_ = 0, nextUpdates_ = 0, nextSweep_ = 0, nextHints_ = 0;
    raft::CompactionPolicy compaction_;
    std::vector<std::string> contacts_;
};

}  // namespace marldale::controller
