// A planner that restarts among stand-in boxes and relays, in a script's own time: cold, or told what its
// predecessor or a peer knew. No socket and no clock.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "recovery/knowledge.h"
#include "standin/world.h"

namespace marldale::bench {

struct LearningAsk {
    int boxesPerSite = 10, relaysPerSite = 20;
    double requestsPerS = 200;
    std::uint64_t seed = 1;
    int failing = 3;  // boxes that fail at once from 20 s on
    bool warm = false;
    standin::Micros stale = 0;  // age of what is handed over
};

struct Learnt {
    // Within ten seconds of the restart.
    std::uint64_t requests = 0, failed = 0, late = 0, unpicked = 0;
    std::uint64_t early = 0, earlyFailed = 0;  // of these, within the first four seconds
    std::size_t handedBytes = 0, recalled = 0;
    std::uint64_t linesToGone =
        0;  // relays that held a line of a box that the new planner's list called gone, when told
    std::uint64_t secondEffects = 0;
};
[[nodiscard]] Learnt restart(const LearningAsk& ask);

}  // namespace marldale::bench
