// Event loop with a virtual clock, and byte streams between the proxy and scripted peers. Streams have a
// transit delay, may be cut off, delayed or reset, and may have little write space. No sockets, no sleeps.
#pragma once

#include <algorithm>
#include <boost/asio/error.hpp>
#include <cstring>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gateway/http_server/event_loop.h"

namespace marldale::edge_proxy::model {

using boost::system::error_code;
using http_server::ByteStream;
using http_server::StreamHandler;

inline constexpr Micros kMs = 1000, kSecond = 1000000;
inline constexpr Micros kTransitTime = 100;                   // one way
inline constexpr Micros kProbeInterval = kSecond;             // TCP keep-alive probes
inline constexpr Micros kMaxUnacknowledgedTime = 1500 * kMs;  // then the connection breaks
inline constexpr std::size_t kUnlimited = static_cast<std::size_t>(-1);

class SimulatedLoop;

// One connection between the proxy and a peer. The test calls the peer's side, the proxy's stream the other.
class Connection : public std::enable_shared_from_this<Connection> {
public:
    explicit Connection(SimulatedLoop& loop);

    // ---- the peer's side ----
    std::function<void(std::string_view)> onBytes;  // from the proxy
    std::function<void()> onProxyClosed;
    std::function<void(std::string_view all, std::size_t accepted)>
        onProxyWrite;  // called at once when the proxy writes
    void give(std::string_view bytes);
    void finish();  // half-closes: no more bytes follow
    void reset();
    // While cut off, bytes of both directions are held; afterwards they arrive unless `lost` is set.
    void cutOff(bool is);
    bool lost = false;
    std::size_t room = kUnlimited;  // bytes that the proxy may still write
    void grantRoom(std::size_t bytes);

    std::size_t given = 0;  // bytes to the proxy
    std::size_t readByProxy = 0;
    std::size_t waitingToBeRead() const { return in_.size(); }
    bool closedByProxy = false, finishedByProxy = false, isReset = false;

    // ---- the proxy's side ----
    void connected() { acknowledgedAt_ = now(); }
    void readSome(boost::asio::mutable_buffer space, ByteStream::HandlerPtr handler);
    void cancel();
    void awaitWritable(ByteStream::HandlerPtr handler);
    std::size_t writeNow(std::span<const boost::asio::const_buffer> parts, error_code& error);
    [[nodiscard]] bool quiet() const { return in_.empty() && !end_ && !isReset; }
    [[nodiscard]] bool allAcknowledged() const { return unacknowledged_ == 0; }
    [[nodiscard]] Micros sincePeerAcknowledged() const;
    void close();
    void abort() {
        abortedAt_ = now();
        close();
    }
    void shutdownSend() { finishedByProxy = true; }

    // Breaks reference cycles at the end of the simulation: pending deliveries and handlers hold the
    // connection.
    void discardPending() {
        held_.clear();
        reader_.reset();
        writer_.reset();
    }

private:
    [[nodiscard]] Micros now() const;
    void wakeReader();
    void takeForReader();
    void arrive(const std::string& bytes);

    SimulatedLoop& loop_;
    std::string in_;  // arrived but not read by the proxy
    bool end_ = false;
    bool cutOff_ = false;
    std::deque<std::function<void()>> held_;  // while cut off
    std::size_t unacknowledged_ = 0;
    Micros acknowledgedAt_ = 0, cutOffAt_ = 0;
    std::optional<Micros> abortedAt_;
    boost::asio::mutable_buffer space_;
    ByteStream::HandlerPtr reader_, writer_;
    bool readerWoken_ = false;
    friend class SimulatedLoop;
};

// Result of a connect by the proxy.
enum class ConnectResult { accepted, refused, silent, noSocket };

// The event loop with its virtual clock and connections.
class SimulatedLoop final : public http_server::EventLoop {
public:
    SimulatedLoop() = default;
    SimulatedLoop(const SimulatedLoop&) = delete;
    SimulatedLoop& operator=(const SimulatedLoop&) = delete;
    ~SimulatedLoop() override {
        for (const auto& connection : connections_) {
            if (const auto open = connection.lock()) open->discardPending();
        }
    }
    // Queueing delay of a saturated inbound link, the same for all connections.
    Micros inboundQueue = 0;
    // Queueing delay of the outbound link: written bytes wait in the send buffer, where an abort discards
    // them.
    Micros outboundQueue = 0;
    // Delay of a busy loop from reading the socket to calling the read handler. 0: none.
    Micros readDelay = 0;
    Micros now() override { return now_; }
    void post(std::function<void()> work) override { posted_.push_back(std::move(work)); }
    void setAlarm(Micros when, http_server::AlarmHandler* handler) override {
        const bool isLate = readDelay != 0 && handler != nullptr;
        alarm_ = isLate ? std::max(when, now_) + readDelay : when;  // delayed like its reads
        alarmHandler_ = handler;
    }
    std::unique_ptr<ByteStream> newStream() override;
    std::shared_ptr<Connection> newConnection() {
        auto connection = std::make_shared<Connection>(*this);
        connections_.push_back(connection);
        return connection;
    }
    static std::unique_ptr<ByteStream> streamOf(const std::shared_ptr<Connection>& connection);

    void at(Micros when, std::function<void()> work) { events_.emplace(when, std::move(work)); }
    void after(Micros delay, std::function<void()> work) { at(now_ + delay, std::move(work)); }
    // Runs all events up to `end`.
    void runUntil(Micros end) {
        while (step(end)) {
        }
        now_ = std::max(now_, end);
    }
    // Hooks for connects to a server: the result, and the connection if it is accepted.
    std::function<ConnectResult(unsigned short port)> onConnect;
    std::function<void(unsigned short port, const std::shared_ptr<Connection>&)> onAccepted;

private:
    bool step(Micros end) {
        if (!posted_.empty()) {
            const auto work = std::move(posted_.front());
            posted_.pop_front();
            work();
            return true;
        }
        const bool alarmed = alarmHandler_ != nullptr && alarm_ <= end;
        if (!events_.empty() && events_.begin()->first <= end &&
            (!alarmed || events_.begin()->first <= alarm_)) {
            now_ = std::max(now_, events_.begin()->first);
            const auto work = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            work();
            return true;
        }
        if (!alarmed) return false;
        now_ = std::max(now_, alarm_);
        auto* const handler = alarmHandler_;
        alarmHandler_ = nullptr;
        handler->onAlarm();
        return true;
    }
    Micros now_ = 1000 * kSecond;
    std::vector<std::weak_ptr<Connection>> connections_;
    std::deque<std::function<void()>> posted_;
    std::multimap<Micros, std::function<void()>> events_;
    Micros alarm_ = 0;
    http_server::AlarmHandler* alarmHandler_ = nullptr;
};

class SimulatedStream final : public ByteStream {
public:
    SimulatedStream(SimulatedLoop* loop, std::shared_ptr<Connection> connection)
        : loop_(loop), connection_(std::move(connection)) {}
    ~SimulatedStream() override { close(); }
    bool connect(const boost::asio::ip::tcp::endpoint& endpoint, HandlerPtr handler) override {
        const unsigned short port = endpoint.port();
        const ConnectResult result = loop_->onConnect(port);
        if (result == ConnectResult::noSocket) return false;
        connection_ = loop_->newConnection();
        if (result == ConnectResult::silent) return true;
        loop_->after(2 * kTransitTime, [loop = loop_, connection = connection_, port, result, handler] {
            if (connection->closedByProxy) return handler->onConnect(boost::asio::error::operation_aborted);
            if (result == ConnectResult::refused)
                return handler->onConnect(boost::asio::error::connection_refused);
            connection->connected();
            loop->onAccepted(port, connection);
            handler->onConnect({});
        });
        return true;
    }
    void readSome(boost::asio::mutable_buffer space, HandlerPtr handler) override {
        connection_->readSome(space, std::move(handler));
    }
    void cancel() override { connection_->cancel(); }
    void awaitWritable(HandlerPtr handler) override { connection_->awaitWritable(std::move(handler)); }
    std::size_t writeNow(std::span<const boost::asio::const_buffer> parts, error_code& error) override {
        return connection_->writeNow(parts, error);
    }
    bool quiet() override { return connection_->quiet(); }
    Micros sincePeerAcknowledged() override { return connection_->sincePeerAcknowledged(); }
    bool allAcknowledged() override { return connection_->allAcknowledged(); }
    void shutdownSend() override { connection_->shutdownSend(); }
    void close() override {
        if (connection_) connection_->close();
    }
    void abort() override {
        if (connection_) connection_->abort();
    }

private:
    SimulatedLoop* loop_;
    std::shared_ptr<Connection> connection_;
};

inline std::unique_ptr<ByteStream> SimulatedLoop::newStream() {
    return std::make_unique<SimulatedStream>(this, nullptr);
}
inline std::unique_ptr<ByteStream> SimulatedLoop::streamOf(const std::shared_ptr<Connection>& connection) {
    return std::make_unique<SimulatedStream>(nullptr, connection);
}

inline Connection::Connection(SimulatedLoop& loop) : loop_(loop) {}
inline Micros Connection::now() const { return loop_.now(); }

inline void Connection::give(std::string_view bytes) {
    given += bytes.size();
    const auto arrive = [self = shared_from_this(), text = std::string(bytes)] {
        if (self->closedByProxy || self->isReset) return;
        self->acknowledgedAt_ = self->now();
        self->in_.append(text);
        self->wakeReader();
    };
    cutOff_ ? held_.push_back(arrive) : loop_.after(kTransitTime + loop_.inboundQueue, arrive);
}

inline void Connection::finish() {
    const auto arrive = [self = shared_from_this()] {
        self->end_ = true;
        self->wakeReader();
    };
    cutOff_ ? held_.push_back(arrive) : loop_.after(kTransitTime + loop_.inboundQueue, arrive);
}

inline void Connection::reset() {
    const auto arrive = [self = shared_from_this()] {
        if (self->closedByProxy || self->isReset) return;
        self->isReset = true;
        self->wakeReader();
        if (self->writer_) {
            self->loop_.post([handler = std::move(self->writer_)] { handler->onWritable({}); });
        }
    };
    cutOff_ ? held_.push_back(arrive) : loop_.after(kTransitTime, arrive);
}

inline void Connection::cutOff(bool is) {
    if (is == cutOff_) return;
    cutOff_ = is;
    if (is) {
        cutOffAt_ = now();
        return;
    }
    if (!lost) {
        for (auto& arrival : held_) loop_.after(kTransitTime, arrival);
    }
    held_.clear();
}

inline void Connection::grantRoom(std::size_t bytes) {
    room += bytes;
    if (writer_) loop_.post([handler = std::move(writer_)] { handler->onWritable({}); });
}

inline void Connection::wakeReader() {
    if (!reader_ || readerWoken_ || (in_.empty() && !end_ && !isReset)) return;
    if (loop_.readDelay != 0) return takeForReader();
    readerWoken_ = true;
    loop_.post([self = shared_from_this()] {
        if (!self->reader_) return;  // closed in the meantime
        const auto handler = std::move(self->reader_);
        self->reader_.reset();
        self->readerWoken_ = false;
        const std::size_t bytes = std::min(self->in_.size(), self->space_.size());
        if (bytes == 0) {
            const error_code ended = self->isReset ? error_code(boost::asio::error::connection_reset)
                                                   : error_code(boost::asio::error::eof);
            return handler->onRead(ended, 0);
        }
        std::memcpy(self->space_.data(), self->in_.data(), bytes);
        self->in_.erase(0, bytes);
        self->readByProxy += bytes;
        handler->onRead({}, bytes);
    });
}

// Takes the bytes from the socket now; the handler runs later, whatever happens to the stream meanwhile.
inline void Connection::takeForReader() {
    const std::size_t bytes = std::min(in_.size(), space_.size());
    std::memcpy(space_.data(), in_.data(), bytes);
    in_.erase(0, bytes);
    readByProxy += bytes;
    error_code error;
    if (bytes == 0)
        error = isReset ? error_code(boost::asio::error::connection_reset) : boost::asio::error::eof;
    loop_.after(loop_.readDelay,
                [handler = std::move(reader_), error, bytes] { handler->onRead(error, bytes); });
    reader_.reset();
}

inline void Connection::cancel() {
    if (!reader_ || readerWoken_) return;
    loop_.post([handler = std::move(reader_)] { handler->onRead(boost::asio::error::operation_aborted, 0); });
    reader_.reset();
}

inline void Connection::readSome(boost::asio::mutable_buffer space, ByteStream::HandlerPtr handler) {
    space_ = space;
    reader_ = std::move(handler);
    wakeReader();
}

inline void Connection::awaitWritable(ByteStream::HandlerPtr handler) {
    if (room > 0 || isReset) return loop_.post([handler = std::move(handler)] { handler->onWritable({}); });
    writer_ = std::move(handler);
}

inline void Connection::arrive(const std::string& bytes) {
    unacknowledged_ -= std::min(unacknowledged_, bytes.size());
    acknowledgedAt_ = now();
    if (onBytes) onBytes(bytes);
}

inline std::size_t Connection::writeNow(std::span<const boost::asio::const_buffer> parts, error_code& error) {
    std::string all;
    for (const auto& part : parts) all.append(static_cast<const char*>(part.data()), part.size());
    if (isReset) {
        error = boost::asio::error::broken_pipe;
        return 0;
    }
    const std::size_t accepted = std::min(all.size(), room);
    if (room != kUnlimited) room -= accepted;
    if (onProxyWrite) onProxyWrite(all, accepted);
    if (accepted == 0) return 0;
    unacknowledged_ += accepted;
    const Micros leavesAt = now() + loop_.outboundQueue;
    const auto arrival = [self = shared_from_this(), text = all.substr(0, accepted), leavesAt] {
        if (!self->abortedAt_ || *self->abortedAt_ >= leavesAt) self->arrive(text);
    };
    if (!cutOff_) {
        loop_.after(kTransitTime + loop_.outboundQueue, arrival);
        return accepted;
    }
    held_.push_back(arrival);
    loop_.after(kMaxUnacknowledgedTime, [self = shared_from_this()] {
        if (self->unacknowledged_ == 0 || self->closedByProxy) return;
        self->isReset = true;
        self->wakeReader();
    });
    return accepted;
}

inline Micros Connection::sincePeerAcknowledged() const {
    if (cutOff_) return now() - std::min(acknowledgedAt_, cutOffAt_);
    return (now() - acknowledgedAt_) % kProbeInterval;
}

inline void Connection::close() {
    if (closedByProxy) return;
    closedByProxy = true;
    if (reader_) {
        loop_.post(
            [handler = std::move(reader_)] { handler->onRead(boost::asio::error::operation_aborted, 0); });
    }
    if (writer_) {
        loop_.post(
            [handler = std::move(writer_)] { handler->onWritable(boost::asio::error::operation_aborted); });
    }
    const auto arrival = [self = shared_from_this()] {
        if (self->onProxyClosed) self->onProxyClosed();
    };
    cutOff_ ? held_.push_back(arrival) : loop_.after(kTransitTime, arrival);
}

}  // namespace marldale::edge_proxy::model
