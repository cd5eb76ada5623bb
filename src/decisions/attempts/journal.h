// The journal of an effect ledger: records of a fixed size, each with a checksum. A record that a crash left
// incomplete is detected, and no complete record is lost.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "attempts/effect_ledger.h"

namespace marldale::attempts {

/// One record; which fields are used depends on its kind.
struct JournalRecord {
    enum class Kind : std::uint8_t {
        run = 1,       // a run begins: `intent` is the hash of the trace, `at` the hash of the settings
        begun = 2,     // this intent's request is about to be sent; the other fields are as in SendRequest
        ended = 3,     // the response to it has come, or it has failed
        reached = 4,   // everything before the entry number `intent` is settled: a resumed run begins there
        finished = 5,  // the run is complete
    };
    Kind kind = Kind::run;
    Effect effect = Effect::none;
    std::uint64_t intent = 0, clientTargetHash = 0;
    std::int64_t at = 0;
    bool operator==(const JournalRecord&) const = default;
};

inline constexpr std::size_t kJournalRecordBytes = 32;

/// Encodes a record; the layout is the same on all machines.
[[nodiscard]] std::array<char, kJournalRecordBytes> encode(const JournalRecord& record);
/// Decodes the record at the start of `bytes`; nothing if there is none or its checksum is wrong.
[[nodiscard]] std::optional<JournalRecord> decode(std::string_view bytes);

/// The contents of a journal file.
struct JournalRead {
    std::vector<JournalRecord> records;
    std::size_t whole = 0;  // bytes of complete records
    // `torn`: what follows the last complete record is no longer than one record. A crash interrupted its
    // writing, and it may be cut off. `damaged`: the file is corrupt in some other way, and nothing may be
    // concluded from it.
    bool torn = false, damaged = false;
};
/// Reads records up to the first one that is incomplete or corrupt.
[[nodiscard]] JournalRead readJournal(std::string_view bytes);

/// What a run needs to know to resume an earlier one.
struct Resumed {
    std::uint64_t trace = 0, settings = 0;  // hashes; they must be the same in the resuming run
    std::uint64_t from = 0;                 // the first entry that is not settled
    std::uint64_t runs = 0;                 // so far
    bool finished = false;
};
/// Replays a journal into a ledger; intents that are still open become uncertain.
[[nodiscard]] Resumed restoreLedger(const std::vector<JournalRecord>& records, EffectLedger& ledger);

}  // namespace marldale::attempts
