// An experiment: scenarios x sizes x variants x seeds, as a file says it (INI).
#pragma once

#include <string>
#include <vector>

#include "emulator/scenario.h"
#include "settings/ini.h"

namespace marldale::lab {

// What one of them sets: parameters of the scenario, and what is overruled whatever the scenario says.
struct Setting {
    std::string name;
    emulator::Parameters parameters;
};
struct PlannedScenario {
    std::string name, file;
};
struct Variant {
    std::string name, policy, learn;  // empty: as the scenario has it
    std::string program;              // another build of marldale_lab that plays it; empty: this one
    emulator::Parameters parameters;
};
struct Plan {
    std::string name, question, text;  // the file's text: a changed plan is another plan
    std::vector<PlannedScenario> scenarios;
    std::vector<Setting> sizes;  // none: as the scenario has it
    std::vector<Variant> variants;
    std::uint64_t seedFrom = 1, seedTo = 10;
};

struct Cell {
    std::size_t scenario = 0, size = 0, variant = 0;
    std::uint64_t seed = 1;
};

[[nodiscard]] Plan readPlan(const std::string& path, std::vector<settings::Problem>& problems);
[[nodiscard]] std::vector<Cell> cellsOf(const Plan& plan);
// The scenario of a cell; what is wrong goes to `problems`.
[[nodiscard]] emulator::Scenario scenarioOf(const Plan& plan, const Cell& cell,
                                            std::vector<settings::Problem>& problems);
[[nodiscard]] emulator::Parameters parametersOf(const Plan& plan, const Cell& cell);
// Its key among the plan's results: names and seed.
[[nodiscard]] std::string keyOf(const Plan& plan, const Cell& cell);

}  // namespace marldale::lab
