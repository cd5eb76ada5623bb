// Tables and charts of an experiment's results, and what differs between two variants.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "lab/cell.h"
#include "lab/plan.h"
#include "lab/statistics.h"
#include "lab/store.h"

namespace marldale::lab {

using Results = std::map<std::string, CellResult>;

// Markdown: a table for each scenario and size, a row for each variant.
[[nodiscard]] std::string tablesOf(const Plan& plan, const Results& results);
// A line for each result.
[[nodiscard]] std::string csvOf(const Plan& plan, const Results& results);

struct Difference {
    std::string scenario, size, figure;
    Interval by;  // the second less the first, over seeds that both have
    [[nodiscard]] std::string verdict() const;
};
// Throws std::runtime_error if there is no such variant.
[[nodiscard]] std::vector<Difference> compare(const Plan& plan, const Results& results,
                                              const std::string& one, const std::string& other);
[[nodiscard]] std::string shown(const std::vector<Difference>& differences, const std::string& one,
                                const std::string& other);

// Service, queues, messages and answer times over time, the mean of all seeds, as SVG and PNG; the files'
// names.
std::vector<std::string> drawCharts(const Plan& plan, const Results& results, const std::string& directory);

// The whole report, with the charts beside it.
void writeReport(const Plan& plan, const RunId& id, const Results& results, const std::string& directory);

}  // namespace marldale::lab
