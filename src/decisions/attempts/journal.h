// The ledger's words as bytes: records of one size, each with a checksum, so that what a crash has torn is
// found and nothing whole is lost.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "attempts/effect_ledger.h"

namespace marldale::attempts {

struct JournalRecord {
    enum class Kind : std::uint8_t {
        run = 1,       // a run begins: `intent` is the hash of what it replays, `at` its settings' hash
        begun = 2,     // this intent's request is about to be sent; `kin`, `at`: as in SendRequest
        ended = 3,     // its answer
        reached = 4,   // everything before entry `intent` is settled: a resumed run begins there
        finished = 5,  // the run came to its end
    };
    Kind kind = Kind::run;
    Effect effect = Effect::none;
    std::uint64_t intent = 0, kin = 0;
    std::int64_t at = 0;
    bool operator==(const JournalRecord&) const = default;
};

inline constexpr std::size_t kJournalRecordBytes = 32;  // bytes

[[nodiscard]] std::array<char, kJournalRecordBytes> encode(const JournalRecord& record);
// Nothing if it is no record, or its checksum is wrong.
[[nodiscard]] std::optional<JournalRecord> decode(std::string_view bytes);

struct JournalRead {
    std::vector<JournalRecord> records;
    std::size_t whole = 0;  // bytes that are records
    // What follows the last whole record is shorter than one: a crash has torn it, and it may be cut off.
    // Otherwise the file is damaged, and nothing may be concluded from it.
    bool torn = false, damaged = false;
};
[[nodiscard]] JournalRead readJournal(std::string_view bytes);

// What a run that goes on has to know.
struct Resumed {
    std::uint64_t trace = 0, settings = 0;  // hashes; what is replayed must be the same
    std::uint64_t from = 0;                 // the first entry that is not settled
    std::uint64_t runs = 0;
    bool finished = false;
};
// Puts a journal into a ledger.
[[nodiscard]] Resumed restoreLedger(const std::vector<JournalRecord>& records, EffectLedger& ledger);

}  // namespace marldale::attempts
