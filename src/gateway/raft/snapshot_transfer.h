// Transfer of a snapshot from a leader to one follower in chunks (InstallSnapshot with `offset`, Raft paper,
// section 7; Ongaro's thesis, section 5). No I/O and no clock: chunks and responses are values.
//
// The sender keeps a small window of chunks in flight and the receiver accepts them in order. Each chunk has
// its own checksum, and the identity of the snapshot contains a checksum of the whole. Every response reports
// how many bytes were received without a gap and up to which sequence number, so the sender detects a lost
// chunk from the next response and resumes there. This covers lost chunks, broken connections, a restart of
// the receiver (the transfer starts over) and a change of leader (the transfer resumes if the new leader has
// the same snapshot).
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>

#include "marldale/gateway/internal.pb.h"

namespace marldale::raft {

namespace proto = gateway::proto;

// Limits of a snapshot transfer.
struct SnapshotTransferSettings {
    // A heartbeat is queued behind at most one window of chunks on its connection.
    std::size_t chunkBytes = std::size_t{64} << 10U;
    std::size_t windowChunks = 4;
    // The receiver rejects larger snapshots; this bounds its memory.
    std::size_t maxSnapshotBytes = std::size_t{64} << 20U;
};

// Faults that tests inject to show that they are detected. All off in production.
struct SnapshotTransferFaults {
    bool acceptsForeignChunks = false;  // the receiver ignores the snapshot identity
    bool ignoresChecksums = false;
    bool ignoresOffsets = false;  // a chunk is appended regardless of its offset
    bool ignoresLosses = false;   // the sender never resends
};

// An encoded snapshot, shared by all its transfers.
struct EncodedSnapshot {
    proto::SnapshotIdentity identity;
    std::string bytes;
};
[[nodiscard]] std::shared_ptr<const EncodedSnapshot> encodeSnapshot(const proto::Snapshot& snapshot);

// The leader's side of one transfer to one follower.
class SnapshotSender {
public:
    explicit SnapshotSender(SnapshotTransferSettings settings = {}, SnapshotTransferFaults faults = {});

    // Begins a transfer and abandons one in progress.
    void begin(std::shared_ptr<const EncodedSnapshot> snapshot);
    void end();
    [[nodiscard]] bool active() const { return snapshot_ != nullptr; }
    // Log position of the snapshot in transfer.
    [[nodiscard]] std::uint64_t index() const { return snapshot_->identity.index(); }
    [[nodiscard]] std::uint64_t term() const { return snapshot_->identity.term(); }

    // The next chunk, or nothing while the window is full, everything has been sent, or a resend waits for
    // `heartbeat`.
    [[nodiscard]] std::optional<proto::SnapshotChunk> nextChunk(std::uint64_t sequence);
    // A chunk without data that asks how much was received.
    [[nodiscard]] proto::SnapshotChunk probe(std::uint64_t sequence) const;
    // Permits the resend of lost chunks. This bounds resends to one window per heartbeat.
    void heartbeat() { awaitingHeartbeat_ = false; }
    // Handles a response of the receiver.
    void acknowledged(const proto::SnapshotProgress& progress);

private:
    struct InFlight {
        std::uint64_t sequence = 0;
        std::uint64_t end = 0;  // offset after its last byte
    };
    [[nodiscard]] proto::SnapshotChunk chunk(std::uint64_t sequence) const;

    SnapshotTransferSettings settings_;
    SnapshotTransferFaults faults_;
    std::shared_ptr<const EncodedSnapshot> snapshot_;
    std::uint64_t nextOffset_ = 0;            // offset of the next chunk
    std::uint64_t acknowledgedBytes_ = 0;     // as last reported by the receiver
    std::uint64_t acknowledgedSequence_ = 0;  // the highest sequence number reported by the receiver
    std::deque<InFlight> inFlight_;
    bool awaitingHeartbeat_ = false;
};

// The follower's side. A partial snapshot is kept in memory only, so a restart starts the transfer over.
class SnapshotReceiver {
public:
    explicit SnapshotReceiver(SnapshotTransferSettings settings = {}, SnapshotTransferFaults faults = {});

    // Result of an accepted chunk.
    struct Accepted {
        proto::SnapshotProgress progress;         // the response to send
        std::optional<proto::Snapshot> snapshot;  // set once complete and its checksum verified
    };
    // Handles a chunk from the leader of `leaderTerm`, which the caller has verified to be the current term.
    // Returns nothing if the chunk belongs to a transfer that its leader has since abandoned.
    [[nodiscard]] std::optional<Accepted> accept(std::uint64_t leaderTerm, const proto::SnapshotChunk& chunk);
    // Drops the transfer of a snapshot up to `index`, which the log has reached in the meantime.
    void discardThrough(std::uint64_t index);
    [[nodiscard]] std::size_t bufferedBytes() const { return buffer_.size(); }

private:
    [[nodiscard]] bool isAcceptable(const proto::SnapshotChunk& chunk) const;
    [[nodiscard]] std::optional<proto::Snapshot> assemble();
    void reset(const proto::SnapshotIdentity& identity);

    SnapshotTransferSettings settings_;
    SnapshotTransferFaults faults_;
    std::uint64_t leaderTerm_ = 0;
    std::uint64_t sequence_ = 0;  // the highest received from the leader of this term
    proto::SnapshotIdentity identity_;
    std::string buffer_;
};

}  // namespace marldale::raft
