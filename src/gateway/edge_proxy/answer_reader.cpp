#include "gateway/edge_proxy/answer_reader.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <limits>

namespace marldale::edge_proxy {
namespace {

namespace http = boost::beast::http;
using http_server::same;

constexpr std::size_t kMaxHeadBytes = 32768;
constexpr std::size_t kMaxTrailerBytes = 8192;
constexpr std::size_t kMaxReservedBytes = 1U << 20U;  // bytes; a longer body's buffer grows as it arrives
constexpr unsigned long long kMaxKeepAliveSeconds = 3600;  // larger values are clamped

std::string_view view(boost::beast::string_view text) { return {text.data(), text.size()}; }

// The idle timeout given by a Keep-Alive value.
std::optional<Micros> keepAliveTimeout(std::string_view value) {
    constexpr std::string_view kTimeout = "timeout=";
    const std::size_t at = value.find(kTimeout);
    if (at == std::string_view::npos) return std::nullopt;
    const std::string_view rest = value.substr(at + kTimeout.size());
    unsigned long long seconds = 0;
    if (!http_server::readNumber(rest.substr(0, rest.find_first_not_of("0123456789")), seconds))
        return std::nullopt;
    return static_cast<Micros>(std::min(seconds, kMaxKeepAliveSeconds)) * 1000000;
}

}  // namespace

void Answer::clear() {
    status = 0;
    head.clear();
    if (body.capacity() > 65536) {
        body = {};
    } else {
        body.clear();
    }
    tryId.clear();
    length.reset();
    keepFor.reset();
    sealed = notRun = encoded = endless = keepAlive = false;
}

void AnswerReader::Parser::on_response_impl(int status, Text reason, int, Error&) {
    Answer& answer = reader_.answer_;
    answer.status = static_cast<unsigned>(status);
    answer.head.append("HTTP/1.1 ");
    answer.head.push_back(static_cast<char>('0' + status / 100));
    answer.head.push_back(static_cast<char>('0' + status / 10 % 10));
    answer.head.push_back(static_cast<char>('0' + status % 10));
    answer.head.append(" ").append(view(reason)).append("\r\n");
}

void AnswerReader::Parser::on_field_impl(http::field, Text name, Text value, Error& error) {
    if (reader_.state_ != State::head) return;  // trailer field
    if (reader_.fields_.size() >= 256) error = http::error::header_limit;
    reader_.fields_.push_back({view(name), view(value)});
}

bool AnswerReader::Parser::readField(const http_server::Field& field, Error& error) {
    Answer& answer = reader_.answer_;
    const std::string_view name = field.name;
    if (same(name, "x-try-id")) {
        if (!answer.tryId.empty()) error = http::error::bad_field;
        answer.tryId.assign(field.value);
        return true;
    }
    if (same(name, "x-server-seal")) {
        answer.sealed = true;
        return true;
    }
    if (same(name, "content-length")) {
        unsigned long long length = 0;
        if (!http_server::readNumber(field.value, length)) error = http::error::bad_content_length;
        answer.length = length;
        framed_ = true;
    } else if (same(name, "transfer-encoding")) {
        framed_ = true;
    } else if (same(name, "content-encoding")) {
        answer.encoded = true;
    } else if (same(name, "x-not-run")) {
        answer.notRun = true;
    } else if (same(name, "keep-alive")) {
        if (const auto retained = keepAliveTimeout(field.value)) answer.keepFor = retained;
    }
    return false;
}

void AnswerReader::Parser::on_header_impl(Error& error) {
    Answer& answer = reader_.answer_;
    std::string named;  // fields listed by Connection
    for (const http_server::Field& field : reader_.fields_) {
        if (same(field.name, "connection")) named.append(named.empty() ? "" : ",").append(field.value);
    }
    framed_ = false;
    for (const http_server::Field& field : reader_.fields_) {
        const bool retained = readField(field, error);
        if (http_server::hopByHop(field.name)) continue;
        if (!retained && !named.empty() && http_server::listed(named, field.name)) continue;
        answer.head.append(field.name).append(": ").append(field.value).append("\r\n");
    }
    const bool bodiless =
        reader_.headOnly_ || answer.status / 100 == 1 || answer.status == 204 || answer.status == 304;
    answer.endless = !framed_ && !bodiless;
    answer.keepAlive = keep_alive() && !answer.endless;
}

std::size_t AnswerReader::Parser::on_body_impl(Text bytes, Error&) {
    reader_.answer_.body.append(bytes.data(), bytes.size());
    return bytes.size();
}

std::size_t AnswerReader::Parser::on_chunk_body_impl(std::uint64_t, Text bytes, Error&) {
    reader_.answer_.body.append(bytes.data(), bytes.size());
    return bytes.size();
}

std::size_t AnswerReader::readHead(std::string_view bytes) {
    state_ = State::head;
    const auto seen = check_.look(bytes, false);
    const std::size_t size = seen == http_server::HeadCheck::State::whole ? check_.size() : bytes.size();
    if (seen == http_server::HeadCheck::State::bad || size > kMaxHeadBytes) {
        state_ = State::bad;
        return 0;
    }
    if (seen == http_server::HeadCheck::State::more) return 0;
    fields_.clear();
    parser_.emplace(*this);
    parser_->skip(headOnly_);
    parser_->header_limit(static_cast<std::uint32_t>(size + 1));
    parser_->body_limit(std::numeric_limits<std::uint64_t>::max());  // Beast 1.74 treats none as 0
    boost::beast::error_code error;
    const std::size_t taken = parser_->put(boost::asio::const_buffer(bytes.data(), size), error);
    fields_.clear();
    if (error || taken != size || answer_.status == 101) {
        state_ = State::bad;
        return 0;
    }
    if (answer_.status / 100 == 1) {  // interim answer: not forwarded
        next(headOnly_);
        return size;
    }
    state_ = parser_->is_done() ? State::whole : State::body;
    if (answer_.length && *answer_.length < kMaxReservedBytes) answer_.body.reserve(*answer_.length);
    return size;
}

std::size_t AnswerReader::readBody(std::string_view bytes) {
    std::size_t used = 0;
    while (used < bytes.size() && (!parser_->chunked() || bytes.size() - used >= http_server::kLastChunk)) {
        boost::beast::error_code error;
        const std::size_t taken =
            parser_->put(boost::asio::const_buffer(bytes.data() + used, bytes.size() - used), error);
        used += taken;
        if (error == http::error::need_more) {
            if (bytes.size() - used > kMaxTrailerBytes) state_ = State::bad;
            break;
        }
        if (error) {
            state_ = State::bad;
            break;
        }
        if (parser_->is_done()) state_ = State::whole;
        if (taken == 0 || state_ == State::whole) break;
    }
    return used;
}

std::size_t AnswerReader::feed(std::string_view bytes) {
    std::size_t used = 0;
    while ((state_ == State::idle || state_ == State::head) && used < bytes.size()) {
        const std::size_t taken = readHead(bytes.substr(used));
        used += taken;
        if (taken == 0) return used;
    }
    if (state_ == State::body) used += readBody(bytes.substr(used));
    return used;
}

void AnswerReader::next(bool headOnly) {
    state_ = State::idle;
    headOnly_ = headOnly;
    check_.reset();
    answer_.clear();
}

}  // namespace marldale::edge_proxy
