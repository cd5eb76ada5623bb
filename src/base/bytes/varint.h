// Numbers and texts as bytes, and back with every length checked. Least significant byte first.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace marldale::bytes {

template <class T>
void putFixed(std::string& out, T value) {
    for (std::size_t i = 0; i < sizeof(T); ++i) {
        out += static_cast<char>(static_cast<std::uint64_t>(value) >> (8 * i));
    }
}
template <class T>
[[nodiscard]] T fixedAt(std::string_view bytes, std::size_t at) {
    std::uint64_t out = 0;
    for (std::size_t i = 0; i < sizeof(T); ++i) {
        out |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[at + i])) << (8 * i);
    }
    return static_cast<T>(out);
}

// Seven bits a byte.
inline void putVar(std::string& out, std::uint64_t value) {
    while (value >= 0x80) {
        out += static_cast<char>(value | 0x80U);
        value >>= 7U;
    }
    out += static_cast<char>(value);
}
inline void putText(std::string& out, std::string_view text) {
    putVar(out, text.size());
    out += text;
}
// Small for small figures of either sign.
[[nodiscard]] inline std::uint64_t folded(std::int64_t value) {
    return (static_cast<std::uint64_t>(value) << 1U) ^ static_cast<std::uint64_t>(value >> 63);
}
[[nodiscard]] inline std::int64_t unfolded(std::uint64_t value) {
    return static_cast<std::int64_t>(value >> 1U) ^ -static_cast<std::int64_t>(value & 1U);
}

// Reads from the front; once something was not there, everything is 0 and `good` is false.
class Reader {
public:
    explicit Reader(std::string_view bytes, std::size_t textMost) : rest_(bytes), textMost_(textMost) {}
    std::uint64_t var() {
        std::uint64_t out = 0;
        for (unsigned shift = 0; shift < 64; shift += 7) {
            if (rest_.empty()) return fail();
            const auto byte = static_cast<unsigned char>(rest_.front());
            rest_.remove_prefix(1);
            out |= static_cast<std::uint64_t>(byte & 0x7fU) << shift;
            if (byte < 0x80) return out;
        }
        return fail();
    }
    std::uint64_t fixed() {
        if (rest_.size() < 8) return fail();
        const auto out = fixedAt<std::uint64_t>(rest_, 0);
        rest_.remove_prefix(8);
        return out;
    }
    std::string_view text() {
        const std::uint64_t size = var();
        if (size > rest_.size() || size > textMost_) {
            fail();
            return {};
        }
        const auto out = rest_.substr(0, size);
        rest_.remove_prefix(size);
        return out;
    }
    [[nodiscard]] bool good() const { return good_; }
    [[nodiscard]] bool empty() const { return rest_.empty(); }
    std::uint64_t fail() {
        good_ = false;
        rest_ = {};
        return 0;
    }

private:
    std::string_view rest_;
    std::size_t textMost_;
    bool good_ = true;
};

}  // namespace marldale::bytes
