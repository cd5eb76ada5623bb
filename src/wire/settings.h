// Reads the path=value settings of a `create` event into Settings.
#pragma once

#include <stdexcept>
#include <string_view>

#include "policy/types.h"

namespace marldale::wire {

// A setting that cannot be read at all: the input is malformed.
struct MalformedSetting : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// A setting the module cannot do without is absent; its path is the text.
struct MissingSetting : std::runtime_error {
    using std::runtime_error::runtime_error;
};

[[nodiscard]] Settings parseSettings(std::string_view text);

}  // namespace marldale::wire
