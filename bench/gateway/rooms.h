// Slopes of the rooms that know no sockets, measured in this process.
#pragma once

#include <vector>

#include "gateway/slopes.h"

namespace marldale::capacity {

void sluiceRooms(std::vector<Slope>& out);     // manifold: routes, servers, weights, services, picks, sums
void headworksRooms(std::vector<Slope>& out);  // gauges, plans, aqueduct
void viewRooms(std::vector<Slope>& out);       // confluence
void ledgerRooms(std::vector<Slope>& out);     // ledger: disk and voters

}  // namespace marldale::capacity
