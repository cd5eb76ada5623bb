// Computes the interval at which sources are told to report, so that together they send no more rows than the
// planner can take in. As in xDS load reporting, the server sets the interval. No I/O.
#pragma once

#include <cstdint>
#include <map>

#include "membership/source_arbiter.h"

namespace marldale::membership {

struct PacerRules {
    Micros least = 2000000;  // the interval in the settings; never undercut
    Micros most = 20000000;
    double rowsPerS = 0;  // that the planner can take in; 0: no limit
};

/// One interval for all reporting streams.
class ReportPacer {
public:
    explicit ReportPacer(PacerRules rules) : rules_(rules), interval_(rules.least) {}

    /// A source has sent a report of that many rows.
    void reported(SourceId source, std::size_t rows, Micros now);
    void ended(SourceId source) { sources_.erase(source); }
    /// The planner could not take in a report: for a while the interval is at least twice the shortest one.
    void overloaded(Micros now) { overloadedUntil_ = now + kOverloadHold; }

    /// The interval that every stream is to be told now. It changes in steps, and not for small differences.
    [[nodiscard]] Micros interval(Micros now);

    /// How long an overload is remembered.
    static constexpr Micros kOverloadHold = 10000000;

private:
    struct Source {
        double rows = 0;  // of one report, smoothed
        Micros lastReport = 0;
    };
    PacerRules rules_;
    Micros interval_;
    Micros overloadedUntil_ = 0;
    std::map<SourceId, Source> sources_;
};

}  // namespace marldale::membership
