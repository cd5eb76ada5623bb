// Policies that the module is compared with, behind the same interface: events in, actions out. They know the
// list, and (least load) the late sums; they judge no health, set no levels, and push whole zones' tables.
#pragma once

#include "emulator/scenario.h"
#include "routing/planner_core.h"

namespace marldale::emulator {

// `even`: every ready server at its listed weight, for everybody. `zones`: those of the relay's zone, and all
// where it has none. `leastLoad`, and `fullSight` beside the relays' own sight: all, the less the busier
// their last load reports said.
[[nodiscard]] routing::PlannerCore::MakeModule baseline(PolicyKind kind, const Settings& settings);

}  // namespace marldale::emulator
