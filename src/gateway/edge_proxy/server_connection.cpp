#include "gateway/edge_proxy/server_connection.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>

namespace marldale::edge_proxy {
namespace {

namespace asio = boost::asio;

constexpr std::size_t kInitialBufferBytes = 4096;  // read buffer; larger while a large body arrives
constexpr std::size_t kBodyBufferBytes = 65536;
constexpr std::size_t kMaxIdleBufferBytes = 8192;
constexpr Micros kConnectTimeout = ServerConnection::kPeerTimeout;
constexpr Micros kDefaultKeepAlive = 5000000;  // assumed if the server sends no Keep-Alive timeout
constexpr Micros kKeepAliveMargin = 250000;    // before the end of the keep-alive time
constexpr Micros kVerifiedOpenMargin =
    1000000;  // for requests that must not run twice: Keep-Alive is rounded to seconds
constexpr Micros kFreshAfterAnswer = 1000000;  // after an answer the server's host counts as reachable
// The same after an acknowledgement: TCP probes idle connections every second, and a probe may be late.
constexpr Micros kFreshAfterAcknowledgement = 1250000;

}  // namespace

ServerConnection::ServerConnection(ServerConnectionOwner& owner, http_server::Timers& timers, Pool& pool,
                                   const forwarding::Faults& faults)
    : Item(timers),
      timers_(timers),
      stream_(timers.loop().newStream()),
      owner_(owner),
      pool_(pool),
      faults_(faults) {}

bool ServerConnection::connect(const asio::ip::tcp::endpoint& endpoint) {
    if (!stream_->connect(endpoint, shared_from_this())) return false;
    wake(timers_.now() + kConnectTimeout);
    return true;
}

void ServerConnection::onConnect(const boost::system::error_code& error) {
    if (state_ != State::connecting) return;
    sleep();
    if (error) {
        close();
        owner_.onConnected(*this, false);
        return;
    }
    state_ = State::settling;
    usedAt_ = timers_.now();
    keepOpenFor(kDefaultKeepAlive, false);
    owner_.onConnected(*this, true);
}

// Without an advertised time only a recently used connection counts as verified open.
void ServerConnection::keepOpenFor(Micros kept, bool isAdvertised) {
    openUntil_ = usedAt_ + std::max<Micros>(0, kept - kKeepAliveMargin);
    const Micros sure = std::max<Micros>(0, kept - kVerifiedOpenMargin);
    verifiedOpenUntil_ = usedAt_ + (isAdvertised ? sure : std::min(sure, kFreshAfterAnswer));
}

bool ServerConnection::send(std::string_view head, std::string_view rest, std::string_view body,
                            bool headOnly) {
    reader_.next(headOnly);
    paused_ = false;
    boost::system::error_code error;
    const std::array<asio::const_buffer, 3> all{asio::buffer(head.data(), head.size()),
                                                asio::buffer(rest.data(), rest.size()),
                                                asio::buffer(body.data(), body.size())};
    std::size_t left = stream_->writeNow(all, error);
    if (error) {
        user.reset();
        close();
        return false;
    }
    sentBytes_ = left;
    sentAt_ = timers_.now();
    state_ = State::busy;
    sleep();
    for (const std::string_view part : {head, rest, body}) {
        if (left >= part.size()) {
            left -= part.size();
            continue;
        }
        output_.append(part.substr(left));
        left = 0;
    }
    outputBegin_ = 0;
    if (!output_.empty()) flush();
    read();
    return true;
}

void ServerConnection::flush() { stream_->awaitWritable(shared_from_this()); }

void ServerConnection::onWritable(const boost::system::error_code& error) {
    if (state_ == State::closed) return;
    if (error) return onConnectionLost();
    boost::system::error_code failed;
    const std::array<asio::const_buffer, 1> rest{
        asio::buffer(output_.data() + outputBegin_, output_.size() - outputBegin_)};
    const std::size_t written = stream_->writeNow(rest, failed);
    if (failed) return onConnectionLost();
    outputBegin_ += written;
    sentBytes_ += written;
    if (outputBegin_ < output_.size()) return flush();
    output_.clear();
}

void ServerConnection::read() {
    if (reading_ || paused_ || state_ == State::closed) return;
    if (inputBegin_ == inputEnd_) inputBegin_ = inputEnd_ = 0;
    if (input_.empty()) input_.resize(kInitialBufferBytes);
    if (reader_.state() == AnswerReader::State::body && input_.size() < kBodyBufferBytes)
        input_.resize(kBodyBufferBytes);
    if (inputEnd_ == input_.size()) {
        if (inputBegin_ != 0) {
            std::copy(input_.begin() + static_cast<std::ptrdiff_t>(inputBegin_), input_.end(),
                      input_.begin());
            inputEnd_ -= inputBegin_;
            inputBegin_ = 0;
        } else {
            input_.resize(input_.size() * 2);  // bounded by the reader, which rejects too long a head
        }
    }
    reading_ = true;
    stream_->readSome(asio::buffer(input_.data() + inputEnd_, input_.size() - inputEnd_), shared_from_this());
}

void ServerConnection::onRead(const boost::system::error_code& error, std::size_t bytes) {
    reading_ = false;
    if (state_ == State::closed) return;
    if (error) return onConnectionLost();
    inputEnd_ += bytes;
    if (state_ != State::busy) return close();  // unsolicited bytes
    const auto self = shared_from_this();
    inputBegin_ += reader_.feed(std::string_view(input_.data() + inputBegin_, inputEnd_ - inputBegin_));
    const auto seen = reader_.state();
    owner_.onAnswer(*this);
    if (state_ == State::busy && (seen == AnswerReader::State::head || seen == AnswerReader::State::idle ||
                                  seen == AnswerReader::State::body)) {
        read();
    }
}

void ServerConnection::resume() {
    if (!paused_) return;
    paused_ = false;
    if (state_ == State::busy) read();
}

void ServerConnection::onConnectionLost() {
    const bool busy = state_ == State::busy;
    const auto self = shared_from_this();
    close();
    if (busy) owner_.onBroken(*this);
}

void ServerConnection::finished(bool keep) {
    ++answers_;
    usedAt_ = timers_.now();
    const auto advertised = reader_.answer().keepFor;
    keepOpenFor(advertised.value_or(kDefaultKeepAlive), advertised.has_value());
    user.reset();
    if (surplus() && faults_.reuseWithSurplus) inputBegin_ = inputEnd_ = 0;
    if (!keep || surplus() || stillSending() || openUntil_ <= usedAt_) return close();
    release();
}

void ServerConnection::release() {
    user.reset();
    state_ = State::settling;
    if (!reading_ && input_.size() > kMaxIdleBufferBytes) {
        input_.resize(kInitialBufferBytes);
        input_.shrink_to_fit();
    }
    reader_.next(false);
    wake(openUntil_);
    // A read that finds buffered data completes before the posted task, so the connection is offered only if
    // nothing has arrived.
    read();
    timers_.loop().post([self = shared_from_this()] {
        if (self->state_ != State::settling) return;
        self->state_ = State::idle;
        self->owner_.onIdle(*self);
    });
}

bool ServerConnection::verifiedOpen(Micros now) {
    if (state_ != State::idle || now > verifiedOpenUntil_) return false;
    if (!stream_->quiet()) return false;
    return now <= usedAt_ + kFreshAfterAnswer ||
           stream_->sincePeerAcknowledged() <= kFreshAfterAcknowledgement;
}

bool ServerConnection::peerUnresponsive(Micros now) {
    return now - sentAt_ >= kPeerTimeout && !stream_->allAcknowledged() &&
           stream_->sincePeerAcknowledged() >= kPeerTimeout;
}

void ServerConnection::due(Micros) {
    const auto self = shared_from_this();  // a connecting stream may not hold a reference
    if (state_ == State::connecting) {
        close();
        owner_.onConnected(*this, false);
    } else if (state_ == State::idle || state_ == State::settling) {
        close();
    }
}

void ServerConnection::close() {
    if (state_ == State::closed) return;
    // An abandoned request must not reach the server later, so unsent data is discarded.
    const bool isAnswered = state_ != State::busy || reader_.state() == AnswerReader::State::whole;
    state_ = State::closed;
    sleep();
    isAnswered ? stream_->close() : stream_->abort();
    const auto self = weak_from_this().lock();  // the owner may release it
    owner_.onClosed(*this);
}

}  // namespace marldale::edge_proxy
