// Binary format of a handover, for a peer or a snapshot: "MRLK", format version (4 bytes), uncompressed and
// compressed sizes (4 each), XXH64 of the compressed content (8), content compressed with zstd. Readers skip
// sections of unknown kinds by their length.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "recovery/knowledge.h"

namespace marldale::recovery {

inline constexpr std::size_t kMaxHandoverBytes = std::size_t{16} << 20U;  // compressed or not

[[nodiscard]] std::string encode(const Handover& handover);
// Returns nothing and sets `error` if the bytes are not a valid handover.
[[nodiscard]] std::optional<Handover> decode(std::string_view bytes, std::string& error);
// Decodes uncompressed content into `out`; false if it is malformed. Public for fuzzing.
[[nodiscard]] bool decodePlain(std::string_view plain, Handover& out);

}  // namespace marldale::recovery
