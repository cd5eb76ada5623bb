// What a difference is worth: paired by seed, with a confidence interval by bootstrap (Efron, 1979).
#pragma once

#include <cstdint>
#include <vector>

namespace marldale::lab {

struct Interval {
    double mean = 0, low = 0, high = 0;
    std::size_t count = 0;
    // Whether it leaves out nothing: a difference of nothing would be a surprise.
    [[nodiscard]] bool clear() const { return count > 1 && (low > 0 || high < 0); }
};

// Of the mean of `values`, at 95%, by percentiles of `rounds` resamplings from a fixed seed.
[[nodiscard]] Interval bootstrap(const std::vector<double>& values, std::uint64_t seed = 1,
                                 std::uint32_t rounds = 4000);

[[nodiscard]] double quantile(std::vector<double> values, double q);
[[nodiscard]] double mean(const std::vector<double>& values);
// Spearman's, with means of ranks where values are equal; 0 if either has no spread.
[[nodiscard]] double rankCorrelation(const std::vector<double>& a, const std::vector<double>& b);

}  // namespace marldale::lab
