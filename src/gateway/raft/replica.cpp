// Public functions of `Replica`: construction, input events and status.
#include "gateway/raft/replica_state.h"

#include <cstdio>
#include <cstdlib>

namespace marldale::raft {

namespace {

InvariantHandler invariantHandler = nullptr;

}  // namespace

void setInvariantHandler(InvariantHandler handler) { invariantHandler = handler; }

void check(bool holds, const char* message) {
    if (holds) return;
    if (invariantHandler != nullptr) invariantHandler(message);
    std::fprintf(stderr, "raft: %s\n", message);
    std::abort();
}

Replica::State::State(Settings initialSettings, PersistentState stored, Micros startTime)
    : settings(std::move(initialSettings)),
      self(stored.self),
      now(startTime),
      leaderContactAt(startTime),
      lastJoinAt(startTime - kJoinInterval),
      snapshotReceiver(settings.snapshotTransfer, settings.faults.transfer) {
    random =
        bytes::mixed(settings.seed ^ bytes::mixed(self.number() + std::hash<std::string>()(self.address())));
    term = stored.term;
    votedFor = std::move(stored.votedFor);
    snapshot = std::move(stored.snapshot);
    baseIndex = snapshot.index();
    baseTerm = snapshot.term();
    Config initial{baseIndex, snapshot.members(), {}};
    if (baseIndex == 0 && initial.members.voters().empty() && self.number() == 0) {
        for (const auto& address : settings.seeds) initial.members.add_voters()->set_address(address);
        // Persisted at once, because a later start may be configured with other seeds.
        *snapshot.mutable_members() = initial.members;
        snapshotDirty = true;
    }
    configs.push_back(std::move(initial));
    Term previousTerm = baseTerm;
    for (auto& entry : stored.entries) {
        check(entry.index() == lastIndex() + 1, "the stored entries have a gap");
        check(entry.term() >= previousTerm, "the terms of the stored entries decrease");
        previousTerm = entry.term();
        pushEntry(std::move(entry));
    }
    firstUnwritten = lastIndex() + 1;
    durableIndex = inFlightLastIndex = lastIndex();
    if (previousTerm > term) {
        term = previousTerm;
        votedFor.reset();
        hardStateDirty = true;
    }
    commit = applied = baseIndex;
    if (baseIndex > 0) ready.install = snapshot;
    mark = drawRandom();
    // The first election starts early: when all replicas start together there is no leader to wait for. If
    // there is one, the pre-vote is refused and disrupts nothing.
    startedAt = now;
    electionDue = now + randomBetween(settings.heartbeat, 2 * settings.heartbeat);
}

void Replica::State::beginLeadershipTransfer() {
    if (role != Role::leader || leadershipTransferStartedAt >= 0) return;
    leadershipTransferStartedAt = now;
    leadershipTransferSent = false;
}

void Replica::State::receive(const RaftMessage& message) {
    const auto kind = message.kind();
    if (message.from().address() == self.address()) return;  // from itself or an earlier identity
    if (kind == RaftMessage::JOIN) return onJoinRequest(message);
    if (!sameMember(message.to(), self) && !settings.faults.ignoresNumbers) return;
    switch (kind) {
        case RaftMessage::PRE_VOTE: return onPreVoteRequest(message);
        case RaftMessage::PRE_VOTE_ANSWER: return onPreVoteResponse(message);
        case RaftMessage::VOTE: return onVoteRequest(message);
        case RaftMessage::VOTE_ANSWER: return onVoteResponse(message);
        case RaftMessage::APPEND:
        case RaftMessage::INSTALL: return onLeaderMessage(message);
        case RaftMessage::APPEND_ANSWER:
        case RaftMessage::INSTALL_ANSWER: return onAppendResponse(message);
        case RaftMessage::HAND_OVER:
            if (message.term() == term && role != Role::leader && mayStartElection()) startElection(true);
            return;
        default: return;
    }
}

Replica::Replica(Settings settings, PersistentState stored, Micros now)
    : state_(std::make_unique<State>(std::move(settings), std::move(stored), now)) {}
Replica::~Replica() = default;

void Replica::tick(Micros now) {
    auto& state = *state_;
    state.now = std::max(state.now, now);
    if (state.role == Role::leader) {
        if (state.now >= state.heartbeatDue) state.onHeartbeatDue();
        return;
    }
    if (state.now >= state.electionDue) {
        if (!state.mayStartElection()) {
            state.resetElectionTimer();
        } else if (state.lastEmittedWrite != state.lastDurableWrite) {
            // Its own vote could not be persisted in time. With a stalled disk, further elections would only
            // raise its term and later depose another leader.
            state.electionDue = state.now + state.settings.heartbeat;
        } else {
            state.startPreVote();
        }
    }
    if (state.role != Role::leader && state.now >= state.joinDue()) state.sendJoinRequests();
}

Micros Replica::nextDue() const {
    const auto& state = *state_;
    if (state.role == Role::leader) return state.heartbeatDue;
    return std::min(state.mayStartElection() ? state.electionDue : kNever, state.joinDue());
}

void Replica::receive(Micros now, const RaftMessage& message) {
    state_->now = std::max(state_->now, now);
    state_->receive(message);
}

void Replica::persisted(Micros now, std::uint64_t write) {
    auto& state = *state_;
    state.now = std::max(state.now, now);
    check(write == state.lastDurableWrite + 1 && write == state.lastEmittedWrite,
          "a write completed out of order");
    state.lastDurableWrite = write;
    // `inFlightLastIndex` instead of the last index of the write: truncation or a snapshot may have lowered
    // it.
    state.durableIndex = std::max(state.durableIndex, state.inFlightLastIndex);
    auto deferred = state.deferredMessages.begin();
    while (deferred != state.deferredMessages.end() && deferred->first <= write)
        state.send(std::move((deferred++)->second));
    state.deferredMessages.erase(state.deferredMessages.begin(), deferred);
    if (state.role == Role::candidate && state.lastDurableWrite >= state.voteWrite) {
        state.votesGranted.insert(memberKey(state.self));
        if (state.isQuorum(state.votesGranted)) state.becomeLeader();
    }
    state.advanceCommit();
}

std::optional<Index> Replica::propose(Micros now, std::string data) {
    auto& state = *state_;
    state.now = std::max(state.now, now);
    state.stepDownIfQuorumLost();
    if (state.role != Role::leader || state.leadershipTransferStartedAt >= 0) return std::nullopt;
    if (state.lastIndex() - state.commit >= kMaxUncommittedEntries ||
        state.uncommittedBytes > kMaxUncommittedBytes)
        return std::nullopt;
    Entry entry;
    entry.set_kind(Entry::CHANGE);
    entry.set_data(std::move(data));
    return state.append(std::move(entry));
}

void Replica::read(Micros now, std::uint64_t ticket) {
    auto& state = *state_;
    state.now = std::max(state.now, now);
    state.stepDownIfQuorumLost();
    if (state.role != Role::leader) {
        state.ready.reads.push_back({ticket, false, 0});
        return;
    }
    state.roundRequested = true;
    state.reads.push_back({ticket, state.round + 1, state.now});
}

void Replica::transferLeadership(Micros now) {
    state_->now = std::max(state_->now, now);
    state_->beginLeadershipTransfer();
}

void Replica::leave(Micros now) {
    auto& state = *state_;
    state.now = std::max(state.now, now);
    state.leaving = true;
    if (state.leader && state.role == Role::follower) state.responseDue = true;
}

bool Replica::released() const {
    const auto& state = *state_;
    if (!state.leaving || state.role == Role::leader) return false;
    const bool settled = state.config().index <= state.commit && state.config().outgoing.voters().empty();
    return state.mayTerminate || (settled && !votes());
}

Ready Replica::take() {
    auto& state = *state_;
    if (state.role == Role::leader) {
        state.reconcileMembership();
        // Transfers leadership only after a learner has replaced this voter: the next leader would first have
        // to rediscover the learners.
        if (state.leaving && state.membershipSettled) state.beginLeadershipTransfer();
        state.replicate();
        state.completeReads();
    }
    state.snapshotReceiver.discardThrough(state.commit);
    state.respondToLeader();
    state.emitWrite();
    for (; state.applied < state.commit; ++state.applied)
        state.ready.committed.push_back(state.entryAt(state.applied + 1));
    return std::exchange(state.ready, {});
}

bool Replica::leads() const { return state_->role == Role::leader; }
std::optional<Member> Replica::leader() const { return state_->leader; }
Term Replica::term() const { return state_->term; }
Index Replica::committed() const { return state_->commit; }
const Members& Replica::members() const { return state_->config().members; }
const Member& Replica::self() const { return state_->self; }
bool Replica::votes() const { return contains(state_->config().members, state_->self); }

Micros Replica::quorumContactAge(Micros now) const {
    const auto& state = *state_;
    if (state.role == Role::leader && state.commit >= state.termStartIndex &&
        state.config().members.voters_size() == 1 && votes())
        return 0;
    return state.quorumContactAt < 0 ? -1 : std::max<Micros>(0, now - state.quorumContactAt);
}

Status Replica::status(Micros now) const {
    const auto& state = *state_;
    Status status;
    status.self = state.self;
    status.leads = leads();
    status.leader = state.leader;
    status.term = state.term;
    status.committed = state.commit;
    status.last = state.lastIndex();
    status.quorumContactAge = quorumContactAge(now);
    for (const auto& voter : members().voters()) status.voters.push_back(voter);
    for (const auto& [key, peer] : state.peers) {
        const bool isVoter = contains(members(), peer.member);
        status.peers.push_back({peer.member, isVoter, state.caughtUp(peer), peer.leaving, peer.matchIndex,
                                now - peer.lastContactAt});
    }
    return status;
}

void Replica::contacts(std::vector<std::string> addresses) {
    state_->contactAddresses = std::move(addresses);
}

}  // namespace marldale::raft
