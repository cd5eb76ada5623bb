#include "settings/schema.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <numeric>
#include <set>
#include <utility>

#include "transport/address.h"

namespace marldale::settings {
namespace {

constexpr std::size_t kItemsMost = 64;  // of a list
constexpr std::size_t kShownMost = 60;  // bytes of a wrong value

std::string digits(double number) {
    std::string out = std::to_string(number);
    out.erase(out.find_last_not_of('0') + 1);
    if (out.ends_with('.')) out.pop_back();
    return out;
}

std::string joined(const std::vector<std::string>& items, const char* between) {
    std::string out;
    for (const std::string& item : items) out += (out.empty() ? "" : between) + item;
    return out;
}

std::string trimmed(std::string_view text) {
    const auto from = text.find_first_not_of(" \t\r");
    if (from == std::string_view::npos) return {};
    return std::string(text.substr(from, text.find_last_not_of(" \t\r") - from + 1));
}

bool readFlag(std::string_view text, Value& out) {
    out.flag = text == "true" || text == "yes" || text == "on";
    return out.flag || text == "false" || text == "no" || text == "off";
}

bool readNumber(const Key& key, std::string_view text, Value& out) {
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out.number);
    if (error != std::errc{} || end != text.data() + text.size() || !std::isfinite(out.number)) return false;
    if (key.type == Type::whole && out.number != std::floor(out.number)) return false;
    return out.number >= key.least && out.number <= key.most;
}

bool readList(std::string_view text, Value& out) {
    while (!text.empty()) {
        const auto comma = std::min(text.find(','), text.size());
        out.items.push_back(trimmed(text.substr(0, comma)));
        if (out.items.back().empty() || out.items.size() > kItemsMost) return false;
        text.remove_prefix(std::min(comma + 1, text.size()));
    }
    return !out.items.empty();
}

bool isRight(const Key& key, const std::string& text, Value& out) {
    switch (key.type) {
        case Type::flag: return readFlag(text, out);
        case Type::whole:
        case Type::number: return readNumber(key, text, out);
        case Type::text:
        case Type::file: return !text.empty();
        case Type::choice:
            return std::find(key.choices.begin(), key.choices.end(), text) != key.choices.end();
        case Type::address: return transport::parseAddress(text).has_value();
        case Type::list: return readList(text, out);
    }
    return false;
}

std::size_t distance(std::string_view a, std::string_view b) {
    std::vector<std::size_t> row(b.size() + 1);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t i = 0; i < a.size(); ++i) {
        std::size_t before = std::exchange(row[0], i + 1);
        for (std::size_t j = 0; j < b.size(); ++j) {
            const std::size_t swapped = before + (a[i] == b[j] ? 0 : 1);
            before = row[j + 1];
            row[j + 1] = std::min({swapped, row[j] + 1, before + 1});
        }
    }
    return row.back();
}

bool fits(const Key& key, std::string_view section) {
    if (!key.section.ends_with('*')) return key.section == section;
    const std::string_view head = std::string_view(key.section).substr(0, key.section.size() - 1);
    return section.starts_with(head) && section.size() > head.size();
}

const char* name(Type type) {
    switch (type) {
        case Type::flag: return "flag";
        case Type::whole: return "whole number";
        case Type::number: return "number";
        case Type::text: return "text";
        case Type::choice: return "choice";
        case Type::address: return "address";
        case Type::file: return "file";
        case Type::list: return "list";
    }
    return "?";
}

}  // namespace

std::string nearest(std::string_view word, const std::vector<std::string>& candidates) {
    std::string best;
    std::size_t least = std::max<std::size_t>(2, word.size() / 2) + 1;
    for (const std::string& candidate : candidates) {
        const std::size_t d = distance(word, candidate);
        if (d >= least) continue;
        least = d;
        best = candidate;
    }
    return best;
}

std::string allowed(const Key& key) {
    const std::string unit = key.unit.empty() ? "" : " " + key.unit;
    switch (key.type) {
        case Type::flag: return "true or false";
        case Type::whole:
            return "a whole number from " + digits(key.least) + " to " + digits(key.most) + unit;
        case Type::number: return "a number from " + digits(key.least) + " to " + digits(key.most) + unit;
        case Type::text: return "a text";
        case Type::choice: return "one of " + joined(key.choices, ", ");
        case Type::address: return "an IPv4 address with a port, as 127.0.0.1:5443";
        case Type::file: return "a path";
        case Type::list: return "up to " + std::to_string(kItemsMost) + " items, with commas between";
    }
    return {};
}

std::string readValue(const Key& key, std::string_view text, Value& out) {
    out.text = trimmed(text);
    if (isRight(key, out.text, out)) return {};
    return key.name + " = " + out.text.substr(0, kShownMost) + " is not allowed: it takes " + allowed(key);
}

bool Schema::hasSection(const std::string& section) const {
    return section.empty() ||
           std::any_of(keys_.begin(), keys_.end(), [&](const Key& key) { return fits(key, section); });
}

const Key* Schema::find(const Entry& entry, std::string& name) const {
    const auto at = std::find_if(keys_.begin(), keys_.end(), [&](const Key& key) {
        return key.name == entry.key && fits(key, entry.section);
    });
    if (at == keys_.end()) return nullptr;
    name.clear();
    if (at->section.ends_with('*')) name = trimmed(entry.section.substr(at->section.size() - 1));
    return &*at;
}

std::string Schema::unknown(const Entry& entry) const {
    const std::string kind = entry.section.substr(0, entry.section.find(' '));
    std::vector<std::string> sections, names;
    for (const Key& key : keys_) {
        const std::string section =
            key.section.ends_with(" *") ? key.section.substr(0, key.section.size() - 2) : key.section;
        sections.push_back(section);
        if (fits(key, entry.section)) names.push_back(key.name);
    }
    const bool unknownSection = names.empty();
    const std::string word = unknownSection ? kind : entry.key;
    std::string near = nearest(word, unknownSection ? sections : names);
    if (near.empty() && !unknownSection) near = joined(names, ", ");
    std::string out = unknownSection ? "unknown section [" + entry.section + "]"
                                     : "unknown key " + entry.key + " in [" + entry.section + "]";
    return near.empty() ? out : out + "; the nearest known is " + near;
}

void Schema::take(const std::string& file, const std::vector<Entry>& entries,
                  std::vector<Problem>& problems) const {
    std::map<std::pair<std::string, std::string>, int> seen;  // the line of each key
    for (const Entry& entry : entries) {
        if (entry.key.empty()) {
            if (!hasSection(entry.section)) problems.push_back({file, entry.line, unknown(entry)});
            continue;
        }
        if (!hasSection(entry.section)) continue;  // told at its heading
        std::string name;
        const Key* key = find(entry, name);
        if (key == nullptr) {
            problems.push_back({file, entry.line, unknown(entry)});
            continue;
        }
        const auto [first, fresh] = seen.try_emplace({entry.section, entry.key}, entry.line);
        if (!fresh) {
            problems.push_back(
                {file, entry.line, entry.key + " stands already in line " + std::to_string(first->second)});
            continue;
        }
        Value value;
        std::string wrong = readValue(*key, entry.value, value);
        try {
            if (wrong.empty()) key->set(name, value);
        } catch (const Refused& e) {
            wrong = key->name + ": " + e.what();
        }
        if (!wrong.empty()) problems.push_back({file, entry.line, wrong});
    }
}

bool Schema::isLive(std::string_view name) const {
    const auto end = name.find("] ");
    if (!name.starts_with('[') || end == std::string_view::npos) return false;
    std::string ignored;
    const Key* key =
        find({std::string(name.substr(1, end - 1)), std::string(name.substr(end + 2)), "", 0}, ignored);
    return key != nullptr && key->live;
}

std::string Schema::table() const {
    std::string out = "| section | key | type | allowed | default | at SIGHUP | what it does |\n";
    out += "| --- | --- | --- | --- | --- | --- | --- |\n";
    for (const Key& key : keys_) {
        out += "| `[" + key.section + "]` | `" + key.name + "` | " + name(key.type) + " | " + allowed(key) +
               " | " + (key.standard.empty() ? "none" : "`" + key.standard + "`") + " | " +
               (key.live ? "taken" : "next start") + " | " + key.help + " |\n";
    }
    return out;
}

}  // namespace marldale::settings
