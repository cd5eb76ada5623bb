// A controller: the replicated log and the configuration store as they are in service, with the orders that
// wait for them and the proxies that are bound, over a simulated environment.
#pragma once

#include <map>
#include <optional>

#include "environment.h"
#include "gateway/configuration/configuration_store.h"
#include "gateway/settings/settings.h"
#include "gateway/transport/echo.h"

namespace marldale::simulation {

class ControllerProcess : public Process {
public:
    // What is seen of a controller from within its own machine; for the rules only.
    struct Observer {
        std::function<void(NodeId caller, const OrderAnswer&)> answers;
        std::function<void(NodeId proxy, const InForce&)> serves;
        std::function<void(const raft::proto::Entry&)> applies;
    };
    ControllerProcess(Environment& environment, const raft::Settings& settings, raft::PersistentState stored,
                      const settings::Bounds& bounds, const Faults& faults, Observer observer);

    void start() override;
    void receive(NodeId from, const Message& message) override;
    void written(std::uint64_t number) override;
    void terminate() override;

    [[nodiscard]] const raft::Replica& replica() const { return replica_; }
    [[nodiscard]] const configuration::ConfigurationStore& store() const { return store_; }

private:
    struct BoundProxy {
        std::uint64_t binding = 0, index = 0;
        bool admitted = false;
        std::uint64_t sent = 0, acknowledged = 0;
        Micros sentAt = 0;
        transport::EchoReceiver echo;
    };
    struct Caller {
        NodeId node = 0;
        std::uint64_t attempt = 0;
    };
    void tick();
    void arm();
    void work();
    void order(NodeId from, const OrderRequest& request);
    void answer(const Caller& caller, Status status, std::string text = {}, NodeId location = 0);
    void deliverReplies();
    void apply(const raft::proto::Entry& entry);
    void restore(const raft::proto::Snapshot& snapshot);
    void stateChanged();
    void heartbeat();
    void distribute();
    [[nodiscard]] bool inContact() const;

    Environment& environment_;
    Faults faults_;
    Observer observer_;
    raft::Replica replica_;
    configuration::ConfigurationStore store_;
    std::shared_ptr<const InForce> state_ = std::make_shared<InForce>();
    std::map<NodeId, BoundProxy> proxies_;
    controller::ReplicaLog log_{replica_};
    controller::OrderQueue orders_;
    std::map<controller::OrderId, Caller> callers_;
    std::uint64_t lastOrder_ = 0, sinceSnapshot_ = 0;
    Micros armedFor_ = 0, nextHeartbeat_ = 0;
    bool stopping_ = false;
};

[[nodiscard]] std::string addressOf(NodeId node);
[[nodiscard]] NodeId nodeAt(const std::string& address);

}  // namespace marldale::simulation
