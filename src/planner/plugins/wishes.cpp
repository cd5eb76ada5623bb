#include "plugins/wishes.h"

#include <algorithm>
#include <cctype>
#include <cmath>
#include <optional>

namespace marldale::plugins {
namespace {

class Reader {
public:
    Reader(const std::string& hook, std::vector<Clip>& clips) : hook_(hook), clips_(clips) {}

    void refuse(const std::string& what, const std::string& why) const {
        if (clips_.size() < kWishesMost) clips_.push_back({hook_, what, why});
    }
    // The items of a list; a table without an item may come as an empty object.
    template <class Take>
    void each(const Json& from, const char* key, std::size_t most, const Take& take) const {
        const auto at = from.find(key);
        if (at == from.end() || at->is_null() || (at->is_object() && at->empty())) return;
        if (!at->is_array()) return refuse(key, "it is no list");
        std::size_t taken = 0;
        for (const Json& item : *at) {
            if (taken++ == most) return refuse(key, "there are more than " + std::to_string(most));
            take(item);
        }
    }
    [[nodiscard]] std::optional<std::string> text(const Json& from, const char* key) const {
        const auto at = from.find(key);
        if (at == from.end() || !at->is_string()) return std::nullopt;
        return at->get<std::string>();
    }
    // A share from 0 to 1; more than 1 would raise what the module has ordered.
    [[nodiscard]] std::optional<double> share(const Json& from, const char* key,
                                              const std::string& what) const {
        const auto at = from.find(key);
        const bool number = at != from.end() && at->is_number() && std::isfinite(at->get<double>());
        if (!number) return refuse(what, std::string(key) + " is no number"), std::nullopt;
        const double out = at->get<double>();
        if (out < 0) return refuse(what, std::string(key) + " is below 0"), std::nullopt;
        if (out > 1) return refuse(what, "nothing is raised above what the module says"), std::nullopt;
        return out;
    }

private:
    const std::string& hook_;
    std::vector<Clip>& clips_;
};

void readLevels(const Reader& reader, const Json& from, Wishes& out) {
    reader.each(from, "levels", kWishesMost, [&](const Json& item) {
        const auto zone = item.is_object() ? reader.text(item, "zone") : std::nullopt;
        const auto klass = item.is_object() ? reader.text(item, "class") : std::nullopt;
        if (!zone || !klass) return reader.refuse("a level", "it needs zone, class and share");
        const auto share = reader.share(item, "share", "level of " + plain(*klass) + " at " + plain(*zone));
        if (share) out.levels.push_back({*zone, *klass, *share});
    });
}

void readBoxes(const Reader& reader, const Json& from, Wishes& out) {
    reader.each(from, "boxes", kWishesMost, [&](const Json& item) {
        const auto box = item.is_object() ? reader.text(item, "server") : std::nullopt;
        if (!box) return reader.refuse("a box", "it needs server, and weight or hold");
        BoxWish wish;
        wish.box = *box;
        const auto hold = item.find("hold");
        wish.hold = hold != item.end() && hold->is_boolean() && hold->get<bool>();
        if (item.contains("weight")) {
            const auto factor = reader.share(item, "weight", "weight of " + plain(*box));
            if (!factor && !wish.hold) return;
            wish.factor = factor.value_or(1);
        }
        out.boxes.push_back(std::move(wish));
    });
}

}  // namespace

bool isHookName(const std::string& text) {
    return !text.empty() && text.size() <= 64 && std::all_of(text.begin(), text.end(), [](unsigned char c) {
        return std::isalnum(c) != 0 || c == '_' || c == '-' || c == '.';
    });
}

std::string plain(const std::string& text) {
    std::string out;
    for (const char c : text) {
        if (out.size() == kTextMost) return out + "...";
        out.push_back(c >= ' ' && c < '\x7f' ? c : '?');
    }
    return out;
}

Wishes readWishes(const std::string& hook, const Json& from, std::vector<Clip>& clips) {
    const Reader reader(hook, clips);
    Wishes out;
    if (from.is_null() || (from.is_array() && from.empty())) return out;
    if (!from.is_object()) {
        reader.refuse("on_tick", "it returned no table");
        return out;
    }
    readLevels(reader, from, out);
    readBoxes(reader, from, out);
    reader.each(from, "log", kLogLinesMost, [&](const Json& item) {
        if (!item.is_string()) return reader.refuse("log", "a line is no text");
        out.log.push_back(plain(item.get<std::string>()));
    });
    const auto counts = from.find("count");
    if (counts == from.end() || !counts->is_object()) return out;
    for (const auto& [name, value] : counts->items()) {
        const bool number = value.is_number() && std::isfinite(value.get<double>());
        if (!number || !isHookName(name) || out.counts.size() == kCountsMost) {
            reader.refuse("count " + plain(name), "it is no number, has no plain name, or is one too many");
            continue;
        }
        out.counts[name] = value.get<double>();
    }
    return out;
}

std::vector<RowWish> readRowWishes(const std::string& hook, const Json& from, std::size_t rows,
                                   std::vector<Clip>& clips) {
    const Reader reader(hook, clips);
    std::vector<RowWish> out;
    if (from.is_null() || (from.is_object() && from.empty())) return out;
    if (!from.is_array()) {
        reader.refuse("on_rows", "it returned no list");
        return out;
    }
    for (const Json& item : from) {
        const auto row = item.is_object() ? item.find("row") : item.end();
        // As Lua counts, from 1.
        const bool number = item.is_object() && row != item.end() && row->is_number_integer() &&
                            row->get<std::int64_t>() >= 1 &&
                            static_cast<std::uint64_t>(row->get<std::int64_t>()) <= rows;
        if (!number || out.size() == rows) {
            reader.refuse("a row", "row is none of those that were told");
            continue;
        }
        RowWish wish;
        wish.row = static_cast<std::size_t>(row->get<std::int64_t>()) - 1;
        const auto leave = item.find("leave_out");
        wish.leaveOut = leave != item.end() && leave->is_boolean() && leave->get<bool>();
        wish.klass = reader.text(item, "class").value_or("");
        if (wish.leaveOut || !wish.klass.empty()) out.push_back(std::move(wish));
    }
    return out;
}

}  // namespace marldale::plugins
