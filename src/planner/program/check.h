// `marldale check`: reads files as `serve` would, and tells all that is wrong at once.
#pragma once

#include <iosfwd>

#include "program/command_line.h"

namespace marldale::program {

// 0: all files are right; 1: something is wrong, a line each; 2: there was nothing to check.
[[nodiscard]] int check(const CommandLine& asked, std::ostream& out);

}  // namespace marldale::program
