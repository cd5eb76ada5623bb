// A trace as bytes: a head, then blocks, each for itself.
//
//     head    "MRLTRACE", version (4 bytes), bytes of its text (4), XXH64 of the text (8), the text: JSON
//     with the
//             classes' names and which of them have effects, and what the sources can't tell
//     block   "MRLB", packed bytes (4), plain bytes (4), entries (4), first and last start (8 each),
//             XXH64 of head and packed bytes (8), packed bytes (zstd)
//
// Numbers are least significant byte first. A trace that is cut is good up to its last whole block. Starts
// never go back from one entry to the next, so a reader may skip blocks by their heads. Version 1.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "trace/entry.h"

namespace marldale::trace {

inline constexpr std::size_t kBlockEntries = 4096;
inline constexpr std::size_t kBlockHead = 44;                       // bytes
inline constexpr std::size_t kHeadFixed = 24;                       // of the head, before its text
inline constexpr std::size_t kPackedMost = std::size_t{16} << 20U;  // of a block
inline constexpr std::size_t kPlainMost = std::size_t{64} << 20U;
inline constexpr std::size_t kHeadMost = std::size_t{1} << 20U;

struct TraceClass {
    std::string name;
    bool hasEffect = false;
    bool operator==(const TraceClass&) const = default;
};

struct Head {
    std::vector<TraceClass> classes;
    std::vector<std::string> blind;  // what the sources can't tell
    bool operator==(const Head&) const = default;
};

struct BlockHead {
    std::uint32_t packed = 0, plain = 0, entries = 0;
    Micros first = 0, last = 0;
    std::uint64_t hash = 0;
};

[[nodiscard]] std::string encodeHead(const Head& head);
// Nothing, and what is wrong.
[[nodiscard]] std::optional<Head> decodeHead(std::string_view fixed, std::string_view text,
                                             std::string& wrong);
// The bytes of text that a head's fixed part announces; nothing if it is none.
[[nodiscard]] std::optional<std::uint32_t> headText(std::string_view fixed, std::string& wrong);

[[nodiscard]] std::string encodeBlock(const std::vector<Entry>& entries);
[[nodiscard]] std::optional<BlockHead> decodeBlockHead(std::string_view bytes);
// Nothing if the hash is wrong or the bytes are no entries; `classes` bounds their class.
[[nodiscard]] std::optional<std::vector<Entry>> decodeBlock(std::string_view head, std::string_view packed,
                                                            std::size_t classes);

// The content of a block before packing, for fuzzing: as decodeBlock, without hash and zstd.
[[nodiscard]] bool decodeEntries(std::string_view plain, std::uint32_t count, std::size_t classes,
                                 std::vector<Entry>& out);

}  // namespace marldale::trace
