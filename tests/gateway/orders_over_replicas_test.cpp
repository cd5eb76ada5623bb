// Orders over three real replicas: the queue, the register and the log together, with links that are cut one
// way or both, and a leader that changes. Virtual time.
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "gateway/configuration/configuration_store.h"
#include "gateway/controller/order_queue.h"

namespace marldale::controller {
namespace {

constexpr Micros kSecond = 1000000, kStep = 10000;
constexpr std::size_t kNodes = 3;

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
        for (std::size_t k = 0; k < kNodes; ++k) settings.seeds.push_back(std::to_string(k));
        for (std::size_t k = 0; k < kNodes; ++k) {
            raft::PersistentState stored;
            stored.self.set_address(std::to_string(k));
            settings.seed = k + 1;
            nodes.push_back(std::make_unique<Node>(settings, stored));
        }
        run(3 * kSecond);
    }
    void takeReady(std::size_t k) {
        Node& node = *nodes[k];
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
            if (passes(k, to)) nodes[to]->replica.receive(now, message);
        }
        node.queue.update(now);
        for (OrderReply& reply : node.queue.take()) replies[reply.id] = std::move(reply);
    }
    void run(Micros span) {
        for (const Micros end = now + span; now < end; now += kStep) {
            for (auto& node : nodes) node->replica.tick(now);
            // What is sent in a step arrives in it, and is answered in it.
            for (int round = 0; round < 6; ++round)
                for (std::size_t k = 0; k < kNodes; ++k) takeReady(k);
        }
    }
    // The one that leads among those for which `among` holds.
    [[nodiscard]] std::size_t leader(const std::function<bool(std::size_t)>& among) const {
        for (std::size_t k = 0; k < kNodes; ++k)
            if (among(k) && nodes[k]->replica.leads()) return k;
        FAIL("nobody leads");
        return 0;
    }
    [[nodiscard]] std::size_t leader() const {
        return leader([](std::size_t) { return true; });
    }
    [[nodiscard]] std::size_t leaderBeside(std::size_t other) const {
        return leader([other](std::size_t k) { return k != other; });
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
    std::function<bool(std::size_t, std::size_t)> passes = [](std::size_t, std::size_t) { return true; };
};

}  // namespace

TEST_CASE("The same order through a new leader is confirmed, its rival refused", "[orders]") {
    Cluster cluster;
    cluster.snapshots = GENERATE(false, true);
    const std::size_t old = cluster.leader();
    SECTION("the first try is in the old leader's log alone") {
        cluster.passes = [old](std::size_t from, std::size_t to) { return from != old && to != old; };
        cluster.submit(old, 1, orderOf(1, 0));
        cluster.run(4 * kSecond);
        CHECK(cluster.outcome(1) == OrderOutcome::unavailable);
    }
    SECTION("the first try is committed, and its answer is lost") {
        cluster.submit(old, 1, orderOf(1, 0));
        cluster.run(kSecond);
        CHECK(cluster.outcome(1) == OrderOutcome::confirmed);
        cluster.passes = [old](std::size_t from, std::size_t to) { return from != old && to != old; };
        cluster.run(4 * kSecond);
    }
    const std::size_t next = cluster.leaderBeside(old);
    cluster.submit(next, 2, orderOf(1, 0));
    cluster.submit(next, 3, orderOf(1, 0, "/other/"));
    cluster.submit(next, 4, orderOf(2, 1));
    cluster.submit(next, 5, orderOf(1, 0));
    cluster.run(kSecond);
    CHECK(cluster.outcome(2) == OrderOutcome::confirmed);
    CHECK(cluster.outcome(3) == OrderOutcome::rejectedStale);
    CHECK(cluster.outcome(4) == OrderOutcome::confirmed);
    CHECK(cluster.outcome(5) == OrderOutcome::confirmed);
    cluster.passes = [](std::size_t, std::size_t) { return true; };
    cluster.run(5 * kSecond);
    for (const auto& node : cluster.nodes) CHECK(node->store.configuration().version == 2);
    CHECK(cluster.nodes[0]->store.json() == cluster.nodes[old]->store.json());
}

TEST_CASE("A leader that is cut off for twenty seconds, one way or both, decides nothing", "[orders]") {
    Cluster cluster;
    const std::size_t old = cluster.leader();
    const bool hears = GENERATE(false, true), speaks = GENERATE(false, true);
    if (hears && speaks) return;
    CAPTURE(hears, speaks);
    cluster.submit(old, 1, orderOf(1, 0));
    cluster.run(kSecond);
    REQUIRE(cluster.outcome(1) == OrderOutcome::confirmed);
    cluster.passes = [&](std::size_t from, std::size_t to) {
        return (from != old || speaks) && (to != old || hears);
    };
    cluster.run(3 * kSecond);
    const std::size_t next = cluster.leaderBeside(old);
    cluster.submit(next, 2, orderOf(2, 1));
    cluster.run(kSecond);
    CHECK(cluster.outcome(2) == OrderOutcome::confirmed);
    for (OrderId id = 100; id < 116; ++id) {
        if (id % 2 == 0) cluster.submit(old, id, orderOf(2, 1, "/rival/"));
        if (id % 2 == 1) cluster.nodes[old]->queue.read(cluster.now, id);
        cluster.run(kSecond);
        const OrderOutcome outcome = cluster.outcome(id);
        // One that still hears the new leader may name it.
        CHECK((outcome == OrderOutcome::unavailable || (hears && outcome == OrderOutcome::redirect)));
    }
    cluster.passes = [](std::size_t, std::size_t) { return true; };
    cluster.run(5 * kSecond);
    CHECK(cluster.nodes[old]->store.configuration().version == 2);
    CHECK(cluster.nodes[old]->queue.inContact(cluster.now));
}

}  // namespace marldale::controller
