// Operator calls that wait for the replicated log: orders (configuration changes) and linearizable reads.
// Decides whether an order is proposed, redirected or rejected, and how each call is answered.
//
// An order is confirmed or rejected only by the verdict on its committed entry, which is the same on every
// member. A call whose result is not known ends as `unavailable`, which promises nothing: the order may or
// may not be in force. A member that has not heard from a majority within `Limits::maxContactAge` starts no
// call and answers `unavailable` at once.
//
// Reads follow ReadIndex (Ongaro's thesis, 6.4); repeated orders follow client sessions (6.3), where
// an order is identified by its version, the version it is built on and its digest. No I/O: time and the
// events of the log are passed in as values, and replies are collected with `takeReplies`.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "gateway/configuration/order_history.h"
#include "gateway/raft/replica.h"

namespace marldale::controller {

/// Identifies a call, an order or a read, within one process.
using OrderId = std::uint64_t;

/// The operations of the replicated log that the queue uses. `ReplicaLog` implements them with a Raft
/// replica.
class ReplicatedLog {
public:
    virtual ~ReplicatedLog() = default;
    [[nodiscard]] virtual bool leads() const = 0;
    /// Inside address of the leader if known; this may be the member itself.
    [[nodiscard]] virtual std::optional<std::string> leader() const = 0;
    [[nodiscard]] virtual raft::Term term() const = 0;
    /// Time since this member was last in contact with a majority; -1 if it never was.
    [[nodiscard]] virtual Micros quorumContactAge(Micros now) const = 0;
    /// The index of the new entry; nothing if the log accepts no entries now.
    virtual std::optional<raft::Index> propose(Micros now, std::string change) = 0;
    /// Starts a linearizable read; `OrderQueue::readEnded` reports its end under the same ticket.
    virtual void read(Micros now, std::uint64_t ticket) = 0;
};

/// The replicated log of a Raft replica.
class ReplicaLog final : public ReplicatedLog {
public:
    explicit ReplicaLog(raft::Replica& replica) : replica_(replica) {}
    [[nodiscard]] bool leads() const override { return replica_.leads(); }
    [[nodiscard]] std::optional<std::string> leader() const override;
    [[nodiscard]] raft::Term term() const override { return replica_.term(); }
    [[nodiscard]] Micros quorumContactAge(Micros now) const override {
        return replica_.quorumContactAge(now);
    }
    std::optional<raft::Index> propose(Micros now, std::string change) override {
        return replica_.propose(now, std::move(change));
    }
    void read(Micros now, std::uint64_t ticket) override { replica_.read(now, ticket); }

private:
    raft::Replica& replica_;
};

/// How a call ended.
enum class OrderOutcome {
    confirmed,      // the order is committed and in force
    rejectedStale,  // built on a version that is not current; the order will never be in force
    invalid,        // not valid on any version; the order will never be in force
    readConfirmed,  // the state applied on this member is the newest
    redirect,       // the caller should ask `OrderReply::leader`
    unavailable,    // the result is unknown: the order may be in force now or later
};

/// Why a call ended as `unavailable`.
enum class UnavailableReason {
    none,
    noQuorumContact,  // cut off from the majority, or not yet in contact with it
    noLeader,         // no leader became known within `Limits::leaderWait`
    leadershipLost,   // the next leader may or may not commit the entry
    logRefused,       // a leadership transfer is under way, or too many entries are uncommitted
    timedOut,         // not committed, or the read not completed, in time
    undecided,        // the record needed to decide a repeated order has been dropped
    stopping,         // this process is shutting down
};
/// The reason as the text of an error reply.
[[nodiscard]] const char* textOf(UnavailableReason reason);

/// The result of one call.
struct OrderReply {
    OrderId id = 0;
    OrderOutcome outcome = OrderOutcome::unavailable;
    UnavailableReason reason = UnavailableReason::none;  // set for `unavailable`
    std::string leader;                                  // set for `redirect`: inside address
};

/// Faults that tests and the simulation inject to show that they are detected. All are off in production.
struct OrderQueueFaults {
    bool confirmsOnPropose = false;      // replies before the entry is committed
    bool rejectsUnavailable = false;     // a call with an unknown result is answered as rejected
    bool answersWithoutContact = false;  // a member that is cut off answers reads from its own state
};

/// Holds the calls of one member until the log decides them.
class OrderQueue {
public:
    /// Time limits, in microseconds.
    struct Limits {
        Micros maxContactAge = 1200000;  // of a majority; if it is older, no call starts and none waits
        Micros order = 2500000;          // from the proposal to the verdict
        Micros read = 900000;            // from the start of the read to its end
        Micros leaderWait = 800000;      // how long a call waits for a leader to become known
    };
    OrderQueue(ReplicatedLog& log, Limits limits, OrderQueueFaults faults = {})
        : log_(log), limits_(limits), faults_(faults) {}

    /// Takes an order. `takeReplies` gives its one reply, now or later.
    void submit(Micros now, OrderId id, std::string change);
    /// Takes an order that its caller has found to be invalid on any version. It never enters the log: a
    /// member in contact with a majority answers `invalid`, any other answers as for a valid order.
    void submitInvalid(Micros now, OrderId id);
    /// Takes a linearizable read, answered like an order.
    void read(Micros now, OrderId id);

    /// Events of the log, in log order. The committed entry at `index` has this term and verdict.
    void committed(raft::Index index, raft::Term term, configuration::Verdict verdict);
    /// A snapshot has replaced the entries up to and including `through`.
    void installed(raft::Index through);
    /// A read started with `ReplicatedLog::read` has ended.
    void readEnded(const raft::ReadResult& end);
    /// Ends expired calls and retries those that wait for a leader. Call it after any event of the log, and
    /// at `nextDue`.
    void update(Micros now);
    /// Accepts no more calls; pending ones may still be decided until `finish`.
    void stop() { stopping_ = true; }
    /// Ends all pending calls as `unavailable`.
    void finish();

    /// The replies since the last call.
    [[nodiscard]] std::vector<OrderReply> takeReplies();
    /// The number of calls that have no reply yet.
    [[nodiscard]] std::size_t pending() const {
        return proposed_.size() + pendingReads_.size() + waitingForLeader_.size();
    }
    /// The earliest deadline; the largest value if no call is pending.
    [[nodiscard]] Micros nextDue() const;
    /// Whether this member has heard from a majority within `Limits::maxContactAge`.
    [[nodiscard]] bool inContact(Micros now) const;

private:
    enum class CallKind { order, invalidOrder, read };
    struct Call {
        OrderId id = 0;
        CallKind kind = CallKind::read;
        std::string change;  // of an order
    };
    struct WaitingCall {  // no leader is known yet
        Call call;
        Micros deadline = 0;
    };
    struct ProposedOrder {
        OrderId id = 0;
        raft::Term term = 0;
        Micros deadline = 0;
    };
    struct PendingRead {
        OrderId id = 0;
        Micros deadline = 0;
    };

    void dispatch(Micros now, WaitingCall waiting);
    void start(Micros now, Call call);
    void replyUnavailable(OrderId id, UnavailableReason reason);
    void replyUnavailableToAll(UnavailableReason reason);
    void expireCalls(Micros now);
    void dispatchWaiting(Micros now);

    ReplicatedLog& log_;
    Limits limits_;
    OrderQueueFaults faults_;
    std::multimap<raft::Index, ProposedOrder> proposed_;
    std::map<std::uint64_t, PendingRead> pendingReads_;  // by ticket
    std::deque<WaitingCall> waitingForLeader_;
    std::vector<OrderReply> replies_;
    std::uint64_t lastTicket_ = 0;
    bool stopping_ = false;
};

}  // namespace marldale::controller
