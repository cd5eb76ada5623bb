#include "gateway/http_server/asio_event_loop.h"

#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <cerrno>
#include <chrono>
#include <limits>

namespace marldale::http_server {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

// What is tuned: connections that this process makes.
constexpr int kUnacknowledgedMost = 1500;        // ms that sent bytes may stay without an acknowledgement
constexpr int kProbeAfter = 1, kProbeEvery = 1;  // s: keep-alive probes of TCP

void setOption(int socket, int level, int name, int value) {
    ::setsockopt(socket, level, name, &value, sizeof value);
}

class AsioStream final : public ByteStream {
public:
    explicit AsioStream(Socket&& socket) : socket_(std::move(socket)) {}
    explicit AsioStream(asio::io_context& context) : socket_(context) {}

    bool connect(const asio::ip::tcp::endpoint& endpoint, HandlerPtr handler) override {
        error_code error;
        socket_.open(endpoint.protocol(), error);
        if (error) return false;
        socket_.non_blocking(true, error);
        const int raw = socket_.native_handle();
        setOption(raw, IPPROTO_TCP, TCP_NODELAY, 1);
        setOption(raw, IPPROTO_TCP, TCP_USER_TIMEOUT, kUnacknowledgedMost);
        setOption(raw, SOL_SOCKET, SO_KEEPALIVE, 1);
        setOption(raw, IPPROTO_TCP, TCP_KEEPIDLE, kProbeAfter);
        setOption(raw, IPPROTO_TCP, TCP_KEEPINTVL, kProbeEvery);
        socket_.async_connect(endpoint, [handler = std::move(handler)](const error_code& failed) {
            handler->onConnect(failed);
        });
        return true;
    }

    void readSome(asio::mutable_buffer room, HandlerPtr handler) override {
        socket_.async_read_some(room,
                                [handler = std::move(handler)](const error_code& error, std::size_t bytes) {
                                    handler->onRead(error, bytes);
                                });
    }

    void cancel() override {
        error_code ignored;
        socket_.cancel(ignored);
    }

    void awaitWritable(HandlerPtr handler) override {
        socket_.async_wait(Socket::wait_write, [handler = std::move(handler)](const error_code& error) {
            handler->onWritable(error);
        });
    }

    std::size_t writeNow(std::span<const asio::const_buffer> parts, error_code& error) override {
        const std::size_t written = socket_.write_some(parts, error);
        if (error != asio::error::would_block && error != asio::error::try_again) return error ? 0 : written;
        error = {};
        return 0;
    }

    bool quiet() override {
        char byte = 0;
        const auto got = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    }

    Micros sincePeerAcknowledged() override {
        tcp_info info{};
        socklen_t size = sizeof info;
        if (::getsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
            return std::numeric_limits<Micros>::max();
        }
        constexpr Micros kMillisecond = 1000;
        return std::min(info.tcpi_last_ack_recv, info.tcpi_last_data_recv) * kMillisecond;
    }

    bool allAcknowledged() override {
        int waiting = 0;
        return ::ioctl(socket_.native_handle(), TIOCOUTQ, &waiting) == 0 && waiting == 0;
    }

    void shutdownSend() override {
        error_code ignored;
        socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    }

    void close() override {
        error_code ignored;
        socket_.close(ignored);
    }

    void abort() override {
        error_code ignored;
        socket_.set_option(asio::socket_base::linger(true, 0), ignored);
        socket_.close(ignored);
    }

private:
    Socket socket_;
};

}  // namespace

void StreamHandler::onConnect(const error_code&) {}

Micros steadyNow() {
    return std::chrono::duration_cast<std::chrono::microseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

std::unique_ptr<ByteStream> acceptedStream(Socket socket) {
    error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket.non_blocking(true, ignored);
    return std::make_unique<AsioStream>(std::move(socket));
}

AsioEventLoop::AsioEventLoop(asio::io_context& context) : context_(context), timer_(context) {}
AsioEventLoop::~AsioEventLoop() = default;

void AsioEventLoop::post(std::function<void()> work) { asio::post(context_, std::move(work)); }

void AsioEventLoop::setAlarm(Micros when, AlarmHandler* handler) {
    handler_ = handler;
    if (handler == nullptr) {
        timer_.cancel();
        return;
    }
    timer_.expires_at(std::chrono::steady_clock::time_point(
        std::chrono::duration_cast<std::chrono::steady_clock::duration>(std::chrono::microseconds(when))));
    timer_.async_wait([this, alive = std::weak_ptr<int>(alive_)](const error_code& error) {
        if (error || alive.expired() || handler_ == nullptr) return;
        handler_->onAlarm();
    });
}

std::unique_ptr<ByteStream> AsioEventLoop::newStream() { return std::make_unique<AsioStream>(context_); }

}  // namespace marldale::http_server
