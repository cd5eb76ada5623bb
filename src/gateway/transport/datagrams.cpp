#include "gateway/transport/datagrams.h"

#include "absl/strings/str_cat.h"
#include "gateway/transport/link.h"

namespace marldale::transport {

using boost::asio::ip::udp;

Datagrams::Datagrams(boost::asio::io_context& io, std::string address, Heard heard)
    : address_(std::move(address)), heard_(std::move(heard)), socket_(io) {}

absl::Status Datagrams::open() {
    const auto endpoint = endpointOf(address_);
    if (!endpoint) return absl::InvalidArgumentError(absl::StrCat("inside: ", address_, " is no address"));
    boost::system::error_code wrong;
    socket_.open(udp::v4(), wrong);
    if (!wrong) socket_.non_blocking(true, wrong);
    if (!wrong) socket_.bind(udp::endpoint(endpoint->address(), endpoint->port()), wrong);
    if (wrong)
        return absl::UnavailableError(
            absl::StrCat("inside: can't take datagrams on ", address_, ": ", wrong.message()));
    receive();
    return absl::OkStatus();
}

void Datagrams::receive() {
    socket_.async_receive_from(boost::asio::buffer(in_), from_,
                               [this](boost::system::error_code wrong, std::size_t bytes) {
                                   if (wrong == boost::asio::error::operation_aborted || !socket_.is_open())
                                       return;
                                   gateway::proto::Shuffle shuffle;
                                   if (!wrong && shuffle.ParseFromArray(in_.data(), static_cast<int>(bytes)))
                                       heard_(shuffle);
                                   receive();
                               });
}

void Datagrams::send(const std::string& to, const gateway::proto::Shuffle& shuffle) {
    const auto endpoint = endpointOf(to);
    if (!endpoint || !socket_.is_open()) return;
    boost::system::error_code ignored;  // datagrams may be lost anyway
    socket_.send_to(boost::asio::buffer(shuffle.SerializeAsString()),
                    udp::endpoint(endpoint->address(), endpoint->port()), 0, ignored);
}

void Datagrams::close() {
    boost::system::error_code ignored;
    socket_.close(ignored);
}

}  // namespace marldale::transport
