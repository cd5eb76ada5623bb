// When a replay sends a recorded entry, and which recorded chains take part.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "policy/types.h"

namespace marldale::attempts {

struct ScheduleSettings {
    double speed = 1;          // recorded seconds that are replayed in one second
    Micros from = 0;           // recorded time at which the window begins
    Micros until = 0;          // and before which it ends; 0: the end of the recording
    unsigned loops = 1;        // times that the window is replayed
    Micros loopGap = 1000000;  // recorded time between two loops
    std::vector<double>
        shareByClass;  // how often a chain is replayed, 0 and up; 1 for classes beyond the end
    std::uint64_t seed = 1;
};

/// Maps recorded times to times of the replay, and decides how often each chain is replayed.
class Schedule {
public:
    explicit Schedule(ScheduleSettings settings);

    [[nodiscard]] bool inWindow(Micros recorded) const;
    /// When an entry is due, in microseconds after the replay's start. `loop` counts from 0; `length` is that
    /// of the window.
    [[nodiscard]] Micros intended(Micros recorded, unsigned loop, Micros length) const;
    /// How many copies of a chain are replayed: with a share of 0.4 none or one, with 2.5 two or three. All
    /// entries of a chain are treated alike.
    [[nodiscard]] unsigned copies(std::uint64_t chain, std::uint32_t classIndex) const;

private:
    ScheduleSettings settings_;
};

/// A pseudorandom number from 0 to below 1, always the same for the same seed and stream.
[[nodiscard]] double uniformDraw(std::uint64_t seed, std::uint64_t stream);

}  // namespace marldale::attempts
