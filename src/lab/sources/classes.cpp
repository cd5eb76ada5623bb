#include "sources/classes.h"

#include <algorithm>

namespace marldale::sources {
namespace {

bool anyFits(const std::vector<std::string>& patterns, std::string_view text) {
    return patterns.empty() ||
           std::any_of(patterns.begin(), patterns.end(), [&](const std::string& p) { return fits(p, text); });
}

}  // namespace

bool fits(std::string_view pattern, std::string_view text) {
    std::size_t p = 0, t = 0, star = std::string_view::npos, back = 0;
    while (t < text.size()) {
        if (p < pattern.size() && (pattern[p] == '?' || pattern[p] == text[t]) && pattern[p] != '*') {
            ++p;
            ++t;
        } else if (p < pattern.size() && pattern[p] == '*') {
            star = p++;
            back = t;
        } else if (star != std::string_view::npos) {
            p = star + 1;
            t = ++back;
        } else {
            return false;
        }
    }
    while (p < pattern.size() && pattern[p] == '*') ++p;
    return p == pattern.size();
}

bool ClassRule::matches(const Record& record) const {
    if (!methods.empty() && std::find(methods.begin(), methods.end(), record.method) == methods.end())
        return false;
    if (!anyFits(paths, pathOf(record.target))) return false;
    if (!hosts.empty() && !anyFits(hosts, record.host)) return false;
    const int status = record.answer.status;
    if (!statuses.empty() && std::none_of(statuses.begin(), statuses.end(), [&](const auto& span) {
            return status >= span.first && status <= span.second;
        })) {
        return false;
    }
    const std::int64_t size = record.answer.bytes;
    if (sizeLeast >= 0 && size < sizeLeast) return false;
    if (sizeMost >= 0 && (size < 0 || size > sizeMost)) return false;
    return std::all_of(headers.begin(), headers.end(), [&](const auto& wanted) {
        return std::any_of(record.headers.begin(), record.headers.end(), [&](const auto& header) {
            return header.first == wanted.first && fits(wanted.second, header.second);
        });
    });
}

std::vector<std::string> Rules::names() const {
    std::vector<std::string> out;
    for (const ClassRule& rule : classes) out.push_back(rule.name);
    out.emplace_back("other");
    return out;
}

std::uint32_t Rules::classOf(const Record& record) const {
    const auto at = std::find_if(classes.begin(), classes.end(),
                                 [&](const ClassRule& rule) { return rule.matches(record); });
    return static_cast<std::uint32_t>(at - classes.begin());
}

}  // namespace marldale::sources
