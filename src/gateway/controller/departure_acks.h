// Tracks the departures of servers that have not been acknowledged yet. A departure is acknowledged once a
// majority of the voters has it on disk and no edge proxy of a reachable controller uses the server any more.
//
// An acknowledged departure therefore survives the loss of the controllers that heard of it first, a network
// partition that leaves them in the minority, and a restart of all controllers; and any request still on its
// way to the server was sent before the acknowledgement. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "policy/types.h"

namespace marldale::controller {

/// The requests for acknowledgement that are pending. One request may cover several departures.
class DepartureAcks {
public:
    using RequestNumber = std::uint64_t;

    /// Adds a request, which expires at `deadline`.
    void add(RequestNumber number, Micros deadline);
    /// The controller with this inside address has the departures on disk. Unknown numbers are ignored.
    void markDurable(RequestNumber number, const std::string& controller);
    /// No edge proxy of the controller with this inside address uses the servers any more.
    void markInForce(RequestNumber number, const std::string& controller);
    /// Removes and returns the requests that are on the disks of more than half of `voters` and in force at
    /// all of `controllers` (both given as inside addresses).
    [[nodiscard]] std::vector<RequestNumber> takeConfirmed(const std::vector<std::string>& voters,
                                                           const std::vector<std::string>& controllers);
    /// Removes and returns the requests past their deadline.
    [[nodiscard]] std::vector<RequestNumber> takeExpired(Micros now);
    /// Removes and returns all requests.
    [[nodiscard]] std::vector<RequestNumber> takeAll();

private:
    struct PendingRequest {
        Micros deadline = 0;
        std::set<std::string> durableAt, inForceAt;  // inside addresses
    };
    std::map<RequestNumber, PendingRequest> pending_;
};

}  // namespace marldale::controller
