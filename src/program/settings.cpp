#include "program/settings.h"

#include <algorithm>
#include <set>

namespace marldale::program {
namespace {

using settings::Schema;
using settings::Type;
using settings::Value;

void addLog(Schema& schema, LogSettings& log) {
    schema.key("log", "form", Type::choice)
        .oneOf({"text", "json"})
        .otherwise("text")
        .takenLive()
        .means("lines for people, or one JSON object a line")
        .to([&log](const std::string&, const Value& v) {
            log.form = v.text == "json" ? LogForm::json : LogForm::text;
        });
    schema.key("log", "lines_most", Type::whole)
        .range("lines", 1, 1000)
        .otherwise("10")
        .takenLive()
        .means("lines of one topic that are written within `within_s`; those over it are counted")
        .to([&log](const std::string&, const Value& v) { log.linesMost = static_cast<int>(v.whole()); });
    schema.key("log", "within_s", Type::whole)
        .range("s", 1, 3600)
        .otherwise("10")
        .takenLive()
        .means("the span that `lines_most` counts for")
        .to([&log](const std::string&, const Value& v) { log.within = std::chrono::seconds(v.whole()); });
}

}  // namespace

Schema schemaOf(OwnSettings& into) {
    Schema out;
    addLog(out, into.log);
    return out;
}

OwnSettings readOwnSettings(const std::string& path, std::vector<settings::Problem>& problems) {
    OwnSettings out;
    std::string text;
    const auto before = static_cast<std::ptrdiff_t>(problems.size());
    if (path.empty() || !settings::readFile(path, text, problems)) return out;
    const auto entries = settings::readIni(path, text, problems);
    schemaOf(out).take(path, entries, problems);
    for (const settings::Entry& entry : entries) {
        if (!entry.key.empty()) out.said["[" + entry.section + "] " + entry.key] = entry.value;
    }
    std::stable_sort(problems.begin() + before, problems.end(),
                     [](const auto& a, const auto& b) { return a.line < b.line; });
    return out;
}

std::vector<std::string> changedForNextStart(const OwnSettings& before, const OwnSettings& after) {
    OwnSettings none;
    const Schema schema = schemaOf(none);
    std::set<std::string> names;
    for (const auto* said : {&before.said, &after.said}) {
        for (const auto& [name, text] : *said) names.insert(name);
    }
    std::vector<std::string> out;
    for (const std::string& name : names) {
        const auto was = before.said.find(name), is = after.said.find(name);
        const bool same = was != before.said.end() && is != after.said.end() && was->second == is->second;
        if (!same && !schema.isLive(name)) out.push_back(name);
    }
    return out;
}

}  // namespace marldale::program
