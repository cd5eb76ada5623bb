// One member of the replicated log: election, append, commit, membership, snapshots, reads. After Raft
// (Ongaro, Ousterhout: "In Search of an Understandable Consensus Algorithm", 2014; Ongaro's thesis: pre-vote,
// check quorum, one member at a time). No I/O: time, messages and what the disk has done come in as values,
// and what is to be done goes out as `Ready`.
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

// What a disk keeps: all of it is back after a restart, or the machine comes back as a stranger.
struct PersistentState {
    proto::Member self;  // its number is drawn when the disk is first written
    Term term = 0;
    std::optional<proto::Member> votedFor;
    proto::Snapshot snapshot;           // index 0: none; its members are those at that index
    std::vector<proto::Entry> entries;  // after the snapshot, without gaps
};

// Planted by tests, to show that their world finds them. All off in service.
struct Faults {
    bool answersVoteUnsynced = false;
    bool answersAppendUnsynced = false;
    bool countsOwnUnsynced = false;  // a leader's own entries count before its disk has them
    bool readsWithoutRound = false;  // without a round
    bool commitsOldTerms = false;    // entries of earlier terms by counting
    bool votesForShorterLogs = false;
    bool changesAtOnce = false;            // members change though the last change isn't committed
    bool forgetsOutgoing = false;          // the old members' majority isn't asked for
    bool ignoresNumbers = false;           // a member is told by its address alone
    bool installsOlderSnapshots = false;   // over a newer state
    bool losesEntryAfterSnapshot = false;  // on the disk of a follower that installs one
    bool trimsUnderFollowers = false;      // the log that a follower needs next isn't kept for it
    SnapshotTransferFaults transfer;
    bool trustsArrival = false;         // `quorumContactAge` counts from when word arrived
    bool keepsSilentVoter = false;      // a silent voter is never replaced
    bool ignoresZones = false;          // voters are chosen as if each machine were a zone of its own
    bool leavesWithOnlyCopy = false;    // a leaving member is released at once
    bool replacesWithoutLimit = false;  // silent voters are replaced as often as links come and go
    bool forgetsOthersChanges = false;  // a new leader begins the limit of changes anew
};

struct Settings {
    std::vector<std::string>
        seeds;                  // addresses (inside) of the first voters; used only where `self.number` is 0
    std::uint64_t seed = 1;     // of election times
    std::size_t maxVoters = 7;  // an odd number of voters is aimed at, up to this; the others learn
    Micros heartbeat = 150000;
    Micros electionLeast = 600000, electionMost = 1200000;
    // The successor of a lost machine votes within this span of its own start (`bounds.catch_up`).
    Micros catchUp = 4000000;
    std::size_t batchBytes = std::size_t{256} << 10U;  // of entries in one message; one entry may be larger
    SnapshotTransferSettings snapshotTransfer;
    // Kept in memory of the log before a snapshot, beyond the size of the snapshot, for followers that are
    // catching up. A follower whose link carries more than the changes' bytes a second finds the entry after
    // its snapshot.
    std::size_t catchUpBytes = std::size_t{16} << 20U;
    Faults faults;
};

// What must never be, in words. By default written to standard error, and the process ends; tests put a
// function here that throws.
using InvariantHandler = void (*)(const char* sentence);
void setInvariantHandler(InvariantHandler breach);

// One sync of the disk: all of it, or nothing. Writes are done in order; `Replica::persisted` tells the last
// done.
struct Write {
    std::uint64_t number = 0;
    bool hasHardState = false;  // term and vote are to be written
    Term term = 0;
    std::optional<proto::Member> votedFor;
    std::optional<Index> truncateFrom;        // drop stored entries from this index on, before appending
    std::vector<proto::Entry> entries;        // to append
    std::optional<proto::Snapshot> snapshot;  // replaces all up to its index (entries beyond it stay only
                                              // where `truncateFrom` says nothing)
};

// What happened, for the log output of the process.
enum class EventKind {
    electionStarted,
    electionWon,
    leadershipLost,  // to another term, or handed over
    quorumLost,      // this leader stepped down by itself: no majority answered
    membershipProposed,
    membershipCommitted,  // told by every replica that learns of it
    learnerCaughtUp,
    snapshotInstalled,
};

struct Event {
    EventKind kind;
    Term term = 0;
    Index index = 0;                            // of the entry or snapshot, where there is one
    std::optional<proto::Member> member;        // learnerCaughtUp
    std::vector<proto::Member> added, removed;  // changes of membership
    std::optional<ChangeReason> reason;         // membershipProposed
};

// A machine as the leader sees it.
struct PeerStatus {
    proto::Member member;
    bool votes = false, caughtUp = false, leaving = false;
    Index match = 0;
    Micros contactAge = 0;  // since it was last heard
};

// What a replica knows of itself and of the others.
struct Status {
    proto::Member self;
    bool leads = false;
    std::optional<proto::Member> leader;
    Term term = 0;
    Index committed = 0, last = 0;
    Micros quorumContactAge = -1;
    std::vector<proto::Member> voters;
    std::vector<PeerStatus> peers;  // only where this leads: voters and learners but itself
};

struct ReadResult {
    std::uint64_t ticket = 0;
    bool confirmed =
        false;  // what is applied up to `index` is the newest; otherwise this is no leader (any more)
    Index index = 0;
};

// In this order: messages may go at once; writes are to be synced in order; what is committed is to be
// applied. Whatever must be durable before it is said is held back inside until `persisted`.
struct Ready {
    std::vector<proto::RaftMessage> messages;
    std::vector<Write> writes;
    std::optional<proto::Snapshot> install;  // the state machine begins anew from this, before `committed`
    std::vector<proto::Entry> committed;
    std::vector<ReadResult> reads;
    std::vector<Event> events;
};

class Replica {
public:
    Replica(Settings settings, PersistentState stored, Micros now);
    ~Replica();
    Replica(const Replica&) = delete;
    Replica& operator=(const Replica&) = delete;

    // Everything below may leave something in `take`.
    void tick(Micros now);
    [[nodiscard]] Micros nextDue() const;  // when `tick` is to be called at the latest
    void receive(Micros now, const proto::RaftMessage& message);
    void persisted(Micros now, std::uint64_t write);
    // Nothing where this does not lead. That the entry is committed is told by `Ready::committed` with this
    // index and the term of now; another term there means that it was lost.
    [[nodiscard]] std::optional<Index> propose(Micros now, std::string data);
    void read(Micros now, std::uint64_t ticket);  // its end comes in `Ready::reads`, within a few heartbeats
    void compact(Micros now, Index through, std::string state);  // of the state machine after `through`
    void transferLeadership(Micros now);  // the lead goes to the voter that is furthest, where this leads
    // This process will end (SIGTERM; whether its machine returns isn't known). It hands the lead over,
    // starts no election, and says in every answer that it leaves, so that any leader, also the next one,
    // gives its place to a learner that has caught up.
    void leave(Micros now);
    // After `leave`: others hold all that this holds, and it votes no more where a learner could take its
    // place. Where that can't be reached (no majority remains) it stays false: end at the limit of time.
    [[nodiscard]] bool released() const;
    [[nodiscard]] Ready take();

    [[nodiscard]] bool leads() const;
    [[nodiscard]] std::optional<proto::Member> leader() const;  // as far as known, in this term
    [[nodiscard]] Term term() const;
    [[nodiscard]] Index committed() const;
    [[nodiscard]] const proto::Members& members() const;
    [[nodiscard]] Status status(Micros now) const;
    [[nodiscard]] const proto::Member& self() const;
    [[nodiscard]] bool votes() const;  // this is a voter
    // So long ago this was sure to hear of every change that is acknowledged (a leader: a majority confirmed
    // it; others: the leader's last heartbeat, plus what it said of itself); -1: never yet.
    [[nodiscard]] Micros quorumContactAge(Micros now) const;
    // Where a machine that is no voter sends JOIN when it knows no leader: any of these addresses.
    void contacts(std::vector<std::string> addresses);

private:
    struct State;
    std::unique_ptr<State> state_;
};

}  // namespace marldale::raft
