// Runs the load balancing planners of a controller: one `Planner` per service, for the proxies that are bound
// to this controller. Feeds them the registry's servers, the proxies and their load reports, and translates
// their tables, binds, admission levels and marks to resources. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "marldale/gateway/internal.pb.h"
#include "policy/policy.h"

namespace marldale::distribution {

namespace proto = gateway::proto;
using ProxyId = ProxyId;

/// The number of route kinds, which are the request classes of a planner.
inline constexpr std::size_t kKinds = 3;

/// What a planner has to know of its service.
struct ServiceSpec {
    std::string name;
    Micros warmUp = 0;
    Micros latencyTarget[kKinds] = {};  // the tightest target among the routes of a kind; 0: no route
    Micros giveUp[kKinds] = {};
    unsigned rank[kKinds] = {};
    bool operator==(const ServiceSpec&) const = default;
};
/// What a planner has to know of a server.
struct ServerSpec {
    std::string id, service, zone;
    unsigned capacity = 1;
    bool emptying = false;
    Micros coldLeft = 0;
};

/// Owns the planners of all services.
class Steering {
public:
    Steering(std::vector<std::string> zones, std::string zone, std::uint64_t seed);

    /// Sets the services. The planner of a known service keeps its settings.
    void services(const std::vector<ServiceSpec>& services);
    /// Sets the servers of all services.
    void servers(Micros now, const std::vector<ServerSpec>& servers);
    /// Adds a proxy; `usualRate` is its usual request rate.
    void join(ProxyId proxy, const std::string& zone, double usualRate);
    /// Removes a proxy.
    void leave(ProxyId proxy);
    /// Passes a load report of a proxy to the planners.
    void recordLoad(ProxyId proxy, const std::string& zone, const proto::LoadReport& report);
    /// Records that the proxy acknowledged a mark `took` after it was sent.
    void answered(ProxyId proxy, std::uint64_t mark, Micros took);

    /// Resources for one proxy.
    struct Batch {
        ProxyId proxy = 0;
        std::uint64_t mark = 0;
        std::vector<proto::Resource> lines;
    };
    /// Runs the planners that are due, at most `maxPlanners` of them, and returns their output, which can be
    /// sent at once. If more planners are due, `nextDue` tells so and the next call continues with them.
    [[nodiscard]] std::vector<Batch> turn(Micros now, std::size_t maxPlanners = SIZE_MAX);
    /// Returns when the next planner is due; INT64_MAX without proxies.
    [[nodiscard]] Micros nextDue() const;

private:
    struct Table {
        std::map<ServerId, float> lines;
        std::map<ClassMask, float> levels;
    };
    struct Service {
        ServiceSpec spec;
        std::unique_ptr<Planner> planner;
        std::vector<Event> events;
        std::map<TableId, Table> tables;
        std::map<ProxyId, std::map<ClassMask, TableId>> bound;
        std::map<std::string, ServerId> ids;
        std::map<ServerId, std::string> names;
        ServerId lastId = 0;
        Micros due = 0;
        std::vector<ListEntry> serverList;  // as last passed to the planner
        bool serverListSent = false;
    };
    struct BoundProxy {
        std::string zone;
        double rate = 0;
        std::map<std::uint64_t, std::vector<std::pair<std::string, std::uint16_t>>> marks;
    };
    [[nodiscard]] std::unique_ptr<Planner> makePlanner(const ServiceSpec& spec) const;
    [[nodiscard]] ZoneId zoneOf(const std::string& zone) const;
    [[nodiscard]] bool isDue(Service& service, Micros now) const;
    void applyActions(Service& service, const std::vector<Action>& actions, Micros now,
                      std::map<ProxyId, Batch>& batches,
                      std::map<ProxyId, std::vector<std::pair<std::string, std::uint16_t>>>& marks);
    [[nodiscard]] static bool uses(const Service& service, ProxyId proxy, TableId table);

    std::vector<std::string> zones_;
    std::string zone_;
    std::uint64_t seed_, lastMark_ = 0;
    std::map<std::string, Service> services_;
    std::string lastRunService_;  // the service whose planner ran last
    std::map<ProxyId, BoundProxy> proxies_;
    std::vector<ServerSpec> servers_;
};

}  // namespace marldale::distribution
