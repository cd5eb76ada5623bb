/// The decision module's entry point.
#pragma once

#include <memory>
#include <vector>

#include "policy/types.h"

namespace marldale {

/// A planner instance. It is deterministic: time comes only from `turn`, randomness only from Settings::seed.
class Planner {
public:
    explicit Planner(Settings settings);
    ~Planner();
    Planner(Planner&&) noexcept;
    Planner& operator=(Planner&&) noexcept;
    Planner(const Planner&) = delete;
    Planner& operator=(const Planner&) = delete;

    /// Handles the events of one moment, in order, and returns the actions to carry out, in order.
    [[nodiscard]] std::vector<Action> turn(Micros now, const std::vector<Event>& events);

private:
    struct State;
    std::unique_ptr<State> state_;
};

}  // namespace marldale
