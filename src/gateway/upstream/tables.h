// The proxy's configuration, servers and routing tables as received from its controller. Selects a server for
// each request within them, and enforces concurrency caps, cold-server limits and retry budgets. No I/O.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "attempts/circuit_breaker.h"
#include "gateway/upstream/budget.h"
#include "gateway/upstream/sliding_limit.h"
#include "gateway/upstream/view_lease.h"
#include "marldale/gateway/internal.pb.h"
#include "policy/types.h"

namespace marldale::upstream {

namespace proto = gateway::proto;

// Request kinds of a route.
enum class Kind : std::uint8_t { readOnly = 0, writing = 1, fetchDown = 2 };
inline constexpr std::size_t kKinds = 3;

// A service's share of a route's requests.
struct Share {
    std::string service;
    std::uint32_t share = 0;
};

// Forwarding rules for the requests of one host and path prefix.
struct Route {
    Kind kind = Kind::readOnly;
    Micros target = 0, giveUp = 0;
    unsigned tries = 1, rank = 0;
    std::vector<Share> shares;
};

// Limits on client connections and requests.
struct Limits {
    std::uint64_t maxHeaderBytes = 16384, maxBodyBytes = 64ULL << 20;
    Micros headerWait = 3000000, quiet = 15000000;
};

// A server and this proxy's traffic to it. Users hold a reference; once its entry is removed it is no longer
// `listed` and gets no requests.
struct Server {
    std::string id, service, address, zone;
    bool listed = true;     // it has an entry, and its zone is not drained
    bool replaced = false;  // another incarnation has answered at its address
    bool confirmed = true;  // listed by the current controller, not only by an earlier one
    unsigned maxInFlight = 0, maxConnections = 0,
             maxColdSends = 0;  // per proxy; 0 in the first two: no limit
    Micros coldUntil = 0;

    // State of this proxy's own traffic.
    unsigned inFlight = 0;             // requests that have or await a connection to it
    Micros overloadedUntil = 0;        // it has just reported overload
    attempts::CircuitBreaker breaker;  // open after failed connects and timeouts
    SlidingLimit recent;               // recent sends, for the cold limit
    struct Tally {
        std::uint32_t tries = 0, failed = 0, succeeded = 0;
        Micros successTime = 0;
    } tally;

    Server();
    [[nodiscard]] bool usable() const { return listed && !replaced; }
};
using ServerPtr = std::shared_ptr<Server>;

// A service with its servers, weight tables, limits and counters.
struct Service {
    std::string name;
    bool configured = false;
    Micros warmUp = 0;
    std::vector<ServerPtr> servers;  // all servers with an entry
    struct Table {
        std::unordered_map<std::string, float> weights;
    };
    struct Level {
        std::uint32_t table = 0, classes = 0;
        double limit = 0;  // per second
        double tokens = 0;
        Micros last = 0;
    };
    std::map<std::uint32_t, Table> tables;
    std::array<std::optional<std::uint32_t>, kKinds> boundTables;
    std::array<float, kKinds> otherZoneFactor = {1, 1, 1};  // weight factor for servers of other zones
    std::vector<Level> levels;
    bool hasPlannerBudget = false;
    Budget budget;
    struct Demand {
        std::uint32_t requests = 0, failed = 0;
    };
    std::array<Demand, kKinds> demand;

    struct Candidate {
        ServerPtr server;
        double weight = 0;
    };
    std::array<std::vector<Candidate>, kKinds> candidates;       // usable servers, rebuilt if `stale`
    std::array<std::vector<Candidate>, kKinds> otherCandidates;  // usable, but not in the bound table
    bool stale = true;
};

// Random number generator for server selection (splitmix64).
class Draw {
public:
    explicit Draw(std::uint64_t seed) : state_(seed) {}
    std::uint64_t next();
    double unit();  // 0 to 1, 1 excluded

private:
    std::uint64_t state_;
};

// Whether a server was found.
enum class Room : std::uint8_t {
    found,
    full,  // servers are left for this request, but none has capacity now
    none,  // no server is left for this request
};
// Result of a server selection.
struct Pick {
    Room room = Room::none;
    ServerPtr server;
};

// Holds the tables and selects servers.
class Tables {
public:
    // Settings that apply without a planner's orders, the random seed and the proxy's zone.
    struct Defaults {
        double retryRatio = 0.2;
        unsigned extraTries = 0;
        std::uint64_t seed = 1;
        std::string zone;  // the proxy's own
    };
    Tables() = default;
    void setDefaults(const Defaults& defaults);

    // Applies a batch atomically. False if its index is older than the current one; the batch is then
    // ignored.
    bool apply(const proto::ResourceBatch& orders, Micros now);

    [[nodiscard]] std::uint64_t index() const { return index_; }  // configuration index; 0: none yet
    [[nodiscard]] bool configured() const { return index_ != 0; }
    [[nodiscard]] bool holdsServers() const { return !servers_.empty(); }
    [[nodiscard]] const Limits& limits() const { return limits_; }
    // The route of a host (lower case, no port) and a path without its query; null if none matches.
    [[nodiscard]] std::shared_ptr<const Route> route(std::string_view host, std::string_view path) const;
    // Draws one of the route's services by its shares.
    Service& serviceOf(const Route& route);
    // Whether the rate limits of this request kind admit one more request now.
    [[nodiscard]] bool admit(Service& service, Kind kind, Micros now);
    // Draws two servers by weight and takes the one with the lower load for its weight. If no server of the
    // bound table has capacity, servers outside it (of another zone) are used, then cold ones, then those
    // with an open circuit breaker.
    Pick pick(Service& service, Kind kind, std::span<const ServerPtr> tried, Micros now);
    // Whether the cold limit admits one more request now; `sent` records it.
    [[nodiscard]] bool mayBeCold(const Server& server, Micros now) const;
    [[nodiscard]] bool coldAllows(const Server& server, Micros now) const;
    void sent(Server& server, Micros now);
    // The retry budget of a service.
    void countRequest(Service& service, Kind kind);
    [[nodiscard]] bool takeRetryToken(Service& service, Micros now);
    // Another incarnation has answered at the server's address: it gets no more requests.
    void markReplaced(Server& server);
    /// The lease that bounds server selection from the current tables; `pick` keeps to it.
    [[nodiscard]] ViewLease& view() { return view_; }
    [[nodiscard]] const ViewLease& view() const { return view_; }
    void setIsolated(bool isIsolated) { isolated_ = isIsolated; }
    [[nodiscard]] bool isolated() const { return isolated_; }
    [[nodiscard]] std::size_t servers() const { return servers_.size(); }

    // Adds the counters since the last call; the caller sets `period`.
    void takeLoadReport(proto::LoadReport& sums);

private:
    using Routes = std::map<std::string, std::shared_ptr<const Route>, std::less<>>;  // by path prefix
    struct Hash {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>{}(text); }
    };

    void applyLine(const proto::Resource& line, Micros now);
    void applyRoute(const proto::RouteResource& line);
    void dropRoute(std::string_view key);  // "HOST PATH_START"
    void applyService(const proto::ServiceResource& line);
    void applyLimits(const proto::LimitsResource& line);
    void applyServer(const proto::ServerResource& line, Micros now);
    void applyWeight(const proto::WeightResource& line);
    void dropTable(const proto::TableDrop& line);
    void applyBind(const proto::TableBind& line);
    void applyLevel(const proto::LevelResource& line);
    void applyBudget(const proto::BudgetResource& line);
    void emptyZone(const std::string& zone);
    void fillZone(const std::string& zone, Micros now);
    void clear(bool servers);
    // Removes servers that the current controller, which knows all servers, has not listed.
    void dropUnconfirmed();
    void dropServer(const std::string& id);
    void relist(Server& server);
    Service& service(std::string_view name);
    // Rebuilds the candidates of each request kind from the service's bound tables.
    void refresh(Service& service);
    void refreshFromTable(Service& service, std::size_t kind, const Service::Table& table);
    // Adds a server with capacity to the options of one pick; false if it was already tried.
    bool addOption(const Service::Candidate& candidate, bool tabled, std::span<const ServerPtr> tried,
                   Micros now);
    const Service::Candidate* drawByWeight(const std::vector<const Service::Candidate*>& from, double sum);
    Budget::Rates defaultBudget() const;

    std::uint64_t index_ = 0;
    Limits limits_;
    std::unordered_map<std::string, Routes, Hash, std::equal_to<>> hosts_;
    std::unordered_map<std::string, std::unique_ptr<Service>, Hash, std::equal_to<>> services_;
    std::unordered_map<std::string, ServerPtr, Hash, std::equal_to<>> servers_;
    std::set<std::string> drainedZones_;
    std::vector<std::string> replacedIds_;
    ViewLease view_{0, 0};  // unbound until a controller is followed
    bool isolated_ = false;
    Defaults defaults_;
    Draw draw_{1};
    std::vector<const Service::Candidate*> tableOptions_, otherOptions_, coldOptions_,
        openBreakerOptions_;  // scratch space of one pick
};

}  // namespace marldale::upstream
