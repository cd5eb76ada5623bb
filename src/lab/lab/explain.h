// What an event log tells of one request, and where two logs part.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "emulator/event_log.h"

namespace marldale::lab {

// The chain of events of a wish: when it came, what its relay held and was told, each try and what became of
// it. Empty if there is no such wish.
[[nodiscard]] std::vector<emulator::Event> chainOf(const std::string& log, std::uint32_t wish);
// The first wishes that ended so, their numbers.
[[nodiscard]] std::vector<std::uint32_t> wishesThatEnded(const std::string& log, emulator::End end,
                                                         std::size_t most);
// Those whose effect happened more than once.
[[nodiscard]] std::vector<std::uint32_t> wishesDoubled(const std::string& log, std::size_t most);

struct Parting {
    bool parts = false;
    std::uint64_t record = 0;                 // the first that differs, from 0
    std::vector<emulator::Event> before;      // the last that both have
    std::vector<emulator::Event> one, other;  // what each goes on with
};
[[nodiscard]] Parting partingOf(const std::string& one, const std::string& other);

}  // namespace marldale::lab
