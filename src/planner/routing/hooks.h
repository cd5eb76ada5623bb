// What runs operators' hooks: a module of its own, loaded only when the settings ask for it. It stands before
// the module's queue, last of all, so that nothing that a hook wishes reaches the module but through its
// guard.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "protocol/catalog.h"
#include "routing/inputs.h"
#include "routing/logger.h"

namespace marldale::routing {

struct HookFile {
    std::string name, file;
    std::string sha256;  // hexadecimal; empty: any text
    bool operator==(const HookFile&) const = default;
};

struct HookSettings {
    std::vector<HookFile> hooks;
    std::string program;  // that runs the worker; empty: marldale_hook beside the planner's
    std::string control;  // path of the control socket; empty: none
    std::string
        publicKey;  // file, PEM, Ed25519: FILE.sig must be its signature of FILE; empty: none is asked for
    Micros tick = 1000000;      // between two calls of on_tick
    Micros verdict = 20000;     // that rows wait for one
    Micros killAfter = 250000;  // that a call may last before the worker is ended
    std::uint64_t budget = 200000;
    std::size_t memory = std::size_t{1} << 20U, state = std::size_t{64} << 10U;  // bytes, of each hook
    double levelLeast = 0.05, weightLeast = 0.1, capacityMost = 0.25, rowsMost = 0.2;
    std::size_t boxesLeast = 2;
    unsigned errorsMost = 3;
    Micros rest = 30 * 1000000LL;
    bool operator==(const HookSettings&) const = default;
};

struct HookHost {
    struct Class {
        std::string name;
        bool fragile = false;  // it must not run twice
    };
    Logger log;
    std::function<bool(Input)> post;  // to the module's queue; from any thread
    std::string name;                 // of this planner
    std::vector<std::string> zones;
    std::vector<Class> classes;
    Micros warmUp = 0;
    protocol::CatalogNews known;  // the list before the start
};

class Hooks {
public:
    virtual ~Hooks() = default;
    Hooks() = default;
    Hooks(const Hooks&) = delete;
    Hooks& operator=(const Hooks&) = delete;

    // What comes for the module, from any thread. Rows of reports may wait for a verdict, for as long as the
    // settings say at most; everything else goes on at once. False: there was no room.
    [[nodiscard]] virtual bool pass(Input input) = 0;
    // New limits, and all files again. Never throws: what can't be used is told to the log.
    virtual void renew(const HookSettings& settings) = 0;
    // What waits goes on; the worker ends.
    virtual void stop() = 0;
};

// What the module exports, as `marldale_hooks`. Throws std::runtime_error if the control socket can't be had.
using MakeHooks = Hooks* (*)(const HookSettings& settings, HookHost host);
inline constexpr const char* kMakeHooks = "marldale_hooks";

}  // namespace marldale::routing
