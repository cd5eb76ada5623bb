// The registry of servers, maintained from their own reports: heartbeats, sign-offs and missed heartbeats.
// Controllers exchange differences; a lost registry is rebuilt from the servers' next heartbeats. A departure
// (`emptying`, or a sign-off) is final for the incarnation that reported it: no other report, older or newer,
// reverts it. No I/O.
#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "marldale/gateway/internal.pb.h"
#include "policy/types.h"

namespace marldale::registry {

namespace proto = gateway::proto;

/// The parameters of a registry.
struct Settings {
    Micros beatEvery = 1500000;
    double maxMissedBeats = 3.1;  // heartbeat intervals without a report after which a server is removed
    Micros restoredGracePeriod = 2500000;  // time that a restored server has to send a heartbeat
    Micros restoredMaxAge = 6000000;       // restored reports older than this do not tell the cold time
    Micros restoredColdTime = 5000000;     // assumed if a restored report is too old
    Micros answerValidity = 3000000;       // how long an answer to a proxy stands in for missing heartbeats
    Micros departureRetention = 60000000;  // departures are kept so that late heartbeats do not revert them
    std::size_t maxServers = 20000;
};

/// A known server.
struct Server {
    proto::Server report;   // the latest
    Micros reportedAt = 0;  // when the latest report was received, by any controller
    Micros firstReportedAt = 0;
    Micros coldUntil = 0;      // until when the server is warming up
    Micros answeredAt = 0;     // when it last answered a proxy
    bool assumedCold = false;  // cold until it reports otherwise, as after its zone was taken back
    Micros assumedColdAt = 0;
    /// Returns whether the server may get new requests.
    [[nodiscard]] bool usable() const { return !report.gone() && !report.emptying(); }
};

/// The servers known to a controller.
class Registry {
public:
    explicit Registry(Settings settings) : settings_(settings) {}

    /// The effect of a report on the registry.
    enum class ReportEffect {
        none,       // outdated or already known
        refreshed,  // more recent, but nothing changed
        changed,
        urgent,  // the server is emptying or gone: must be passed on before the report is answered
    };
    /// Applies a heartbeat or sign-off (`gone`), received from the server or from another controller (then
    /// `heard_ago` is its age). A report without an id, or with a text that is not UTF-8, has no effect.
    ReportEffect applyReport(Micros now, const proto::Server& report);
    /// Restores a server from the disk of an earlier run, written `ago` by the time of day. It is removed
    /// unless it sends a heartbeat soon, and assumed cold until then if the report is too old to tell. Never
    /// overrides a received report or a departure.
    void restore(Micros now, const proto::Server& report, Micros ago);
    /// Records that a proxy got a successful answer from the server.
    void recordAnswer(Micros now, const std::string& id);
    /// Removes a server at whose address another incarnation answered; returns whether it was known.
    bool removeReplaced(Micros now, const std::string& id);
    /// Assumes that the servers of the zone have become cold; `warmUp` is by service.
    void markZoneCold(Micros now, const std::string& zone, const std::map<std::string, Micros>& warmUp);
    /// Removes servers that stopped reporting; returns whether there were any. Removes none if no server at
    /// all reported for a while, since the fault is then on the side of this controller.
    bool tick(Micros now);

    /// Returns all known servers, by id.
    [[nodiscard]] const std::map<std::string, Server>& servers() const { return servers_; }
    /// Returns the incarnations that may not come back, with the time of their departure.
    [[nodiscard]] const std::map<std::string, Micros>& departed() const { return departed_; }
    /// Returns the departures in the form that is sent to other controllers and written to disk.
    [[nodiscard]] std::vector<proto::Server> departures(Micros now) const;
    /// Returns the departure of one server, which must have departed.
    [[nodiscard]] proto::Server departure(const std::string& id, Micros now) const;
    /// Returns how long the server remains cold.
    [[nodiscard]] Micros coldLeft(const Server& server, Micros now) const;
    /// Returns the report of the server in the form that is sent to other controllers.
    [[nodiscard]] proto::Server reportOf(const Server& server, Micros now) const;
    /// Returns the number of changes so far.
    [[nodiscard]] std::uint64_t changes() const { return changes_; }
    /// Returns the servers added, changed or removed since the previous call, and expired departures.
    [[nodiscard]] std::set<std::string> takeChanged() { return std::exchange(changed_, {}); }

private:
    // Records a departure: the id is never accepted again, whatever its call count. `at`: time of the
    // sign-off.
    ReportEffect signOff(const std::string& id, Micros at, Micros now);
    // Applies a report older than the latest known one; only a departure still has an effect.
    ReportEffect applyLateReport(Server& server, const proto::Server& report);
    // Assigns the address to a new incarnation, which replaces the old one.
    void claimAddress(const proto::Server& report, Micros now);
    // Updates the cold time; returns whether it changed by more than the variation between heartbeats.
    static bool updateColdTime(Server& server, const proto::Server& report, Micros at, Micros now);
    void recordChange(const std::string& id);
    ReportEffect update(Server& server, const proto::Server& report, Micros at, Micros now, bool isNew);

    Settings settings_;
    std::map<std::string, Server> servers_;
    std::map<std::string, std::string> byAddress_;  // server id by address
    std::map<std::string, Micros> departed_;
    Micros lastReportAt_ = 0;
    std::uint64_t changes_ = 0;
    std::set<std::string> changed_;  // ids, since the last `takeChanged`
};

}  // namespace marldale::registry
