// A member that restarted, lost its disk or has a slow link catches up while changes go on, and meanwhile
// neither leads nor serves. Replicas in one process over links with a latency and a bandwidth, and disks with
// a speed.
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

struct Load {
    const char* name = "";
    std::size_t stateBytes = 200000;
    std::size_t changeBytes = 2000;
    Micros changeEvery = 50 * kMs;  // 20 a second
    Faults faults;
};

struct Route {  // one way
    Micros latency = 500;
    double bytesPerSecond = 50e6;
    Micros freeAt = 0;
};

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
            for (const Machine& m : machines_)
                if (m.replica) due = std::min(due, std::min(m.replica->nextDue(), m.writeDone));
            if (!carried_.empty()) due = std::min(due, carried_.top().when);
            now_ = std::max(now_, due);
            if (now_ >= changeDue_) change();
            while (!carried_.empty() && carried_.top().when <= now_) deliver();
            for (std::size_t k = 0; k < kMembers; ++k) {
                if (!machines_[k].replica) continue;
                diskDone(k);
                machines_[k].replica->tick(now_);
                turn(k);
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
        Machine& m = machines_[k];
        m.applied = 0;
        m.policy = {};
        m.lastLeaderMessage = now_;
        m.longestSilence = 0;
        Settings settings = settings_;
        settings.seed = 7 * k + m.incarnation + 1;
        m.replica = std::make_unique<Replica>(settings, m.disk, now_);
        m.replica->contacts(settings.seeds);
        turn(k);
    }
    void wipe(std::size_t k) {
        machines_[k].disk = {};
        machines_[k].disk.self.set_address(std::to_string(k));
        machines_[k].disk.self.set_number(1000 + k);
    }
    void slow(std::size_t k, Micros latency, double bytesPerSecond) {
        for (std::size_t o = 0; o < kMembers; ++o) {
            for (Route* route : {&routes_[{k, o}], &routes_[{o, k}]}) {
                route->latency = latency;
                route->bytesPerSecond = bytesPerSecond;
            }
        }
    }
    // How long until it is sure to be as new as `within` ago, while changes go on; -1: not within `most`.
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
        FAIL("nobody leads");
        return 0;
    }
    std::size_t follower() const { return (leader() + 1) % kMembers; }
    [[nodiscard]] bool leads(std::size_t k) const { return machines_[k].replica->leads(); }
    [[nodiscard]] Micros contactAge(std::size_t k) const {
        return machines_[k].replica->quorumContactAge(now_);
    }
    [[nodiscard]] std::size_t snapshotBytes() const { return snapshotBytes_; }
    [[nodiscard]] Index acknowledged() const { return acked_.empty() ? 0 : acked_.rbegin()->second; }
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
    struct Carried {
        Micros when = 0;
        std::uint64_t order = 0;
        std::uint64_t incarnation = 0;  // of the receiver
        proto::RaftMessage message;
        bool operator<(const Carried& o) const { return when != o.when ? when > o.when : order > o.order; }
    };

    void change() {
        changeDue_ += load_.changeEvery;
        for (Machine& m : machines_) {
            if (m.replica && m.replica->leads())
                (void)m.replica->propose(now_, std::string(load_.changeBytes, 'c'));
        }
    }
    void turn(std::size_t k) {
        Machine& m = machines_[k];
        Ready ready = m.replica->take();
        for (proto::RaftMessage& message : ready.messages) carry(k, std::move(message));
        for (Write& write : ready.writes) beginWrite(m, std::move(write));
        if (ready.install) {
            CHECK(ready.install->index() >= m.applied);
            m.applied = ready.install->index();
            m.policy.compacted(ready.install->data().size());
            ++m.installs;
        }
        for (const proto::Entry& entry : ready.committed) apply(m, entry);
        checkSafety(m);
    }
    void apply(Machine& m, const proto::Entry& entry) {
        CHECK(entry.index() == m.applied + 1);
        m.applied = entry.index();
        if (m.replica->leads() && m.applied > acknowledged()) acked_[now_] = m.applied;
        if (!m.policy.applied(entry.data().size())) return;
        m.policy.compacted(load_.stateBytes);
        m.replica->compact(now_, m.applied, std::string(load_.stateBytes, 's'));
    }
    // One that is behind is never sure of being newer than it is.
    void checkSafety(const Machine& m) {
        const Micros age = m.replica->quorumContactAge(now_);
        if (age < 0) return;
        const auto later = acked_.lower_bound(now_ - age);  // acknowledged strictly before
        if (later != acked_.begin()) CHECK(m.applied >= std::prev(later)->second);
    }
    void beginWrite(Machine& m, Write write) {
        REQUIRE_FALSE(m.writing);
        std::size_t bytes = write.snapshot ? write.snapshot->ByteSizeLong() : 0;
        for (const proto::Entry& entry : write.entries) bytes += entry.ByteSizeLong();
        m.writing = std::move(write);
        m.writeDone =
            now_ + 2 * kMs + static_cast<Micros>(static_cast<double>(bytes) / kDiskBytesPerSecond * 1e6);
    }
    void diskDone(std::size_t k) {
        Machine& m = machines_[k];
        if (now_ < m.writeDone) return;
        const Write write = std::move(*m.writing);
        m.writing.reset();
        m.writeDone = kNever;
        put(m.disk, write);
        m.replica->persisted(now_, write.number);
    }
    static void put(PersistentState& disk, const Write& write) {
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
    void carry(std::size_t from, proto::RaftMessage message) {
        const std::size_t to = std::stoul(message.to().address());
        const std::size_t bytes = message.ByteSizeLong();
        largestMessage_ = std::max(largestMessage_, bytes);
        snapshotBytes_ += message.chunk().data().size();
        Route& route = routes_[{from, to}];
        route.freeAt = std::max(route.freeAt, now_) +
                       static_cast<Micros>(static_cast<double>(bytes) / route.bytesPerSecond * 1e6);
        carried_.push(
            {route.freeAt + route.latency, ++order_, machines_[to].incarnation, std::move(message)});
    }
    void deliver() {
        const Carried carried = carried_.top();
        carried_.pop();
        const std::size_t to = std::stoul(carried.message.to().address());
        Machine& m = machines_[to];
        if (!m.replica || m.incarnation != carried.incarnation) return;
        const auto kind = carried.message.kind();
        if (kind == proto::RaftMessage::APPEND || kind == proto::RaftMessage::INSTALL) {
            m.longestSilence = std::max(m.longestSilence, now_ - m.lastLeaderMessage);
            m.lastLeaderMessage = now_;
        }
        m.replica->receive(now_, carried.message);
        turn(to);
    }

    Load load_;
    Settings settings_;
    Micros now_ = 0, changeDue_ = 0;
    std::vector<Machine> machines_;
    std::map<std::pair<std::size_t, std::size_t>, Route> routes_;
    std::priority_queue<Carried> carried_;
    std::uint64_t order_ = 0;
    std::map<Micros, Index> acked_;
    std::size_t largestMessage_ = 0, snapshotBytes_ = 0;
};

void figure(const char* what, const Load& load, Micros took, const Deployment& all, std::size_t k) {
    if (std::getenv("MARLDALE_RAFT_FIGURES") == nullptr) return;
    std::cout << what << ", " << load.name << ": caught up in " << took / 1000 << " ms, " << all.installs(k)
              << " installs, the leader silent for " << all.longestSilence(k) / 1000
              << " ms at most, largest message " << all.largestMessage() << " bytes\n";
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

TEST_CASE("A restarted member catches up while 20 changes a second come", "[raft][catchup]") {
    const Load load = GENERATE(from_range(loads()));
    CAPTURE(load.name);
    Deployment all(load);
    all.run(12 * kSecond);
    const std::size_t behind = all.follower();
    all.stop(behind);
    all.run(20 * kSecond);
    all.start(behind);
    const Micros took = all.catchUp(behind, 300 * kMs, 10 * kSecond);
    figure("restarted", load, took, all, behind);
    CHECK(took >= 0);
    CHECK(took <= 2500 * kMs);
    CHECK(all.acknowledged() > 500);
}

TEST_CASE("A wiped member catches up while 20 changes a second come", "[raft][catchup]") {
    const Load load = GENERATE(from_range(loads()));
    CAPTURE(load.name);
    Deployment all(load);
    all.run(20 * kSecond);
    const std::size_t behind = all.follower();
    all.stop(behind);
    all.wipe(behind);
    all.run(kSecond);
    all.start(behind);
    const Micros took = all.catchUp(behind, 300 * kMs, 10 * kSecond);
    figure("wiped", load, took, all, behind);
    CHECK(took >= 0);
    CHECK(took <= 2500 * kMs);
    CHECK(all.installs(behind) >= 1);
    CHECK(all.installs(behind) <= 2);
}

TEST_CASE("A wiped member catches up over a slow link while changes go on", "[raft][catchup]") {
    const auto load = GENERATE(Load{"state 200 kB, changes 2 kB", 200000, 2000, 50 * kMs, {}},
                               Load{"state 1 MB, changes 10 kB", 1000000, 10000, 50 * kMs, {}},
                               Load{"state 8 MB, changes 2 kB", 8000000, 2000, 50 * kMs, {}});
    CAPTURE(load.name);
    Deployment all(load);
    all.run(20 * kSecond);
    const std::size_t behind = all.follower();
    all.stop(behind);
    all.wipe(behind);
    all.slow(behind, 100 * kMs, 1e6);  // 8 Mbit a second
    all.run(kSecond);
    all.start(behind);
    const Micros took = all.catchUp(behind, kSecond, 60 * kSecond);
    figure("wiped, slow link", load, took, all, behind);
    // The state's time on the link, once; and twice that for answers, changes and the log behind it.
    const auto stateTime = static_cast<Micros>(load.stateBytes);
    CHECK(took >= 0);
    CHECK(took <= 3 * stateTime + 5 * kSecond);
    CHECK(all.installs(behind) <= 2);
    CHECK(all.longestSilence(behind) <= 1200 * kMs);
    CHECK(all.largestMessage() <= (std::size_t{256} << 10U) + 4096);
}

TEST_CASE("Without the log kept for a follower, snapshots follow snapshots", "[raft][catchup]") {
    const bool planted = GENERATE(false, true);
    // The transfer takes longer than three snapshots of the leader are apart.
    Load load{"state 2 MB, changes 2 kB", 2000000, 2000, 50 * kMs, {}};
    load.faults.trimsUnderFollowers = planted;
    Deployment all(load);
    all.run(20 * kSecond);
    const std::size_t behind = all.follower();
    all.stop(behind);
    all.wipe(behind);
    all.slow(behind, 20 * kMs, 2e5);
    all.start(behind);
    const Micros took = all.catchUp(behind, kSecond, 60 * kSecond);
    figure(planted ? "planted" : "kept", load, took, all, behind);
    CHECK((took >= 0) == !planted);
}

// The vote of the member that is behind is needed, and it is given to the one that is ahead.
TEST_CASE("A member that is behind doesn't lead when the leader goes, and its transfer goes on",
          "[raft][catchup]") {
    const Load load{"state 8 MB, changes 2 kB", 8000000, 2000, 50 * kMs, {}};
    Deployment all(load);
    all.run(2 * kSecond);
    const std::size_t behind = all.follower();
    all.stop(behind);
    all.run(40 * kSecond);
    all.slow(behind, 50 * kMs, 2e6);
    all.start(behind);
    all.run(2 * kSecond);
    const std::size_t first = all.leader();
    CHECK(first != behind);
    all.stop(first);
    Micros took = 0;
    for (Micros age = -1; took < 20 * kSecond && (age < 0 || age > kSecond); took += 10 * kMs) {
        all.run(10 * kMs);
        CHECK_FALSE(all.leads(behind));
        age = all.contactAge(behind);
    }
    figure("leader lost", load, took, all, behind);
    CHECK(took < 8 * kSecond);
    // Both leaders have the same snapshot, so nearly all of it went over the link once.
    CHECK(all.snapshotBytes() < load.stateBytes + load.stateBytes / 8);
}
