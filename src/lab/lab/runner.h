// Plays the cells of a plan that have no result yet, on several threads.
#pragma once

#include <atomic>
#include <functional>
#include <string>

#include "lab/plan.h"
#include "lab/store.h"

namespace marldale::lab {

struct Progress {
    std::size_t done = 0, all = 0, kept = 0;  // kept: results that were there before
    double secondsLeft = 0;
};

// Until all cells have a result, or `stop`. Throws std::runtime_error if a cell can't be played.
void runPlan(const Plan& plan, Store& store, std::int64_t experiment, unsigned threads,
             const std::atomic<bool>& stop, const std::function<void(const Progress&)>& told);

}  // namespace marldale::lab
