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
    // An earlier run of this very process can't be asked.
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
    return age >= 0 && age <= limits_.contact;
}

void OrderQueue::submit(Micros now, OrderId id, std::string change) {
    dispatch(now, {{id, std::move(change)}, now + limits_.leaderKnown});
}

void OrderQueue::read(Micros now, OrderId id) {
    dispatch(now, {{id, std::nullopt}, now + limits_.leaderKnown});
}

void OrderQueue::dispatch(Micros now, Held held) {
    const OrderId id = held.call.id;
    if (stopping_) return endUnavailable(id, UnavailableReason::stopping);
    const auto leader = log_.leader();
    const bool contact = inContact(now);
    const bool never = log_.quorumContactAge(now) < 0;
    if (log_.leads()) {
        if (contact || faults_.answersWithoutContact) return begin(now, std::move(held.call));
    } else if (leader && (contact || never)) {
        // That one proves its own contact before it answers.
        replies_.push_back({id, OrderOutcome::redirect, UnavailableReason::none, *leader});
        return;
    } else if (!contact && !never) {
        return endUnavailable(id, UnavailableReason::noQuorumContact);
    }
    // An election is under way, or a new leader's first entry.
    if (now >= held.until)
        return endUnavailable(id, leader ? UnavailableReason::noQuorumContact : UnavailableReason::noLeader);
    held_.push_back(std::move(held));
}

void OrderQueue::begin(Micros now, Call call) {
    if (!call.change) {
        if (faults_.answersWithoutContact) {
            replies_.push_back({call.id, OrderOutcome::readConfirmed, UnavailableReason::none, {}});
            return;
        }
        reads_[++lastTicket_] = {call.id, now + limits_.read};
        return log_.read(now, lastTicket_);
    }
    const auto index = log_.propose(now, std::move(*call.change));
    if (!index) return endUnavailable(call.id, UnavailableReason::logRefused);
    if (faults_.confirmsOnPropose) {
        replies_.push_back({call.id, OrderOutcome::confirmed, UnavailableReason::none, {}});
        return;
    }
    proposed_.emplace(*index, Proposed{call.id, log_.term(), now + limits_.order});
}

void OrderQueue::endUnavailable(OrderId id, UnavailableReason reason) {
    const auto outcome = faults_.refusesUnclear ? OrderOutcome::rejectedStale : OrderOutcome::unavailable;
    replies_.push_back({id, outcome, reason, {}});
}

void OrderQueue::committed(raft::Index index, raft::Term term, configuration::Verdict verdict) {
    const auto [from, to] = proposed_.equal_range(index);
    for (auto at = from; at != to; ++at) {
        if (at->second.term == term) {
            replies_.push_back(replyOf(at->second.id, verdict));
        } else {
            endUnavailable(at->second.id, UnavailableReason::leadershipLost);
        }
    }
    proposed_.erase(from, to);
}

void OrderQueue::installed(raft::Index through) {
    const auto end = proposed_.upper_bound(through);
    for (auto at = proposed_.begin(); at != end; ++at)
        endUnavailable(at->second.id, UnavailableReason::leadershipLost);
    proposed_.erase(proposed_.begin(), end);
}

void OrderQueue::readEnded(const raft::ReadResult& end) {
    const auto at = reads_.find(end.ticket);
    if (at == reads_.end()) return;
    const OrderId id = at->second.id;
    reads_.erase(at);
    if (!end.confirmed) return endUnavailable(id, UnavailableReason::leadershipLost);
    replies_.push_back({id, OrderOutcome::readConfirmed, UnavailableReason::none, {}});
}

void OrderQueue::update(Micros now) {
    const bool cutOff = !log_.leads() && log_.quorumContactAge(now) >= 0 && !inContact(now);
    if (cutOff) {
        endAll(UnavailableReason::noQuorumContact);
    } else {
        endLate(now);
        dispatchHeld(now);
    }
}

void OrderQueue::endLate(Micros now) {
    for (auto at = proposed_.begin(); at != proposed_.end();) {
        const bool late = now >= at->second.until;
        if (late) endUnavailable(at->second.id, UnavailableReason::timedOut);
        at = late ? proposed_.erase(at) : std::next(at);
    }
    for (auto at = reads_.begin(); at != reads_.end();) {
        const bool late = now >= at->second.until;
        if (late) endUnavailable(at->second.id, UnavailableReason::timedOut);
        at = late ? reads_.erase(at) : std::next(at);
    }
}

void OrderQueue::dispatchHeld(Micros now) {
    std::deque<Held> again;
    again.swap(held_);
    for (Held& held : again) dispatch(now, std::move(held));
}

void OrderQueue::endAll(UnavailableReason reason) {
    for (const auto& [index, order] : proposed_) endUnavailable(order.id, reason);
    for (const auto& [ticket, read] : reads_) endUnavailable(read.id, reason);
    for (const Held& held : held_) endUnavailable(held.call.id, reason);
    proposed_.clear();
    reads_.clear();
    held_.clear();
}

void OrderQueue::finish() {
    stopping_ = true;
    endAll(UnavailableReason::stopping);
}

std::vector<OrderReply> OrderQueue::take() { return std::exchange(replies_, {}); }

Micros OrderQueue::nextDue() const {
    Micros due = kNever;
    for (const auto& [index, order] : proposed_) due = std::min(due, order.until);
    for (const auto& [ticket, read] : reads_) due = std::min(due, read.until);
    for (const Held& held : held_) due = std::min(due, held.until);
    return due;
}

}  // namespace marldale::controller
