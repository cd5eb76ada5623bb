// What a process is told: the YAML file that MARLDALE_CONFIG names, checked against a schema (RapidJSON)
// before anything is taken from it. Fields that aren't known are left alone.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "policy/types.h"

namespace marldale::settings {

struct Bounds {
    Micros seedDelay = 3000000, reuseAfter = 2000000, inTouch = 3000000, confirm = 4000000, catchUp = 4000000;
    Micros drain = 2000000, grace = 6000000, apply = 2000000, goBack = 250000, stretch = 5000000;
    Micros retryWindow = 10000000, emptyZone = 5000000, recover = 15000000;
    double retryRatio = 0.2, coldExcess = 1.5;
    unsigned extraTries = 50, coldMargin = 5;
};

struct Settings {
    std::string node, role, ip, zone, region;
    std::map<std::string, std::string> zones;  // zone to region
    std::string front, readiness, control;     // "ip:port"; empty: not served
    unsigned portFirst = 0, portLast = 0;      // inside
    std::vector<std::string> seeds;            // control addresses
    bool firstRun = false;
    double processorShare = 1, cores = 1;
    std::size_t memoryMb = 256, openFiles = 1024, diskMb = 0;
    std::string dataFolder;  // empty: no disk
    Micros beatEvery = 1500000;
    Bounds bounds;

    // The address that others inside reach this process at.
    [[nodiscard]] std::string inside() const { return ip + ":" + std::to_string(portFirst); }
    // The seeds' inside addresses: every machine of a day uses the same ports.
    [[nodiscard]] std::vector<std::string> insideSeeds() const;
};

// "1500ms", "2.5s". Nothing else is a time.
[[nodiscard]] absl::StatusOr<Micros> readTime(std::string_view text);
[[nodiscard]] absl::StatusOr<Settings> parse(const std::string& yaml);
[[nodiscard]] absl::StatusOr<Settings> readFile(const std::string& path);

}  // namespace marldale::settings
