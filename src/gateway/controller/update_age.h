// Corrects the age of server updates that controllers pass on to each other. No I/O.
#pragma once

#include "marldale/gateway/internal.pb.h"
#include "policy/types.h"

namespace marldale::controller {

/// The longest delay that is not corrected, in microseconds: two heartbeat intervals.
constexpr Micros kMaxTrustedUpdateDelayUs = 600000;

/// The update as of now, after at most `delay` in transit. The delay of a late update is added to its age, so
/// that a silent server does not appear alive. Its cold time still counts from its arrival, because a cold
/// time that is too long is the safe error.
[[nodiscard]] gateway::proto::Server agedUpdate(const gateway::proto::Server& update, Micros delay);

}  // namespace marldale::controller
