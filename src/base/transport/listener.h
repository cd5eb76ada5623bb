// Accepts connections on one address.
#pragma once

#include <event2/listener.h>

#include <functional>
#include <memory>

#include "transport/address.h"
#include "transport/loop.h"

namespace marldale::transport {

class Listener {
public:
    // Throws std::runtime_error if the address cannot be had. Port 0 takes any free port.
    Listener(const Loop& loop, const Address& at, std::function<void(evutil_socket_t)> accepted);

    [[nodiscard]] std::uint16_t port() const;

private:
    struct Free {
        void operator()(evconnlistener* l) const { evconnlistener_free(l); }
    };
    std::function<void(evutil_socket_t)> accepted_;
    Timer again_;
    std::unique_ptr<evconnlistener, Free> listener_;
};

}  // namespace marldale::transport
