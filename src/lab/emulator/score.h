// What a run was worth, told from the event log.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "emulator/event_log.h"
#include "emulator/scenario.h"

namespace marldale::emulator {

struct ClassFigures {
    std::uint64_t wishes = 0;
    std::uint64_t ends[static_cast<std::size_t>(End::count_)] = {};
    double worth = 0, got = 0;
    std::vector<std::uint32_t> times;  // of those that were answered, microseconds
    [[nodiscard]] double share() const { return worth > 0 ? got / worth : 1; }
    [[nodiscard]] double quantile(double q) const;  // milliseconds
};
struct WindowFigures {
    double worth = 0, got = 0;
    std::uint64_t wishes = 0, tries = 0, refused = 0, failed = 0, messages = 0, lines = 0;
    [[nodiscard]] double share() const { return worth > 0 ? got / worth : 1; }
};

class Score {
public:
    explicit Score(const Scenario& scenario);
    void read(const Event& event);

    // Half for the whole run, a quarter each for its worst window and its worst class; 0 to 1.
    [[nodiscard]] double service() const;
    [[nodiscard]] double whole() const;
    [[nodiscard]] double worstWindow() const;
    [[nodiscard]] double worstClass() const;
    [[nodiscard]] const std::vector<ClassFigures>& classes() const { return classes_; }
    // From the run's start, each as long as `run.window_s` says; a wish counts where it began.
    [[nodiscard]] const std::map<std::int64_t, WindowFigures>& windows() const { return windows_; }
    [[nodiscard]] std::uint64_t tries() const { return tries_; }
    [[nodiscard]] std::uint64_t effects() const { return effects_; }
    [[nodiscard]] std::uint64_t messages() const { return messages_; }

private:
    [[nodiscard]] bool counts(Micros born) const { return born >= scenario_.run.scoreFrom; }
    const Scenario& scenario_;
    std::vector<ClassFigures> classes_;
    std::map<std::int64_t, WindowFigures> windows_;
    std::uint64_t tries_ = 0, effects_ = 0, messages_ = 0;
};

}  // namespace marldale::emulator
