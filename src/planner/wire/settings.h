// Reads the path=value settings of a `create` event into Settings.
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

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

// Throws at the first setting that is wrong. With `problems` it throws only at text that is not path=value
// lines: all that is wrong is noted there, a sentence each, and the settings are not to be used if there is
// any.
[[nodiscard]] Settings parseSettings(std::string_view text, std::vector<std::string>* problems = nullptr);

}  // namespace marldale::wire
