// The calls of servers: heartbeats and sign-offs.
#include <rapidjson/schema.h>
#include <rapidjson/stringbuffer.h>

#include "gateway/controller/calls.h"
#include "gateway/controller/controller.h"
#include "gateway/json/json.h"

namespace marldale::controller {
namespace {

constexpr const char* kHeartbeatSchema = R"({
 "type": "object", "required": ["service", "address", "zone"],
 "properties": {
  "service": {"type": "string", "minLength": 1, "maxLength": 200},
  "address": {"type": "string", "pattern": "^[0-9.]+:[0-9]+$"},
  "zone": {"type": "string", "minLength": 1, "maxLength": 200},
  "version": {"type": "string"},
  "free_places": {"type": "integer", "minimum": 0, "maximum": 100000},
  "server_state": {"enum": ["ready", "emptying"]},
  "cold_left": {"type": "string"},
  "call_count": {"type": "integer", "minimum": 0}
 }
})";

void beat(Controller& controller, const Request& request, ReplyCallback sendReply) {
    static const rapidjson::SchemaDocument schema = [] {
        rapidjson::Document document;
        document.Parse(kHeartbeatSchema);
        return rapidjson::SchemaDocument(document);
    }();
    std::string buffer;
    rapidjson::Document heartbeat;
    if (auto s = json::parse(request.body, buffer, heartbeat); !s.ok())
        return sendReply(problemReply(400, std::string(s.message())));
    rapidjson::SchemaValidator validator(schema);
    if (!heartbeat.Accept(validator)) {
        rapidjson::StringBuffer pointer;
        validator.GetInvalidDocumentPointer().StringifyUriFragment(pointer);
        return sendReply(problemReply(400, std::string(pointer.GetString()) + " breaks the rule '" +
                                               validator.GetInvalidSchemaKeyword() + "'"));
    }
    proto::Server server;
    server.set_id(request.argument);
    server.set_service(heartbeat["service"].GetString());
    server.set_address(heartbeat["address"].GetString());
    server.set_zone(heartbeat["zone"].GetString());
    if (heartbeat.HasMember("version")) server.set_version(heartbeat["version"].GetString());
    if (heartbeat.HasMember("free_places")) server.set_free_places(heartbeat["free_places"].GetUint());
    server.set_emptying(heartbeat.HasMember("server_state") &&
                        std::string(heartbeat["server_state"].GetString()) == "emptying");
    if (heartbeat.HasMember("cold_left")) {
        const auto cold = settings::readTime(heartbeat["cold_left"].GetString());
        if (!cold.ok())
            return sendReply(problemReply(400, "#/cold_left: " + std::string(cold.status().message())));
        server.set_cold_left(*cold);
    }
    if (heartbeat.HasMember("call_count")) server.set_call_count(heartbeat["call_count"].GetUint64());
    controller.beat(std::move(server), std::move(sendReply));
}

void leave(Controller& controller, const Request& request, ReplyCallback sendReply) {
    controller.leave(request.argument, std::move(sendReply));
}

}  // namespace

const Call kServersBeat = {"POST", "/-/Servers.Beat/", "registers a server, or renews its registration",
                           beat};
const Call kServersLeave = {"POST", "/-/Servers.Leave/", "signs a server off", leave};

}  // namespace marldale::controller
