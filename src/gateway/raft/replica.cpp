// The public side of `Replica`: its start, and the calls from outside.
#include "gateway/raft/replica_state.h"

#include <cstdio>
#include <cstdlib>

namespace marldale::raft {

namespace {

InvariantHandler invariantHandler = nullptr;

}  // namespace

void setInvariantHandler(InvariantHandler breach) { invariantHandler = breach; }

void check(bool holds, const char* sentence) {
    if (holds) return;
    if (invariantHandler != nullptr) invariantHandler(sentence);
    std::fprintf(stderr, "raft: %s\n", sentence);
    std::abort();
}

Replica::State::State(Settings s, PersistentState stored, Micros at)
    : settings(std::move(s)),
      self(stored.self),
      now(at),
      leaderContactAt(at),
      lastJoinAt(at - kJoinInterval),
      snapshotReceiver(settings.snapshotTransfer, settings.faults.transfer) {
    random =
        bytes::mixed(settings.seed ^ bytes::mixed(self.number() + std::hash<std::string>()(self.address())));
    term = stored.term;
    votedFor = std::move(stored.votedFor);
    snapshot = std::move(stored.snapshot);
    base = snapshot.index();
    baseTerm = snapshot.term();
    Config first{base, snapshot.members(), {}};
    if (base == 0 && first.members.voters().empty() && self.number() == 0) {
        for (const auto& address : settings.seeds) first.members.add_voters()->set_address(address);
        // Written at once: a later start may be told other seeds.
        *snapshot.mutable_members() = first.members;
        snapshotDirty = true;
    }
    configs.push_back(std::move(first));
    Term before = baseTerm;
    for (auto& entry : stored.entries) {
        check(entry.index() == lastIndex() + 1, "the stored entries have a gap");
        check(entry.term() >= before, "the terms of the stored entries go back");
        before = entry.term();
        pushEntry(std::move(entry));
    }
    unwritten = lastIndex() + 1;
    durable = inFlightLast = lastIndex();
    if (before > term) {
        term = before;
        votedFor.reset();
        hardDirty = true;
    }
    commit = applied = base;
    if (base > 0) out.install = snapshot;
    mark = drawRandom();
    // Where all start at once nobody leads, and everyone waits for that: ask soon. Where somebody leads
    // the asking is refused and disturbs nothing.
    startedAt = now;
    electionDue = now + randomBetween(settings.heartbeat, 2 * settings.heartbeat);
}

void Replica::State::beginTransfer() {
    if (role != Role::leader || transferStartedAt >= 0) return;
    transferStartedAt = now;
    transferSent = false;
}

void Replica::State::receive(const RaftMessage& m) {
    const auto kind = m.kind();
    if (m.from().address() == self.address()) return;  // of its own, or of an earlier self
    if (kind == RaftMessage::JOIN) return onJoinRequest(m);
    if (!sameMember(m.to(), self) && !settings.faults.ignoresNumbers) return;
    switch (kind) {
        case RaftMessage::PRE_VOTE: return onPreVoteRequest(m);
        case RaftMessage::PRE_VOTE_ANSWER: return onPreVoteResponse(m);
        case RaftMessage::VOTE: return onVoteRequest(m);
        case RaftMessage::VOTE_ANSWER: return onVoteResponse(m);
        case RaftMessage::APPEND:
        case RaftMessage::INSTALL: return onLeaderMessage(m);
        case RaftMessage::APPEND_ANSWER:
        case RaftMessage::INSTALL_ANSWER: return onAppendResponse(m);
        case RaftMessage::HAND_OVER:
            if (m.term() == term && role != Role::leader && mayStartElection()) startElection(true);
            return;
        default: return;
    }
}

Replica::Replica(Settings settings, PersistentState stored, Micros now)
    : state_(std::make_unique<State>(std::move(settings), std::move(stored), now)) {}
Replica::~Replica() = default;

void Replica::tick(Micros now) {
    auto& s = *state_;
    s.now = std::max(s.now, now);
    if (s.role == Role::leader) {
        if (s.now >= s.heartbeatDue) s.onHeartbeatDue();
        return;
    }
    if (s.now >= s.electionDue) {
        if (!s.mayStartElection()) {
            s.resetElectionTimer();
        } else if (s.emitted != s.done) {
            // Its vote couldn't be told now; where the disk hangs, asking on would only run up its term, and
            // put an end to another's lead later.
            s.electionDue = s.now + s.settings.heartbeat;
        } else {
            s.startPreVote();
        }
    }
    if (s.role != Role::leader && s.now >= s.joinDue()) s.sendJoinRequests();
}

Micros Replica::nextDue() const {
    const auto& s = *state_;
    if (s.role == Role::leader) return s.heartbeatDue;
    return std::min(s.mayStartElection() ? s.electionDue : kNever, s.joinDue());
}

void Replica::receive(Micros now, const RaftMessage& message) {
    state_->now = std::max(state_->now, now);
    state_->receive(message);
}

void Replica::persisted(Micros now, std::uint64_t write) {
    auto& s = *state_;
    s.now = std::max(s.now, now);
    check(write == s.done + 1 && write == s.emitted, "a write is done that wasn't next");
    s.done = write;
    // Not `max`: what was cut or replaced meanwhile has lowered it.
    s.durable = std::max(s.durable, s.inFlightLast);
    auto late = s.held.begin();
    while (late != s.held.end() && late->first <= write) s.send(std::move((late++)->second));
    s.held.erase(s.held.begin(), late);
    if (s.role == Role::candidate && s.done >= s.voteWrite) {
        s.votesGranted.insert(keyOf(s.self));
        if (s.isQuorum(s.votesGranted)) s.becomeLeader();
    }
    s.advanceCommit();
}

std::optional<Index> Replica::propose(Micros now, std::string data) {
    auto& s = *state_;
    s.now = std::max(s.now, now);
    s.stepDownIfQuorumLost();
    if (s.role != Role::leader || s.transferStartedAt >= 0) return std::nullopt;
    if (s.lastIndex() - s.commit >= kMaxUncommittedEntries || s.uncommittedBytes > kMaxUncommittedBytes)
        return std::nullopt;
    Entry entry;
    entry.set_kind(Entry::CHANGE);
    entry.set_data(std::move(data));
    return s.append(std::move(entry));
}

void Replica::read(Micros now, std::uint64_t ticket) {
    auto& s = *state_;
    s.now = std::max(s.now, now);
    s.stepDownIfQuorumLost();
    if (s.role != Role::leader) {
        s.out.reads.push_back({ticket, false, 0});
        return;
    }
    s.roundWanted = true;
    s.reads.push_back({ticket, s.round + 1, s.now});
}

void Replica::transferLeadership(Micros now) {
    state_->now = std::max(state_->now, now);
    state_->beginTransfer();
}

void Replica::leave(Micros now) {
    auto& s = *state_;
    s.now = std::max(s.now, now);
    s.leaving = true;
    if (s.leader && s.role == Role::follower) s.responseDue = true;
}

bool Replica::released() const {
    const auto& s = *state_;
    if (!s.leaving || s.role == Role::leader) return false;
    const bool settled = s.config().index <= s.commit && s.config().outgoing.voters().empty();
    return s.released || (settled && !votes());
}

Ready Replica::take() {
    auto& s = *state_;
    if (s.role == Role::leader) {
        s.reconcileMembership();
        // First a learner takes its place: the next leader would have to hear of the learners anew.
        if (s.leaving && s.membershipSettled) s.beginTransfer();
        s.replicate();
        s.endReads();
    }
    s.snapshotReceiver.discardThrough(s.commit);
    s.respondToLeader();
    s.emitWrite();
    for (; s.applied < s.commit; ++s.applied) s.out.committed.push_back(s.entryAt(s.applied + 1));
    return std::exchange(s.out, {});
}

bool Replica::leads() const { return state_->role == Role::leader; }
std::optional<Member> Replica::leader() const { return state_->leader; }
Term Replica::term() const { return state_->term; }
Index Replica::committed() const { return state_->commit; }
const Members& Replica::members() const { return state_->config().members; }
const Member& Replica::self() const { return state_->self; }
bool Replica::votes() const { return contains(state_->config().members, state_->self); }

Micros Replica::quorumContactAge(Micros now) const {
    const auto& s = *state_;
    if (s.role == Role::leader && s.commit >= s.startIndex && s.config().members.voters_size() == 1 &&
        votes())
        return 0;
    return s.quorumContactAt < 0 ? -1 : std::max<Micros>(0, now - s.quorumContactAt);
}

Status Replica::status(Micros now) const {
    const auto& s = *state_;
    Status status;
    status.self = s.self;
    status.leads = leads();
    status.leader = s.leader;
    status.term = s.term;
    status.committed = s.commit;
    status.last = s.lastIndex();
    status.quorumContactAge = quorumContactAge(now);
    for (const auto& voter : members().voters()) status.voters.push_back(voter);
    for (const auto& [key, p] : s.peers) {
        const bool isVoter = contains(members(), p.member);
        status.peers.push_back({p.member, isVoter, s.caughtUp(p), p.leaving, p.match, now - p.lastContactAt});
    }
    return status;
}

void Replica::contacts(std::vector<std::string> addresses) { state_->contactList = std::move(addresses); }

}  // namespace marldale::raft
