#include "gateway/http_server/listener.h"

#include <boost/asio/ip/address_v4.hpp>

namespace marldale::http_server {
namespace {

namespace asio = boost::asio;

constexpr int kBacklog = 4096;
constexpr Micros kAcceptAgain = 20000;  // after an error, for instance without descriptors

}  // namespace

std::optional<asio::ip::tcp::endpoint> readEndpoint(std::string_view text) {
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) return std::nullopt;
    unsigned long long port = 0;
    if (!readNumber(text.substr(colon + 1), port) || port > 65535) return std::nullopt;
    boost::system::error_code error;
    const auto address = asio::ip::make_address_v4(std::string(text.substr(0, colon)), error);
    if (error) return std::nullopt;
    return asio::ip::tcp::endpoint(address, static_cast<unsigned short>(port));
}

Listener::Listener(asio::io_context& loop, Timers& timers, RequestHandler& handler,
                   std::function<bool()> mayAccept,
                   std::function<void(const std::shared_ptr<ClientConnection>&)> accepted)
    : Item(timers),
      loop_(loop),
      timers_(timers),
      handler_(handler),
      mayAccept_(std::move(mayAccept)),
      accepted_(std::move(accepted)),
      acceptor_(loop) {}

absl::Status Listener::listen(const std::string& address) {
    const auto endpoint = readEndpoint(address);
    if (!endpoint) return absl::InvalidArgumentError("no address to listen on: " + address);
    boost::system::error_code error;
    acceptor_.open(endpoint->protocol(), error);
    if (!error) acceptor_.set_option(asio::socket_base::reuse_address(true), error);
    if (!error) acceptor_.bind(*endpoint, error);
    if (!error) acceptor_.listen(kBacklog, error);
    if (error) return absl::UnavailableError("listening on " + address + ": " + error.message());
    accept();
    return absl::OkStatus();
}

unsigned short Listener::port() const {
    boost::system::error_code error;
    return acceptor_.local_endpoint(error).port();
}

void Listener::close() {
    boost::system::error_code error;
    acceptor_.close(error);
}

void Listener::due(Micros) { accept(); }

void Listener::accept() {
    if (!acceptor_.is_open()) return;
    acceptor_.async_accept(loop_, [this, alive = std::weak_ptr<int>(alive_)](
                                      const boost::system::error_code& error, Socket socket) {
        if (alive.expired() || !acceptor_.is_open()) return;
        if (error) {
            // Never for good: a listener that nobody hears of again takes its clients with it.
            wake(steadyNow() + kAcceptAgain);
            return;
        }
        take(std::move(socket));
        accept();
    });
}

void Listener::take(Socket socket) {
    if (!mayAccept_()) {
        boost::system::error_code ignored;
        socket.close(ignored);
        return;
    }
    const auto client =
        std::make_shared<ClientConnection>(acceptedStream(std::move(socket)), handler_, timers_);
    accepted_(client);
    client->start();
}

void Listener::acceptWaiting() {
    boost::system::error_code error;
    acceptor_.non_blocking(true, error);
    while (!error) {
        Socket socket(loop_);
        acceptor_.accept(socket, error);
        if (!error) take(std::move(socket));
    }
}

}  // namespace marldale::http_server
