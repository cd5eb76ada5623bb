#include "lab/runner.h"

#include <array>
#include <chrono>
#include <cstdio>
#include <memory>
#include <mutex>
#include <stdexcept>
#include <thread>

namespace marldale::lab {
namespace {

// In single quotes for the shell.
std::string quoted(const std::string& text) {
    std::string out = "'";
    for (const char c : text) out += c == '\'' ? "'\\''" : std::string(1, c);
    return out + "'";
}

// Another build plays it, and tells the result as JSON.
CellResult playElsewhere(const Plan& plan, const Cell& cell) {
    const Variant& v = plan.variants[cell.variant];
    std::string command = quoted(v.program) + " emulate run " + quoted(plan.scenarios[cell.scenario].file) +
                          " --json --seed " + std::to_string(cell.seed);
    if (!v.policy.empty()) command += " --policy " + quoted(v.policy);
    if (!v.learn.empty()) command += " --learn " + quoted(v.learn);
    for (const auto& [name, value] : parametersOf(plan, cell))
        command += " --set " + quoted(name + "=" + value);
    const std::unique_ptr<std::FILE, int (*)(std::FILE*)> pipe(popen(command.c_str(), "r"), &pclose);
    if (!pipe) throw std::runtime_error(v.program + " can't be run");
    std::string out;
    std::array<char, 65536> piece{};
    while (const std::size_t got = std::fread(piece.data(), 1, piece.size(), pipe.get()))
        out.append(piece.data(), got);
    return fromJson(out);
}

CellResult playCell(const Plan& plan, const Cell& cell) {
    if (!plan.variants[cell.variant].program.empty()) return playElsewhere(plan, cell);
    std::vector<settings::Problem> problems;
    const emulator::Scenario scenario = scenarioOf(plan, cell, problems);
    if (!problems.empty()) throw std::runtime_error(problems.front().shown());
    return play(scenario);
}

}  // namespace

void runPlan(const Plan& plan, Store& store, std::int64_t experiment, unsigned threads,
             const std::atomic<bool>& stop, const std::function<void(const Progress&)>& told) {
    std::vector<Cell> open;
    Progress progress;
    for (const Cell& cell : cellsOf(plan)) {
        ++progress.all;
        if (store.has(experiment, keyOf(plan, cell))) {
            ++progress.kept;
        } else {
            open.push_back(cell);
        }
    }
    progress.done = progress.kept;
    const auto start = std::chrono::steady_clock::now();
    std::mutex mutex;  // of the store, the progress and the failure
    std::string failure;
    std::atomic<std::size_t> next = 0;
    const auto work = [&] {
        for (std::size_t i = next++; i < open.size() && !stop; i = next++) {
            try {
                const CellResult result = playCell(plan, open[i]);
                const std::lock_guard lock(mutex);
                if (!failure.empty()) return;
                store.keep(experiment, keyOf(plan, open[i]), result);
                ++progress.done;
                const double took =
                    std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
                progress.secondsLeft = took / static_cast<double>(progress.done - progress.kept) *
                                       static_cast<double>(progress.all - progress.done);
                told(progress);
            } catch (const std::exception& e) {
                const std::lock_guard lock(mutex);
                if (failure.empty()) failure = keyOf(plan, open[i]) + ": " + e.what();
                return;
            }
        }
    };
    std::vector<std::thread> workers;
    for (unsigned i = 0; i < std::max(1U, threads); ++i) workers.emplace_back(work);
    for (std::thread& worker : workers) worker.join();
    if (!failure.empty()) throw std::runtime_error(failure);
}

}  // namespace marldale::lab
