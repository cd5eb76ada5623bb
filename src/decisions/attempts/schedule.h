// When a recorded entry is intended to be sent, and which clients take part.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "policy/types.h"

namespace marldale::attempts {

struct ScheduleSettings {
    double speed = 1;                  // recorded seconds in one second
    Micros from = 0;                   // of the record that the window begins with
    Micros until = 0;                  // and ends before; 0: all
    unsigned loops = 1;                // times that the window is played
    Micros loopGap = 1000000;          // recorded time between two of them
    std::vector<double> shareByClass;  // 0 and up; empty or short: 1
    std::uint64_t seed = 1;
};

class Schedule {
public:
    explicit Schedule(ScheduleSettings settings);

    [[nodiscard]] bool inWindow(Micros recorded) const;
    // Microseconds after the replay's start; `loop` counts from 0, `length` is the window's.
    [[nodiscard]] Micros intended(Micros recorded, unsigned loop, Micros length) const;
    // How many copies of a chain go: for a share of 0.4 none or one, for 2.5 two or three. All of a chain's
    // entries share its fate.
    [[nodiscard]] unsigned copies(std::uint64_t chain, std::uint32_t classIndex) const;

private:
    ScheduleSettings settings_;
};

// From 0 to below 1, the same for the same words.
[[nodiscard]] double uniformDraw(std::uint64_t seed, std::uint64_t of);

}  // namespace marldale::attempts
