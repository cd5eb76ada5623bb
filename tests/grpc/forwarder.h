// Carries TCP between a client and a server on loopback, until it is told to fall silent: then both ends stay
// open and nothing passes any more, as when a machine vanishes; or cuts a connection in its middle.
#pragma once

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <map>
#include <thread>
#include <vector>

namespace marldale::tests {

class Forwarder {
public:
    explicit Forwarder(std::uint16_t to) : to_(to), listener_(listening()) {
        thread_ = std::thread([this] { run(); });
    }
    ~Forwarder() {
        ends_ = true;
        thread_.join();
        close(listener_);
        for (const auto& [a, b] : peers_) close(a);
    }
    Forwarder(const Forwarder&) = delete;
    Forwarder& operator=(const Forwarder&) = delete;

    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
    void fallSilent() { silent_ = true; }
    void silentAfter(std::size_t bytes) { silentAfter_ = bytes; }
    // The connection on which so many bytes have passed, in both directions, is cut there.
    void cutAfter(std::size_t bytes) { cutAfter_ = bytes; }

private:
    int listening() {
        const int fd = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at);
        listen(fd, 64);
        socklen_t size = sizeof at;
        getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
        port_ = ntohs(at.sin_port);
        return fd;
    }
    void accept() {
        const int client = ::accept(listener_, nullptr, nullptr);
        const int server = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        at.sin_port = htons(to_);
        connect(server, reinterpret_cast<sockaddr*>(&at), sizeof at);
        peers_[client] = server;
        peers_[server] = client;
    }
    void run() {
        while (!ends_) {
            std::vector<pollfd> watched = {{listener_, POLLIN, 0}};
            if (!silent_) {
                for (const auto& [from, to] : peers_) watched.push_back({from, POLLIN, 0});
            }
            if (poll(watched.data(), watched.size(), 10) <= 0 || silent_) continue;
            if ((watched[0].revents & POLLIN) != 0) accept();
            for (std::size_t i = 1; i < watched.size(); ++i) {
                if (watched[i].revents != 0) carry(watched[i].fd);
            }
        }
    }
    void carry(int from) {
        const auto at = peers_.find(from);
        if (at == peers_.end()) return;
        std::array<char, 16384> piece{};
        const ssize_t got = recv(from, piece.data(), piece.size(), 0);
        carried_ += got > 0 ? static_cast<std::size_t>(got) : 0;
        if (carried_ >= silentAfter_) silent_ = true;
        if (got > 0 && carried_ < cutAfter_) {
            (void)send(at->second, piece.data(), static_cast<std::size_t>(got), MSG_NOSIGNAL);
            return;
        }
        const int other = at->second;
        peers_.erase(from);
        peers_.erase(other);
        close(from);
        close(other);
    }

    const std::uint16_t to_;
    std::uint16_t port_ = 0;
    const int listener_;
    std::map<int, int> peers_;
    std::size_t carried_ = 0;
    std::atomic<std::size_t> cutAfter_ = ~std::size_t{0}, silentAfter_ = ~std::size_t{0};
    std::atomic<bool> silent_ = false, ends_ = false;
    std::thread thread_;
};

}  // namespace marldale::tests
