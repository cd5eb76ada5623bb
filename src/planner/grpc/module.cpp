// What the planner finds when it loads this module.
#include "grpc/server.h"

extern "C" __attribute__((visibility("default"))) marldale::routing::Front* marldale_front(
    const marldale::routing::FrontSettings& settings, marldale::routing::FrontHost host) {
    return new marldale::grpc_front::Server(settings, std::move(host));
}
