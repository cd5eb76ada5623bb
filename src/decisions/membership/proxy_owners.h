// Decides which lane owns each proxy. A proxy may be announced on two lanes at once: over the platform's
// protocol and over gRPC, or on a stream that is dead but not yet closed and on the one that the proxy opened
// next. It has one owner at a time, so the decision module sees it once. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "policy/types.h"

namespace marldale::membership {

/// A connection on which proxies are announced; 0 is the platform's relay.
using LaneId = std::uint32_t;

/// What a hello states about a proxy.
struct ProxyAnnouncement {
    ZoneId zone = 0;
    double rate = 0;
    bool fresh = false;  // it holds only its standing tables
};

/// The proxy now belongs to this lane. It holds none of the tables sent by this planner there, whatever it
/// held on another lane.
struct JoinedOnLane {
    ProxyId proxy = 0;
    LaneId lane = 0;
    ProxyAnnouncement announcement;
};
/// No lane announces the proxy any more.
struct LeftAllLanes {
    ProxyId proxy = 0;
};
/// The proxy has acknowledged a mark on the lane that owns it.
struct AcknowledgedOnLane {
    ProxyId proxy = 0;
    LaneId lane = 0;
    std::uint64_t mark = 0;
    Micros took = 0;
};
/// This lane must be told that the proxy no longer belongs to it.
struct Release {
    ProxyId proxy = 0;
    LaneId lane = 0;
};
/// A change for the caller to carry out; several are to be carried out in their order.
using OwnershipEvent = std::variant<JoinedOnLane, LeftAllLanes, AcknowledgedOnLane, Release>;

/// The owners of all proxies.
class ProxyOwners {
public:
    /// The least time between two moves of a proxy that several lanes announce in turn.
    static constexpr Micros kMinMoveInterval = 2000000;

    /// A lane announces the proxy.
    [[nodiscard]] std::vector<OwnershipEvent> hello(LaneId lane, ProxyId proxy,
                                                    const ProxyAnnouncement& announcement, Micros now);
    /// A lane announces that the proxy has left.
    [[nodiscard]] std::vector<OwnershipEvent> bye(LaneId lane, ProxyId proxy, Micros now);
    /// The proxy has acknowledged a mark; ignored unless the lane owns it.
    [[nodiscard]] std::vector<OwnershipEvent> acknowledged(LaneId lane, ProxyId proxy, std::uint64_t mark,
                                                           Micros took) const;
    /// The lane has ended, and with it all it announced.
    [[nodiscard]] std::vector<OwnershipEvent> closed(LaneId lane, Micros now);
    /// Makes the moves that had to wait and are due; to be called when `nextDue` has come.
    [[nodiscard]] std::vector<OwnershipEvent> due(Micros now);
    [[nodiscard]] std::optional<Micros> nextDue() const;

    [[nodiscard]] std::optional<LaneId> owner(ProxyId proxy) const;
    /// The number of proxies that some lane announces.
    [[nodiscard]] std::size_t known() const { return proxies_.size(); }
    [[nodiscard]] std::uint64_t moves() const { return moves_; }

private:
    struct OtherLane {
        ProxyAnnouncement announcement;
        bool isNewer = false;  // than the owner's announcement: the proxy moves there as soon as it may
    };
    struct Proxy {
        LaneId owner = 0;
        ProxyAnnouncement announcement;
        Micros since = 0;                        // its last move
        std::map<LaneId, OtherLane> otherLanes;  // that announce it too
    };
    using Proxies = std::map<ProxyId, Proxy>;

    void move(ProxyId id, Proxy& proxy, LaneId to, Micros now, std::vector<OwnershipEvent>& out);
    void leave(Proxies::iterator at, LaneId lane, Micros now, std::vector<OwnershipEvent>& out);
    [[nodiscard]] static std::optional<LaneId> pendingMove(const Proxy& proxy);

    Proxies proxies_;
    std::uint64_t moves_ = 0;
};

}  // namespace marldale::membership
