#include "gateway/transport/link.h"

#include <netinet/tcp.h>

#include <chrono>
#include <cstring>

namespace marldale::transport {
namespace {

constexpr std::size_t kFrameMost = std::size_t{8} << 20U;
constexpr std::size_t kWaitingMost = std::size_t{16} << 20U;
constexpr std::size_t kReadAtOnce = 16384;
constexpr Micros kSilenceMost = 1500000;

}  // namespace

Micros steadyNow() {
    return std::chrono::duration_cast<std::chrono::microseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

std::optional<tcp::endpoint> endpointOf(const std::string& address) {
    const auto colon = address.rfind(':');
    if (colon == std::string::npos) return std::nullopt;
    boost::system::error_code wrong;
    const auto ip = boost::asio::ip::make_address_v4(address.substr(0, colon), wrong);
    const long port = std::strtol(address.c_str() + colon + 1, nullptr, 10);
    if (wrong || port <= 0 || port > 65535) return std::nullopt;
    return tcp::endpoint(ip, static_cast<unsigned short>(port));
}

void noticeSilence(tcp::socket& socket, Micros after) {
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    const int fd = socket.native_handle();
    const auto ms = static_cast<unsigned>(after / 1000);
    const int idle = 1, interval = 1, count = 2;
    (void)::setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &ms, sizeof ms);
    (void)::setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof idle);
    (void)::setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof interval);
    (void)::setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &count, sizeof count);
}

void Link::start(Ends ends) {
    ends_ = std::move(ends);
    noticeSilence(socket_, kSilenceMost);
    heardAt_ = steadyNow();
    read();
}

void Link::read() {
    if (in_.size() < have_ + kReadAtOnce) in_.resize(have_ + kReadAtOnce);
    socket_.async_read_some(boost::asio::buffer(in_.data() + have_, in_.size() - have_),
                            [self = shared_from_this()](boost::system::error_code wrong, std::size_t bytes) {
                                if (!self->open_) return;
                                if (wrong) return self->fail();
                                self->have_ += bytes;
                                self->taken();
                            });
}

void Link::taken() {
    heardAt_ = steadyNow();
    std::size_t at = 0;
    while (have_ - at >= 4) {
        std::uint32_t length = 0;
        for (unsigned i = 0; i < 4; ++i)
            length |= static_cast<std::uint32_t>(static_cast<unsigned char>(in_[at + i])) << (8U * i);
        if (length > kFrameMost) return fail();
        if (have_ - at - 4 < length) {
            if (in_.size() < at + 4 + length) in_.resize(at + 4 + length);
            break;
        }
        proto::Frame frame;
        if (!frame.ParseFromArray(in_.data() + at + 4, static_cast<int>(length))) return fail();
        at += 4 + length;
        if (ends_.heard) ends_.heard(frame);
        if (!open_) return;
    }
    if (at > 0) {
        std::memmove(in_.data(), in_.data() + at, have_ - at);
        have_ -= at;
        if (in_.size() > 4 * kReadAtOnce && have_ < kReadAtOnce) {
            in_.resize(2 * kReadAtOnce);
            in_.shrink_to_fit();
        }
    }
    read();
}

// Writes the head of a frame of that length; false where it can't go out.
bool Link::begin(std::size_t length) {
    if (!open_) return false;
    if (length > kFrameMost || waiting() + length > kWaitingMost) {
        // Told from the loop, never from inside the sender.
        boost::asio::post(socket_.get_executor(), [self = shared_from_this()] {
            if (self->open_) self->fail();
        });
        return false;
    }
    for (unsigned i = 0; i < 4; ++i) waiting_ += static_cast<char>((length >> (8U * i)) & 0xffU);
    return true;
}

void Link::send(const proto::Frame& frame) {
    if (!begin(frame.ByteSizeLong())) return;
    frame.AppendToString(&waiting_);
    if (sending_.empty()) write();
}

void Link::sendSerialized(std::string_view frame) {
    if (!begin(frame.size())) return;
    waiting_ += frame;
    if (sending_.empty()) write();
}

void Link::write() {
    sending_.swap(waiting_);
    waiting_.clear();
    if (sending_.empty()) return;
    boost::asio::async_write(socket_, boost::asio::buffer(sending_),
                             [self = shared_from_this()](boost::system::error_code wrong, std::size_t) {
                                 if (!self->open_) return;
                                 if (wrong) return self->fail();
                                 self->sending_.clear();
                                 self->write();
                             });
}

void Link::close() {
    if (!open_) return;
    open_ = false;
    boost::system::error_code ignored;
    socket_.close(ignored);
    // What is held by the callbacks must outlive the call that closes from inside of one.
    boost::asio::post(socket_.get_executor(), [ends = std::move(ends_)] {});
    ends_ = {};
}

void Link::fail() {
    auto closed = ends_.closed;
    close();
    if (closed) closed();
}

void dial(boost::asio::io_context& io, const std::string& address, Micros within,
          std::function<void(std::shared_ptr<Link>)> done) {
    const auto endpoint = endpointOf(address);
    if (!endpoint) {
        boost::asio::post(io, [done = std::move(done)] { done(nullptr); });
        return;
    }
    struct Attempt {
        explicit Attempt(boost::asio::io_context& io) : socket(io), timer(io) {}
        tcp::socket socket;
        boost::asio::steady_timer timer;
        std::function<void(std::shared_ptr<Link>)> done;
    };
    auto attempt = std::make_shared<Attempt>(io);
    attempt->done = std::move(done);
    attempt->timer.expires_after(std::chrono::microseconds(within));
    attempt->timer.async_wait([attempt](boost::system::error_code wrong) {
        boost::system::error_code ignored;
        if (!wrong) attempt->socket.close(ignored);
    });
    attempt->socket.async_connect(*endpoint, [attempt](boost::system::error_code wrong) {
        attempt->timer.cancel();
        attempt->done(wrong || !attempt->socket.is_open()
                          ? nullptr
                          : std::make_shared<Link>(std::move(attempt->socket)));
    });
}

}  // namespace marldale::transport
