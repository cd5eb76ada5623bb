// A front that speaks another protocol than the platform's, and is loaded only when the settings ask for it.
// It turns bytes into inputs and carries commands out; it decides nothing. The planner and the module that
// holds the front are built together: their types are the same.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "membership/permissions.h"
#include "membership/report_pacer.h"
#include "routing/inputs.h"
#include "routing/junction.h"
#include "routing/logger.h"
#include "routing/peer_link.h"

namespace marldale::routing {

struct FrontSettings {
    std::string listen;  // address:port; port 0 takes any free one
    // Without files the front speaks plain text, which is for loopback, or where it is allowed in so many
    // words.
    std::string certificate, key, clientsCa;
    std::string
        peersCa;  // who must have signed the certificate of an instance that is dialled; empty: clientsCa
    membership::PermissionTable passports;
    std::size_t streamsMost = 1200;  // open at once
    std::int64_t keepaliveMs =
        1000;  // between two pings; a peer that does not answer one in that time is gone
    std::int64_t helloWithinMs = 1100;    // as for strangers on the platform
    std::size_t memoryMost = 64U << 20U;  // bytes that the library may buffer
    [[nodiscard]] bool plain() const { return certificate.empty(); }
    bool operator==(const FrontSettings&) const = default;
};

// What a front needs of the planner. Every function may be called from any thread.
struct FrontHost {
    std::function<bool(Input)> post;  // false: there is no room now
    Logger log;
    std::vector<std::string> zones, classes, loadFields;  // by index
    std::uint32_t proxies = 0;
    std::uint64_t epoch = 1;
    membership::PacerRules pace;
    PeerEar* ear = nullptr;  // other instances may talk to us; it must outlive the front
};

class Front {
public:
    virtual ~Front() = default;
    Front() = default;
    Front(const Front&) = delete;
    Front& operator=(const Front&) = delete;

    [[nodiscard]] virtual std::uint16_t port() const = 0;
    // From the module's thread.
    virtual void carryOut(std::vector<FrontCommand> commands) = 0;
    // Takes new keys and passports; throws std::runtime_error, and keeps the old ones, if they can't be used.
    virtual void renew(const FrontSettings& settings) = 0;
    // To other instances; null if there is no ear for them.
    [[nodiscard]] virtual PeerLink* peers() { return nullptr; }
    // Tells every peer, and ends within this time; nothing is posted any more once it returns.
    virtual void stop(std::int64_t withinMs) = 0;
};

// What the module exports, as `marldale_front`. Throws std::runtime_error if the front can't be had.
using MakeFront = Front* (*)(const FrontSettings& settings, FrontHost host);
inline constexpr const char* kMakeFront = "marldale_front";

}  // namespace marldale::routing
