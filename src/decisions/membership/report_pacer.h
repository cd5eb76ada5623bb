// The interval that reporting streams are told, so that all of them together send no more rows than the
// planner takes in. The idea is that of load reporting in xDS, where the server tells the interval. No I/O.
#pragma once

#include <cstdint>
#include <map>

#include "membership/source_arbiter.h"

namespace marldale::membership {

struct PacerRules {
    Micros least = 2000000;  // the settings' interval; no stream is told a shorter one
    Micros most = 20000000;
    double rowsPerS = 0;  // what the planner takes in; 0: no limit
};

class ReportPacer {
public:
    explicit ReportPacer(PacerRules rules) : rules_(rules), interval_(rules.least) {}

    // A source has sent a report of so many rows.
    void reported(SourceId source, std::size_t rows, Micros now);
    void ended(SourceId source) { sources_.erase(source); }
    // The planner could not take a report in: for a while all are asked for half as many.
    void overloaded(Micros now) { pressedUntil_ = now + kPressedFor; }

    // What every stream is to be told now. It moves in steps, and not for changes that are small.
    [[nodiscard]] Micros interval(Micros now);

    static constexpr Micros kPressedFor = 10000000;

private:
    struct Source {
        double rows = 0;  // of one report, smoothed
        Micros at = 0;
    };
    PacerRules rules_;
    Micros interval_;
    Micros pressedUntil_ = 0;
    std::map<SourceId, Source> sources_;
};

}  // namespace marldale::membership
