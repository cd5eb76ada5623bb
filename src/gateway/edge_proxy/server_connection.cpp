#include "gateway/edge_proxy/server_connection.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>

namespace marldale::edge_proxy {
namespace {

namespace asio = boost::asio;

// What is tuned.
constexpr std::size_t kFirstRoom = 4096;  // for reading; larger while a large body comes
constexpr std::size_t kBodyRoom = 65536;
constexpr std::size_t kKeptRoom = 8192;
constexpr Micros kConnectTime = ServerConnection::kPeerGoneAfter;
constexpr Micros kKeptDefault = 5000000;       // where no Keep-Alive tells how long it is kept open
constexpr Micros kOpenMargin = 250000;         // before the end of that
constexpr Micros kSurelyOpenMargin = 1000000;  // and for what must not run twice: Keep-Alive is rounded
constexpr Micros kFreshFor = 1000000;          // after an answer the server's machine surely is there
// The same after an acknowledgement: TCP probes idle connections every second, and one may be late.
constexpr Micros kAcknowledgedFor = 1250000;

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
    wake(timers_.now() + kConnectTime);
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
    keepOpenFor(kKeptDefault, false);
    owner_.onConnected(*this, true);
}

// Without a told time only a connection that was just used surely is open.
void ServerConnection::keepOpenFor(Micros kept, bool isTold) {
    openUntil_ = usedAt_ + std::max<Micros>(0, kept - kOpenMargin);
    const Micros sure = std::max<Micros>(0, kept - kSurelyOpenMargin);
    surelyOpenUntil_ = usedAt_ + (isTold ? sure : std::min(sure, kFreshFor));
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
        out_.append(part.substr(left));
        left = 0;
    }
    outFrom_ = 0;
    if (!out_.empty()) flush();
    read();
    return true;
}

void ServerConnection::flush() { stream_->awaitWritable(shared_from_this()); }

void ServerConnection::onWritable(const boost::system::error_code& error) {
    if (state_ == State::closed) return;
    if (error) return lost();
    boost::system::error_code failed;
    const std::array<asio::const_buffer, 1> rest{
        asio::buffer(out_.data() + outFrom_, out_.size() - outFrom_)};
    const std::size_t written = stream_->writeNow(rest, failed);
    if (failed) return lost();
    outFrom_ += written;
    sentBytes_ += written;
    if (outFrom_ < out_.size()) return flush();
    out_.clear();
}

void ServerConnection::read() {
    if (reading_ || paused_ || state_ == State::closed) return;
    if (inFrom_ == inTo_) inFrom_ = inTo_ = 0;
    if (in_.empty()) in_.resize(kFirstRoom);
    if (reader_.state() == AnswerReader::State::body && in_.size() < kBodyRoom) in_.resize(kBodyRoom);
    if (inTo_ == in_.size()) {
        if (inFrom_ != 0) {
            std::copy(in_.begin() + static_cast<std::ptrdiff_t>(inFrom_), in_.end(), in_.begin());
            inTo_ -= inFrom_;
            inFrom_ = 0;
        } else {
            in_.resize(in_.size() * 2);  // bounded by the reader, which calls too long a head bad
        }
    }
    reading_ = true;
    stream_->readSome(asio::buffer(in_.data() + inTo_, in_.size() - inTo_), shared_from_this());
}

void ServerConnection::onRead(const boost::system::error_code& error, std::size_t bytes) {
    reading_ = false;
    if (state_ == State::closed) return;
    if (error) return lost();
    inTo_ += bytes;
    if (state_ != State::busy) return close();  // nobody has asked for anything
    const auto self = shared_from_this();
    inFrom_ += reader_.feed(std::string_view(in_.data() + inFrom_, inTo_ - inFrom_));
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

void ServerConnection::lost() {
    const bool busy = state_ == State::busy;
    const auto self = shared_from_this();
    close();
    if (busy) owner_.onBroken(*this);
}

void ServerConnection::finished(bool keep) {
    ++answers_;
    usedAt_ = timers_.now();
    const auto told = reader_.answer().keepFor;
    keepOpenFor(told.value_or(kKeptDefault), told.has_value());
    user.reset();
    if (surplus() && faults_.reuseWithSurplus) inFrom_ = inTo_ = 0;
    if (!keep || surplus() || stillSending() || openUntil_ <= usedAt_) return close();
    release();
}

void ServerConnection::release() {
    user.reset();
    state_ = State::settling;
    if (!reading_ && in_.size() > kKeptRoom) {
        in_.resize(kFirstRoom);
        in_.shrink_to_fit();
    }
    reader_.next(false);
    wake(openUntil_);
    // A read that finds something already there ends before this: the connection is offered only if it is
    // silent.
    read();
    timers_.loop().post([self = shared_from_this()] {
        if (self->state_ != State::settling) return;
        self->state_ = State::idle;
        self->owner_.onIdle(*self);
    });
}

bool ServerConnection::surelyOpen(Micros now) {
    if (state_ != State::idle || now > surelyOpenUntil_) return false;
    if (!stream_->quiet()) return false;
    return now <= usedAt_ + kFreshFor || stream_->sincePeerAcknowledged() <= kAcknowledgedFor;
}

bool ServerConnection::peerSeemsGone(Micros now) {
    return now - sentAt_ >= kPeerGoneAfter && !stream_->allAcknowledged() &&
           stream_->sincePeerAcknowledged() >= kPeerGoneAfter;
}

void ServerConnection::due(Micros) {
    const auto self = shared_from_this();  // a stream that still connects may not hold it
    if (state_ == State::connecting) {
        close();
        owner_.onConnected(*this, false);
    } else if (state_ == State::idle || state_ == State::settling) {
        close();
    }
}

void ServerConnection::close() {
    if (state_ == State::closed) return;
    // A request that nobody waits for any more must not reach the server later.
    const bool isAnswered = state_ != State::busy || reader_.state() == AnswerReader::State::whole;
    state_ = State::closed;
    sleep();
    isAnswered ? stream_->close() : stream_->abort();
    const auto self = weak_from_this().lock();  // the owner may let go of it
    owner_.onClosed(*this);
}

}  // namespace marldale::edge_proxy
