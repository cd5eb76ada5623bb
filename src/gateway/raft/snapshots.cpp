// Snapshots: sending them to followers, installing those from a leader, and compacting the log (Raft paper,
// section 7).
#include "gateway/raft/replica_state.h"

namespace marldale::raft {

// ---- leader ----

void Replica::State::beginSnapshot(Peer& peer) {
    auto encoded = encodedSnapshot.lock();
    if (encoded == nullptr || encoded->identity.index() != snapshot.index()) {
        encoded = encodeSnapshot(snapshot);
        encodedSnapshot = encoded;
    }
    peer.startProbing(peer.nextIndex);
    peer.progress = Progress::snapshot;
    peer.snapshotSender = SnapshotSender(settings.snapshotTransfer, settings.faults.transfer);
    peer.snapshotSender.begin(std::move(encoded));
}

// A transfer in progress is completed even if a newer snapshot exists, because the log continues from it. It
// is replaced by the newest snapshot only when the log no longer reaches back to it.
void Replica::State::sendSnapshot(Peer& peer, bool heartbeat) {
    if (now - peer.lastContactAt > kFollowerRetentionTimeout) {
        peer.startProbing(peer.matchIndex + 1);
        if (heartbeat) sendAppend(peer, false);
        return;
    }
    if (peer.snapshotSender.index() < baseIndex) beginSnapshot(peer);
    if (heartbeat) peer.snapshotSender.heartbeat();
    bool sent = false;
    while (auto chunk = peer.snapshotSender.nextChunk(chunkSequence + 1)) {
        ++chunkSequence;
        sendChunk(peer, std::move(*chunk));
        sent = true;
    }
    if (heartbeat && !sent) sendChunk(peer, peer.snapshotSender.probe(++chunkSequence));
}

void Replica::State::sendChunk(Peer& peer, proto::SnapshotChunk chunk) {
    auto install = makeMessage(RaftMessage::INSTALL, peer.member);
    *install.mutable_chunk() = std::move(chunk);
    setLeaderFields(install, peer);
    send(std::move(install));
}

// The first entry that some reachable follower still needs.
Index Replica::State::firstNeededByFollowers() const {
    Index first = std::numeric_limits<Index>::max();
    if (role != Role::leader || settings.faults.trimsUnderFollowers) return first;
    for (const auto& [key, peer] : peers) {
        if (now - peer.lastContactAt > kFollowerRetentionTimeout) continue;
        switch (peer.progress) {
            case Progress::snapshot: first = std::min(first, peer.snapshotSender.index() + 1); break;
            case Progress::replicate: first = std::min(first, peer.matchIndex + 1); break;
            case Progress::probe: first = std::min(first, peer.nextIndex); break;
        }
    }
    return first;
}

// Drops entries covered by a snapshot through index `through`, except some that followers may need.
void Replica::State::trimLog(Index through) {
    const Index needed = firstNeededByFollowers();
    const std::size_t maxNeededBytes = settings.catchUpBytes + snapshot.data().size();
    std::size_t kept = 0;
    for (Index index = baseIndex + 1; index <= through; ++index) kept += entryAt(index).data().size();
    while (baseIndex < through) {
        const bool isRecent = baseIndex + kRetainedEntries >= through && kept <= kRetainedBytes;
        const bool isNeeded = baseIndex + 1 >= needed && kept <= maxNeededBytes;
        if (isRecent || isNeeded) return;
        kept -= log.front().data().size();
        ++baseIndex;
        baseTerm = log.front().term();
        log.pop_front();
    }
}

// ---- follower ----

void Replica::State::onSnapshotChunk(const RaftMessage& message) {
    const auto& identity = message.chunk().identity();
    const Index index = identity.index();
    const bool inLog = index <= lastIndex() && index >= baseIndex && termAt(index) == identity.term();
    pendingRejection.reset();
    lastAppendRejected = false;
    responseDue = true;
    if ((index <= commit || inLog) && !settings.faults.installsOlderSnapshots) {
        acceptedPrevIndex = index;
        followerMatchIndex = std::max(followerMatchIndex, index);
        if (index > commit) commitTo(index);
        return;
    }
    auto accepted = snapshotReceiver.accept(message.term(), message.chunk());
    if (!accepted) return;
    snapshotProgress = std::move(accepted->progress);
    if (accepted->snapshot) installSnapshot(*accepted->snapshot);
}

void Replica::State::installSnapshot(const proto::Snapshot& received) {
    check(received.index() > commit || settings.faults.installsOlderSnapshots,
          "a snapshot would replace a newer state");
    acceptedPrevIndex = received.index();
    followerMatchIndex = std::max(followerMatchIndex, received.index());
    durableIndex = std::min(durableIndex, commit);
    inFlightLastIndex = std::min(inFlightLastIndex, commit);
    truncateFrom = std::min(truncateFrom.value_or(received.index() + 1), received.index() + 1);
    log.clear();
    snapshot = received;
    snapshotDirty = true;
    baseIndex = received.index();
    baseTerm = received.term();
    firstUnwritten = baseIndex + (settings.faults.losesEntryAfterSnapshot ? 2 : 1);
    configs = {{baseIndex, received.members(), {}}};
    commit = applied = baseIndex;
    ready.committed.clear();
    ready.install = received;
    report({EventKind::snapshotInstalled, term, received.index(), {}, {}, {}, {}});
}

// ---- any role ----

void Replica::compact(Micros now, Index through, std::string state) {
    auto& replica = *state_;
    replica.now = std::max(replica.now, now);
    check(through <= replica.applied, "a snapshot would cover entries that are not applied yet");
    if (through <= replica.snapshot.index()) return;
    auto config = std::find_if(replica.configs.rbegin(), replica.configs.rend(),
                               [&](const Config& candidate) { return candidate.index <= through; });
    check(config != replica.configs.rend(), "the members at the index of a snapshot are unknown");
    replica.snapshot.set_term(replica.termAt(through));
    replica.snapshot.set_index(through);
    *replica.snapshot.mutable_members() = config->members;
    replica.snapshot.set_data(std::move(state));
    replica.snapshotDirty = true;
    replica.configs.erase(replica.configs.begin(), std::prev(config.base()));
    replica.trimLog(through);
}

}  // namespace marldale::raft
