// The proxy's settings file (INI).
#pragma once

#include <map>
#include <string>
#include <vector>

#include "proxy/gateway.h"
#include "settings/schema.h"

namespace marldale::proxy {

// A planner that speaks the platform's protocol.
struct PlatformPlanner {
    std::string name;
    std::string relayListen;  // where it finds the proxy as its relay
    std::string planner;      // where it takes reports
};

struct PlannerSettings {
    std::vector<std::string> planners;  // addresses; the first that answers has this proxy
    std::string node = "proxy", zone;
    std::uint32_t relay = 0;
    double usualRate = 1;                   // requests a second
    std::vector<PlatformPlanner> platform;  // those named first are taken first; empty: gRPC
    transport::Millis reportEvery{1000};
    std::string certificate, key,
        authority;  // files, PEM; an authority alone: only the planner proves who it is
};

struct ProxySettings {
    std::string listen = "127.0.0.1:8080", discovery;
    std::map<std::string, std::string> boxes;  // addresses by uid, where there is no discovery
    std::uint64_t seed = 0;                    // 0: of the node's name
    PlannerSettings planner;
    tls::Files clientTls, boxTls;  // each empty: plain TCP
    std::string tablesFile;        // empty: no snapshot
    Micros tablesEvery = 5 * 1000000LL, tablesMost = 600 * 1000000LL;
    GatewaySettings gateway;
};

// Everything that is wrong goes to `problems`, with file and line.
[[nodiscard]] ProxySettings readProxySettings(const std::string& file, const std::string& text,
                                              std::vector<settings::Problem>& problems);
[[nodiscard]] std::string proxyKeys();  // a table in Markdown

}  // namespace marldale::proxy
