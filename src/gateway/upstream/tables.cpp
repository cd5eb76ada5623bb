#include "gateway/upstream/tables.h"

#include <algorithm>
#include <cctype>

namespace marldale::upstream {
namespace {

constexpr Micros kSecond = 1000000;
constexpr Micros kColdLimitWindow = 1100000;     // one second, with a margin for network delays
constexpr double kDefaultRetryRatioShare = 0.8;  // of retry_ratio, without a planner's budget
constexpr double kDefaultExtraTriesSplit =
    40;  // proxies that extra_tries is split among, without a planner's budget
constexpr double kIsolatedRetryShare = 0.5;  // of the budget per request, without a controller
constexpr double kUnlimitedLevel = 1e6;      // a level of this or more imposes no limit
constexpr Micros kLevelBurstTime = 200000;   // burst, as time at the level's rate
constexpr attempts::CircuitBreaker::Settings kBreakerSettings{1, 250000, 4000000};

std::string lower(std::string_view text) {
    std::string made(text);
    for (char& c : made) {
        if (c >= 'A' && c <= 'Z') c = static_cast<char>(c - 'A' + 'a');
    }
    return made;
}

bool covers(std::uint32_t classes, Kind kind) {
    return classes == 0 || ((classes >> static_cast<unsigned>(kind)) & 1U) != 0;
}

Kind kindOf(proto::RouteResource::Kind kind) {
    switch (kind) {
        case proto::RouteResource::READ_ONLY: return Kind::readOnly;
        case proto::RouteResource::FETCH_DOWN: return Kind::fetchDown;
        default: return Kind::writing;  // the strictest kind, also for unknown values
    }
}

}  // namespace

Server::Server() : breaker(kBreakerSettings) {}

std::uint64_t Draw::next() {
    state_ += 0x9e3779b97f4a7c15ULL;
    std::uint64_t z = state_;
    z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27U)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31U);
}

double Draw::unit() { return static_cast<double>(next() >> 11U) * 0x1.0p-53; }

void Tables::setDefaults(const Defaults& defaults) {
    defaults_ = defaults;
    draw_ = Draw(defaults.seed);
    for (auto& [name, service] : services_) {
        if (!service->hasPlannerBudget) service->budget.set(defaultBudget());
    }
}

Budget::Rates Tables::defaultBudget() const {
    return {kDefaultRetryRatioShare * defaults_.retryRatio, 0,
            std::max(1.0, defaults_.extraTries / kDefaultExtraTriesSplit)};
}

Service& Tables::service(std::string_view name) {
    const auto at = services_.find(name);
    if (at != services_.end()) return *at->second;
    auto made = std::make_unique<Service>();
    made->name = name;
    made->budget.set(defaultBudget());
    made->budget.fill();
    return *services_.emplace(std::string(name), std::move(made)).first->second;
}

bool Tables::apply(const proto::ResourceBatch& orders, Micros now) {
    if (orders.index() != 0 && orders.index() < index_) return false;
    if (orders.fresh()) clear(orders.servers_whole());
    for (const proto::Resource& line : orders.resources()) applyLine(line, now);
    if (orders.servers_whole() && !orders.fresh()) dropUnconfirmed();
    if (orders.index() != 0) index_ = orders.index();
    return true;
}

void Tables::clear(bool servers) {
    hosts_.clear();
    limits_ = Limits{};
    if (servers) {
        for (auto& [id, server] : servers_) server->listed = false;
        servers_.clear();
    }
    drainedZones_.clear();
    for (auto& [name, service] : services_) {
        if (servers) service->servers.clear();
        service->configured = false;
        service->tables.clear();
        service->boundTables = {};
        service->levels.clear();
        if (service->hasPlannerBudget) service->budget.set(defaultBudget());
        service->hasPlannerBudget = false;
        service->stale = true;
    }
    for (auto& [id, server] : servers_) {
        server->confirmed = false;
        relist(*server);
    }
}

void Tables::dropUnconfirmed() {
    std::vector<std::string> unconfirmed;
    for (const auto& [id, server] : servers_) {
        if (!server->confirmed) unconfirmed.push_back(id);
    }
    for (const std::string& id : unconfirmed) dropServer(id);
}

void Tables::relist(Server& server) {
    server.listed = !drainedZones_.contains(server.zone);
    service(server.service).stale = true;
}

void Tables::dropServer(const std::string& id) {
    const auto at = servers_.find(id);
    if (at == servers_.end()) return;
    const ServerPtr server = at->second;
    server->listed = false;
    Service& of = service(server->service);
    std::erase(of.servers, server);
    of.stale = true;
    servers_.erase(at);
}

void Tables::applyServer(const proto::ServerResource& line, Micros now) {
    const auto at = servers_.find(line.id());
    // An id with a new address or service is a different server; the old state is dropped.
    if (at != servers_.end() &&
        (at->second->address != line.address() || at->second->service != line.service())) {
        dropServer(line.id());
    }
    ServerPtr& server = servers_[line.id()];
    if (!server) {
        server = std::make_shared<Server>();
        server->id = line.id();
        server->service = line.service();
        server->address = line.address();
        service(line.service()).servers.push_back(server);
    }
    server->zone = line.zone();
    server->replaced = false;
    server->confirmed = true;
    server->maxInFlight = line.in_flight_most();
    server->maxConnections = line.connections_most();
    server->maxColdSends = line.cold_most();
    server->recent.setMaxCount(line.cold_most());
    server->coldUntil = line.cold_for() > 0 ? now + line.cold_for() : 0;
    relist(*server);
}

void Tables::applyRoute(const proto::RouteResource& line) {
    auto route = std::make_shared<Route>();
    route->kind = kindOf(line.kind());
    route->target = line.target();
    route->giveUp = line.give_up();
    route->tries = std::max(1U, line.tries());
    route->rank = line.rank();
    for (const auto& share : line.shares()) route->shares.push_back({share.service(), share.share()});
    hosts_[lower(line.host_name())][line.path_start()] = std::move(route);
}

void Tables::dropRoute(std::string_view key) {
    const std::size_t space = key.find(' ');
    if (space == std::string_view::npos) return;
    const auto host = hosts_.find(lower(key.substr(0, space)));
    if (host == hosts_.end()) return;
    const auto route = host->second.find(key.substr(space + 1));
    if (route != host->second.end()) host->second.erase(route);
    if (host->second.empty()) hosts_.erase(host);
}

void Tables::applyService(const proto::ServiceResource& line) {
    Service& of = service(line.name());
    of.configured = true;
    of.warmUp = line.warm_up();
}

void Tables::applyLimits(const proto::LimitsResource& line) {
    limits_ = Limits{};  // missing values return to their defaults
    if (line.max_header_bytes() > 0) limits_.maxHeaderBytes = line.max_header_bytes();
    if (line.max_body_bytes() > 0) limits_.maxBodyBytes = line.max_body_bytes();
    if (line.header_wait() > 0) limits_.headerWait = line.header_wait();
    if (line.quiet() > 0) limits_.quiet = line.quiet();
}

void Tables::applyWeight(const proto::WeightResource& line) {
    Service& of = service(line.service());
    auto& table = of.tables[line.table()];
    if (line.weight() > 0) {
        table.weights[line.server()] = line.weight();
    } else {
        table.weights.erase(line.server());
    }
    of.stale = true;
}

void Tables::dropTable(const proto::TableDrop& line) {
    Service& of = service(line.service());
    const std::uint32_t number = line.table();
    of.tables.erase(number);
    std::erase_if(of.levels, [number](const Service::Level& level) { return level.table == number; });
    of.stale = true;
}

void Tables::applyBind(const proto::TableBind& line) {
    Service& of = service(line.service());
    for (std::size_t k = 0; k < kKinds; ++k) {
        const Kind kind = static_cast<Kind>(k);
        if (!covers(line.classes(), kind)) continue;
        of.boundTables[k] = line.table();
        const float otherZoneFactor = kind == Kind::fetchDown ? line.abroad() : line.abroad_else();
        of.otherZoneFactor[k] = otherZoneFactor > 0 ? otherZoneFactor : 1;
    }
    of.stale = true;
}

void Tables::applyLevel(const proto::LevelResource& line) {
    Service& of = service(line.service());
    auto at = std::find_if(of.levels.begin(), of.levels.end(), [&line](const Service::Level& level) {
        return level.table == line.table() && level.classes == line.classes();
    });
    if (at == of.levels.end()) {
        at = of.levels.insert(at, {line.table(), line.classes(), 0, 0, 0});
        at->tokens = 1;
    }
    at->limit = line.limit();
}

void Tables::applyBudget(const proto::BudgetResource& line) {
    Service& of = service(line.service());
    of.budget.set({line.per_request(), line.per_s(), line.burst()});
    of.hasPlannerBudget = true;
}

void Tables::emptyZone(const std::string& zone) {
    drainedZones_.insert(zone);
    for (auto& [id, server] : servers_) {
        if (server->zone == zone) relist(*server);
    }
}

void Tables::fillZone(const std::string& zone, Micros now) {
    drainedZones_.erase(zone);
    for (auto& [id, server] : servers_) {
        if (server->zone != zone) continue;
        // The servers may have become cold; a later entry gives the exact time.
        server->coldUntil = std::max(server->coldUntil, now + service(server->service).warmUp);
        relist(*server);
    }
}

void Tables::applyLine(const proto::Resource& line, Micros now) {
    switch (line.what_case()) {
        case proto::Resource::kRoute: applyRoute(line.route()); break;
        case proto::Resource::kRouteDrop: dropRoute(line.route_drop()); break;
        case proto::Resource::kService: applyService(line.service()); break;
        case proto::Resource::kServiceDrop: service(line.service_drop()).configured = false; break;
        case proto::Resource::kLimits: applyLimits(line.limits()); break;
        case proto::Resource::kServer: applyServer(line.server(), now); break;
        case proto::Resource::kServerDrop: dropServer(line.server_drop()); break;
        case proto::Resource::kWeight: applyWeight(line.weight()); break;
        case proto::Resource::kTableDrop: dropTable(line.table_drop()); break;
        case proto::Resource::kBind: applyBind(line.bind()); break;
        case proto::Resource::kLevel: applyLevel(line.level()); break;
        case proto::Resource::kBudget: applyBudget(line.budget()); break;
        case proto::Resource::kZoneEmpty: emptyZone(line.zone_empty()); break;
        case proto::Resource::kZoneFilled: fillZone(line.zone_filled(), now); break;
        case proto::Resource::WHAT_NOT_SET: break;  // from a newer controller
    }
}

std::shared_ptr<const Route> Tables::route(std::string_view host, std::string_view path) const {
    const auto of = hosts_.find(host);
    if (of == hosts_.end()) return nullptr;
    const Routes& routes = of->second;
    // Longest prefix of the path: the last key not after it, or else a prefix of what the two have in common.
    std::string_view rest = path;
    auto at = routes.upper_bound(rest);
    while (at != routes.begin()) {
        --at;
        const std::string_view start = at->first;
        if (path.substr(0, start.size()) == start) return at->second;
        const auto differs = std::mismatch(start.begin(), start.end(), rest.begin(), rest.end());
        rest = rest.substr(0, static_cast<std::size_t>(differs.second - rest.begin()));
        at = routes.upper_bound(rest);
    }
    return nullptr;
}

Service& Tables::serviceOf(const Route& route) {
    if (route.shares.size() == 1) return service(route.shares.front().service);
    std::uint64_t sum = 0;
    for (const Share& share : route.shares) sum += share.share;
    if (sum == 0) return service(route.shares.empty() ? std::string_view{} : route.shares.front().service);
    std::uint64_t drawn = draw_.next() % sum;
    for (const Share& share : route.shares) {
        if (drawn < share.share) return service(share.service);
        drawn -= share.share;
    }
    return service(route.shares.back().service);
}

bool Tables::admit(Service& service, Kind kind, Micros now) {
    const auto table = service.boundTables[static_cast<std::size_t>(kind)];
    if (!table) return true;
    for (Service::Level& level : service.levels) {
        if (level.table != *table || !covers(level.classes, kind) || level.limit >= kUnlimitedLevel) continue;
        const double most = std::max(1.0, level.limit * static_cast<double>(kLevelBurstTime) / kSecond);
        const double passed = static_cast<double>(std::max<Micros>(0, now - level.last)) / kSecond;
        level.tokens = std::min(most, level.tokens + level.limit * passed);
        level.last = now;
        if (level.tokens < 1) return false;
        level.tokens -= 1;
    }
    return true;
}

void Tables::refreshFromTable(Service& service, std::size_t kind, const Service::Table& table) {
    for (const ServerPtr& server : service.servers) {
        if (!server->usable()) continue;
        const auto weight = table.weights.find(server->id);
        if (weight == table.weights.end()) {
            service.otherCandidates[kind].push_back({server, 1});
            continue;
        }
        const bool home = defaults_.zone.empty() || server->zone == defaults_.zone;
        service.candidates[kind].push_back(
            {server, weight->second * (home ? 1 : service.otherZoneFactor[kind])});
    }
}

void Tables::refresh(Service& service) {
    service.stale = false;
    for (std::size_t k = 0; k < kKinds; ++k) {
        auto& candidates = service.candidates[k];
        candidates.clear();
        service.otherCandidates[k].clear();
        if (service.boundTables[k]) {
            const auto table = service.tables.find(*service.boundTables[k]);
            if (table != service.tables.end()) refreshFromTable(service, k, table->second);
        }
        if (!candidates.empty()) continue;
        service.otherCandidates[k].clear();
        for (const ServerPtr& server : service.servers) {
            if (server->usable()) candidates.push_back({server, 1});
        }
    }
}

bool Tables::mayBeCold(const Server& server, Micros now) const { return isolated_ || server.coldUntil > now; }

bool Tables::coldAllows(const Server& server, Micros now) const {
    return !mayBeCold(server, now) || server.recent.allows(now, kColdLimitWindow);
}

void Tables::sent(Server& server, Micros now) { server.recent.count(now); }

bool Tables::addOption(const Service::Candidate& candidate, bool tabled, std::span<const ServerPtr> tried,
                       Micros now) {
    const Server& server = *candidate.server;
    if (std::find(tried.begin(), tried.end(), candidate.server) != tried.end()) return false;
    if (server.maxInFlight != 0 && server.inFlight >= server.maxInFlight) return true;
    if (server.maxConnections != 0 && server.inFlight >= server.maxConnections) return true;
    const bool cold = mayBeCold(server, now);
    if (cold && !server.recent.allows(now, kColdLimitWindow)) return true;
    if (server.overloadedUntil > now) return true;
    const bool shut = !server.breaker.allows(now);
    (shut     ? openBreakerOptions_
     : cold   ? coldOptions_
     : tabled ? tableOptions_
              : otherOptions_)
        .push_back(&candidate);
    return true;
}

const Service::Candidate* Tables::drawByWeight(const std::vector<const Service::Candidate*>& from,
                                               double sum) {
    double left = draw_.unit() * sum;
    for (const auto* option : from) {
        left -= option->weight;
        if (left < 0) return option;
    }
    return from.back();
}

Pick Tables::pick(Service& service, Kind kind, std::span<const ServerPtr> tried, Micros now) {
    if (!view_.mayChoose(now)) return {Room::full, nullptr};
    if (service.stale) refresh(service);
    tableOptions_.clear();
    otherOptions_.clear();
    coldOptions_.clear();
    openBreakerOptions_.clear();
    bool any = false;
    for (const Service::Candidate& candidate : service.candidates[static_cast<std::size_t>(kind)])
        any = addOption(candidate, true, tried, now) || any;
    if (tableOptions_.empty()) {
        for (const Service::Candidate& candidate : service.otherCandidates[static_cast<std::size_t>(kind)])
            any = addOption(candidate, false, tried, now) || any;
    }
    const auto& from = !tableOptions_.empty()   ? tableOptions_
                       : !otherOptions_.empty() ? otherOptions_
                       : !coldOptions_.empty()  ? coldOptions_
                                                : openBreakerOptions_;
    if (from.empty()) return {any ? Room::full : Room::none, nullptr};
    if (from.size() == 1) return {Room::found, from.front()->server};
    double sum = 0;
    for (const auto* option : from) sum += option->weight;
    const auto busy = [](const Service::Candidate* option) {
        return (option->server->inFlight + 1) / option->weight;
    };
    const Service::Candidate* const one = drawByWeight(from, sum);
    const Service::Candidate* const other = drawByWeight(from, sum);
    return {Room::found, (busy(other) < busy(one) ? other : one)->server};
}

void Tables::countRequest(Service& service, Kind kind) {
    ++service.demand[static_cast<std::size_t>(kind)].requests;
    service.budget.onRequest(isolated_ ? kIsolatedRetryShare : 1);
}

bool Tables::takeRetryToken(Service& service, Micros now) { return service.budget.take(now, isolated_); }

void Tables::markReplaced(Server& server) {
    if (server.replaced) return;
    server.replaced = true;
    replacedIds_.push_back(server.id);
    service(server.service).stale = true;
}

void Tables::takeLoadReport(proto::LoadReport& sums) {
    for (auto& [id, server] : servers_) {
        Server::Tally& tally = server->tally;
        if (tally.tries == 0 && tally.failed == 0) continue;
        auto* sum = sums.add_servers();
        sum->set_server(id);
        sum->set_tries(tally.tries);
        sum->set_failed(tally.failed);
        sum->set_mean_time(tally.succeeded == 0 ? 0 : tally.successTime / tally.succeeded);
        tally = {};
    }
    for (auto& [name, service] : services_) {
        for (std::size_t k = 0; k < kKinds; ++k) {
            Service::Demand& demand = service->demand[k];
            if (demand.requests == 0 && demand.failed == 0) continue;
            auto* sum = sums.add_demands();
            sum->set_service(name);
            sum->set_klass(static_cast<std::uint32_t>(k));
            sum->set_came(demand.requests);
            sum->set_failed(demand.failed);
            demand = {};
        }
    }
    for (std::string& id : replacedIds_) sums.add_voided(std::move(id));
    replacedIds_.clear();
}

}  // namespace marldale::upstream
