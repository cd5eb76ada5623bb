// What a stand-in waits for: as tests do, but what does not come is thrown.
#pragma once

#include <chrono>
#include <stdexcept>
#include <string>

#include "support/watch.h"

namespace marldale::standin {

class Watch : public tests::Watch {
public:
    // Throws std::runtime_error, naming what was waited for, if it does not come to hold.
    template <class Holds>
    void until(const std::string& what, const Holds& holds,
               std::chrono::seconds most = std::chrono::seconds{20}) {
        if (!tests::Watch::until(holds, most)) throw std::runtime_error("waited in vain for " + what);
    }
};

}  // namespace marldale::standin
