// One GET over evhttp: whole, or as a stream of pieces that remains open.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "transport/address.h"
#include "transport/loop.h"

struct evhttp_connection;
struct evhttp_request;

namespace marldale::transport {

enum class HttpEnd { answered, timeout, unreachable, broken };

[[nodiscard]] const char* name(HttpEnd how);

struct HttpLimits {
    Millis firstByte{0};       // from the dial to the answer's first piece
    Millis silence{0};         // between two pieces of a stream
    std::size_t bodyMost = 0;  // bytes that may be buffered
};

class HttpGet {
public:
    struct Handlers {
        std::function<void(std::string_view)> piece;  // given: the body is handed on as it comes
        // At most once; nothing is called after it. `status` is 0 unless there was an answer.
        std::function<void(HttpEnd, int status, std::string_view body)> ended;
    };

    HttpGet(const Loop& loop, const Address& to, const std::string& path, HttpLimits limits,
            Handlers handlers);
    ~HttpGet();
    HttpGet(const HttpGet&) = delete;
    HttpGet& operator=(const HttpGet&) = delete;

    void cancel();  // no handler is called any more

private:
    struct Free {
        void operator()(evhttp_connection* c) const;
    };

    void onPiece(evhttp_request* request);
    void onDone(evhttp_request* request);
    void end(HttpEnd how, int status, std::string_view body);

    HttpLimits limits_;
    Handlers handlers_;
    HttpEnd failure_ = HttpEnd::unreachable;
    bool open_ = true;
    Timer limit_;
    std::unique_ptr<evhttp_connection, Free> connection_;
};

}  // namespace marldale::transport
