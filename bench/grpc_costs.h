// What load reports and assignments cost a planner over each protocol, measured on real processes.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

namespace marldale::bench {

enum class Protocol { platform, platformBesideGrpc, grpc };
[[nodiscard]] const char* name(Protocol protocol);

struct ReportCost {
    std::size_t rows = 0;
    double cpuMs = 0;
    [[nodiscard]] double microsPerRow() const {
        return rows == 0 ? 0 : 1000 * cpuMs / static_cast<double>(rows);
    }
};
// `rounds` reports of each of three sites on each of 30 boxes, one every 10 ms.
[[nodiscard]] ReportCost costOfReports(Protocol protocol, int rounds);

struct OrderCost {
    std::size_t orders = 0, messages = 0;  // orders sent, and times that a relay was told something
    double cpuMs = 0;
    std::vector<double> latencyMs;  // from the word of discovery to each relay, in order of size
    [[nodiscard]] double latency(double share) const;
};
// `relays` join; then `changes` boxes, one after the other, are said to drain.
[[nodiscard]] OrderCost costOfOrders(Protocol protocol, int relays, int changes);

struct Crowd {
    std::size_t asked = 0, bound = 0;
    double residentMb = 0, idleResidentMb = 0;
    std::size_t descriptors = 0;
    [[nodiscard]] double kibPerStream() const {
        return bound == 0 ? 0 : 1024 * (residentMb - idleResidentMb) / static_cast<double>(bound);
    }
};
// That many relays with a stream and a connection each, all bound.
[[nodiscard]] Crowd crowd(int relays);

// Orders on all streams when every relay joins for the first time, and when all have broken off and joined
// again: as nodes that have forgotten what they held, and as nodes that tell it.
struct Rejoin {
    std::size_t first = 0, forgotten = 0, told = 0;
};
[[nodiscard]] Rejoin rejoin(int relays);

struct Idle {
    double residentMb = 0, anonymousMb = 0, startMs = 0;
    std::size_t descriptors = 0, threads = 0;
    bool mapsGrpc = false;
};
// A planner on its own, the best of `starts`.
[[nodiscard]] Idle idle(bool withGrpc, int starts);

}  // namespace marldale::bench
