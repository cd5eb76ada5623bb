// The settings of an import: one INI file with [class NAME], [log], [json], [clock] and [import].
#pragma once

#include <string>
#include <vector>

#include "sources/classes.h"
#include "sources/clock_keeper.h"
#include "sources/readers.h"

namespace marldale::sources {

struct ImportSettings {
    Rules rules;
    std::string format = "combined";  // of lines: a format string, common, combined, or json
    JsonFields json;
    int assumedOffset = 0;  // minutes east of UTC, of stamps that do not tell
    ClockSettings clock;
    double badShareMost = 0.05;  // of the entries; beyond it the import ends with a status of its own
    bool keepQueries = false;    // of targets, in the trace
};

[[nodiscard]] settings::Schema importSchema(ImportSettings& into);
// Of a file (empty: none; then there are no classes but `other`).
[[nodiscard]] ImportSettings readImportSettings(const std::string& path,
                                                std::vector<settings::Problem>& problems);

}  // namespace marldale::sources
