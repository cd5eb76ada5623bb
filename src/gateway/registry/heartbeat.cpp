#include "gateway/registry/heartbeat.h"

#include "absl/strings/str_cat.h"
#include "gateway/json/json.h"
#include "gateway/settings/settings.h"

namespace marldale::registry {
namespace {

constexpr const char* kHeartbeatSchema = R"({
 "type": "object", "required": ["service", "address", "zone"],
 "properties": {
  "service": {"type": "string", "minLength": 1, "maxLength": 200},
  "address": {"type": "string", "pattern": "^[0-9.]+:[0-9]+$"},
  "zone": {"type": "string", "minLength": 1, "maxLength": 200},
  "version": {"type": "string", "maxLength": 200},
  "free_places": {"type": "integer", "minimum": 0, "maximum": 100000},
  "server_state": {"enum": ["ready", "emptying"]},
  "cold_left": {"type": "string"},
  "call_count": {"type": "integer", "minimum": 0}
 }
})";

std::string textOf(const rapidjson::Value& value) { return {value.GetString(), value.GetStringLength()}; }

}  // namespace

absl::Status checkServerId(std::string_view id) {
    if (id.size() > kMaxServerIdBytes)
        return absl::InvalidArgumentError(
            absl::StrCat("a server's id has at most ", kMaxServerIdBytes, " bytes"));
    if (!json::isUtf8(id)) return absl::InvalidArgumentError("a server's id is not UTF-8");
    return absl::OkStatus();
}

absl::StatusOr<proto::Server> parseHeartbeat(const std::string& id, std::string_view text) {
    if (auto s = checkServerId(id); !s.ok()) return s;
    std::string buffer;
    rapidjson::Document heartbeat;
    if (auto s = json::parse(text, buffer, heartbeat); !s.ok()) return s;
    static const json::Schema schema(kHeartbeatSchema);
    if (auto wrong = schema.violation(heartbeat); !wrong.empty()) return absl::InvalidArgumentError(wrong);
    proto::Server server;
    server.set_id(id);
    server.set_service(textOf(heartbeat["service"]));
    server.set_address(textOf(heartbeat["address"]));
    server.set_zone(textOf(heartbeat["zone"]));
    if (heartbeat.HasMember("version")) server.set_version(textOf(heartbeat["version"]));
    if (heartbeat.HasMember("free_places")) server.set_free_places(heartbeat["free_places"].GetUint());
    server.set_emptying(heartbeat.HasMember("server_state") &&
                        textOf(heartbeat["server_state"]) == "emptying");
    if (heartbeat.HasMember("cold_left")) {
        const auto cold = settings::readTime(textOf(heartbeat["cold_left"]));
        if (!cold.ok())
            return absl::InvalidArgumentError(absl::StrCat("#/cold_left: ", cold.status().message()));
        server.set_cold_left(*cold);
    }
    if (heartbeat.HasMember("call_count")) server.set_call_count(heartbeat["call_count"].GetUint64());
    return server;
}

}  // namespace marldale::registry
