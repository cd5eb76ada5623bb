// A second reading of a request's head, slow and plain, written from RFC 9112 alone: for comparison.
#pragma once

#include <algorithm>
#include <cctype>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace marldale::proxy::tests {

struct PlainHead {
    std::string method;
    std::uint64_t length = 0;
    bool chunked = false, keepAlive = true;
};

inline std::string lowered(std::string text) {
    for (char& c : text) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    return text;
}
inline std::string stripped(const std::string& text) {
    const auto from = text.find_first_not_of(" \t"), to = text.find_last_not_of(" \t");
    return from == std::string::npos ? "" : text.substr(from, to - from + 1);
}
inline bool token(const std::string& text) {
    const std::string marks = "!#$%&'*+-.^_`|~";
    if (text.empty()) return false;
    for (const char c : text) {
        const auto u = static_cast<unsigned char>(c);
        if (!(u < 128 && std::isalnum(u) != 0) && marks.find(c) == std::string::npos) return false;
    }
    return true;
}

// Nothing: it is refused.
inline std::optional<PlainHead> readPlainly(const std::string& head) {
    // Lines, each of which must end with CR and LF and hold neither.
    std::vector<std::string> lines;
    std::string line;
    for (std::size_t i = 0; i < head.size(); ++i) {
        if (head[i] == '\n') return std::nullopt;
        if (head[i] != '\r') {
            line += head[i];
            continue;
        }
        if (i + 1 == head.size() || head[i + 1] != '\n') return std::nullopt;
        lines.push_back(line);
        line.clear();
        ++i;
    }
    if (!line.empty() || lines.size() < 2 || !lines.back().empty()) return std::nullopt;
    lines.pop_back();

    PlainHead out;
    const std::string& first = lines[0];
    const auto one = first.find(' ');
    if (one == std::string::npos) return std::nullopt;
    const auto two = first.find_last_of(' ');
    out.method = first.substr(0, one);
    if (one == two || !token(out.method) || out.method == "CONNECT") return std::nullopt;
    std::string target = first.substr(one + 1, two - one - 1);
    const std::string version = first.substr(two + 1);
    if (version != "HTTP/1.1" && version != "HTTP/1.0") return std::nullopt;
    const bool old = version == "HTTP/1.0";
    if (target.empty()) return std::nullopt;
    for (const char c : target) {
        if (c <= 32 || c >= 127) return std::nullopt;
    }
    if (lowered(target.substr(0, 7)) == "http://") {
        const std::string rest = target.substr(7);
        const std::string host = rest.substr(0, rest.find_first_of("/?#"));
        if (host.empty() || host.find('@') != std::string::npos) return std::nullopt;
    } else if (target[0] != '/' && !(target == "*" && out.method == "OPTIONS")) {
        return std::nullopt;
    }

    int hosts = 0, lengths = 0, codings = 0;
    bool close = false, keep = false;
    for (std::size_t i = 1; i < lines.size(); ++i) {
        const auto colon = lines[i].find(':');
        if (colon == std::string::npos || !token(lines[i].substr(0, colon))) return std::nullopt;
        const std::string name = lowered(lines[i].substr(0, colon)),
                          value = stripped(lines[i].substr(colon + 1));
        for (const char c : value) {
            const auto u = static_cast<unsigned char>(c);
            if ((u < 32 && u != 9) || u == 127) return std::nullopt;
        }
        if (name == "host") ++hosts;
        if (name == "expect" && lowered(value) != "100-continue") return std::nullopt;
        if (name == "content-length") {
            ++lengths;
            if (value.empty() || value.size() > 18) return std::nullopt;
            for (const char c : value) {
                if (c < '0' || c > '9') return std::nullopt;
            }
            out.length = std::stoull(value);
        }
        if (name == "transfer-encoding") {
            ++codings;
            if (lowered(value) != "chunked") return std::nullopt;
            out.chunked = true;
        }
        if (name == "connection") {
            std::string item;
            for (const char c : value + ",") {
                if (c != ',') {
                    item += c;
                    continue;
                }
                item = lowered(stripped(item));
                if (!item.empty() && !token(item)) return std::nullopt;
                if (item == "close") close = true;
                if (item == "keep-alive") keep = true;
                if (item == "host" || item == "content-length" || item == "transfer-encoding" ||
                    item == "expect")
                    return std::nullopt;
                item.clear();
            }
        }
    }
    if (hosts > 1 || (hosts == 0 && !old) || lengths > 1 || codings > 1) return std::nullopt;
    if (out.chunked && (old || lengths > 0)) return std::nullopt;
    out.keepAlive = !close && (!old || keep);
    return out;
}

}  // namespace marldale::proxy::tests
