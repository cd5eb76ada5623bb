// Decides when the log of a state machine is compacted into a snapshot (Ongaro's thesis, section 5.1.3), by
// the bytes and entries logged since the last snapshot relative to the size of the state. No I/O.
//
// The policy bounds the log, and with it the file and the replay time after a restart. It also bounds the
// cost of snapshots: per change, they rewrite at most half of the change's own size or
// `kSnapshotBytesPerEntry`.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>

namespace marldale::raft {

// Tracks the log since the last snapshot and reports when the next one is due.
class CompactionPolicy {
public:
    static constexpr std::size_t kMinLogBytes = std::size_t{4} << 20U;
    static constexpr std::size_t kLogBytesPerStateByte = 2;
    static constexpr std::uint64_t kMinLogEntries = 64;
    static constexpr std::size_t kSnapshotBytesPerEntry = std::size_t{32} << 10U;

    // Records an applied entry. Returns true if the log is to be compacted through it; the caller then takes
    // a snapshot and calls `compacted`.
    [[nodiscard]] bool applied(std::size_t entryBytes) {
        ++entries_;
        logBytes_ += entryBytes;
        return logBytes_ >= std::max(kMinLogBytes, kLogBytesPerStateByte * stateBytes_) ||
               (entries_ >= kMinLogEntries && entries_ * kSnapshotBytesPerEntry >= stateBytes_);
    }
    // Records that a snapshot of `stateBytes` was taken or installed.
    void compacted(std::size_t stateBytes) {
        stateBytes_ = stateBytes;
        entries_ = 0;
        logBytes_ = 0;
    }

private:
    std::size_t stateBytes_ = 0;  // of the last snapshot
    std::uint64_t entries_ = 0;   // applied since the last snapshot
    std::size_t logBytes_ = 0;    // applied since the last snapshot
};

}  // namespace marldale::raft
