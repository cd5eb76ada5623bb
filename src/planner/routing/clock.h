// The module's clock: the wall clock at the start plus steady time, so that a server's boot time and "now"
// are on one scale and a clock that is set moves nothing.
#pragma once

#include <chrono>

#include "policy/types.h"

namespace marldale::routing {

using SteadyTime = std::chrono::steady_clock::time_point;

class Clock {
public:
    using Steady = std::chrono::steady_clock;
    using System = std::chrono::system_clock;

    Clock() : Clock(System::now(), Steady::now()) {}
    Clock(System::time_point wall, Steady::time_point steady)
        : wallAtStart_(
              std::chrono::duration_cast<std::chrono::microseconds>(wall.time_since_epoch()).count()),
          start_(steady) {}

    [[nodiscard]] Micros at(Steady::time_point when) const {
        return wallAtStart_ + std::chrono::duration_cast<std::chrono::microseconds>(when - start_).count();
    }

    [[nodiscard]] Steady::time_point when(Micros at) const {
        return start_ + std::chrono::microseconds(at - wallAtStart_);
    }

private:
    Micros wallAtStart_;
    Steady::time_point start_;
};

}  // namespace marldale::routing
