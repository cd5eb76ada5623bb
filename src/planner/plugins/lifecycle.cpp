#include "plugins/lifecycle.h"

#include <algorithm>
#include <utility>

namespace marldale::plugins {
namespace {

constexpr unsigned kGoodAgain = 20;  // calls in a row, after a rest, until it counts as well again

}  // namespace

const char* name(CallEnd end) {
    switch (end) {
        case CallEnd::good: return "good";
        case CallEnd::error: return "an error";
        case CallEnd::overrun: return "over its budget";
        case CallEnd::killed: return "had to be ended";
    }
    return "?";
}

const char* name(HookState state) {
    switch (state) {
        case HookState::none: return "none";
        case HookState::atWork: return "at work";
        case HookState::resting: return "resting";
        case HookState::off: return "off";
    }
    return "?";
}

void Lifecycle::offer(const Version& version) {
    trial_ = version;
    passed_ = false;
}

Lifecycle::Trial Lifecycle::tried(std::uint64_t number, bool good) {
    if (!trial_ || trial_->number != number || passed_) return Trial::unknown;
    if (good) {
        passed_ = true;
        return Trial::passed;
    }
    trial_.reset();
    return Trial::failed;
}

bool Lifecycle::swap(Micros now) {
    if (!trial_ || !passed_) return false;
    // What was at work long enough, or had nothing against it, is what there is to go back to.
    const bool good = state_ == HookState::atWork && !onProbe_ && errors_.empty();
    if (active_.number != 0 && (good || now - since_ >= settings_.probation) && state_ == HookState::atWork)
        lastGood_ = active_;
    active_ = *std::exchange(trial_, std::nullopt);
    passed_ = false;
    beginWork(now);
    return true;
}

bool Lifecycle::called(CallEnd end, Micros now) {
    if (!atWork()) return false;
    ++calls_;
    if (end == CallEnd::good) {
        if (onProbe_ && ++goodInRow_ >= kGoodAgain) {
            onProbe_ = false;
            restNext_ = 0;
        }
        return false;
    }
    ++errorsAll_;
    errors_.push_back(now);
    while (now - errors_.front() > settings_.errorsOver) errors_.pop_front();
    const bool enough = end == CallEnd::killed || onProbe_ || errors_.size() >= settings_.errorsMost;
    if (!enough) return false;
    const bool young = now - since_ < settings_.probation;
    if (young && lastGood_.number != 0 && rollBack(now)) return true;
    takeOff(now);
    return true;
}

// With nothing against it.
void Lifecycle::beginWork(Micros now) {
    state_ = HookState::atWork;
    since_ = now;
    errors_.clear();
    onProbe_ = false;
    restNext_ = 0;
}

void Lifecycle::takeOff(Micros now) {
    restNext_ = restNext_ == 0 ? settings_.rest : std::min(settings_.restMost, 2 * restNext_);
    restUntil_ = now + restNext_;
    state_ = HookState::resting;
    errors_.clear();
}

void Lifecycle::enable(Micros now) {
    if (active_.number == 0) return;
    beginWork(now);
}

bool Lifecycle::rollBack(Micros now) {
    if (lastGood_.number == 0) return false;
    active_ = std::exchange(lastGood_, Version{});
    beginWork(now);
    return true;
}

bool Lifecycle::due(Micros now) {
    if (state_ != HookState::resting || now < restUntil_) return false;
    state_ = HookState::atWork;
    onProbe_ = true;
    goodInRow_ = 0;
    return true;
}

std::optional<Micros> Lifecycle::nextDue() const {
    if (state_ != HookState::resting) return std::nullopt;
    return restUntil_;
}

}  // namespace marldale::plugins
