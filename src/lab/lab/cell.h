// One run of a scenario and what came of it, as a value that can be kept.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "emulator/rules.h"
#include "emulator/scenario.h"
#include "emulator/score.h"

namespace marldale::lab {

struct WindowResult {
    double fromS = 0, service = 1, wishes = 0, refused = 0, failed = 0, messages = 0, queue = 0, p95Ms = 0;
};
struct ClassResult {
    std::string name;
    double service = 1, wishes = 0, p50Ms = 0, p95Ms = 0, p99Ms = 0;
    double refused = 0, failed = 0, late = 0;  // shares of its wishes
};
struct ViolationResult {
    std::string rule, text;
    double atS = 0;
    std::vector<std::string> history;
};
struct FaultResult {
    std::string name;
    double fromS = 0, toS = 0;
};
struct CellResult {
    double service = 0, whole = 0, worstWindow = 0, worstClass = 0;
    std::uint64_t wishes = 0, tries = 0, effects = 0, messages = 0, happenings = 0, hash = 0;
    std::uint64_t broken[static_cast<std::size_t>(emulator::Rule::count_)] = {};
    double wallMs = 0;
    std::vector<WindowResult> windows;
    std::vector<ClassResult> classes;
    std::vector<ViolationResult> violations;
    std::vector<FaultResult> faults;
    [[nodiscard]] std::uint64_t allBroken() const;
};

// Plays it; `logTo`: the event log's file, empty for none. Throws std::runtime_error.
[[nodiscard]] CellResult play(const emulator::Scenario& scenario, const std::string& logTo = {});

[[nodiscard]] std::string toJson(const CellResult& result);
[[nodiscard]] CellResult fromJson(const std::string& text);  // throws std::runtime_error

}  // namespace marldale::lab
