// One entry of a trace.
#pragma once

#include <cstdint>
#include <string>

#include "attempts/outcome.h"

namespace marldale::trace {

struct Entry {
    Micros at = 0;                                        // its start, Unix time
    Micros took = -1;                                     // -1: not told
    std::uint64_t client = 0, target = 0, requestId = 0;  // hashes; 0: not known
    std::uint64_t chain = 0;                              // the intent; 0: not joined yet
    std::uint32_t number = 0;                             // of the try within it, from 0
    std::uint32_t classIndex = 0;
    attempts::Answer answer;
    std::uint32_t upstreamTries = 0;
    bool coarse = false;  // its stamp had whole seconds
    std::string method, host, path;
    bool operator==(const Entry&) const = default;
};

}  // namespace marldale::trace
