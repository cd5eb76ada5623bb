// Inside of `Replica`: its whole state, and the functions that its parts (election, log, replication,
// membership, reads, snapshots) offer each other. Not for other packages.
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
using Key = std::pair<std::string, std::uint64_t>;

inline constexpr Micros kNever = std::numeric_limits<Micros>::max();
inline constexpr Micros kJoinInterval = 300000;
inline constexpr Micros kIsolatedAfter =
    3000000;  // then a voter asks to join too: it may have been taken out unheard
inline constexpr Micros kStartupSpan = 2000000;  // after a start votes are asked for more often
inline constexpr Micros kMarkLifetime = 5000000;
inline constexpr Micros kCatchUpTimeout = 10000000;  // of silence: then nothing is kept for a follower
inline constexpr std::size_t kJoinFanout = 3;
inline constexpr std::size_t kMaxLearners = 64;
inline constexpr std::size_t kMaxVoters = 64;
inline constexpr std::size_t kMaxInFlightBytes = 1U << 20U;
inline constexpr std::size_t kMaxUncommittedEntries = 4096;  // entries; beyond, proposals are refused
inline constexpr std::size_t kMaxUncommittedBytes = 8U << 20U;
// Kept in memory before a snapshot, for followers that are slow.
inline constexpr Index kKeptBehind = 64;  // entries
inline constexpr std::size_t kKeptBytes = 1U << 20U;

// Ends the process (or throws, in tests) where an invariant is broken.
void check(bool holds, const char* sentence);

inline Key keyOf(const Member& m) { return {m.address(), m.number()}; }
inline bool sameMember(const Member& a, const Member& b) {
    return a.number() == b.number() && a.address() == b.address();
}
inline bool contains(const Members& all, const Member& m) {
    return std::any_of(all.voters().begin(), all.voters().end(),
                       [&](const Member& v) { return sameMember(v, m); });
}
inline const Member* voterAtAddress(const Members& all, const std::string& address) {
    const auto at = std::find_if(all.voters().begin(), all.voters().end(),
                                 [&](const Member& v) { return v.address() == address; });
    return at == all.voters().end() ? nullptr : &*at;
}

enum class Role { follower, preCandidate, candidate, leader };
enum class Progress { probe, replicate, snapshot };

// What holds from one index on.
struct Config {
    Index index = 0;
    Members members;
    Members outgoing;
};

// Another machine, as its leader sees it.
struct Peer {
    Member member;
    Progress progress = Progress::probe;
    bool probeSent = false;  // one probe at a time
    Index next = 1, match = 0;
    Index sentCommit = 0;
    Micros lastContactAt = 0;
    Micros confirmedAt = -1;  // when the last round that it answered was begun
    std::uint64_t round = 0;
    std::uint64_t trackedSinceRound = 0;  // the round at which it became known
    std::uint64_t mark = 0;
    Micros markAt = 0;
    bool leaving = false;           // as it last said
    bool caughtUpReported = false;  // as an event
    std::deque<std::pair<Index, std::size_t>> inFlight;
    std::size_t inFlightBytes = 0;
    SnapshotSender snapshotSender;  // active in `Progress::snapshot`

    void acknowledge(Index through) {
        while (!inFlight.empty() && inFlight.front().first <= through) {
            inFlightBytes -= inFlight.front().second;
            inFlight.pop_front();
        }
    }
    void probe(Index from) {
        progress = Progress::probe;
        probeSent = false;
        next = from;
        inFlight.clear();
        inFlightBytes = 0;
        snapshotSender.end();
    }
};

struct Read {
    std::uint64_t ticket = 0;
    std::uint64_t round = 0;
    Micros asked = 0;
};

// NOLINTNEXTLINE(clang-analyzer-optin.performance.Padding): fields stand by concern, and there is one of it
struct Replica::State {
    Settings settings;
    Member self;
    Micros now;
    std::uint64_t random;

    // ---- as it is written, or will be ----
    Term term = 0;
    std::optional<Member> votedFor;
    proto::Snapshot snapshot;
    std::deque<Entry> log;  // from `base` + 1 on; reaches back before the snapshot
    Index base = 0;
    Term baseTerm = 0;
    std::vector<Config> configs;  // by index; the last one is in effect

    // ---- the disk ----
    std::uint64_t emitted = 0, done = 0;  // writes
    bool hardDirty = false, snapshotDirty = false;
    std::optional<Index> cut;
    Index unwritten = 1;     // the first entry that no write holds yet
    Index inFlightLast = 0;  // the last entry of the write under way that still stands
    Index durable = 0;
    std::uint64_t hardNumber = 0;  // of the write that holds term and vote
    std::vector<std::pair<std::uint64_t, RaftMessage>> held;

    // ---- any role ----
    Role role = Role::follower;
    Index commit = 0, applied = 0;
    std::optional<Member> leader;
    std::optional<Member> lastLeader;  // the last one heard, at `leaderContactAt`
    Micros leaderContactAt;
    Micros electionDue = kNever;
    Micros startedAt = 0;
    Micros quorumContactAt = -1;
    Micros lastJoinAt;
    std::vector<std::string> contactList;
    std::size_t contactTurn = 0;
    Term ledTerm = 0;
    Ready out;
    bool leaving = false, released = false;

    // ---- follower ----
    Index matched = 0;  // as the leader of this term has it
    std::uint64_t receivedRound = 0, answeredRound = 0;
    Index answeredMatch = 0, acceptedPrev = 0;
    bool responseDue = false, rejectedLast = false;
    std::optional<RaftMessage> rejection;
    std::uint64_t mark = 0;
    std::deque<std::pair<std::uint64_t, Micros>> marks;
    SnapshotReceiver snapshotReceiver;
    std::optional<proto::SnapshotProgress> snapshotProgress;  // to be told to the leader

    // ---- candidate ----
    std::set<Key> votesGranted;
    std::uint64_t voteWrite = 0;

    // ---- leader ----
    std::map<Key, Peer> peers;
    Index startIndex = 0;
    std::uint64_t round = 0;
    bool roundWanted = false;
    std::map<std::uint64_t, Micros> roundsBegun;
    Micros confirmedAt = 0;
    std::uint64_t confirmedRound = 0;
    Micros heartbeatDue = kNever;
    std::vector<Read> reads;
    Micros transferStartedAt = -1;
    bool transferSent = false;
    // When changes of membership were proposed, by this replica's clock; followers have them from their
    // leader, so that a new leader goes on with the same limit.
    std::deque<Micros> recentChanges;
    bool membershipSettled = false;  // leader: no change is under way or wished
    std::size_t uncommittedBytes = 0;
    std::weak_ptr<const EncodedSnapshot> encodedSnapshot;  // of `snapshot`, while any transfer uses it
    std::uint64_t chunkSequence = 0;

    State(Settings s, PersistentState stored, Micros at);

    // ---- log ----
    [[nodiscard]] Index lastIndex() const { return base + log.size(); }
    [[nodiscard]] const Entry& entryAt(Index index) const { return log[index - base - 1]; }
    [[nodiscard]] Term termAt(Index index) const { return index == base ? baseTerm : entryAt(index).term(); }
    [[nodiscard]] Term lastTerm() const { return termAt(lastIndex()); }

    // Loss of contact after which a voter is taken for lost. What remains of `catchUp` covers an election and
    // the two entries of the change.
    [[nodiscard]] Micros silenceLimit() const {
        return std::clamp(settings.catchUp - 2 * settings.electionMost, settings.electionMost,
                          2 * settings.electionMost);
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
    // The highest value that a majority of the members has reached, and one of those going out while they
    // count.
    template <typename Value>
    [[nodiscard]] auto quorumValue(Value value) const {
        using Number = decltype(value(self));
        const auto one = [&](const Members& all) {
            std::array<Number, kMaxVoters> values;
            const auto count = static_cast<std::size_t>(all.voters_size());
            check(count <= values.size(), "there are more voters than there may ever be");
            if (count == 0) return std::numeric_limits<Number>::lowest();
            std::transform(all.voters().begin(), all.voters().end(), values.begin(), value);
            const auto middle = values.begin() + count / 2;
            std::nth_element(values.begin(), middle, values.begin() + count, std::greater<>());
            return *middle;
        };
        const Number members = one(config().members);
        return joint() ? std::min(members, one(config().outgoing)) : members;
    }
    [[nodiscard]] bool isQuorum(const std::set<Key>& who) const {
        return quorumValue([&](const Member& m) {
                   if (settings.faults.ignoresNumbers) {
                       const auto near = who.lower_bound({m.address(), 0});
                       return near != who.end() && near->first == m.address() ? 1 : 0;
                   }
                   return who.count(keyOf(m)) != 0 ? 1 : 0;
               }) == 1;
    }

    // ---- random, timers ----
    std::uint64_t drawRandom() { return bytes::mixed(random += 0x9e3779b97f4a7c15ULL); }
    Micros randomBetween(Micros least, Micros most) {
        return least + static_cast<Micros>(drawRandom() %
                                           static_cast<std::uint64_t>(std::max<Micros>(1, most - least)));
    }
    void resetElectionTimer();
    [[nodiscard]] Micros joinDue() const;
    [[nodiscard]] bool hasLiveLeader() const;

    // ---- writes, and what waits for them ----
    [[nodiscard]] bool dirty() const { return hardDirty || snapshotDirty || cut || unwritten <= lastIndex(); }
    [[nodiscard]] bool hardDurable() const { return !hardDirty && done >= hardNumber; }
    [[nodiscard]] std::uint64_t nextDurableWrite() const { return dirty() ? emitted + 1 : emitted; }

    RaftMessage message(RaftMessage::Kind kind, const Member& to) const;
    void report(Event event) { out.events.push_back(std::move(event)); }
    void reportCommittedChanges(Index from, Index through);
    void send(RaftMessage m) { out.messages.push_back(std::move(m)); }
    void sendWhenDurable(RaftMessage m);

    void emitWrite();

    void enterTerm(Term newTerm);
    void becomeFollower(Term newTerm);

    void startPreVote();
    void startElection(bool handedOver);
    void requestVotes(RaftMessage::Kind kind, Term inTerm, bool handedOver);
    void becomeLeader();
    void trackVoters(Index next);
    Peer& trackPeer(const Member& m, Index next);

    Index append(Entry entry);

    void advanceCommit();

    void updateQuorumContact();
    [[nodiscard]] bool quorumContactLost() const { return now - confirmedAt >= settings.electionMost; }
    // A leader that was frozen, or whose loop is late, steps down before it takes anything more.
    void stepDownIfQuorumLost();

    void onHeartbeatDue();

    // ---- leader: members ----
    [[nodiscard]] bool recentlyConfirmed(const Peer& p) const {
        return now - p.lastContactAt < settings.electionLeast && p.confirmedAt >= 0 &&
               p.round > p.trackedSinceRound;
    }
    [[nodiscard]] bool caughtUp(const Peer& p) const { return recentlyConfirmed(p) && p.match >= commit; }

    void reconcileMembership();
    [[nodiscard]] std::optional<MembershipChange> replacementOfLostDisk() const;
    [[nodiscard]] std::optional<MembershipChange> wantedChange() const;
    [[nodiscard]] MembershipCandidate candidateOf(const Member& voter) const;
    [[nodiscard]] bool reachable(const MembershipChange& change) const;
    [[nodiscard]] bool inDoubt(const std::vector<MembershipCandidate>& voters) const;
    [[nodiscard]] bool answers(const Member& member) const;
    [[nodiscard]] bool withinChangeLimit() const;
    // The span in which changes of membership are limited: a minority lost one after another.
    [[nodiscard]] Micros changeLimitSpan() const { return minorityOfVoters() * settings.catchUp; }
    [[nodiscard]] int minorityOfVoters() const {
        return std::max(1, (config().members.voters_size() - 1) / 2);
    }
    void stampMembershipChanges(RaftMessage& m) const;
    void learnMembershipChanges(const RaftMessage& m);
    void reportCaughtUpLearners();
    [[nodiscard]] bool mayRelease(const Peer& leavingPeer) const;
    void forgetReplacedPeers();
    void proposeMembership(const MembershipChange& change);

    void stampLeaderState(RaftMessage& m, Peer& p);
    void sendAppend(Peer& p, bool entries);
    void replicate();
    void beginTransfer();
    void endReads();

    void receive(const RaftMessage& m);
    [[nodiscard]] bool upToDate(const RaftMessage& m) const;
    void onPreVoteRequest(const RaftMessage& m);
    void onPreVoteResponse(const RaftMessage& m);
    void onVoteRequest(const RaftMessage& m);
    void onVoteResponse(const RaftMessage& m);
    void onJoinRequest(const RaftMessage& m);

    void onLeaderMessage(const RaftMessage& m);
    void rejectAppend(const RaftMessage& m, Index hint);
    void onAppend(const RaftMessage& m);

    // ---- snapshots ----
    void beginSnapshot(Peer& p);
    void sendSnapshot(Peer& p, bool heartbeat);
    void sendChunk(Peer& p, proto::SnapshotChunk chunk);
    void onSnapshotChunk(const RaftMessage& m);
    void installSnapshot(const proto::Snapshot& s);
    [[nodiscard]] Index firstNeededByFollowers() const;
    void trimLog(Index through);

    void onAppendResponse(const RaftMessage& m);

    void sendJoinRequests();
    void sendJoinRequest(const std::string& address);

    void respondToLeader();
};

}  // namespace marldale::raft
