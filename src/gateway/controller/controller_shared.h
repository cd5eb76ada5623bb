// Declarations shared by the source files of the controller.
#pragma once

#include "gateway/controller/controller.h"

namespace marldale::controller {

/// During the first `kStartupPeriodUs` after the start, other controllers are dialed more often.
constexpr Micros kStartupPeriodUs = 3000000, kStartupRedialIntervalUs = 60000;

/// This process as it introduces itself to its peers.
[[nodiscard]] proto::Peer selfPeer(const settings::Settings& settings, std::uint64_t incarnation);

}  // namespace marldale::controller
