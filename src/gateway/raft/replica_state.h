// Internals of `Replica`: its state and the functions shared by its parts (election, log, replication,
// membership, reads, snapshots). Not for use by other packages.
#pragma once

#include <algorithm>
#include <array>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <set>
#include <utility>

#include "bytes/mix.h"
#include "gateway/raft/replica.h"

namespace marldale::raft {

using proto::Entry;
using proto::Member;
using proto::Members;
using proto::RaftMessage;
using MemberKey = std::pair<std::string, std::uint64_t>;  // address and number

inline constexpr Micros kNever = std::numeric_limits<Micros>::max();
inline constexpr Micros kJoinInterval = 300000;
// A voter without contact for this long sends join requests too: it may have been removed without learning of
// it.
inline constexpr Micros kIsolationTimeout = 3000000;
inline constexpr Micros kStartupSpan = 2000000;   // after a start, elections are attempted more often
inline constexpr Micros kMarkLifetime = 5000000;  // how long sent marks are remembered
// No log entries are retained for a follower that has been silent this long, and no snapshot is sent to it.
inline constexpr Micros kFollowerRetentionTimeout = 10000000;
inline constexpr std::size_t kJoinFanout = 3;
inline constexpr std::size_t kMaxLearners = 64;
inline constexpr std::size_t kMaxVoters = 64;
inline constexpr std::size_t kMaxInFlightBytes = 1U << 20U;
inline constexpr std::size_t kMaxUncommittedEntries = 4096;  // proposals are refused beyond this
inline constexpr std::size_t kMaxUncommittedBytes = 8U << 20U;
// Entries preceding the snapshot that are kept in memory for slow followers.
inline constexpr Index kRetainedEntries = 64;
inline constexpr std::size_t kRetainedBytes = 1U << 20U;

// Reports a violated invariant to the invariant handler, then aborts the process (in tests the handler
// throws).
void check(bool holds, const char* message);

inline MemberKey memberKey(const Member& member) { return {member.address(), member.number()}; }
inline bool sameMember(const Member& a, const Member& b) {
    return a.number() == b.number() && a.address() == b.address();
}
inline bool contains(const Members& all, const Member& member) {
    return std::any_of(all.voters().begin(), all.voters().end(),
                       [&](const Member& voter) { return sameMember(voter, member); });
}
inline const Member* voterAtAddress(const Members& all, const std::string& address) {
    const auto found = std::find_if(all.voters().begin(), all.voters().end(),
                                    [&](const Member& voter) { return voter.address() == address; });
    return found == all.voters().end() ? nullptr : &*found;
}

enum class Role { follower, preCandidate, candidate, leader };
// How the leader sends to a peer: one probe at a time, a stream of entries, or a snapshot.
enum class Progress { probe, replicate, snapshot };

// A membership configuration and the index from which it applies.
struct Config {
    Index index = 0;
    Members members;
    Members outgoing;  // the previous members, whose majority is also required; empty: none
};

// The leader's replication state for another replica.
struct Peer {
    Member member;
    Progress progress = Progress::probe;
    bool probeSent = false;  // one probe at a time
    Index nextIndex = 1, matchIndex = 0;
    Index sentCommit = 0;
    Micros lastContactAt = 0;
    Micros confirmedAt = -1;  // start time of the last round that it responded to
    std::uint64_t round = 0;
    std::uint64_t trackedSinceRound = 0;  // the round in which it was added
    std::uint64_t mark = 0;               // of its last response, echoed in the next message to it
    Micros markReceivedAt = 0;
    bool leaving = false;                                // as it last reported
    bool caughtUpReported = false;                       // whether the caught-up event was reported
    std::deque<std::pair<Index, std::size_t>> inFlight;  // last index and bytes of each append message
    std::size_t inFlightBytes = 0;
    SnapshotSender snapshotSender;  // active in `Progress::snapshot`

    void acknowledge(Index through) {
        while (!inFlight.empty() && inFlight.front().first <= through) {
            inFlightBytes -= inFlight.front().second;
            inFlight.pop_front();
        }
    }
    void startProbing(Index from) {
        progress = Progress::probe;
        probeSent = false;
        nextIndex = from;
        inFlight.clear();
        inFlightBytes = 0;
        snapshotSender.end();
    }
};

// A read that waits for a round of heartbeats to be confirmed.
struct PendingRead {
    std::uint64_t ticket = 0;
    std::uint64_t round = 0;  // the first round that confirms it
    Micros requestedAt = 0;
};

// NOLINTNEXTLINE(clang-analyzer-optin.performance.Padding): fields are grouped by concern; one instance
struct Replica::State {
    Settings settings;
    Member self;
    Micros now;
    std::uint64_t random;

    // ---- persistent state, including changes not yet written ----
    Term term = 0;
    std::optional<Member> votedFor;
    proto::Snapshot snapshot;
    std::deque<Entry> log;  // the first entry is `baseIndex` + 1, which may precede the snapshot's last index
    Index baseIndex = 0;
    Term baseTerm = 0;
    std::vector<Config> configs;  // ordered by index; the last one is in effect

    // ---- disk writes ----
    std::uint64_t lastEmittedWrite = 0, lastDurableWrite = 0;  // write numbers
    bool hardStateDirty = false, snapshotDirty = false;
    std::optional<Index> truncateFrom;  // for the next write
    Index firstUnwritten = 1;           // the first entry not included in any write
    Index inFlightLastIndex = 0;        // the last entry of the write in progress that is still in the log
    Index durableIndex = 0;             // the last durable entry
    std::uint64_t hardStateWrite = 0;   // number of the last write that contains term and vote
    // Messages that wait until the write with the given number is durable.
    std::vector<std::pair<std::uint64_t, RaftMessage>> deferredMessages;

    // ---- any role ----
    Role role = Role::follower;
    Index commit = 0, applied = 0;
    std::optional<Member> leader;
    std::optional<Member> lastLeader;  // the last known leader, heard from at `leaderContactAt`
    Micros leaderContactAt;
    Micros electionDue = kNever;
    Micros startedAt = 0;
    Micros quorumContactAt = -1;
    Micros lastJoinAt;
    std::vector<std::string> contactAddresses;
    std::size_t nextContact = 0;
    Term lastLedTerm = 0;  // the last term in which this replica led
    Ready ready;           // the work that `take` returns
    bool leaving = false, mayTerminate = false;

    // ---- follower ----
    Index followerMatchIndex = 0;  // the last entry known to match the log of this term's leader
    std::uint64_t receivedRound = 0, lastSentRound = 0;
    Index lastSentMatchIndex = 0, acceptedPrevIndex = 0;
    bool responseDue = false, lastAppendRejected = false;
    std::optional<RaftMessage> pendingRejection;
    // Each response carries a mark. The leader echoes the latest one, so its message was sent after
    // this replica sent that mark.
    std::uint64_t mark = 0;
    std::deque<std::pair<std::uint64_t, Micros>> sentMarks;  // with the times of sending
    SnapshotReceiver snapshotReceiver;
    std::optional<proto::SnapshotProgress> snapshotProgress;  // to be reported to the leader

    // ---- candidate ----
    std::set<MemberKey> votesGranted;
    std::uint64_t voteWrite = 0;  // number of the write that contains the vote for itself

    // ---- leader ----
    std::map<MemberKey, Peer> peers;
    Index termStartIndex = 0;  // of the first entry of this leader's term
    std::uint64_t round = 0;   // number of the current heartbeat round
    bool roundRequested = false;
    std::map<std::uint64_t, Micros> roundStartTimes;
    Micros confirmedAt = 0;            // start time of the last round that a quorum confirmed
    std::uint64_t confirmedRound = 0;  // the last round that a quorum confirmed
    Micros heartbeatDue = kNever;
    std::vector<PendingRead> reads;
    Micros leadershipTransferStartedAt = -1;
    bool leadershipTransferSent = false;
    // When membership changes were proposed, by this replica's clock. Followers copy the list from their
    // leader, so the rate limit also holds across a leader change.
    std::deque<Micros> recentChangeTimes;
    bool membershipSettled = false;  // leader: no membership change is in progress or wanted
    std::size_t uncommittedBytes = 0;
    std::weak_ptr<const EncodedSnapshot> encodedSnapshot;  // of `snapshot`, while a transfer uses it
    std::uint64_t chunkSequence = 0;

    State(Settings initialSettings, PersistentState stored, Micros startTime);

    // ---- log ----
    [[nodiscard]] Index lastIndex() const { return baseIndex + log.size(); }
    [[nodiscard]] const Entry& entryAt(Index index) const { return log[index - baseIndex - 1]; }
    [[nodiscard]] Term termAt(Index index) const {
        return index == baseIndex ? baseTerm : entryAt(index).term();
    }
    [[nodiscard]] Term lastTerm() const { return termAt(lastIndex()); }

    // Time without contact after which a voter is assumed lost. Leaves enough of `catchUp` for an election
    // and for committing the two entries of the membership change.
    [[nodiscard]] Micros voterLossTimeout() const {
        return std::clamp(settings.catchUp - 2 * settings.maxElectionTimeout, settings.maxElectionTimeout,
                          2 * settings.maxElectionTimeout);
    }
    void pushEntry(Entry entry);
    void truncate(Index from);
    void commitTo(Index index);

    // ---- members ----
    [[nodiscard]] const Config& config() const { return configs.back(); }
    [[nodiscard]] bool joint() const {
        return !config().outgoing.voters().empty() && config().index > commit &&
               !settings.faults.forgetsOutgoing;
    }
    [[nodiscard]] bool mayStartElection() const {
        if (leaving && config().members.voters_size() > 1) return false;
        return contains(config().members, self) || (joint() && contains(config().outgoing, self));
    }
    // The highest value reached by a majority of the members and, during a joint change, also by a majority
    // of the outgoing members.
    template <typename Value>
    [[nodiscard]] auto quorumValue(Value value) const {
        using Number = decltype(value(self));
        const auto majorityValue = [&](const Members& all) {
            std::array<Number, kMaxVoters> values;
            const auto count = static_cast<std::size_t>(all.voters_size());
            check(count <= values.size(), "the number of voters exceeds the limit");
            if (count == 0) return std::numeric_limits<Number>::lowest();
            std::transform(all.voters().begin(), all.voters().end(), values.begin(), value);
            const auto middle = values.begin() + count / 2;
            std::nth_element(values.begin(), middle, values.begin() + count, std::greater<>());
            return *middle;
        };
        const Number members = majorityValue(config().members);
        return joint() ? std::min(members, majorityValue(config().outgoing)) : members;
    }
    [[nodiscard]] bool isQuorum(const std::set<MemberKey>& granted) const {
        return quorumValue([&](const Member& member) {
                   if (settings.faults.ignoresNumbers) {
                       const auto candidate = granted.lower_bound({member.address(), 0});
                       return candidate != granted.end() && candidate->first == member.address() ? 1 : 0;
                   }
                   return granted.count(memberKey(member)) != 0 ? 1 : 0;
               }) == 1;
    }

    // ---- random numbers and timers ----
    std::uint64_t drawRandom() { return bytes::mixed(random += 0x9e3779b97f4a7c15ULL); }
    Micros randomBetween(Micros least, Micros most) {
        return least + static_cast<Micros>(drawRandom() %
                                           static_cast<std::uint64_t>(std::max<Micros>(1, most - least)));
    }
    void resetElectionTimer();
    [[nodiscard]] Micros joinDue() const;
    [[nodiscard]] bool hasLiveLeader() const;

    // ---- writes and the messages that depend on them ----
    [[nodiscard]] bool hasUnwrittenState() const {
        return hardStateDirty || snapshotDirty || truncateFrom || firstUnwritten <= lastIndex();
    }
    [[nodiscard]] bool hardStateDurable() const {
        return !hardStateDirty && lastDurableWrite >= hardStateWrite;
    }
    [[nodiscard]] std::uint64_t nextDurableWrite() const {
        return hasUnwrittenState() ? lastEmittedWrite + 1 : lastEmittedWrite;
    }

    RaftMessage makeMessage(RaftMessage::Kind kind, const Member& to) const;
    void report(Event event) { ready.events.push_back(std::move(event)); }
    void reportCommittedChanges(Index from, Index through);
    void send(RaftMessage message) { ready.messages.push_back(std::move(message)); }
    void sendWhenDurable(RaftMessage message);

    void emitWrite();

    void enterTerm(Term newTerm);
    void becomeFollower(Term newTerm);

    void startPreVote();
    void startElection(bool byLeadershipTransfer);
    void requestVotes(RaftMessage::Kind kind, Term electionTerm, bool byLeadershipTransfer);
    void becomeLeader();
    void trackVoters(Index nextIndex);
    Peer& trackPeer(const Member& member, Index nextIndex);

    Index append(Entry entry);

    void advanceCommit();

    void updateQuorumContact();
    [[nodiscard]] bool quorumContactLost() const { return now - confirmedAt >= settings.maxElectionTimeout; }
    // Makes a leader that was suspended or delayed step down before it accepts further requests.
    void stepDownIfQuorumLost();

    void onHeartbeatDue();

    // ---- leader: membership ----
    [[nodiscard]] bool recentlyConfirmed(const Peer& peer) const {
        return now - peer.lastContactAt < settings.minElectionTimeout && peer.confirmedAt >= 0 &&
               peer.round > peer.trackedSinceRound;
    }
    [[nodiscard]] bool caughtUp(const Peer& peer) const {
        return recentlyConfirmed(peer) && peer.matchIndex >= commit;
    }

    void reconcileMembership();
    [[nodiscard]] std::optional<MembershipChange> replacementOfLostDisk() const;
    [[nodiscard]] std::optional<MembershipChange> wantedChange() const;
    [[nodiscard]] MembershipCandidate candidateOf(const Member& voter) const;
    [[nodiscard]] bool canCommit(const MembershipChange& change) const;
    [[nodiscard]] bool hasUnresponsiveVoter(const std::vector<MembershipCandidate>& voters) const;
    [[nodiscard]] bool responds(const Member& member) const;
    [[nodiscard]] bool withinChangeLimit() const;
    // The time window of the limit on membership changes: `catchUp` for each voter of a minority.
    [[nodiscard]] Micros membershipChangeWindow() const { return minoritySize() * settings.catchUp; }
    [[nodiscard]] int minoritySize() const { return std::max(1, (config().members.voters_size() - 1) / 2); }
    void setMembershipChangeAges(RaftMessage& message) const;
    void adoptMembershipChangeAges(const RaftMessage& message);
    void reportCaughtUpLearners();
    [[nodiscard]] bool mayRelease(const Peer& leavingPeer) const;
    void forgetReplacedPeers();
    void proposeMembership(const MembershipChange& change);

    void setLeaderFields(RaftMessage& message, Peer& peer);
    void sendAppend(Peer& peer, bool withEntries);
    void replicate();
    void beginLeadershipTransfer();
    void completeReads();

    void receive(const RaftMessage& message);
    [[nodiscard]] bool isLogUpToDate(const RaftMessage& request) const;
    void onPreVoteRequest(const RaftMessage& request);
    void onPreVoteResponse(const RaftMessage& response);
    void onVoteRequest(const RaftMessage& request);
    void onVoteResponse(const RaftMessage& response);
    void onJoinRequest(const RaftMessage& request);

    void onLeaderMessage(const RaftMessage& message);
    void rejectAppend(const RaftMessage& append, Index hint);
    void onAppend(const RaftMessage& append);

    // ---- snapshots ----
    void beginSnapshot(Peer& peer);
    void sendSnapshot(Peer& peer, bool heartbeat);
    void sendChunk(Peer& peer, proto::SnapshotChunk chunk);
    void onSnapshotChunk(const RaftMessage& message);
    void installSnapshot(const proto::Snapshot& received);
    [[nodiscard]] Index firstNeededByFollowers() const;
    void trimLog(Index through);

    void onAppendResponse(const RaftMessage& response);

    void sendJoinRequests();
    void sendJoinRequest(const std::string& address);

    void respondToLeader();
};

}  // namespace marldale::raft
