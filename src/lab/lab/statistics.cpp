#include "lab/statistics.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "emulator/random.h"

namespace marldale::lab {

double mean(const std::vector<double>& values) {
    if (values.empty()) return 0;
    return std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size());
}

double quantile(std::vector<double> values, double q) {
    if (values.empty()) return 0;
    std::sort(values.begin(), values.end());
    const double at = q * static_cast<double>(values.size() - 1);
    const auto low = static_cast<std::size_t>(at);
    const std::size_t high = std::min(low + 1, values.size() - 1);
    return values[low] + (at - static_cast<double>(low)) * (values[high] - values[low]);
}

Interval bootstrap(const std::vector<double>& values, std::uint64_t seed, std::uint32_t rounds) {
    Interval out;
    out.count = values.size();
    out.mean = out.low = out.high = mean(values);
    if (values.size() < 2) return out;
    emulator::Stream draw(seed, "bootstrap");
    const auto n = static_cast<std::uint32_t>(values.size());
    std::vector<double> means;
    means.reserve(rounds);
    for (std::uint32_t r = 0; r < rounds; ++r) {
        double sum = 0;
        for (std::uint32_t i = 0; i < n; ++i) sum += values[draw.below(n)];
        means.push_back(sum / n);
    }
    out.low = quantile(means, 0.025);
    out.high = quantile(std::move(means), 0.975);
    return out;
}

namespace {

std::vector<double> ranks(const std::vector<double>& values) {
    std::vector<std::size_t> order(values.size());
    std::iota(order.begin(), order.end(), 0U);
    std::sort(order.begin(), order.end(),
              [&](std::size_t a, std::size_t b) { return values[a] < values[b]; });
    std::vector<double> out(values.size());
    for (std::size_t from = 0; from < order.size();) {
        std::size_t to = from;
        while (to < order.size() && values[order[to]] == values[order[from]]) ++to;
        for (std::size_t i = from; i < to; ++i) out[order[i]] = static_cast<double>(from + to - 1) / 2;
        from = to;
    }
    return out;
}

}  // namespace

double rankCorrelation(const std::vector<double>& a, const std::vector<double>& b) {
    if (a.size() != b.size() || a.size() < 2) return 0;
    const std::vector<double> x = ranks(a), y = ranks(b);
    const double mx = mean(x), my = mean(y);
    double xy = 0, xx = 0, yy = 0;
    for (std::size_t i = 0; i < x.size(); ++i) {
        xy += (x[i] - mx) * (y[i] - my);
        xx += (x[i] - mx) * (x[i] - mx);
        yy += (y[i] - my) * (y[i] - my);
    }
    return xx > 0 && yy > 0 ? xy / std::sqrt(xx * yy) : 0;
}

}  // namespace marldale::lab
