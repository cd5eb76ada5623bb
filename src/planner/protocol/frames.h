// Frames at the planner's address: a length of four bytes, least significant first, then the message.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace marldale::protocol {

inline constexpr std::size_t kFrameMost = std::size_t{1} << 20U;  // PROTOCOL: no message holds more

// Cuts a stream that comes in pieces into messages. It holds less than one message and its length.
class FrameReader {
public:
    explicit FrameReader(std::size_t most = kFrameMost) : most_(most) {}

    // Hands on each whole message; stops early when `handle` returns false. False if the stream can't go on:
    // a length of 0 or above the bound is no message, and what follows it can't be told apart.
    [[nodiscard]] bool feed(std::string_view bytes, const std::function<bool(std::string_view)>& handle);
    void allow(std::size_t most) { most_ = most; }  // holds from the next message on, also inside `handle`
    [[nodiscard]] std::size_t held() const { return kept_.size(); }

private:
    std::size_t most_;
    std::string kept_;
};

[[nodiscard]] std::string frame(std::string_view message);

}  // namespace marldale::protocol
