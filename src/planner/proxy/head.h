// Heads of HTTP/1.1 messages (RFC 9110, RFC 9112), read strictly: what two readers could take differently is
// refused, so that nobody behind the proxy sees another request than the proxy did. No I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marldale::proxy {

struct Field {
    std::string name, value;
    bool operator==(const Field&) const = default;
};
using Fields = std::vector<Field>;

enum class Framing : std::uint8_t { none, length, chunked, untilClose };
struct BodyFrame {
    Framing framing = Framing::none;
    std::uint64_t length = 0;  // bytes, where framing is `length`
    bool operator==(const BodyFrame&) const = default;
};

struct RequestHead {
    std::string method, target;  // target: origin form, or `*`
    int minor = 1;               // HTTP/1.minor
    Fields fields;
    BodyFrame body;
    bool keepAlive = true, expectsContinue = false;
    bool operator==(const RequestHead&) const = default;
};
struct ResponseHead {
    int status = 0;
    std::string reason;
    int minor = 1;
    Fields fields;
    BodyFrame body;
    bool keepAlive = true;
    bool operator==(const ResponseHead&) const = default;
};

struct HeadLimits {
    std::size_t bytes = 16384, fields = 100;
};

// Why a message is not taken, and the status that says so to whoever sent it.
struct Refusal {
    int status = 400;
    const char* why = "";
};

// Bytes of a whole head at the front of `bytes`, with the empty line that ends it; 0 while it is not all
// there. Refused: it is longer than the limit.
[[nodiscard]] std::optional<Refusal> findHead(std::string_view bytes, const HeadLimits& limits,
                                              std::size_t& length);
[[nodiscard]] std::optional<Refusal> readRequest(std::string_view head, const HeadLimits& limits,
                                                 RequestHead& out);
// `method`: of the request that it answers.
[[nodiscard]] std::optional<Refusal> readResponse(std::string_view head, const HeadLimits& limits,
                                                  std::string_view method, ResponseHead& out);

[[nodiscard]] bool sameName(std::string_view a, std::string_view b);  // letters' case aside
[[nodiscard]] const std::string* valueOf(const Fields& fields, std::string_view name);
// Whether `Connection` names an option.
[[nodiscard]] bool namesConnection(const Fields& fields, std::string_view option);
// Fields that end here: those of one connection, and those that `Connection` names.
[[nodiscard]] Fields withoutHopByHop(const Fields& fields);
// One field line, CRLF aside. Nothing if it is none.
[[nodiscard]] std::optional<Field> readField(std::string_view line);

}  // namespace marldale::proxy
