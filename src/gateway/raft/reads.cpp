// Reads confirmed by a round of heartbeats (thesis, section 6.4), and the age of contact with a majority.
#include "gateway/raft/replica_state.h"

namespace marldale::raft {

void Replica::State::updateQuorumContact() {
    const auto when = quorumValue([&](const Member& m) -> Micros {
        if (sameMember(m, self)) return now;
        const auto p = peers.find(keyOf(m));
        return p == peers.end() ? -1 : p->second.confirmedAt;
    });
    confirmedAt = std::max(confirmedAt, when);
    confirmedRound = std::max(confirmedRound, quorumValue([&](const Member& m) -> std::uint64_t {
                                  if (sameMember(m, self)) return round;
                                  const auto p = peers.find(keyOf(m));
                                  return p == peers.end() ? 0 : p->second.round;
                              }));
    if (commit >= startIndex) quorumContactAt = std::max(quorumContactAt, when);
    while (!roundsBegun.empty() && now - roundsBegun.begin()->second > 2 * settings.electionMost)
        roundsBegun.erase(roundsBegun.begin());
}

void Replica::State::stepDownIfQuorumLost() {
    if (role != Role::leader) return;
    updateQuorumContact();
    if (!quorumContactLost()) return;
    report({EventKind::quorumLost, term, 0, {}, {}, {}, {}});
    becomeFollower(term);
}

void Replica::State::endReads() {
    if (reads.empty() || (commit < startIndex && !settings.faults.readsWithoutRound)) return;
    updateQuorumContact();
    const auto isConfirmed = [&](const Read& r) {
        return r.round <= confirmedRound || settings.faults.readsWithoutRound;
    };
    for (const auto& r : reads)
        if (isConfirmed(r)) out.reads.push_back({r.ticket, true, commit});
    reads.erase(std::remove_if(reads.begin(), reads.end(), isConfirmed), reads.end());
}

}  // namespace marldale::raft
