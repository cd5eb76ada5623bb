// What the planner believes about load and health, as a line for the log: to be laid beside what really
// crosses the sockets. Off by default; it follows what the module is told and what it orders, and decides
// nothing.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "policy/types.h"

namespace marldale::routing {

class Beliefs {
public:
    void told(Micros now, const std::vector<Event>& events);
    void ordered(const std::vector<Action>& actions);
    // Once a second; nothing in between.
    [[nodiscard]] std::optional<std::string> line(Micros now);

private:
    struct Seen {  // a server's tries as one zone met them
        double tries = 0, failed = 0, inFlight = 0;
        Micros at = 0;
    };
    std::map<std::pair<ServerId, ZoneId>, Seen> seen_;
    struct Came {
        double rate = 0;  // a second
        Micros at = 0;
    };
    std::map<std::pair<ProxyId, std::uint16_t>, Came> came_;
    std::map<std::pair<TableId, std::uint16_t>, SetLevel> levels_;  // by table and class mask
    std::map<TableId, std::map<ServerId, float>> lines_;
    std::set<ServerId> withdrawn_;
    Micros next_ = 0;
};

}  // namespace marldale::routing
