#include "lab/search.h"

#include <algorithm>
#include <atomic>
#include <cmath>
#include <thread>

#include "emulator/emulation.h"

namespace marldale::lab {
namespace {

using emulator::Fault;
using emulator::Scenario;
using emulator::Stream;

// The base with so many faults drawn, all of them stated.
Scenario drawn(const Scenario& base, const SearchSettings& settings, std::uint64_t number) {
    Scenario wanted = base;
    wanted.run.seed = settings.seed * 1000003 + number;
    wanted.drawn.count = settings.faults;
    wanted.drawn.kinds = settings.kinds;
    wanted.drawn.from = std::max(base.run.scoreFrom, base.drawn.from);
    wanted.drawn.until = base.run.duration * 7 / 10;
    emulator::EventLog none;
    Scenario out = emulator::Emulation(wanted, none).scenario();
    out.drawn.count = 0;
    return out;
}

Micros moved(Stream& random, Micros at, Micros by, Micros least, Micros most) {
    const double to = static_cast<double>(at) + random.uniform(-1, 1) * static_cast<double>(by);
    return std::clamp<Micros>(std::llround(to), least, std::max(least, most));
}

Scenario changed(const Scenario& worst, Stream& random) {
    Scenario out = worst;
    if (out.faults.empty()) return out;
    Fault& f = out.faults[random.below(static_cast<std::uint32_t>(out.faults.size()))];
    switch (random.below(4)) {
        case 0: f.at = moved(random, f.at, 8000000, out.run.scoreFrom, out.run.duration * 8 / 10); break;
        case 1: f.lasts = moved(random, f.lasts, f.lasts, 500000, out.run.duration / 2); break;
        case 2: f.strength *= std::exp2(random.uniform(-0.7, 0.7)); break;
        default:
            // Two of them at one time: overlaps are what is worst.
            f.at = out.faults[random.below(static_cast<std::uint32_t>(out.faults.size()))].at;
    }
    return out;
}

// Each in its place, on as many threads as wanted.
std::vector<CellResult> playAll(const std::vector<Scenario>& scenarios, unsigned threads) {
    std::vector<CellResult> out(scenarios.size());
    std::atomic<std::size_t> next = 0;
    std::vector<std::thread> workers;
    for (unsigned i = 0; i < std::max(1U, threads); ++i) {
        workers.emplace_back([&] {
            for (std::size_t n = next++; n < scenarios.size(); n = next++) out[n] = play(scenarios[n]);
        });
    }
    for (std::thread& worker : workers) worker.join();
    return out;
}

std::string lineOf(const char* what, std::uint32_t runs, const CellResult& r) {
    char out[160];
    std::snprintf(out, sizeof out, "%s, run %u: service %.3f, %llu broken rules", what, runs, r.service,
                  static_cast<unsigned long long>(r.allBroken()));
    return out;
}

}  // namespace

double badness(const CellResult& result) {
    double rules = 0;
    for (const std::uint64_t b : result.broken) rules += b > 0 ? 1 : 0;
    return 10 * rules + (1 - result.service);
}

Found searchWorst(const Scenario& base, const SearchSettings& settings,
                  const std::function<void(const std::string&)>& told) {
    Found worst;
    double most = -1;
    const auto take = [&](const std::vector<Scenario>& tried, const char* what) {
        const std::vector<CellResult> results = playAll(tried, settings.threads);
        for (std::size_t i = 0; i < tried.size(); ++i) {
            ++worst.runs;
            if (badness(results[i]) <= most) continue;
            most = badness(results[i]);
            worst.scenario = tried[i];
            worst.result = results[i];
            told(lineOf(what, worst.runs, worst.result));
        }
    };
    std::vector<Scenario> tried;
    for (std::uint32_t i = 0; i < settings.random; ++i) tried.push_back(drawn(base, settings, i));
    take(tried, "drawn");
    Stream random(settings.seed, "guided");
    constexpr std::uint32_t kAtOnce = 8;  // changes of the same worst: what is found hangs on no thread
    for (std::uint32_t done = 0; done < settings.guided; done += kAtOnce) {
        tried.clear();
        for (std::uint32_t i = 0; i < std::min(kAtOnce, settings.guided - done); ++i) {
            tried.push_back(changed(worst.scenario, random));
        }
        take(tried, "changed");
    }
    return worst;
}

Found shrink(const Scenario& scenario, std::uint32_t runs,
             const std::function<void(const std::string&)>& told) {
    Found out{scenario, play(scenario), 1};
    Scenario quiet = scenario;
    quiet.faults.clear();
    const double usual = play(quiet).service;
    ++out.runs;
    const CellResult first = out.result;
    const auto asBad = [&](const CellResult& r) {
        bool broke = false;
        for (std::size_t i = 0; i < std::size(first.broken); ++i) {
            if (first.broken[i] == 0) continue;
            broke = true;
            if (r.broken[i] > 0) return true;
        }
        return !broke && usual - r.service >= 0.9 * (usual - first.service);
    };
    const auto attempt = [&](const Scenario& smaller, const std::string& what) {
        if (out.runs >= runs) return false;
        ++out.runs;
        const CellResult r = play(smaller);
        if (!asBad(r)) return false;
        out.scenario = smaller;
        out.result = r;
        told(lineOf(what.c_str(), out.runs, r));
        return true;
    };
    for (bool smaller = true; smaller && out.runs < runs;) {
        smaller = false;
        for (std::size_t i = 0; i < out.scenario.faults.size();) {
            Scenario less = out.scenario;
            const std::string name = less.faults[i].name;
            less.faults.erase(less.faults.begin() + static_cast<std::ptrdiff_t>(i));
            if (attempt(less, "without " + name)) {
                smaller = true;
            } else {
                ++i;
            }
        }
        for (std::size_t i = 0; i < out.scenario.faults.size(); ++i) {
            Scenario less = out.scenario;
            Fault& f = less.faults[i];
            if (f.lasts >= 1000000) {
                f.lasts /= 2;
                smaller = attempt(less, f.name + " half as long") || smaller;
            }
            less = out.scenario;
            if (less.faults[i].subject.number < 0 && less.faults[i].subject.share > 0.05) {
                less.faults[i].subject.share /= 2;
                smaller = attempt(less, less.faults[i].name + " with half of its subjects") || smaller;
            }
        }
    }
    return out;
}

}  // namespace marldale::lab
