// What a proxy follows: the configuration, the servers, the tables that are in force. It obeys and judges
// nothing that they don't say; within them it picks a server for each request, and keeps caps, cold limits
// and budgets. No I/O.
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

enum class Kind : std::uint8_t { readOnly = 0, writing = 1, fetchDown = 2 };
inline constexpr std::size_t kKinds = 3;

struct Share {
    std::string service;
    std::uint32_t share = 0;
};

struct Route {
    Kind kind = Kind::readOnly;
    Micros target = 0, giveUp = 0;
    unsigned tries = 1, rank = 0;
    std::vector<Share> shares;
};

struct Limits {
    std::uint64_t maxHeaderBytes = 16384, maxBodyBytes = 64ULL << 20;
    Micros headerWait = 3000000, quiet = 15000000;
};

// A server as it may be used, and what this proxy does there. Whoever uses one holds it; after its line is
// gone it is `listed` no more and gets nothing.
struct Server {
    std::string id, service, address, zone;
    bool listed = true;     // it has a line, and its zone isn't emptied
    bool voided = false;    // another incarnation has answered from its address
    bool confirmed = true;  // named by the present controller, not only by an earlier one
    unsigned inFlightMost = 0, connectionsMost = 0,
             coldMost = 0;  // of this proxy; 0 in the first two: no bound
    Micros coldUntil = 0;

    // Of this proxy's own traffic.
    unsigned inFlight = 0;          // requests that have a connection to it, or wait for one
    Micros fullUntil = 0;           // it has just said that it is full
    attempts::CircuitBreaker gate;  // shut after dials that came to nothing, and after silence
    SlidingLimit recent;            // sends, as many as a cold second may have
    struct Tally {
        std::uint32_t tries = 0, failed = 0, good = 0;
        Micros goodTime = 0;
    } tally;

    Server();
    [[nodiscard]] bool usable() const { return listed && !voided; }
};
using ServerPtr = std::shared_ptr<Server>;

struct Service {
    std::string name;
    bool configured = false;
    Micros warmUp = 0;
    std::vector<ServerPtr> servers;  // all with a line
    struct Table {
        std::unordered_map<std::string, float> weights;
    };
    struct Level {
        std::uint32_t table = 0, classes = 0;
        double limit = 0;  // a second
        double tokens = 0;
        Micros last = 0;
    };
    std::map<std::uint32_t, Table> tables;
    std::array<std::optional<std::uint32_t>, kKinds> bound;
    std::array<float, kKinds> abroad = {1, 1, 1};  // what a line of another zone's server counts
    std::vector<Level> levels;
    bool budgetTold = false;
    Budget budget;
    struct Demand {
        std::uint32_t came = 0, failed = 0;
    };
    std::array<Demand, kKinds> demand;

    struct Candidate {
        ServerPtr server;
        double weight = 0;
    };
    std::array<std::vector<Candidate>, kKinds> candidates;  // those usable, made anew where `stale`
    std::array<std::vector<Candidate>, kKinds> others;      // usable, but without a line in the bound table
    bool stale = true;
};

// Random numbers for picks (splitmix64).
class Draw {
public:
    explicit Draw(std::uint64_t seed) : state_(seed) {}
    std::uint64_t next();
    double unit();  // 0 to 1, 1 excluded

private:
    std::uint64_t state_;
};

enum class Room : std::uint8_t {
    found,
    full,  // there are servers that this request may go to, and none has room now
    none,  // there is none left
};
struct Pick {
    Room room = Room::none;
    ServerPtr server;
};

class Tables {
public:
    // What a proxy may do where no planner has said anything, and how it draws.
    struct Defaults {
        double retryRatio = 0.2;
        unsigned extraTries = 0;
        std::uint64_t seed = 1;
        std::string zone;  // its own
    };
    Tables() = default;
    void setDefaults(const Defaults& defaults);

    // One batch, in force at once and as a whole. Says whether it was taken: never one of an older index than
    // what is held.
    bool apply(const proto::ResourceBatch& orders, Micros now);

    [[nodiscard]] std::uint64_t index() const { return index_; }  // of the configuration; 0: none yet
    [[nodiscard]] bool configured() const { return index_ != 0; }
    [[nodiscard]] bool holdsServers() const { return !servers_.empty(); }
    [[nodiscard]] const Limits& limits() const { return limits_; }
    // The route of a host (lower case, no port) and a path without its query. Nothing: 404.
    [[nodiscard]] std::shared_ptr<const Route> route(std::string_view host, std::string_view path) const;
    // By its shares.
    Service& serviceOf(const Route& route);
    // By its level, if one binds this class: whether one more is let in now.
    [[nodiscard]] bool admit(Service& service, Kind kind, Micros now);
    // Two are drawn by weight, and the one that is less busy for its weight is taken. Where none of the
    // table's has room: those of other tables (another zone's), then cold ones, then those behind a shut
    // gate.
    Pick pick(Service& service, Kind kind, std::span<const ServerPtr> tried, Micros now);
    // Whether a cold limit lets one more go there now; `sent` counts it.
    [[nodiscard]] bool mayBeCold(const Server& server, Micros now) const;
    [[nodiscard]] bool coldAllows(const Server& server, Micros now) const;
    void sent(Server& server, Micros now);
    // The budget for further tries of a service.
    void cameTo(Service& service, Kind kind);
    [[nodiscard]] bool takeFurther(Service& service, Micros now);
    // Another incarnation has answered from its address.
    void voided(Server& server);
    /// Until when servers may be chosen by what is held; `pick` keeps to it.
    [[nodiscard]] ViewLease& view() { return view_; }
    [[nodiscard]] const ViewLease& view() const { return view_; }
    void setIsolated(bool isIsolated) { isolated_ = isIsolated; }
    [[nodiscard]] bool isolated() const { return isolated_; }
    [[nodiscard]] std::size_t servers() const { return servers_.size(); }

    // What was counted since the last call; `period` is the caller's.
    void takeLoadReport(proto::LoadReport& sums);

private:
    using Routes = std::map<std::string, std::shared_ptr<const Route>, std::less<>>;  // by path_start
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
    // Those that the present controller, which knows all servers, has not named.
    void dropUnconfirmed();
    void dropServer(const std::string& id);
    void relist(Server& server);
    Service& service(std::string_view name);
    // Makes the candidates of each kind of request anew, from the tables that the service is bound to.
    void refresh(Service& service);
    void refreshFromTable(Service& service, std::size_t kind, const Service::Table& table);
    // Puts a server that may take a request now among the options of one pick; false if it was tried before.
    bool sortOption(const Service::Candidate& candidate, bool tabled, std::span<const ServerPtr> tried,
                    Micros now);
    const Service::Candidate* drawByWeight(const std::vector<const Service::Candidate*>& from, double sum);
    Budget::Rates defaultBudget() const;

    std::uint64_t index_ = 0;
    Limits limits_;
    std::unordered_map<std::string, Routes, Hash, std::equal_to<>> hosts_;
    std::unordered_map<std::string, std::unique_ptr<Service>, Hash, std::equal_to<>> services_;
    std::unordered_map<std::string, ServerPtr, Hash, std::equal_to<>> servers_;
    std::set<std::string> emptied_;  // zones
    std::vector<std::string> voidedIds_;
    ViewLease view_{0, 0};  // of nobody, until a controller is followed
    bool isolated_ = false;
    Defaults defaults_;
    Draw draw_{1};
    std::vector<const Service::Candidate*> options_, beside_, spare_, lastResort_;  // of one pick
};

}  // namespace marldale::upstream
