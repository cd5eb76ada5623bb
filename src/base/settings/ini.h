// INI files as entries with their lines. The reading itself is inih's.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace marldale::settings {

// Something that is wrong in a file, to be shown to whoever wrote it.
struct Problem {
    std::string file;
    int line = 0;  // from 1; 0: the file as a whole
    std::string text;
    [[nodiscard]] std::string shown() const;  // `FILE:LINE: TEXT`
    bool operator==(const Problem&) const = default;
};

struct Entry {
    std::string section, key, value;
    int line = 0;
};

inline constexpr std::size_t kFileMost = std::size_t{1} << 20U;  // bytes of a settings file
inline constexpr std::size_t kLineMost = 1000;                   // bytes of one line

// All entries in their order. What can't be read becomes a problem, and the rest is read all the same.
// A section's heading is an entry with an empty key. Comments begin with `;` or `#`.
[[nodiscard]] std::vector<Entry> readIni(const std::string& file, std::string_view text,
                                         std::vector<Problem>& problems);

// The whole file; nothing, and a problem, if it can't be had or is too large.
[[nodiscard]] bool readFile(const std::string& path, std::string& text, std::vector<Problem>& problems);

}  // namespace marldale::settings
