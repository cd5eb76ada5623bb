#include "transport/listener.h"

#include <sys/socket.h>

#include <cerrno>
#include <cstring>
#include <stdexcept>

namespace marldale::transport {
namespace {

constexpr int kBacklog = 1024;       // hundreds may come at once; one that finds no place waits for a second
constexpr Millis kAcceptAgain{100};  // pause when the process is out of descriptors

}  // namespace

Listener::Listener(const Loop& loop, const Address& at, std::function<void(evutil_socket_t)> accepted)
    : accepted_(std::move(accepted)), again_(loop, [this] { evconnlistener_enable(listener_.get()); }) {
    const auto onAccept = [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
        static_cast<Listener*>(self)->accepted_(fd);
    };
    const sockaddr_in address = at.socketAddress();
    // The address of a killed predecessor is used again at once.
    listener_.reset(evconnlistener_new_bind(
        loop.base(), onAccept, this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
        kBacklog, reinterpret_cast<const sockaddr*>(&address), sizeof address));
    if (!listener_) {
        throw std::runtime_error("can't listen on " + at.text() + ": " + std::strerror(errno));
    }
    // Out of descriptors accept() fails at once, over and over: a pause keeps the loop from spinning.
    evconnlistener_set_error_cb(listener_.get(), [](evconnlistener* l, void* self) {
        evconnlistener_disable(l);
        static_cast<Listener*>(self)->again_.after(kAcceptAgain);
    });
}

std::uint16_t Listener::port() const {
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getsockname(evconnlistener_get_fd(listener_.get()), reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

}  // namespace marldale::transport
