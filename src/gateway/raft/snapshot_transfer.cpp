// Implementation of the chunked snapshot transfer.
#include "gateway/raft/snapshot_transfer.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace marldale::raft {

namespace {

std::uint64_t checksumOf(const std::string& bytes, std::uint64_t seed = 0) {
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

bool isSameSnapshot(const proto::SnapshotIdentity& a, const proto::SnapshotIdentity& b) {
    return a.index() == b.index() && a.term() == b.term() && a.total() == b.total() &&
           a.checksum() == b.checksum();
}

}  // namespace

std::shared_ptr<const EncodedSnapshot> encodeSnapshot(const proto::Snapshot& snapshot) {
    auto encoded = std::make_shared<EncodedSnapshot>();
    encoded->bytes = snapshot.SerializeAsString();
    encoded->identity.set_index(snapshot.index());
    encoded->identity.set_term(snapshot.term());
    encoded->identity.set_total(encoded->bytes.size());
    encoded->identity.set_checksum(checksumOf(encoded->bytes));
    return encoded;
}

// ---- sender ----

SnapshotSender::SnapshotSender(SnapshotTransferSettings settings, SnapshotTransferFaults faults)
    : settings_(settings), faults_(faults) {}

void SnapshotSender::begin(std::shared_ptr<const EncodedSnapshot> snapshot) {
    snapshot_ = std::move(snapshot);
    nextOffset_ = acknowledgedBytes_ = acknowledgedSequence_ = 0;
    inFlight_.clear();
    awaitingHeartbeat_ = false;
}

void SnapshotSender::end() {
    snapshot_.reset();
    inFlight_.clear();
}

proto::SnapshotChunk SnapshotSender::chunk(std::uint64_t sequence) const {
    proto::SnapshotChunk chunk;
    *chunk.mutable_identity() = snapshot_->identity;
    chunk.set_sequence(sequence);
    chunk.set_offset(nextOffset_);
    return chunk;
}

proto::SnapshotChunk SnapshotSender::probe(std::uint64_t sequence) const { return chunk(sequence); }

std::optional<proto::SnapshotChunk> SnapshotSender::nextChunk(std::uint64_t sequence) {
    if (!active() || awaitingHeartbeat_ || nextOffset_ >= snapshot_->bytes.size()) return std::nullopt;
    // Sends one chunk until the first response: the receiver may have most of the snapshot from an earlier
    // leader.
    const std::size_t window = acknowledgedSequence_ == 0 ? 1 : settings_.windowChunks;
    if (inFlight_.size() >= window) return std::nullopt;
    proto::SnapshotChunk out = chunk(sequence);
    out.set_data(snapshot_->bytes.substr(nextOffset_, settings_.chunkBytes));
    out.set_data_checksum(checksumOf(out.data(), nextOffset_));
    nextOffset_ += out.data().size();
    inFlight_.push_back({sequence, nextOffset_});
    return out;
}

void SnapshotSender::acknowledged(const proto::SnapshotProgress& progress) {
    if (!active() || !isSameSnapshot(progress.identity(), snapshot_->identity)) return;
    if (progress.received() > snapshot_->bytes.size()) return;
    const bool newer =
        progress.sequence() > acknowledgedSequence_ ||
        (progress.sequence() == acknowledgedSequence_ && progress.received() > acknowledgedBytes_);
    if (!newer) return;  // outdated by a later response
    acknowledgedSequence_ = progress.sequence();
    acknowledgedBytes_ = progress.received();
    if (acknowledgedBytes_ > nextOffset_) {  // received from an earlier leader
        nextOffset_ = acknowledgedBytes_;
        inFlight_.clear();
        return;
    }
    while (!inFlight_.empty() && inFlight_.front().end <= acknowledgedBytes_) inFlight_.pop_front();
    // A chunk was lost if the receiver lacks bytes although none are in flight, or if it has reported a
    // sequence number at or beyond the first chunk in flight.
    const bool missing = inFlight_.empty() ? acknowledgedBytes_ < nextOffset_
                                           : inFlight_.front().sequence <= acknowledgedSequence_;
    if (!missing || faults_.ignoresLosses) return;
    nextOffset_ = acknowledgedBytes_;
    inFlight_.clear();
    awaitingHeartbeat_ = true;
}

// ---- receiver ----

SnapshotReceiver::SnapshotReceiver(SnapshotTransferSettings settings, SnapshotTransferFaults faults)
    : settings_(settings), faults_(faults) {}

void SnapshotReceiver::reset(const proto::SnapshotIdentity& identity) {
    identity_ = identity;
    buffer_.clear();
    buffer_.shrink_to_fit();
}

bool SnapshotReceiver::isAcceptable(const proto::SnapshotChunk& chunk) const {
    if (chunk.data().empty()) return false;  // a probe
    if (identity_.total() > settings_.maxSnapshotBytes) return false;
    if (chunk.offset() != buffer_.size() && !faults_.ignoresOffsets) return false;
    if (chunk.data().size() > identity_.total() - buffer_.size()) return false;
    return faults_.ignoresChecksums || chunk.data_checksum() == checksumOf(chunk.data(), chunk.offset());
}

std::optional<proto::Snapshot> SnapshotReceiver::assemble() {
    proto::Snapshot snapshot;
    const bool isValid = (faults_.ignoresChecksums || checksumOf(buffer_) == identity_.checksum()) &&
                         snapshot.ParseFromString(buffer_) && snapshot.index() == identity_.index() &&
                         snapshot.term() == identity_.term();
    buffer_.clear();
    buffer_.shrink_to_fit();
    if (!isValid) return std::nullopt;
    return snapshot;
}

std::optional<SnapshotReceiver::Accepted> SnapshotReceiver::accept(std::uint64_t leaderTerm,
                                                                   const proto::SnapshotChunk& chunk) {
    if (leaderTerm != leaderTerm_) {
        leaderTerm_ = leaderTerm;
        sequence_ = 0;
    }
    if (!isSameSnapshot(chunk.identity(), identity_) && !(faults_.acceptsForeignChunks && !buffer_.empty())) {
        if (chunk.sequence() < sequence_) return std::nullopt;
        reset(chunk.identity());
    }
    sequence_ = std::max(sequence_, chunk.sequence());
    Accepted out;
    *out.progress.mutable_identity() = identity_;
    out.progress.set_sequence(sequence_);
    if (isAcceptable(chunk)) {
        buffer_.reserve(identity_.total());
        buffer_ += chunk.data();
    }
    out.progress.set_received(buffer_.size());
    if (!buffer_.empty() && buffer_.size() == identity_.total()) {
        out.snapshot = assemble();
        if (!out.snapshot) out.progress.set_received(0);
    }
    return out;
}

void SnapshotReceiver::discardThrough(std::uint64_t index) {
    if (identity_.index() <= index && !buffer_.empty()) reset({});
}

}  // namespace marldale::raft
