// A scenario in the model and, in real time, with the daemon over loopback sockets, side by side.
#pragma once

#include <string>
#include <vector>

#include "emulator/scenario.h"
#include "standin/live_planner.h"

namespace marldale::standin {

struct Side {
    std::string what;
    double service = 0, refused = 0, failed = 0;  // shares
    double p50 = 0, p95 = 0;                      // milliseconds, of all classes, by their requests
    std::uint64_t wishes = 0, messages = 0, broken = 0;
    std::vector<std::string> violations;
    Micros lag = 0;  // how far the run fell behind real time, at worst
};

// The model, the platform's protocol, gRPC: the last two at once, in real time. Throws std::runtime_error if
// a daemon does not start, std::invalid_argument if the scenario can't be played over sockets.
[[nodiscard]] std::vector<Side> besideTheModel(const emulator::Scenario& scenario);
void show(const std::vector<Side>& sides);

}  // namespace marldale::standin
