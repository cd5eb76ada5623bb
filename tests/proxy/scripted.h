// Scripted parties around a gateway, on loopback: boxes that do with each connection what a test says, and
// clients that speak bytes.
#pragma once

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace marldale::proxy::tests {

constexpr int kPatienceMs = 20000;  // until something that must come is missed

class Wire {
public:
    explicit Wire(int fd) : fd_(fd) {}
    static Wire to(std::uint16_t port) {
        const int fd = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_port = htons(port);
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0)
            throw std::runtime_error("no connection");
        return Wire(fd);
    }
    ~Wire() { close(); }
    Wire(Wire&& other) noexcept : fd_(std::exchange(other.fd_, -1)), got_(std::move(other.got_)) {}
    Wire& operator=(Wire&&) = delete;
    void close() {
        if (fd_ >= 0) ::close(std::exchange(fd_, -1));
    }
    [[nodiscard]] int fd() const { return fd_; }
    void sayNoMore() { shutdown(fd_, SHUT_WR); }
    void reset() {
        const linger hard{1, 0};
        setsockopt(fd_, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
        close();
    }
    void say(const std::string& bytes) {
        std::size_t at = 0;
        while (at < bytes.size()) {
            const ssize_t n = send(fd_, bytes.data() + at, bytes.size() - at, MSG_NOSIGNAL);
            if (n <= 0) return;
            at += static_cast<std::size_t>(n);
        }
    }
    // More bytes; false at the end, or if nothing came for long.
    bool more() {
        pollfd p{fd_, POLLIN, 0};
        if (poll(&p, 1, kPatienceMs) <= 0) return false;
        char piece[65536];
        const ssize_t n = recv(fd_, piece, sizeof piece, 0);
        if (n <= 0) return false;
        got_.append(piece, static_cast<std::size_t>(n));
        return true;
    }
    // Everything up to and with `end`; what is there if it does not come.
    std::string until(const std::string& end) {
        std::size_t at = 0;
        while ((at = got_.find(end)) == std::string::npos) {
            if (!more()) return std::exchange(got_, {});
        }
        const std::string out = got_.substr(0, at + end.size());
        got_.erase(0, at + end.size());
        return out;
    }
    std::string head() { return until("\r\n\r\n"); }
    std::string bytes(std::size_t count) {
        while (got_.size() < count && more()) {
        }
        const std::string out = got_.substr(0, count);
        got_.erase(0, count);
        return out;
    }
    std::string rest() {
        while (more()) {
        }
        return std::exchange(got_, {});
    }
    // The other side has ended it.
    bool ended() {
        while (more()) {
        }
        pollfd p{fd_, POLLIN, 0};
        return poll(&p, 1, kPatienceMs) == 1;
    }

private:
    int fd_;
    std::string got_;
};

// Each connection has a thread that runs the script with its number, from 0.
class ScriptedBox {
public:
    using Script = std::function<void(Wire&, int number)>;
    explicit ScriptedBox(Script script) : script_(std::move(script)) {
        listener_ = socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof at;
        if (bind(listener_, reinterpret_cast<sockaddr*>(&at), size) != 0 || listen(listener_, 512) != 0 ||
            getsockname(listener_, reinterpret_cast<sockaddr*>(&at), &size) != 0)
            throw std::runtime_error("no box");
        port_ = ntohs(at.sin_port);
        accepting_ = std::thread([this] {
            for (int number = 0;; ++number) {
                const int fd = accept(listener_, nullptr, nullptr);
                if (fd < 0) return;
                const std::lock_guard lock(mutex_);
                threads_.emplace_back([this, fd, number] {
                    Wire wire(fd);
                    ++connections_;
                    script_(wire, number);
                });
            }
        });
    }
    ~ScriptedBox() {
        stop();
        for (std::thread& t : threads_) t.join();
    }
    // Nobody listens there any more.
    void stop() {
        if (listener_ < 0) return;
        shutdown(listener_, SHUT_RDWR);
        accepting_.join();
        ::close(std::exchange(listener_, -1));
    }
    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
    [[nodiscard]] int connections() const { return connections_; }

private:
    Script script_;
    int listener_ = -1;
    std::uint16_t port_ = 0;
    std::atomic<int> connections_ = 0;
    std::mutex mutex_;
    std::vector<std::thread> threads_;
    std::thread accepting_;
};

inline std::string ok(const std::string& body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
// Answers every request without a body by its own name.
inline ScriptedBox::Script says(const std::string& text) {
    return [text](Wire& wire, int) {
        while (!wire.head().empty()) wire.say(ok(text));
    };
}

}  // namespace marldale::proxy::tests
