#include "attempts/journal.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <cstring>

namespace marldale::attempts {
namespace {

constexpr unsigned char kMagic = 0xa7;
constexpr std::size_t kChecksumOffset = 4, kIntentOffset = 8, kClientTargetOffset = 16, kTimeOffset = 24;

template <class T>
void put(char* at, T value) {  // least significant byte first
    for (std::size_t i = 0; i < sizeof(T); ++i) at[i] = static_cast<char>(value >> (8 * i));
}

template <class T>
T get(const char* at) {
    T out = 0;
    for (std::size_t i = 0; i < sizeof(T); ++i)
        out |= static_cast<T>(static_cast<unsigned char>(at[i])) << (8 * i);
    return out;
}

// The checksum of a record, computed with zeros in place of the checksum itself.
std::uint32_t checksum(const char* bytes) {
    std::array<char, kJournalRecordBytes> copy{};
    std::memcpy(copy.data(), bytes, kJournalRecordBytes);
    std::memset(copy.data() + kChecksumOffset, 0, sizeof(std::uint32_t));
    return XXH32(copy.data(), copy.size(), kMagic);
}

}  // namespace

std::array<char, kJournalRecordBytes> encode(const JournalRecord& record) {
    std::array<char, kJournalRecordBytes> out{};
    out[0] = static_cast<char>(kMagic);
    out[1] = static_cast<char>(record.kind);
    out[2] = static_cast<char>(record.effect);
    put<std::uint64_t>(out.data() + kIntentOffset, record.intent);
    put<std::uint64_t>(out.data() + kClientTargetOffset, record.clientTargetHash);
    put<std::uint64_t>(out.data() + kTimeOffset, static_cast<std::uint64_t>(record.at));
    put<std::uint32_t>(out.data() + kChecksumOffset, checksum(out.data()));
    return out;
}

std::optional<JournalRecord> decode(std::string_view bytes) {
    if (bytes.size() < kJournalRecordBytes || static_cast<unsigned char>(bytes[0]) != kMagic)
        return std::nullopt;
    if (get<std::uint32_t>(bytes.data() + kChecksumOffset) != checksum(bytes.data())) return std::nullopt;
    const auto kind = static_cast<unsigned char>(bytes[1]), effect = static_cast<unsigned char>(bytes[2]);
    if (kind < 1 || kind > 5 || effect > static_cast<unsigned char>(Effect::unknown)) return std::nullopt;
    return JournalRecord{static_cast<JournalRecord::Kind>(kind), static_cast<Effect>(effect),
                         get<std::uint64_t>(bytes.data() + kIntentOffset),
                         get<std::uint64_t>(bytes.data() + kClientTargetOffset),
                         static_cast<std::int64_t>(get<std::uint64_t>(bytes.data() + kTimeOffset))};
}

JournalRead readJournal(std::string_view bytes) {
    JournalRead out;
    while (out.whole < bytes.size()) {
        const std::string_view rest = bytes.substr(out.whole);
        const auto record = decode(rest);
        if (!record) {
            // Records are only ever appended, so only the last one can be incomplete.
            out.torn = rest.size() <= kJournalRecordBytes;
            out.damaged = !out.torn;
            return out;
        }
        out.records.push_back(*record);
        out.whole += kJournalRecordBytes;
    }
    return out;
}

Resumed restoreLedger(const std::vector<JournalRecord>& records, EffectLedger& ledger) {
    Resumed out;
    for (const JournalRecord& record : records) {
        switch (record.kind) {
            case JournalRecord::Kind::run:
                ++out.runs;
                out.trace = record.intent;
                out.settings = static_cast<std::uint64_t>(record.at);
                out.finished = false;
                break;
            case JournalRecord::Kind::begun:
                ledger.begun({record.intent, Effect::unknown, record.clientTargetHash, record.at});
                break;
            case JournalRecord::Kind::ended: ledger.ended(record.intent, record.effect); break;
            case JournalRecord::Kind::reached: out.from = record.intent; break;
            case JournalRecord::Kind::finished: out.finished = true; break;
        }
    }
    ledger.markOpenUncertain();
    return out;
}

}  // namespace marldale::attempts
