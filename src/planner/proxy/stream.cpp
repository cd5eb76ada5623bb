#include "proxy/stream.h"

#include <event2/buffer.h>
#include <event2/bufferevent_ssl.h>
#include <netinet/tcp.h>
#include <openssl/err.h>
#include <sys/socket.h>

#include <algorithm>
#include <stdexcept>

namespace marldale::proxy {

Stream::Stream(transport::Loop& loop) : loop_(loop), limit_(loop, [this] { onEvent(BEV_EVENT_TIMEOUT); }) {}

Stream::Stream(transport::Loop& loop, const transport::Address& to, transport::Millis limit,
               tls::SslHandle tls)
    : Stream(loop) {
    adopt(-1, std::move(tls), true);
    dialling_ = true;
    limit_.after(limit);
    const sockaddr_in address = to.socketAddress();
    if (bufferevent_socket_connect(stream_.get(), reinterpret_cast<const sockaddr*>(&address),
                                   sizeof address) != 0)
        limit_.after(transport::Millis{0});  // told from the loop, for the owner is still making this
}

Stream::Stream(transport::Loop& loop, evutil_socket_t accepted, tls::SslHandle tls) : Stream(loop) {
    adopt(accepted, std::move(tls), false);
    const int on = 1;
    setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

Stream::~Stream() { close(); }

void Stream::adopt(evutil_socket_t fd, tls::SslHandle tls, bool dials) {
    if (tls) {
        // The handle is the connection's from here on, whatever comes of it.
        stream_.reset(bufferevent_openssl_socket_new(
            loop_.base(), fd, tls.release(), dials ? BUFFEREVENT_SSL_CONNECTING : BUFFEREVENT_SSL_ACCEPTING,
            BEV_OPT_CLOSE_ON_FREE));
    } else {
        stream_.reset(bufferevent_socket_new(loop_.base(), fd, BEV_OPT_CLOSE_ON_FREE));
    }
    if (!stream_) throw std::runtime_error("no connection can be made");
    open_ = true;
    bufferevent_setwatermark(stream_.get(), EV_READ, 0, kInputMost);
    bufferevent_setwatermark(stream_.get(), EV_WRITE, kOutputLow, 0);
    bufferevent_setcb(
        stream_.get(),
        [](bufferevent*, void* self) {
            auto* s = static_cast<Stream*>(self);
            if (s->closing_) return s->lingering();
            // A copy: whoever is called may set others.
            const auto readable = s->handlers_.readable;
            if (s->open_ && readable) readable();
        },
        [](bufferevent*, void* self) { static_cast<Stream*>(self)->onWritten(); },
        [](bufferevent*, short what, void* self) { static_cast<Stream*>(self)->onEvent(what); }, this);
    bufferevent_enable(stream_.get(), EV_READ | EV_WRITE);
}

std::string_view Stream::peek(std::size_t most) {
    if (!stream_) return {};
    evbuffer* const input = bufferevent_get_input(stream_.get());
    const std::size_t size = std::min(most, evbuffer_get_length(input));
    if (size == 0) return {};
    return {reinterpret_cast<const char*>(evbuffer_pullup(input, static_cast<ev_ssize_t>(size))), size};
}

std::size_t Stream::available() const {
    return stream_ ? evbuffer_get_length(bufferevent_get_input(stream_.get())) : 0;
}

void Stream::take(std::size_t bytes) {
    if (stream_) evbuffer_drain(bufferevent_get_input(stream_.get()), bytes);
}

void Stream::write(std::string_view bytes) {
    if (!open_ || bytes.empty()) return;
    written_ += bytes.size();
    bufferevent_write(stream_.get(), bytes.data(), bytes.size());
}

std::size_t Stream::pending() const {
    return stream_ ? evbuffer_get_length(bufferevent_get_output(stream_.get())) : 0;
}

void Stream::onWritten() {
    if (closing_) {
        if (pending() > 0) return;
        return sayNoMore();
    }
    const auto drained = handlers_.drained;
    if (open_ && drained) drained();
}

// Nothing more goes; what still comes is read away, so that the last answer is not lost to a reset.
void Stream::sayNoMore() {
    if (SSL* const ssl = bufferevent_openssl_get_ssl(stream_.get())) {
        SSL_shutdown(ssl);
        ERR_clear_error();  // what it could not say must not be taken for another connection's error
    }
    shutdown(bufferevent_getfd(stream_.get()), SHUT_WR);
}

void Stream::lingering() { take(available()); }

void Stream::onEvent(short what) {
    if (closing_) return close();
    if (!open_) return;
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        limit_.cancel();
        dialling_ = false;
        const int on = 1;
        setsockopt(bufferevent_getfd(stream_.get()), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const auto connected = handlers_.connected;
        if (connected) connected();
        return;
    }
    const bool dialling = dialling_;
    const Handlers handlers = handlers_;  // the owner may let this go
    endedWhole_ = (what & BEV_EVENT_EOF) != 0;
    const bool plain =
        bufferevent_openssl_get_ssl(stream_.get()) == nullptr;  // libevent ends both ways of TLS
    if (endedWhole_ && !dialling && plain && handlers.halfClosed && handlers.halfClosed()) return;
    open_ = false;
    limit_.cancel();
    if (handlers.ended) handlers.ended(dialling);
}

void Stream::close() {
    open_ = closing_ = false;
    limit_.cancel();
    if (!stream_) return;
    bufferevent_setcb(stream_.get(), nullptr, nullptr, nullptr, nullptr);
    loop_.bury(std::move(stream_));
}

void Stream::closeAfterWriting(transport::Millis within) {
    if (!open_) return close();
    open_ = false;
    closing_ = true;
    handlers_ = {};
    bufferevent_setwatermark(stream_.get(), EV_WRITE, 0, 0);
    bufferevent_enable(stream_.get(), EV_READ | EV_WRITE);
    limit_.after(within);
    if (pending() == 0) onWritten();
}

}  // namespace marldale::proxy
