#include "settings/ini.h"

#include <ini.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <fstream>
#include <mutex>

namespace marldale::settings {
namespace {

constexpr std::size_t kReadMost = std::size_t{64} << 20U;  // of any file: lists have some megabytes

constexpr const char* kBlanks = " \t\r\n\v\f";

// Where a comment begins behind something else: at a `;` after a blank.
std::size_t commentIn(std::string_view line) {
    for (auto at = line.find(';', 1); at != std::string_view::npos; at = line.find(';', at + 1)) {
        if (std::string_view(kBlanks).find(line[at - 1]) != std::string_view::npos) return at;
    }
    return line.size();
}

// Hands inih one line at a time, and so knows which line an entry came from.
class Lines {
public:
    Lines(const std::string& file, std::string_view text, std::vector<Problem>& problems)
        : file_(file), rest_(text), problems_(problems) {}

    std::vector<Entry> read() {
        const int error = ini_parse_stream(next, this, take, this);
        if (error < 0) report(0, "there is not enough memory to read it");
        return std::move(entries_);
    }

private:
    // As fgets: the next line with its end, or null.
    static char* next(char* out, int room, void* self) { return static_cast<Lines*>(self)->next(out, room); }
    char* next(char* out, int room) {
        if (rest_.empty()) return nullptr;
        ++line_;
        const auto end = std::min(rest_.find('\n'), rest_.size() - 1) + 1;
        std::string_view line = rest_.substr(0, end);
        rest_.remove_prefix(end);
        const auto most = std::min(static_cast<std::size_t>(room) - 1, kLineMost);
        if (line.size() > most) {
            report(line_, "the line is longer than " + std::to_string(most) + " bytes and is left out");
            line = {};
        } else if (line.find('\0') != std::string_view::npos) {
            report(line_, "the line holds a zero byte and is left out");
            line = {};
        } else if (isLost(line)) {
            report(line_, "neither a [section], nor key = value, nor a comment");
            line = {};
        }
        heading(line);
        if (line.empty()) line = "\n";
        std::memcpy(out, line.data(), line.size());
        out[line.size()] = '\0';
        return out;
    }
    // inih tells only the first line that it can't read, so they are found here.
    static bool isLost(std::string_view line) {
        if (line.starts_with("\xef\xbb\xbf")) line.remove_prefix(3);
        const auto from = line.find_first_not_of(kBlanks);
        if (from == std::string_view::npos) return false;
        line.remove_prefix(from);
        if (line[0] == ';' || line[0] == '#') return false;
        if (line[0] == '[') return line.find(']') == std::string_view::npos;
        return line.substr(0, commentIn(line)).find_first_of("=:") == std::string_view::npos;
    }

    void heading(std::string_view line) {
        const auto open = line.find_first_not_of(kBlanks);
        if (open == std::string_view::npos || line[open] != '[') return;
        entries_.push_back({std::string(line.substr(open + 1, line.find(']') - open - 1)), "", "", line_});
    }

    static int take(void* self, const char* section, const char* key, const char* value) {
        static_cast<Lines*>(self)->take(section, key, value);
        return 1;
    }
    void take(const char* section, const char* key, const char* value) {
        entries_.push_back({section, key, value == nullptr ? "" : value, line_});
    }
    void report(int line, std::string text) { problems_.push_back({file_, line, std::move(text)}); }

    const std::string& file_;
    std::string_view rest_;
    std::vector<Problem>& problems_;
    std::vector<Entry> entries_;
    int line_ = 0;
};

}  // namespace

std::string Problem::shown() const {
    return file + (line > 0 ? ":" + std::to_string(line) : std::string()) + ": " + text;
}

std::vector<Entry> readIni(const std::string& file, std::string_view text, std::vector<Problem>& problems) {
    if (text.size() > kFileMost) {
        problems.push_back({file, 0, "larger than " + std::to_string(kFileMost) + " bytes"});
        return {};
    }
    // inih's own settings, for the process: a buffer for the longest line, no values over several lines.
    static std::once_flag set;
    std::call_once(set, [] {
        ini_use_stack = false;
        ini_max_line = ini_initial_alloc = static_cast<int>(kLineMost) + 3;
        ini_allow_multiline = false;
    });
    return Lines(file, text, problems).read();
}

bool readFile(const std::string& path, std::string& text, std::vector<Problem>& problems) {
    errno = 0;
    std::ifstream in(path, std::ios::binary);
    if (!in) {
        problems.push_back({path, 0, std::string("can't be opened: ") + std::strerror(errno)});
        return false;
    }
    text.clear();
    std::array<char, 16384> piece{};
    while (in && text.size() <= kReadMost) {
        in.read(piece.data(), piece.size());  // never throws, unlike an iterator over a folder
        text.append(piece.data(), static_cast<std::size_t>(in.gcount()));
    }
    if (!in.bad() && in.eof()) return true;
    problems.push_back({path, 0, text.size() > kReadMost ? "is too large" : "can't be read"});
    return false;
}

}  // namespace marldale::settings
