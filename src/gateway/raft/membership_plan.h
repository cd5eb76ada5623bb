// Chooses the next membership change from the leader's view of voters and learners. A pure function, so every
// leader derives the same change from the same view.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "marldale/gateway/internal.pb.h"

namespace marldale::raft {

namespace proto = gateway::proto;

// A machine as input to the planner. Learners become candidates only once they have caught up.
struct MembershipCandidate {
    proto::Member member;  // an empty zone counts as a separate zone
    bool silent = false;   // without contact for so long that it is assumed lost
    bool leaving = false;  // it has announced that it will terminate
    bool leader = false;

    [[nodiscard]] bool staying() const { return !silent && !leaving; }
};

// Why a membership change is proposed.
enum class ChangeReason {
    diskReplaced,  // a machine that lost its disk replaces its earlier identity
    voterSilent,   // a silent voter is removed
    voterLeaving,  // a leaving voter is removed
    zoneSpread,    // the loss of one zone would have removed the majority
    moreVoters,    // additional voters tolerate more losses
};

// Members to add and to remove in one change.
struct MembershipChange {
    std::vector<proto::Member> added, removed;
    ChangeReason reason = ChangeReason::moreVoters;
};

// Returns the smallest change that improves fault tolerance: first against the loss of any one zone, then
// against the loss of as many machines as possible. Returns nothing if no change improves it.
std::optional<MembershipChange> planMembership(const std::vector<MembershipCandidate>& voters,
                                               const std::vector<MembershipCandidate>& learners,
                                               std::size_t maxVoters);

}  // namespace marldale::raft
