// Shuffles as datagrams on the process's own inside address.
#pragma once

#include <utility>  // Boost 1.74 forgets it

#include <array>
#include <boost/asio.hpp>
#include <functional>
#include <string>

#include "absl/status/status.h"
#include "marldale/gateway/internal.pb.h"

namespace marldale::transport {

class Datagrams {
public:
    using Heard = std::function<void(const gateway::proto::Shuffle&)>;
    Datagrams(boost::asio::io_context& io, std::string address, Heard heard);
    [[nodiscard]] absl::Status open();
    void send(const std::string& to, const gateway::proto::Shuffle& shuffle);
    void close();

private:
    void receive();

    std::string address_;
    Heard heard_;
    boost::asio::ip::udp::socket socket_;
    boost::asio::ip::udp::endpoint from_;
    std::array<char, 8192> in_{};
};

}  // namespace marldale::transport
