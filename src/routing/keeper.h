// What keeps knowledge of the boxes over a restart: a module of its own, loaded only when the settings ask
// for it. It hears what the planner hears, and tells at the start what was known.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "protocol/catalog.h"
#include "routing/inputs.h"
#include "routing/logger.h"

namespace marldale::routing {

struct KeeperSettings {
    std::string snapshot;  // the file
    Micros every = 10 * 1000000LL, ageMost = 600 * 1000000LL;
    bool operator==(const KeeperSettings&) const = default;
};

struct KeeperHost {
    Logger log;
    std::string name;             // of this planner
    protocol::CatalogNews known;  // the list before the start
    Micros reportEvery = 2000000;
};

class Keeper {
public:
    virtual ~Keeper() = default;
    Keeper() = default;
    Keeper(const Keeper&) = delete;
    Keeper& operator=(const Keeper&) = delete;

    // From any thread; `now` is steady time.
    virtual void took(const Input& input, Micros now) = 0;
    // What was known at the start, as the module is told it: boxes that a newer list did not have ready, as
    // draining, and sums.
    [[nodiscard]] virtual std::vector<Input> recalled(Micros now) = 0;
    // The last snapshot is written; nothing is heard any more.
    virtual void stop() = 0;
};

// What the module exports, as `marldale_keeper`.
using MakeKeeper = Keeper* (*)(const KeeperSettings& settings, KeeperHost host);
inline constexpr const char* kMakeKeeper = "marldale_keeper";

}  // namespace marldale::routing
