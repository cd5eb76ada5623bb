// marldale emulate and marldale experiment.
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <thread>

#include "chart/chart.h"
#include "lab/explain.h"
#include "lab/report.h"
#include "lab/runner.h"
#include "lab/search.h"

namespace {

using marldale::emulator::Event;
using marldale::emulator::Scenario;
using marldale::lab::CellResult;
using marldale::settings::Problem;

enum Status { kRight = 0, kFailed = 1, kMisunderstood = 2, kRuleBroken = 3, kStopped = 4 };

std::atomic<bool> stopped = false;
void onSignal(int) { stopped = true; }

struct ScenarioAsked {
    std::string file, policy, learn, json, log, chart;
    std::vector<std::string> set;
    std::uint64_t seed = 0;
    double duration = 0;
    bool hasSeed = false, asJson = false, history = false;
};

bool told(const std::vector<Problem>& problems) {
    for (const Problem& p : problems) std::fprintf(stderr, "%s\n", p.shown().c_str());
    return !problems.empty();
}

marldale::emulator::Parameters parametersIn(const std::vector<std::string>& set) {
    marldale::emulator::Parameters out;
    for (const std::string& item : set) {
        const std::size_t at = item.find('=');
        if (at == std::string::npos || at == 0) throw std::runtime_error(item + " is no NAME=VALUE");
        out[item.substr(0, at)] = item.substr(at + 1);
    }
    return out;
}

std::optional<Scenario> scenarioOf(const ScenarioAsked& asked) {
    std::vector<Problem> problems;
    Scenario out = marldale::emulator::readScenario(asked.file, parametersIn(asked.set), problems);
    if (told(problems)) return std::nullopt;
    if (asked.hasSeed) out.run.seed = asked.seed;
    if (asked.duration > 0) out.run.duration = static_cast<marldale::Micros>(asked.duration * 1e6);
    using marldale::emulator::PolicyKind;
    for (const auto kind : {PolicyKind::module, PolicyKind::even, PolicyKind::zones, PolicyKind::leastLoad,
                            PolicyKind::fullSight}) {
        if (asked.policy == marldale::emulator::name(kind)) out.planner.policy = kind;
    }
    using marldale::emulator::Learn;
    if (asked.learn == "cold") out.planner.learn = Learn::cold;
    if (asked.learn == "snapshot") out.planner.learn = Learn::snapshot;
    if (asked.learn == "peer") out.planner.learn = Learn::peer;
    return out;
}

void showResult(const Scenario& s, const CellResult& r, bool history) {
    std::printf("%s, seed %llu: %s\n", s.name.c_str(), static_cast<unsigned long long>(s.run.seed),
                s.teaches.empty() ? "" : s.teaches.c_str());
    std::printf("  service %.4f (whole run %.4f, worst %.0f s %.4f, worst class %.4f)\n", r.service, r.whole,
                static_cast<double>(s.run.window) / 1e6, r.worstWindow, r.worstClass);
    std::printf("  %llu requests, %llu tries, %llu effects, %llu messages to relays\n",
                static_cast<unsigned long long>(r.wishes), static_cast<unsigned long long>(r.tries),
                static_cast<unsigned long long>(r.effects), static_cast<unsigned long long>(r.messages));
    for (const auto& c : r.classes) {
        std::printf(
            "  %-14s %7.0f requests, %.4f in time, refused %.2f%%, failed %.2f%%, late %.2f%%; p50 %.0f, p95"
            " %.0f, p99 %.0f ms\n",
            c.name.c_str(), c.wishes, c.service, 100 * c.refused, 100 * c.failed, 100 * c.late, c.p50Ms,
            c.p95Ms, c.p99Ms);
    }
    for (const auto& f : r.faults) std::printf("  %6.1f to %6.1f s  %s\n", f.fromS, f.toS, f.name.c_str());
    for (std::size_t i = 0; i < std::size(r.broken); ++i) {
        std::printf("  %-28s %s\n", marldale::emulator::name(static_cast<marldale::emulator::Rule>(i)),
                    r.broken[i] == 0 ? "kept" : ("BROKEN " + std::to_string(r.broken[i]) + " times").c_str());
    }
    for (const auto& v : r.violations) {
        std::printf("    %.2f s: %s\n", v.atS, v.text.c_str());
        for (const std::string& line : v.history) {
            if (history) std::printf("        %s\n", line.c_str());
        }
    }
    std::printf("  event log %016llx, %llu happenings in %.0f ms: %.0f virtual seconds a second\n",
                static_cast<unsigned long long>(r.hash), static_cast<unsigned long long>(r.happenings),
                r.wallMs, static_cast<double>(s.run.duration) / 1e3 / r.wallMs);
}

void drawRun(const Scenario& s, const CellResult& r, const std::string& path) {
    marldale::chart::Chart c;
    c.title = s.name + ", seed " + std::to_string(s.run.seed);
    c.xLabel = "virtual time, s";
    c.yLabel = "share";
    c.note = std::to_string(s.fleet.boxes) + " boxes, " + std::to_string(s.fleet.relays) + " relays, " +
             std::to_string(s.fleet.planners) + " planners";
    marldale::chart::Line service{"worth answered in time", {}, true}, refused{"refused at once", {}, true};
    for (const auto& w : r.windows) {
        service.points.emplace_back(w.fromS, w.service);
        refused.points.emplace_back(w.fromS, w.wishes > 0 ? w.refused / w.wishes : 0);
    }
    c.lines = {service, refused};
    for (const auto& f : r.faults) c.bands.push_back({f.name, f.fromS, f.toS});
    marldale::chart::draw(c, path);
}

int runCommand(const ScenarioAsked& asked) {
    const auto scenario = scenarioOf(asked);
    if (!scenario) return kMisunderstood;
    const CellResult result = marldale::lab::play(*scenario, asked.log);
    if (asked.asJson) {
        std::puts(marldale::lab::toJson(result).c_str());
        return kRight;
    }
    showResult(*scenario, result, asked.history);
    if (!asked.chart.empty()) drawRun(*scenario, result, asked.chart);
    return result.allBroken() == 0 ? kRight : kRuleBroken;
}

int checkCommand(const std::vector<std::string>& files) {
    std::vector<Problem> problems;
    for (const std::string& file : files) {
        const Scenario s = marldale::emulator::readScenario(file, {}, problems);
        if (problems.empty()) std::printf("%s: %s\n", s.name.c_str(), s.teaches.c_str());
    }
    return told(problems) ? kFailed : kRight;
}

void showEvents(const char* title, const std::vector<Event>& events) {
    std::printf("%s\n", title);
    for (const Event& e : events) std::printf("  %s\n", marldale::emulator::shown(e).c_str());
}

struct ExplainAsked {
    std::string log, other, ended;
    std::uint32_t wish = 0;
    bool hasWish = false, doubled = false;
};

int explainCommand(const ExplainAsked& asked) {
    using marldale::emulator::End;
    if (!asked.other.empty()) {
        const auto parting = marldale::lab::partingOf(asked.log, asked.other);
        if (!parting.parts) {
            std::puts("the two logs are the same");
            return kRight;
        }
        std::printf("they part at record %llu\n", static_cast<unsigned long long>(parting.record));
        showEvents("both:", parting.before);
        showEvents("then the one:", parting.one);
        showEvents("and the other:", parting.other);
        return kFailed;
    }
    if (asked.hasWish) {
        const auto chain = marldale::lab::chainOf(asked.log, asked.wish);
        if (chain.empty()) throw std::runtime_error("there is no wish " + std::to_string(asked.wish));
        showEvents(("wish " + std::to_string(asked.wish) + ":").c_str(), chain);
        return kRight;
    }
    std::vector<std::uint32_t> found;
    if (asked.doubled) found = marldale::lab::wishesDoubled(asked.log, 20);
    for (int e = 0; e < static_cast<int>(End::count_) && !asked.doubled; ++e) {
        std::string word = marldale::emulator::name(static_cast<End>(e));
        if (word == asked.ended) found = marldale::lab::wishesThatEnded(asked.log, static_cast<End>(e), 20);
    }
    for (const std::uint32_t wish : found) std::printf("%u\n", wish);
    return kRight;
}

struct SearchAsked {
    ScenarioAsked scenario;
    marldale::lab::SearchSettings settings;
    std::vector<std::string> kinds;
    std::string out;
};

void writeScenario(const ScenarioAsked& asked, const Scenario& s, const std::string& path) {
    std::ofstream file(path);
    file << "; Found by search: " << s.faults.size()
         << " faults.\n[include]\nfile = " << std::filesystem::absolute(asked.file).string()
         << "\n\n[run]\nseed = " << s.run.seed << "\n";
    for (const auto& f : s.faults) file << "\n" << marldale::emulator::shown(f);
    if (!file.flush()) throw std::runtime_error(path + " can't be written");
}

int searchCommand(const SearchAsked& asked) {
    auto base = scenarioOf(asked.scenario);
    if (!base) return kMisunderstood;
    base->faults.clear();
    marldale::lab::SearchSettings settings = asked.settings;
    for (const std::string& word : asked.kinds) {
        for (int k = 0; k < static_cast<int>(marldale::emulator::FaultKind::count_); ++k) {
            const auto kind = static_cast<marldale::emulator::FaultKind>(k);
            if (word == marldale::emulator::name(kind)) settings.kinds.push_back(kind);
        }
    }
    const auto tell = [](const std::string& line) {
        std::printf("%s\n", line.c_str());
        std::fflush(stdout);
    };
    const auto worst = marldale::lab::searchWorst(*base, settings, tell);
    const auto small = marldale::lab::shrink(worst.scenario, settings.shrink, tell);
    showResult(small.scenario, small.result, false);
    if (!asked.out.empty()) writeScenario(asked.scenario, small.scenario, asked.out);
    return kRight;
}

struct ExperimentAsked {
    std::string plan, store = "results.sqlite", out = "report", one, other;
    std::int64_t number = 0;  // 0: this plan's, by this build
    unsigned threads = std::max(1U, std::thread::hardware_concurrency());
};

marldale::lab::RunId idOf(const marldale::lab::Plan& plan) {
    return {plan.name, plan.text, MARLDALE_VERSION, marldale::lab::buildHash(), marldale::lab::hostName()};
}

std::optional<marldale::lab::Plan> planOf(const ExperimentAsked& asked) {
    std::vector<Problem> problems;
    marldale::lab::Plan out = marldale::lab::readPlan(asked.plan, problems);
    if (told(problems)) return std::nullopt;
    return out;
}

int experimentRun(const ExperimentAsked& asked) {
    const auto plan = planOf(asked);
    if (!plan) return kMisunderstood;
    marldale::lab::Store store(asked.store);
    const std::int64_t number = store.experiment(idOf(*plan));
    std::signal(SIGINT, onSignal);
    std::signal(SIGTERM, onSignal);
    const bool terminal = isatty(STDERR_FILENO) != 0;
    std::size_t done = 0, all = 0;
    marldale::lab::runPlan(
        *plan, store, number, asked.threads, stopped, [&](const marldale::lab::Progress& p) {
            done = p.done;
            all = p.all;
            if (terminal)
                std::fprintf(stderr, "\r%zu of %zu runs, %.0f s left   ", p.done, p.all, p.secondsLeft);
        });
    if (terminal) std::fputc('\n', stderr);
    if (stopped) {
        std::fprintf(stderr, "stopped after %zu of %zu runs; the same command goes on\n", done, all);
        return kStopped;
    }
    std::printf("%zu results in %s, experiment %lld\n", store.results(number).size(), asked.store.c_str(),
                static_cast<long long>(number));
    return kRight;
}

int experimentReport(const ExperimentAsked& asked, bool compares) {
    const auto plan = planOf(asked);
    if (!plan) return kMisunderstood;
    marldale::lab::Store store(asked.store);
    const auto chosen = marldale::lab::choose(store.list(), idOf(*plan), asked.number);
    const auto results = store.results(chosen.number);
    if (compares) {
        std::fputs(marldale::lab::shown(marldale::lab::compare(*plan, results, asked.one, asked.other),
                                        asked.one, asked.other)
                       .c_str(),
                   stdout);
        return kRight;
    }
    marldale::lab::writeReport(*plan, chosen.id, results, asked.out);
    std::printf("%s/report.md\n", asked.out.c_str());
    return kRight;
}

int experimentList(const ExperimentAsked& asked) {
    marldale::lab::Store store(asked.store);
    for (const auto& e : store.list()) {
        std::printf("%lld %s, %zu results, begun %s, marldale %s, build %s, on %s\n",
                    static_cast<long long>(e.number), e.id.plan.c_str(), e.results, e.begun.c_str(),
                    e.id.version.c_str(), e.id.build.c_str(), e.id.host.c_str());
    }
    return kRight;
}

void addScenario(CLI::App& app, ScenarioAsked& asked) {
    app.add_option("scenario", asked.file, "a scenario file")->required();
    app.add_option("--seed", asked.seed, "in place of the scenario's")->each([&](const std::string&) {
        asked.hasSeed = true;
    });
    app.add_option("--set", asked.set, "NAME=VALUE of a parameter");
    app.add_option("--policy", asked.policy, "who decides")
        ->check(CLI::IsMember({"module", "even", "zones", "least_load", "full_sight"}));
    app.add_option("--learn", asked.learn, "what a planner that restarts is told")
        ->check(CLI::IsMember({"cold", "snapshot", "peer"}));
    app.add_option("--duration", asked.duration, "virtual seconds, in place of the scenario's");
}

}  // namespace

int main(int argc, char** argv) {
    std::signal(SIGXFSZ, SIG_IGN);  // a file that may not grow is told by the write's error
    CLI::App app{"marldale: incidents in virtual time, and experiments on them"};
    app.require_subcommand(1);
    int status = kRight;
    ScenarioAsked run;
    SearchAsked search;
    ExplainAsked explain;
    ExperimentAsked experiment;
    std::vector<std::string> files;

    CLI::App* emulate = app.add_subcommand("emulate", "one scenario");
    emulate->require_subcommand(1);
    CLI::App* sub = emulate->add_subcommand("run", "play it; status 3 if a rule was broken");
    addScenario(*sub, run);
    sub->add_option("--log", run.log, "keep the event log in this file");
    sub->add_option("--chart", run.chart, "service over time, .svg or .png");
    sub->add_flag("--json", run.asJson, "the result as JSON");
    sub->add_flag("--history", run.history, "of each violation");
    sub->callback([&] { status = runCommand(run); });
    sub = emulate->add_subcommand("check", "read scenario files; tell all that is wrong");
    sub->add_option("files", files)->required();
    sub->callback([&] { status = checkCommand(files); });
    sub = emulate->add_subcommand("keys", "every key of a scenario file, in Markdown");
    sub->callback([&] { std::fputs(marldale::emulator::scenarioKeys().c_str(), stdout); });
    sub = emulate->add_subcommand("explain",
                                  "what a log tells of a request, or where two logs part (status 1)");
    sub->add_option("log", explain.log)->required();
    sub->add_option("other", explain.other);
    sub->add_option("--wish", explain.wish, "the chain of events of this one")->each([&](const std::string&) {
        explain.hasWish = true;
    });
    sub->add_option("--ended", explain.ended, "list wishes that ended so")
        ->check(CLI::IsMember({"in time", "late", "failed", "refused", "nothing to pick", "given up"}));
    sub->add_flag("--doubled", explain.doubled, "list wishes that took effect more than once");
    sub->callback([&] { status = explainCommand(explain); });
    sub = emulate->add_subcommand("search", "the worst day of a family, then the smallest that is as bad");
    addScenario(*sub, search.scenario);
    sub->add_option("--random", search.settings.random, "days that are drawn")->check(CLI::Range(1, 100000));
    sub->add_option("--guided", search.settings.guided, "changes of the worst")->check(CLI::Range(0, 100000));
    sub->add_option("--shrink", search.settings.shrink, "runs to make it small")
        ->check(CLI::Range(0, 100000));
    sub->add_option("--faults", search.settings.faults, "of each day")->check(CLI::Range(1, 100));
    sub->add_option("--kinds", search.kinds, "of faults");
    sub->add_option("--from", search.settings.seed, "the search's own seed");
    sub->add_option("--out", search.out, "the scenario file that was found");
    search.settings.threads = std::max(1U, std::thread::hardware_concurrency());
    sub->callback([&] { status = searchCommand(search); });

    CLI::App* lab = app.add_subcommand("experiment", "scenarios x sizes x variants x seeds");
    lab->require_subcommand(1);
    const auto addPlan = [&](CLI::App& to) {
        to.add_option("plan", experiment.plan, "a plan file")->required();
        to.add_option("--store", experiment.store, "the file of results")->capture_default_str();
    };
    sub = lab->add_subcommand("run", "play what has no result yet; SIGINT stops it, and it can go on");
    addPlan(*sub);
    sub->add_option("--threads", experiment.threads)->check(CLI::Range(1, 1024));
    sub->callback([&] { status = experimentRun(experiment); });
    const auto addChoice = [&](CLI::App& to) {
        addPlan(to);
        to.add_option("--experiment", experiment.number, "its number in the file; else this build's");
    };
    sub = lab->add_subcommand("report", "tables and charts");
    addChoice(*sub);
    sub->add_option("--out", experiment.out, "a directory")->capture_default_str();
    sub->callback([&] { status = experimentReport(experiment, false); });
    sub =
        lab->add_subcommand("compare", "what changes from one variant to another, and whether it is chance");
    addChoice(*sub);
    sub->add_option("one", experiment.one)->required();
    sub->add_option("other", experiment.other)->required();
    sub->callback([&] { status = experimentReport(experiment, true); });
    sub = lab->add_subcommand("list", "the experiments of a file of results");
    sub->add_option("--store", experiment.store)->capture_default_str();
    sub->callback([&] { status = experimentList(experiment); });

    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& e) {
        return app.exit(e) == 0 ? kRight : kMisunderstood;
    } catch (const std::exception& e) {
        std::fprintf(stderr, "marldale: %s\n", e.what());
        return kFailed;
    }
    return status;
}
