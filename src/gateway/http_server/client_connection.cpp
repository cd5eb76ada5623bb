#include "gateway/http_server/client_connection.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <charconv>
#include <utility>

namespace marldale::http_server {
namespace {

namespace asio = boost::asio;

// What is tuned.
constexpr std::size_t kFirstRoom = 2048;  // for reading; grows while a head or body needs it
constexpr std::size_t kBodyRoom = 32768;
constexpr std::size_t kKeptRoom = 8192;  // of a connection that waits for its next request
constexpr Micros kLinger = 500000;       // a client may still be sending what is not read any more
constexpr Micros kWriteStall = 5000000;  // without a byte leaving

}  // namespace

std::string_view reason(unsigned status) {
    switch (status) {
        case 200: return "OK";
        case 400: return "Bad Request";
        case 404: return "Not Found";
        case 408: return "Request Timeout";
        case 413: return "Content Too Large";
        case 417: return "Expectation Failed";
        case 429: return "Too Many Requests";
        case 431: return "Request Header Fields Too Large";
        case 502: return "Bad Gateway";
        case 503: return "Service Unavailable";
        case 504: return "Gateway Timeout";
        default: return "Unknown";
    }
}

ClientConnection::ClientConnection(std::unique_ptr<ByteStream> stream, RequestHandler& handler,
                                   Timers& timers)
    : Item(timers), stream_(std::move(stream)), timers_(timers), handler_(handler) {}

ClientConnection::~ClientConnection() = default;

void ClientConnection::start() {
    openedAt_ = timers_.now();
    idleSince_ = openedAt_;
    wake(openedAt_ + handler_.limits().quiet);
    read();
}

void ClientConnection::close() {
    if (state_ == State::closed) return;
    const bool serving = state_ == State::serving || state_ == State::answering;
    state_ = State::closed;
    sleep();
    release();
    stream_->close();
    const auto self = weak_from_this().lock();  // the handler may let go of it
    if (serving) handler_.onClientGone(*this);
    exchange.reset();
    handler_.onClosed(*this);
}

void ClientConnection::closeIfUnused() {
    if (!idle()) return;
    if (!reading_ || writing_) return close();
    closing_ = true;
    sleep();
    stream_->cancel();
}

void ClientConnection::release() {
    if (held_ != 0) handler_.hold(-held_);
    held_ = 0;
}

void ClientConnection::read() {
    if (reading_ || peerDone_ || state_ == State::closed) return;
    if (inFrom_ == inTo_) {
        inFrom_ = inTo_ = 0;
        if (in_.size() > kKeptRoom && state_ == State::reading &&
            reader_.state() == RequestReader::State::idle) {
            in_.resize(kFirstRoom);
            in_.shrink_to_fit();
        }
    }
    if (in_.empty()) in_.resize(kFirstRoom);
    if (inTo_ == in_.size()) {
        if (inFrom_ != 0) {
            std::copy(in_.begin() + static_cast<std::ptrdiff_t>(inFrom_), in_.end(), in_.begin());
            inTo_ -= inFrom_;
            inFrom_ = 0;
        } else if (state_ == State::reading) {
            in_.resize(in_.size() * 2);
        } else {
            return;  // what follows a request waits until that is answered
        }
    }
    if (reader_.state() == RequestReader::State::body && in_.size() < kBodyRoom) in_.resize(kBodyRoom);
    reading_ = true;
    stream_->readSome(asio::buffer(in_.data() + inTo_, in_.size() - inTo_), shared_from_this());
}

void ClientConnection::onRead(const boost::system::error_code& error, std::size_t bytes) {
    reading_ = false;
    if (state_ == State::closed) return;
    // Bytes that have come are served, also those that came while the read was being ended.
    if (std::exchange(closing_, false) && error == asio::error::operation_aborted && !stream_->quiet())
        return read();
    if (error) {
        peerDone_ = true;
        // What is being written may still be read there if only its sending side is shut.
        if (state_ == State::answering && error == asio::error::eof) return;
        close();
        return;
    }
    handler_.onClientBytes();
    if (state_ == State::lingering) {
        inFrom_ = inTo_ = 0;
        read();
        return;
    }
    inTo_ += bytes;
    if (state_ == State::reading) {
        process(timers_.now());
    } else {
        read();
    }
}

void ClientConnection::process(Micros now) {
    const upstream::Limits& limits = handler_.limits();
    const std::string_view bytes(in_.data() + inFrom_, inTo_ - inFrom_);
    const RequestReader::State before = reader_.state();
    if (before == RequestReader::State::idle && !bytes.empty()) reader_.request().began = now;
    inFrom_ += reader_.feed(bytes, limits);
    switch (reader_.state()) {
        case RequestReader::State::idle: break;
        case RequestReader::State::head:
            if (before == RequestReader::State::idle) wake(now + limits.headerWait);
            break;
        case RequestReader::State::body:
        case RequestReader::State::whole: {
            Request& request = reader_.request();
            const auto needs = static_cast<std::int64_t>(
                std::max<std::uint64_t>(reader_.bodyExpected(), request.body.size()));
            if (needs > held_) {
                if (!handler_.hold(needs - held_)) return fault(503, 300000);
                held_ = needs;
            }
            if (reader_.state() == RequestReader::State::whole) {
                state_ = State::serving;
                sleep();
                const auto self = shared_from_this();
                handler_.onRequest(self);
                read();
                return;
            }
            wake(now + limits.headerWait);  // anew with each piece
            if (request.expectContinue && !continueSent_ && request.body.empty() && !request.http10) {
                continueSent_ = true;
                send("HTTP/1.1 100 Continue\r\n\r\n", {});
                if (state_ == State::closed) return;
            }
            break;
        }
        case RequestReader::State::fault: return fault(reader_.status());
    }
    read();
}

void ClientConnection::fault(unsigned status, Micros retryAfter) {
    reader_.request().keepAlive = false;
    unread_ = true;
    answerOwn(status, retryAfter);
}

void ClientConnection::appendEnd(std::string& head) {
    Request& request = reader_.request();
    keep_ = request.keepAlive && !handler_.closing();
    if (!keep_) {
        head.append("Connection: close\r\n");
    } else if (request.http10) {
        head.append("Connection: keep-alive\r\n");
    }
    head.append("\r\n");
}

namespace {

void appendNumber(std::string& text, std::uint64_t number, int base = 10) {
    std::array<char, 24> digits{};
    const auto made = std::to_chars(digits.data(), digits.data() + digits.size(), number, base);
    text.append(digits.data(), made.ptr);
}

}  // namespace

void ClientConnection::answer(std::string_view head, std::string_view body,
                              std::optional<std::uint64_t> length) {
    if (state_ == State::closed) return;
    state_ = State::answering;
    std::string start;
    start.reserve(head.size() + 64);
    start.append(head);
    if (length) {
        start.append("Content-Length: ");
        appendNumber(start, *length);
        start.append("\r\n");
    }
    appendEnd(start);
    answered_ = true;
    send(start, body);
}

void ClientConnection::answerOwn(unsigned status, Micros retryAfter) {
    std::string head = "HTTP/1.1 ";
    appendNumber(head, status);
    head.append(" ").append(reason(status)).append("\r\n");
    if (retryAfter > 0) {
        head.append("Retry-After: ");
        appendNumber(head, static_cast<std::uint64_t>(retryAfter / 1000000));
        const auto millis = static_cast<std::uint64_t>(retryAfter / 1000 % 1000);
        head.append(".");
        head.push_back(static_cast<char>('0' + millis / 100));
        head.push_back(static_cast<char>('0' + millis / 10 % 10));
        head.push_back(static_cast<char>('0' + millis % 10));
        head.append("\r\n");
    }
    answer(head, {}, 0);
}

void ClientConnection::begin(std::string_view head, std::optional<std::uint64_t> length) {
    if (state_ == State::closed) return;
    state_ = State::answering;
    std::string start(head);
    chunked_ = !length;
    if (length) {
        start.append("Content-Length: ");
        appendNumber(start, *length);
        start.append("\r\n");
    } else {
        start.append("Transfer-Encoding: chunked\r\n");
    }
    appendEnd(start);
    answered_ = false;
    send(start, {});
}

void ClientConnection::more(std::string_view bytes) {
    if (bytes.empty() || state_ == State::closed) return;
    if (!chunked_) return send({}, bytes);
    std::string piece;
    piece.reserve(bytes.size() + 16);
    appendNumber(piece, bytes.size(), 16);
    piece.append("\r\n").append(bytes).append("\r\n");
    send({}, piece);
}

void ClientConnection::end() {
    if (state_ == State::closed) return;
    answered_ = true;
    if (chunked_) return send("0\r\n\r\n", {});
    if (!writing_) afterAnswer();
}

void ClientConnection::cut() {
    if (state_ == State::closed) return;
    exchange.reset();
    state_ = State::lingering;  // nobody is told: the handler has done with it
    close();
}

void ClientConnection::send(std::string_view head, std::string_view body) {
    if (writing_) {
        outNext_.append(head).append(body);
        return;
    }
    boost::system::error_code error;
    const std::array<asio::const_buffer, 2> both{asio::buffer(head.data(), head.size()),
                                                 asio::buffer(body.data(), body.size())};
    const std::size_t left = stream_->writeNow(both, error);
    if (error) return close();
    if (left == head.size() + body.size()) return flushed();
    const std::size_t ofHead = std::min(left, head.size());
    outNow_.assign(head.substr(ofHead)).append(body.substr(left - ofHead));
    outFrom_ = 0;
    writing_ = true;
    flush();
}

void ClientConnection::flush() {
    if (state_ != State::reading) wake(timers_.now() + kWriteStall);
    stream_->awaitWritable(shared_from_this());
}

void ClientConnection::onWritable(const boost::system::error_code& error) {
    if (state_ == State::closed) return;
    if (error) return close();
    boost::system::error_code failed;
    const std::array<asio::const_buffer, 1> rest{
        asio::buffer(outNow_.data() + outFrom_, outNow_.size() - outFrom_)};
    outFrom_ += stream_->writeNow(rest, failed);
    if (failed) return close();
    if (outFrom_ == outNow_.size()) {
        outNow_.swap(outNext_);
        outNext_.clear();
        outFrom_ = 0;
    }
    if (!outNow_.empty()) return flush();
    writing_ = false;
    if (outNow_.capacity() > 65536) outNow_ = {};
    if (outNext_.capacity() > 65536) outNext_ = {};
    flushed();
}

void ClientConnection::flushed() {
    if (state_ != State::answering) return;
    if (answered_) return afterAnswer();
    sleep();
    handler_.onDrained(*this);
}

void ClientConnection::afterAnswer() {
    exchange.reset();
    release();
    answered_ = false;
    if (!keep_ || peerDone_) return linger();
    reader_.next();
    continueSent_ = false;
    state_ = State::reading;
    idleSince_ = timers_.now();
    wake(idleSince_ + handler_.limits().quiet);
    if (inFrom_ == inTo_) {
        read();
        return;
    }
    // Pipelined. Not from within the answer to the one before.
    timers_.loop().post([self = shared_from_this()] {
        if (self->state_ == State::reading) self->process(self->timers_.now());
    });
}

void ClientConnection::linger() {
    if (peerDone_ || (!unread_ && inFrom_ == inTo_)) {
        state_ = State::lingering;
        close();
        return;
    }
    state_ = State::lingering;
    stream_->shutdownSend();
    inFrom_ = inTo_ = 0;
    wake(timers_.now() + kLinger);
    read();
}

void ClientConnection::due(Micros now) {
    switch (state_) {
        case State::reading:
            if (reader_.state() == RequestReader::State::idle) {
                closeIfQuiet(now);
            } else {
                reader_.request().keepAlive = false;
                unread_ = true;
                answerOwn(408);
            }
            break;
        case State::serving: break;
        case State::answering:
        case State::lingering: close(); break;
        case State::closed: break;
    }
}

// A configuration may have allowed more meanwhile, and clients count on it.
void ClientConnection::closeIfQuiet(Micros now) {
    const Micros until = idleSince_ + handler_.limits().quiet;
    if (now < until) return wake(until);
    closeIfUnused();
}

}  // namespace marldale::http_server
