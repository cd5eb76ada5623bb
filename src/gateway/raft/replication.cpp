// Entries and heartbeats from the leader to each follower, and the followers' responses (Raft paper, section
// 5.3).
#include "gateway/raft/replica_state.h"

namespace marldale::raft {

void Replica::State::advanceCommit() {
    if (role != Role::leader) return;
    const Index index = quorumValue([&](const Member& voter) -> Index {
        if (sameMember(voter, self)) return settings.faults.countsOwnUnsynced ? lastIndex() : durableIndex;
        const auto peer = peers.find(memberKey(voter));
        return peer == peers.end() ? 0 : peer->second.matchIndex;
    });
    if (index <= commit || index <= baseIndex) return;
    if (termAt(index) != term && !settings.faults.commitsOldTerms) return;
    for (Index uncommitted = commit + 1; uncommitted <= index; ++uncommitted)
        uncommittedBytes -= std::min(uncommittedBytes, entryAt(uncommitted).data().size());
    commitTo(index);
    // The change that removes this leader is committed, so another voter takes over.
    if (config().index <= commit && config().outgoing.voters().empty() && !contains(config().members, self))
        beginLeadershipTransfer();
}

void Replica::State::onHeartbeatDue() {
    updateQuorumContact();
    if (quorumContactLost()) return stepDownIfQuorumLost();
    heartbeatDue = now + settings.heartbeat;
    roundRequested = true;
    forgetReplacedPeers();
    for (auto& [key, peer] : peers)
        if (peer.progress == Progress::replicate && now - peer.lastContactAt >= settings.minElectionTimeout)
            peer.startProbing(peer.matchIndex + 1);
    if (leadershipTransferStartedAt >= 0 && now - leadershipTransferStartedAt > settings.maxElectionTimeout)
        leadershipTransferStartedAt = -1;
    for (auto& read : reads) {
        if (now - read.requestedAt < settings.maxElectionTimeout) continue;
        ready.reads.push_back({read.ticket, false, 0});
        read.ticket = 0;
        read.round = 0;
    }
    reads.erase(
        std::remove_if(reads.begin(), reads.end(), [](const PendingRead& read) { return read.round == 0; }),
        reads.end());
    if (leadershipTransferStartedAt >= 0 && config().index <= commit && !contains(config().members, self) &&
        leadershipTransferSent)
        return becomeFollower(term);
}

void Replica::State::setLeaderFields(RaftMessage& message, Peer& peer) {
    message.set_commit(commit);
    message.set_round(round);
    message.set_echo(peer.mark);
    message.set_echo_held(now - peer.markReceivedAt);
    message.set_quorum_age(commit >= termStartIndex ? now - confirmedAt : -1);
    message.set_released(peer.leaving && mayRelease(peer));
    setMembershipChangeAges(message);
    peer.sentCommit = commit;
}

void Replica::State::sendAppend(Peer& peer, bool withEntries) {
    auto append = makeMessage(RaftMessage::APPEND, peer.member);
    if (peer.nextIndex - 1 < baseIndex) {
        // The preceding entry was compacted and the peer is silent: sends a heartbeat without entries.
        withEntries = false;
        append.set_last_index(snapshot.index());
        append.set_last_term(snapshot.term());
    } else {
        append.set_last_index(peer.nextIndex - 1);
        append.set_last_term(termAt(peer.nextIndex - 1));
    }
    std::size_t size = 0;
    if (withEntries) {
        Index index = peer.nextIndex;
        for (; index <= lastIndex() &&
               (size == 0 || size + entryAt(index).data().size() <= settings.maxBatchBytes);
             ++index) {
            *append.add_entries() = entryAt(index);
            size += entryAt(index).data().size() + 64;
        }
        if (peer.progress == Progress::replicate && index > peer.nextIndex) {
            peer.nextIndex = index;
            peer.inFlight.emplace_back(index - 1, size);
            peer.inFlightBytes += size;
        }
    }
    if (peer.progress == Progress::probe) peer.probeSent = true;
    setLeaderFields(append, peer);
    send(std::move(append));
}

void Replica::State::replicate() {
    const bool startsRound = std::exchange(roundRequested, false);
    if (startsRound) {
        ++round;
        roundStartTimes[round] = now;
    }
    for (auto& [key, peer] : peers) {
        const bool isAlive = now - peer.lastContactAt < settings.minElectionTimeout;
        bool wasSent = false;
        if (peer.progress != Progress::snapshot && peer.nextIndex - 1 < baseIndex) {
            if (isAlive) {
                beginSnapshot(peer);
            } else if (peer.progress == Progress::replicate) {
                peer.startProbing(peer.nextIndex);
            }
        }
        if (peer.progress == Progress::replicate) {
            while (peer.nextIndex <= lastIndex() && peer.inFlightBytes < kMaxInFlightBytes &&
                   peer.progress == Progress::replicate) {
                sendAppend(peer, true);
                wasSent = true;
            }
            if (!wasSent && (startsRound || (peer.sentCommit < commit && isAlive))) sendAppend(peer, false);
        } else if (peer.progress == Progress::probe) {
            if (startsRound || !peer.probeSent) sendAppend(peer, isAlive);
        } else {
            sendSnapshot(peer, startsRound);
        }
    }
    if (leadershipTransferStartedAt >= 0 && !leadershipTransferSent) {
        const Peer* successor = nullptr;
        for (const auto& [key, peer] : peers)
            if (contains(config().members, peer.member) && !peer.leaving &&
                now - peer.lastContactAt < settings.minElectionTimeout &&
                (successor == nullptr || peer.matchIndex > successor->matchIndex))
                successor = &peer;
        if (successor != nullptr && (successor->matchIndex == lastIndex() ||
                                     now - leadershipTransferStartedAt >= 2 * settings.heartbeat)) {
            leadershipTransferSent = true;
            send(makeMessage(RaftMessage::HAND_OVER, successor->member));
        }
    }
}

void Replica::State::onLeaderMessage(const RaftMessage& message) {
    if (message.term() < term) {
        auto response = makeMessage(RaftMessage::APPEND_ANSWER, message.from());
        response.set_last_index(message.last_index());
        return sendWhenDurable(std::move(response));
    }
    check(message.term() > term || lastLedTerm < message.term(),
          "another leader in a term that this replica led");
    if (message.term() > term || role != Role::follower) becomeFollower(message.term());
    check(!leader || sameMember(*leader, message.from()), "two leaders in one term");
    leader = lastLeader = message.from();
    leaderContactAt = now;
    resetElectionTimer();
    receivedRound = std::max(receivedRound, message.round());
    mayTerminate = leaving && message.released();
    adoptMembershipChangeAges(message);
    if (message.kind() == RaftMessage::INSTALL) {
        onSnapshotChunk(message);
    } else {
        onAppend(message);
    }
    if (receivedRound > lastSentRound) responseDue = true;
    if (message.quorum_age() >= 0 && commit >= message.commit()) {
        if (settings.faults.trustsArrival)
            quorumContactAt = std::max(quorumContactAt, now - message.quorum_age());
        const auto sentMark = std::find_if(sentMarks.begin(), sentMarks.end(),
                                           [&](const auto& sent) { return sent.first == message.echo(); });
        // The leader sent its message no earlier than `echo_held` after the echoed mark was sent.
        if (sentMark != sentMarks.end())
            quorumContactAt =
                std::max(quorumContactAt, sentMark->second + message.echo_held() - message.quorum_age());
    }
}

void Replica::State::rejectAppend(const RaftMessage& append, Index hint) {
    auto response = makeMessage(RaftMessage::APPEND_ANSWER, append.from());
    hint = std::max(hint, commit);
    response.set_last_index(append.last_index());
    response.set_match(hint);
    response.set_last_term(termAt(hint));
    pendingRejection = std::move(response);
    lastAppendRejected = true;
}

void Replica::State::onAppend(const RaftMessage& append) {
    const Index prevIndex = append.last_index();
    if (prevIndex > lastIndex()) return rejectAppend(append, lastIndex());
    if (prevIndex >= baseIndex && termAt(prevIndex) != append.last_term()) {
        check(prevIndex > commit, "the leader's log differs in committed entries");
        Index hint = prevIndex - 1;
        while (hint > commit && termAt(hint) > append.last_term()) --hint;
        return rejectAppend(append, hint);
    }
    Index index = prevIndex;
    for (const auto& entry : append.entries()) {
        ++index;
        check(entry.index() == index, "the entries of an append message have a gap");
        if (index <= baseIndex) continue;
        if (index <= lastIndex()) {
            if (termAt(index) == entry.term()) continue;
            truncate(index);
        }
        check(entry.term() >= lastTerm(), "the terms in the log would decrease");
        pushEntry(entry);
    }
    pendingRejection.reset();
    acceptedPrevIndex = prevIndex;
    followerMatchIndex = std::max(followerMatchIndex, index);
    const Index commitIndex = std::min(append.commit(), followerMatchIndex);
    if (commitIndex > commit) commitTo(commitIndex);
    if (std::exchange(lastAppendRejected, false) || (!append.entries().empty() && durableIndex >= index))
        responseDue = true;
}

void Replica::State::onAppendResponse(const RaftMessage& response) {
    const auto found = peers.find(memberKey(response.from()));
    if (found == peers.end()) return;
    if (response.term() > term) return becomeFollower(response.term());
    if (response.term() < term || role != Role::leader) return;
    Peer& peer = found->second;
    peer.lastContactAt = now;
    peer.leaving = response.leaving();
    peer.member.set_zone(response.from().zone());
    peer.mark = response.mark();
    peer.markReceivedAt = now;
    check(response.round() <= round, "a response names a round that was never started");
    if (response.round() > peer.round) {
        peer.round = response.round();
        const auto roundStart = roundStartTimes.find(peer.round);
        if (roundStart != roundStartTimes.end())
            peer.confirmedAt = std::max(peer.confirmedAt, roundStart->second);
        updateQuorumContact();
    }
    if (!response.granted()) {
        if (response.last_index() < peer.matchIndex) return;  // outdated: the peer has confirmed more since
        if (peer.progress == Progress::snapshot) return;      // sent before the transfer began
        if (peer.progress == Progress::probe && response.last_index() != peer.nextIndex - 1 &&
            peer.nextIndex - 1 >= baseIndex)
            return;
        Index hint = std::min(response.match(), lastIndex());
        while (hint > peer.matchIndex && hint > baseIndex && termAt(hint) > response.last_term()) --hint;
        peer.startProbing(std::max(hint, peer.matchIndex) + 1);
        return;
    }
    check(response.match() <= lastIndex(), "a response confirms entries beyond the last log index");
    const bool advanced = response.match() > peer.matchIndex;
    if (advanced) peer.matchIndex = response.match();
    peer.acknowledge(peer.matchIndex);
    if (peer.progress == Progress::snapshot) {
        if (response.has_progress()) peer.snapshotSender.acknowledged(response.progress());
        if (peer.matchIndex >= peer.snapshotSender.index()) {
            peer.startProbing(peer.matchIndex + 1);
            peer.progress = Progress::replicate;
        }
    }
    if (peer.progress == Progress::probe &&
        (peer.matchIndex >= peer.nextIndex - 1 || response.last_index() >= peer.nextIndex - 1)) {
        peer.progress = Progress::replicate;
        peer.probeSent = false;
    }
    peer.nextIndex = std::max(peer.nextIndex, peer.matchIndex + 1);
    if (advanced) advanceCommit();
}

void Replica::State::respondToLeader() {
    if (!leader || role != Role::follower || !hardStateDurable()) return;
    const Index matchIndex = settings.faults.answersAppendUnsynced
                                 ? followerMatchIndex
                                 : std::min(followerMatchIndex, durableIndex);
    if (matchIndex > lastSentMatchIndex) responseDue = true;
    if (!responseDue && !pendingRejection) return;
    RaftMessage response;
    if (pendingRejection) {
        response = std::move(*pendingRejection);
        pendingRejection.reset();
    } else {
        response =
            makeMessage(snapshotProgress ? RaftMessage::INSTALL_ANSWER : RaftMessage::APPEND_ANSWER, *leader);
        if (snapshotProgress) *response.mutable_progress() = *std::exchange(snapshotProgress, std::nullopt);
        response.set_granted(true);
        response.set_match(matchIndex);
        response.set_last_index(acceptedPrevIndex);
        lastSentMatchIndex = matchIndex;
    }
    responseDue = false;
    response.set_round(receivedRound);
    response.set_leaving(leaving);
    lastSentRound = receivedRound;
    response.set_mark(++mark);
    sentMarks.emplace_back(mark, now);
    while (now - sentMarks.front().second > kMarkLifetime) sentMarks.pop_front();
    send(std::move(response));
}

}  // namespace marldale::raft
