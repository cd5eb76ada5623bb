// The hash of what a table says. A sum over its lines, so that it is the same in any order and a changed line
// changes it by a difference. Both ends of a stream of assignments work it out;
// proto/marldale/v1/assignments.proto states it.
#pragma once

#include <cstdint>
#include <string_view>

namespace marldale::dispatch {

// XXH64 (seed 0) over: 'l', the server's uid, a zero byte, the weight as the 4 bytes of its IEEE 754 single,
// least significant first. A line of weight 0 is no line.
[[nodiscard]] std::uint64_t lineHash(std::string_view server, float weight);

// XXH64 (seed 0) over: 'a', the class's name, a zero byte, the limit as above, the retry mode as one byte.
[[nodiscard]] std::uint64_t levelHash(std::string_view className, float limit, std::uint8_t retryMode);

}  // namespace marldale::dispatch
