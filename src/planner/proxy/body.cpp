#include "proxy/body.h"

#include <algorithm>
#include <charconv>
#include <cstdio>

namespace marldale::proxy {
namespace {

constexpr std::size_t kSizeLineMost = 256;   // with its extensions, which end here
constexpr std::size_t kTrailersMost = 8192;  // bytes
constexpr std::size_t kSizeDigits = 15;

}  // namespace

BodyReader::BodyReader(const BodyFrame& frame) {
    switch (frame.framing) {
        case Framing::none: state_ = State::done; break;
        case Framing::length:
            left_ = frame.length;
            state_ = left_ == 0 ? State::done : State::counted;
            break;
        case Framing::chunked:
            chunked_ = true;
            state_ = State::size;
            break;
        case Framing::untilClose: state_ = State::untilClose; break;
    }
}

void BodyReader::spoil(const char* why) {
    bad_ = why;
    state_ = State::bad;
}

// Gathers a line; the bytes that were taken.
std::size_t BodyReader::line(std::string_view bytes, std::string& whole, bool& ended) {
    const std::size_t end = bytes.find('\n');
    const std::size_t taken = end == std::string_view::npos ? bytes.size() : end + 1;
    whole.append(bytes.substr(0, taken));
    ended = end != std::string_view::npos;
    if (whole.size() > (state_ == State::trailer ? kTrailersMost : kSizeLineMost)) {
        spoil("a line of a chunked body is too long");
        return taken;
    }
    if (!ended) return taken;
    if (whole.size() < 2 || whole[whole.size() - 2] != '\r') {
        spoil("a line of a chunked body does not end with CRLF");
        return taken;
    }
    whole.resize(whole.size() - 2);
    if (whole.find('\r') != std::string::npos) spoil("a bare CR in a chunked body");
    return taken;
}

void BodyReader::sizeLine() {
    const std::size_t digits = std::min(line_.find_first_not_of("0123456789abcdefABCDEF"), line_.size());
    const bool rest = digits == line_.size() || line_[digits] == ';';
    if (digits == 0 || digits > kSizeDigits || !rest) return spoil("a chunk's size that is none");
    for (const char c : line_.substr(digits)) {
        if (c != '\t' && (c < 0x20 || c == 0x7f)) return spoil("a chunk's extension that is none");
    }
    std::from_chars(line_.data(), line_.data() + digits, left_, 16);
    line_.clear();
    state_ = left_ > 0 ? State::data : State::trailer;
}

void BodyReader::trailerLine() {
    if (line_.empty()) {
        state_ = State::done;
        return;
    }
    auto field = readField(line_);
    line_.clear();
    if (!field) return spoil("a trailer that is none");
    // What frames or routes a message is no trailer (RFC 9110, 6.5.1).
    for (const char* never :
         {"content-length", "transfer-encoding", "host", "connection", "trailer", "expect"}) {
        if (sameName(field->name, never)) return;
    }
    trailers_.push_back(std::move(*field));
}

std::size_t BodyReader::feed(std::string_view bytes, const std::function<void(std::string_view)>& content) {
    std::size_t taken = 0;
    const auto hand = [&](std::size_t most) {
        const std::string_view piece = bytes.substr(taken, most);
        taken += piece.size();
        content_ += piece.size();
        if (!piece.empty()) content(piece);
        return piece.size();
    };
    while (taken < bytes.size() && state_ != State::done && state_ != State::bad) {
        bool ended = false;
        switch (state_) {
            case State::untilClose: hand(bytes.size()); break;
            case State::counted:
                left_ -= hand(left_);
                if (left_ == 0) state_ = State::done;
                break;
            case State::data:
                left_ -= hand(left_);
                if (left_ == 0) state_ = State::dataEnd;
                break;
            case State::dataEnd:
                taken += line(bytes.substr(taken), line_, ended);
                if (!ended && line_.size() > 1) spoil("a chunk that does not end with CRLF");
                if (ended && state_ != State::bad && !line_.empty())
                    spoil("a chunk that is longer than its size");
                if (ended && state_ != State::bad) state_ = State::size;
                break;
            case State::size:
                taken += line(bytes.substr(taken), line_, ended);
                if (ended && state_ != State::bad) sizeLine();
                break;
            case State::trailer: {
                const std::size_t more = line(bytes.substr(taken), line_, ended);
                taken += more;
                trailerBytes_ += more;
                if (trailerBytes_ > kTrailersMost && state_ != State::bad) spoil("the trailers are too long");
                if (ended && state_ != State::bad) trailerLine();
                break;
            }
            case State::done:
            case State::bad: break;
        }
    }
    return taken;
}

void BodyReader::ended() {
    if (state_ == State::untilClose) state_ = State::done;
    if (state_ != State::done && state_ != State::bad) spoil("the body is cut");
}

std::string framedPiece(Framing framing, std::string_view content) {
    if (framing != Framing::chunked) return std::string(content);
    if (content.empty()) return {};  // that would be the end
    char size[24];
    std::snprintf(size, sizeof size, "%zx\r\n", content.size());
    std::string out = size;
    out.append(content).append("\r\n");
    return out;
}

std::string framedEnd(Framing framing, const Fields& trailers) {
    if (framing != Framing::chunked) return {};
    std::string out = "0\r\n";
    for (const Field& f : trailers) out += f.name + ": " + f.value + "\r\n";
    return out + "\r\n";
}

}  // namespace marldale::proxy
