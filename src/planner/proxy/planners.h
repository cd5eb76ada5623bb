// What steers a proxy, by whatever protocol: it brings orders to the gateway and counts to the planners.
#pragma once

#include <string>

#include "proxy/gateway.h"
#include "routing/logger.h"

namespace marldale::proxy {

class Planners {
public:
    virtual ~Planners() = default;
    virtual void bye() = 0;  // the proxy goes away in order
};

// Tells the steering whether a planner is there, and the log what that changes.
class StandingTeller {
public:
    StandingTeller(Gateway& gateway, routing::Logger log) : gateway_(gateway), log_(std::move(log)) {}
    void operator()(bool there, const std::string& why);

private:
    Gateway& gateway_;
    const routing::Logger log_;
    std::string lastWhy_;
};

}  // namespace marldale::proxy
