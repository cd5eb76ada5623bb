// Lines of text ending in LF or CRLF, out of a stream that comes in pieces.
#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace marldale::protocol {

class LineReader {
public:
    explicit LineReader(std::size_t most) : most_(most) {}

    // Hands on each whole line without its end; stops early when `handle` returns false. False if a line is
    // longer than the bound: one without an end must not gather for ever.
    [[nodiscard]] bool feed(std::string_view bytes, const std::function<bool(std::string_view)>& handle);

private:
    std::size_t most_;
    std::string kept_;
};

}  // namespace marldale::protocol
