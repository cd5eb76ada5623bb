// The in-memory log, the writes that persist it, and messages that wait for those writes.
#include "gateway/raft/replica_state.h"

namespace marldale::raft {

void Replica::State::pushEntry(Entry entry) {
    if (entry.has_members()) configs.push_back({entry.index(), entry.members(), entry.outgoing()});
    log.push_back(std::move(entry));
}

void Replica::State::truncate(Index from) {
    check(from > commit, "committed entries would be truncated");
    if (from < firstUnwritten) truncateFrom = std::min(truncateFrom.value_or(from), from);
    firstUnwritten = std::min(firstUnwritten, from);
    durableIndex = std::min(durableIndex, from - 1);
    inFlightLastIndex = std::min(inFlightLastIndex, from - 1);
    while (lastIndex() >= from) log.pop_back();
    while (configs.back().index >= from) configs.pop_back();
}

void Replica::State::commitTo(Index index) {
    check(index >= commit, "the commit index would decrease");
    check(index <= lastIndex(), "the commit index would exceed the last log index");
    reportCommittedChanges(commit + 1, index);
    commit = index;
}

RaftMessage Replica::State::makeMessage(RaftMessage::Kind kind, const Member& to) const {
    RaftMessage created;
    created.set_kind(kind);
    *created.mutable_from() = self;
    *created.mutable_to() = to;
    created.set_term(term);
    return created;
}

void Replica::State::sendWhenDurable(RaftMessage message) {
    if (nextDurableWrite() <= lastDurableWrite) return send(std::move(message));
    deferredMessages.emplace_back(nextDurableWrite(), std::move(message));
}

void Replica::State::emitWrite() {
    if (lastEmittedWrite != lastDurableWrite || !hasUnwrittenState()) return;
    Write write;
    write.number = ++lastEmittedWrite;
    write.hasHardState = hardStateDirty;
    write.term = term;
    write.votedFor = votedFor;
    write.truncateFrom = truncateFrom;
    if (hardStateDirty) hardStateWrite = lastEmittedWrite;
    if (snapshotDirty) {
        write.snapshot = snapshot;
        firstUnwritten = std::max(firstUnwritten, snapshot.index() + 1);
    }
    for (; firstUnwritten <= lastIndex(); ++firstUnwritten) write.entries.push_back(entryAt(firstUnwritten));
    inFlightLastIndex = lastIndex();
    hardStateDirty = snapshotDirty = false;
    truncateFrom.reset();
    ready.writes.push_back(std::move(write));
}

Index Replica::State::append(Entry entry) {
    entry.set_term(term);
    entry.set_index(lastIndex() + 1);
    const bool hasMembers = entry.has_members();
    uncommittedBytes += entry.data().size();
    pushEntry(std::move(entry));
    if (hasMembers) trackVoters(lastIndex());
    return lastIndex();
}

}  // namespace marldale::raft
