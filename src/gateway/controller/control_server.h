// The control server: HTTP/1.1 on Boost.Beast, for the calls of servers and operators.
#pragma once

#include <utility>  // Boost 1.74 forgets it

#include <boost/asio.hpp>
#include <functional>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "gateway/controller/calls.h"

namespace marldale::controller {

/// Accepts connections on the control address and passes each request to a handler.
class ControlServer {
public:
    /// Takes a request and sends its reply through the callback.
    using RequestHandler = std::function<void(Request, ReplyCallback)>;
    ControlServer(boost::asio::io_context& io, std::string address, RequestHandler handle);
    /// Starts to accept connections.
    [[nodiscard]] absl::Status listen();
    /// Accepts no more connections; open ones are closed after their next reply.
    void close();
    /// The number of open connections.
    [[nodiscard]] std::size_t connections() const { return *connections_; }

private:
    void accept();

    boost::asio::io_context& io_;
    std::string address_;
    RequestHandler handle_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::shared_ptr<std::size_t> connections_ = std::make_shared<std::size_t>(0);
    std::shared_ptr<bool> closing_ = std::make_shared<bool>(false);
};

}  // namespace marldale::controller
