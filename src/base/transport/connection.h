// One TCP connection of bytes. What comes in is handed on as it comes, in pieces of any size; what goes out
// waits in a bounded buffer.
#pragma once

#include <event2/bufferevent.h>

#include <functional>
#include <memory>
#include <string_view>

#include "transport/address.h"
#include "transport/loop.h"

namespace marldale::transport {

enum class Ended { refused, connectTimeout, closed, reset };

[[nodiscard]] const char* name(Ended how);

class Connection {
public:
    struct Handlers {
        std::function<void()> connected;
        std::function<void(std::string_view)> received;
        std::function<void(Ended)> ended;  // at most once; nothing is called after it
    };

    // Dials; `connected` or `ended` follows within `limit`.
    Connection(Loop& loop, const Address& to, Millis limit, std::size_t outputMost, Handlers handlers);
    // Takes over an accepted socket.
    Connection(Loop& loop, evutil_socket_t accepted, std::size_t outputMost, Handlers handlers);

    // False, and the connection is closed as by `close`, if what waits to be written would pass the bound.
    bool write(std::string_view bytes);
    // Ends it without a word: no handler is called any more.
    void close();
    // Ends it with a last word, as far as the system takes it at once: nobody is waited for.
    void close(std::string_view lastWord);
    // Hands on what has come and was not read yet; for whoever must decide now.
    void readNow();

private:
    struct Free {
        void operator()(bufferevent* b) const { bufferevent_free(b); }
    };

    Connection(Loop& loop, std::size_t outputMost, Handlers handlers);
    void adopt(evutil_socket_t fd);
    void onRead();
    void onEvent(short what);
    void end(Ended how);

    Loop& loop_;
    std::size_t outputMost_;
    Handlers handlers_;
    Timer connectLimit_;
    std::unique_ptr<bufferevent, Free> stream_;
    bool open_ = false;
};

}  // namespace marldale::transport
