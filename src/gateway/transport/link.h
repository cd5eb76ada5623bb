// Frames over one TCP connection between processes of the system. One thread.
#pragma once

#include <utility>  // Boost 1.74 forgets it

#include <boost/asio.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "marldale/gateway/internal.pb.h"
#include "policy/types.h"

namespace marldale::transport {

namespace proto = gateway::proto;
using boost::asio::ip::tcp;

[[nodiscard]] Micros steadyNow();
// "10.0.0.1:80"; nothing if it is no address of IPv4 with a port.
[[nodiscard]] std::optional<tcp::endpoint> endpointOf(const std::string& address);
// A peer that says nothing at all ends the connection after this long.
void noticeSilence(tcp::socket& socket, Micros after);

class Link : public std::enable_shared_from_this<Link> {
public:
    struct Ends {
        std::function<void(const proto::Frame&)> heard;
        std::function<void()> closed;  // once, and not after `close`
    };
    explicit Link(tcp::socket socket) : socket_(std::move(socket)) {}

    void start(Ends ends);
    // Dropped if the link is closed. A peer that lets more than 16 MiB wait is cut off.
    void send(const proto::Frame& frame);
    /// A frame that is serialized already: what goes to many is serialized once.
    void sendSerialized(std::string_view frame);
    void close();
    [[nodiscard]] bool open() const { return open_; }
    [[nodiscard]] Micros heardAt() const { return heardAt_; }
    [[nodiscard]] std::size_t waiting() const { return waiting_.size() + sending_.size(); }

private:
    void read();
    void taken();
    void write();
    void fail();
    [[nodiscard]] bool begin(std::size_t length);

    tcp::socket socket_;
    Ends ends_;
    std::string in_, waiting_, sending_;
    std::size_t have_ = 0;
    bool open_ = true;
    Micros heardAt_ = 0;
};

// Dials until a bound is reached; `done` gets nothing where it came to nothing.
void dial(boost::asio::io_context& io, const std::string& address, Micros within,
          std::function<void(std::shared_ptr<Link>)> done);

}  // namespace marldale::transport
