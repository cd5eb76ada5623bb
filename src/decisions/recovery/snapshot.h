// A handover on disk: "MRLS", the wall time of its writing (Unix microseconds, 8 bytes), XXH64 of that time
// and what follows (8), the handover's bytes. Replaced as a whole: under its name a file is whole or the one
// before.
#pragma once

#include <optional>
#include <string>

#include "recovery/codec.h"

namespace marldale::recovery {

struct Snapshot {
    Handover handover;
    std::int64_t wallUs = 0;
    bool operator==(const Snapshot&) const = default;
};

[[nodiscard]] std::string encode(const Snapshot& snapshot);
[[nodiscard]] std::optional<Snapshot> decodeSnapshot(std::string_view bytes, std::string& wrong);

// Throws std::runtime_error: what failed, and why.
void writeSnapshot(const std::string& path, const Snapshot& snapshot);
// Nothing and no words if there is no such file; nothing, and what is wrong, if it can't be used.
[[nodiscard]] std::optional<Snapshot> readSnapshot(const std::string& path, std::string& wrong);

// How old it is by the wall clock. Nothing if that clock has gone back since: nobody knows then.
[[nodiscard]] std::optional<Micros> ageOf(const Snapshot& snapshot, std::int64_t wallNowUs);

}  // namespace marldale::recovery
