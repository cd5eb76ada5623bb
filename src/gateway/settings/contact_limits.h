// How old contact with a majority of the controllers may be, derived from the bound `apply` on a change's way
// to every edge proxy. One limit for controllers and proxies.
#pragma once

#include "gateway/settings/settings.h"

namespace marldale::settings {

// A controller whose last contact with a majority is older serves no configuration, admits no proxy and
// answers no order; a proxy whose proof of it is older leaves its controller. Of `apply`, two fifths are left
// to find another controller and to take its copy.
[[nodiscard]] inline Micros quorumContactLimit(const Bounds& bounds) { return bounds.apply * 3 / 5; }

// How long an edge proxy may go on choosing servers after the last proof that it holds all its controller
// knew: its lease on its view. A controller that has told its proxies of a departure waits for their answers,
// or for so long, before the departure is acknowledged.
[[nodiscard]] inline Micros viewLease(const Bounds& bounds) { return bounds.apply * 3 / 4; }

}  // namespace marldale::settings
