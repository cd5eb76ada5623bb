// The finalizer of SplitMix64 (Steele, Lea, Flood: "Fast splittable pseudorandom number generators", 2014):
// neighbouring numbers come out far apart.
#pragma once

#include <cstdint>

namespace marldale::bytes {

[[nodiscard]] constexpr std::uint64_t mixed(std::uint64_t x) {
    x ^= x >> 30U;
    x *= 0xbf58476d1ce4e5b9ULL;
    x ^= x >> 27U;
    x *= 0x94d049bb133111ebULL;
    return x ^ (x >> 31U);
}

}  // namespace marldale::bytes
