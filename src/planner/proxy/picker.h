// Which line is next: smooth weighted round robin over the lines of one table. Shares are exact in the long
// run, and a line of a small weight does not come twice in a row. No I/O.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "policy/types.h"

namespace marldale::proxy {

class Picker {
public:
    // `seed`: where in the round it begins, so that proxies do not go in step; 0: at its start.
    explicit Picker(std::uint64_t seed = 0) : seed_(seed) {}

    // A line that stays keeps its place in the round.
    void hold(const std::map<std::string, float>& lines);
    // Nothing if no line may be picked. Lines that may not be are as if they were not there.
    [[nodiscard]] std::optional<std::string> pick(const std::function<bool(const std::string&)>& may);
    [[nodiscard]] std::size_t lines() const { return lines_.size(); }

private:
    struct Line {
        double weight = 0, current = 0;
    };
    std::map<std::string, Line> lines_;
    std::uint64_t seed_;
};

// Requests of one class that are let in, by a rate: what half a second gives at once, and one at least.
class Level {
public:
    explicit Level(double burstS = 0.5) : burstS_(burstS) {}
    // `limit`: requests a second; 1e6 and up: any number.
    [[nodiscard]] bool admits(float limit, Micros now);

private:
    double burstS_, left_ = 1;
    Micros at_ = 0;
};

}  // namespace marldale::proxy
