// The gRPC front: one server, one completion queue, one thread that all streams belong to.
#pragma once

#include <grpcpp/alarm.h>
#include <grpcpp/grpcpp.h>

#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "grpc/credentials.h"
#include "grpc/peer_links.h"
#include "grpc/stream.h"
#include "marldale/v1/assignments.grpc.pb.h"
#include "marldale/v1/peers.grpc.pb.h"
#include "marldale/v1/reports.grpc.pb.h"
#include "membership/report_ledger.h"
#include "membership/report_pacer.h"
#include "routing/front.h"

namespace marldale::grpc_front {

class AssignStream;
class ReportStream;

// Who has opened a stream, and what for it may speak.
struct Guest {
    std::string peer;                // its address, for the log
    std::vector<std::string> names;  // of its certificate
    membership::Permissions passport;
    ::grpc::Status refused;  // not OK: it may not stay
};

class Server : public routing::Front {
public:
    Server(const routing::FrontSettings& settings, routing::FrontHost host);
    ~Server() override;

    [[nodiscard]] std::uint16_t port() const override { return static_cast<std::uint16_t>(port_); }
    void carryOut(std::vector<routing::FrontCommand> commands) override;
    void renew(const routing::FrontSettings& settings) override;
    [[nodiscard]] routing::PeerLink* peers() override { return links_.get(); }
    void stop(std::int64_t withinMs) override;

    // ---- For the streams, in the queue's thread ----

    struct Node {
        routing::SourceId source = 0;  // the same over all streams of the node
        ReportStream* reports = nullptr;
        AssignStream* assignments = nullptr;
        Micros seen = 0;
    };
    [[nodiscard]] const routing::FrontHost& host() const { return host_; }
    [[nodiscard]] Micros now() const;
    // The node's entry; null if there are too many nodes.
    [[nodiscard]] Node* node(const std::string& id);
    [[nodiscard]] Guest guest(const ::grpc::ServerContext& context);
    [[nodiscard]] std::optional<membership::Permissions> passport(const std::vector<std::string>& names);
    membership::ReportLedger& ledger() { return ledger_; }
    membership::ReportPacer& pacer() { return pacer_; }
    [[nodiscard]] dispatch::LaneId newLane(AssignStream* stream);
    void laneEnded(dispatch::LaneId lane) { lanes_.erase(lane); }
    // What a stream that has ended could not post any more; it is posted as soon as there is room.
    void leaveBehind(std::deque<routing::Input> inputs);
    // Each has a client now: another one waits for the next.
    void reportsOpened() { listenForReports(); }
    void assignmentsOpened() { listenForAssignments(); }
    void peersOpened() { listenForPeers(); }
    // Instances that are being handed a copy of what is known.
    [[nodiscard]] std::size_t askers() const { return askers_; }
    void askerCame() { ++askers_; }
    void askerWent() { --askers_; }
    [[nodiscard]] Micros helloWithin() const { return helloWithin_; }
    [[nodiscard]] bool full() const { return open_ > streamsMost_; }
    void opened() { ++open_; }
    void closed() { --open_; }
    [[nodiscard]] ::grpc::ServerCompletionQueue* queue() { return queue_.get(); }

private:
    void listenForReports();
    void listenForAssignments();
    void listenForPeers();
    [[nodiscard]] std::shared_ptr<::grpc::ChannelCredentials> credentialsForPeers();
    void run();
    void tick();
    void armTick();
    void post(std::function<void()> task);  // from any thread
    void runPosted();
    void carryOutHere(std::vector<routing::FrontCommand>& commands);
    void bury();
    void shutQueue();

    const routing::FrontHost host_;
    const bool plain_;
    const std::size_t streamsMost_;
    const Micros helloWithin_;
    std::optional<KeyRing> ring_;
    std::mutex passportsMutex_;
    membership::PermissionTable passports_;

    v1::LoadReports::AsyncService reports_;
    v1::Assignments::AsyncService assignments_;
    v1::Peers::AsyncService peers_;
    std::unique_ptr<PeerLinks> links_;
    std::unique_ptr<::grpc::ServerCompletionQueue> queue_;
    std::unique_ptr<::grpc::Server> server_;
    int port_ = 0;

    // Of the queue's thread.
    std::vector<std::unique_ptr<AnyStream>> streams_;
    std::map<dispatch::LaneId, AssignStream*> lanes_;
    std::map<std::string, Node> nodes_;
    membership::ReportLedger ledger_;
    membership::ReportPacer pacer_;
    std::deque<routing::Input> orphans_;
    dispatch::LaneId lastLane_ = 0;
    routing::SourceId lastSource_ = 0;
    std::size_t open_ = 0, askers_ = 0;
    ::grpc::Alarm tickAlarm_;
    Tag tickTag_;

    std::mutex mutex_;  // of what follows
    std::vector<std::function<void()>> posted_;
    bool woken_ = false, stopping_ = false;
    ::grpc::Alarm wakeAlarm_;
    Tag wakeTag_;

    std::thread thread_;
};

}  // namespace marldale::grpc_front
