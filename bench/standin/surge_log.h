// Access logs of a surge, written by this project from a seed, with the truth beside them: which lines are
// tries of which wish, and which were spoilt, and how.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace marldale::standin {

struct SurgeSettings {
    std::uint64_t seed = 1;
    int seconds = 600, clients = 2000;
    double ratePerS = 60;        // at the peak, three times as many
    double failShare = 0.06;     // tries that fail and are made again, mostly
    double unknownShare = 0.01;  // bookings whose outcome the log does not tell
    bool requestIds = false;     // nginx's format with ids; else without
    bool wishInPath = false;     // a booking's path names its wish, so that a box can tell them apart
};

struct LogLine {
    std::string text;  // without its end
    std::uint64_t wish = 0;
    unsigned number = 0;  // of the try
    std::int64_t startUs = 0;
    std::string className;
};

struct SurgeLog {
    std::string format;          // for [log] format
    std::vector<LogLine> lines;  // in the order of their ends, as a server writes them
};

[[nodiscard]] SurgeLog surge(const SurgeSettings& settings);
// The rules' file for it.
[[nodiscard]] std::string surgeRules(const SurgeLog& log);

// Fifty ways to spoil a line; each makes a line that can't be read.
[[nodiscard]] std::size_t faultKinds();
[[nodiscard]] std::string spoilt(const std::string& line, std::size_t kind);

}  // namespace marldale::standin
