// The log in memory, and what of it goes to the disk in which write.
#include "gateway/raft/replica_state.h"

namespace marldale::raft {

void Replica::State::pushEntry(Entry entry) {
    if (entry.has_members()) configs.push_back({entry.index(), entry.members(), entry.outgoing()});
    log.push_back(std::move(entry));
}

void Replica::State::truncate(Index from) {
    check(from > commit, "entries that are committed would be cut off");
    if (from < unwritten) cut = std::min(cut.value_or(from), from);
    unwritten = std::min(unwritten, from);
    durable = std::min(durable, from - 1);
    inFlightLast = std::min(inFlightLast, from - 1);
    while (lastIndex() >= from) log.pop_back();
    while (configs.back().index >= from) configs.pop_back();
}

void Replica::State::commitTo(Index index) {
    check(index >= commit, "the commit index would go back");
    check(index <= lastIndex(), "the commit index would be beyond the log");
    reportCommittedChanges(commit + 1, index);
    commit = index;
}

RaftMessage Replica::State::message(RaftMessage::Kind kind, const Member& to) const {
    RaftMessage m;
    m.set_kind(kind);
    *m.mutable_from() = self;
    *m.mutable_to() = to;
    m.set_term(term);
    return m;
}

void Replica::State::sendWhenDurable(RaftMessage m) {
    if (nextDurableWrite() <= done) return send(std::move(m));
    held.emplace_back(nextDurableWrite(), std::move(m));
}

void Replica::State::emitWrite() {
    if (emitted != done || !dirty()) return;
    Write w;
    w.number = ++emitted;
    w.hasHardState = hardDirty;
    w.term = term;
    w.votedFor = votedFor;
    w.truncateFrom = cut;
    if (hardDirty) hardNumber = emitted;
    if (snapshotDirty) {
        w.snapshot = snapshot;
        unwritten = std::max(unwritten, snapshot.index() + 1);
    }
    for (; unwritten <= lastIndex(); ++unwritten) w.entries.push_back(entryAt(unwritten));
    inFlightLast = lastIndex();
    hardDirty = snapshotDirty = false;
    cut.reset();
    out.writes.push_back(std::move(w));
}

Index Replica::State::append(Entry entry) {
    entry.set_term(term);
    entry.set_index(lastIndex() + 1);
    const bool changes = entry.has_members();
    uncommittedBytes += entry.data().size();
    pushEntry(std::move(entry));
    if (changes) trackVoters(lastIndex());
    return lastIndex();
}

// Leader: what a majority has on disk is committed, where it ends in an entry of this term.

}  // namespace marldale::raft
