// What a proxy counts for its planners: tries by box, requests by class. Every try and request is counted
// once, in the span in which it ended or came, whatever the spans are. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "policy/types.h"

namespace marldale::proxy {

struct BoxCount {
    std::uint32_t tries = 0, failed = 0;
    Micros goodTime = 0;  // of those that did not fail, together
    [[nodiscard]] Micros mean() const { return tries > failed ? goodTime / (tries - failed) : 0; }
    bool operator==(const BoxCount&) const = default;
};
struct ClassCount {
    std::uint32_t came = 0, failed = 0;
    bool operator==(const ClassCount&) const = default;
};
struct Count {
    Micros over = 0;
    std::map<std::string, BoxCount> boxes;
    std::vector<ClassCount> classes;
    bool operator==(const Count&) const = default;
};

// One span and the one after it, as one.
void merge(Count& into, const Count& next);

// The same, of what nobody takes for long: what would make it cover more than `most` is dropped first, for it
// tells nothing of now, and a span that is cut short would make rates of it that never were.
void mergeRecent(Count& into, const Count& next, Micros most = 30 * 1000000LL);

class Tally {
public:
    // `keptMost`: counts that nobody took for longer than this are dropped, for they tell nothing of now.
    Tally(std::size_t classes, Micros now, Micros keptMost = 30 * 1000000LL)
        : keptMost_(keptMost), since_(now), classes_(classes) {}

    void came(std::size_t klass, Micros now);
    void requestFailed(std::size_t klass, Micros now);  // one that was let in
    void tried(const std::string& box, bool failed, Micros took, Micros now);

    [[nodiscard]] Count take(Micros now);
    [[nodiscard]] std::uint64_t dropped() const { return dropped_; }  // tries and requests

private:
    void age(Micros now);
    const Micros keptMost_;
    Micros since_;
    std::map<std::string, BoxCount> boxes_;
    std::vector<ClassCount> classes_;
    std::uint64_t dropped_ = 0;
};

}  // namespace marldale::proxy
