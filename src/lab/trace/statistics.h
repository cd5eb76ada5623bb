// What a trace says of itself: rates, gaps, durations, clients, chains.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "trace/format.h"
#include "trace/histogram.h"

namespace marldale::trace {

struct ClassStatistics {
    std::string name;
    std::uint64_t entries = 0, firstTries = 0, unknown = 0;  // unknown: outcome, of classes with effects
    std::map<unsigned, std::uint64_t> chainTries;            // chains by how many tries they have
    std::map<int, std::uint64_t> statuses;                   // by hundred; 0: none
    Histogram gaps, durations;                               // microseconds
    std::vector<std::uint64_t> bins;                         // entries by span of time
};

class Statistics {
public:
    // `binWidth`: microseconds.
    Statistics(const Head& head, Micros binWidth);
    void add(const Entry& entry);
    void finish();

    [[nodiscard]] const std::vector<ClassStatistics>& classes() const { return classes_; }
    [[nodiscard]] Micros first() const { return first_; }
    [[nodiscard]] Micros last() const { return last_; }
    [[nodiscard]] std::uint64_t entries() const { return entries_; }
    [[nodiscard]] std::size_t clients() const { return clients_.size(); }
    // The share of all entries that the busiest `share` of the clients bring.
    [[nodiscard]] double shareOfBusiest(double share) const;
    [[nodiscard]] Micros binWidth() const { return binWidth_; }

private:
    const Head head_;
    const Micros binWidth_;
    std::vector<ClassStatistics> classes_;
    std::vector<Micros> lastOfClass_;
    std::unordered_map<std::uint64_t, std::uint64_t> clients_;
    std::unordered_map<std::uint64_t, std::pair<std::uint32_t, unsigned>>
        chains_;  // class and tries, while open
    Micros first_ = 0, last_ = 0;
    std::uint64_t entries_ = 0;
};

}  // namespace marldale::trace
