// Writes the body of the status reply, `GET /-/Status`.
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include "gateway/controller/controller.h"

namespace marldale::controller {

// A named type for the JSON writer, so that controller.h can declare it without RapidJSON.
class StatusWriter : public rapidjson::Writer<rapidjson::StringBuffer> {
public:
    using Writer::Writer;
};

namespace {

using transport::steadyNow;

void writeString(StatusWriter& json, const std::string& text) {
    json.String(text.c_str(), static_cast<unsigned>(text.size()));
}

}  // namespace

std::string Controller::status() const {
    const Micros now = steadyNow();
    rapidjson::StringBuffer text;
    StatusWriter json(text);
    json.StartObject();
    json.Key("node");
    writeString(json, settings_.node);
    json.Key("leader");
    writeString(json, lastLeader_);
    json.Key("term");
    json.Uint64(replica_->term());
    json.Key("sure_age_us");
    json.Int64(replica_->quorumContactAge(now));
    json.Key("in_quorum_contact");
    json.Bool(inQuorumContact(now));
    json.Key("commit_index");
    json.Uint64(replica_->committed());
    json.Key("pending_orders");
    json.Uint64(orders_->pending());
    json.Key("loop_late_us");
    json.Int64(loopLateness_.worst(now));
    json.Key("voters");
    json.StartArray();
    for (const proto::Member& voter : replica_->members().voters()) writeString(json, voter.address());
    json.EndArray();
    json.Key("version");
    json.Uint64(configurations_.configuration().version);
    json.Key("index");
    json.Uint64(configurations_.index());
    json.Key("emptied");
    json.StartArray();
    for (const std::string& zone : configurations_.emptied()) writeString(json, zone);
    json.EndArray();
    writeProxies(json);
    writeServers(json, now);
    json.EndObject();
    return text.GetString();
}

void Controller::writeProxies(StatusWriter& json) const {
    json.Key("proxies");
    json.StartArray();
    for (const auto& [id, proxy] : proxies_) {
        json.StartObject();
        json.Key("node");
        writeString(json, proxy.peer.node());
        json.Key("zone");
        writeString(json, proxy.peer.zone());
        json.Key("index");
        json.Uint64(proxy.configurationIndex);
        json.Key("unanswered");
        json.Bool(distributor_.unanswered(id));
        json.EndObject();
    }
    json.EndArray();
}

void Controller::writeServers(StatusWriter& json, Micros now) const {
    json.Key("servers");
    json.StartArray();
    for (const auto& [id, server] : registry_.servers()) {
        json.StartObject();
        json.Key("id");
        writeString(json, id);
        json.Key("service");
        writeString(json, server.report.service());
        json.Key("address");
        writeString(json, server.report.address());
        json.Key("zone");
        writeString(json, server.report.zone());
        json.Key("emptying");
        json.Bool(server.report.emptying());
        json.Key("heard_ago_us");
        json.Int64(now - server.reportedAt);
        json.Key("cold_left_us");
        json.Int64(registry_.coldLeft(server, now));
        json.EndObject();
    }
    json.EndArray();
}

}  // namespace marldale::controller
