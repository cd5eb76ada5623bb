// The decision module's interface: settings in, events in, actions out. Nothing here decides anything.
//
// It knows no wire. A front (the drill adapter, the planner on sockets) translates its protocol into
// these types, hands each instance the events of one moment as a turn, and carries out the actions
// that come back, in their order.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace marldale {

using Micros = std::int64_t;
using ServerId = std::uint32_t;
using ProxyId = std::uint16_t;
using TableId = std::uint16_t;
using ZoneId = std::uint8_t;
using ClassMask = std::uint16_t;  // bit k stands for class k; 0 means every class

inline constexpr TableId kAllTables = 65535;

// ---- Settings, told once at the start ----

enum class Repeat { retryable, dedup, fragile };
enum class RepeatGroup { all, zone, cell };
enum class Admission { none, share, rate };

struct ClassSettings {
    std::string name;  // a label for logs; no decision looks at it
    Micros latencyTarget = 0;
    Micros giveUp = 0;
    double worth = 1;
    double lateWorth = 0;
    Repeat repeat = Repeat::fragile;
    RepeatGroup group = RepeatGroup::cell;
    Micros dedupWindow = 0;
    bool writes = false;
    bool ownZoneOnly = false;
    std::uint32_t zones = ~0U;  // bit k: servers of zone k are open to it
};

struct Settings {
    std::uint32_t plannerIndex = 0;
    std::uint32_t planners = 1;
    std::uint64_t seed = 0;
    std::uint32_t zones = 1;
    std::uint32_t myZone = 0;
    std::uint32_t proxies = 0;
    std::uint32_t shards = 0;
    bool oneOwner = false;
    bool listOnRequest = false;
    bool mayProbe = false;
    bool reportsInAnswers = false;
    bool goneIsAdvice = false;
    Admission admission = Admission::none;
    int defaultRetry = 1;
    double tryTimeoutFactor = 1;
    double pushRate = 1000;
    double backlogLines = 1000;
    double envelopeLines = 1;
    std::uint32_t messagesMost = 0;  // 0: no such limit
    Micros messagesOver = 0;
    Micros reportEvery = 1000000;
    double reportsPerS = 0;  // lines of sums a second that reach the planner at most; 0: no limit
    Micros writeLease = 0;
    Micros settle = 0;
    Micros emptyFor = 0;
    Micros drainGrace = 0;
    Micros askWithin = 0;
    double coldShare = 1;
    double tipMultiple = 1;
    Micros fallWithin = 0;
    Micros warmUp = 0;
    std::vector<ClassSettings> classes;
    std::vector<std::string> loadFields;  // names of the values in a load report
};

// ---- Events ----

enum class ServerState : std::uint8_t { gone = 0, ready = 1, draining = 2 };

struct ListEntry {
    ServerId server = 0;
    std::uint8_t kind = 0;
    std::uint16_t cell = 0;
    Micros bootTime = 0;  // 0: long ago
    ZoneId zone = 0;
    double weight = 0;
    ServerState state = ServerState::ready;
};

enum class ServerListUpdateKind : std::uint8_t { full = 0, cached = 1, delta = 2, failed = 3 };

struct ServerListUpdate {
    std::uint64_t version = 0;
    ServerListUpdateKind kind = ServerListUpdateKind::full;
    std::vector<ListEntry> entries;
};
struct TimerDue {
    std::uint64_t tag = 0;
};
enum class ProbeOutcome { ok, error, refused, timeout, unreachable, broken, other };
using LoadReport = std::vector<float>;  // in the order of Settings::loadFields; empty where absent
struct ProbeResult {
    ServerId server = 0;
    ProbeOutcome outcome = ProbeOutcome::other;
    Micros roundTrip = 0;
    LoadReport load;
};
struct ProxyJoined {
    ProxyId proxy = 0;
    ZoneId zone = 0;
    double usualRate = 0;
    bool fresh = false;  // it holds only its standing tables
};
struct ProxyLeft {
    ProxyId proxy = 0;
};
struct ServerStats {
    ServerId server = 0;
    ZoneId fromZone = 0;
    std::uint32_t tries = 0;
    std::uint32_t failed = 0;
    Micros period = 0;
    Micros meanTime = 0;  // of the good ones; 0 if there were none
    LoadReport load;
};
struct ProxyDemand {
    ProxyId proxy = 0;
    std::uint16_t klass = 0;
    std::uint32_t came = 0;
    std::uint32_t failed = 0;
    Micros period = 0;
};
struct SliceDemand {
    TableId slice = 0;
    std::uint16_t klass = 0;
    std::uint32_t came = 0;
    std::uint32_t failed = 0;
    Micros period = 0;
};
struct SliceAssignment {
    TableId slice = 0;
    bool assigned = false;
};
struct SliceLine {
    TableId slice = 0;
    ServerId server = 0;
    double weight = 0;
};
struct Acknowledged {
    ProxyId proxy = 0;
    std::uint64_t mark = 0;
    Micros took = 0;
};

struct Ceiling {  // at most this share (0 to 1) of what comes of a class at a zone's proxies is let in
    ZoneId zone = 0;
    std::uint16_t klass = 0;
    double share = 1;
};

using Event = std::variant<ServerListUpdate, TimerDue, ProbeResult, ProxyJoined, ProxyLeft, ServerStats,
                           ProxyDemand, SliceDemand, SliceAssignment, SliceLine, Acknowledged, Ceiling>;

// ---- Actions ----

struct SetLine {
    TableId table = 0;
    ServerId server = 0;
    float weight = 0;  // 0 removes the line
};
struct DropLines {
    TableId table = 0;
};
struct Bind {
    ProxyId proxy = 0;
    TableId table = 0;
    ClassMask classes = 0;
};
struct Withdraw {
    ServerId server = 0;
    bool out = false;
};
struct SetLevel {
    TableId table = 0;
    float limit = 0;
    ClassMask classes = 0;
    std::uint8_t retryMode = 0;
};
struct Mark {
    std::uint16_t mark = 0;
    bool everyProxy = false;
};
struct ArmTimer {
    Micros delay = 0;
    std::uint64_t tag = 0;
};
struct Probe {
    ServerId server = 0;
};
struct Subscribe {
    bool on = false;
};
struct FetchList {};
struct Log {
    std::string text;
};

using Action = std::variant<SetLine, DropLines, Bind, Withdraw, SetLevel, Mark, ArmTimer, Probe, Subscribe,
                            FetchList, Log>;

}  // namespace marldale
