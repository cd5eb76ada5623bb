#include "gateway/http_server/head_check.h"

#include <array>
#include <cstring>

namespace marldale::http_server {
namespace {

constexpr std::array<bool, 256> tokenLetters() {
    std::array<bool, 256> made{};
    for (unsigned c = '0'; c <= '9'; ++c) made[c] = true;
    for (unsigned c = 'a'; c <= 'z'; ++c) made[c] = true;
    for (unsigned c = 'A'; c <= 'Z'; ++c) made[c] = true;
    for (const char c : std::string_view("!#$%&'*+-.^_`|~")) made[static_cast<unsigned char>(c)] = true;
    return made;
}
constexpr std::array<bool, 256> kToken = tokenLetters();

bool token(std::string_view text) {
    if (text.empty()) return false;
    for (const char c : text) {
        if (!kToken[static_cast<unsigned char>(c)]) return false;
    }
    return true;
}

// Of a value or a reason: a tab, a space, what is visible, and bytes above ASCII.
bool text(std::string_view bytes) {
    for (const char c : bytes) {
        const auto byte = static_cast<unsigned char>(c);
        if ((byte < 0x20 && byte != '\t') || byte == 0x7f) return false;
    }
    return true;
}

char low(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; }

}  // namespace

bool same(std::string_view one, std::string_view other) {
    if (one.size() != other.size()) return false;
    for (std::size_t k = 0; k < one.size(); ++k) {
        if (low(one[k]) != low(other[k])) return false;
    }
    return true;
}

bool readNumber(std::string_view digits, unsigned long long& number) {
    if (digits.empty() || digits.size() > 18) return false;
    number = 0;
    for (const char c : digits) {
        if (c < '0' || c > '9') return false;
        number = number * 10 + static_cast<unsigned>(c - '0');
    }
    return true;
}

std::string_view trimmed(std::string_view bytes) {
    while (!bytes.empty() && (bytes.front() == ' ' || bytes.front() == '\t')) bytes.remove_prefix(1);
    while (!bytes.empty() && (bytes.back() == ' ' || bytes.back() == '\t')) bytes.remove_suffix(1);
    return bytes;
}

bool HeadCheck::startLine(std::string_view line, bool request) {
    if (!request) {
        // HTTP/1.1 SP 3DIGIT SP reason
        const std::string_view version = line.substr(0, 9);
        if (version != "HTTP/1.1 " && version != "HTTP/1.0 ") return false;
        http10_ = version[7] == '0';
        if (line.size() < 13 || line[12] != ' ') return false;
        for (std::size_t k = 9; k < 12; ++k) {
            if (line[k] < '0' || line[k] > '9') return false;
        }
        return line[9] >= '1' && line[9] <= '5' && text(line.substr(13));
    }
    const std::size_t first = line.find(' ');
    if (first == std::string_view::npos || !token(line.substr(0, first))) return false;
    const std::size_t second = line.find(' ', first + 1);
    if (second == std::string_view::npos) return false;
    const std::string_view target = line.substr(first + 1, second - first - 1);
    const std::string_view version = line.substr(second + 1);
    if (version != "HTTP/1.1" && version != "HTTP/1.0") return false;
    http10_ = version.back() == '0';
    if (target.empty() || target.front() != '/') return false;
    for (const char c : target) {
        if (c <= 0x20 || c >= 0x7f || c == '#') return false;  // also bytes above ASCII
    }
    return true;
}

bool HeadCheck::field(std::string_view line) {
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos) return false;
    const std::string_view name = line.substr(0, colon);
    if (!token(name)) return false;  // a fold, and space before the colon, too
    const std::string_view value = trimmed(line.substr(colon + 1));
    if (!text(value)) return false;
    switch (name.size()) {
        case 4:
            if (same(name, "host")) {
                ++hosts_;
                if (value.empty() || value.find_first_of(" \t,/@?#\\") != std::string_view::npos)
                    return false;
            }
            break;
        case 14:
            if (same(name, "content-length")) {
                ++lengths_;
                unsigned long long number = 0;
                if (!readNumber(value, number)) return false;
            }
            break;
        case 17:
            if (same(name, "transfer-encoding")) {
                ++codings_;
                if (!same(value, "chunked")) return false;
            }
            break;
        default: break;
    }
    return true;
}

bool HeadCheck::framed(bool request) const {
    if (lengths_ > 1 || codings_ > 1 || (lengths_ == 1 && codings_ == 1)) return false;
    if (codings_ == 1 && http10_) return false;
    return !request || hosts_ == 1;
}

HeadCheck::State HeadCheck::look(std::string_view bytes, bool request) {
    for (;;) {
        if (seen_ >= bytes.size()) return State::more;
        const void* const found = std::memchr(bytes.data() + seen_, '\n', bytes.size() - seen_);
        if (found == nullptr) {
            seen_ = bytes.size();
            return State::more;
        }
        const auto end = static_cast<std::size_t>(static_cast<const char*>(found) - bytes.data());
        if (end == lineFrom_ || bytes[end - 1] != '\r') return State::bad;
        const std::string_view line = bytes.substr(lineFrom_, end - 1 - lineFrom_);
        lineFrom_ = seen_ = end + 1;
        if (line.empty()) {
            if (firstLine_) return State::bad;
            return framed(request) ? State::whole : State::bad;
        }
        if (firstLine_ ? !startLine(line, request) : !field(line)) return State::bad;
        firstLine_ = false;
    }
}

}  // namespace marldale::http_server
