// Bodies of HTTP/1.1 messages, read in pieces of any size, and written again in a framing of the proxy's own.
// No I/O.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "proxy/head.h"

namespace marldale::proxy {

class BodyReader {
public:
    explicit BodyReader(const BodyFrame& frame);

    // Takes what belongs to the body and hands its content on, in pieces; returns the bytes taken. Takes
    // nothing more once it is done or bad.
    std::size_t feed(std::string_view bytes, const std::function<void(std::string_view)>& content);
    void ended();  // the connection was closed: the end of a body until then, and a cut one otherwise

    [[nodiscard]] bool done() const { return state_ == State::done; }
    [[nodiscard]] const char* bad() const { return bad_; }  // null: it is not
    [[nodiscard]] const Fields& trailers() const { return trailers_; }
    [[nodiscard]] std::uint64_t content() const { return content_; }  // bytes handed on

private:
    enum class State : std::uint8_t { counted, untilClose, size, data, dataEnd, trailer, done, bad };
    std::size_t line(std::string_view bytes, std::string& whole, bool& ended);
    void sizeLine();
    void trailerLine();
    void spoil(const char* why);

    State state_ = State::done;
    bool chunked_ = false;
    std::uint64_t left_ = 0, content_ = 0;
    std::size_t trailerBytes_ = 0;
    std::string line_;
    Fields trailers_;
    const char* bad_ = nullptr;
};

// What begins, goes on with and ends a body in this framing.
[[nodiscard]] std::string framedPiece(Framing framing, std::string_view content);
[[nodiscard]] std::string framedEnd(Framing framing, const Fields& trailers);

}  // namespace marldale::proxy
