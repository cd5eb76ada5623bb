// One TCP connection for bodies of any size: what comes in waits in a bounded buffer until it is taken, and
// whoever writes is told when the other side keeps up again.
#pragma once

#include <event2/bufferevent.h>
#include <openssl/ssl.h>

#include <functional>
#include <memory>
#include <string_view>

#include "tls/context.h"
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
        // The other side says no more, and may still be written to. True: that is wanted, and `ended` comes
        // when writing fails or `close` is called; absent or false: this is the end.
        std::function<bool()> halfClosed;
        std::function<void(bool dialling)> ended;  // at most once; nothing is called after it
    };
    // Dials: `connected` or `ended` follows within `limit`. `tls`: null for plain TCP; `connected` comes
    // after its handshake then, so that nothing is written to a box that is not the one that was meant.
    Stream(transport::Loop& loop, const transport::Address& to, transport::Millis limit,
           tls::SslHandle tls = {});
    Stream(transport::Loop& loop, evutil_socket_t accepted, tls::SslHandle tls = {});
    ~Stream();
    Stream(const Stream&) = delete;
    Stream& operator=(const Stream&) = delete;

    void setHandlers(Handlers handlers) { handlers_ = std::move(handlers); }
    [[nodiscard]] bool open() const { return open_; }
    // After the end: the other side had said all that it wanted to. A reset, a timeout, or TLS without its
    // closing word is no such end: what came until then may be a part.
    [[nodiscard]] bool endedWhole() const { return endedWhole_; }
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
    void adopt(evutil_socket_t fd, tls::SslHandle tls, bool dials);
    void sayNoMore();
    void onEvent(short what);
    void onWritten();
    void lingering();

    transport::Loop& loop_;
    Handlers handlers_;
    transport::Timer limit_;
    std::unique_ptr<bufferevent, Free> stream_;
    bool open_ = false, dialling_ = false, closing_ = false, endedWhole_ = false;
    std::uint64_t written_ = 0;
};

}  // namespace marldale::proxy
