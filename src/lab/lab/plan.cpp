#include "lab/plan.h"

#include <algorithm>
#include <cstdio>
#include <filesystem>

#include "settings/schema.h"

namespace marldale::lab {
namespace {

using settings::Problem;
using settings::Refused;
using settings::Schema;
using settings::Type;
using settings::Value;

template <class T>
T& named(std::vector<T>& all, const std::string& name) {
    for (T& one : all) {
        if (one.name == name) return one;
    }
    all.emplace_back().name = name;
    return all.back();
}

emulator::Parameters parametersIn(const std::vector<std::string>& items) {
    emulator::Parameters out;
    for (const std::string& item : items) {
        const std::size_t at = item.find('=');
        if (at == std::string::npos || at == 0) throw Refused(item + " is no NAME=VALUE");
        std::string value = item.substr(at + 1), name = item.substr(0, at);
        while (!name.empty() && name.back() == ' ') name.pop_back();
        value.erase(0, value.find_first_not_of(' '));
        out[name] = value;
    }
    return out;
}

void addKeys(Schema& schema, Plan& plan, const std::string& directory) {
    schema.key("experiment", "name", Type::text)
        .means("a short name")
        .to([&](const std::string&, const Value& v) { plan.name = v.text; });
    schema.key("experiment", "question", Type::text)
        .means("what is asked")
        .to([&](const std::string&, const Value& v) { plan.question = v.text; });
    schema.key("experiment", "seeds", Type::text)
        .otherwise("1-10")
        .means("FROM-TO")
        .to([&](const std::string&, const Value& v) {
            unsigned long long from = 0, to = 0;
            char rest = 0;
            if (std::sscanf(v.text.c_str(), "%llu-%llu%c", &from, &to, &rest) != 2 || from > to ||
                to - from > 9999) {
                throw Refused(v.text + " is no FROM-TO, as 1-20");
            }
            plan.seedFrom = from;
            plan.seedTo = to;
        });
    schema.key("scenario *", "file", Type::file)
        .means("beside the plan")
        .to([&, directory](const std::string& n, const Value& v) {
            named(plan.scenarios, n).file =
                (std::filesystem::path(directory) / v.text).lexically_normal().string();
        });
    schema.key("size *", "set", Type::list)
        .means("NAME=VALUE of the scenarios' parameters")
        .to([&](const std::string& n, const Value& v) {
            named(plan.sizes, n).parameters = parametersIn(v.items);
        });
    schema.key("variant *", "policy", Type::choice)
        .oneOf({"module", "even", "zones", "least_load", "full_sight"})
        .means("who decides; else as the scenario says")
        .to([&](const std::string& n, const Value& v) { named(plan.variants, n).policy = v.text; });
    schema.key("variant *", "learn", Type::choice)
        .oneOf({"cold", "snapshot", "peer"})
        .means("what a planner that restarts is told")
        .to([&](const std::string& n, const Value& v) { named(plan.variants, n).learn = v.text; });
    schema.key("variant *", "program", Type::file)
        .means("another build of marldale_lab: an earlier version")
        .to([&, directory](const std::string& n, const Value& v) {
            named(plan.variants, n).program =
                (std::filesystem::path(directory) / v.text).lexically_normal().string();
        });
    schema.key("variant *", "set", Type::list)
        .means("NAME=VALUE of the scenarios' parameters")
        .to([&](const std::string& n, const Value& v) {
            named(plan.variants, n).parameters = parametersIn(v.items);
        });
}

std::string wordIn(const std::string& text) { return text.empty() ? "-" : text; }

}  // namespace

Plan readPlan(const std::string& path, std::vector<Problem>& problems) {
    Plan out;
    if (!settings::readFile(path, out.text, problems)) return out;
    const auto entries = settings::readIni(path, out.text, problems);
    Schema schema;
    addKeys(schema, out, std::filesystem::path(path).parent_path().string());
    schema.take(path, entries, problems);
    if (out.name.empty()) out.name = std::filesystem::path(path).stem().string();
    if (out.scenarios.empty()) problems.push_back({path, 0, "there is no [scenario NAME]"});
    if (out.variants.empty()) out.variants.emplace_back().name = "module";
    if (out.sizes.empty()) out.sizes.emplace_back().name = "usual";
    if (!problems.empty()) return out;
    // A scenario that can't be read is told now, not after an hour.
    for (const Cell& cell : cellsOf(out)) {
        if (cell.seed == out.seedFrom) (void)scenarioOf(out, cell, problems);
        if (!problems.empty()) break;
    }
    return out;
}

std::vector<Cell> cellsOf(const Plan& plan) {
    std::vector<Cell> out;
    // All variants of one seed before the next seed: what is stopped early can be compared all the same.
    for (std::uint64_t seed = plan.seedFrom; seed <= plan.seedTo; ++seed) {
        for (std::size_t s = 0; s < plan.scenarios.size(); ++s) {
            for (std::size_t z = 0; z < plan.sizes.size(); ++z) {
                for (std::size_t v = 0; v < plan.variants.size(); ++v) out.push_back({s, z, v, seed});
            }
        }
    }
    return out;
}

emulator::Parameters parametersOf(const Plan& plan, const Cell& cell) {
    emulator::Parameters out = plan.sizes[cell.size].parameters;
    for (const auto& [name, value] : plan.variants[cell.variant].parameters) out[name] = value;
    return out;
}

emulator::Scenario scenarioOf(const Plan& plan, const Cell& cell, std::vector<Problem>& problems) {
    const Variant& variant = plan.variants[cell.variant];
    emulator::Scenario out =
        emulator::readScenario(plan.scenarios[cell.scenario].file, parametersOf(plan, cell), problems);
    out.run.seed = cell.seed;
    for (const auto kind :
         {emulator::PolicyKind::module, emulator::PolicyKind::even, emulator::PolicyKind::zones,
          emulator::PolicyKind::leastLoad, emulator::PolicyKind::fullSight}) {
        if (variant.policy == emulator::name(kind)) out.planner.policy = kind;
    }
    if (variant.learn == "cold") out.planner.learn = emulator::Learn::cold;
    if (variant.learn == "snapshot") out.planner.learn = emulator::Learn::snapshot;
    if (variant.learn == "peer") out.planner.learn = emulator::Learn::peer;
    return out;
}

std::string keyOf(const Plan& plan, const Cell& cell) {
    return wordIn(plan.scenarios[cell.scenario].name) + "/" + wordIn(plan.sizes[cell.size].name) + "/" +
           wordIn(plan.variants[cell.variant].name) + "/" + std::to_string(cell.seed);
}

}  // namespace marldale::lab
