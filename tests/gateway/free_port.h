// Ports for tests with real sockets.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>

namespace marldale::tests {

/// Returns a port of the loopback address that nobody uses now. `type`: SOCK_STREAM or SOCK_DGRAM.
inline unsigned short freePort(int type) {
    const int socket = ::socket(AF_INET, type, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    REQUIRE(::bind(socket, reinterpret_cast<sockaddr*>(&address), size) == 0);
    REQUIRE(::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size) == 0);
    ::close(socket);
    return ntohs(address.sin_port);
}

}  // namespace marldale::tests
