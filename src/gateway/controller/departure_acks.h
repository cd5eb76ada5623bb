// Departures of servers that wait to be acknowledged: until a majority of the voters has them on disk, and no
// edge proxy of a controller in reach uses the servers any more. Neither the loss of the controllers that
// heard of a departure first, nor a cut that leaves them on the smaller side, nor a restart of all of them
// takes it back, and what is still on its way to a server was sent before the acknowledgement. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "policy/types.h"

namespace marldale::controller {

class DepartureAcks {
public:
    using Number = std::uint64_t;

    /// Waits from now on, until `until` at most.
    void add(Number number, Micros until);
    /// The controller with this inside address has the departure on disk. Unknown numbers are ignored.
    void durableAt(Number number, const std::string& controller);
    /// No edge proxy of the controller with this inside address uses the server any more.
    void inForceAt(Number number, const std::string& controller);
    /// Those that are on the disks of more than half of `voters`, and in force at all of `needed` (inside
    /// addresses); they wait no more.
    [[nodiscard]] std::vector<Number> takeConfirmed(const std::vector<std::string>& voters,
                                                    const std::vector<std::string>& needed);
    /// Those whose time is over; they wait no more.
    [[nodiscard]] std::vector<Number> takeLate(Micros now);
    /// All; none waits any more.
    [[nodiscard]] std::vector<Number> takeAll();

private:
    struct Waiting {
        Micros until = 0;
        std::set<std::string> durableAt, inForceAt;  // inside addresses
    };
    std::map<Number, Waiting> waiting_;
};

}  // namespace marldale::controller
