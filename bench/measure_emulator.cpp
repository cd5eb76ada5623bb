// make measure-emulator: what the incident emulator promises, played and counted. Exits with 1 where a
// promise breaks.
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <exception>
#include <filesystem>
#include <future>
#include <string>
#include <thread>
#include <vector>

#include "emulator/known.h"
#include "lab/cell.h"
#include "lab/statistics.h"
#include "standin/live_table.h"

namespace {

using marldale::emulator::name;
using marldale::emulator::Scenario;
using marldale::emulator::tests::Played;
using marldale::lab::CellResult;
using marldale::standin::Side;

bool broken = false;
void promise(bool holds, const std::string& text) {
    std::printf("  %-7s %s\n", holds ? "kept" : "BROKEN", text.c_str());
    std::fflush(stdout);
    broken = broken || !holds;
}

Scenario fromLibrary(const std::string& file, const marldale::emulator::Parameters& parameters = {}) {
    std::vector<marldale::settings::Problem> problems;
    Scenario out = marldale::emulator::readScenario(MARLDALE_SCENARIOS "/" + file, parameters, problems);
    if (!problems.empty()) throw std::runtime_error(problems.front().shown());
    return out;
}

// One task each, so many at a time.
template <class Task>
void onThreads(std::size_t tasks, std::size_t threads, const Task& task) {
    std::atomic<std::size_t> next = 0;
    std::vector<std::future<void>> running;
    for (std::size_t i = 0; i < threads; ++i) {
        running.push_back(std::async(std::launch::async, [&] {
            for (std::size_t n = next++; n < tasks; n = next++) task(n);
        }));
    }
    for (auto& r : running) r.get();
}
// Two are left to what plays in real time beside it.
std::size_t cores() { return std::max(3U, std::thread::hardware_concurrency()) - 2; }

void sameAgain() {
    std::puts(
        "2. A site cut off during a rolling deploy, a silent box, a box that stops halfway through a "
        "reserve:");
    const Scenario scenario = fromLibrary("cut-during-deploy.ini");
    std::printf("  %8s %8s | %16s %9s %6s %s\n", "runs", "threads", "event log", "service", "broken",
                "happenings");
    bool same = true;
    CellResult first;
    for (const std::size_t threads : {std::size_t{1}, std::size_t{3}, cores()}) {
        std::vector<CellResult> runs(threads == 1 ? 2 : threads);
        onThreads(runs.size(), threads, [&](std::size_t n) { runs[n] = marldale::lab::play(scenario); });
        if (threads == 1) first = runs.front();
        for (const CellResult& r : runs) {
            same = same && r.hash == first.hash && r.service == first.service &&
                   r.allBroken() == first.allBroken() && r.happenings == first.happenings;
        }
        std::printf("  %8zu %8zu | %016llx %9.6f %6llu %llu\n", runs.size(), threads,
                    static_cast<unsigned long long>(runs.back().hash), runs.back().service,
                    static_cast<unsigned long long>(runs.back().allBroken()),
                    static_cast<unsigned long long>(runs.back().happenings));
    }
    promise(same, "the same log, score and checks each time, on any number of threads");
    promise(first.allBroken() == 0, "the module keeps the five rules in it");
}

void theory() {
    constexpr std::size_t kSeeds = 8;
    std::printf("3. Against theory: %zu seeds of 800 s each; 95%% by bootstrap over seeds\n", kSeeds);
    std::printf("  %-22s | %9s %9s %8s | %-20s | %s\n", "queue", "theory ms", "seen ms", "error",
                "interval of seen", "Little's law off by");
    bool near = true, little = true;
    for (const auto& queue : marldale::emulator::tests::queues()) {
        std::vector<double> means(kSeeds), off(kSeeds);
        onThreads(kSeeds, cores(), [&](std::size_t n) {
            const auto seen = marldale::emulator::tests::sojournOf(queue.scenario, n + 1);
            means[n] = 1e3 * seen.mean;
            off[n] = std::abs(seen.inside / (seen.arrivals * seen.mean) - 1);
        });
        const auto interval = marldale::lab::bootstrap(means);
        const double error = interval.mean / (1e3 * queue.mean) - 1,
                     worst = *std::max_element(off.begin(), off.end());
        std::printf("  %-22s | %9.3f %9.3f %+7.2f%% | %7.3f to %7.3f %s | %.3f%%\n", queue.name,
                    1e3 * queue.mean, interval.mean, 100 * error, interval.low, interval.high,
                    interval.low <= 1e3 * queue.mean && 1e3 * queue.mean <= interval.high ? "in " : "out",
                    100 * worst);
        near = near && std::abs(error) < 0.03;
        little = little && worst < 0.01;
    }
    promise(near, "mean times at a box within 3% of theory");
    promise(little, "Little's law within 1% in every run");
}

struct Size {
    const char *boxes, *relays, *rate;
    double seconds;
};

// A child of its own for each size, so that its memory is its own.
void speedAt(const Size& size, double& usPerHappening) {
    int pipes[2];
    if (pipe(pipes) != 0) throw std::runtime_error("no pipe");
    const pid_t child = fork();
    if (child < 0) throw std::runtime_error("no child");
    if (child == 0) {
        Scenario s = fromLibrary("silent-boxes.ini",
                                 {{"boxes", size.boxes}, {"relays", size.relays}, {"rate", size.rate}});
        s.run.duration = std::llround(size.seconds * 1e6);
        const CellResult r = marldale::lab::play(s);
        const double out[] = {r.wallMs, static_cast<double>(r.happenings),
                              static_cast<double>(r.allBroken())};
        const bool told = write(pipes[1], out, sizeof out) == sizeof out;
        _exit(told ? 0 : 1);
    }
    close(pipes[1]);
    double got[3] = {};
    const bool heard = read(pipes[0], got, sizeof got) == sizeof got;
    close(pipes[0]);
    int status = 0;
    rusage usage{};
    if (wait4(child, &status, 0, &usage) != child || status != 0 || !heard)
        throw std::runtime_error("a child failed");
    usPerHappening = 1e3 * got[0] / got[1];
    std::printf("  %6s %6s %7s | %8.1f %10.0f %12.0f %9.2f %8.0f\n", size.boxes, size.relays, size.rate,
                size.seconds / (got[0] / 1e3), got[1], got[1] / (got[0] / 1e3), usPerHappening,
                static_cast<double>(usage.ru_maxrss) / 1024);
}

void speed() {
    std::puts("1. Speed, one core, two planners in each run (absolute times are this machine's):");
    std::printf("  %6s %6s %7s | %8s %10s %12s %9s %8s\n", "boxes", "relays", "rate/s", "times", "happenings",
                "a second", "us each", "peak MB");
    double first = 0, last = 0;
    speedAt({"30", "150", "200", 40}, first);
    speedAt({"150", "300", "1000", 20}, last);
    speedAt({"540", "574", "3000", 20}, last);
    speedAt({"5400", "574", "20000", 8}, last);
    promise(last < 20 * first, "a happening at 5,400 boxes costs less than 20 times one at 30");
}

void rules() {
    std::puts("4. Rules: a scenario that breaks each, one that comes near, and the library under the module");
    std::printf("  %-28s | %9s %9s | %s\n", "rule", "breaks", "near it", "how it is broken");
    bool caught = true, accused = false;
    for (const auto& b : marldale::emulator::tests::breakers()) {
        const Played breaks(b.breaks), keeps(b.keeps);
        std::printf("  %-28s | %9llu %9llu | %s\n", name(b.rule),
                    static_cast<unsigned long long>(breaks.rules->count(b.rule)),
                    static_cast<unsigned long long>(keeps.rules->count(b.rule)), b.why);
        caught = caught && breaks.rules->count(b.rule) > 0;
        accused = accused || keeps.rules->count(b.rule) > 0;
    }
    std::vector<std::string> files;
    for (const auto& entry : std::filesystem::directory_iterator(MARLDALE_SCENARIOS)) {
        const std::string file = entry.path().filename().string();
        if (entry.path().extension() == ".ini" && file != "common.ini") files.push_back(file);
    }
    std::sort(files.begin(), files.end());
    std::vector<CellResult> runs(files.size());
    onThreads(files.size(), cores(),
              [&](std::size_t n) { runs[n] = marldale::lab::play(fromLibrary(files[n])); });
    for (std::size_t n = 0; n < files.size(); ++n) {
        if (runs[n].allBroken() == 0) continue;
        accused = true;
        std::printf("  %s: %s\n", files[n].c_str(), runs[n].violations.front().text.c_str());
    }
    promise(caught, "each of the five rules is broken by its scenario, and caught");
    promise(!accused, "what comes near is not accused, nor is any of the library's " +
                          std::to_string(files.size()) + " incidents under the module");
}

void sockets(std::future<std::vector<Side>> playing) {
    std::puts(
        "5. Half a minute in real time: the model, and the daemon over loopback sockets (two processes "
        "each)");
    const std::vector<Side> sides = playing.get();
    marldale::standin::show(sides);
    bool near = true, kept = true;
    for (const Side& s : sides) {
        near = near && std::abs(s.service - sides.front().service) < 0.03;
        kept = kept && s.broken == 0;
    }
    promise(near, "the daemon's service over either front is within 0.03 of the model's");
    promise(kept, "no rule is broken over sockets");
}

}  // namespace

int main() {
    try {
        speed();  // it forks, so it comes before any thread
        auto playing = std::async(std::launch::async, [] {
            return marldale::standin::besideTheModel(fromLibrary("half-a-minute.ini"));
        });
        sameAgain();
        theory();
        rules();
        sockets(std::move(playing));
    } catch (const std::exception& e) {
        std::fprintf(stderr, "measure-emulator: %s\n", e.what());
        return 2;
    }
    return broken ? 1 : 0;
}
