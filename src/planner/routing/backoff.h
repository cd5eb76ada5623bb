// Delays before a new try: doubled with every failure, with jitter, so that many don't come back in step.
#pragma once

#include <algorithm>
#include <cstdint>
#include <random>
#include <utility>

#include "routing/limits.h"

namespace marldale::routing {

class Backoff {
public:
    explicit Backoff(std::uint64_t seed) : random_(seed) {}

    // The number of failures before.
    int succeeded() {
        next_ = limits::kRedialLeast;
        return std::exchange(failures_, 0);
    }
    [[nodiscard]] int failures() const { return failures_; }
    [[nodiscard]] transport::Millis failed() {
        ++failures_;
        const auto most = next_.count();
        next_ = std::min(next_ * 2, limits::kRedialMost);
        return transport::Millis{
            std::uniform_int_distribution<transport::Millis::rep>(most / 2, most)(random_)};
    }

private:
    std::minstd_rand random_;
    transport::Millis next_ = limits::kRedialLeast;
    int failures_ = 0;
};

}  // namespace marldale::routing
