// What the program is asked to do: `marldale [serve|check|version]`.
#pragma once

#include <optional>
#include <string>
#include <vector>

namespace marldale::program {

enum class Verb { serve, check, version };

struct CommandLine {
    Verb verb = Verb::serve;
    std::string config;              // the platform's configuration, JSON; RELAY_CONFIG if it is not given
    std::string settings;            // marldale's own settings, INI; MARLDALE_SETTINGS if it is not given
    std::vector<std::string> files;  // `check`: further files, told apart by what they hold
    bool keys = false;               // `check --keys`: every settings key as a table
};

// Nothing if there is nothing left to do; then `status` is the exit status: 0 after --help, 2 after words
// that can't be understood, which were told on standard error.
[[nodiscard]] std::optional<CommandLine> parseCommandLine(int argc, const char* const* argv, int& status);

}  // namespace marldale::program
