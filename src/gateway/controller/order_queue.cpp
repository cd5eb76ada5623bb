#include "gateway/controller/order_queue.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace marldale::controller {
namespace {

constexpr Micros kNever = std::numeric_limits<Micros>::max();

OrderReply replyOf(OrderId id, configuration::Verdict verdict) {
    OrderReply out;
    out.id = id;
    switch (verdict) {
        case configuration::Verdict::taken:
        case configuration::Verdict::already: out.outcome = OrderOutcome::confirmed; break;
        case configuration::Verdict::stale: out.outcome = OrderOutcome::rejectedStale; break;
        case configuration::Verdict::invalid: out.outcome = OrderOutcome::invalid; break;
        case configuration::Verdict::undecided: out.reason = UnavailableReason::undecided; break;
    }
    return out;
}

}  // namespace

std::optional<std::string> ReplicaLog::leader() const {
    const auto leader = replica_.leader();
    if (!leader) return std::nullopt;
    // The known leader is an earlier run of this process, so no request can be redirected to it.
    if (!replica_.leads() && leader->address() == replica_.self().address()) return std::nullopt;
    return leader->address();
}

const char* textOf(UnavailableReason reason) {
    switch (reason) {
        case UnavailableReason::none: return "";
        case UnavailableReason::noQuorumContact: return "no contact with a majority of the controllers";
        case UnavailableReason::noLeader: return "no leader is known";
        case UnavailableReason::leadershipLost: return "the leader has changed";
        case UnavailableReason::logRefused: return "the log takes no entries now";
        case UnavailableReason::timedOut: return "not committed in time";
        case UnavailableReason::undecided: return "the order's record has been dropped";
        case UnavailableReason::stopping: return "this controller stops";
    }
    return "";
}

bool OrderQueue::inContact(Micros now) const {
    const Micros age = log_.quorumContactAge(now);
    return age >= 0 && age <= limits_.maxContactAge;
}

void OrderQueue::submit(Micros now, OrderId id, std::string change) {
    dispatch(now, {{id, CallKind::order, std::move(change)}, now + limits_.leaderWait});
}

void OrderQueue::submitInvalid(Micros now, OrderId id) {
    dispatch(now, {{id, CallKind::invalidOrder, {}}, now + limits_.leaderWait});
}

void OrderQueue::read(Micros now, OrderId id) {
    dispatch(now, {{id, CallKind::read, {}}, now + limits_.leaderWait});
}

void OrderQueue::dispatch(Micros now, WaitingCall waiting) {
    const OrderId id = waiting.call.id;
    if (stopping_) return replyUnavailable(id, UnavailableReason::stopping);
    const auto leader = log_.leader();
    const bool hasContact = inContact(now);
    const bool neverInContact = log_.quorumContactAge(now) < 0;
    if (hasContact && waiting.call.kind == CallKind::invalidOrder) {
        replies_.push_back({id, OrderOutcome::invalid, UnavailableReason::none, {}});
        return;
    }
    if (log_.leads()) {
        if (hasContact || faults_.answersWithoutContact) return start(now, std::move(waiting.call));
    } else if (leader && (hasContact || neverInContact)) {
        // The leader verifies its own contact with a majority before it answers.
        replies_.push_back({id, OrderOutcome::redirect, UnavailableReason::none, *leader});
        return;
    } else if (!hasContact && !neverInContact) {
        return replyUnavailable(id, UnavailableReason::noQuorumContact);
    }
    // An election is under way, or a new leader has not committed its first entry yet.
    if (now >= waiting.deadline)
        return replyUnavailable(id,
                                leader ? UnavailableReason::noQuorumContact : UnavailableReason::noLeader);
    waitingForLeader_.push_back(std::move(waiting));
}

void OrderQueue::start(Micros now, Call call) {
    if (call.kind == CallKind::read) {
        if (faults_.answersWithoutContact) {
            replies_.push_back({call.id, OrderOutcome::readConfirmed, UnavailableReason::none, {}});
            return;
        }
        pendingReads_[++lastTicket_] = {call.id, now + limits_.read};
        return log_.read(now, lastTicket_);
    }
    const auto index = log_.propose(now, std::move(call.change));
    if (!index) return replyUnavailable(call.id, UnavailableReason::logRefused);
    if (faults_.confirmsOnPropose) {
        replies_.push_back({call.id, OrderOutcome::confirmed, UnavailableReason::none, {}});
        return;
    }
    proposed_.emplace(*index, ProposedOrder{call.id, log_.term(), now + limits_.order});
}

void OrderQueue::replyUnavailable(OrderId id, UnavailableReason reason) {
    const auto outcome = faults_.rejectsUnavailable ? OrderOutcome::rejectedStale : OrderOutcome::unavailable;
    replies_.push_back({id, outcome, reason, {}});
}

void OrderQueue::committed(raft::Index index, raft::Term term, configuration::Verdict verdict) {
    const auto [from, to] = proposed_.equal_range(index);
    for (auto at = from; at != to; ++at) {
        if (at->second.term == term) {
            replies_.push_back(replyOf(at->second.id, verdict));
        } else {
            replyUnavailable(at->second.id, UnavailableReason::leadershipLost);
        }
    }
    proposed_.erase(from, to);
}

void OrderQueue::installed(raft::Index through) {
    const auto end = proposed_.upper_bound(through);
    for (auto at = proposed_.begin(); at != end; ++at)
        replyUnavailable(at->second.id, UnavailableReason::leadershipLost);
    proposed_.erase(proposed_.begin(), end);
}

void OrderQueue::readEnded(const raft::ReadResult& end) {
    const auto at = pendingReads_.find(end.ticket);
    if (at == pendingReads_.end()) return;
    const OrderId id = at->second.id;
    pendingReads_.erase(at);
    if (!end.confirmed) return replyUnavailable(id, UnavailableReason::leadershipLost);
    replies_.push_back({id, OrderOutcome::readConfirmed, UnavailableReason::none, {}});
}

void OrderQueue::update(Micros now) {
    const bool cutOff = !log_.leads() && log_.quorumContactAge(now) >= 0 && !inContact(now);
    if (cutOff) {
        replyUnavailableToAll(UnavailableReason::noQuorumContact);
    } else {
        expireCalls(now);
        dispatchWaiting(now);
    }
}

void OrderQueue::expireCalls(Micros now) {
    for (auto at = proposed_.begin(); at != proposed_.end();) {
        const bool expired = now >= at->second.deadline;
        if (expired) replyUnavailable(at->second.id, UnavailableReason::timedOut);
        at = expired ? proposed_.erase(at) : std::next(at);
    }
    for (auto at = pendingReads_.begin(); at != pendingReads_.end();) {
        const bool expired = now >= at->second.deadline;
        if (expired) replyUnavailable(at->second.id, UnavailableReason::timedOut);
        at = expired ? pendingReads_.erase(at) : std::next(at);
    }
}

void OrderQueue::dispatchWaiting(Micros now) {
    std::deque<WaitingCall> waiting;
    waiting.swap(waitingForLeader_);
    for (WaitingCall& call : waiting) dispatch(now, std::move(call));
}

void OrderQueue::replyUnavailableToAll(UnavailableReason reason) {
    for (const auto& [index, order] : proposed_) replyUnavailable(order.id, reason);
    for (const auto& [ticket, read] : pendingReads_) replyUnavailable(read.id, reason);
    for (const WaitingCall& waiting : waitingForLeader_) replyUnavailable(waiting.call.id, reason);
    proposed_.clear();
    pendingReads_.clear();
    waitingForLeader_.clear();
}

void OrderQueue::finish() {
    stopping_ = true;
    replyUnavailableToAll(UnavailableReason::stopping);
}

std::vector<OrderReply> OrderQueue::takeReplies() { return std::exchange(replies_, {}); }

Micros OrderQueue::nextDue() const {
    Micros due = kNever;
    for (const auto& [index, order] : proposed_) due = std::min(due, order.deadline);
    for (const auto& [ticket, read] : pendingReads_) due = std::min(due, read.deadline);
    for (const WaitingCall& waiting : waitingForLeader_) due = std::min(due, waiting.deadline);
    return due;
}

}  // namespace marldale::controller
