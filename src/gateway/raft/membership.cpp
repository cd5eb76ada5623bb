// Who votes and who learns: changes by joint consensus (Raft, section 6), and requests to join.
#include "gateway/raft/replica_state.h"

namespace marldale::raft {

Micros Replica::State::joinDue() const {
    if (role == Role::leader) return kNever;
    const Micros next = lastJoinAt + kJoinInterval;
    if (contains(config().members, self)) return std::max(next, leaderContactAt + kIsolatedAfter);
    return leader ? std::max(next, leaderContactAt + settings.electionLeast) : next;
}

void Replica::State::trackVoters(Index next) {
    const auto one = [&](const Members& all) {
        for (const auto& m : all.voters())
            if (!sameMember(m, self)) trackPeer(m, next);
    };
    one(config().members);
    one(config().outgoing);
}

Peer& Replica::State::trackPeer(const Member& m, Index next) {
    const auto [where, fresh] = peers.try_emplace(keyOf(m));
    if (fresh) {
        where->second.member = m;
        where->second.next = next;
        where->second.lastContactAt = now;
        where->second.trackedSinceRound = round;
    }
    return where->second;
}

// One change at a time. Each goes through both majorities, of the members before and of those after it
// (joint consensus), and is settled by one more entry; so a change may also swap or add two at once.
// That a majority of those before it is asked matters most where a wiped machine's new identity takes the
// place of the old one: a leader that was voted out with the old one's vote, and doesn't know it yet,
// would otherwise commit with the new one alone.
void Replica::State::reconcileMembership() {
    membershipSettled = false;
    if (role != Role::leader || commit < startIndex) return;
    if (config().index > commit && !settings.faults.changesAtOnce) return;
    if (!config().outgoing.voters().empty()) {
        Entry settled;
        *settled.mutable_members() = Members(config().members);
        append(std::move(settled));
        return;
    }
    reportCaughtUpLearners();
    if (transferStartedAt >= 0) return;
    auto change = replacementOfLostDisk();
    if (!change) change = wantedChange();
    if (change) return proposeMembership(*change);
    membershipSettled = true;
}

// A machine whose disk is gone comes back with another number: its earlier identity never returns.
std::optional<MembershipChange> Replica::State::replacementOfLostDisk() const {
    for (const auto& [key, p] : peers) {
        if (contains(config().members, p.member) || !caughtUp(p)) continue;
        const Member* old = voterAtAddress(config().members, p.member.address());
        if (old == nullptr || sameMember(*old, self)) continue;
        return MembershipChange{{p.member}, {*old}, ChangeReason::diskReplaced};
    }
    return std::nullopt;
}

std::optional<MembershipChange> Replica::State::wantedChange() const {
    std::vector<MembershipCandidate> voters;
    for (const auto& voter : config().members.voters()) voters.push_back(candidateOf(voter));
    std::vector<MembershipCandidate> learners;
    for (const auto& [key, p] : peers) {
        const bool atVotersAddress = voterAtAddress(config().members, p.member.address()) != nullptr;
        if (atVotersAddress || p.member.address() == self.address() || !caughtUp(p)) continue;
        learners.push_back({p.member, false, p.leaving, false});
    }
    if (settings.faults.ignoresZones) {
        for (auto& voter : voters) voter.member.clear_zone();
        for (auto& learner : learners) learner.member.clear_zone();
    }
    auto change = planMembership(voters, learners, settings.maxVoters);
    if (!change || !reachable(*change)) return std::nullopt;
    if (change->reason == ChangeReason::voterSilent && !withinChangeLimit()) return std::nullopt;
    // While it isn't known whether a voter is lost, no more of them: a learner may be needed in its place.
    if (change->reason == ChangeReason::moreVoters && inDoubt(voters)) return std::nullopt;
    return change;
}

MembershipCandidate Replica::State::candidateOf(const Member& voter) const {
    if (sameMember(voter, self)) return {self, false, leaving, true};
    const auto at = peers.find(keyOf(voter));
    if (at == peers.end()) return {voter, false, false, false};
    const Peer& p = at->second;
    const bool silent = !recentlyConfirmed(p) && now - p.lastContactAt >= silenceLimit();
    return {p.member, silent && !settings.faults.keepsSilentVoter, p.leaving, false};
}

bool Replica::State::inDoubt(const std::vector<MembershipCandidate>& voters) const {
    return std::any_of(voters.begin(), voters.end(), [&](const MembershipCandidate& voter) {
        return voter.staying() && !answers(voter.member);
    });
}

bool Replica::State::answers(const Member& member) const {
    const auto at = peers.find(keyOf(member));
    return sameMember(member, self) || (at != peers.end() && recentlyConfirmed(at->second));
}

// Whether majorities before and after the change answer now; otherwise it would only be in the way.
bool Replica::State::reachable(const MembershipChange& change) const {
    const auto isRemoved = [&](const Member& member) {
        return std::any_of(change.removed.begin(), change.removed.end(),
                           [&](const Member& removed) { return sameMember(removed, member); });
    };
    const auto& before = config().members.voters();
    const auto answeringBefore =
        std::count_if(before.begin(), before.end(), [&](const Member& m) { return answers(m); });
    const auto answeringStaying = std::count_if(before.begin(), before.end(),
                                                [&](const Member& m) { return !isRemoved(m) && answers(m); });
    const auto added = static_cast<std::ptrdiff_t>(change.added.size());
    const auto after = before.size() + added - static_cast<std::ptrdiff_t>(change.removed.size());
    return answeringBefore > before.size() / 2 && answeringStaying + added > after / 2;
}

// A link that comes and goes must not make members come and go with it: in the span in which a minority may
// be lost one after another (each `catchUp` after the one before), each leaving and returning once.
bool Replica::State::withinChangeLimit() const {
    if (settings.faults.replacesWithoutLimit) return true;
    const Micros since = now - changeLimitSpan();
    const auto recent = std::count_if(recentChanges.begin(), recentChanges.end(),
                                      [&](Micros proposedAt) { return proposedAt > since; });
    return recent < 2 * minorityOfVoters();
}

void Replica::State::stampMembershipChanges(RaftMessage& m) const {
    for (const Micros proposedAt : recentChanges)
        if (now - proposedAt < changeLimitSpan()) m.add_membership_change_ages(now - proposedAt);
}

// The leader's list takes the place of the own one: what was committed reached the leader in messages that
// told of it, and a message that was held up is corrected by the next. A leader that has restarted, and heard
// nobody since, begins anew.
void Replica::State::learnMembershipChanges(const RaftMessage& m) {
    if (settings.faults.forgetsOthersChanges) return;
    recentChanges.clear();
    for (const Micros age : m.membership_change_ages()) recentChanges.push_back(now - age);
}

void Replica::State::reportCaughtUpLearners() {
    for (auto& [key, p] : peers) {
        if (p.caughtUpReported || contains(config().members, p.member) || !caughtUp(p)) continue;
        p.caughtUpReported = true;
        report({EventKind::learnerCaughtUp, term, p.match, p.member, {}, {}, {}});
    }
}

// Whether `leavingPeer` may end: it votes no more, or no learner can take its place and a majority of the
// voters holds all that it holds without it.
bool Replica::State::mayRelease(const Peer& leavingPeer) const {
    if (settings.faults.leavesWithOnlyCopy) return true;
    if (!membershipSettled) return false;
    if (!contains(config().members, leavingPeer.member)) return config().index <= commit;
    int holders = 0;
    for (const auto& voter : config().members.voters()) {
        const auto at = peers.find(keyOf(voter));
        const Index held = sameMember(voter, self) ? durable : at == peers.end() ? 0 : at->second.match;
        const bool stays = sameMember(voter, self) || (at != peers.end() && !at->second.leaving);
        holders += stays && held >= std::max(leavingPeer.next - 1, commit) ? 1 : 0;
    }
    return holders > config().members.voters_size() / 2;
}

// A silent machine that is no voter any more gets nothing from now on; if it returns it asks to join.
void Replica::State::forgetReplacedPeers() {
    for (auto at = peers.begin(); at != peers.end();) {
        const Peer& p = at->second;
        const bool member = contains(config().members, p.member) || contains(config().outgoing, p.member);
        at = !member && now - p.lastContactAt > silenceLimit() ? peers.erase(at) : std::next(at);
    }
}

void Replica::State::proposeMembership(const MembershipChange& change) {
    const Members before = config().members;
    Entry entry;
    entry.set_kind(Entry::MEMBERS);
    auto* after = entry.mutable_members();
    for (const auto& voter : before.voters()) {
        const bool removed = std::any_of(change.removed.begin(), change.removed.end(),
                                         [&](const Member& m) { return sameMember(m, voter); });
        if (!removed) *after->add_voters() = candidateOf(voter).member;
    }
    for (const auto& member : change.added) *after->add_voters() = member;
    std::sort(after->mutable_voters()->begin(), after->mutable_voters()->end(),
              [](const Member& a, const Member& b) { return keyOf(a) < keyOf(b); });
    if (!settings.faults.forgetsOutgoing) *entry.mutable_outgoing() = before;
    const Index index = append(std::move(entry));
    recentChanges.push_back(now);
    while (now - recentChanges.front() >= changeLimitSpan()) recentChanges.pop_front();
    report({EventKind::membershipProposed, term, index, {}, change.added, change.removed, change.reason});
}

// Joint entries among those that are committed by now: who comes, who goes.
void Replica::State::reportCommittedChanges(Index from, Index through) {
    const auto missingIn = [](const Members& all, const Members& candidates) {
        std::vector<Member> missing;
        for (const auto& m : candidates.voters())
            if (!contains(all, m)) missing.push_back(m);
        return missing;
    };
    for (const auto& c : configs) {
        if (c.index < from || c.index > through || c.outgoing.voters().empty()) continue;
        report({EventKind::membershipCommitted,
                term,
                c.index,
                {},
                missingIn(c.outgoing, c.members),
                missingIn(c.members, c.outgoing),
                {}});
    }
}

void Replica::State::onJoinRequest(const RaftMessage& m) {
    if (role != Role::leader || m.from().address().empty()) return;
    const auto known = peers.find(keyOf(m.from()));
    if (known == peers.end()) {
        // An earlier self that only learned is gone.
        for (auto at = peers.begin(); at != peers.end();) {
            const auto& p = at->second.member;
            const bool old = p.address() == m.from().address() && !contains(config().members, p) &&
                             !contains(config().outgoing, p);
            at = old ? peers.erase(at) : std::next(at);
        }
        if (peers.size() < kMaxLearners) trackPeer(m.from(), lastIndex() + 1);
        return;
    }
    known->second.lastContactAt = now;
    known->second.leaving = m.leaving();
    known->second.member.set_zone(m.from().zone());
    if (known->second.progress == Progress::probe) known->second.probeSent = false;
}

void Replica::State::sendJoinRequests() {
    lastJoinAt = now;
    // To the leader as last known, and to others: it may lead no more.
    std::size_t count = 0;
    if (leader) {
        sendJoinRequest(leader->address());
        ++count;
    }
    std::vector<std::string> all = contactList;
    for (const auto& m : config().members.voters()) all.push_back(m.address());
    // The seeds may be long gone: they are asked only while nobody is known.
    if (all.empty()) all = settings.seeds;
    std::sort(all.begin(), all.end());
    all.erase(std::unique(all.begin(), all.end()), all.end());
    all.erase(std::remove(all.begin(), all.end(), self.address()), all.end());
    if (leader) all.erase(std::remove(all.begin(), all.end(), leader->address()), all.end());
    for (std::size_t k = 0; k < all.size() && count < kJoinFanout; ++k, ++count)
        sendJoinRequest(all[contactTurn++ % all.size()]);
}

void Replica::State::sendJoinRequest(const std::string& address) {
    Member to;
    to.set_address(address);
    auto request = message(RaftMessage::JOIN, to);
    request.set_leaving(leaving);
    send(std::move(request));
}

}  // namespace marldale::raft
