#include "gateway/controller/control_server.h"

#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <optional>

#include "absl/strings/str_cat.h"
#include "gateway/transport/link.h"

namespace marldale::controller {
namespace {

namespace beast = boost::beast;
namespace http = beast::http;
using boost::asio::ip::tcp;

constexpr std::size_t kMaxConnections = 2000;
constexpr std::size_t kMaxBodyBytes =
    std::size_t{6} << 20U;  // a configuration of 140,000 routes arrives in parts, never as one body
constexpr auto kReadTimeout = std::chrono::seconds(30);  // an idle connection is closed after this
constexpr auto kReplyTimeout = std::chrono::seconds(10);

class Session : public std::enable_shared_from_this<Session> {
public:
    Session(tcp::socket socket, const ControlServer::RequestHandler& handle,
            std::shared_ptr<std::size_t> connectionCount, std::shared_ptr<bool> closing)
        : stream_(std::move(socket)),
          handle_(handle),
          connectionCount_(std::move(connectionCount)),
          closing_(std::move(closing)) {
        ++*connectionCount_;
    }
    ~Session() { --*connectionCount_; }
    Session(const Session&) = delete;
    Session& operator=(const Session&) = delete;

    void read() {
        parser_.emplace();
        parser_->body_limit(kMaxBodyBytes);
        stream_.expires_after(kReadTimeout);
        http::async_read(stream_, buffer_, *parser_,
                         [self = shared_from_this()](beast::error_code error, std::size_t) {
                             if (error == http::error::body_limit)
                                 return self->sendReply(problemReply(413, "too large"), false);
                             if (error) return self->close();
                             self->handle();
                         });
    }

private:
    void handle() {
        stream_.expires_after(kReplyTimeout);
        const auto& message = parser_->get();
        Request request{std::string(message.method_string()),
                        std::string(message.target()),
                        message.body(),
                        std::string(message["X-Built-On"]),
                        {}};
        const bool keepAlive = message.keep_alive() && !*closing_;
        handle_(std::move(request), [self = shared_from_this(), keepAlive](Reply reply) {
            self->sendReply(std::move(reply), keepAlive);
        });
    }
    void sendReply(Reply reply, bool keepAlive) {
        if (replySent_) return;
        replySent_ = true;
        response_ = {};
        response_.version(11);
        response_.result(static_cast<unsigned>(reply.status));
        response_.set(http::field::content_type, "application/json");
        if (!reply.location.empty()) response_.set(http::field::location, reply.location);
        response_.body() = std::move(reply.body);
        response_.keep_alive(keepAlive);
        response_.prepare_payload();
        http::async_write(stream_, response_,
                          [self = shared_from_this(), keepAlive](beast::error_code error, std::size_t) {
                              if (error || !keepAlive) return self->close();
                              self->replySent_ = false;
                              self->read();
                          });
    }
    void close() {
        beast::error_code ignored;
        stream_.socket().shutdown(tcp::socket::shutdown_both, ignored);
        stream_.close();
    }

    beast::tcp_stream stream_;
    const ControlServer::RequestHandler& handle_;
    std::shared_ptr<std::size_t> connectionCount_;
    std::shared_ptr<bool> closing_;
    beast::flat_buffer buffer_;
    std::optional<http::request_parser<http::string_body>> parser_;
    http::response<http::string_body> response_;
    bool replySent_ = false;
};

}  // namespace

ControlServer::ControlServer(boost::asio::io_context& io, std::string address, RequestHandler handle)
    : io_(io), address_(std::move(address)), handle_(std::move(handle)), acceptor_(io) {}

absl::Status ControlServer::listen() {
    const auto endpoint = transport::endpointOf(address_);
    if (!endpoint)
        return absl::InvalidArgumentError(
            absl::StrCat("control: ", address_, " is not an IPv4 address with a port"));
    boost::system::error_code error;
    acceptor_.open(endpoint->protocol(), error);
    if (!error) acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error) acceptor_.bind(*endpoint, error);
    if (!error) acceptor_.listen(512, error);
    if (error)
        return absl::UnavailableError(
            absl::StrCat("control: cannot listen on ", address_, ": ", error.message()));
    accept();
    return absl::OkStatus();
}

void ControlServer::accept() {
    acceptor_.async_accept([this](boost::system::error_code error, tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted || !acceptor_.is_open()) return;
        if (!error && *connections_ < kMaxConnections) {
            boost::system::error_code ignored;
            socket.set_option(tcp::no_delay(true), ignored);
            std::make_shared<Session>(std::move(socket), handle_, connections_, closing_)->read();
        }
        accept();
    });
}

void ControlServer::close() {
    *closing_ = true;
    boost::system::error_code ignored;
    acceptor_.close(ignored);
}

}  // namespace marldale::controller
