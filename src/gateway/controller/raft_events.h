// Logs the events of the replicated log: elections, membership changes and snapshots.
#pragma once

#include "gateway/raft/replica.h"

namespace marldale::controller {

/// Writes one line for the event, with its term, index and the members concerned.
void logRaftEvent(const raft::Event& event);

}  // namespace marldale::controller
