// The life of one hook: which version of it is at work, which is on trial, which was the last good one, and
// when it is taken off. No I/O; times are values.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

#include "policy/types.h"

namespace marldale::plugins {

struct LifeSettings {
    unsigned errorsMost = 3;  // within `errorsOver`, before it is taken off
    Micros errorsOver = 30 * 1000000LL;
    Micros rest = 30 * 1000000LL, restMost = 600 * 1000000LL;  // off for so long; doubled each time
    Micros probation = 60 * 1000000LL;  // a version that fails sooner gives way to the last good one
    bool operator==(const LifeSettings&) const = default;
};

struct Version {
    std::uint64_t number = 0;  // counts up over all versions of all hooks; 0: none
    std::string hash;          // SHA-256 of its text, hexadecimal
    bool operator==(const Version&) const = default;
};

// How a call ended. A kill: the worker had to be ended, or broke, while this hook ran.
enum class CallEnd : std::uint8_t { good, error, overrun, killed };
[[nodiscard]] const char* name(CallEnd end);

enum class HookState : std::uint8_t { none, atWork, resting, off };  // off: until an operator says otherwise
[[nodiscard]] const char* name(HookState state);

class Lifecycle {
public:
    explicit Lifecycle(LifeSettings settings) : settings_(settings) {}
    void set(const LifeSettings& settings) { settings_ = settings; }

    // A new version is there: it is on trial, and takes the place of an earlier one that still was.
    void offer(const Version& version);
    // The trial has ended. Only the word on the version that is on trial counts.
    enum class Trial : std::uint8_t { unknown, passed, failed };
    [[nodiscard]] Trial tried(std::uint64_t number, bool good);
    // The version that passed is at work from now on (between two turns).
    bool swap(Micros now);

    // A call of the version at work has ended. True: this takes it off, or puts an earlier one in its place.
    [[nodiscard]] bool called(CallEnd end, Micros now);

    void disable() { state_ = active_.number != 0 ? HookState::off : HookState::none; }
    void enable(Micros now);
    // Back to the last good version, if there is one.
    bool rollBack(Micros now);
    // Rest is over: it is tried again, and one error takes it off for twice as long. True if so.
    bool due(Micros now);
    [[nodiscard]] std::optional<Micros> nextDue() const;

    [[nodiscard]] HookState state() const { return state_; }
    [[nodiscard]] bool atWork() const { return state_ == HookState::atWork; }
    [[nodiscard]] const Version& active() const { return active_; }
    [[nodiscard]] const Version& lastGood() const { return lastGood_; }
    [[nodiscard]] const std::optional<Version>& onTrial() const { return trial_; }
    [[nodiscard]] bool passed() const { return passed_; }
    [[nodiscard]] std::uint64_t errors() const { return errorsAll_; }
    [[nodiscard]] std::uint64_t calls() const { return calls_; }

private:
    void beginWork(Micros now);
    void takeOff(Micros now);
    LifeSettings settings_;
    HookState state_ = HookState::none;
    Version active_, lastGood_;
    std::optional<Version> trial_;
    bool passed_ = false;
    Micros since_ = 0, restUntil_ = 0, restNext_ = 0;
    bool onProbe_ = false;  // back from a rest
    unsigned goodInRow_ = 0;
    std::deque<Micros> errors_;  // times, within `errorsOver`
    std::uint64_t errorsAll_ = 0, calls_ = 0;
};

}  // namespace marldale::plugins
