// The HTTP endpoints that servers and operators use. Each call is defined next to its handler, in
// calls_*.cpp; the control server finds it by method and path.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace marldale::controller {

class Controller;

/// An HTTP request to the control server.
struct Request {
    std::string method, target, body;
    std::string builtOn;   // the X-Built-On header, if sent
    std::string argument;  // the part of the path after `Call::path`, without the query string
};
/// The HTTP reply to a request.
struct Reply {
    int status = 200;
    std::string body = "{}";
    std::string location;  // for status 307
};
/// Sends the reply. It is called exactly once, before or after the handler returns.
using ReplyCallback = std::function<void(Reply)>;

/// One call: its method, its path and its handler.
struct Call {
    std::string_view method;
    std::string_view path;         // with a trailing slash if an argument follows
    std::string_view description;  // a line of the output of `marldale calls`
    void (*handle)(Controller&, const Request&, ReplyCallback);
};

extern const Call kServersBeat, kServersLeave, kSettingsReplace, kSettingsRead, kEmptyZoneBegin,
    kEmptyZoneFinish, kStatus;
/// All calls, in the order in which they are listed and matched.
[[nodiscard]] const std::vector<const Call*>& calls();
/// Result of `findCall`: the matching call (null if none) and its path argument.
struct CallMatch {
    const Call* call = nullptr;
    std::string argument;
    bool pathExists = false;  // some call has this path, perhaps with another method
};
/// Finds the call for a method and a request target; a query string is ignored.
[[nodiscard]] CallMatch findCall(std::string_view method, std::string_view target);
/// An error reply: a JSON object with the reason under "problem".
[[nodiscard]] Reply problemReply(int status, std::string_view text);

}  // namespace marldale::controller
