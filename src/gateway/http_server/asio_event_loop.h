// The event loop and byte streams of production: Asio's `io_context` and TCP sockets.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>

#include "gateway/http_server/event_loop.h"

namespace marldale::http_server {

using Socket = boost::asio::basic_stream_socket<boost::asio::ip::tcp, boost::asio::io_context::executor_type>;

// Microseconds of the steady clock.
[[nodiscard]] Micros steadyNow();

// A connection that was accepted.
[[nodiscard]] std::unique_ptr<ByteStream> acceptedStream(Socket socket);

class AsioEventLoop final : public EventLoop {
public:
    explicit AsioEventLoop(boost::asio::io_context& context);
    ~AsioEventLoop() override;
    AsioEventLoop(const AsioEventLoop&) = delete;
    AsioEventLoop& operator=(const AsioEventLoop&) = delete;

    [[nodiscard]] Micros now() override { return steadyNow(); }
    void post(std::function<void()> work) override;
    void setAlarm(Micros when, AlarmHandler* handler) override;
    std::unique_ptr<ByteStream> newStream() override;
    [[nodiscard]] boost::asio::io_context& context() { return context_; }

private:
    boost::asio::io_context& context_;
    boost::asio::basic_waitable_timer<std::chrono::steady_clock,
                                      boost::asio::wait_traits<std::chrono::steady_clock>,
                                      boost::asio::io_context::executor_type>
        timer_;
    AlarmHandler* handler_ = nullptr;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace marldale::http_server
