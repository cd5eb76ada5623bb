#include "gateway/controller/raft_events.h"

#include <string>
#include <vector>

#include "absl/strings/str_cat.h"
#include "gateway/log/log.h"

namespace marldale::controller {
namespace {

const char* nameOf(raft::EventKind kind) {
    switch (kind) {
        case raft::EventKind::electionStarted: return "election_started";
        case raft::EventKind::electionWon: return "election_won";
        case raft::EventKind::leadershipLost: return "leadership_lost";
        case raft::EventKind::quorumLost: return "quorum_lost";
        case raft::EventKind::membershipProposed: return "membership_proposed";
        case raft::EventKind::membershipCommitted: return "membership_committed";
        case raft::EventKind::learnerCaughtUp: return "learner_caught_up";
        case raft::EventKind::snapshotInstalled: return "raft_snapshot_installed";
    }
    return "";
}

const char* nameOf(raft::ChangeReason reason) {
    switch (reason) {
        case raft::ChangeReason::diskReplaced: return "disk replaced";
        case raft::ChangeReason::voterSilent: return "voter silent";
        case raft::ChangeReason::voterLeaving: return "voter leaving";
        case raft::ChangeReason::zoneSpread: return "zones";
        case raft::ChangeReason::moreVoters: return "more voters";
    }
    return "";
}

std::string addressesOf(const std::vector<raft::proto::Member>& members) {
    std::string out;
    for (const raft::proto::Member& member : members)
        absl::StrAppend(&out, out.empty() ? "" : " ", member.address());
    return out;
}

}  // namespace

void logRaftEvent(const raft::Event& event) {
    log::info(nameOf(event.kind), {{"term", event.term},
                                   {"index", event.index},
                                   {"member", event.member ? event.member->address() : std::string()},
                                   {"added", addressesOf(event.added)},
                                   {"removed", addressesOf(event.removed)},
                                   {"why", event.reason ? nameOf(*event.reason) : ""}});
}

}  // namespace marldale::controller
