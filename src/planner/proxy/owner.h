// Which of its planners orders a proxy, where several may: one at a time, each time under a new epoch. A
// planner is heard while it watches the proxy's news. No I/O; times are values.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "policy/types.h"

namespace marldale::proxy {

class Owner {
public:
    struct Waits {
        Micros settle = 300000;     // at first: for one that comes earlier in the settings
        Micros comeBack = 2000000;  // for the owner itself, once it watches no more
    };
    // `planners`: how many there are; those named first are taken first.
    explicit Owner(std::size_t planners) : Owner(planners, Waits{}) {}
    Owner(std::size_t planners, Waits waits);

    void watches(std::size_t planner, Micros now);
    void watchesNoMore(std::size_t planner, Micros now);

    struct Change {
        std::optional<std::size_t> from, to;  // `from`: one that may still be told that the proxy left
        bool operator==(const Change&) const = default;
    };
    // Takes what has become due: at most one change a call.
    [[nodiscard]] std::optional<Change> due(Micros now);
    // When `due` is to be called next; -1: not before something is told.
    [[nodiscard]] Micros next() const;

    [[nodiscard]] std::optional<std::size_t> holder() const { return holder_; }
    // Whether the holder can be heard now.
    [[nodiscard]] bool heard() const { return holder_ && watching_[*holder_]; }
    // Counts the holders that there were: what was ordered under an earlier one is answered to nobody.
    [[nodiscard]] std::uint64_t epoch() const { return epoch_; }

private:
    [[nodiscard]] std::optional<std::size_t> best() const;
    const Waits waits_;
    std::vector<bool> watching_;
    std::optional<std::size_t> holder_;
    Micros since_ = -1;  // the first one came, or the holder was lost, at; -1: neither is open
    std::uint64_t epoch_ = 0;
};

}  // namespace marldale::proxy
