// From files to a trace, with every entry and byte accounted for.
#pragma once

#include <array>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "sources/import_settings.h"
#include "sources/overlap_guard.h"
#include "trace/file.h"

namespace marldale::sources {

struct FileTally {
    std::string name;
    std::uint64_t read = 0, taken = 0, bad = 0;
    std::uint64_t readBytes = 0, takenBytes = 0, badBytes = 0, leftOutBytes = 0;
    std::array<std::uint64_t, static_cast<std::size_t>(LeftOut::count_)> leftOut{};
    std::uint64_t rotations = 0;
    std::string brokeOff;  // why the file could not be read to its end
    ClockCounts clock;
    std::vector<std::string> blind;

    [[nodiscard]] std::uint64_t allLeftOut() const;
    // read = taken + bad + left out, for entries and for bytes.
    [[nodiscard]] bool addsUp() const;
};

struct ImportResult {
    std::vector<FileTally> files;
    std::uint64_t entries = 0, chains = 0, retries = 0;
    std::vector<std::pair<std::string, std::uint64_t>> byClass;
    [[nodiscard]] std::uint64_t read() const;
    [[nodiscard]] std::uint64_t bad() const;
    [[nodiscard]] bool addsUp() const;
};

struct BadEntry {
    const std::string& file;
    Place place;
    std::string_view why;
    std::string excerpt;  // harmless
};

struct ImportAsk {
    std::vector<std::string> files;
    std::string to;  // the trace; empty: nothing is written
    ImportSettings settings;
    bool follow = false;
    std::function<bool()> goOn;                  // for files that grow: false ends it. May wait.
    std::function<void(const BadEntry&)> onBad;  // each one
    std::function<void(const trace::Entry&, const std::string& className)> onEntry;  // each one taken
};

// Throws SourceError, TraceError: a file that can't be opened, a trace that can't be written.
[[nodiscard]] ImportResult importFiles(const ImportAsk& ask);

}  // namespace marldale::sources
