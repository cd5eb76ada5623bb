#include "membership/report_pacer.h"

#include <algorithm>
#include <cmath>

namespace marldale::membership {
namespace {

constexpr double kGain = 0.3;        // how fast the picture of a source follows
constexpr double kStep = 0.25;       // of the least interval
constexpr double kStay = 0.15;       // a change smaller than this part is not told
constexpr int kSilentIntervals = 4;  // a source that is silent for so many counts no more

}  // namespace

void ReportPacer::reported(SourceId source, std::size_t rows, Micros now) {
    Source& s = sources_[source];
    const auto count = static_cast<double>(rows);
    s.rows += (s.at == 0 ? 1 : kGain) * (count - s.rows);
    s.at = now;
}

Micros ReportPacer::interval(Micros now) {
    double rows = 0;
    for (const auto& [id, s] : sources_) {
        if (now - s.at <= kSilentIntervals * interval_) rows += s.rows;
    }
    const auto least = static_cast<double>(rules_.least);
    double wanted = least;
    if (rules_.rowsPerS > 0) wanted = std::max(wanted, rows / rules_.rowsPerS * 1e6);
    if (now < pressedUntil_) wanted = std::max(wanted, 2 * least);
    wanted = std::min(std::ceil(wanted / (kStep * least)) * kStep * least, static_cast<double>(rules_.most));
    const auto present = static_cast<double>(interval_);
    if (std::abs(wanted - present) > kStay * present || wanted <= least) interval_ = std::llround(wanted);
    return interval_;
}

}  // namespace marldale::membership
