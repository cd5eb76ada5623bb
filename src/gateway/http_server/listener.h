// Accepts connections for a handler.
#pragma once

#include <absl/status/status.h>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "gateway/http_server/asio_event_loop.h"
#include "gateway/http_server/client_connection.h"

namespace marldale::http_server {

// "10.1.0.34:8548". Nothing if it isn't one.
[[nodiscard]] std::optional<boost::asio::ip::tcp::endpoint> readEndpoint(std::string_view text);

class Listener : private Timers::Item {
public:
    // `mayAccept`: whether there is room for one more; where there is not, it is closed at once.
    Listener(boost::asio::io_context& loop, Timers& timers, RequestHandler& handler,
             std::function<bool()> mayAccept,
             std::function<void(const std::shared_ptr<ClientConnection>&)> accepted);
    // Invalid argument: no address. Unavailable: it can't be listened on.
    absl::Status listen(const std::string& address);
    // Accepts all connections that wait to be accepted now.
    void acceptWaiting();
    void close();
    [[nodiscard]] unsigned short port() const;

private:
    using Acceptor =
        boost::asio::basic_socket_acceptor<boost::asio::ip::tcp, boost::asio::io_context::executor_type>;
    void due(Micros now) override;
    void accept();
    void take(Socket socket);

    boost::asio::io_context& loop_;
    Timers& timers_;
    RequestHandler& handler_;
    std::function<bool()> mayAccept_;
    std::function<void(const std::shared_ptr<ClientConnection>&)> accepted_;
    Acceptor acceptor_;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}  // namespace marldale::http_server
