#include "sources/import_settings.h"

#include <algorithm>
#include <charconv>

namespace marldale::sources {
namespace {

using settings::Refused;
using settings::Schema;
using settings::Type;
using settings::Value;

ClassRule& ruleOf(Rules& rules, const std::string& name) {
    if (name.size() > 60) throw Refused("a class's name has 60 bytes at most");
    if (name == "other") throw Refused("`other` is what fits no class");
    for (ClassRule& rule : rules.classes) {
        if (rule.name == name) return rule;
    }
    if (rules.classes.size() >= 64) throw Refused("there are 64 classes at most");
    rules.classes.emplace_back().name = name;
    return rules.classes.back();
}

int readStatus(std::string_view text) {
    int out = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out);
    if (error != std::errc{} || end != text.data() + text.size() || out < 0 || out > 599) {
        throw Refused(std::string(text) + " is no status, as 200, 5xx or 400-499");
    }
    return out;
}

// `200`, `5xx`, `400-499`; 0 stands for no status.
std::pair<int, int> readStatuses(std::string_view text) {
    if (text.size() == 3 && text.substr(1) == "xx" && text[0] >= '1' && text[0] <= '5') {
        const int hundred = (text[0] - '0') * 100;
        return {hundred, hundred + 99};
    }
    const auto dash = text.find('-');
    if (dash == std::string_view::npos) return {readStatus(text), readStatus(text)};
    const std::pair<int, int> out{readStatus(text.substr(0, dash)), readStatus(text.substr(dash + 1))};
    if (out.second < out.first) throw Refused(std::string(text) + " is no span of statuses");
    return out;
}

std::pair<std::string, std::string> readHeader(std::string text) {
    const auto colon = text.find(':');
    if (colon == std::string::npos || colon == 0) throw Refused(text + " is no header, as accept: image/*");
    std::string name = text.substr(0, colon), pattern = text.substr(colon + 1);
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
    pattern.erase(0, pattern.find_first_not_of(' '));
    for (const char* secret : {"cookie", "authorization", "proxy-authorization"}) {
        if (name == secret) throw Refused(name + " is a secret, and is not kept for rules to look at");
    }
    return {name, pattern};
}

void addClassKeys(Schema& schema, Rules& rules) {
    const auto list = [&](const char* name, const char* means, auto put) {
        schema.key("class *", name, Type::list)
            .means(means)
            .to([&rules, put](const std::string& of, const Value& v) { put(ruleOf(rules, of), v.items); });
    };
    const auto whole = [&](const char* name, const char* unit, double least, double most,
                           const char* otherwise, const char* means, auto put) {
        schema.key("class *", name, Type::whole)
            .range(unit, least, most)
            .otherwise(otherwise)
            .means(means)
            .to([&rules, put](const std::string& of, const Value& v) { put(ruleOf(rules, of), v.whole()); });
    };
    using Items = std::vector<std::string>;
    list("method", "methods, as GET", [](ClassRule& rule, const Items& items) { rule.methods = items; });
    list("host", "hosts; * and ? stand for any characters, and for one",
         [](ClassRule& rule, const Items& items) { rule.hosts = items; });
    list("path", "paths without the query, as /cutout/*",
         [](ClassRule& rule, const Items& items) { rule.paths = items; });
    list("status", "statuses of the reply, as 200, 5xx, 400-499; 0: none",
         [](ClassRule& rule, const Items& items) {
             for (const std::string& item : items) rule.statuses.push_back(readStatuses(item));
         });
    list("header", "headers of the request (HAR only), as accept: image/*; all must fit",
         [](ClassRule& rule, const Items& items) {
             for (const std::string& item : items) rule.headers.push_back(readHeader(item));
         });
    whole("size_least", "bytes", 0, 1e15, "", "the reply's body has at least so many",
          [](ClassRule& rule, std::int64_t bytes) { rule.sizeLeast = bytes; });
    whole("size_most", "bytes", 0, 1e15, "", "and at most so many",
          [](ClassRule& rule, std::int64_t bytes) { rule.sizeMost = bytes; });
    schema.key("class *", "effect", Type::choice)
        .oneOf({"none", "once"})
        .otherwise("none")
        .means("once: a request must never run twice (a booking)")
        .to([&rules](const std::string& of, const Value& v) {
            ruleOf(rules, of).hasEffect = v.text == "once";
        });
    whole("retry_gap_ms", "ms", 0, 600000, "10000", "the longest wait of a client between two tries",
          [](ClassRule& rule, std::int64_t ms) { rule.chain.maxGap = ms * 1000; });
    whole("tries_most", "tries", 1, 100, "4", "that a client makes at most for one wish",
          [](ClassRule& rule, std::int64_t tries) { rule.chain.maxTries = static_cast<unsigned>(tries); });
}

void addJsonKeys(Schema& schema, JsonFields& json) {
    const auto member = [&](const char* name, std::string& into, const char* means) {
        schema.key("json", name, Type::text)
            .otherwise(into.empty() ? "none" : into.c_str())
            .means(means)
            .to([&into](const std::string&, const Value& v) { into = v.text == "none" ? "" : v.text; });
    };
    member("time", json.time,
           "member with the time: ISO 8601, as in access logs, or seconds or milliseconds since 1970");
    member("request", json.request, "member with the request line, if there is one");
    member("method", json.method, "member with the method");
    member("host", json.host, "member with the host");
    member("target", json.target, "member with the path, or the URL");
    member("status", json.status, "member with the status");
    member("bytes", json.bytes, "member with the size of the reply's body");
    member("duration", json.duration, "member with the duration");
    member("client", json.client, "member with the client");
    member("user", json.user, "member with the user");
    member("request_id", json.requestId, "member with the request id");
    schema.key("json", "duration_unit", Type::choice)
        .oneOf({"s", "ms", "us"})
        .otherwise("s")
        .means("unit of the duration")
        .to([&json](const std::string&, const Value& v) {
            json.durationUnit = v.text == "s" ? 1000000 : v.text == "ms" ? 1000 : 1;
        });
    schema.key("json", "time_is", Type::choice)
        .oneOf({"start", "end"})
        .otherwise("end")
        .means("whether the time is that of the request's start or end")
        .to([&json](const std::string&, const Value& v) { json.timeIsEnd = v.text == "end"; });
}

void addLogKeys(Schema& schema, ImportSettings& into) {
    schema.key("log", "format", Type::text)
        .otherwise("combined")
        .means("common, combined, json, or a format string of nginx ($remote_addr ...) or Apache (%h ...)")
        .to([&into](const std::string&, const Value& v) {
            std::string wrong;
            if (v.text != "json" && !LogFormat::compile(v.text, wrong)) throw Refused(wrong);
            into.format = v.text;
        });
    schema.key("log", "utc_offset_minutes", Type::whole)
        .range("minutes", -1440, 1440)
        .otherwise("0")
        .means("east of UTC, of stamps that do not tell")
        .to([&into](const std::string&, const Value& v) {
            into.assumedOffset = static_cast<int>(v.whole());
        });
}

void addClockKeys(Schema& schema, ClockSettings& clock) {
    const auto span = [&](const char* name, const char* unit, Micros micros, double least, double most,
                          const char* otherwise, Micros& into, const char* means) {
        schema.key("clock", name, Type::whole)
            .range(unit, least, most)
            .otherwise(otherwise)
            .means(means)
            .to([&into, micros](const std::string&, const Value& v) { into = v.whole() * micros; });
    };
    span("window_ms", "ms", 1000, 0, 3600000, "5000", clock.window,
         "how far out of order entries of one file may come");
    span("quiet_most_s", "s", 1000000, 1, 864000, "21600", clock.quietMost,
         "a gap that is longer is a step of the clock");
    span("longest_ms", "ms", 1000, 0, 3600000, "60000", clock.longest,
         "the longest request that a stamp of its end is moved back by, in order");
    schema.key("clock", "seed", Type::whole)
        .range("", 0, 1e15)
        .otherwise("1")
        .means("of the spread within whole seconds")
        .to([&clock](const std::string&, const Value& v) {
            clock.seed = static_cast<std::uint64_t>(v.whole());
        });
}

void addImportKeys(Schema& schema, ImportSettings& into) {
    schema.key("import", "bad_share_most", Type::number)
        .range("", 0, 1)
        .otherwise("0.05")
        .means("share of bad entries beyond which the import ends with status 3")
        .to([&into](const std::string&, const Value& v) { into.badShareMost = v.number; });
    schema.key("import", "others", Type::choice)
        .oneOf({"keep", "leave-out"})
        .otherwise("keep")
        .means("entries that fit no class: of the class `other`, or left out and counted")
        .to([&into](const std::string&, const Value& v) {
            into.rules.leaveOthersOut = v.text == "leave-out";
        });
    schema.key("import", "queries", Type::choice)
        .oneOf({"drop", "keep"})
        .otherwise("drop")
        .means("queries of targets; they may hold secrets")
        .to([&into](const std::string&, const Value& v) { into.keepQueries = v.text == "keep"; });
}

}  // namespace

settings::Schema importSchema(ImportSettings& into) {
    Schema schema;
    addClassKeys(schema, into.rules);
    addLogKeys(schema, into);
    addJsonKeys(schema, into.json);
    addClockKeys(schema, into.clock);
    addImportKeys(schema, into);
    return schema;
}

ImportSettings readImportSettings(const std::string& path, std::vector<settings::Problem>& problems) {
    ImportSettings out;
    std::string text;
    if (path.empty() || !settings::readFile(path, text, problems)) return out;
    importSchema(out).take(path, settings::readIni(path, text, problems), problems);
    return out;
}

}  // namespace marldale::sources
