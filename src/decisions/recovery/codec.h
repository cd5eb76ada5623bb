// A handover as bytes, for a peer or a snapshot: "MRLK", version (4 bytes), plain and packed sizes (4 each),
// XXH64 of the packed bytes (8), packed bytes (zstd). Sections of a later version are skipped by their
// length.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "recovery/knowledge.h"

namespace marldale::recovery {

inline constexpr std::size_t kHandoverMost = std::size_t{16} << 20U;  // bytes, packed or plain

[[nodiscard]] std::string encode(const Handover& handover);
// Nothing, and what is wrong.
[[nodiscard]] std::optional<Handover> decode(std::string_view bytes, std::string& wrong);
// The content before packing, for fuzzing.
[[nodiscard]] bool decodePlain(std::string_view plain, Handover& out);

}  // namespace marldale::recovery
