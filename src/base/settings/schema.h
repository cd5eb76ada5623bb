// What keys a settings file may have, and what each may say: name, type, unit, range, default.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "settings/ini.h"

namespace marldale::settings {

// Thrown by a key's `set`: the value is of the right type, and wrong all the same.
struct Refused : std::runtime_error {
    using std::runtime_error::runtime_error;
};

enum class Type { flag, whole, number, text, choice, address, file, list };

struct Value {
    bool flag = false;
    double number = 0;  // of `whole` too
    std::string text;   // as it stands in the file
    std::vector<std::string> items;
    [[nodiscard]] std::int64_t whole() const { return static_cast<std::int64_t>(number); }
};

struct Key {
    std::string section;  // a trailing `*` stands for the name that the file gives: `identity *`
    std::string name;
    Type type = Type::text;
    std::string unit;
    double least = 0, most = 0;  // of numbers
    std::vector<std::string> choices;
    std::string standard;  // what holds where the file is silent; empty: nothing
    bool live = false;     // a new value is taken at SIGHUP; any other holds from the next start on
    std::string help;      // one sentence
    // `name`: what the file has in place of the section's `*`. Called for what the file says only.
    std::function<void(const std::string& name, const Value&)> set;

    // To state a key in one expression.
    Key& range(const char* unitName, double from, double to) {
        unit = unitName;
        least = from;
        most = to;
        return *this;
    }
    Key& oneOf(std::vector<std::string> words) {
        choices = std::move(words);
        return *this;
    }
    Key& otherwise(const char* text) {
        standard = text;
        return *this;
    }
    Key& takenLive() {
        live = true;
        return *this;
    }
    Key& means(const char* sentence) {
        help = sentence;
        return *this;
    }
    Key& to(std::function<void(const std::string& name, const Value&)> setter) {
        set = std::move(setter);
        return *this;
    }
};

class Schema {
public:
    // A key to be stated; the reference holds for good.
    Key& key(const char* section, const char* name, Type type) {
        Key& out = keys_.emplace_back();
        out.section = section;
        out.name = name;
        out.type = type;
        return out;
    }
    [[nodiscard]] const std::deque<Key>& keys() const { return keys_; }

    // Checks every entry and hands on each that is right. An unknown section or key, a second value of one
    // key and a value that its key does not allow become problems with the line and what is allowed.
    void take(const std::string& file, const std::vector<Entry>& entries,
              std::vector<Problem>& problems) const;

    // Whether a key, named as `[section] key`, is taken at SIGHUP.
    [[nodiscard]] bool isLive(std::string_view name) const;

    // A table in Markdown, for the operators' page.
    [[nodiscard]] std::string table() const;

private:
    [[nodiscard]] bool hasSection(const std::string& section) const;
    [[nodiscard]] const Key* find(const Entry& entry, std::string& name) const;
    [[nodiscard]] std::string unknown(const Entry& entry) const;

    std::deque<Key> keys_;
};

// What the type and range allow, in words.
[[nodiscard]] std::string allowed(const Key& key);

// The value of a key; an empty string, or what is wrong.
[[nodiscard]] std::string readValue(const Key& key, std::string_view text, Value& out);

// The candidate that takes the fewest changes of letters; empty if none is near.
[[nodiscard]] std::string nearest(std::string_view word, const std::vector<std::string>& candidates);

}  // namespace marldale::settings
