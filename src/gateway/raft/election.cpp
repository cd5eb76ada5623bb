// Terms, roles and elections: pre-vote, votes and the transitions between roles (Raft paper, section 5.2;
// Ongaro's thesis, section 9.6).
#include "gateway/raft/replica_state.h"

namespace marldale::raft {

void Replica::State::resetElectionTimer() {
    if (config().members.voters_size() == 1 && mayStartElection() && !joint()) {
        electionDue = now;  // a single voter wins at once
        return;
    }
    electionDue = now + randomBetween(settings.minElectionTimeout, settings.maxElectionTimeout);
}

bool Replica::State::hasLiveLeader() const {
    if (role == Role::leader) return now - confirmedAt < settings.minElectionTimeout;
    return leader && now - leaderContactAt < settings.minElectionTimeout;
}

void Replica::State::enterTerm(Term newTerm) {
    term = newTerm;
    votedFor.reset();
    hardStateDirty = true;
    leader.reset();
    // Deferred messages belong to an earlier term, and the entries they refer to may have been truncated.
    deferredMessages.clear();
    followerMatchIndex = commit;
    receivedRound = lastSentRound = 0;
    lastSentMatchIndex = acceptedPrevIndex = 0;
    responseDue = lastAppendRejected = false;
    pendingRejection.reset();
    snapshotProgress.reset();
}

void Replica::State::becomeFollower(Term newTerm) {
    check(newTerm >= term, "the term would decrease");
    const Role previousRole = role;
    if (newTerm > term) enterTerm(newTerm);
    role = Role::follower;
    if (previousRole == Role::leader) {
        report({EventKind::leadershipLost, lastLedTerm, commit, {}, {}, {}, {}});
        for (const auto& read : reads) ready.reads.push_back({read.ticket, false, 0});
        reads.clear();
        peers.clear();
        roundStartTimes.clear();
        leader.reset();
        leadershipTransferStartedAt = -1;
        heartbeatDue = kNever;
        leaderContactAt = now;
        followerMatchIndex = commit;
    }
    if (previousRole != Role::follower) resetElectionTimer();
}

void Replica::State::startPreVote() {
    role = Role::preCandidate;
    leader.reset();
    electionDue = now - startedAt < kStartupSpan
                      ? now + randomBetween(settings.heartbeat / 2, settings.heartbeat * 3 / 2)
                      : now + randomBetween(settings.minElectionTimeout / 2, settings.minElectionTimeout);
    votesGranted = {memberKey(self)};
    if (isQuorum(votesGranted)) return startElection(false);
    requestVotes(RaftMessage::PRE_VOTE, term + 1, false);
}

void Replica::State::startElection(bool byLeadershipTransfer) {
    role = Role::candidate;
    report({EventKind::electionStarted, term + 1, lastIndex(), {}, {}, {}, {}});
    enterTerm(term + 1);
    votedFor = self;
    electionDue = now + randomBetween(settings.minElectionTimeout / 2, settings.minElectionTimeout);
    votesGranted.clear();
    // Vote requests are sent once the vote for itself is durable; only then does that vote count.
    voteWrite = nextDurableWrite();
    requestVotes(RaftMessage::VOTE, term, byLeadershipTransfer);
}

void Replica::State::requestVotes(RaftMessage::Kind kind, Term electionTerm, bool byLeadershipTransfer) {
    std::set<MemberKey> asked{memberKey(self)};
    const auto requestFrom = [&](const Members& all) {
        for (const auto& voter : all.voters()) {
            if (!asked.insert(memberKey(voter)).second) continue;
            auto request = makeMessage(kind, voter);
            request.set_term(electionTerm);
            request.set_last_index(lastIndex());
            request.set_last_term(lastTerm());
            request.set_handed_over(byLeadershipTransfer);
            if (kind == RaftMessage::VOTE) {
                sendWhenDurable(std::move(request));
            } else {
                send(std::move(request));
            }
        }
    };
    requestFrom(config().members);
    if (joint()) requestFrom(config().outgoing);
}

void Replica::State::becomeLeader() {
    check(lastLedTerm < term, "this replica would become leader twice in one term");
    role = Role::leader;
    report({EventKind::electionWon, term, lastIndex(), {}, {}, {}, {}});
    lastLedTerm = term;
    leader = self;
    electionDue = kNever;
    round = 0;
    roundStartTimes.clear();
    confirmedAt = now;
    confirmedRound = 0;
    heartbeatDue = now + settings.heartbeat;
    roundRequested = true;
    leadershipTransferStartedAt = -1;
    leadershipTransferSent = false;
    uncommittedBytes = 0;
    for (Index index = std::max(commit, baseIndex) + 1; index <= lastIndex(); ++index)
        uncommittedBytes += entryAt(index).data().size();
    termStartIndex = lastIndex() + 1;
    peers.clear();
    snapshotReceiver.discardThrough(std::numeric_limits<Index>::max());
    trackVoters(termStartIndex);
    for (auto& [key, peer] : peers) {
        peer.progress = Progress::replicate;
        // The previous leader has been silent since its last message, not only since this election.
        if (lastLeader && sameMember(*lastLeader, peer.member)) peer.lastContactAt = leaderContactAt;
    }
    Entry noop;
    *noop.mutable_members() = config().members;
    if (joint()) *noop.mutable_outgoing() = config().outgoing;
    append(std::move(noop));
    advanceCommit();
}

bool Replica::State::isLogUpToDate(const RaftMessage& request) const {
    if (settings.faults.votesForShorterLogs) return true;
    return std::pair(request.last_term(), request.last_index()) >= std::pair(lastTerm(), lastIndex());
}

void Replica::State::onPreVoteRequest(const RaftMessage& request) {
    const bool granted = request.term() > term && isLogUpToDate(request) && !hasLiveLeader();
    auto response = makeMessage(RaftMessage::PRE_VOTE_ANSWER, request.from());
    response.set_term(granted ? request.term() : term);
    response.set_granted(granted);
    send(std::move(response));
}

void Replica::State::onPreVoteResponse(const RaftMessage& response) {
    if (!response.granted()) {
        if (response.term() <= term) return;
        const bool wasPreCandidate = role == Role::preCandidate;
        becomeFollower(response.term());
        if (wasPreCandidate) electionDue = now + randomBetween(settings.heartbeat / 8, settings.heartbeat);
        return;
    }
    if (role != Role::preCandidate || response.term() != term + 1) return;
    votesGranted.insert(memberKey(response.from()));
    if (isQuorum(votesGranted)) startElection(false);
}

void Replica::State::onVoteRequest(const RaftMessage& request) {
    const bool isDisruptive = !request.handed_over() && hasLiveLeader();
    if (!isDisruptive && request.term() > term) becomeFollower(request.term());
    const bool granted = !isDisruptive && request.term() == term && isLogUpToDate(request) &&
                         role != Role::leader && (!votedFor || sameMember(*votedFor, request.from()));
    if (granted && !votedFor) {
        votedFor = request.from();
        hardStateDirty = true;
        resetElectionTimer();
    }
    auto response = makeMessage(RaftMessage::VOTE_ANSWER, request.from());
    response.set_granted(granted);
    if (settings.faults.answersVoteUnsynced) {
        send(std::move(response));
    } else {
        sendWhenDurable(std::move(response));
    }
}

void Replica::State::onVoteResponse(const RaftMessage& response) {
    if (response.term() > term) return becomeFollower(response.term());
    if (role != Role::candidate || response.term() != term || !response.granted()) return;
    votesGranted.insert(memberKey(response.from()));
    if (isQuorum(votesGranted)) becomeLeader();
}

}  // namespace marldale::raft
