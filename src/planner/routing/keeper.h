// What keeps knowledge of the boxes over a restart, and shares it with other instances: a module of its own,
// loaded only when the settings ask for it. It stands between the fronts and the module's queue.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "protocol/catalog.h"
#include "routing/inputs.h"
#include "routing/logger.h"
#include "routing/peer_link.h"

namespace marldale::routing {

struct KeeperSettings {
    std::string snapshot;  // the file; empty: none
    Micros every = 10 * 1000000LL, ageMost = 600 * 1000000LL;
    bool share = false;   // peers may ask, and are asked
    std::string address;  // where peers reach this instance; empty: where its front listens
    std::vector<membership::PeerEndpoint> peers;
    Micros askFor = 10 * 1000000LL;  // from the start
    Micros holdMost = 60 * 1000000LL;
    bool operator==(const KeeperSettings&) const = default;
};

struct KeeperHost {
    Logger log;
    std::function<bool(Input)> post;  // to the module; from any thread
    std::string name;                 // of this planner
    std::uint64_t seed = 0;
    protocol::CatalogNews known;  // the list before the start
    Micros reportEvery = 2000000;
};

class Keeper : public PeerEar {
public:
    // What comes for the module, from any thread: it is heard, and handed on. False: there was no room.
    [[nodiscard]] virtual bool pass(Input input, Micros now) = 0;
    // After the module's first turn: tells it what was known, and goes on on a thread of its own.
    virtual void begin(Micros now) = 0;
    // From here on peers are reached; `link` is null again before it goes away.
    virtual void connect(PeerLink* link, std::uint16_t port) = 0;
    // The last words are said and the last snapshot is written; nothing is heard any more.
    virtual void stop() = 0;
};

// What the module exports, as `marldale_keeper`.
using MakeKeeper = Keeper* (*)(const KeeperSettings& settings, KeeperHost host);
inline constexpr const char* kMakeKeeper = "marldale_keeper";

}  // namespace marldale::routing
