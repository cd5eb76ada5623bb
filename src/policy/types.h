/// The decision module's interface: settings, events and actions. It is independent of any protocol: a front
/// end (the drill adapter, the planner on sockets) translates its protocol into these types, hands each
/// instance the events of one moment as a turn, and carries out the returned actions in order.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace marldale {

using Micros = std::int64_t;  // microseconds
using ServerId = std::uint32_t;
using ProxyId = std::uint16_t;
using TableId = std::uint16_t;
using ZoneId = std::uint8_t;
using ClassMask = std::uint16_t;  // bit k stands for class k; 0 means every class

inline constexpr TableId kAllTables = 65535;  // addresses every table

// ---- Settings, fixed at the start ----

/// Whether a request may be sent again: freely, only with a deduplication key, or not at all.
enum class Repeat { retryable, dedup, fragile };
/// The servers that share deduplication keys.
enum class RepeatGroup { all, zone, cell };
/// What an admission level is: unused, a share of the requests, or requests per second and proxy.
enum class Admission { none, share, rate };

/// Settings of a request class.
struct ClassSettings {
    std::string name;          // for logs only; not used in decisions
    Micros latencyTarget = 0;  // an answer within it is in time
    Micros giveUp = 0;         // the client waits this long
    double worth = 1;          // of an answer in time, relative to other classes
    double lateWorth = 0;      // of a later answer
    Repeat repeat = Repeat::fragile;
    RepeatGroup group = RepeatGroup::cell;
    Micros dedupWindow = 0;     // servers remember a deduplication key this long
    bool writes = false;        // its requests have an effect
    bool ownZoneOnly = false;   // only servers in the proxy's zone may serve it
    std::uint32_t zones = ~0U;  // bit k: servers of zone k may serve it
};

/// Settings of a planner instance.
struct Settings {
    std::uint32_t plannerIndex = 0;  // of this planner, from 0
    std::uint32_t planners = 1;
    std::uint64_t seed = 0;
    std::uint32_t zones = 1;
    std::uint32_t myZone = 0;
    std::uint32_t proxies = 0;      // of all planners together
    std::uint32_t shards = 0;       // number of slices; 0: the site is not sharded
    bool oneOwner = false;          // at most one server may own a slice
    bool listOnRequest = false;     // the server list has to be subscribed to
    bool mayProbe = false;          // servers may be probed
    bool reportsInAnswers = false;  // load reports come with answers
    bool goneIsAdvice = false;      // "gone" in the server list is advisory
    Admission admission = Admission::none;
    int defaultRetry = 1;            // retry mode without overload; see SetLevel::retryMode
    double tryTimeoutFactor = 1;     // timeout of a try, in latency targets
    double pushRate = 1000;          // lines per second that the channel to the proxies carries
    double backlogLines = 1000;      // that may wait in the channel
    double envelopeLines = 1;        // cost of a message beside its lines
    std::uint32_t messagesMost = 0;  // to a proxy within `messagesOver`; 0: no limit
    Micros messagesOver = 0;
    Micros reportEvery = 1000000;  // interval of server and demand reports
    double reportsPerS = 0;        // most server and demand reports that reach the planner; 0: no limit
    Micros writeLease = 0;         // a proxy without a planner writes to a slice for this long
    Micros settle = 0;             // until the writes that an owner has accepted are done
    Micros emptyFor = 0;           // rule: a proxy may be without a usable server this long
    Micros drainGrace = 0;         // rule: a draining server may get requests this long
    Micros askWithin = 0;          // not used by decisions yet
    double coldShare = 1;          // speed of a cold server, relative to a warm one
    double tipMultiple = 1;        // load, relative to its speed, at which a cold server fails
    Micros fallWithin = 0;         // time at that load until it fails
    Micros warmUp = 0;             // from a server's start until it is warm
    std::vector<ClassSettings> classes;
    std::vector<std::string> loadFields;  // names of the values in a LoadReport
};

// ---- Events ----

enum class ServerState : std::uint8_t { gone = 0, ready = 1, draining = 2 };

/// A server in the server list.
struct ListEntry {
    ServerId server = 0;
    std::uint8_t kind = 0;
    std::uint16_t cell = 0;
    Micros bootTime = 0;  // 0: unknown; it is warm
    ZoneId zone = 0;
    double weight = 0;  // 0: not given; counts as 1
    ServerState state = ServerState::ready;
};

/// A full list, a full list from a cache, changes only, or a failed request for the list.
enum class ServerListUpdateKind : std::uint8_t { full = 0, cached = 1, delta = 2, failed = 3 };

/// A new server list, or changes to it.
struct ServerListUpdate {
    std::uint64_t version = 0;
    ServerListUpdateKind kind = ServerListUpdateKind::full;
    std::vector<ListEntry> entries;
};
/// A timer armed by ArmTimer has expired.
struct TimerDue {
    std::uint64_t tag = 0;
};
enum class ProbeOutcome { ok, error, refused, timeout, unreachable, broken, other };
using LoadReport = std::vector<float>;  // in the order of Settings::loadFields; empty where absent
/// The outcome of a Probe.
struct ProbeResult {
    ServerId server = 0;
    ProbeOutcome outcome = ProbeOutcome::other;
    Micros roundTrip = 0;
    LoadReport load;
};
/// A proxy has joined this planner.
struct ProxyJoined {
    ProxyId proxy = 0;
    ZoneId zone = 0;
    double usualRate = 0;  // requests per second
    bool fresh = false;    // it holds only its standing tables
};
/// A proxy has left this planner.
struct ProxyLeft {
    ProxyId proxy = 0;
};
/// Tries at a server by the proxies of a zone, over a period.
struct ServerStats {
    ServerId server = 0;
    ZoneId fromZone = 0;
    std::uint32_t tries = 0;
    std::uint32_t failed = 0;
    Micros period = 0;
    Micros meanTime = 0;  // of the successful tries; 0 if there were none
    LoadReport load;
};
/// Requests of a class that arrived at a proxy over a period.
struct ProxyDemand {
    ProxyId proxy = 0;
    std::uint16_t klass = 0;
    std::uint32_t came = 0;
    std::uint32_t failed = 0;
    Micros period = 0;
};
/// Requests of a class that arrived for a slice over a period.
struct SliceDemand {
    TableId slice = 0;
    std::uint16_t klass = 0;
    std::uint32_t came = 0;
    std::uint32_t failed = 0;
    Micros period = 0;
};
/// A slice is assigned to this planner, or taken from it.
struct SliceAssignment {
    TableId slice = 0;
    bool assigned = false;
};
/// A server that holds a slice, as the store has it.
struct SliceLine {
    TableId slice = 0;
    ServerId server = 0;
    double weight = 0;
};
/// A proxy has applied everything up to a mark.
struct Acknowledged {
    ProxyId proxy = 0;
    std::uint64_t mark = 0;
    Micros took = 0;  // from the mark to its acknowledgement
};

/// An upper bound (0 to 1) on the admitted share of a class at a zone's proxies.
struct Ceiling {
    ZoneId zone = 0;
    std::uint16_t klass = 0;
    double share = 1;
};

using Event = std::variant<ServerListUpdate, TimerDue, ProbeResult, ProxyJoined, ProxyLeft, ServerStats,
                           ProxyDemand, SliceDemand, SliceAssignment, SliceLine, Acknowledged, Ceiling>;

// ---- Actions ----

/// Sets the weight of a server in a table.
struct SetLine {
    TableId table = 0;
    ServerId server = 0;
    float weight = 0;  // 0 removes the line
};
/// Removes a table, or the lines of every table.
struct DropLines {
    TableId table = 0;
};
/// Makes a proxy use a table for some classes.
struct Bind {
    ProxyId proxy = 0;
    TableId table = 0;
    ClassMask classes = 0;
};
/// Takes a server out of use in all tables, or restores it.
struct Withdraw {
    ServerId server = 0;
    bool out = false;  // false: restored
};
/// Sets the admission level and retry mode of classes in a table.
struct SetLevel {
    TableId table = 0;
    float limit = 0;  // see Admission
    ClassMask classes = 0;
    std::uint8_t retryMode = 0;  // 0: never; 1: once if proven not to have run; 2: once; 3: twice
};
/// Asks the proxies concerned to acknowledge all orders before it.
struct Mark {
    std::uint16_t mark = 0;
    bool everyProxy = false;  // also those that no order concerns
};
/// Asks for a TimerDue event after a delay.
struct ArmTimer {
    Micros delay = 0;
    std::uint64_t tag = 0;
};
/// Asks for a probe of a server.
struct Probe {
    ServerId server = 0;
};
/// Subscribes to the server list, or ends the subscription.
struct Subscribe {
    bool on = false;
};
/// Asks for the server list once.
struct FetchList {};
/// Writes a line to the log.
struct Log {
    std::string text;
};

using Action = std::variant<SetLine, DropLines, Bind, Withdraw, SetLevel, Mark, ArmTimer, Probe, Subscribe,
                            FetchList, Log>;

}  // namespace marldale
