// Voters and learners: membership changes by joint consensus (Raft paper, section 6) and join requests.
#include "gateway/raft/replica_state.h"

namespace marldale::raft {

Micros Replica::State::joinDue() const {
    if (role == Role::leader) return kNever;
    const Micros next = lastJoinAt + kJoinInterval;
    if (contains(config().members, self)) return std::max(next, leaderContactAt + kIsolationTimeout);
    return leader ? std::max(next, leaderContactAt + settings.minElectionTimeout) : next;
}

void Replica::State::trackVoters(Index nextIndex) {
    const auto trackAll = [&](const Members& all) {
        for (const auto& voter : all.voters())
            if (!sameMember(voter, self)) trackPeer(voter, nextIndex);
    };
    trackAll(config().members);
    trackAll(config().outgoing);
}

Peer& Replica::State::trackPeer(const Member& member, Index nextIndex) {
    const auto [position, isNew] = peers.try_emplace(memberKey(member));
    if (isNew) {
        position->second.member = member;
        position->second.nextIndex = nextIndex;
        position->second.lastContactAt = now;
        position->second.trackedSinceRound = round;
    }
    return position->second;
}

// Proposes at most one membership change at a time. Each change needs a majority of the members before it and
// of those after it (joint consensus) and is completed by one more entry, so a change may also swap or add
// two members at once. The majority of the previous members matters most where the new identity of a wiped
// machine replaces the old one: a deposed leader that has not yet heard of an election decided by the old
// identity's vote could otherwise commit with the new identity alone.
void Replica::State::reconcileMembership() {
    membershipSettled = false;
    if (role != Role::leader || commit < termStartIndex) return;
    if (config().index > commit && !settings.faults.changesAtOnce) return;
    if (!config().outgoing.voters().empty()) {
        Entry finalEntry;
        *finalEntry.mutable_members() = Members(config().members);
        append(std::move(finalEntry));
        return;
    }
    reportCaughtUpLearners();
    if (leadershipTransferStartedAt >= 0) return;
    auto change = replacementOfLostDisk();
    if (!change) change = wantedChange();
    if (change) return proposeMembership(*change);
    membershipSettled = true;
}

// A machine that lost its disk returns with another number, so its earlier identity never comes back.
std::optional<MembershipChange> Replica::State::replacementOfLostDisk() const {
    for (const auto& [key, peer] : peers) {
        if (contains(config().members, peer.member) || !caughtUp(peer)) continue;
        const Member* formerIdentity = voterAtAddress(config().members, peer.member.address());
        if (formerIdentity == nullptr || sameMember(*formerIdentity, self)) continue;
        return MembershipChange{{peer.member}, {*formerIdentity}, ChangeReason::diskReplaced};
    }
    return std::nullopt;
}

std::optional<MembershipChange> Replica::State::wantedChange() const {
    std::vector<MembershipCandidate> voters;
    for (const auto& voter : config().members.voters()) voters.push_back(candidateOf(voter));
    std::vector<MembershipCandidate> learners;
    for (const auto& [key, peer] : peers) {
        const bool atVotersAddress = voterAtAddress(config().members, peer.member.address()) != nullptr;
        if (atVotersAddress || peer.member.address() == self.address() || !caughtUp(peer)) continue;
        learners.push_back({peer.member, false, peer.leaving, false});
    }
    if (settings.faults.ignoresZones) {
        for (auto& voter : voters) voter.member.clear_zone();
        for (auto& learner : learners) learner.member.clear_zone();
    }
    auto change = planMembership(voters, learners, settings.maxVoters);
    if (!change || !canCommit(*change)) return std::nullopt;
    if (change->reason == ChangeReason::voterSilent && !withinChangeLimit()) return std::nullopt;
    // Adds no voter while some voter may be lost: the learner may be needed to replace it.
    if (change->reason == ChangeReason::moreVoters && hasUnresponsiveVoter(voters)) return std::nullopt;
    return change;
}

MembershipCandidate Replica::State::candidateOf(const Member& voter) const {
    if (sameMember(voter, self)) return {self, false, leaving, true};
    const auto found = peers.find(memberKey(voter));
    if (found == peers.end()) return {voter, false, false, false};
    const Peer& peer = found->second;
    const bool silent = !recentlyConfirmed(peer) && now - peer.lastContactAt >= voterLossTimeout();
    return {peer.member, silent && !settings.faults.keepsSilentVoter, peer.leaving, false};
}

bool Replica::State::hasUnresponsiveVoter(const std::vector<MembershipCandidate>& voters) const {
    return std::any_of(voters.begin(), voters.end(), [&](const MembershipCandidate& voter) {
        return voter.staying() && !responds(voter.member);
    });
}

bool Replica::State::responds(const Member& member) const {
    const auto found = peers.find(memberKey(member));
    return sameMember(member, self) || (found != peers.end() && recentlyConfirmed(found->second));
}

// Whether majorities of the members before and after the change respond now. Otherwise the change could not
// be committed and would block other changes.
bool Replica::State::canCommit(const MembershipChange& change) const {
    const auto isRemoved = [&](const Member& member) {
        return std::any_of(change.removed.begin(), change.removed.end(),
                           [&](const Member& removed) { return sameMember(removed, member); });
    };
    const auto& before = config().members.voters();
    const auto respondingBefore =
        std::count_if(before.begin(), before.end(), [&](const Member& member) { return responds(member); });
    const auto respondingStaying = std::count_if(before.begin(), before.end(), [&](const Member& member) {
        return !isRemoved(member) && responds(member);
    });
    const auto added = static_cast<std::ptrdiff_t>(change.added.size());
    const auto after = before.size() + added - static_cast<std::ptrdiff_t>(change.removed.size());
    return respondingBefore > before.size() / 2 && respondingStaying + added > after / 2;
}

// Prevents an unstable link from causing repeated membership changes. The limit allows each voter of a
// minority to be removed and added back once within the time in which that minority may be lost one by one
// (each loss `catchUp` after the previous one).
bool Replica::State::withinChangeLimit() const {
    if (settings.faults.replacesWithoutLimit) return true;
    const Micros windowStart = now - membershipChangeWindow();
    const auto recent = std::count_if(recentChangeTimes.begin(), recentChangeTimes.end(),
                                      [&](Micros proposedAt) { return proposedAt > windowStart; });
    return recent < 2 * minoritySize();
}

void Replica::State::setMembershipChangeAges(RaftMessage& message) const {
    for (const Micros proposedAt : recentChangeTimes)
        if (now - proposedAt < membershipChangeWindow()) message.add_membership_change_ages(now - proposedAt);
}

// Replaces this replica's list by the leader's: the leader learned of every committed change from messages
// that carried it, and an outdated list in a delayed message is corrected by the next message. A leader that
// has restarted and heard from no other leader since starts with an empty list.
void Replica::State::adoptMembershipChangeAges(const RaftMessage& message) {
    if (settings.faults.forgetsOthersChanges) return;
    recentChangeTimes.clear();
    for (const Micros age : message.membership_change_ages()) recentChangeTimes.push_back(now - age);
}

void Replica::State::reportCaughtUpLearners() {
    for (auto& [key, peer] : peers) {
        if (peer.caughtUpReported || contains(config().members, peer.member) || !caughtUp(peer)) continue;
        peer.caughtUpReported = true;
        report({EventKind::learnerCaughtUp, term, peer.matchIndex, peer.member, {}, {}, {}});
    }
}

// Whether `leavingPeer` may terminate: it is no longer a voter, or no learner can replace it and a majority
// of the voters, not counting leaving ones, holds every entry that it holds.
bool Replica::State::mayRelease(const Peer& leavingPeer) const {
    if (settings.faults.leavesWithOnlyCopy) return true;
    if (!membershipSettled) return false;
    if (!contains(config().members, leavingPeer.member)) return config().index <= commit;
    int holders = 0;
    for (const auto& voter : config().members.voters()) {
        const auto found = peers.find(memberKey(voter));
        const Index matchIndex = sameMember(voter, self) ? durableIndex
                                 : found == peers.end()  ? 0
                                                         : found->second.matchIndex;
        const bool stays = sameMember(voter, self) || (found != peers.end() && !found->second.leaving);
        holders += stays && matchIndex >= std::max(leavingPeer.nextIndex - 1, commit) ? 1 : 0;
    }
    return holders > config().members.voters_size() / 2;
}

// Stops sending to silent machines that are no longer members. One that returns sends a join request.
void Replica::State::forgetReplacedPeers() {
    for (auto it = peers.begin(); it != peers.end();) {
        const Peer& peer = it->second;
        const bool isMember =
            contains(config().members, peer.member) || contains(config().outgoing, peer.member);
        it = !isMember && now - peer.lastContactAt > voterLossTimeout() ? peers.erase(it) : std::next(it);
    }
}

void Replica::State::proposeMembership(const MembershipChange& change) {
    const Members before = config().members;
    Entry entry;
    entry.set_kind(Entry::MEMBERS);
    auto* after = entry.mutable_members();
    for (const auto& voter : before.voters()) {
        const bool removed = std::any_of(change.removed.begin(), change.removed.end(),
                                         [&](const Member& member) { return sameMember(member, voter); });
        if (!removed) *after->add_voters() = candidateOf(voter).member;
    }
    for (const auto& member : change.added) *after->add_voters() = member;
    std::sort(after->mutable_voters()->begin(), after->mutable_voters()->end(),
              [](const Member& a, const Member& b) { return memberKey(a) < memberKey(b); });
    if (!settings.faults.forgetsOutgoing) *entry.mutable_outgoing() = before;
    const Index index = append(std::move(entry));
    recentChangeTimes.push_back(now);
    while (now - recentChangeTimes.front() >= membershipChangeWindow()) recentChangeTimes.pop_front();
    report({EventKind::membershipProposed, term, index, {}, change.added, change.removed, change.reason});
}

// Reports the members added and removed by each joint entry in [from, through], which is committed now.
void Replica::State::reportCommittedChanges(Index from, Index through) {
    const auto missingIn = [](const Members& all, const Members& candidates) {
        std::vector<Member> missing;
        for (const auto& member : candidates.voters())
            if (!contains(all, member)) missing.push_back(member);
        return missing;
    };
    for (const auto& config : configs) {
        if (config.index < from || config.index > through || config.outgoing.voters().empty()) continue;
        report({EventKind::membershipCommitted,
                term,
                config.index,
                {},
                missingIn(config.outgoing, config.members),
                missingIn(config.members, config.outgoing),
                {}});
    }
}

void Replica::State::onJoinRequest(const RaftMessage& request) {
    if (role != Role::leader || request.from().address().empty()) return;
    const auto known = peers.find(memberKey(request.from()));
    if (known == peers.end()) {
        // Drops a learner with the same address: an earlier identity of this machine.
        for (auto it = peers.begin(); it != peers.end();) {
            const auto& member = it->second.member;
            const bool isFormerLearner = member.address() == request.from().address() &&
                                         !contains(config().members, member) &&
                                         !contains(config().outgoing, member);
            it = isFormerLearner ? peers.erase(it) : std::next(it);
        }
        if (peers.size() < kMaxLearners) trackPeer(request.from(), lastIndex() + 1);
        return;
    }
    known->second.lastContactAt = now;
    known->second.leaving = request.leaving();
    known->second.member.set_zone(request.from().zone());
    if (known->second.progress == Progress::probe) known->second.probeSent = false;
}

void Replica::State::sendJoinRequests() {
    lastJoinAt = now;
    // Asks others besides the last known leader, which may have lost leadership.
    std::size_t count = 0;
    if (leader) {
        sendJoinRequest(leader->address());
        ++count;
    }
    std::vector<std::string> addresses = contactAddresses;
    for (const auto& voter : config().members.voters()) addresses.push_back(voter.address());
    // The seeds may no longer exist, so they are asked only while no other address is known.
    if (addresses.empty()) addresses = settings.seeds;
    std::sort(addresses.begin(), addresses.end());
    addresses.erase(std::unique(addresses.begin(), addresses.end()), addresses.end());
    addresses.erase(std::remove(addresses.begin(), addresses.end(), self.address()), addresses.end());
    if (leader)
        addresses.erase(std::remove(addresses.begin(), addresses.end(), leader->address()), addresses.end());
    for (std::size_t i = 0; i < addresses.size() && count < kJoinFanout; ++i, ++count)
        sendJoinRequest(addresses[nextContact++ % addresses.size()]);
}

void Replica::State::sendJoinRequest(const std::string& address) {
    Member to;
    to.set_address(address);
    auto request = makeMessage(RaftMessage::JOIN, to);
    request.set_leaving(leaving);
    send(std::move(request));
}

}  // namespace marldale::raft
