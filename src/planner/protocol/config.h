// The planner's configuration: the environment names it, a JSON file holds it.
#pragma once

#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "policy/types.h"
#include "protocol/catalog.h"

namespace marldale::protocol {

struct BadConfig : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct Config {
    std::string name, listen, discovery, relay;
    std::size_t sockets = 0;           // file descriptors allowed; 0: not told
    CatalogNews known;                 // the list as this planner had it most recently
    Settings settings;                 // with the seed
    std::string fixed;                 // what holds from start to exit, as text, to compare it
    std::vector<std::string> zones;    // by index, as discovery and proxies call them
    std::vector<std::string> classes;  // by index, as orders and reports call them
    std::vector<std::string> kinds;    // by index
};

// Throws BadConfig with one plain line at the first thing that is wrong. With `problems` it throws nothing:
// all that is wrong is noted there, a sentence each, and the configuration is not to be used if there is any.
[[nodiscard]] Config parseConfig(std::string_view text, std::vector<std::string>* problems = nullptr);

// Nested settings as the path=value lines that wire/settings reads, so that there is one parser of them.
[[nodiscard]] std::string flattenSettings(const Json& settings);

}  // namespace marldale::protocol
