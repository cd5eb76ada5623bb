#include "sources/clock_keeper.h"

#include <algorithm>
#include <pcg_random.hpp>
#include <utility>

namespace marldale::sources {
namespace {

constexpr Micros kSecond = 1000000;

}  // namespace

ClockKeeper::ClockKeeper(ClockSettings settings, std::uint32_t file, Out out, Refused refused)
    : settings_(settings), file_(file), out_(std::move(out)), refused_(std::move(refused)) {}

void ClockKeeper::add(In in) {
    if (in.leapSecond) ++counts_.leapSeconds;
    judge(std::move(in));
}

// Whether an entry goes on from the newest one, or may show that the clock was set.
void ClockKeeper::judge(In in) {
    const Micros at = in.stamp + shift_;
    const bool old = begun_ && at < newest_ - settings_.window;
    const bool far = begun_ && at > newest_ + settings_.quietMost;
    if (!old && !far) {
        // Time goes on as before: those that did not were stragglers.
        for (const In& suspect : std::exchange(suspects_, {})) {
            ++counts_.stragglers;
            refused_(suspect.place);
        }
        if (begun_ && at < newest_) ++counts_.outOfOrder;
        return accept(std::move(in));
    }
    // One that does not agree with the suspects so far begins anew.
    const Micros apart = suspects_.empty() ? 0 : in.stamp - suspects_.back().stamp;
    if (!suspects_.empty() && (apart < -settings_.window || apart > settings_.quietMost)) {
        for (const In& suspect : std::exchange(suspects_, {})) {
            ++counts_.stragglers;
            refused_(suspect.place);
        }
    }
    suspects_.push_back(std::move(in));
    if (suspects_.size() >= kAgree) step();
}

// The clock was set: from the first suspect on time goes on where it was.
void ClockKeeper::step() {
    std::vector<In> all = std::exchange(suspects_, {});
    const auto oldest =
        std::min_element(all.begin(), all.end(), [](const In& a, const In& b) { return a.stamp < b.stamp; });
    const Micros before = shift_;
    shift_ = newest_ - oldest->stamp;
    ++(shift_ > before ? counts_.stepsBack : counts_.stepsForward);
    counts_.shift = shift_;
    for (In& in : all) judge(std::move(in));
}

void ClockKeeper::accept(In in) {
    if (shift_ != 0) ++counts_.stepped;
    in.stamp += shift_;
    newest_ = begun_ ? std::max(newest_, in.stamp) : in.stamp;
    begun_ = true;
    const bool coarse = in.grain >= kSecond;
    if (!second_.empty() && (!coarse || second_.front().stamp != in.stamp)) flushSecond();
    if (coarse) {
        second_.push_back(std::move(in));
    } else {
        place(std::move(in));
    }
    release(newest_ - settings_.window - settings_.longest);
}

// As many even draws as there are entries, in their order.
void ClockKeeper::flushSecond() {
    std::vector<In> all = std::exchange(second_, {});
    pcg32 random(settings_.seed + file_, static_cast<std::uint64_t>(all.front().stamp / kSecond));
    std::vector<Micros> draws(all.size());
    for (Micros& draw : draws) draw = random(static_cast<std::uint32_t>(kSecond));
    std::sort(draws.begin(), draws.end());
    for (std::size_t i = 0; i < all.size(); ++i) {
        ++counts_.spread;
        all[i].stamp += draws[i];
        all[i].entry.coarse = true;
        place(std::move(all[i]));
    }
}

void ClockKeeper::place(In in) {
    Micros start = in.stamp;
    if (in.atEnd && in.entry.took > 0) start -= in.entry.took;
    if (start < released_) {
        // It took longer than what is held for: it cannot be put in order any more.
        ++counts_.stragglers;
        return refused_(in.place);
    }
    in.entry.at = start;
    byStart_.emplace(start, std::move(in));
}

void ClockKeeper::release(Micros before) {
    while (!byStart_.empty() && byStart_.begin()->first < before) {
        auto first = byStart_.extract(byStart_.begin());
        released_ = first.key();
        out_(std::move(first.mapped().entry), first.mapped().place);
    }
}

void ClockKeeper::finish() {
    for (const In& suspect : std::exchange(suspects_, {})) {
        ++counts_.stragglers;
        refused_(suspect.place);
    }
    if (!second_.empty()) flushSecond();
    while (!byStart_.empty()) release(byStart_.rbegin()->first + 1);
}

}  // namespace marldale::sources
