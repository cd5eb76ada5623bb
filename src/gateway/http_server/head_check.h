// Whether the head of an HTTP/1.1 message is written as the standard says, to the letter (RFC 9112). Beast
// reads some things more kindly than the next one on the way may; what is kindly read here could be a
// smuggled request there.
#pragma once

#include <cstddef>
#include <string_view>

namespace marldale::http_server {

// Looks at a head line by line while it arrives.
class HeadCheck {
public:
    enum class State { more, whole, bad };
    // `bytes`: all of the message that has come. Says whether its head is whole, and `size()` then tells how
    // long it is.
    State look(std::string_view bytes, bool request);
    [[nodiscard]] std::size_t size() const { return lineFrom_; }
    void reset() { *this = HeadCheck{}; }

private:
    std::size_t lineFrom_ = 0, seen_ = 0;
    bool firstLine_ = true;
    bool http10_ = false;
    unsigned hosts_ = 0, lengths_ = 0, codings_ = 0;

    bool startLine(std::string_view line, bool request);
    bool field(std::string_view line);
    [[nodiscard]] bool framed(bool request) const;
};

// Letters of ASCII, without regard to case.
[[nodiscard]] bool same(std::string_view one, std::string_view other);
// A decimal number that fits; false for anything else.
[[nodiscard]] bool readNumber(std::string_view text, unsigned long long& number);
[[nodiscard]] std::string_view trimmed(std::string_view text);

}  // namespace marldale::http_server
