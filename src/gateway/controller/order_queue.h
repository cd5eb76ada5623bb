// Calls of operators that wait for the replicated log: orders (changes) and linearizable reads. Decides
// when an order is proposed, redirected or turned away, and how each one is answered. An order is confirmed
// or refused only by its committed entry (its verdict is the same on every member); whatever is not known to
// be decided ends as `unavailable`, which promises nothing. A member that has not heard from a majority
// within `Limits::contact` begins nothing and answers `unavailable` at once. After ReadIndex (Ongaro's
// thesis, 6.4) and 6.3 (client sessions, here by the order's own identity). No I/O: time and what the log has
// done come in as values, replies go out by `take`.
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

using OrderId = std::uint64_t;

// The log as the queue needs it; `ReplicaLog` is that of a replica.
class ReplicatedLog {
public:
    virtual ~ReplicatedLog() = default;
    [[nodiscard]] virtual bool leads() const = 0;
    // Inside address of the leader, as far as known; may be this member.
    [[nodiscard]] virtual std::optional<std::string> leader() const = 0;
    [[nodiscard]] virtual raft::Term term() const = 0;
    // -1: never in contact with a majority.
    [[nodiscard]] virtual Micros quorumContactAge(Micros now) const = 0;
    // Nothing where the log takes no entries now.
    virtual std::optional<raft::Index> propose(Micros now, std::string change) = 0;
    virtual void read(Micros now, std::uint64_t ticket) = 0;
};

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

enum class OrderOutcome {
    confirmed,      // in force by the log
    rejectedStale,  // another version is current; this order is never in force
    invalid,        // whatever is current; never in force
    readConfirmed,  // what is applied here now is the newest
    redirect,       // `OrderReply::leader` is the one to ask
    unavailable,    // nothing is known: it may be in force, now or later
};

enum class UnavailableReason {
    none,
    noQuorumContact,  // cut off from the majority, or not yet in contact
    noLeader,         // none is known, for as long as a call may wait
    leadershipLost,   // the entry may or may not be committed by the next leader
    logRefused,       // a handover is under way, or too much is uncommitted
    timedOut,         // proposed, and not committed in time
    undecided,        // the order's record has been dropped
    stopping,
};
[[nodiscard]] const char* textOf(UnavailableReason reason);

struct OrderReply {
    OrderId id = 0;
    OrderOutcome outcome = OrderOutcome::unavailable;
    UnavailableReason reason = UnavailableReason::none;  // of `unavailable`
    std::string leader;                                  // of `redirect`: inside address
};

// Planted by tests and by the simulation. All off in service.
struct OrderQueueFaults {
    bool confirmsOnPropose = false;      // answers before the entry is committed
    bool refusesUnclear = false;         // what ends without a verdict is answered as refused
    bool answersWithoutContact = false;  // a member that is cut off reads by what it holds
};

class OrderQueue {
public:
    struct Limits {
        Micros contact = 1200000;  // with a majority; older: nothing is begun and nothing waits
        Micros order = 2500000;    // from the proposal to the verdict
        Micros read = 900000;
        Micros leaderKnown = 800000;  // a call waits so long for a leader
    };
    OrderQueue(ReplicatedLog& log, Limits limits, OrderQueueFaults faults = {})
        : log_(log), limits_(limits), faults_(faults) {}

    void submit(Micros now, OrderId id, std::string change);
    void read(Micros now, OrderId id);

    // What the log has done, in its order.
    void committed(raft::Index index, raft::Term term, configuration::Verdict verdict);
    void installed(raft::Index through);  // a snapshot has replaced the entries up to here
    void readEnded(const raft::ReadResult& end);
    // After any event of the log, and when `nextDue` has come.
    void update(Micros now);
    // No more calls are taken; those that wait have until `finish`.
    void stop() { stopping_ = true; }
    void finish();  // whatever still waits ends as unavailable

    [[nodiscard]] std::vector<OrderReply> take();
    [[nodiscard]] std::size_t pending() const { return proposed_.size() + reads_.size() + held_.size(); }
    [[nodiscard]] Micros nextDue() const;  // the largest value where nothing waits
    [[nodiscard]] bool inContact(Micros now) const;

private:
    struct Call {
        OrderId id = 0;
        std::optional<std::string> change;  // nothing: a read
    };
    struct Held {  // no leader is known
        Call call;
        Micros until = 0;
    };
    struct Proposed {
        OrderId id = 0;
        raft::Term term = 0;
        Micros until = 0;
    };
    struct Read {
        OrderId id = 0;
        Micros until = 0;
    };

    void dispatch(Micros now, Held held);
    void begin(Micros now, Call call);
    void endUnavailable(OrderId id, UnavailableReason reason);
    void endAll(UnavailableReason reason);
    void endLate(Micros now);
    void dispatchHeld(Micros now);

    ReplicatedLog& log_;
    Limits limits_;
    OrderQueueFaults faults_;
    std::multimap<raft::Index, Proposed> proposed_;
    std::map<std::uint64_t, Read> reads_;  // by ticket
    std::deque<Held> held_;
    std::vector<OrderReply> replies_;
    std::uint64_t lastTicket_ = 0;
    bool stopping_ = false;
};

}  // namespace marldale::controller
