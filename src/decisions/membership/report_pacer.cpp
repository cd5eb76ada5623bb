#include "membership/report_pacer.h"

#include <algorithm>
#include <cmath>

namespace marldale::membership {
namespace {

constexpr double kSmoothingGain = 0.3;       // of the exponential average over a source's reports
constexpr double kStep = 0.25;               // of the interval, as a fraction of the shortest one
constexpr double kMinRelativeChange = 0.15;  // smaller changes of the interval are not made
constexpr int kMaxSilentIntervals = 4;       // sources that are silent for longer are not counted

}  // namespace

void ReportPacer::reported(SourceId source, std::size_t rows, Micros now) {
    Source& entry = sources_[source];
    const auto count = static_cast<double>(rows);
    entry.rows += (entry.lastReport == 0 ? 1 : kSmoothingGain) * (count - entry.rows);
    entry.lastReport = now;
}

Micros ReportPacer::interval(Micros now) {
    double rows = 0;
    for (const auto& [id, entry] : sources_) {
        if (now - entry.lastReport <= kMaxSilentIntervals * interval_) rows += entry.rows;
    }
    const auto least = static_cast<double>(rules_.least);
    double wanted = least;
    if (rules_.rowsPerS > 0) wanted = std::max(wanted, rows / rules_.rowsPerS * 1e6);
    if (now < overloadedUntil_) wanted = std::max(wanted, 2 * least);
    wanted = std::min(std::ceil(wanted / (kStep * least)) * kStep * least, static_cast<double>(rules_.most));
    const auto current = static_cast<double>(interval_);
    if (std::abs(wanted - current) > kMinRelativeChange * current || wanted <= least)
        interval_ = std::llround(wanted);
    return interval_;
}

}  // namespace marldale::membership
