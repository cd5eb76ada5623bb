// Departures of servers that wait until a majority of the voters has them on disk. Only then is a server told
// that its departure is known: neither the loss of the controllers that heard of it first, nor a cut that
// leaves them on the smaller side, nor a restart of all of them takes it back. No I/O.
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
    void confirmed(Number number, const std::string& controller);
    /// Those that more than half of `voters` (inside addresses) have confirmed; they wait no more.
    [[nodiscard]] std::vector<Number> takeConfirmed(const std::vector<std::string>& voters);
    /// Those whose time is over; they wait no more.
    [[nodiscard]] std::vector<Number> takeLate(Micros now);
    /// All; none waits any more.
    [[nodiscard]] std::vector<Number> takeAll();

private:
    struct Waiting {
        Micros until = 0;
        std::set<std::string> confirmedBy;
    };
    std::map<Number, Waiting> waiting_;
};

}  // namespace marldale::controller
