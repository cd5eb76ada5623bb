#include "gateway/http_server/request_reader.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <limits>

namespace marldale::http_server {
namespace {

namespace http = boost::beast::http;

// What is tuned.
constexpr std::size_t kTrailerMost = 8192;        // and chunk heads: bytes that bring no body
constexpr std::uint64_t kTimeLeftMost = 3600000;  // ms; more is read as this

std::string_view view(boost::beast::string_view text) { return {text.data(), text.size()}; }

}  // namespace

bool hopByHop(std::string_view name) {
    switch (name.size()) {
        case 2: return same(name, "te");
        case 7: return same(name, "trailer") || same(name, "upgrade");
        case 10: return same(name, "connection") || same(name, "keep-alive");
        case 14: return same(name, "content-length");  // framing is made anew
        case 16: return same(name, "proxy-connection");
        case 17: return same(name, "transfer-encoding");
        case 18: return same(name, "proxy-authenticate");
        case 19: return same(name, "proxy-authorization");
        default: return false;
    }
}

bool listed(std::string_view value, std::string_view token) {
    while (!value.empty()) {
        const std::size_t comma = value.find(',');
        if (same(trimmed(value.substr(0, comma)), token)) return true;
        if (comma == std::string_view::npos) break;
        value.remove_prefix(comma + 1);
    }
    return false;
}

void Request::clear() {
    head.clear();
    host.clear();
    if (body.capacity() > 65536) {
        body = {};
    } else {
        body.clear();
    }
    tryId.clear();
    timeLeft.reset();
    targetAt = targetSize = 0;
    hasLength = headOnly = http10 = keepAlive = expectContinue = false;
    began = 0;
}

void RequestReader::Parser::on_request_impl(http::verb, Text method, Text target, int version, Error&) {
    Request& request = reader_.request_;
    request.headOnly = view(method) == "HEAD";
    request.http10 = version == 10;
    request.head.append(view(method)).push_back(' ');
    request.targetAt = request.head.size();
    request.targetSize = target.size();
    request.head.append(view(target)).append(" HTTP/1.1\r\n");
}

void RequestReader::Parser::on_field_impl(http::field, Text name, Text value, Error& error) {
    // Those of a trailer are dropped.
    if (reader_.state_ != State::head) return;
    if (reader_.fields_.size() >= 256) error = http::error::header_limit;
    reader_.fields_.push_back({view(name), view(value)});
}

void RequestReader::Parser::on_header_impl(Error& error) {
    reader_.headDone();
    if (reader_.state_ == State::fault) error = http::error::bad_value;
}

void RequestReader::Parser::on_body_init_impl(const boost::optional<std::uint64_t>&, Error&) {}

std::size_t RequestReader::Parser::on_body_impl(Text bytes, Error&) {
    reader_.request_.body.append(bytes.data(), bytes.size());
    return bytes.size();
}

void RequestReader::Parser::on_chunk_header_impl(std::uint64_t size, Text, Error& error) {
    if (size > reader_.bodyMost_ || reader_.request_.body.size() + size > reader_.bodyMost_) {
        reader_.fail(413);
        error = http::error::body_limit;
    }
}

std::size_t RequestReader::Parser::on_chunk_body_impl(std::uint64_t, Text bytes, Error&) {
    reader_.request_.body.append(bytes.data(), bytes.size());
    return bytes.size();
}

void RequestReader::fail(unsigned status) {
    if (state_ == State::fault) return;
    state_ = State::fault;
    status_ = status;
}

RequestReader::ConnectionOptions RequestReader::readConnectionOptions() const {
    ConnectionOptions options;
    for (const Field& field : fields_) {
        if (field.name.size() != 10 || !same(field.name, "connection")) continue;
        options.close = options.close || listed(field.value, "close");
        options.keepAlive = options.keepAlive || listed(field.value, "keep-alive");
        options.named.append(options.named.empty() ? "" : ",").append(field.value);
    }
    if (same(options.named, "close") || same(options.named, "keep-alive")) options.named.clear();
    return options;
}

RequestReader::FieldUse RequestReader::takeHost(std::string_view host) {
    const std::size_t colon = host.rfind(':');
    if (colon != std::string_view::npos && host.back() != ']') host = host.substr(0, colon);
    request_.host.assign(host);
    for (char& c : request_.host) {
        if (c >= 'A' && c <= 'Z') c = static_cast<char>(c - 'A' + 'a');
    }
    return FieldUse::keep;
}

RequestReader::FieldUse RequestReader::takeTimeLeft(std::string_view value) {
    if (timeLeftSeen_) fail(400);
    timeLeftSeen_ = true;
    unsigned long long left = 0;
    if (readNumber(value, left))
        request_.timeLeft = static_cast<Micros>(std::min<std::uint64_t>(left, kTimeLeftMost)) * 1000;
    return FieldUse::drop;
}

RequestReader::FieldUse RequestReader::takeLength(std::string_view value) {
    request_.hasLength = true;
    unsigned long long length = 0;
    if (!readNumber(value, length)) {
        fail(400);
    } else {
        bodyExpected_ = length;
        if (length > bodyMost_) fail(413);
    }
    return FieldUse::forward;
}

RequestReader::FieldUse RequestReader::takeField(const Field& field) {
    const std::string_view name = field.name;
    if (same(name, "host")) return takeHost(field.value);
    if (same(name, "x-time-left")) return takeTimeLeft(field.value);
    if (same(name, "content-length")) return takeLength(field.value);
    if (same(name, "x-meant-server")) return FieldUse::drop;
    if (same(name, "expect")) {
        if (!same(field.value, "100-continue")) fail(417);
        request_.expectContinue = true;
        return FieldUse::drop;
    }
    if (same(name, "x-try-id")) {
        if (!request_.tryId.empty()) fail(400);
        request_.tryId.assign(field.value);
        return FieldUse::keep;
    }
    if (same(name, "transfer-encoding")) request_.hasLength = chunked_ = true;
    return FieldUse::forward;
}

void RequestReader::headDone() {
    const ConnectionOptions options = readConnectionOptions();
    request_.keepAlive = request_.http10 ? options.keepAlive && !options.close : !options.close;
    timeLeftSeen_ = false;
    for (const Field& field : fields_) {
        const FieldUse use = takeField(field);
        if (state_ == State::fault) return;
        if (use == FieldUse::drop || hopByHop(field.name)) continue;
        const bool named = !options.named.empty() && listed(options.named, field.name);
        if (named && use != FieldUse::keep) continue;
        request_.head.append(field.name).append(": ").append(field.value).append("\r\n");
    }
}

std::size_t RequestReader::readHead(std::string_view bytes, const upstream::Limits& limits) {
    state_ = State::head;
    const HeadCheck::State seen = check_.look(bytes, true);
    const std::size_t size = seen == HeadCheck::State::whole ? check_.size() : bytes.size();
    if (size > limits.maxHeaderBytes) {
        fail(431);
        return 0;
    }
    if (seen == HeadCheck::State::bad) {
        fail(400);
        return 0;
    }
    if (seen == HeadCheck::State::more) return 0;
    bodyMost_ = limits.maxBodyBytes;
    bodyExpected_ = 0;
    chunked_ = false;
    fields_.clear();
    parser_.emplace(*this);
    parser_->header_limit(static_cast<std::uint32_t>(std::min<std::uint64_t>(size + 1, 1U << 30U)));
    parser_->body_limit(std::numeric_limits<std::uint64_t>::max());  // none is taken for 0 by Beast 1.74
    boost::beast::error_code error;
    const std::size_t used = parser_->put(boost::asio::const_buffer(bytes.data(), size), error);
    fields_.clear();
    if (state_ == State::fault) return 0;
    if (error || used != size) {
        fail(400);
        return 0;
    }
    state_ = parser_->is_done() ? State::whole : State::body;
    return used;
}

std::size_t RequestReader::readBody(std::string_view bytes) {
    std::size_t used = 0;
    // In chunks at least an empty last one is to come: Beast (1.74) asserts that it sees it whole.
    while (used < bytes.size() && (!chunked_ || bytes.size() - used >= kLastChunk)) {
        boost::beast::error_code error;
        const std::size_t taken =
            parser_->put(boost::asio::const_buffer(bytes.data() + used, bytes.size() - used), error);
        used += taken;
        if (state_ == State::fault) break;
        if (error == http::error::need_more) {
            if (bytes.size() - used > kTrailerMost) fail(400);
            break;
        }
        if (error) {
            fail(400);
            break;
        }
        if (parser_->is_done()) state_ = State::whole;
        if (taken == 0 || state_ == State::whole) break;
    }
    return used;
}

std::size_t RequestReader::feed(std::string_view bytes, const upstream::Limits& limits) {
    std::size_t used = 0;
    if (state_ == State::idle || state_ == State::head) {
        if (bytes.empty()) return 0;
        used = readHead(bytes, limits);
    }
    if (state_ == State::body) used += readBody(bytes.substr(used));
    return used;
}

void RequestReader::next() {
    state_ = State::idle;
    status_ = 0;
    check_.reset();
    request_.clear();
}

}  // namespace marldale::http_server
