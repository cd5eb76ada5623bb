// The order queue, the configuration store and the log of three real replicas together, with leader changes
// and links cut in one or both directions. Virtual time.
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "gateway/configuration/configuration_store.h"
#include "gateway/controller/order_queue.h"

namespace marldale::controller {
namespace {

constexpr Micros kSecond = 1000000, kStepUs = 10000;
constexpr std::size_t kNodeCount = 3;

std::string orderOf(std::uint64_t version, std::uint64_t builtOn, const std::string& path = "/x/") {
    return configuration::replaceChange(
        R"({"version":)" + std::to_string(version) + R"(,"built_on":)" + std::to_string(builtOn) +
        R"(,"limits":{"max_header_bytes":16384,"max_body_bytes":1000,"header_wait":"3000ms","quiet":"2.5s"},"listeners":[{"host_name":"h.example","rules":[{"name":"r","route_kind":"read_only","target":"300ms","rank":2,"match":{"path_start":")" +
        path +
        R"("},"action":{"service":"a","give_up":"2000ms","tries":2}}]}],"groups":[{"name":"a","health_path":"/health","max_connections":96,"warm_up":"3s","cold_per_s":19.0}]})");
}

struct Node {
    Node(raft::Settings settings, const raft::PersistentState& stored)
        : replica(std::move(settings), stored, 0) {}
    raft::Replica replica;
    ReplicaLog log{replica};
    OrderQueue queue{log, {}};
    configuration::ConfigurationStore store;
};

struct Cluster {
    Cluster() {
        raft::Settings settings;
        for (std::size_t index = 0; index < kNodeCount; ++index)
            settings.seeds.push_back(std::to_string(index));
        for (std::size_t index = 0; index < kNodeCount; ++index) {
            raft::PersistentState stored;
            stored.self.set_address(std::to_string(index));
            settings.seed = index + 1;
            nodes.push_back(std::make_unique<Node>(settings, stored));
        }
        run(3 * kSecond);
    }
    void takeReady(std::size_t index) {
        Node& node = *nodes[index];
        raft::Ready ready = node.replica.take();
        for (const raft::Write& write : ready.writes) node.replica.persisted(now, write.number);
        if (ready.install) {
            node.queue.installed(ready.install->index());
            REQUIRE(node.store.restore(ready.install->data()).ok());
        }
        for (const auto& entry : ready.committed) {
            auto verdict = configuration::Verdict::invalid;
            if (entry.kind() == raft::proto::Entry::CHANGE)
                verdict = node.store.apply(entry.index(), entry.data());
            node.queue.committed(entry.index(), entry.term(), verdict);
            if (snapshots) node.replica.compact(now, entry.index(), node.store.snapshot());
        }
        for (const raft::ReadResult& end : ready.reads) node.queue.readEnded(end);
        for (const auto& message : ready.messages) {
            const std::size_t to = std::stoul(message.to().address());
            if (delivers(index, to)) nodes[to]->replica.receive(now, message);
        }
        node.queue.update(now);
        for (OrderReply& reply : node.queue.takeReplies()) replies[reply.id] = std::move(reply);
    }
    void run(Micros span) {
        for (const Micros end = now + span; now < end; now += kStepUs) {
            for (auto& node : nodes) node->replica.tick(now);
            // Messages arrive and are answered within the step in which they are sent.
            for (int round = 0; round < 6; ++round)
                for (std::size_t index = 0; index < kNodeCount; ++index) takeReady(index);
        }
    }
    // The leader among the nodes for which `matches` holds.
    [[nodiscard]] std::size_t leader(const std::function<bool(std::size_t)>& matches) const {
        for (std::size_t index = 0; index < kNodeCount; ++index)
            if (matches(index) && nodes[index]->replica.leads()) return index;
        FAIL("no node leads");
        return 0;
    }
    [[nodiscard]] std::size_t leader() const {
        return leader([](std::size_t) { return true; });
    }
    [[nodiscard]] std::size_t leaderOtherThan(std::size_t other) const {
        return leader([other](std::size_t index) { return index != other; });
    }
    void submit(std::size_t at, OrderId id, const std::string& change) {
        nodes[at]->queue.submit(now, id, change);
    }
    OrderOutcome outcome(OrderId id) {
        REQUIRE(replies.count(id) == 1);
        return replies.at(id).outcome;
    }

    Micros now = 0;
    bool snapshots = false;
    std::vector<std::unique_ptr<Node>> nodes;
    std::map<OrderId, OrderReply> replies;
    std::function<bool(std::size_t, std::size_t)> delivers = [](std::size_t, std::size_t) { return true; };
};

}  // namespace

TEST_CASE("The same order through a new leader is confirmed, a conflicting one is rejected", "[orders]") {
    Cluster cluster;
    cluster.snapshots = GENERATE(false, true);
    const std::size_t oldLeader = cluster.leader();
    SECTION("the first try is in the old leader's log alone") {
        cluster.delivers = [oldLeader](std::size_t from, std::size_t to) {
            return from != oldLeader && to != oldLeader;
        };
        cluster.submit(oldLeader, 1, orderOf(1, 0));
        cluster.run(4 * kSecond);
        CHECK(cluster.outcome(1) == OrderOutcome::unavailable);
    }
    SECTION("the first try is committed, and its answer is lost") {
        cluster.submit(oldLeader, 1, orderOf(1, 0));
        cluster.run(kSecond);
        CHECK(cluster.outcome(1) == OrderOutcome::confirmed);
        cluster.delivers = [oldLeader](std::size_t from, std::size_t to) {
            return from != oldLeader && to != oldLeader;
        };
        cluster.run(4 * kSecond);
    }
    const std::size_t newLeader = cluster.leaderOtherThan(oldLeader);
    cluster.submit(newLeader, 2, orderOf(1, 0));
    cluster.submit(newLeader, 3, orderOf(1, 0, "/other/"));
    cluster.submit(newLeader, 4, orderOf(2, 1));
    cluster.submit(newLeader, 5, orderOf(1, 0));
    cluster.run(kSecond);
    CHECK(cluster.outcome(2) == OrderOutcome::confirmed);
    CHECK(cluster.outcome(3) == OrderOutcome::rejectedStale);
    CHECK(cluster.outcome(4) == OrderOutcome::confirmed);
    CHECK(cluster.outcome(5) == OrderOutcome::confirmed);
    cluster.delivers = [](std::size_t, std::size_t) { return true; };
    cluster.run(5 * kSecond);
    for (const auto& node : cluster.nodes) CHECK(node->store.configuration().version == 2);
    CHECK(cluster.nodes[0]->store.json() == cluster.nodes[oldLeader]->store.json());
}

TEST_CASE("A leader that is cut off for twenty seconds, one way or both, decides nothing", "[orders]") {
    Cluster cluster;
    const std::size_t oldLeader = cluster.leader();
    const bool receives = GENERATE(false, true), sends = GENERATE(false, true);
    if (receives && sends) return;
    CAPTURE(receives, sends);
    cluster.submit(oldLeader, 1, orderOf(1, 0));
    cluster.run(kSecond);
    REQUIRE(cluster.outcome(1) == OrderOutcome::confirmed);
    cluster.delivers = [&](std::size_t from, std::size_t to) {
        return (from != oldLeader || sends) && (to != oldLeader || receives);
    };
    cluster.run(3 * kSecond);
    const std::size_t newLeader = cluster.leaderOtherThan(oldLeader);
    cluster.submit(newLeader, 2, orderOf(2, 1));
    cluster.run(kSecond);
    CHECK(cluster.outcome(2) == OrderOutcome::confirmed);
    for (OrderId id = 100; id < 116; ++id) {
        if (id % 2 == 0) cluster.submit(oldLeader, id, orderOf(2, 1, "/rival/"));
        if (id % 2 == 1) cluster.nodes[oldLeader]->queue.read(cluster.now, id);
        cluster.run(kSecond);
        const OrderOutcome outcome = cluster.outcome(id);
        // An old leader that still receives messages may redirect to the new one.
        CHECK((outcome == OrderOutcome::unavailable || (receives && outcome == OrderOutcome::redirect)));
    }
    cluster.delivers = [](std::size_t, std::size_t) { return true; };
    cluster.run(5 * kSecond);
    CHECK(cluster.nodes[oldLeader]->store.configuration().version == 2);
    CHECK(cluster.nodes[oldLeader]->queue.inContact(cluster.now));
}

}  // namespace marldale::controller
