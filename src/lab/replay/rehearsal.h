// A trace as a planner's collectors would tell it: demand of relays, outcomes at boxes. No I/O; time is the
// trace's.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "trace/entry.h"

namespace marldale::replay {

struct RehearsalSettings {
    std::vector<std::string> classes;                        // of the trace
    std::vector<std::string> zones;                          // of the planner
    std::vector<std::pair<std::string, std::string>> boxes;  // uid and zone
    std::uint32_t relays = 1;                                // dealt over the zones in turn
    Micros every = 2000000;
};

class Rehearsal {
public:
    explicit Rehearsal(RehearsalSettings settings);

    struct Message {
        std::string zone;  // whose collector tells it
        std::string json;  // as the platform's protocol has it
    };
    // What is told by the time of this entry; then it is counted.
    [[nodiscard]] std::vector<Message> add(const trace::Entry& entry);
    // What has been counted since the last report.
    [[nodiscard]] std::vector<Message> finish();

    // The relay that a client's requests come to, its zone, and the box that a request is tried at.
    [[nodiscard]] std::uint32_t relayOf(const trace::Entry& entry) const;
    [[nodiscard]] const std::string& zoneOf(std::uint32_t relay) const;
    [[nodiscard]] const std::string& boxOf(const trace::Entry& entry) const;

private:
    struct Sum {
        std::uint64_t count = 0, failed = 0;
        Micros time = 0;
    };
    [[nodiscard]] std::vector<Message> report(Micros over);
    const RehearsalSettings settings_;
    Micros since_ = 0, last_ = 0;
    bool begun_ = false;
    std::map<std::pair<std::string, std::string>, Sum> outcomes_;    // zone, box
    std::map<std::pair<std::uint32_t, std::uint32_t>, Sum> demand_;  // relay, class
};

}  // namespace marldale::replay
