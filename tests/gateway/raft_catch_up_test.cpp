// Tests that a member that restarted, lost its disk or has a slow link catches up while changes continue, and
// that it neither leads nor serves in the meantime. Simulates replicas in one process with link latency and
// bandwidth and with disk speed.
#include <catch2/catch.hpp>
#include <cstdlib>
#include <iostream>
#include <map>
#include <queue>
#include <string>
#include <vector>

#include "gateway/raft/compaction_policy.h"
#include "gateway/raft/replica.h"

using marldale::Micros;
using namespace marldale::raft;

namespace {

constexpr Micros kMs = 1000, kSecond = 1000000;

// Sizes and rate of the changes, and injected faults.
struct Load {
    const char* name = "";
    std::size_t stateBytes = 200000;
    std::size_t changeBytes = 2000;
    Micros changeEvery = 50 * kMs;  // 20 a second
    Faults faults;
};

struct Link {  // one direction
    Micros latency = 500;
    double bytesPerSecond = 50e6;
    Micros idleAt = 0;
};

// Three simulated replicas under a steady load of changes.
class Deployment {
public:
    static constexpr std::size_t kMembers = 3;

    explicit Deployment(const Load& load) : load_(load), machines_(kMembers) {
        settings_.faults = load.faults;
        for (std::size_t k = 0; k < kMembers; ++k) settings_.seeds.push_back(std::to_string(k));
        for (std::size_t k = 0; k < kMembers; ++k) {
            machines_[k].disk.self.set_address(std::to_string(k));
            start(k);
        }
        changeDue_ = 2 * kSecond;
    }

    void run(Micros span) {
        for (const Micros end = now_ + span; now_ < end;) {
            Micros due = std::min(end, changeDue_);
            for (const Machine& machine : machines_)
                if (machine.replica)
                    due = std::min(due, std::min(machine.replica->nextDue(), machine.writeDone));
            if (!inFlight_.empty()) due = std::min(due, inFlight_.top().when);
            now_ = std::max(now_, due);
            if (now_ >= changeDue_) change();
            while (!inFlight_.empty() && inFlight_.top().when <= now_) deliver();
            for (std::size_t k = 0; k < kMembers; ++k) {
                if (!machines_[k].replica) continue;
                diskDone(k);
                machines_[k].replica->tick(now_);
                processReady(k);
            }
        }
    }
    void stop(std::size_t k) {
        machines_[k].replica.reset();
        ++machines_[k].incarnation;
        machines_[k].writing.reset();
        machines_[k].writeDone = kNever;
    }
    void start(std::size_t k) {
        Machine& machine = machines_[k];
        machine.applied = 0;
        machine.policy = {};
        machine.lastLeaderMessage = now_;
        machine.longestSilence = 0;
        Settings settings = settings_;
        settings.seed = 7 * k + machine.incarnation + 1;
        machine.replica = std::make_unique<Replica>(settings, machine.disk, now_);
        machine.replica->contacts(settings.seeds);
        processReady(k);
    }
    void wipe(std::size_t k) {
        machines_[k].disk = {};
        machines_[k].disk.self.set_address(std::to_string(k));
        machines_[k].disk.self.set_number(1000 + k);
    }
    void slowLinks(std::size_t k, Micros latency, double bytesPerSecond) {
        for (std::size_t other = 0; other < kMembers; ++other) {
            for (Link* link : {&links_[{k, other}], &links_[{other, k}]}) {
                link->latency = latency;
                link->bytesPerSecond = bytesPerSecond;
            }
        }
    }
    // The time until the quorum contact of machine `k` is at most `within` old while changes continue; -1:
    // not reached within `most`.
    Micros catchUp(std::size_t k, Micros within, Micros most) {
        const Micros began = now_;
        while (now_ - began < most) {
            run(10 * kMs);
            const Micros age = machines_[k].replica->quorumContactAge(now_);
            if (age >= 0 && age <= within) return now_ - began;
        }
        return -1;
    }
    std::size_t leader() const {
        for (std::size_t k = 0; k < kMembers; ++k)
            if (machines_[k].replica && machines_[k].replica->leads()) return k;
        FAIL("no leader");
        return 0;
    }
    std::size_t follower() const { return (leader() + 1) % kMembers; }
    [[nodiscard]] bool leads(std::size_t k) const { return machines_[k].replica->leads(); }
    [[nodiscard]] Micros contactAge(std::size_t k) const {
        return machines_[k].replica->quorumContactAge(now_);
    }
    [[nodiscard]] std::size_t snapshotBytes() const { return snapshotBytes_; }
    [[nodiscard]] Index acknowledged() const {
        return acknowledged_.empty() ? 0 : acknowledged_.rbegin()->second;
    }
    [[nodiscard]] Micros longestSilence(std::size_t k) const { return machines_[k].longestSilence; }
    [[nodiscard]] std::size_t largestMessage() const { return largestMessage_; }
    [[nodiscard]] std::size_t installs(std::size_t k) const { return machines_[k].installs; }

private:
    static constexpr Micros kNever = std::numeric_limits<Micros>::max();
    static constexpr double kDiskBytesPerSecond = 50e6;
    struct Machine {
        PersistentState disk;
        std::unique_ptr<Replica> replica;
        std::uint64_t incarnation = 0;
        Index applied = 0;
        CompactionPolicy policy;
        std::optional<Write> writing;
        Micros writeDone = kNever;
        Micros lastLeaderMessage = 0, longestSilence = 0;
        std::size_t installs = 0;
    };
    struct InFlightMessage {
        Micros when = 0;
        std::uint64_t order = 0;
        std::uint64_t incarnation = 0;  // of the receiver
        proto::RaftMessage message;
        bool operator<(const InFlightMessage& other) const {
            return when != other.when ? when > other.when : order > other.order;
        }
    };

    void change() {
        changeDue_ += load_.changeEvery;
        for (Machine& machine : machines_) {
            if (machine.replica && machine.replica->leads())
                (void)machine.replica->propose(now_, std::string(load_.changeBytes, 'c'));
        }
    }
    void processReady(std::size_t k) {
        Machine& machine = machines_[k];
        Ready ready = machine.replica->take();
        for (proto::RaftMessage& message : ready.messages) send(k, std::move(message));
        for (Write& write : ready.writes) beginWrite(machine, std::move(write));
        if (ready.install) {
            CHECK(ready.install->index() >= machine.applied);
            machine.applied = ready.install->index();
            machine.policy.compacted(ready.install->data().size());
            ++machine.installs;
        }
        for (const proto::Entry& entry : ready.committed) apply(machine, entry);
        checkSafety(machine);
    }
    void apply(Machine& machine, const proto::Entry& entry) {
        CHECK(entry.index() == machine.applied + 1);
        machine.applied = entry.index();
        if (machine.replica->leads() && machine.applied > acknowledged())
            acknowledged_[now_] = machine.applied;
        if (!machine.policy.applied(entry.data().size())) return;
        machine.policy.compacted(load_.stateBytes);
        machine.replica->compact(now_, machine.applied, std::string(load_.stateBytes, 's'));
    }
    // A replica never reports quorum contact newer than its state.
    void checkSafety(const Machine& machine) {
        const Micros age = machine.replica->quorumContactAge(now_);
        if (age < 0) return;
        const auto later = acknowledged_.lower_bound(now_ - age);  // only earlier acknowledgements count
        if (later != acknowledged_.begin()) CHECK(machine.applied >= std::prev(later)->second);
    }
    void beginWrite(Machine& machine, Write write) {
        REQUIRE_FALSE(machine.writing);
        std::size_t bytes = write.snapshot ? write.snapshot->ByteSizeLong() : 0;
        for (const proto::Entry& entry : write.entries) bytes += entry.ByteSizeLong();
        machine.writing = std::move(write);
        machine.writeDone =
            now_ + 2 * kMs + static_cast<Micros>(static_cast<double>(bytes) / kDiskBytesPerSecond * 1e6);
    }
    void diskDone(std::size_t k) {
        Machine& machine = machines_[k];
        if (now_ < machine.writeDone) return;
        const Write write = std::move(*machine.writing);
        machine.writing.reset();
        machine.writeDone = kNever;
        applyWrite(machine.disk, write);
        machine.replica->persisted(now_, write.number);
    }
    static void applyWrite(PersistentState& disk, const Write& write) {
        if (write.hasHardState) {
            disk.term = write.term;
            disk.votedFor = write.votedFor;
        }
        auto& entries = disk.entries;
        if (write.truncateFrom)
            std::erase_if(entries, [&](const auto& entry) { return entry.index() >= *write.truncateFrom; });
        if (write.snapshot) {
            std::erase_if(entries,
                          [&](const auto& entry) { return entry.index() <= write.snapshot->index(); });
            disk.snapshot = *write.snapshot;
        }
        entries.insert(entries.end(), write.entries.begin(), write.entries.end());
    }
    void send(std::size_t from, proto::RaftMessage message) {
        const std::size_t to = std::stoul(message.to().address());
        const std::size_t bytes = message.ByteSizeLong();
        largestMessage_ = std::max(largestMessage_, bytes);
        snapshotBytes_ += message.chunk().data().size();
        Link& link = links_[{from, to}];
        link.idleAt = std::max(link.idleAt, now_) +
                      static_cast<Micros>(static_cast<double>(bytes) / link.bytesPerSecond * 1e6);
        inFlight_.push({link.idleAt + link.latency, ++order_, machines_[to].incarnation, std::move(message)});
    }
    void deliver() {
        const InFlightMessage inFlight = inFlight_.top();
        inFlight_.pop();
        const std::size_t to = std::stoul(inFlight.message.to().address());
        Machine& machine = machines_[to];
        if (!machine.replica || machine.incarnation != inFlight.incarnation) return;
        const auto kind = inFlight.message.kind();
        if (kind == proto::RaftMessage::APPEND || kind == proto::RaftMessage::INSTALL) {
            machine.longestSilence = std::max(machine.longestSilence, now_ - machine.lastLeaderMessage);
            machine.lastLeaderMessage = now_;
        }
        machine.replica->receive(now_, inFlight.message);
        processReady(to);
    }

    Load load_;
    Settings settings_;
    Micros now_ = 0, changeDue_ = 0;
    std::vector<Machine> machines_;
    std::map<std::pair<std::size_t, std::size_t>, Link> links_;
    std::priority_queue<InFlightMessage> inFlight_;
    std::uint64_t order_ = 0;
    std::map<Micros, Index> acknowledged_;
    std::size_t largestMessage_ = 0, snapshotBytes_ = 0;
};

void printResult(const char* what, const Load& load, Micros took, const Deployment& deployment,
                 std::size_t k) {
    if (std::getenv("MARLDALE_RAFT_FIGURES") == nullptr) return;
    std::cout << what << ", " << load.name << ": caught up in " << took / 1000 << " ms, "
              << deployment.installs(k) << " installs, leader silence of "
              << deployment.longestSilence(k) / 1000 << " ms at most, largest message "
              << deployment.largestMessage() << " bytes\n";
}

const std::vector<Load>& loads() {
    static const std::vector<Load> all{
        {"state 200 kB, changes 2 kB", 200000, 2000, 50 * kMs, {}},
        {"state 200 kB, changes 200 kB", 200000, 200000, 50 * kMs, {}},
        {"state 1 MB, changes 100 kB", 1000000, 100000, 50 * kMs, {}},
        {"state 8 MB, changes 2 kB", 8000000, 2000, 50 * kMs, {}},
    };
    return all;
}

}  // namespace

TEST_CASE("A restarted member catches up during 20 changes per second", "[raft][catchup]") {
    const Load load = GENERATE(from_range(loads()));
    CAPTURE(load.name);
    Deployment deployment(load);
    deployment.run(12 * kSecond);
    const std::size_t behind = deployment.follower();
    deployment.stop(behind);
    deployment.run(20 * kSecond);
    deployment.start(behind);
    const Micros took = deployment.catchUp(behind, 300 * kMs, 10 * kSecond);
    printResult("restarted", load, took, deployment, behind);
    CHECK(took >= 0);
    CHECK(took <= 2500 * kMs);
    CHECK(deployment.acknowledged() > 500);
}

TEST_CASE("A wiped member catches up during 20 changes per second", "[raft][catchup]") {
    const Load load = GENERATE(from_range(loads()));
    CAPTURE(load.name);
    Deployment deployment(load);
    deployment.run(20 * kSecond);
    const std::size_t behind = deployment.follower();
    deployment.stop(behind);
    deployment.wipe(behind);
    deployment.run(kSecond);
    deployment.start(behind);
    const Micros took = deployment.catchUp(behind, 300 * kMs, 10 * kSecond);
    printResult("wiped", load, took, deployment, behind);
    CHECK(took >= 0);
    CHECK(took <= 2500 * kMs);
    CHECK(deployment.installs(behind) >= 1);
    CHECK(deployment.installs(behind) <= 2);
}

TEST_CASE("A wiped member catches up over a slow link while changes continue", "[raft][catchup]") {
    const auto load = GENERATE(Load{"state 200 kB, changes 2 kB", 200000, 2000, 50 * kMs, {}},
                               Load{"state 1 MB, changes 10 kB", 1000000, 10000, 50 * kMs, {}},
                               Load{"state 8 MB, changes 2 kB", 8000000, 2000, 50 * kMs, {}});
    CAPTURE(load.name);
    Deployment deployment(load);
    deployment.run(20 * kSecond);
    const std::size_t behind = deployment.follower();
    deployment.stop(behind);
    deployment.wipe(behind);
    deployment.slowLinks(behind, 100 * kMs, 1e6);  // 8 Mbit a second
    deployment.run(kSecond);
    deployment.start(behind);
    const Micros took = deployment.catchUp(behind, kSecond, 60 * kSecond);
    printResult("wiped, slow link", load, took, deployment, behind);
    // Once the transfer time of the state, plus twice that for responses, changes and the log after it.
    const auto stateTime = static_cast<Micros>(load.stateBytes);
    CHECK(took >= 0);
    CHECK(took <= 3 * stateTime + 5 * kSecond);
    CHECK(deployment.installs(behind) <= 2);
    CHECK(deployment.longestSilence(behind) <= 1200 * kMs);
    CHECK(deployment.largestMessage() <= (std::size_t{256} << 10U) + 4096);
}

TEST_CASE("Without the log retained for a follower, it needs one snapshot after another", "[raft][catchup]") {
    const bool faulty = GENERATE(false, true);
    // The transfer takes longer than three snapshot intervals of the leader.
    Load load{"state 2 MB, changes 2 kB", 2000000, 2000, 50 * kMs, {}};
    load.faults.trimsUnderFollowers = faulty;
    Deployment deployment(load);
    deployment.run(20 * kSecond);
    const std::size_t behind = deployment.follower();
    deployment.stop(behind);
    deployment.wipe(behind);
    deployment.slowLinks(behind, 20 * kMs, 2e5);
    deployment.start(behind);
    const Micros took = deployment.catchUp(behind, kSecond, 60 * kSecond);
    printResult(faulty ? "not retained" : "retained", load, took, deployment, behind);
    CHECK((took >= 0) == !faulty);
}

// The vote of the member that is behind is needed, and it goes to the up-to-date member.
TEST_CASE("A member that is behind does not lead after the loss of the leader, and its transfer resumes",
          "[raft][catchup]") {
    const Load load{"state 8 MB, changes 2 kB", 8000000, 2000, 50 * kMs, {}};
    Deployment deployment(load);
    deployment.run(2 * kSecond);
    const std::size_t behind = deployment.follower();
    deployment.stop(behind);
    deployment.run(40 * kSecond);
    deployment.slowLinks(behind, 50 * kMs, 2e6);
    deployment.start(behind);
    deployment.run(2 * kSecond);
    const std::size_t first = deployment.leader();
    CHECK(first != behind);
    deployment.stop(first);
    Micros took = 0;
    for (Micros age = -1; took < 20 * kSecond && (age < 0 || age > kSecond); took += 10 * kMs) {
        deployment.run(10 * kMs);
        CHECK_FALSE(deployment.leads(behind));
        age = deployment.contactAge(behind);
    }
    printResult("leader lost", load, took, deployment, behind);
    CHECK(took < 8 * kSecond);
    // Both leaders have the same snapshot, so almost all of it was transferred only once.
    CHECK(deployment.snapshotBytes() < load.stateBytes + load.stateBytes / 8);
}
