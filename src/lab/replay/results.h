// What a replay measured: by class, latency from the intended time and how late requests went.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "replay/plan.h"
#include "trace/histogram.h"

namespace marldale::replay {

struct Results {
    explicit Results(std::vector<std::string> classes);

    void sent(const Send& send, Micros now);
    void answered(const Send& send, const attempts::Answer& answer, Micros sentAt, Micros now);

    // Sends by class and second of the replay.
    struct Bin {
        std::uint64_t sent = 0, answered = 0, failed = 0;
    };
    std::vector<std::string> classes;
    std::vector<trace::Histogram> latency, service, lateness;  // microseconds, by class
    std::vector<std::map<std::int64_t, Bin>> bySecond;
    std::map<int, std::uint64_t> byStatus;  // 0: none
    Micros begin = 0;
};

struct Summary {
    bool stopped = false;  // by a signal or a limit
    std::string why;
    Micros took = 0;
    std::uint64_t resumedFrom = 0, bytes = 0;
};

[[nodiscard]] std::string resultsJson(const Results& results, const std::vector<ClassFigures>& figures,
                                      const Summary& summary);
[[nodiscard]] std::string resultsCsv(const Results& results);
// For a person.
[[nodiscard]] std::string resultsText(const Results& results, const std::vector<ClassFigures>& figures,
                                      const Summary& summary);

}  // namespace marldale::replay
