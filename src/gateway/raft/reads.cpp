// Linearizable reads confirmed by a round of heartbeats (Ongaro's thesis, section 6.4), and the time of the
// last contact with a quorum.
#include "gateway/raft/replica_state.h"

namespace marldale::raft {

void Replica::State::updateQuorumContact() {
    const auto contactTime = quorumValue([&](const Member& voter) -> Micros {
        if (sameMember(voter, self)) return now;
        const auto peer = peers.find(memberKey(voter));
        return peer == peers.end() ? -1 : peer->second.confirmedAt;
    });
    confirmedAt = std::max(confirmedAt, contactTime);
    confirmedRound = std::max(confirmedRound, quorumValue([&](const Member& voter) -> std::uint64_t {
                                  if (sameMember(voter, self)) return round;
                                  const auto peer = peers.find(memberKey(voter));
                                  return peer == peers.end() ? 0 : peer->second.round;
                              }));
    if (commit >= termStartIndex) quorumContactAt = std::max(quorumContactAt, contactTime);
    while (!roundStartTimes.empty() &&
           now - roundStartTimes.begin()->second > 2 * settings.maxElectionTimeout)
        roundStartTimes.erase(roundStartTimes.begin());
}

void Replica::State::stepDownIfQuorumLost() {
    if (role != Role::leader) return;
    updateQuorumContact();
    if (!quorumContactLost()) return;
    report({EventKind::quorumLost, term, 0, {}, {}, {}, {}});
    becomeFollower(term);
}

void Replica::State::completeReads() {
    if (reads.empty() || (commit < termStartIndex && !settings.faults.readsWithoutRound)) return;
    updateQuorumContact();
    const auto isConfirmed = [&](const PendingRead& read) {
        return read.round <= confirmedRound || settings.faults.readsWithoutRound;
    };
    for (const auto& read : reads)
        if (isConfirmed(read)) ready.reads.push_back({read.ticket, true, commit});
    reads.erase(std::remove_if(reads.begin(), reads.end(), isConfirmed), reads.end());
}

}  // namespace marldale::raft
