#include "protocol/config.h"

#include <algorithm>
#include <charconv>

#include "wire/settings.h"

namespace marldale::protocol {
namespace {

std::string plain(const Json& value) {
    std::string out = value.is_string() ? value.get<std::string>() : value.dump();
    for (char& c : out) {
        if (c == ' ' || c == ',' || c == '\n') c = '_';
    }
    return out;
}

void flatten(const std::string& path, const Json& value, std::string& out);

void flattenList(const std::string& path, const Json& list, std::string& out) {
    const auto nested = [](const Json& item) { return item.is_structured(); };
    if (std::any_of(list.begin(), list.end(), nested)) {
        out += path + ".count=" + std::to_string(list.size()) + '\n';
        for (std::size_t i = 0; i < list.size(); ++i) flatten(path + '.' + std::to_string(i), list[i], out);
        return;
    }
    std::string items;
    for (const Json& item : list) {
        if (!items.empty()) items += ',';
        items += plain(item);
    }
    out += path + '=' + items + '\n';
}

void flatten(const std::string& path, const Json& value, std::string& out) {
    if (value.is_array()) return flattenList(path, value, out);
    if (!value.is_object()) {
        if (!value.is_null()) out += path + '=' + plain(value) + '\n';  // an absent value has no line
        return;
    }
    for (const auto& [key, item] : value.items()) {
        std::string inner = path;
        if (!inner.empty()) inner += '.';
        flatten(inner.append(key), item, out);
    }
}

std::string required(const Json& object, const char* key, const char* path) {
    auto text = textIn(object, key);
    if (!text || text->empty()) throw BadConfig("the configuration has no " + std::string(path));
    return std::move(*text);
}
std::string required(const Json& object, const char* key) { return required(object, key, key); }

const Json& part(const Json& object, const char* key) {
    const auto at = object.find(key);
    if (at == object.end() || !at->is_object()) {
        throw BadConfig("the configuration has no " + std::string(key));
    }
    return *at;
}

std::uint64_t seedIn(const Json& object) {
    const std::string text = required(object, "seed");
    std::uint64_t out = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out, 16);
    if (error != std::errc{} || end != text.data() + text.size()) {
        throw BadConfig("the seed is no hexadecimal number of 64 bits");
    }
    return out;
}

std::vector<std::string> texts(const Json& list) {
    std::vector<std::string> out;
    for (const Json& item : list) out.push_back(item.is_string() ? item.get<std::string>() : "");
    return out;
}

// Names as they came, before the flat form replaces characters in them.
void readNames(const Json& settings, Config& out) {
    if (const auto zones = settings.find("failureDomains"); zones != settings.end())
        out.zones = texts(*zones);
    if (const auto kinds = settings.find("flavors"); kinds != settings.end()) out.kinds = texts(*kinds);
    const auto classes = settings.find("categories");
    if (classes == settings.end()) return;
    for (const Json& item : *classes) {
        out.classes.push_back(item.is_object() ? textIn(item, "name").value_or("") : "");
    }
}

void readSettings(const Json& settings, Config& out, std::vector<std::string>* problems) {
    try {
        out.settings = wire::parseSettings(flattenSettings(settings), problems);
    } catch (const std::exception& e) {
        throw BadConfig(e.what());
    }
    out.fixed += settings.dump();
    readNames(settings, out);
}

}  // namespace

std::string flattenSettings(const Json& settings) {
    std::string out;
    flatten("", settings, out);
    return out;
}

Config parseConfig(std::string_view text, std::vector<std::string>* problems) {
    // One thing that is wrong ends it, or is noted and the rest is read all the same.
    const auto attempt = [problems](const auto& read) {
        try {
            read();
        } catch (const BadConfig& e) {
            if (problems == nullptr) throw;
            problems->emplace_back(e.what());
        }
    };
    Config out;
    const Json object = parseJson(text);
    attempt([&] {
        if (!object.is_object()) throw BadConfig("the configuration is no JSON object");
    });
    if (!object.is_object()) return out;
    attempt([&] { out.name = required(object, "name"); });
    attempt([&] { out.listen = required(object, "listen"); });
    attempt([&] { out.discovery = required(object, "discovery"); });
    attempt([&] { out.relay = required(part(object, "relay"), "address", "relay.address"); });
    if (const auto limits = object.find("limits"); limits != object.end() && limits->is_object()) {
        out.fixed = limits->dump();
        out.sockets = wholeIn<std::uint32_t>(*limits, "sockets", 1U << 20U).value_or(0);
    }
    attempt([&] { readSettings(part(object, "settings"), out, problems); });
    attempt([&] { out.settings.seed = seedIn(object); });
    attempt([&] {
        const auto known = readCatalog(part(object, "known"));
        if (!known) throw BadConfig("the known list can't be read");
        out.known = *known;
    });
    return out;
}

}  // namespace marldale::protocol
