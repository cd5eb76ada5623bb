#include "attempts/schedule.h"

#include <cmath>
#include <pcg_random.hpp>
#include <utility>

namespace marldale::attempts {

double uniformDraw(std::uint64_t seed, std::uint64_t stream) {
    pcg32 random(seed, stream);
    (void)random();  // the first draws of neighbouring streams are similar
    return random() / 4294967296.0;
}

Schedule::Schedule(ScheduleSettings settings) : settings_(std::move(settings)) {}

bool Schedule::inWindow(Micros recorded) const {
    return recorded >= settings_.from && (settings_.until == 0 || recorded < settings_.until);
}

Micros Schedule::intended(Micros recorded, unsigned loop, Micros length) const {
    const double offset = static_cast<double>(recorded - settings_.from) +
                          static_cast<double>(loop) * static_cast<double>(length + settings_.loopGap);
    return std::llround(offset / settings_.speed);
}

unsigned Schedule::copies(std::uint64_t chain, std::uint32_t classIndex) const {
    const double share = classIndex < settings_.shareByClass.size() ? settings_.shareByClass[classIndex] : 1;
    const double whole = std::floor(share);
    return static_cast<unsigned>(whole) + (uniformDraw(settings_.seed, chain) < share - whole ? 1 : 0);
}

}  // namespace marldale::attempts
