// The calls of servers: heartbeats and sign-offs.
#include "gateway/controller/calls.h"
#include "gateway/controller/controller.h"
#include "gateway/registry/heartbeat.h"

namespace marldale::controller {
namespace {

void beat(Controller& controller, const Request& request, ReplyCallback sendReply) {
    const auto server = registry::parseHeartbeat(request.argument, request.body);
    if (!server.ok()) return sendReply(problemReply(400, std::string(server.status().message())));
    controller.beat(*server, std::move(sendReply));
}

void leave(Controller& controller, const Request& request, ReplyCallback sendReply) {
    if (auto s = registry::checkServerId(request.argument); !s.ok())
        return sendReply(problemReply(400, std::string(s.message())));
    controller.leave(request.argument, std::move(sendReply));
}

}  // namespace

const Call kServersBeat = {"POST", "/-/Servers.Beat/", "registers a server, or renews its registration",
                           beat};
const Call kServersLeave = {"POST", "/-/Servers.Leave/", "signs a server off", leave};

}  // namespace marldale::controller
