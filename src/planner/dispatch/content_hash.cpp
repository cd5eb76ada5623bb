#include "dispatch/content_hash.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <bit>
#include <string>

namespace marldale::dispatch {
namespace {

void append(std::string& out, float value) {
    const auto bits = std::bit_cast<std::uint32_t>(value);
    for (unsigned i = 0; i < sizeof bits; ++i) out.push_back(static_cast<char>(bits >> (8 * i) & 0xffU));
}

std::string head(char kind, std::string_view name) {
    std::string out(1, kind);
    out.append(name).push_back('\0');
    return out;
}

}  // namespace

std::uint64_t lineHash(std::string_view server, float weight) {
    std::string text = head('l', server);
    append(text, weight);
    return XXH64(text.data(), text.size(), 0);
}

std::uint64_t levelHash(std::string_view className, float limit, std::uint8_t retryMode) {
    std::string text = head('a', className);
    append(text, limit);
    text.push_back(static_cast<char>(retryMode));
    return XXH64(text.data(), text.size(), 0);
}

}  // namespace marldale::dispatch
