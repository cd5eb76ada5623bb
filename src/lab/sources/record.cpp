#include "sources/record.h"

#include <algorithm>

namespace marldale::sources {

const char* name(LeftOut rule) {
    switch (rule) {
        case LeftOut::comment: return "comment or empty line";
        case LeftOut::noRequest: return "connection without a request";
        case LeftOut::blocked: return "never sent by the browser";
        case LeftOut::notChosen: return "no class fits";
        case LeftOut::overlap: return "overlap with the file before";
        case LeftOut::straggler: return "too far out of order";
        case LeftOut::outsideWindow: return "outside the window asked for";
        case LeftOut::count_: break;
    }
    return "?";
}

std::string harmless(std::string_view excerpt, std::size_t column, std::size_t most) {
    const std::size_t from = column > most / 2 ? std::min(column - most / 2, excerpt.size()) : 0;
    std::string out;
    // A value of a query that began before the excerpt is one too.
    bool value = false;
    for (std::size_t i = 0; i < excerpt.size() && i < from + most; ++i) {
        const char c = excerpt[i];
        const bool ends = c == '&' || c == ' ' || c == '"' || c == '#';
        if (value && !ends) continue;
        if (value) {
            value = false;
            if (i >= from) out += "..";
        }
        const bool query = c == '=';
        if (i >= from) out += c >= 0x20 && c < 0x7f ? c : '?';
        value = query;
    }
    return value ? out + ".." : out;
}

bool splitRequestLine(std::string_view line, std::string_view& method, std::string_view& target) {
    const auto first = line.find(' ');
    if (first == std::string_view::npos || first == 0 || first > 24) return false;
    method = line.substr(0, first);
    if (!std::all_of(method.begin(), method.end(),
                     [](char c) { return (c >= 'A' && c <= 'Z') || c == '-' || c == '_'; }))
        return false;
    const auto last = line.rfind(' ');
    const bool versioned = last > first && line.substr(last + 1).starts_with("HTTP/");
    target = versioned ? line.substr(first + 1, last - first - 1) : line.substr(first + 1);
    return !target.empty() && target.find(' ') == std::string_view::npos && versioned;
}

std::string_view pathOf(std::string_view target) { return target.substr(0, target.find_first_of("?#")); }

bool splitUrl(std::string_view url, std::string_view& host, std::string_view& target) {
    for (const std::string_view scheme : {"http://", "https://"}) {
        if (!url.starts_with(scheme)) continue;
        url.remove_prefix(scheme.size());
        const auto end = std::min(url.find_first_of("/?#"), url.size());
        host = url.substr(0, end);
        target = url.substr(end);
        if (target.empty()) target = "/";
        return !host.empty();
    }
    return false;
}

}  // namespace marldale::sources
