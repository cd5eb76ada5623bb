// A handover in a file: "MRLS", wall time of the export (Unix microseconds, 8 bytes), XXH64 of that time and
// of the handover's bytes (8), the handover's bytes. The file is replaced atomically: a reader finds either
// the previous snapshot or the new one.
#pragma once

#include <optional>
#include <string>

#include "recovery/codec.h"

namespace marldale::recovery {

// A handover and the wall time of its export.
struct Snapshot {
    Handover handover;
    std::int64_t exportedAtUs = 0;
    bool operator==(const Snapshot&) const = default;
};

[[nodiscard]] std::string encode(const Snapshot& snapshot);
// Returns nothing and sets `error` if the bytes are not a valid snapshot.
[[nodiscard]] std::optional<Snapshot> decodeSnapshot(std::string_view bytes, std::string& error);

// Throws std::runtime_error with the step that failed and its reason.
void writeSnapshot(const std::string& path, const Snapshot& snapshot);
// Returns nothing if the file does not exist or cannot be used; `error` is empty only in the first case.
[[nodiscard]] std::optional<Snapshot> readSnapshot(const std::string& path, std::string& error);

// Age by the wall clock. Nothing if the clock has gone backwards since the export: the age is then unknown.
[[nodiscard]] std::optional<Micros> snapshotAge(const Snapshot& snapshot, std::int64_t wallNowUs);

}  // namespace marldale::recovery
