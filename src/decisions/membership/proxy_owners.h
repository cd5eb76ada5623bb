// Which lane a proxy is joined on. It may be announcement on two at once: over the platform's protocol and
// over gRPC, or on a dead stream and on the one that it dialled next. One owner at a time; the module hears
// of one proxy. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "policy/types.h"

namespace marldale::membership {

using LaneId = std::uint32_t;  // 0: the platform's relay

struct ProxyAnnouncement {  // what a hello says of a proxy
    ZoneId zone = 0;
    double rate = 0;
    bool fresh = false;
};

// What follows, in order.
struct JoinedOnLane {  // on this lane, with none of our tables (whatever it held on another)
    ProxyId proxy = 0;
    LaneId lane = 0;
    ProxyAnnouncement announcement;
};
struct LeftAllLanes {
    ProxyId proxy = 0;
};
struct AcknowledgedOnLane {
    ProxyId proxy = 0;
    LaneId lane = 0;
    std::uint64_t mark = 0;
    Micros took = 0;
};
struct Release {  // tell this lane that the proxy is no longer joined on it
    ProxyId proxy = 0;
    LaneId lane = 0;
};
using OwnershipEvent = std::variant<JoinedOnLane, LeftAllLanes, AcknowledgedOnLane, Release>;

class ProxyOwners {
public:
    // A proxy that is announcement on two lanes in turn moves no sooner than this after its last move.
    static constexpr Micros kMoveLeast = 2000000;

    [[nodiscard]] std::vector<OwnershipEvent> hello(LaneId lane, ProxyId proxy,
                                                    const ProxyAnnouncement& announcement, Micros now);
    [[nodiscard]] std::vector<OwnershipEvent> bye(LaneId lane, ProxyId proxy, Micros now);
    [[nodiscard]] std::vector<OwnershipEvent> acknowledged(LaneId lane, ProxyId proxy, std::uint64_t mark,
                                                           Micros took) const;
    [[nodiscard]] std::vector<OwnershipEvent> closed(LaneId lane, Micros now);
    // Moves whose time has come.
    [[nodiscard]] std::vector<OwnershipEvent> due(Micros now);
    [[nodiscard]] std::optional<Micros> nextDue() const;

    [[nodiscard]] std::optional<LaneId> owner(ProxyId proxy) const;
    [[nodiscard]] std::size_t known() const { return proxies_.size(); }
    [[nodiscard]] std::uint64_t moves() const { return moves_; }

private:
    struct Waiting {
        ProxyAnnouncement announcement;
        bool later = false;  // announcement after the owner's lane did: it moves there when it may
    };
    struct Proxy {
        LaneId owner = 0;
        ProxyAnnouncement announcement;
        Micros since = 0;                     // the last move
        std::map<LaneId, Waiting> elsewhere;  // lanes that name it too
    };
    using Proxies = std::map<ProxyId, Proxy>;

    void move(ProxyId id, Proxy& proxy, LaneId to, Micros now, std::vector<OwnershipEvent>& out);
    void leave(Proxies::iterator at, LaneId lane, Micros now, std::vector<OwnershipEvent>& out);
    [[nodiscard]] static std::optional<LaneId> mover(const Proxy& proxy);

    Proxies proxies_;
    std::uint64_t moves_ = 0;
};

}  // namespace marldale::membership
