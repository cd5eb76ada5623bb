// Simulation of a deployment's replicas in one process: virtual time, links, disks, clients and a schedule of
// faults, all derived from one seed. Invariants are checked from outside, by what clients and disks observe;
// a violated invariant throws `Violation`.
#pragma once

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "bytes/mix.h"
#include "gateway/raft/replica.h"

namespace marldale::raft::world {

// A violated invariant.
struct Violation : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// A deterministic random number generator.
struct Random {
    std::uint64_t state;
    std::uint64_t draw() { return bytes::mixed(state += 0x9e3779b97f4a7c15ULL); }
    std::uint64_t below(std::uint64_t n) { return draw() % n; }
    Micros between(Micros least, Micros most) {
        return least + static_cast<Micros>(below(static_cast<std::uint64_t>(most - least + 1)));
    }
    bool chance(double probability) { return static_cast<double>(draw() >> 11U) * 0x1p-53 < probability; }
};

inline constexpr Micros kMs = 1000, kSecond = 1000000;

// What to simulate.
struct Plan {
    std::uint64_t seed = 1;
    Faults faults;
    bool wipedKeepsNumber = false;  // a seed that lost its disk returns with its old identity
    Micros faultDuration = 18 * kSecond;
    Micros recoveryDuration = 9 * kSecond;
    std::size_t machines = 0;      // 0: drawn at random
    bool beyondTolerance = false;  // more faults than are tolerated, as long as no majority loses its disks
    bool replacements = false;     // machines are replaced, wiped, leave and return in immediate succession
    std::uint64_t leaderSplitPercent = 6;  // percent of the faults beyond tolerance, see `splitLeadership`
};

// Counters and maxima of one or more simulations.
struct Statistics {
    std::uint64_t acknowledged = 0, refused = 0, unclear = 0, reads = 0, messages = 0, writes = 0,
                  elections = 0;
    std::uint64_t wipes = 0, kills = 0, powerLosses = 0, installs = 0, changes = 0;
    std::uint64_t steps = 0;                // in plans with replacements
    std::uint64_t maxChangesPerMinute = 0;  // of membership; maximum
    Micros slowestPromotion = 0;            // from a replacement's start until it votes or is not needed
    Micros maxRecoveryToAck = 0;            // from the end of the faults to the first acknowledgement
    Micros maxRecoveryToAll = 0;            // from there until all machines have applied it
    void add(const Statistics& other) {
        acknowledged += other.acknowledged, refused += other.refused, unclear += other.unclear,
            reads += other.reads;
        messages += other.messages, writes += other.writes, elections += other.elections,
            wipes += other.wipes, kills += other.kills;
        powerLosses += other.powerLosses, installs += other.installs, changes += other.changes;
        steps += other.steps;
        maxChangesPerMinute = std::max(maxChangesPerMinute, other.maxChangesPerMinute);
        slowestPromotion = std::max(slowestPromotion, other.slowestPromotion);
        maxRecoveryToAck = std::max(maxRecoveryToAck, other.maxRecoveryToAck);
        maxRecoveryToAll = std::max(maxRecoveryToAll, other.maxRecoveryToAll);
    }
};

// One simulated deployment.
class World {
public:
    explicit World(Plan plan) : plan_(plan), random_{bytes::mixed(plan.seed)} {
        setInvariantHandler([](const char* message) { throw Violation(message); });
        static constexpr std::size_t kSizes[] = {1, 2, 3, 3, 3, 3, 3, 4, 4, 4, 4, 4, 5, 5, 5, 5, 6, 7, 7, 7};
        size_ = plan.machines != 0 ? plan.machines : kSizes[random_.below(std::size(kSizes))];
        toleratedLosses_ = size_ < 3 ? 0 : size_ < 7 ? 1 : 2;
        withinTolerance_ = (random_.chance(0.5) && !plan.beyondTolerance) || plan.replacements;
        unreliableLinks_ = !withinTolerance_ && random_.chance(0.2);
        compactEvery_ = 5 + random_.below(80);
        settings_.faults = plan.faults;
        settings_.catchUp = random_.chance(0.5) ? 4 * kSecond : 6 * kSecond;
        if (plan.seed % 2 == 0) settings_.snapshotTransfer.chunkBytes = 16 + plan.seed % 64;
        if (random_.chance(0.3)) settings_.maxBatchBytes = 1 + random_.below(400);
        requestSpacing_ = random_.chance(0.6) ? 4 : 1;
        faultInterval_ = random_.between(300 * kMs, 2500 * kMs);
        const bool withReplacements = size_ >= 3 && random_.chance(0.25);
        const std::size_t spare = plan.replacements ? kSpares : withReplacements ? 2 : 0;
        const std::size_t zones = random_.chance(0.7) ? (size_ < 3 ? 1 : size_ < 7 ? 3 : 4) : 0;
        machines_.resize(size_ + spare);
        links_.resize(machines_.size() * machines_.size());
        for (std::size_t k = 0; k < machines_.size(); ++k) {
            auto& machine = machines_[k];
            machine.address = "m" + std::to_string(k);
            machine.zone = zones == 0 ? "" : "zone" + std::to_string(k % zones);
            machine.disk.self.set_address(machine.address);
            if (k < std::min<std::size_t>(3, size_)) {
                settings_.seeds.push_back(machine.address);
            } else {
                machine.disk.self.set_number(drawNumber());
            }
            machine.syncTime = random_.chance(0.15)  ? random_.between(5 * kMs, 100 * kMs)
                               : random_.chance(0.5) ? 500
                                                     : 2000;
        }
        for (std::size_t k = 0; k < size_; ++k) {
            machines_[k].deployed = true;
            schedule(random_.between(0, 500 * kMs), Kind::start, k);
        }
    }

    // Runs the simulation once. Throws `Violation`.
    Statistics run() {
        const Micros quiet = 6 * kSecond;  // for the first election
        faultsEndAt_ = quiet + plan_.faultDuration;
        schedule(kSecond, Kind::clientWrite, 0);
        schedule(kSecond, Kind::clientRead, 0);
        schedule(quiet, Kind::fault, 0);
        schedule(faultsEndAt_, Kind::endFaults, 0);
        const Micros end = faultsEndAt_ + plan_.recoveryDuration;
        while (!events_.empty() && events_.top().when <= end) {
            expect(statistics_.messages < 2000000, "too many messages");
            const Event e = events_.top();
            events_.pop();
            now_ = e.when;
            handle(e);
        }
        now_ = end;
        checkFinalState();
        return statistics_;
    }

    [[nodiscard]] std::string describe() const {
        return "seed " + std::to_string(plan_.seed) + ", " + std::to_string(size_) + " machines, " +
               (withinTolerance_   ? "tolerated faults"
                : unreliableLinks_ ? "faults beyond tolerance, datagram links"
                                   : "faults beyond tolerance") +
               ", at " + std::to_string(now_) + " us";
    }

private:
    enum class Kind {
        start,
        tick,
        processReady,
        deliver,
        diskDone,
        clientWrite,
        clientRead,
        fault,
        endFaults,
        kill,
        lossEnds,
        stopAll,
        leave,
        stop,
        flap
    };
    struct Event {
        Micros when;
        std::uint64_t order;
        Kind kind;
        std::size_t machine;
        std::uint64_t incarnation;  // of the machine, if relevant
        std::uint64_t link, epoch, slot;
        bool operator<(const Event& other) const {
            return when != other.when ? when > other.when : order > other.order;
        }
    };
    struct Link {
        Micros cutUntil = 0;
        bool delays = false;  // messages sent while cut are delayed; otherwise they are lost
        Micros lastAt = 0;
        Micros extraLatency = 0;
        Micros extraLatencyUntil = 0;
        std::uint64_t epoch = 0;
    };
    struct Proposal {
        Term term;
        std::uint64_t id;
    };
    struct Machine {
        std::string address, zone;
        bool deployed = false, up = false;
        std::uint64_t incarnation = 0;
        PersistentState disk;
        std::unique_ptr<Replica> replica;
        Index applied = 0;
        std::uint64_t version = 0;
        std::map<Index, Proposal> proposals;
        std::map<std::uint64_t, Index> reads;  // by ticket: the index acknowledged at the time of the request
        std::vector<Write> writing;
        Micros syncTime = 500;
        Micros diskFullUntil = 0, diskStalledUntil = 0, frozenUntil = 0;
        Micros tickAt = -1, readyAt = -1;
        Micros lostUntil = 0;
        Micros startedAt = 0;
        bool replaced = false;  // started with an empty disk and not a voter yet
        bool wipeAtAck = false, killAtAck = false;
    };

    Plan plan_;
    Random random_;
    Settings settings_;
    std::size_t size_ = 0, toleratedLosses_ = 0, replacements_ = 0;
    bool tracing_ = std::getenv("MARLDALE_RAFT_TRACE") != nullptr;
    bool withinTolerance_ = false, unreliableLinks_ = false, faultsEnded_ = false;
    std::uint64_t compactEvery_ = 50;
    Micros requestSpacing_ = 1;  // factor of the clients
    bool stopAllAtAck_ = false, stopAllAtElection_ = false;
    enum class Split { no, armed, cut } leaderSplit_ = Split::no;  // see `splitLeadership`
    std::size_t oldLeader_ = 0, newLeader_ = 0;
    Micros faultInterval_ = kSecond;
    Micros now_ = 0, faultsEndAt_ = 0;
    std::uint64_t order_ = 0, lastId_ = 0, lastTicket_ = 0;
    std::priority_queue<Event> events_;
    std::vector<Machine> machines_;
    std::vector<Link> links_;
    std::vector<proto::RaftMessage> slots_;
    std::vector<std::size_t> freeSlots_;
    Statistics statistics_;

    // ---- what is observable from outside ----
    struct Applied {
        std::uint64_t hash, version;
    };
    std::vector<Applied> appliedEntries_{{0, 0}};             // by index
    std::map<std::uint64_t, std::uint64_t> acknowledgedIds_;  // by version
    std::vector<std::pair<Micros, Index>> acknowledged_;      // times and highest indices, both increasing
    std::map<Term, proto::Member> leaders_;
    std::set<std::pair<std::string, std::uint64_t>> lostIdentities_;  // identities whose disk was lost
    Micros lastFaultAt_ = 0;                                          // when a fault last began or ended
    std::optional<Micros> firstAckAfterFaults_;
    Index firstIndexAfterFaults_ = 0;
    std::optional<Micros> allRecoveredAt_;
    std::vector<Micros> changeTimes_;  // of membership changes in the last minute

    static void expect(bool condition, const std::string& message) {
        if (!condition) throw Violation(message);
    }
    std::uint64_t drawNumber() {
        std::uint64_t n = 0;
        while (n == 0) n = random_.draw();
        return n;
    }
    void schedule(Micros when, Kind kind, std::size_t machine, std::uint64_t link = 0,
                  std::uint64_t epoch = 0, std::uint64_t slot = 0) {
        events_.push({std::max(when, now_), ++order_, kind, machine, machines_[machine].incarnation, link,
                      epoch, slot});
    }
    Link& link(std::size_t from, std::size_t to) { return links_[from * machines_.size() + to]; }
    std::size_t indexOf(const std::string& address) const { return std::stoul(address.substr(1)); }

    void handle(const Event& event) {
        auto& machine = machines_[event.machine];
        const bool needsProcess =
            event.kind == Kind::tick || event.kind == Kind::processReady || event.kind == Kind::diskDone;
        if (needsProcess && (event.incarnation != machine.incarnation || !machine.up)) return;
        if ((needsProcess || event.kind == Kind::deliver) && machine.up && now_ < machine.frozenUntil) {
            Event later = event;
            later.when = machine.frozenUntil;
            later.order = ++order_;
            if (event.kind == Kind::tick && machine.tickAt == event.when) machine.tickAt = later.when;
            if (event.kind == Kind::processReady && machine.readyAt == event.when)
                machine.readyAt = later.when;
            events_.push(later);
            return;
        }
        switch (event.kind) {
            case Kind::start: return start(event.machine);
            case Kind::tick:
                if (machine.tickAt != event.when) return;
                machine.tickAt = -1;
                machine.replica->tick(now_);
                return processReady(event.machine);
            case Kind::processReady: machine.readyAt = -1; return processReady(event.machine);
            case Kind::deliver: return deliver(event);
            case Kind::diskDone: return diskDone(event.machine, event.slot);
            case Kind::clientWrite: return clientWrite();
            case Kind::clientRead: return clientRead();
            case Kind::fault: return nextFault();
            case Kind::endFaults: return endFaults();
            case Kind::kill:
                if (event.incarnation == machine.incarnation && machine.up && !faultsEnded_)
                    kill(event.machine, false);
                return;
            case Kind::stopAll:
                if (!faultsEnded_) stopAll();
                return;
            case Kind::lossEnds: lastFaultAt_ = now_; return;
            case Kind::leave: return leave(event.machine, event.slot != 0);
            case Kind::stop: return stop(event.machine, event.link, event.slot != 0, event.incarnation);
            case Kind::flap: return flap(event.machine, event.slot);
        }
    }

    void trace(std::size_t machineId, const std::string& what) const {
        if (!tracing_) return;
        const auto& machine = machines_[machineId];
        std::fprintf(stderr, "%9.4f m%zu %s", static_cast<double>(now_) * 1e-6, machineId, what.c_str());
        if (machine.up)
            std::fprintf(stderr, "  [%s term %lu commit %lu]", machine.replica->leads() ? "leads" : "",
                         machine.replica->term(), machine.replica->committed());
        std::fprintf(stderr, "\n");
    }
    static std::string textOf(const proto::RaftMessage& message) {
        static constexpr const char* kNames[] = {"PRE_VOTE", "PRE_VOTE_ANSWER", "VOTE",    "VOTE_ANSWER",
                                                 "APPEND",   "APPEND_ANSWER",   "INSTALL", "INSTALL_ANSWER",
                                                 "JOIN",     "HAND_OVER"};
        return std::string(kNames[message.kind()]) + " " + message.from().address() + "/" +
               std::to_string(message.from().number() % 1000) + ">" + message.to().address() + "/" +
               std::to_string(message.to().number() % 1000) + " term " + std::to_string(message.term()) +
               " last " + std::to_string(message.last_index()) + "/" + std::to_string(message.last_term()) +
               " entries " + std::to_string(message.entries_size()) + " commit " +
               std::to_string(message.commit()) + (message.granted() ? " yes" : "") + " match " +
               std::to_string(message.match()) + " round " + std::to_string(message.round()) +
               (message.has_chunk() ? " chunk of " + std::to_string(message.chunk().identity().index()) +
                                          " at " + std::to_string(message.chunk().offset())
                                    : "");
    }

    // ---- processes ----
    void start(std::size_t machineId) {
        auto& machine = machines_[machineId];
        if (machine.up || !machine.deployed) return;
        lastFaultAt_ = now_;
        ++machine.incarnation;
        machine.up = true;
        machine.frozenUntil = 0;
        auto settings = settings_;
        settings.seed = random_.draw();
        auto stored = machine.disk;
        stored.self.set_zone(machine.zone);
        machine.startedAt = now_;
        machine.replica = std::make_unique<Replica>(settings, std::move(stored), now_);
        std::vector<std::string> contacts;
        for (std::size_t other = 0; other < machines_.size(); ++other)
            if (other != machineId && machines_[other].deployed) contacts.push_back(machines_[other].address);
        machine.replica->contacts(contacts);
        trace(machineId, "starts");
        machine.applied = 0;
        machine.version = 0;
        machine.tickAt = machine.readyAt = -1;
        scheduleReady(machineId);
    }
    // Terminates a process. With a power loss, messages in flight from it may be lost as well.
    void kill(std::size_t machineId, bool power) {
        auto& machine = machines_[machineId];
        if (!machine.up) return;
        lastFaultAt_ = now_;
        trace(machineId, power ? "loses power" : "is killed");
        ++(power ? statistics_.powerLosses : statistics_.kills);
        machine.up = false;
        ++machine.incarnation;
        machine.replica.reset();
        statistics_.unclear += machine.proposals.size();
        machine.proposals.clear();
        machine.reads.clear();
        // The write in progress is applied completely or not at all.
        if (!machine.writing.empty() && random_.chance(0.5))
            applyWrite(machine.disk, machine.writing.front());
        machine.writing.clear();
        machine.diskStalledUntil = 0;
        const bool lose = random_.chance(power ? 0.8 : 0.2);
        for (std::size_t other = 0; other < machines_.size(); ++other) {
            ++link(other, machineId).epoch;
            if (lose) ++link(machineId, other).epoch;
        }
    }
    void wipe(std::size_t machineId) {
        auto& machine = machines_[machineId];
        kill(machineId, true);
        ++statistics_.wipes;
        const bool keeps = plan_.wipedKeepsNumber && machine.disk.self.number() == 0;
        if (!keeps) lostIdentities_.insert({machine.address, machine.disk.self.number()});
        machine.disk = {};
        machine.disk.self.set_address(machine.address);
        machine.disk.self.set_number(keeps ? 0 : drawNumber());
    }
    static void applyWrite(PersistentState& disk, const Write& write) {
        if (write.hasHardState) {
            expect(write.term >= disk.term, "a term on disk decreases");
            expect(write.term > disk.term || !disk.votedFor ||
                       (write.votedFor &&
                        write.votedFor->SerializeAsString() == disk.votedFor->SerializeAsString()),
                   "a vote on disk changes");
            disk.term = write.term;
            disk.votedFor = write.votedFor;
        }
        auto& entries = disk.entries;
        if (write.truncateFrom)
            while (!entries.empty() && entries.back().index() >= *write.truncateFrom) entries.pop_back();
        if (write.snapshot) {
            const auto keep = std::find_if(entries.begin(), entries.end(), [&](const auto& entry) {
                return entry.index() > write.snapshot->index();
            });
            entries.erase(entries.begin(), keep);
            disk.snapshot = *write.snapshot;
        }
        for (const auto& entry : write.entries) {
            const Index last = entries.empty() ? disk.snapshot.index() : entries.back().index();
            expect(entry.index() == last + 1, "a write leaves a gap on disk");
            entries.push_back(entry);
        }
        expect(entries.empty() || entries.front().index() == disk.snapshot.index() + 1,
               "a gap after a snapshot on disk");
    }
    void scheduleReady(std::size_t machineId) {
        auto& machine = machines_[machineId];
        if (machine.readyAt >= 0) return;
        machine.readyAt = now_ + random_.between(0, 300);
        schedule(machine.readyAt, Kind::processReady, machineId);
    }
    void processReady(std::size_t machineId) {
        auto& machine = machines_[machineId];
        Ready ready = machine.replica->take();
        for (auto& message : ready.messages) send(machineId, std::move(message));
        for (auto& write : ready.writes) {
            ++statistics_.writes;
            machine.writing.push_back(std::move(write));
            if (machine.writing.size() == 1) beginWrite(machineId);
        }
        if (ready.install) install(machine, *ready.install);
        for (const auto& entry : ready.committed) apply(machineId, entry);
        if (!machine.up) return;  // killed during the acknowledgement
        for (const auto& read : ready.reads) {
            const auto requested = machine.reads.find(read.ticket);
            expect(requested != machine.reads.end(), "a read completes twice");
            if (read.confirmed) {
                ++statistics_.reads;
                expect(read.index >= requested->second,
                       "a read misses a change that was acknowledged before it");
                expect(machine.applied >= read.index, "a read refers to entries that are not applied yet");
            }
            machine.reads.erase(requested);
        }
        if (machine.replica->leads()) {
            const auto [position, isNew] =
                leaders_.try_emplace(machine.replica->term(), machine.replica->self());
            if (isNew) ++statistics_.elections;
            if (isNew && leaderSplit_ == Split::cut && machineId == newLeader_) wipeAfterSplit();
            if (isNew && std::exchange(stopAllAtElection_, false))
                schedule(now_ + random_.between(0, 2 * machine.syncTime), Kind::stopAll, machineId);
            expect(
                isNew || position->second.SerializeAsString() == machine.replica->self().SerializeAsString(),
                "two leaders in one term");
        }
        const Micros age = machine.replica->quorumContactAge(now_);
        if (age >= 0)
            expect(machine.applied >= acknowledgedBy(now_ - age),
                   "a replica reports quorum contact newer than its state");
        if (machine.applied >= machine.disk.snapshot.index() + compactEvery_ && machine.applied > 0 &&
            random_.chance(0.3)) {
            const Index through = machine.applied;
            machine.replica->compact(now_, through, std::to_string(machine.version));
            scheduleReady(machineId);
        }
        const Micros due = machine.replica->nextDue();
        if (due < std::numeric_limits<Micros>::max() && (machine.tickAt < 0 || due < machine.tickAt)) {
            machine.tickAt = std::max(due, now_ + 1) + random_.between(0, 2000);
            schedule(machine.tickAt, Kind::tick, machineId);
        }
        if (faultsEnded_ && firstAckAfterFaults_ && !allRecoveredAt_ &&
            std::all_of(machines_.begin(), machines_.end(), [&](const Machine& other) {
                return !other.deployed || other.applied >= firstIndexAfterFaults_;
            })) {
            allRecoveredAt_ = now_;
            statistics_.maxRecoveryToAll = now_ - faultsEndAt_;
        }
    }

    // ---- state machine ----
    void install(Machine& machine, const proto::Snapshot& snapshot) {
        ++statistics_.installs;
        expect(snapshot.index() < appliedEntries_.size(),
               "a snapshot of entries that no machine has applied");
        machine.applied = snapshot.index();
        machine.version = std::stoull(snapshot.data());
        expect(appliedEntries_[snapshot.index()].version == machine.version,
               "a snapshot differs from what was applied");
    }
    void apply(std::size_t machineId, const proto::Entry& entry) {
        auto& machine = machines_[machineId];
        expect(entry.index() == machine.applied + 1, "the applied entries have a gap");
        bool accepted = false;
        std::uint64_t id = 0;
        if (entry.kind() == proto::Entry::CHANGE) {
            const auto comma = entry.data().find(',');
            id = std::stoull(entry.data());
            accepted = std::stoull(entry.data().substr(comma + 1)) == machine.version;
            if (accepted) ++machine.version;
        }
        if (entry.kind() == proto::Entry::MEMBERS) ++statistics_.changes;
        if (entry.index() == appliedEntries_.size() && entry.kind() == proto::Entry::MEMBERS) recordChange();
        machine.applied = entry.index();
        const std::uint64_t hash =
            bytes::mixed(entry.term() * 31 + id) ^ static_cast<std::uint64_t>(entry.kind());
        if (entry.index() == appliedEntries_.size()) appliedEntries_.push_back({hash, machine.version});
        expect(appliedEntries_[entry.index()].hash == hash &&
                   appliedEntries_[entry.index()].version == machine.version,
               "two machines have applied different entries");
        const auto proposed = machine.proposals.find(entry.index());
        if (proposed == machine.proposals.end()) return;
        const Proposal proposal = proposed->second;
        machine.proposals.erase(proposed);
        if (proposal.term != entry.term()) {
            ++statistics_.unclear;
            return;
        }
        if (!accepted) {
            ++statistics_.refused;
            return;
        }
        ++statistics_.acknowledged;
        const auto [position, isNew] = acknowledgedIds_.try_emplace(machine.version, proposal.id);
        expect(isNew || position->second == proposal.id,
               "two changes based on one version are both acknowledged");
        acknowledged_.emplace_back(
            now_, std::max(entry.index(), acknowledged_.empty() ? 0 : acknowledged_.back().second));
        if (faultsEnded_ && !firstAckAfterFaults_) {
            firstAckAfterFaults_ = now_;
            firstIndexAfterFaults_ = entry.index();
            statistics_.maxRecoveryToAck = now_ - faultsEndAt_;
        }
        if (std::exchange(stopAllAtAck_, false)) {
            stopAll();
        } else if (std::exchange(machine.wipeAtAck, false) && mayWipe(machineId)) {
            wipe(machineId);
            restartLater(machineId, 500 * kMs, 4 * kSecond);
        } else if (std::exchange(machine.killAtAck, false)) {
            kill(machineId, random_.chance(0.7));
            restartLater(machineId, 200 * kMs, 2 * kSecond);
        }
    }
    // The highest index acknowledged until `when`.
    [[nodiscard]] Index acknowledgedBy(Micros when) const {
        const auto after = std::upper_bound(acknowledged_.begin(), acknowledged_.end(), when,
                                            [](Micros w, const auto& a) { return w < a.first; });
        return after == acknowledged_.begin() ? 0 : std::prev(after)->second;
    }

    // ---- links ----
    void send(std::size_t from, proto::RaftMessage message) {
        if (!machines_[from].up) return;
        const std::size_t to = indexOf(message.to().address());
        if (to == from || !machines_[to].deployed) return;
        ++statistics_.messages;
        if (tracing_) trace(from, "sends    " + textOf(message));
        if (leaderSplit_ == Split::armed && message.kind() == proto::RaftMessage::HAND_OVER)
            cutAtHandOver(from, to);
        auto& route = link(from, to);
        if (now_ < route.cutUntil && !route.delays) return;
        if (unreliableLinks_ && !faultsEnded_ && random_.chance(0.03)) return;
        Micros when = std::max(now_, route.delays ? route.cutUntil : 0) + random_.between(700, 1600);
        if (now_ < route.extraLatencyUntil)
            when += route.extraLatency + random_.between(0, route.extraLatency / 4);
        if (unreliableLinks_ && !faultsEnded_) {
            when += random_.between(0, random_.chance(0.1) ? 300 * kMs : 5 * kMs);
        } else {
            when = route.lastAt = std::max(when, route.lastAt + 1);
        }
        if (unreliableLinks_ && !faultsEnded_ && random_.chance(0.03))
            post(when + random_.between(0, 200 * kMs), from, to, message);
        post(when, from, to, std::move(message));
    }
    void post(Micros when, std::size_t from, std::size_t to, proto::RaftMessage message) {
        std::size_t slot = slots_.size();
        if (freeSlots_.empty()) {
            slots_.emplace_back();
        } else {
            slot = freeSlots_.back();
            freeSlots_.pop_back();
        }
        slots_[slot] = std::move(message);
        schedule(when, Kind::deliver, to, from * machines_.size() + to,
                 links_[from * machines_.size() + to].epoch, slot);
    }
    void deliver(const Event& event) {
        auto& route = links_[event.link];
        if (event.epoch == route.epoch &&
            now_ < route.cutUntil) {  // the link was cut while the message was in flight
            Event later = event;
            later.when = route.cutUntil + 1;
            later.order = ++order_;
            route.lastAt = std::max(route.lastAt, later.when);
            events_.push(later);
            return;
        }
        const auto message = std::move(slots_[event.slot]);
        freeSlots_.push_back(event.slot);
        auto& machine = machines_[event.machine];
        if (event.epoch != route.epoch || !machine.up) return;
        if (tracing_) trace(event.machine, "receives " + textOf(message));
        machine.replica->receive(now_, message);
        scheduleReady(event.machine);
    }
    void cut(std::size_t from, std::size_t to, Micros until, bool delays) {
        auto& route = link(from, to);
        route.cutUntil = std::max(route.cutUntil, until);
        route.delays = delays;
        if (!delays) ++route.epoch;
    }

    // ---- disks ----
    void beginWrite(std::size_t machineId) {
        auto& machine = machines_[machineId];
        schedule(std::max(now_, machine.diskStalledUntil) + machine.syncTime / 2 +
                     random_.between(0, machine.syncTime),
                 Kind::diskDone, machineId, 0, 0, machine.writing.front().number);
    }
    void diskDone(std::size_t machineId, std::uint64_t write) {
        auto& machine = machines_[machineId];
        if (machine.writing.empty() || machine.writing.front().number != write) return;
        if (now_ < machine.diskStalledUntil || now_ < machine.diskFullUntil) {
            schedule(std::max(machine.diskStalledUntil, now_ + 50 * kMs), Kind::diskDone, machineId, 0, 0,
                     write);
            return;
        }
        applyWrite(machine.disk, machine.writing.front());
        const auto done = machine.writing.front().number;
        machine.writing.erase(machine.writing.begin());
        machine.replica->persisted(now_, done);
        if (!machine.writing.empty()) beginWrite(machineId);
        scheduleReady(machineId);
    }

    // ---- clients ----
    std::optional<std::size_t> randomLeader() {
        std::vector<std::size_t> all;
        for (std::size_t k = 0; k < machines_.size(); ++k)
            if (machines_[k].up && now_ >= machines_[k].frozenUntil && machines_[k].replica->leads())
                all.push_back(k);
        if (all.empty()) return std::nullopt;
        return all[random_.below(all.size())];
    }
    void clientWrite() {
        schedule(now_ + (random_.chance(0.2) ? random_.between(0, kMs)
                                             : random_.between(30 * kMs, 150 * kMs) * requestSpacing_),
                 Kind::clientWrite, 0);
        checkProgress();
        expectReplacementsVote();
        const auto k = randomLeader();
        if (!k) return;
        auto& machine = machines_[*k];
        const std::uint64_t builtOn =
            random_.chance(0.9) ? machine.version : random_.below(machine.version + 2);
        const std::uint64_t id = ++lastId_;
        const Term term = machine.replica->term();
        if (const auto index =
                machine.replica->propose(now_, std::to_string(id) + "," + std::to_string(builtOn)))
            machine.proposals[*index] = {term, id};
        scheduleReady(*k);
    }
    void clientRead() {
        schedule(now_ + random_.between(20 * kMs, 200 * kMs) * requestSpacing_, Kind::clientRead, 0);
        auto k = randomLeader();
        if (!k || random_.chance(0.05)) k = random_.below(machines_.size());
        auto& machine = machines_[*k];
        if (!machine.up) return;
        machine.reads[++lastTicket_] = acknowledged_.empty() ? 0 : acknowledged_.back().second;
        machine.replica->read(now_, lastTicket_);
        scheduleReady(*k);
    }

    // ---- faults ----
    [[nodiscard]] std::size_t countLost(std::size_t but) const {
        std::size_t n = 0;
        for (std::size_t k = 0; k < machines_.size(); ++k)
            n += k != but && machines_[k].lostUntil > now_ ? 1 : 0;
        return n;
    }
    void markLost(std::size_t machineId, Micros until) {
        machines_[machineId].lostUntil = std::max(machines_[machineId].lostUntil, until + settings_.catchUp);
        lastFaultAt_ = now_;
        schedule(until, Kind::lossEnds, machineId);
    }
    void restartLater(std::size_t machineId, Micros least, Micros most) {
        const Micros back = now_ + random_.between(least, most);
        markLost(machineId, back);
        schedule(back, Kind::start, machineId);
    }
    // Within tolerance, the number of machines that count as lost decides. Beyond it, a disk may be lost as
    // long as every member set known to any machine keeps a majority of its disks.
    [[nodiscard]] bool mayWipe(std::size_t machineId) const {
        const auto& candidate = machines_[machineId];
        if (toleratedLosses_ == 0) return false;
        if (withinTolerance_) return countLost(machineId) < toleratedLosses_;
        const auto keepsMajority = [&](const proto::Members& members) {
            int lostVoters = 0;
            for (const auto& voter : members.voters())
                lostVoters += lostIdentities_.count({voter.address(), voter.number()}) != 0 ||
                                      (voter.address() == candidate.address &&
                                       voter.number() == candidate.disk.self.number())
                                  ? 1
                                  : 0;
            return lostVoters <= (members.voters_size() - 1) / 2;
        };
        const auto entriesKeepMajority = [&](const std::vector<proto::Entry>& entries) {
            const proto::Entry* newest = nullptr;
            for (const auto& entry : entries)
                if (entry.has_members()) newest = &entry;
            return newest == nullptr ||
                   (keepsMajority(newest->members()) && keepsMajority(newest->outgoing()));
        };
        return std::all_of(machines_.begin(), machines_.end(), [&](const Machine& machine) {
            return keepsMajority(machine.disk.snapshot.members()) &&
                   entriesKeepMajority(machine.disk.entries) &&
                   (!machine.up || keepsMajority(machine.replica->members())) &&
                   std::all_of(machine.writing.begin(), machine.writing.end(),
                               [&](const Write& write) { return entriesKeepMajority(write.entries); });
        });
    }
    void nextFault() {
        if (faultsEnded_) return;
        if (plan_.replacements) return replacementStep();
        schedule(now_ + random_.between(faultInterval_ / 4, faultInterval_ * 2), Kind::fault, 0);
        std::vector<std::size_t> deployed;
        for (std::size_t k = 0; k < machines_.size(); ++k)
            if (machines_[k].deployed) deployed.push_back(k);
        const auto roll = random_.below(100);
        if (roll < 4) return stopAll();
        if (roll < 7) {
            stopAllAtAck_ = true;
            return;
        }
        if (roll < 10) {
            stopAllAtElection_ = true;
            if (const auto leader = randomLeader(); leader && random_.chance(0.5))
                machines_[*leader].replica->transferLeadership(now_), scheduleReady(*leader);
            return;
        }
        if (!withinTolerance_ && roll < 10 + plan_.leaderSplitPercent) return splitLeadership();
        if (!withinTolerance_ && roll < 18 + plan_.leaderSplitPercent) {  // network partition
            const Micros until = now_ + random_.between(300 * kMs, 5 * kSecond);
            const bool delays = random_.chance(0.3);
            std::vector<bool> side(machines_.size());
            for (std::size_t k = 0; k < side.size(); ++k) side[k] = random_.chance(0.5);
            for (const auto a : deployed)
                for (const auto b : deployed)
                    if (side[a] != side[b]) cut(a, b, until, delays);
            return;
        }
        const std::size_t k = deployed[random_.below(deployed.size())];
        // Faults of leaders exercise more of the protocol.
        const auto leading = randomLeader();
        const std::size_t target = leading && random_.chance(0.35) ? *leading : k;
        if (withinTolerance_ && countLost(target) >= toleratedLosses_) return;
        injectFault(target);
    }
    // Stops all machines at once. At most the tolerated number of them lose their disks.
    void stopAll() {
        std::vector<std::size_t> order;
        for (std::size_t k = 0; k < machines_.size(); ++k)
            if (machines_[k].deployed) order.push_back(k);
        const bool power = random_.chance(0.6);
        std::size_t wipes = random_.chance(0.5) && (!withinTolerance_ || countLost(machines_.size()) == 0)
                                ? toleratedLosses_
                                : 0;
        for (std::size_t k = order.size(); k > 1; --k) std::swap(order[k - 1], order[random_.below(k)]);
        for (const auto k : order) {
            if (wipes > 0 && (withinTolerance_ || mayWipe(k))) {
                --wipes;
                wipe(k);
            } else {
                kill(k, power);
            }
        }
        for (const auto k : order) restartLater(k, 300 * kMs, withinTolerance_ ? kSecond : 2 * kSecond);
    }
    // The leader transfers leadership, the new leader cannot reach the old one, and a voter loses its disk
    // right after its vote. Its new identity may then contact the old leader first.
    void splitLeadership() {
        const auto leader = randomLeader();
        if (!leader) return;
        leaderSplit_ = Split::armed;
        machines_[*leader].replica->transferLeadership(now_);
        scheduleReady(*leader);
    }
    void cutAtHandOver(std::size_t from, std::size_t to) {
        leaderSplit_ = Split::cut;
        oldLeader_ = from;
        newLeader_ = to;
        cut(to, from, now_ + random_.between(500 * kMs, 1500 * kMs), false);
    }
    void wipeAfterSplit() {
        leaderSplit_ = Split::no;
        for (std::size_t k = 0; k < machines_.size(); ++k) {
            if (k == oldLeader_ || k == newLeader_ || !machines_[k].up || !mayWipe(k)) continue;
            wipe(k);
            restartLater(k, 20 * kMs, 200 * kMs);
            const Micros until = now_ + random_.between(300 * kMs, 1500 * kMs);
            cut(newLeader_, k, until, false);
            cut(k, newLeader_, until, false);
            return;
        }
    }
    void injectFault(std::size_t machineId) {
        auto& machine = machines_[machineId];
        const Micros span = random_.chance(0.3) ? random_.between(10 * kMs, 300 * kMs)
                                                : random_.between(300 * kMs, 5 * kSecond);
        const Micros until = now_ + span;
        const auto what = random_.below(16);
        trace(machineId, "fault " + std::to_string(what) + " for " + std::to_string(span));
        switch (what) {
            case 0: kill(machineId, false); return restartLater(machineId, 100 * kMs, 3 * kSecond);
            case 1: kill(machineId, true); return restartLater(machineId, 300 * kMs, 4 * kSecond);
            case 2:
            case 3:
                if (!mayWipe(machineId)) return;
                wipe(machineId);
                return restartLater(machineId, 200 * kMs, 5 * kSecond);
            case 4: machine.wipeAtAck = true; return;
            case 5: machine.killAtAck = true; return;
            case 6: machine.frozenUntil = until; return markLost(machineId, until);
            case 7: machine.diskStalledUntil = until; return markLost(machineId, until);
            case 8: machine.diskFullUntil = until; return markLost(machineId, until);
            case 9: {  // isolated
                const bool delays = random_.chance(0.4);
                for (std::size_t other = 0; other < machines_.size(); ++other) {
                    cut(machineId, other, until, delays);
                    cut(other, machineId, until, delays);
                }
                return markLost(machineId, until);
            }
            case 10:
            case 11: {  // one way only
                const bool out = random_.chance(0.5);
                const bool delays = random_.chance(0.4);
                for (std::size_t other = 0; other < machines_.size(); ++other)
                    out ? cut(machineId, other, until, delays) : cut(other, machineId, until, delays);
                return markLost(machineId, until);
            }
            case 12: {  // isolated from some machines only
                const bool delays = random_.chance(0.4);
                for (std::size_t other = 0; other < machines_.size(); ++other) {
                    if (random_.chance(0.5)) continue;
                    cut(machineId, other, until, delays);
                    cut(other, machineId, until, delays);
                }
                return markLost(machineId, until);
            }
            case 13: {
                const Micros slow = random_.between(5 * kMs, 250 * kMs);
                for (std::size_t other = 0; other < machines_.size(); ++other) {
                    link(machineId, other).extraLatency = link(other, machineId).extraLatency = slow;
                    link(machineId, other).extraLatencyUntil = link(other, machineId).extraLatencyUntil =
                        until;
                }
                return markLost(machineId, until);
            }
            case 14: {  // a planned shutdown
                if (!machine.up) return;
                machine.replica->transferLeadership(now_);
                scheduleReady(machineId);
                schedule(now_ + random_.between(0, 600 * kMs), Kind::kill, machineId);
                markLost(machineId, now_ + 2 * kSecond);
                schedule(now_ + random_.between(700 * kMs, 2 * kSecond), Kind::start, machineId);
                return;
            }
            default: return replaceMachine(machineId);
        }
    }
    // A spare machine starts and this one is removed permanently: at once, or after the new one had time to
    // become a voter.
    void replaceMachine(std::size_t machineId) {
        const auto spare = std::find_if(machines_.begin(), machines_.end(), [](const Machine& other) {
            return !other.deployed && other.incarnation == 0;
        });
        if (spare == machines_.end() || countLost(machines_.size()) != 0) return;
        if (!mayWipe(machineId)) return;
        spare->deployed = true;
        const auto spareId = static_cast<std::size_t>(spare - machines_.begin());
        const Micros start = now_ + random_.between(0, kSecond);
        spare->replaced = true;
        spare->zone = machines_[machineId].zone;
        schedule(start, Kind::start, spareId);
        ++replacements_;
        if (random_.chance(0.4)) {  // planned
            const Micros leavesAt = start + settings_.catchUp;
            markLost(machineId, leavesAt + kGrace);
            schedule(leavesAt, Kind::leave, machineId, 0, 0, 1);
            return;
        }
        wipe(machineId);
        machines_[machineId].deployed = false;
        markLost(machineId, start);
    }

    // ---- plans with replacements ----
    static constexpr std::size_t kSpares = 8;
    static constexpr Micros kGrace = 2 * kSecond;
    static constexpr Micros kMinute = 60 * kSecond;

    // Causes up to the tolerated number of losses as soon as the previous ones no longer count as lost.
    void replacementStep() {
        Micros free = now_;
        for (const auto& machine : machines_) free = std::max(free, machine.lostUntil);
        if (free > now_) return schedule(free + random_.between(0, 300 * kMs), Kind::fault, 0);
        schedule(now_ + random_.between(50 * kMs, 500 * kMs), Kind::fault, 0);
        expectSurvivable();
        ++statistics_.steps;
        const auto what = random_.below(12);
        if (what == 0) return stopAll();
        if (what == 1) return loseZone();
        std::size_t losses = 1 + random_.below(std::max<std::size_t>(1, toleratedLosses_));
        for (std::size_t tries = 0; losses > 0 && tries < 20; ++tries) {
            const auto k =
                random_.chance(0.35) ? randomLeader().value_or(0) : random_.below(machines_.size());
            if (!machines_[k].deployed || machines_[k].lostUntil > now_) continue;
            if (countLost(k) >= toleratedLosses_) return;
            --losses;
            replacementOne(k);
        }
    }
    void replacementOne(std::size_t machineId) {
        auto& machine = machines_[machineId];
        const auto what = random_.below(10);
        trace(machineId, "step " + std::to_string(what));
        switch (what) {
            case 0:
            case 1:
            case 2: return replaceMachine(machineId);
            case 3:
                wipe(machineId);
                machine.replaced = true;
                return restartLater(machineId, 200 * kMs, 3 * kSecond);
            case 4: machine.wipeAtAck = true; return markLost(machineId, now_ + 4 * kSecond);
            case 5: return leave(machineId, false);  // a restart
            case 6:
                machine.frozenUntil = now_ + random_.between(kSecond, 20 * kSecond);
                return markLost(machineId, machine.frozenUntil);
            case 7: markLost(machineId, now_ + 15 * kSecond); return flap(machineId, 8);
            case 8:
                kill(machineId, random_.chance(0.5));
                return restartLater(machineId, 500 * kMs, 10 * kSecond);
            default: {  // one way only
                const Micros until = now_ + random_.between(kSecond, 10 * kSecond);
                const bool out = random_.chance(0.5);
                for (std::size_t other = 0; other < machines_.size(); ++other)
                    out ? cut(machineId, other, until, false) : cut(other, machineId, until, false);
                return markLost(machineId, until);
            }
        }
    }
    void loseZone() {
        const auto& zone = machines_[random_.below(size_)].zone;
        if (zone.empty() || toleratedLosses_ == 0) return;
        const bool power = random_.chance(0.5);
        for (std::size_t k = 0; k < machines_.size(); ++k) {
            if (!machines_[k].deployed || machines_[k].zone != zone) continue;
            kill(k, power);
            restartLater(k, kSecond, 5 * kSecond);
        }
    }
    // SIGTERM: the process ends when it is released, at the latest after the grace period.
    void leave(std::size_t machineId, bool forGood) {
        auto& machine = machines_[machineId];
        if (!machine.up) return;
        markLost(machineId, now_ + kGrace);
        trace(machineId, "leaves");
        machine.replica->leave(now_);
        scheduleReady(machineId);
        schedule(now_ + 20 * kMs, Kind::stop, machineId, static_cast<std::uint64_t>(now_ + kGrace), 0,
                 forGood ? 1 : 0);
    }
    void stop(std::size_t machineId, std::uint64_t latest, bool forGood, std::uint64_t incarnation) {
        auto& machine = machines_[machineId];
        if (incarnation != machine.incarnation || !machine.up) return;
        if (!machine.replica->released() && now_ < static_cast<Micros>(latest))
            return schedule(now_ + 20 * kMs, Kind::stop, machineId, latest, 0, forGood ? 1 : 0);
        if (!forGood) {
            kill(machineId, false);
            return restartLater(machineId, 300 * kMs, 6 * kSecond);
        }
        wipe(machineId);
        machine.deployed = false;
        machine.lostUntil = std::min(machine.lostUntil, now_ + settings_.catchUp);
    }
    // The links of a machine repeatedly go down and come up again.
    void flap(std::size_t machineId, std::uint64_t times) {
        if (times == 0 || faultsEnded_) return;
        const Micros until = now_ + random_.between(500 * kMs, 3 * kSecond);
        for (std::size_t other = 0; other < machines_.size(); ++other) {
            cut(machineId, other, until, false);
            cut(other, machineId, until, false);
        }
        markLost(machineId, until);
        schedule(until + random_.between(300 * kMs, 1500 * kMs), Kind::flap, machineId, 0, 0, times - 1);
    }
    // While no machine counts as lost, any tolerated loss leaves a majority.
    void expectSurvivable() {
        const auto leader = randomLeader();
        if (toleratedLosses_ == 0) return;
        expect(leader.has_value(), "no leader although no machine counts as lost");
        const auto& voters = machines_[*leader].replica->members().voters();
        std::size_t alive = 0;
        std::map<std::string, std::size_t> inZone;
        for (const auto& voter : voters) {
            const auto& machine = machines_[indexOf(voter.address())];
            if (!machine.up || machine.disk.self.number() != voter.number()) continue;
            ++alive;
            if (!machine.zone.empty()) ++inZone[machine.zone];
        }
        const std::size_t majority = static_cast<std::size_t>(voters.size()) / 2 + 1;
        const std::string counted =
            std::to_string(alive) + " of " + std::to_string(voters.size()) + " voters are up";
        expect(alive >= majority + toleratedLosses_,
               "the tolerated losses would take the majority: " + counted);
        for (const auto& [zone, count] : inZone)
            expect(alive >= majority + count, "the loss of one zone would take the majority: " + counted);
    }
    // Within `catch_up` of its start, an empty machine is a voter or all voters are present.
    void expectReplacementsVote() {
        if (!plan_.replacements || faultsEnded_) return;
        const auto leader = randomLeader();
        if (!leader) return;
        const auto& members = machines_[*leader].replica->members();
        const auto votes = [&](const Machine& machine) {
            return std::any_of(members.voters().begin(), members.voters().end(), [&](const auto& voter) {
                return voter.address() == machine.address && voter.number() == machine.disk.self.number();
            });
        };
        const bool allThere =
            std::all_of(members.voters().begin(), members.voters().end(), [&](const auto& voter) {
                const auto& machine = machines_[indexOf(voter.address())];
                return machine.deployed && machine.disk.self.number() == voter.number();
            });
        for (auto& machine : machines_) {
            if (!machine.replaced || !machine.up) continue;
            if (allThere || votes(machine)) {
                machine.replaced = false;
                statistics_.slowestPromotion =
                    std::max(statistics_.slowestPromotion, now_ - machine.startedAt);
            } else {
                expect(lastFaultAt_ > machine.startedAt || now_ - machine.startedAt <= settings_.catchUp,
                       "a replacement is not a voter within its time");
            }
        }
    }
    void recordChange() {
        changeTimes_.push_back(now_);
        while (now_ - changeTimes_.front() > kMinute) changeTimes_.erase(changeTimes_.begin());
        statistics_.maxChangesPerMinute =
            std::max<std::uint64_t>(statistics_.maxChangesPerMinute, changeTimes_.size());
        const auto most = static_cast<std::uint64_t>(2 * kMinute / settings_.catchUp);
        expect(changeTimes_.size() <= most, "membership changes exceed their limit");
    }

    // ---- progress and final checks ----
    void checkProgress() {
        const bool may =
            withinTolerance_ && now_ - lastFaultAt_ >= 4 * kSecond && now_ > 8 * kSecond && !faultsEnded_;
        if (may && (toleratedLosses_ > 0 || countLost(machines_.size()) == 0))
            expect(!acknowledged_.empty() && now_ - acknowledged_.back().first < 4 * kSecond,
                   "no progress for 4 s although the faults are tolerated");
        if (faultsEnded_ && now_ - faultsEndAt_ > 3 * kSecond)
            expect(firstAckAfterFaults_.has_value(), "no progress within 3 s of the end of the faults");
    }
    void endFaults() {
        faultsEnded_ = true;
        stopAllAtAck_ = stopAllAtElection_ = false;
        leaderSplit_ = Split::no;
        trace(0, "faults end");
        for (auto& route : links_) {
            route.cutUntil = std::min(route.cutUntil, now_);
            route.extraLatencyUntil = 0;
            if (route.lastAt > now_ + 10 * kMs) {  // messages delayed for this long are lost
                ++route.epoch;
                route.lastAt = now_;
            }
        }
        for (std::size_t k = 0; k < machines_.size(); ++k) {
            auto& machine = machines_[k];
            machine.diskFullUntil = 0;
            machine.diskStalledUntil = std::min(machine.diskStalledUntil, now_);
            machine.frozenUntil = 0;
            machine.wipeAtAck = machine.killAtAck = false;
            if (machine.deployed && !machine.up) start(k);
            if (!machine.up) continue;
            machine.tickAt = machine.readyAt = -1;
            scheduleReady(k);
            if (!machine.writing.empty()) beginWrite(k);
        }
    }
    void checkFinalState() {
        expect(firstAckAfterFaults_.has_value(), "no progress after the end of the faults");
        proto::Members members;
        std::size_t deployed = 0;
        for (const auto& machine : machines_) {
            if (!machine.deployed) continue;
            ++deployed;
            expect(machine.applied >= firstIndexAfterFaults_,
                   "a machine has not applied what the others have");
            const Micros age = machine.replica->quorumContactAge(now_);
            expect(age >= 0 && age < kSecond, "a machine has no quorum contact after the end of the faults");
            if (machine.replica->leads()) members = machine.replica->members();
        }
        expect(!members.voters().empty(), "no leader at the end");
        const auto voters = static_cast<std::size_t>(members.voters_size());
        std::size_t alive = 0;
        for (const auto& voter : members.voters()) {
            const auto& machine = machines_[indexOf(voter.address())];
            const bool current = machine.disk.self.number() == voter.number();
            alive += machine.deployed && current ? 1 : 0;
            expect(current || !machine.deployed, "a voter at the end has lost its disk");
        }
        if (replacements_ == 0) {
            const std::size_t wanted = deployed < 3 ? deployed : deployed % 2 == 1 ? deployed : deployed - 1;
            expect(voters == std::min<std::size_t>(wanted, settings_.maxVoters),
                   std::to_string(voters) + " voters instead of " + std::to_string(wanted));
        } else {
            expect(alive >= voters / 2 + 1 + toleratedLosses_,
                   "the tolerated losses would take the majority: of " + std::to_string(voters) + " voters " +
                       std::to_string(alive) + " are present");
        }
    }
};

}  // namespace marldale::raft::world
