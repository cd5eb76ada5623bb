// Spans of time as a scenario states them: `fixed 5ms`, `exp 110ms` (mean), `uniform 1ms 2ms`, `lognormal
// 110ms 0.5` (median and the logarithm's deviation), `erlang 4 110ms` (stages and mean), `samples 90ms 110ms
// 300ms`.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "emulator/random.h"
#include "policy/types.h"

namespace marldale::emulator {

// `5ms`, `1.5s`, `300us`; nothing if it is no span.
[[nodiscard]] std::optional<double> parseSpan(std::string_view text);  // microseconds

class Distribution {
public:
    static Distribution fixed(double micros) { return {Kind::fixed, micros, 0}; }
    static Distribution exponential(double mean) { return {Kind::exponential, mean, 0}; }
    static Distribution samples(std::vector<double> values);
    // Throws std::invalid_argument with one plain sentence.
    static Distribution parse(std::string_view text);

    [[nodiscard]] double draw(Stream& random) const;  // microseconds, at least 0
    [[nodiscard]] double mean() const;
    [[nodiscard]] double variance() const;

private:
    enum class Kind : std::uint8_t { fixed, exponential, uniform, lognormal, erlang, samples };
    Distribution(Kind kind, double a, double b) : kind_(kind), a_(a), b_(b) {}
    Kind kind_;
    double a_, b_;
    std::vector<double> samples_;
};

}  // namespace marldale::emulator
