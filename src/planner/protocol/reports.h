// Messages at the planner's address: what collectors report, and the probe of whoever asks for us.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "protocol/json.h"

namespace marldale::protocol {

using LoadValues = std::map<std::string, double, std::less<>>;  // by the name of the value

struct CollectorHello {  // `agent`
    std::string zone;
};
struct Outcomes {
    std::string zone, server;
    std::uint32_t tries = 0, failed = 0;
    std::int64_t meanUs = 0, overUs = 0;
    LoadValues load;
};
struct Demand {
    std::uint16_t proxy = 0;
    std::string klass;
    std::uint32_t came = 0, failed = 0;
    std::int64_t overUs = 0;
};
struct AliveProbe {};
struct UnknownReport {  // of a type that this planner has no use for
    std::string type;
};

// Ranges that hold on every front.
inline constexpr std::uint32_t kCountMost =
    10000000;  // of one sum; no planner's proxies have so many in its span
inline constexpr std::int64_t kSpanMostUs = 60000000;  // no sum covers more, and no try lasts so long
inline constexpr std::size_t kLoadValuesMost = 16;
inline constexpr double kLoadMost = 1e12;

// Whether a row can be true: counts and spans in range, no more failures than tries, a span that is not
// nothing (it would make a rate without end), a mean that is not negative.
[[nodiscard]] bool isSound(const Outcomes& row);
[[nodiscard]] bool isSound(const Demand& row);

using Report = std::variant<CollectorHello, Outcomes, Demand, AliveProbe, UnknownReport>;

// Nothing if the text is not one JSON object, or a field that it needs is absent or out of range.
[[nodiscard]] std::optional<Report> parseReport(std::string_view text);
[[nodiscard]] std::optional<Report> readReport(const Json& object);

// `alive` and `error`, framed.
[[nodiscard]] std::string aliveAnswer();
[[nodiscard]] std::string errorAnswer();

// The line that a server's load page has: `TEXT inflight=7, queue=2, util=0.61`. What can't be read is
// left out.
[[nodiscard]] LoadValues parseLoadLine(std::string_view text);

}  // namespace marldale::protocol
