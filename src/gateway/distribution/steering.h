// The decision module at work in a controller: one `Planner` a service, for the proxies that are bound here.
// Servers of the registry are its list, proxies its proxies, their sums its sums; its tables, binds, levels
// and marks go out as lines. No I/O.
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

inline constexpr std::size_t kKinds = 3;  // of routes; the module's classes

struct ServiceSpec {
    std::string name;
    Micros warmUp = 0;
    Micros aim[kKinds] = {};  // the tightest target of the routes of that kind; 0: none leads here
    Micros giveUp[kKinds] = {};
    unsigned rank[kKinds] = {};
    bool operator==(const ServiceSpec&) const = default;
};
struct ServerSpec {
    std::string id, service, zone;
    unsigned places = 1;
    bool emptying = false;
    Micros coldLeft = 0;
};

class Steering {
public:
    Steering(std::vector<std::string> zones, std::string zone, std::uint64_t seed);

    void services(const std::vector<ServiceSpec>& services);
    void servers(Micros now, const std::vector<ServerSpec>& servers);
    void join(ProxyId proxy, const std::string& zone, double usualRate);
    void leave(ProxyId proxy);
    void recordLoad(ProxyId proxy, const std::string& zone, const proto::LoadReport& sums);
    void answered(ProxyId proxy, std::uint64_t mark, Micros took);

    struct Batch {
        ProxyId proxy = 0;
        std::uint64_t mark = 0;
        std::vector<proto::Resource> lines;
    };
    // What the modules order now; nothing of it waits for anything. No more than so many modules get a turn;
    // where others are due, `nextDue` says so, and the next call goes on with them.
    [[nodiscard]] std::vector<Batch> turn(Micros now, std::size_t mostModules = SIZE_MAX);
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
        std::vector<ListEntry> listed;  // the module's list of servers
        bool listTold = false;
    };
    struct BoundProxy {
        std::string zone;
        double rate = 0;
        std::map<std::uint64_t, std::vector<std::pair<std::string, std::uint16_t>>> marks;
    };
    [[nodiscard]] std::unique_ptr<Planner> make(const ServiceSpec& spec) const;
    [[nodiscard]] ZoneId zoneOf(const std::string& zone) const;
    [[nodiscard]] bool isDue(Service& service, Micros now) const;
    void carryOut(Service& service, const std::vector<Action>& actions, Micros now,
                  std::map<ProxyId, Batch>& out,
                  std::map<ProxyId, std::vector<std::pair<std::string, std::uint16_t>>>& marks);
    [[nodiscard]] static bool uses(const Service& service, ProxyId proxy, TableId table);

    std::vector<std::string> zones_;
    std::string zone_;
    std::uint64_t seed_, lastMark_ = 0;
    std::map<std::string, Service> services_;
    std::string lastTurned_;  // the service whose module had the last turn
    std::map<ProxyId, BoundProxy> proxies_;
    std::vector<ServerSpec> servers_;
};

}  // namespace marldale::distribution
