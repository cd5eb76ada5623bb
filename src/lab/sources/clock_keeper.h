// Stamps of one source, put in order: steps of the clock, entries out of order, whole seconds, stamps of the
// end. No I/O; the entries' own stamps are the only clock.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <vector>

#include "sources/record.h"
#include "trace/entry.h"

namespace marldale::sources {

struct ClockSettings {
    Micros window = 5 * 1000000LL;         // how far out of order entries may come
    Micros quietMost = 21600 * 1000000LL;  // a longer gap is a step
    Micros longest = 60 * 1000000LL;       // of a request whose stamp is of its end
    std::uint64_t seed = 1;
};

struct ClockCounts {
    std::uint64_t outOfOrder = 0, stepsBack = 0, stepsForward = 0,
                  stepped = 0;  // entries; steps; entries shifted
    std::uint64_t stragglers = 0, leapSeconds = 0, spread = 0;
    Micros shift = 0;  // at the end
};

class ClockKeeper {
public:
    struct In {
        Place place;
        Micros stamp = 0, grain = 0;
        bool atEnd = false, leapSecond = false;
        trace::Entry entry;
    };
    using Out = std::function<void(trace::Entry&&, const Place&)>;
    using Refused = std::function<void(const Place&)>;  // a straggler

    ClockKeeper(ClockSettings settings, std::uint32_t file, Out out, Refused refused);

    void add(In in);
    void finish();
    [[nodiscard]] const ClockCounts& counts() const { return counts_; }
    [[nodiscard]] std::size_t held() const { return byStart_.size() + suspects_.size() + second_.size(); }

private:
    static constexpr std::size_t kAgree = 8;  // entries that make a step

    void judge(In in);
    void step();
    void accept(In in);
    void flushSecond();
    void place(In in);
    void release(Micros before);

    const ClockSettings settings_;
    const std::uint32_t file_;
    const Out out_;
    const Refused refused_;
    ClockCounts counts_;
    bool begun_ = false;
    Micros newest_ = 0;  // stamp, shifted
    Micros shift_ = 0;
    Micros released_ = 0;       // the start of what went last
    std::vector<In> suspects_;  // unshifted
    std::vector<In> second_;    // entries of one whole second
    std::multimap<Micros, In> byStart_;
};

}  // namespace marldale::sources
