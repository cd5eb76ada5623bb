// Terms and roles: pre-vote, votes, and what changes with a role (Raft, section 5.2; thesis, section 9.6).
#include "gateway/raft/replica_state.h"

namespace marldale::raft {

void Replica::State::resetElectionTimer() {
    if (config().members.voters_size() == 1 && mayStartElection() && !joint()) {
        electionDue = now;  // nobody else to wait for
        return;
    }
    electionDue = now + randomBetween(settings.electionLeast, settings.electionMost);
}

bool Replica::State::hasLiveLeader() const {
    if (role == Role::leader) return now - confirmedAt < settings.electionLeast;
    return leader && now - leaderContactAt < settings.electionLeast;
}

void Replica::State::enterTerm(Term newTerm) {
    term = newTerm;
    votedFor.reset();
    hardDirty = true;
    leader.reset();
    // What was held back was promised in an earlier term; entries behind it may be cut by now.
    held.clear();
    matched = commit;
    receivedRound = answeredRound = 0;
    answeredMatch = acceptedPrev = 0;
    responseDue = rejectedLast = false;
    rejection.reset();
    snapshotProgress.reset();
}

void Replica::State::becomeFollower(Term newTerm) {
    check(newTerm >= term, "the term would go back");
    const Role was = role;
    if (newTerm > term) enterTerm(newTerm);
    role = Role::follower;
    if (was == Role::leader) {
        report({EventKind::leadershipLost, ledTerm, commit, {}, {}, {}, {}});
        for (const auto& r : reads) out.reads.push_back({r.ticket, false, 0});
        reads.clear();
        peers.clear();
        roundsBegun.clear();
        leader.reset();
        transferStartedAt = -1;
        heartbeatDue = kNever;
        leaderContactAt = now;
        matched = commit;
    }
    if (was != Role::follower) resetElectionTimer();
}

void Replica::State::startPreVote() {
    role = Role::preCandidate;
    leader.reset();
    electionDue = now - startedAt < kStartupSpan
                      ? now + randomBetween(settings.heartbeat / 2, settings.heartbeat * 3 / 2)
                      : now + randomBetween(settings.electionLeast / 2, settings.electionLeast);
    votesGranted = {keyOf(self)};
    if (isQuorum(votesGranted)) return startElection(false);
    requestVotes(RaftMessage::PRE_VOTE, term + 1, false);
}

void Replica::State::startElection(bool handedOver) {
    role = Role::candidate;
    report({EventKind::electionStarted, term + 1, lastIndex(), {}, {}, {}, {}});
    enterTerm(term + 1);
    votedFor = self;
    electionDue = now + randomBetween(settings.electionLeast / 2, settings.electionLeast);
    votesGranted.clear();
    // Asked for only once the own vote is on disk, which then counts.
    voteWrite = nextDurableWrite();
    requestVotes(RaftMessage::VOTE, term, handedOver);
}

void Replica::State::requestVotes(RaftMessage::Kind kind, Term inTerm, bool handedOver) {
    std::set<Key> asked{keyOf(self)};
    const auto one = [&](const Members& all) {
        for (const auto& m : all.voters()) {
            if (!asked.insert(keyOf(m)).second) continue;
            auto q = message(kind, m);
            q.set_term(inTerm);
            q.set_last_index(lastIndex());
            q.set_last_term(lastTerm());
            q.set_handed_over(handedOver);
            if (kind == RaftMessage::VOTE) {
                sendWhenDurable(std::move(q));
            } else {
                send(std::move(q));
            }
        }
    };
    one(config().members);
    if (joint()) one(config().outgoing);
}

void Replica::State::becomeLeader() {
    check(ledTerm < term, "this would lead twice in one term");
    role = Role::leader;
    report({EventKind::electionWon, term, lastIndex(), {}, {}, {}, {}});
    ledTerm = term;
    leader = self;
    electionDue = kNever;
    round = 0;
    roundsBegun.clear();
    confirmedAt = now;
    confirmedRound = 0;
    heartbeatDue = now + settings.heartbeat;
    roundWanted = true;
    transferStartedAt = -1;
    transferSent = false;
    uncommittedBytes = 0;
    for (Index i = std::max(commit, base) + 1; i <= lastIndex(); ++i)
        uncommittedBytes += entryAt(i).data().size();
    startIndex = lastIndex() + 1;
    peers.clear();
    snapshotReceiver.discardThrough(std::numeric_limits<Index>::max());
    trackVoters(startIndex);
    for (auto& [key, p] : peers) {
        p.progress = Progress::replicate;
        // The one that led before is silent since then, not only since this election.
        if (lastLeader && sameMember(*lastLeader, p.member)) p.lastContactAt = leaderContactAt;
    }
    Entry start;
    *start.mutable_members() = config().members;
    if (joint()) *start.mutable_outgoing() = config().outgoing;
    append(std::move(start));
    advanceCommit();
}

bool Replica::State::upToDate(const RaftMessage& m) const {
    if (settings.faults.votesForShorterLogs) return true;
    return std::pair(m.last_term(), m.last_index()) >= std::pair(lastTerm(), lastIndex());
}

void Replica::State::onPreVoteRequest(const RaftMessage& m) {
    const bool yes = m.term() > term && upToDate(m) && !hasLiveLeader();
    auto a = message(RaftMessage::PRE_VOTE_ANSWER, m.from());
    a.set_term(yes ? m.term() : term);
    a.set_granted(yes);
    send(std::move(a));
}

void Replica::State::onPreVoteResponse(const RaftMessage& m) {
    if (!m.granted()) {
        if (m.term() <= term) return;
        const bool again = role == Role::preCandidate;
        becomeFollower(m.term());
        if (again) electionDue = now + randomBetween(settings.heartbeat / 8, settings.heartbeat);
        return;
    }
    if (role != Role::preCandidate || m.term() != term + 1) return;
    votesGranted.insert(keyOf(m.from()));
    if (isQuorum(votesGranted)) startElection(false);
}

void Replica::State::onVoteRequest(const RaftMessage& m) {
    const bool disturbs = !m.handed_over() && hasLiveLeader();
    if (!disturbs && m.term() > term) becomeFollower(m.term());
    const bool yes = !disturbs && m.term() == term && upToDate(m) && role != Role::leader &&
                     (!votedFor || sameMember(*votedFor, m.from()));
    if (yes && !votedFor) {
        votedFor = m.from();
        hardDirty = true;
        resetElectionTimer();
    }
    auto a = message(RaftMessage::VOTE_ANSWER, m.from());
    a.set_granted(yes);
    if (settings.faults.answersVoteUnsynced) {
        send(std::move(a));
    } else {
        sendWhenDurable(std::move(a));
    }
}

void Replica::State::onVoteResponse(const RaftMessage& m) {
    if (m.term() > term) return becomeFollower(m.term());
    if (role != Role::candidate || m.term() != term || !m.granted()) return;
    votesGranted.insert(keyOf(m.from()));
    if (isQuorum(votesGranted)) becomeLeader();
}

}  // namespace marldale::raft
