// Looks for the worst day of a family: random faults first, then changes to the worst found, then the
// smallest plan of faults that is as bad.
#pragma once

#include <functional>
#include <string>

#include "lab/cell.h"

namespace marldale::lab {

struct SearchSettings {
    std::uint64_t seed = 1;
    std::uint32_t random = 60, guided = 60, shrink = 200;  // runs, at most
    std::uint32_t faults = 4;                              // of each drawn day
    unsigned threads = 1;
    std::vector<emulator::FaultKind> kinds;  // empty: all
};

// How bad a day is: broken rules count more than any loss of service.
[[nodiscard]] double badness(const CellResult& result);

struct Found {
    emulator::Scenario scenario;  // with its faults stated
    CellResult result;
    std::uint32_t runs = 0;
};
// `base` says everything but the faults. Deterministic for its settings, whatever the number of threads.
[[nodiscard]] Found searchWorst(const emulator::Scenario& base, const SearchSettings& settings,
                                const std::function<void(const std::string& line)>& told);
// The fewest and shortest faults with which it still breaks a rule that it broke, or loses nine tenths as
// much service as it did against a day without any.
[[nodiscard]] Found shrink(const emulator::Scenario& scenario, std::uint32_t runs,
                           const std::function<void(const std::string& line)>& told);

}  // namespace marldale::lab
