// The membership planner: enumerates the possible changes and ranks them by the losses that the voters
// tolerate.
#include "gateway/raft/membership_plan.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <tuple>

namespace marldale::raft {

namespace {

using Selection = std::vector<const MembershipCandidate*>;

constexpr std::size_t kMaxLearnersConsidered = 16;

// Fault tolerance of a set of voters: the losses it tolerates beyond the current ones.
struct Margin {
    int zone = 0;      // voters beyond a majority after the loss of the largest zone; may be negative
    int machines = 0;  // staying voters beyond a majority
    int silent = 0;    // voters assumed lost

    // At equal margins fewer silent voters are better. But no silent voter is removed if the remaining ones
    // would tolerate no loss: it may only be restarting and would still be needed.
    friend bool operator<(const Margin& a, const Margin& b) {
        const auto rank = [](const Margin& margin) {
            return std::tuple(margin.zone >= 0, margin.machines, margin.zone,
                              margin.machines > 0 ? -margin.silent : 0);
        };
        return rank(a) < rank(b);
    }
};

Margin marginOf(const Selection& voters, bool withZones) {
    const int majority = static_cast<int>(voters.size()) / 2 + 1;
    int staying = 0;
    int silent = 0;
    int largestZone = 0;
    std::map<std::string, int> inZone;
    for (const MembershipCandidate* voter : voters) {
        silent += voter->silent ? 1 : 0;
        if (!voter->staying()) continue;
        ++staying;
        const std::string& zone = voter->member.zone();
        largestZone = std::max(largestZone, zone.empty() || !withZones ? 1 : ++inZone[zone]);
    }
    return {staying - largestZone - majority, staying - majority, silent};
}

// A change under evaluation.
struct CandidateChange {
    Selection added, removed;
};

Selection votersAfter(const Selection& voters, const CandidateChange& change) {
    Selection after;
    for (const MembershipCandidate* voter : voters) {
        const bool isRemoved =
            std::find(change.removed.begin(), change.removed.end(), voter) != change.removed.end();
        if (!isRemoved) after.push_back(voter);
    }
    after.insert(after.end(), change.added.begin(), change.added.end());
    return after;
}

std::vector<CandidateChange> enumerateChanges(const Selection& voters, const Selection& learners,
                                              std::size_t maxVoters) {
    std::vector<CandidateChange> changes;
    const auto freePlaces = maxVoters - std::min(maxVoters, voters.size());
    for (const MembershipCandidate* voter : voters)
        for (const MembershipCandidate* learner : learners) changes.push_back({{learner}, {voter}});
    for (const MembershipCandidate* learner : learners)
        if (freePlaces >= 1) changes.push_back({{learner}, {}});
    for (const MembershipCandidate* voter : voters)
        if (voters.size() > 1) changes.push_back({{}, {voter}});
    for (std::size_t first = 0; first < learners.size(); ++first)
        for (std::size_t second = first + 1; second < learners.size() && freePlaces >= 2; ++second)
            changes.push_back({{learners[first], learners[second]}, {}});
    for (std::size_t first = 0; first < voters.size(); ++first)
        for (std::size_t second = first + 1; second < voters.size() && voters.size() > 3; ++second)
            changes.push_back({{}, {voters[first], voters[second]}});
    return changes;
}

// Zones are ignored if all machines are in one, because its loss cannot be tolerated anyway.
bool inSeveralZones(const Selection& voters, const Selection& learners) {
    std::set<std::string> zones;
    for (const MembershipCandidate* voter : voters) zones.insert(voter->member.zone());
    for (const MembershipCandidate* learner : learners) zones.insert(learner->member.zone());
    return zones.size() > 1;
}

ChangeReason reasonOf(const CandidateChange& change) {
    const auto anyRemoved = [&](auto predicate) {
        return std::any_of(change.removed.begin(), change.removed.end(), predicate);
    };
    if (anyRemoved([](const MembershipCandidate* voter) { return voter->silent; }))
        return ChangeReason::voterSilent;
    if (anyRemoved([](const MembershipCandidate* voter) { return voter->leaving; }))
        return ChangeReason::voterLeaving;
    return change.removed.empty() ? ChangeReason::moreVoters : ChangeReason::zoneSpread;
}

std::vector<proto::Member> membersOf(const Selection& candidates) {
    std::vector<proto::Member> members;
    for (const MembershipCandidate* candidate : candidates) members.push_back(candidate->member);
    return members;
}

Selection pointersTo(const std::vector<MembershipCandidate>& candidates) {
    Selection pointers;
    for (const MembershipCandidate& candidate : candidates) pointers.push_back(&candidate);
    return pointers;
}

}  // namespace

std::optional<MembershipChange> planMembership(const std::vector<MembershipCandidate>& voters,
                                               const std::vector<MembershipCandidate>& learners,
                                               std::size_t maxVoters) {
    // Among equally good changes the first one wins. Silent voters therefore come first, leaving ones next
    // and the leader last.
    Selection present = pointersTo(voters);
    std::stable_sort(present.begin(), present.end(),
                     [](const MembershipCandidate* a, const MembershipCandidate* b) {
                         return std::tuple(!a->silent, !a->leaving, a->leader) <
                                std::tuple(!b->silent, !b->leaving, b->leader);
                     });
    Selection available;
    for (const MembershipCandidate& learner : learners)
        if (learner.staying() && available.size() < kMaxLearnersConsidered) available.push_back(&learner);
    const bool withZones = inSeveralZones(present, available);
    Margin best = marginOf(present, withZones);
    std::optional<CandidateChange> chosen;
    for (CandidateChange& change : enumerateChanges(present, available, maxVoters)) {
        const Margin margin = marginOf(votersAfter(present, change), withZones);
        if (!(best < margin)) continue;
        best = margin;
        chosen = std::move(change);
    }
    if (!chosen) return std::nullopt;
    return MembershipChange{membersOf(chosen->added), membersOf(chosen->removed), reasonOf(*chosen)};
}

}  // namespace marldale::raft
