// Lines that a file has in common with the end of the one before: a rotation that copied before it cut, or a
// collector that took some lines twice.
#pragma once

#include <cstdint>
#include <deque>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace marldale::sources {

class OverlapGuard {
public:
    explicit OverlapGuard(std::size_t remembered = 65536) : remembered_(remembered) {}

    void beginFile();

    enum class Says { fresh, held };
    // Of the next line of the file. `held`: it may be overlap; it is told by `settled` with all that are
    // held, as soon as it is known. Once the file goes on otherwise, everything is fresh.
    [[nodiscard]] Says line(std::string_view text);
    // What is known of the lines that were held, in their order: true where they are overlap. Empty as long
    // as it is not known.
    [[nodiscard]] std::vector<bool> settled();
    void endFile();

private:
    void remember(std::uint64_t hash);
    const std::size_t remembered_;
    std::deque<std::uint64_t> before_;  // the end of the file before
    std::deque<std::uint64_t> now_;     // of this one
    bool looking_ = false;
    std::size_t expected_ = 0;  // in `before_`, while the beginning agrees
    std::size_t heldLines_ = 0;
    std::vector<bool> verdicts_;
    std::unordered_map<std::uint64_t, std::size_t> last_;
};

}  // namespace marldale::sources
