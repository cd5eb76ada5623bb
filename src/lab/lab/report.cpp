#include "lab/report.h"

#include <algorithm>
#include <cstdarg>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <set>
#include <stdexcept>

#include "chart/chart.h"

namespace marldale::lab {
namespace {

__attribute__((format(printf, 1, 2))) std::string format(const char* how, ...) {
    char out[600];
    va_list rest;
    va_start(rest, how);
    std::vsnprintf(out, sizeof out, how, rest);
    va_end(rest);
    return out;
}

struct Group {
    std::size_t scenario = 0, size = 0;
};
std::vector<Group> groupsOf(const Plan& plan) {
    std::vector<Group> out;
    for (std::size_t s = 0; s < plan.scenarios.size(); ++s) {
        for (std::size_t z = 0; z < plan.sizes.size(); ++z) out.push_back({s, z});
    }
    return out;
}
std::string titleOf(const Plan& plan, const Group& g) {
    return plan.scenarios[g.scenario].name + (plan.sizes.size() > 1 ? ", " + plan.sizes[g.size].name : "");
}
// A variant's results of one scenario and size, by seed.
std::map<std::uint64_t, const CellResult*> resultsOf(const Plan& plan, const Results& results, const Group& g,
                                                     std::size_t variant) {
    std::map<std::uint64_t, const CellResult*> out;
    for (std::uint64_t seed = plan.seedFrom; seed <= plan.seedTo; ++seed) {
        const auto at = results.find(keyOf(plan, {g.scenario, g.size, variant, seed}));
        if (at != results.end()) out[seed] = &at->second;
    }
    return out;
}

template <class Of>
std::vector<double> figures(const std::map<std::uint64_t, const CellResult*>& of, const Of& figure) {
    std::vector<double> out;
    for (const auto& [seed, result] : of) out.push_back(figure(*result));
    return out;
}

double p95(const CellResult& r) {
    double out = 0;
    for (const ClassResult& c : r.classes) out = std::max(out, c.p95Ms);
    return out;
}

struct Figure {
    const char* name;
    double (*of)(const CellResult&);
};
const Figure kFigures[] = {
    {"service", [](const CellResult& r) { return r.service; }},
    {"whole run", [](const CellResult& r) { return r.whole; }},
    {"worst window", [](const CellResult& r) { return r.worstWindow; }},
    {"worst class", [](const CellResult& r) { return r.worstClass; }},
    {"messages", [](const CellResult& r) { return static_cast<double>(r.messages); }},
    {"p95 of the slowest class, ms", &p95},
    {"broken rules", [](const CellResult& r) { return static_cast<double>(r.allBroken()); }}};

std::string fileWord(const std::string& text) {
    std::string out;
    for (const char c : text) out += std::isalnum(static_cast<unsigned char>(c)) != 0 ? c : '-';
    return out;
}

}  // namespace

std::string tablesOf(const Plan& plan, const Results& results) {
    std::string out;
    for (const Group& g : groupsOf(plan)) {
        out += "### " + titleOf(plan, g) +
               "\n\n| variant | seeds | service (95%) | worst seed | whole run | worst window |"
               " worst class | p95, ms | messages | broken rules |\n| --- | --- | --- | --- | --- | --- | "
               "--- | --- | --- | --- |\n";
        for (std::size_t v = 0; v < plan.variants.size(); ++v) {
            const auto mine = resultsOf(plan, results, g, v);
            if (mine.empty()) continue;
            const auto service = figures(mine, kFigures[0].of);
            const Interval i = bootstrap(service);
            const auto of = [&](std::size_t figure) { return mean(figures(mine, kFigures[figure].of)); };
            out += format(
                "| %s | %zu | %.3f (%.3f to %.3f) | %.3f | %.3f | %.3f | %.3f | %.0f | %.0f | %.0f |\n",
                plan.variants[v].name.c_str(), mine.size(), i.mean, i.low, i.high,
                *std::min_element(service.begin(), service.end()), of(1), of(2), of(3), of(5), of(4),
                of(6) * static_cast<double>(mine.size()));
        }
        out += "\n";
    }
    return out;
}

std::string csvOf(const Plan& plan, const Results& results) {
    std::string out =
        "scenario,size,variant,seed,service,whole,worst_window,worst_class,wishes,tries,effects,messages,"
        "happenings,broken,hash\n";
    for (const Cell& cell : cellsOf(plan)) {
        const auto at = results.find(keyOf(plan, cell));
        if (at == results.end()) continue;
        const CellResult& r = at->second;
        out +=
            format("%s,%s,%s,%llu,%.6f,%.6f,%.6f,%.6f,%llu,%llu,%llu,%llu,%llu,%llu,%016llx\n",
                   plan.scenarios[cell.scenario].name.c_str(), plan.sizes[cell.size].name.c_str(),
                   plan.variants[cell.variant].name.c_str(), static_cast<unsigned long long>(cell.seed),
                   r.service, r.whole, r.worstWindow, r.worstClass, static_cast<unsigned long long>(r.wishes),
                   static_cast<unsigned long long>(r.tries), static_cast<unsigned long long>(r.effects),
                   static_cast<unsigned long long>(r.messages), static_cast<unsigned long long>(r.happenings),
                   static_cast<unsigned long long>(r.allBroken()), static_cast<unsigned long long>(r.hash));
    }
    return out;
}

std::string Difference::verdict() const {
    if (by.count < 2) return "too few seeds";
    if (by.low == 0 && by.high == 0) return "the same";
    if (!by.clear()) return "may be chance";
    return by.mean > 0 ? "more" : "less";
}

std::vector<Difference> compare(const Plan& plan, const Results& results, const std::string& one,
                                const std::string& other) {
    const auto find = [&](const std::string& name) {
        for (std::size_t v = 0; v < plan.variants.size(); ++v) {
            if (plan.variants[v].name == name) return v;
        }
        throw std::runtime_error("the plan has no variant " + name);
    };
    const std::size_t a = find(one), b = find(other);
    std::vector<Difference> out;
    for (const Group& g : groupsOf(plan)) {
        const auto mine = resultsOf(plan, results, g, a), theirs = resultsOf(plan, results, g, b);
        for (const Figure& figure : kFigures) {
            std::vector<double> by;
            for (const auto& [seed, result] : mine) {
                const auto at = theirs.find(seed);
                if (at != theirs.end()) by.push_back(figure.of(*at->second) - figure.of(*result));
            }
            out.push_back(
                {plan.scenarios[g.scenario].name, plan.sizes[g.size].name, figure.name, bootstrap(by)});
        }
    }
    return out;
}

std::string shown(const std::vector<Difference>& differences, const std::string& one,
                  const std::string& other) {
    std::string out = "From " + one + " to " + other +
                      ", paired by seed; 95% by bootstrap.\n\n| scenario | size | figure | difference | 95% "
                      "| seeds | verdict"
                      " |\n| --- | --- | --- | --- | --- | --- | --- |\n";
    for (const Difference& d : differences) {
        out += format("| %s | %s | %s | %+.4g | %+.4g to %+.4g | %zu | %s |\n", d.scenario.c_str(),
                      d.size.c_str(), d.figure.c_str(), d.by.mean, d.by.low, d.by.high, d.by.count,
                      d.verdict().c_str());
    }
    return out;
}

std::vector<std::string> drawCharts(const Plan& plan, const Results& results, const std::string& directory) {
    struct Drawn {
        const char *name, *title, *label;
        double (*of)(const WindowResult&);
    };
    static const Drawn kDrawn[] = {
        {"service", "Service over time", "worth answered in time, share",
         [](const WindowResult& w) { return w.service; }},
        {"queue", "Jobs at a box when one more comes", "jobs", [](const WindowResult& w) { return w.queue; }},
        {"messages", "Messages to relays", "messages in a window",
         [](const WindowResult& w) { return w.messages; }},
        {"p95", "Answer time", "95th percentile, ms", [](const WindowResult& w) { return w.p95Ms; }}};
    std::vector<std::string> out;
    for (const Group& g : groupsOf(plan)) {
        for (const Drawn& drawn : kDrawn) {
            chart::Chart c;
            c.title = std::string(drawn.title) + ": " + titleOf(plan, g);
            c.xLabel = "virtual time, s";
            c.yLabel = drawn.label;
            std::size_t seeds = 0;
            for (std::size_t v = 0; v < plan.variants.size(); ++v) {
                const auto mine = resultsOf(plan, results, g, v);
                if (mine.empty()) continue;
                seeds = std::max(seeds, mine.size());
                std::map<double, std::vector<double>> at;
                for (const auto& [seed, result] : mine) {
                    for (const WindowResult& w : result->windows) at[w.fromS].push_back(drawn.of(w));
                    if (seed != plan.seedFrom || !c.bands.empty()) continue;
                    for (const FaultResult& f : result->faults) c.bands.push_back({f.name, f.fromS, f.toS});
                }
                chart::Line line{plan.variants[v].name, {}, true};
                for (const auto& [from, values] : at) line.points.emplace_back(from, mean(values));
                c.lines.push_back(std::move(line));
            }
            if (c.lines.empty()) continue;
            c.note = "mean of " + std::to_string(seeds) + " seeds; shaded: faults of the first";
            const std::string stem = fileWord(titleOf(plan, g)) + "-" + drawn.name;
            for (const char* end : {".svg", ".png"}) {
                chart::draw(c, (std::filesystem::path(directory) / (stem + end)).string());
                out.push_back(stem + end);
            }
        }
    }
    return out;
}

void writeReport(const Plan& plan, const RunId& id, const Results& results, const std::string& directory) {
    std::filesystem::create_directories(directory);
    const auto write = [&](const char* name, const std::string& text) {
        std::ofstream file(std::filesystem::path(directory) / name);
        file << text;
        if (!file.flush()) throw std::runtime_error(std::string(name) + " can't be written to " + directory);
    };
    std::string out = "# " + plan.name + "\n\n" + (plan.question.empty() ? "" : plan.question + "\n\n");
    out += format("%zu of %zu runs, marldale %s, build %s.\n\n", results.size(), cellsOf(plan).size(),
                  id.version.c_str(), id.build.c_str());
    out += tablesOf(plan, results);
    for (std::size_t v = 1; v < plan.variants.size(); ++v) {
        out += "### " + plan.variants[0].name + " and " + plan.variants[v].name + "\n\n" +
               shown(compare(plan, results, plan.variants[0].name, plan.variants[v].name),
                     plan.variants[0].name, plan.variants[v].name) +
               "\n";
    }
    for (const std::string& chart : drawCharts(plan, results, directory)) {
        if (chart.ends_with(".svg")) out += "![" + chart + "](" + chart + ")\n\n";
    }
    write("report.md", out);
    write("results.csv", csvOf(plan, results));
}

}  // namespace marldale::lab
