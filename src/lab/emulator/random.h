// Named streams of chance from one seed (PCG): what one part draws does not hang on what others draw. The
// distributions are our own, for those of the standard library differ from one library to the next.
#pragma once

#include <cmath>
#include <cstdint>
#include <pcg_random.hpp>
#include <string_view>

#include "bytes/mix.h"

namespace marldale::emulator {

class Stream {
public:
    Stream(std::uint64_t seed, std::string_view name, std::uint64_t number = 0)
        : pcg_(bytes::mixed(seed + 0x9e3779b97f4a7c15ULL), bytes::mixed(hash(name) + number)) {}

    [[nodiscard]] std::uint32_t word() { return pcg_(); }
    // Above 0 and below 1.
    [[nodiscard]] double uniform() { return (pcg_() + 0.5) / 4294967296.0; }
    [[nodiscard]] double uniform(double from, double to) { return from + (to - from) * uniform(); }
    [[nodiscard]] double exponential() { return -std::log(uniform()); }
    // Box and Muller (1958).
    [[nodiscard]] double normal() {
        const double radius = std::sqrt(2 * exponential()), angle = 6.283185307179586 * uniform();
        return radius * std::cos(angle);
    }
    [[nodiscard]] std::uint32_t below(std::uint32_t count) { return pcg_(count); }
    [[nodiscard]] bool chance(double share) { return share > 0 && uniform() < share; }

private:
    static std::uint64_t hash(std::string_view name) {  // FNV-1a
        std::uint64_t out = 0xcbf29ce484222325ULL;
        for (const char c : name) out = (out ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
        return out;
    }
    pcg32 pcg_;
};

}  // namespace marldale::emulator
