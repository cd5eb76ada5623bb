#include "gateway/distribution/steering.h"

#include <xxhash.h>
#include <algorithm>

namespace marldale::distribution {
namespace {

// The links to the proxies belong to the system and have enough bandwidth, so the planner never has to limit
// the number of table lines that it sends.
constexpr double kPushLinesPerS = 20000;
constexpr double kBacklogLines = 20000;
constexpr Micros kLoadReportIntervalUs = 1000000;
constexpr Micros kPlannerIntervalUs = 1000000;
// Without proxies only server lists and departures are kept, and a planner runs after this many events.
constexpr std::size_t kMaxEventsWithoutProxies = 64;
// Weight factors for servers of another zone: traffic between zones is paid for, and large responses make up
// nearly all of it.
constexpr float kOtherZoneLargeFactor = 0.1F, kOtherZoneFactor = 0.7F;
constexpr double kColdShare = 0.25, kTipMultiple = 2;

proto::Resource weightLine(const std::string& service, TableId table, const std::string& server,
                           float weight) {
    proto::Resource out;
    auto* line = out.mutable_weight();
    line->set_service(service);
    line->set_table(table);
    line->set_server(server);
    line->set_weight(weight);
    return out;
}
proto::Resource levelLine(const std::string& service, TableId table, ClassMask classes, float limit) {
    proto::Resource out;
    auto* line = out.mutable_level();
    line->set_service(service);
    line->set_table(table);
    line->set_classes(classes);
    line->set_limit(limit);
    return out;
}

bool sameEntry(const ListEntry& one, const ListEntry& other) {
    return one.server == other.server && one.kind == other.kind && one.cell == other.cell &&
           one.bootTime == other.bootTime && one.zone == other.zone && one.weight == other.weight &&
           one.state == other.state;
}

}  // namespace

Steering::Steering(std::vector<std::string> zones, std::string zone, std::uint64_t seed)
    : zones_(std::move(zones)), zone_(std::move(zone)), seed_(seed) {}

ZoneId Steering::zoneOf(const std::string& zone) const {
    const auto at = std::find(zones_.begin(), zones_.end(), zone);
    return static_cast<ZoneId>(at == zones_.end() ? 0 : at - zones_.begin());
}

std::unique_ptr<Planner> Steering::makePlanner(const ServiceSpec& spec) const {
    Settings set;
    set.seed = seed_ ^ XXH3_64bits(spec.name.data(), spec.name.size());
    set.zones = static_cast<std::uint32_t>(std::max<std::size_t>(1, zones_.size()));
    set.myZone = zoneOf(zone_);
    set.proxies = static_cast<std::uint32_t>(std::max<std::size_t>(1, proxies_.size()));
    set.admission = Admission::none;  // The proxies' in-flight limits and short queues reject early enough;
                                      // admission levels kept rejecting long after an overload.
    set.pushRate = kPushLinesPerS;
    set.backlogLines = kBacklogLines;
    set.reportEvery = kLoadReportIntervalUs;
    set.coldShare = kColdShare;
    set.tipMultiple = kTipMultiple;
    set.warmUp = spec.warmUp;
    for (std::size_t k = 0; k < kKinds; ++k) {
        ClassSettings classSettings;
        classSettings.name = std::to_string(k);
        const Micros fallback =
            std::max({spec.latencyTarget[0], spec.latencyTarget[1], spec.latencyTarget[2], Micros{1000}});
        classSettings.latencyTarget = spec.latencyTarget[k] > 0 ? spec.latencyTarget[k] : fallback;
        classSettings.giveUp = spec.giveUp[k] > 0 ? spec.giveUp[k] : 10 * classSettings.latencyTarget;
        classSettings.worth = 1.0 / (1 + spec.rank[k]);
        classSettings.repeat = k == 1 ? Repeat::fragile : Repeat::retryable;
        classSettings.writes = k == 1;
        set.classes.push_back(classSettings);
    }
    return std::make_unique<Planner>(std::move(set));
}

void Steering::services(const std::vector<ServiceSpec>& services) {
    std::set<std::string> named;
    for (const ServiceSpec& spec : services) {
        named.insert(spec.name);
        const auto [at, fresh] = services_.try_emplace(spec.name);
        Service& service = at->second;
        // A planner's learned state is worth more than a changed target, which applies after a restart.
        if (!fresh) continue;
        service.spec = spec;
        service.planner = makePlanner(spec);
        for (const auto& [id, proxy] : proxies_)
            service.events.emplace_back(ProxyJoined{id, zoneOf(proxy.zone), proxy.rate, true});
    }
    std::erase_if(services_, [&](const auto& at) { return !named.count(at.first); });
}

void Steering::servers(Micros now, const std::vector<ServerSpec>& servers) {
    std::map<std::string, ServerListUpdate> updates;
    for (auto& [name, service] : services_) updates[name];
    for (const ServerSpec& spec : servers) {
        const auto at = services_.find(spec.service);
        if (at == services_.end()) continue;
        Service& service = at->second;
        const auto [id, fresh] = service.ids.try_emplace(spec.id, service.lastId + 1);
        if (fresh) service.names[++service.lastId] = spec.id;
        ListEntry entry;
        entry.server = id->second;
        entry.zone = zoneOf(spec.zone);
        entry.weight = std::max(1U, spec.capacity);
        entry.state = spec.emptying ? ServerState::draining : ServerState::ready;
        if (spec.coldLeft > 0)
            entry.bootTime = std::max<Micros>(1, now + spec.coldLeft - service.spec.warmUp);
        updates[spec.service].entries.push_back(entry);
    }
    for (auto& [name, list] : updates) {
        Service& service = services_.at(name);
        if (service.serverListSent && std::equal(service.serverList.begin(), service.serverList.end(),
                                                 list.entries.begin(), list.entries.end(), sameEntry))
            continue;  // a planner turn costs far more than this comparison
        service.serverList = list.entries;
        service.serverListSent = true;
        service.events.emplace_back(std::move(list));
    }
}

void Steering::join(ProxyId proxy, const std::string& zone, double usualRate) {
    proxies_[proxy] = {zone, usualRate, {}};
    for (auto& [name, service] : services_) {
        service.bound.erase(proxy);
        service.events.emplace_back(ProxyJoined{proxy, zoneOf(zone), usualRate, true});
    }
}

void Steering::leave(ProxyId proxy) {
    proxies_.erase(proxy);
    for (auto& [name, service] : services_) {
        service.bound.erase(proxy);
        service.events.emplace_back(ProxyLeft{proxy});
    }
}

void Steering::recordLoad(ProxyId proxy, const std::string& zone, const proto::LoadReport& report) {
    for (const auto& load : report.servers()) {
        for (auto& [name, service] : services_) {
            const auto id = service.ids.find(load.server());
            if (id == service.ids.end()) continue;
            service.events.emplace_back(ServerStats{id->second,
                                                    zoneOf(zone),
                                                    load.tries(),
                                                    load.failed(),
                                                    report.period(),
                                                    load.mean_time(),
                                                    {}});
            break;
        }
    }
    for (const auto& demand : report.demands()) {
        const auto at = services_.find(demand.service());
        if (at == services_.end() || demand.klass() >= kKinds) continue;
        at->second.events.emplace_back(ProxyDemand{proxy, static_cast<std::uint16_t>(demand.klass()),
                                                   demand.came(), demand.failed(), report.period()});
    }
}

void Steering::answered(ProxyId proxy, std::uint64_t mark, Micros took) {
    const auto at = proxies_.find(proxy);
    if (at == proxies_.end()) return;
    const auto marked = at->second.marks.find(mark);
    if (marked == at->second.marks.end()) return;
    for (const auto& [name, number] : marked->second) {
        const auto service = services_.find(name);
        if (service != services_.end())
            service->second.events.emplace_back(Acknowledged{proxy, number, took});
    }
    at->second.marks.erase(at->second.marks.begin(), std::next(marked));
}

bool Steering::uses(const Service& service, ProxyId proxy, TableId table) {
    const auto at = service.bound.find(proxy);
    return at != service.bound.end() && std::any_of(at->second.begin(), at->second.end(),
                                                    [&](const auto& b) { return b.second == table; });
}

bool Steering::isDue(Service& service, Micros now) const {
    if (proxies_.empty()) {
        std::erase_if(service.events, [](const Event& e) {
            return !std::holds_alternative<ServerListUpdate>(e) && !std::holds_alternative<ProxyLeft>(e);
        });
        return service.events.size() >= kMaxEventsWithoutProxies;
    }
    return !service.events.empty() || now >= service.due;
}

std::vector<Steering::Batch> Steering::turn(Micros now, std::size_t maxPlanners) {
    std::map<ProxyId, Batch> out;
    std::map<ProxyId, std::vector<std::pair<std::string, std::uint16_t>>> marks;
    auto at = services_.upper_bound(lastRunService_);
    for (std::size_t visited = 0; visited < services_.size() && maxPlanners > 0; ++visited, ++at) {
        if (at == services_.end()) at = services_.begin();
        Service& service = at->second;
        if (!isDue(service, now)) continue;
        --maxPlanners;
        lastRunService_ = at->first;
        const std::vector<Event> events = std::exchange(service.events, {});
        service.due = now + kPlannerIntervalUs;
        applyActions(service, service.planner->turn(now, events), now, out, marks);
    }
    std::vector<Batch> batches;
    for (auto& [id, batch] : out) {
        const auto proxy = proxies_.find(id);
        if (proxy == proxies_.end()) continue;
        batch.proxy = id;
        if (const auto m = marks.find(id); m != marks.end()) {
            batch.mark = ++lastMark_;
            proxy->second.marks[batch.mark] = m->second;
        }
        if (!batch.lines.empty() || batch.mark != 0) batches.push_back(std::move(batch));
    }
    return batches;
}

void Steering::applyActions(Service& service, const std::vector<Action>& actions, Micros now,
                            std::map<ProxyId, Batch>& batches,
                            std::map<ProxyId, std::vector<std::pair<std::string, std::uint16_t>>>& marks) {
    const std::string& name = service.spec.name;
    const auto sendToUsers = [&](TableId table, const proto::Resource& line) {
        for (const auto& [id, proxy] : proxies_) {
            if (uses(service, id, table)) batches[id].lines.push_back(line);
        }
    };
    for (const Action& action : actions) {
        if (const auto* set = std::get_if<SetLine>(&action)) {
            auto& lines = service.tables[set->table].lines;
            if (set->weight > 0) {
                lines[set->server] = set->weight;
            } else {
                lines.erase(set->server);
            }
            const auto id = service.names.find(set->server);
            if (id != service.names.end())
                sendToUsers(set->table, weightLine(name, set->table, id->second, set->weight));
        } else if (const auto* drop = std::get_if<DropLines>(&action)) {
            for (auto& [id, table] : service.tables) {
                if (drop->table != kAllTables && drop->table != id) continue;
                table.lines.clear();
                proto::Resource line;
                line.mutable_table_drop()->set_service(name);
                line.mutable_table_drop()->set_table(id);
                sendToUsers(id, line);
            }
            if (drop->table != kAllTables) {
                const bool used = std::any_of(proxies_.begin(), proxies_.end(), [&](const auto& s) {
                    return uses(service, s.first, drop->table);
                });
                if (!used) service.tables.erase(drop->table);
            }
        } else if (const auto* bind = std::get_if<Bind>(&action)) {
            if (!proxies_.count(bind->proxy)) continue;
            auto& lines = batches[bind->proxy].lines;
            auto& bound = service.bound[bind->proxy];
            std::set<TableId> before;
            for (const auto& [classes, table] : bound) before.insert(table);
            if (!before.count(bind->table)) {
                for (const auto& [server, weight] : service.tables[bind->table].lines) {
                    const auto id = service.names.find(server);
                    if (id != service.names.end())
                        lines.push_back(weightLine(name, bind->table, id->second, weight));
                }
                for (const auto& [classes, limit] : service.tables[bind->table].levels)
                    lines.push_back(levelLine(name, bind->table, classes, limit));
            }
            if (bind->classes == 0) bound.clear();
            bound[bind->classes] = bind->table;
            proto::Resource line;
            line.mutable_bind()->set_service(name);
            line.mutable_bind()->set_table(bind->table);
            line.mutable_bind()->set_classes(bind->classes);
            line.mutable_bind()->set_abroad(kOtherZoneLargeFactor);
            line.mutable_bind()->set_abroad_else(kOtherZoneFactor);
            lines.push_back(line);
            for (const TableId table : before) {
                if (uses(service, bind->proxy, table)) continue;
                proto::Resource unusedTable;
                unusedTable.mutable_table_drop()->set_service(name);
                unusedTable.mutable_table_drop()->set_table(table);
                lines.push_back(unusedTable);
            }
        } else if (const auto* level = std::get_if<SetLevel>(&action)) {
            service.tables[level->table].levels[level->classes] = level->limit;
            sendToUsers(level->table, levelLine(name, level->table, level->classes, level->limit));
        } else if (const auto* mark = std::get_if<Mark>(&action)) {
            for (const auto& [id, proxy] : proxies_) {
                marks[id].emplace_back(name, mark->mark);
                batches[id];
            }
        } else if (const auto* timer = std::get_if<ArmTimer>(&action)) {
            service.due = std::min(service.due, now + timer->delay);
        }
        // Other actions are ignored: servers are withdrawn faster through their own resources, and probes,
        // subscriptions and list requests are not used.
    }
}

Micros Steering::nextDue() const {
    Micros out = INT64_MAX;
    if (proxies_.empty()) return out;
    for (const auto& [name, service] : services_)
        out = std::min(out, service.events.empty() ? service.due : 0);
    return out;
}

}  // namespace marldale::distribution
