// One TCP connection for bodies of any size: what comes in waits in a bounded buffer until it is taken, and
// whoever writes is told when the other side keeps up again.
#pragma once

#include <event2/bufferevent.h>

#include <functional>
#include <memory>
#include <string_view>

#include "transport/address.h"
#include "transport/loop.h"

namespace marldale::proxy {

class Stream {
public:
    static constexpr std::size_t kInputMost = 64 * 1024;    // bytes; the peer waits beyond
    static constexpr std::size_t kOutputHigh = 256 * 1024;  // bytes; who writes should wait beyond
    static constexpr std::size_t kOutputLow = 64 * 1024;    // `drained` is called at this

    struct Handlers {
        std::function<void()> connected;
        std::function<void()> readable;  // there is more to take
        std::function<void()> drained;
        std::function<void(bool dialling)> ended;  // at most once; nothing is called after it
    };
    // Dials: `connected` or `ended` follows within `limit`.
    Stream(transport::Loop& loop, const transport::Address& to, transport::Millis limit);
    Stream(transport::Loop& loop, evutil_socket_t accepted);
    ~Stream();
    Stream(const Stream&) = delete;
    Stream& operator=(const Stream&) = delete;

    void setHandlers(Handlers handlers) { handlers_ = std::move(handlers); }
    [[nodiscard]] bool open() const { return open_; }
    [[nodiscard]] bool lingers() const { return closing_; }  // its last bytes are still being written

    // What waits, in one piece: up to `most` bytes of it.
    [[nodiscard]] std::string_view peek(std::size_t most);
    [[nodiscard]] std::size_t available() const;
    void take(std::size_t bytes);

    void write(std::string_view bytes);
    [[nodiscard]] std::size_t pending() const;  // bytes that wait to be written
    // Bytes that the system has taken, or may have.
    [[nodiscard]] std::uint64_t written() const { return written_ - pending(); }
    [[nodiscard]] bool full() const { return pending() > kOutputHigh; }

    void close();
    // Once all is written, the other side has read it or `within` has passed.
    void closeAfterWriting(transport::Millis within);

private:
    struct Free {
        void operator()(bufferevent* b) const { bufferevent_free(b); }
    };
    explicit Stream(transport::Loop& loop);
    void adopt(evutil_socket_t fd);
    void onEvent(short what);
    void onWritten();
    void lingering();

    transport::Loop& loop_;
    Handlers handlers_;
    transport::Timer limit_;
    std::unique_ptr<bufferevent, Free> stream_;
    bool open_ = false, dialling_ = false, closing_ = false;
    std::uint64_t written_ = 0;
};

}  // namespace marldale::proxy
