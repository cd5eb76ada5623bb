// A member of a replicated log: elections, replication, commit, membership changes, snapshots and reads. It
// implements Raft (Ongaro, Ousterhout: "In Search of an Understandable Consensus Algorithm", 2014) with
// pre-vote and check quorum of Ongaro's thesis. No I/O: time, messages and completed disk writes are inputs,
// and the resulting work is returned as `Ready`.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gateway/raft/membership_plan.h"
#include "gateway/raft/snapshot_transfer.h"
#include "marldale/gateway/internal.pb.h"
#include "policy/types.h"

namespace marldale::raft {

namespace proto = gateway::proto;
using Term = std::uint64_t;
using Index = std::uint64_t;

// The persistent state of a replica. After a restart the disk returns all of it; a machine that lost its disk
// joins as a new member.
struct PersistentState {
    proto::Member self;  // its number is drawn when the disk is first written
    Term term = 0;
    std::optional<proto::Member> votedFor;
    proto::Snapshot snapshot;           // index 0: none; its members are those at that index
    std::vector<proto::Entry> entries;  // after the snapshot, without gaps
};

// Faults that tests inject to show that the simulation detects them. All off in production.
struct Faults {
    bool answersVoteUnsynced = false;    // responds to a vote request before the vote is durable
    bool answersAppendUnsynced = false;  // confirms entries before they are durable
    bool countsOwnUnsynced = false;      // a leader counts its own entries before they are durable
    bool readsWithoutRound = false;      // confirms reads without a round of heartbeats
    bool commitsOldTerms = false;        // commits entries of earlier terms by counting replicas
    bool votesForShorterLogs = false;
    bool changesAtOnce = false;            // changes members before the previous change is committed
    bool forgetsOutgoing = false;          // does not require the majority of the previous members
    bool ignoresNumbers = false;           // identifies a member by its address alone
    bool installsOlderSnapshots = false;   // over a newer state
    bool losesEntryAfterSnapshot = false;  // a follower does not write the entry after an installed snapshot
    bool trimsUnderFollowers = false;      // the leader does not retain entries that followers need next
    SnapshotTransferFaults transfer;
    bool trustsArrival = false;         // `quorumContactAge` counts from the arrival of a message
    bool keepsSilentVoter = false;      // never replaces a silent voter
    bool ignoresZones = false;          // chooses voters as if each machine were in a separate zone
    bool leavesWithOnlyCopy = false;    // releases a leaving member at once
    bool replacesWithoutLimit = false;  // replaces silent voters without a limit on membership changes
    bool forgetsOthersChanges = false;  // a new leader ignores the membership changes of previous leaders
};

// Configuration of a replica.
struct Settings {
    // Internal addresses of the first voters; used only if `self.number` is 0.
    std::vector<std::string> seeds;
    std::uint64_t seed = 1;  // of the random election timeouts
    // Upper limit for the number of voters, which is kept odd if possible; further members are learners.
    std::size_t maxVoters = 7;
    Micros heartbeat = 150000;  // interval
    Micros minElectionTimeout = 600000, maxElectionTimeout = 1200000;
    // The replacement of a lost machine becomes a voter within this time of its own start
    // (`bounds.catch_up`).
    Micros catchUp = 4000000;
    std::size_t maxBatchBytes = std::size_t{256} << 10U;  // of entries per message; one entry may be larger
    SnapshotTransferSettings snapshotTransfer;
    // Log retained in memory before a snapshot, beyond the size of the snapshot, for followers that are
    // catching up. A follower whose link carries more than the log grows per second then finds the entry
    // after its snapshot.
    std::size_t catchUpBytes = std::size_t{16} << 20U;
    Faults faults;
};

// Called with a description of a violated invariant. By default it is written to standard error and the
// process aborts; tests install a handler that throws.
using InvariantHandler = void (*)(const char* message);
// Installs a handler, or the default with nullptr.
void setInvariantHandler(InvariantHandler handler);

// One atomic, synced write to disk. Writes are performed in order; the caller reports each completed one to
// `Replica::persisted`.
struct Write {
    std::uint64_t number = 0;
    bool hasHardState = false;  // `term` and `votedFor` are to be written
    Term term = 0;
    std::optional<proto::Member> votedFor;
    std::optional<Index> truncateFrom;  // drop stored entries from this index on before appending
    std::vector<proto::Entry> entries;  // to append
    // Replaces everything up to its index. Later entries remain only if `truncateFrom` is not set.
    std::optional<proto::Snapshot> snapshot;
};

// Kinds of events that the process logs.
enum class EventKind {
    electionStarted,
    electionWon,
    leadershipLost,  // to another term, or transferred
    quorumLost,      // the leader stepped down because no majority responded
    membershipProposed,
    membershipCommitted,  // reported by every replica that learns of it
    learnerCaughtUp,
    snapshotInstalled,
};

// An event for the process log.
struct Event {
    EventKind kind;
    Term term = 0;
    Index index = 0;                            // of the entry or snapshot, if any
    std::optional<proto::Member> member;        // learnerCaughtUp
    std::vector<proto::Member> added, removed;  // membership changes
    std::optional<ChangeReason> reason;         // membershipProposed
};

// Another machine as seen by the leader.
struct PeerStatus {
    proto::Member member;
    bool votes = false, caughtUp = false, leaving = false;
    Index match = 0;        // the last log index known to be durable there
    Micros contactAge = 0;  // since its last message
};

// A replica's view of itself and of the other members.
struct Status {
    proto::Member self;
    bool leads = false;
    std::optional<proto::Member> leader;
    Term term = 0;
    Index committed = 0, last = 0;  // log indices
    Micros quorumContactAge = -1;
    std::vector<proto::Member> voters;
    std::vector<PeerStatus> peers;  // filled by the leader only: all other voters and learners
};

// The result of a read that was requested with `Replica::read`.
struct ReadResult {
    std::uint64_t ticket = 0;
    bool confirmed = false;  // the state applied up to `index` is current; false: this replica does not lead
    Index index = 0;
};

// Work for the caller. Messages may be sent at once, writes are to be synced in order and committed entries
// are to be applied, in this order. Messages that require durability are held back until `persisted` is
// called.
struct Ready {
    std::vector<proto::RaftMessage> messages;
    std::vector<Write> writes;
    std::optional<proto::Snapshot>
        install;  // replaces the state machine's state before `committed` is applied
    std::vector<proto::Entry> committed;
    std::vector<ReadResult> reads;
    std::vector<Event> events;
};

// A member of a replicated log.
class Replica {
public:
    Replica(Settings settings, PersistentState stored, Micros now);
    ~Replica();
    Replica(const Replica&) = delete;
    Replica& operator=(const Replica&) = delete;

    // Each of the following functions may produce work that `take` returns.
    void tick(Micros now);
    [[nodiscard]] Micros nextDue() const;  // the latest time for the next `tick`
    void receive(Micros now, const proto::RaftMessage& message);
    void persisted(Micros now, std::uint64_t write);
    // Appends an entry and returns its index, or nothing if this replica does not lead. The entry is
    // committed once `Ready::committed` contains this index with the current term; an entry of another term
    // at this index means that the proposal was lost.
    [[nodiscard]] std::optional<Index> propose(Micros now, std::string data);
    // Requests a read. Its result appears in `Ready::reads` within a few heartbeats.
    void read(Micros now, std::uint64_t ticket);
    // Compacts the log through an index; `state` is the state machine's state after that entry.
    void compact(Micros now, Index through, std::string state);
    // Transfers leadership to the most advanced voter. Does nothing unless this replica leads.
    void transferLeadership(Micros now);
    // Prepares the end of this process (SIGTERM; whether the machine returns is unknown). The replica
    // transfers leadership, starts no elections and announces in every response that it is leaving, so any
    // leader, including the next one, replaces it by a learner that has caught up.
    void leave(Micros now);
    // After `leave`: whether the process may terminate, because other members hold all its entries and, if a
    // learner could replace it, it is no longer a voter. Stays false if that cannot be reached (no majority
    // remains); the caller then terminates at its own time limit.
    [[nodiscard]] bool released() const;
    // Returns the accumulated work and clears it.
    [[nodiscard]] Ready take();

    [[nodiscard]] bool leads() const;
    [[nodiscard]] std::optional<proto::Member> leader() const;  // of this term, if known
    [[nodiscard]] Term term() const;
    [[nodiscard]] Index committed() const;
    [[nodiscard]] const proto::Members& members() const;
    [[nodiscard]] Status status(Micros now) const;
    [[nodiscard]] const proto::Member& self() const;
    [[nodiscard]] bool votes() const;  // whether this replica is a voter
    // Age of the last time at which this replica was certain to learn of every acknowledged change; -1:
    // never. For a leader this is its last confirmation by a majority; for a follower it is derived from the
    // leader's last heartbeat and the age that the leader reported.
    [[nodiscard]] Micros quorumContactAge(Micros now) const;
    // Sets the addresses to which a machine that is not a voter sends JOIN while it knows no leader.
    void contacts(std::vector<std::string> addresses);

private:
    struct State;
    std::unique_ptr<State> state_;
};

}  // namespace marldale::raft
