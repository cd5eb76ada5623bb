#include "gateway/controller/calls.h"

#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

namespace marldale::controller {

const std::vector<const Call*>& calls() {
    static const std::vector<const Call*> all = {&kServersBeat,  &kServersLeave,   &kSettingsReplace,
                                                 &kSettingsRead, &kEmptyZoneBegin, &kEmptyZoneFinish,
                                                 &kStatus};
    return all;
}

CallMatch findCall(std::string_view method, std::string_view target) {
    const std::string_view path = target.substr(0, target.find('?'));
    CallMatch out;
    for (const Call* call : calls()) {
        const bool takesArgument = call->path.back() == '/';
        if (takesArgument
                ? path.substr(0, call->path.size()) != call->path || path.size() == call->path.size()
                : path != call->path)
            continue;
        out.pathExists = true;
        if (method != call->method) continue;
        out.call = call;
        out.argument = std::string(path.substr(std::min(path.size(), call->path.size())));
        return out;
    }
    return out;
}

Reply problemReply(int status, std::string_view text) {
    rapidjson::StringBuffer body;
    rapidjson::Writer<rapidjson::StringBuffer> json(body);
    json.StartObject();
    json.Key("problem");
    json.String(text.data(), static_cast<unsigned>(text.size()));
    json.EndObject();
    return {status, body.GetString(), {}};
}

}  // namespace marldale::controller
