// Delays before a new try: doubled with every failure, with jitter, so that many don't come back in step.
#pragma once

#include <algorithm>
#include <cstdint>
#include <random>

#include "routing/limits.h"

namespace marldale::routing {

class Backoff {
public:
    explicit Backoff(std::uint64_t seed) : random_(seed) {}

    void succeeded() { next_ = limits::kRedialLeast; }
    [[nodiscard]] transport::Millis failed() {
        const auto most = next_.count();
        next_ = std::min(next_ * 2, limits::kRedialMost);
        return transport::Millis{std::uniform_int_distribution<transport::Millis::rep>(most / 2, most)(random_)};
    }

private:
    std::minstd_rand random_;
    transport::Millis next_ = limits::kRedialLeast;
};

}  // namespace marldale::routing
