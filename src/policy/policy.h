// The decision module: one planner instance.
#pragma once

#include <memory>
#include <vector>

#include "policy/types.h"

namespace marldale {

// One planner instance. It reads time only from `turn` and randomness only from Settings::seed.
class Planner {
public:
    explicit Planner(Settings settings);
    ~Planner();
    Planner(Planner&&) noexcept;
    Planner& operator=(Planner&&) noexcept;
    Planner(const Planner&) = delete;
    Planner& operator=(const Planner&) = delete;

    // All events of one moment, in order; the actions take effect at that moment, in order.
    [[nodiscard]] std::vector<Action> turn(Micros now, const std::vector<Event>& events);

private:
    struct State;
    std::unique_ptr<State> state_;
};

}  // namespace marldale
