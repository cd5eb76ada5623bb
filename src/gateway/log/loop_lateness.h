// How late an event loop runs what is due: the longest time between a due time and its handler, over a
// sliding window. No I/O; times are of one steady clock, in microseconds.
#pragma once

#include <algorithm>
#include <optional>
#include <utility>

#include "policy/types.h"

namespace marldale::log {

class LoopLateness {
public:
    struct Settings {
        Micros window = 10000000;      // the maximum is over the last window at least, over two at most
        Micros reportOver = 100000;    // a maximum over this is reported,
        Micros reportEvery = 5000000;  // at most this often
    };
    LoopLateness() = default;
    explicit LoopLateness(const Settings& settings) : settings_(settings) {}

    /// What was due then runs now. Gives the maximum where it is time to report it.
    std::optional<Micros> ran(Micros due, Micros now) {
        roll(now);
        const Micros late = std::max<Micros>(0, now - due);
        present_ = std::max(present_, late);
        unreported_ = std::max(unreported_, late);
        if (unreported_ < settings_.reportOver || now < nextReport_) return std::nullopt;
        nextReport_ = now + settings_.reportEvery;
        return std::exchange(unreported_, 0);
    }
    /// The maximum over the window.
    [[nodiscard]] Micros worst(Micros now) const {
        const Micros age = now - begun_;
        if (age >= 2 * settings_.window) return 0;
        return age >= settings_.window ? present_ : std::max(present_, previous_);
    }

private:
    void roll(Micros now) {
        if (now - begun_ < settings_.window) return;
        previous_ = now - begun_ < 2 * settings_.window ? present_ : 0;
        present_ = 0;
        begun_ = now;
    }

    Settings settings_;
    Micros begun_ = 0, present_ = 0, previous_ = 0;  // of the window under way, and of the one before
    Micros unreported_ = 0, nextReport_ = 0;
};

}  // namespace marldale::log
