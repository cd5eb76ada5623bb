// Calls of servers and operators. Each is declared beside its handler (the files calls_*.cpp); the server of
// control finds them by method and path.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace marldale::controller {

class Controller;

struct Request {
    std::string method, target, body;
    std::string builtOn;   // X-Built-On, where sent
    std::string argument;  // what follows the call's path
};
struct Reply {
    int status = 200;
    std::string body = "{}";
    std::string location;  // of a 307
};
using Answer = std::function<void(Reply)>;  // exactly once, at any time

struct Call {
    std::string_view method;
    std::string_view path;         // with a trailing slash: an argument follows
    std::string_view description;  // one line for `marldale calls`
    void (*handle)(Controller&, const Request&, Answer);
};

// One declaration a file.
extern const Call kBeat, kLeave, kReplace, kRead, kEmptyBegin, kEmptyFinish, kStatus;
[[nodiscard]] const std::vector<const Call*>& calls();
// The call and its argument; nothing if there is none. `known`: the path is there, but not with this method.
struct Found {
    const Call* call = nullptr;
    std::string argument;
    bool known = false;
};
[[nodiscard]] Found findCall(std::string_view method, std::string_view target);
// A JSON object with the reason under "problem".
[[nodiscard]] Reply problem(int status, std::string_view text);

}  // namespace marldale::controller
