#include "transport/connection.h"

#include <event2/buffer.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <stdexcept>

namespace marldale::transport {
namespace {

// Orders and answers are small and waited for: they must not sit in Nagle's buffer.
void sendAtOnce(evutil_socket_t fd) {
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

}  // namespace

const char* name(Ended how) {
    switch (how) {
        case Ended::refused: return "refused";
        case Ended::connectTimeout: return "no connection in time";
        case Ended::closed: return "closed";
        case Ended::reset: return "reset";
    }
    return "?";
}

Connection::Connection(Loop& loop, std::size_t outputMost, Handlers handlers)
    : loop_(loop),
      outputMost_(outputMost),
      handlers_(std::move(handlers)),
      connectLimit_(loop, [this] { end(Ended::connectTimeout); }) {}

Connection::Connection(Loop& loop, const Address& to, Millis limit, std::size_t outputMost, Handlers handlers)
    : Connection(loop, outputMost, std::move(handlers)) {
    adopt(-1);
    connectLimit_.after(limit);
    const sockaddr_in address = to.socketAddress();
    if (bufferevent_socket_connect(stream_.get(), reinterpret_cast<const sockaddr*>(&address),
                                   sizeof address) != 0) {
        // Out of descriptors, say. It is told from the loop, for the owner is still making this object.
        connectLimit_.after(Millis{0});
    }
}

Connection::Connection(Loop& loop, evutil_socket_t accepted, std::size_t outputMost, Handlers handlers)
    : Connection(loop, outputMost, std::move(handlers)) {
    adopt(accepted);
    sendAtOnce(accepted);
}

void Connection::adopt(evutil_socket_t fd) {
    stream_.reset(bufferevent_socket_new(loop_.base(), fd, BEV_OPT_CLOSE_ON_FREE));
    if (!stream_) throw std::runtime_error("no connection can be made");
    open_ = true;
    bufferevent_setcb(
        stream_.get(), [](bufferevent*, void* self) { static_cast<Connection*>(self)->onRead(); }, nullptr,
        [](bufferevent*, short what, void* self) { static_cast<Connection*>(self)->onEvent(what); }, this);
    bufferevent_enable(stream_.get(), EV_READ | EV_WRITE);
}

bool Connection::write(std::string_view bytes) {
    if (!open_) return false;
    if (evbuffer_get_length(bufferevent_get_output(stream_.get())) + bytes.size() > outputMost_) {
        close();
        return false;
    }
    bufferevent_write(stream_.get(), bytes.data(), bytes.size());
    return true;
}

void Connection::close() {
    open_ = false;
    connectLimit_.cancel();
    if (!stream_) return;
    bufferevent_setcb(stream_.get(), nullptr, nullptr, nullptr, nullptr);
    loop_.bury(std::move(stream_));
}

void Connection::close(std::string_view lastWord) {
    if (open_ && write(lastWord)) {
        evbuffer* const output = bufferevent_get_output(stream_.get());
        evbuffer_unfreeze(output, 1);  // libevent keeps it for itself while the connection stands
        evbuffer_write(output, bufferevent_getfd(stream_.get()));
    }
    close();
}

void Connection::readNow() {
    if (!open_) return;
    evbuffer* const input = bufferevent_get_input(stream_.get());
    evbuffer_unfreeze(input, 0);
    evbuffer_read(input, bufferevent_getfd(stream_.get()), -1);
    evbuffer_freeze(input, 0);
    onRead();
}

void Connection::onRead() {
    std::array<char, 16384> piece{};
    while (open_) {
        const std::size_t got = bufferevent_read(stream_.get(), piece.data(), piece.size());
        if (got == 0) return;
        handlers_.received({piece.data(), got});
    }
}

void Connection::onEvent(short what) {
    if (!open_) return;
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        connectLimit_.cancel();
        sendAtOnce(bufferevent_getfd(stream_.get()));
        if (handlers_.connected) handlers_.connected();
        return;
    }
    const bool dialling = connectLimit_.pending();
    if (!dialling) onRead();  // what came before the end still counts
    if (!open_) return;
    if (dialling) return end(Ended::refused);
    end((what & BEV_EVENT_EOF) != 0 ? Ended::closed : Ended::reset);
}

void Connection::end(Ended how) {
    if (!open_) return;
    close();
    if (handlers_.ended) handlers_.ended(how);
}

}  // namespace marldale::transport
