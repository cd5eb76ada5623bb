// Spans of time in logarithmic bins (Boost.Histogram), 64 to a decade: a quantile is right within 4%.
#pragma once

#include <algorithm>
#include <boost/histogram.hpp>
#include <cstdint>

#include "policy/types.h"

namespace marldale::trace {

class Histogram {
public:
    void add(Micros span) {
        const auto value = static_cast<double>(std::max<Micros>(span, 0));
        bins_(std::max(value, kLeast));
        ++count_;
        sum_ += value;
        most_ = std::max(most_, value);
    }
    [[nodiscard]] std::uint64_t count() const { return count_; }
    [[nodiscard]] double mean() const { return count_ == 0 ? 0 : sum_ / static_cast<double>(count_); }
    [[nodiscard]] double most() const { return most_; }
    // Microseconds below or at which this share of the spans is; 0 if there are none.
    [[nodiscard]] double quantile(double share) const {
        const double wanted = share * static_cast<double>(count_);
        double seen = 0;
        for (const auto& bin : boost::histogram::indexed(bins_, boost::histogram::coverage::all)) {
            seen += static_cast<double>(*bin);
            if (seen >= wanted && *bin > 0) return std::min(bin.bin().upper(), most_);
        }
        return most_;
    }

private:
    static constexpr double kLeast = 1, kMost = 1e10;  // a microsecond to three hours
    using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    decltype(boost::histogram::make_histogram(Axis(640, 1, 1e10))) bins_ =
        boost::histogram::make_histogram(Axis(640, kLeast, kMost));
    std::uint64_t count_ = 0;
    double sum_ = 0, most_ = 0;
};

}  // namespace marldale::trace
