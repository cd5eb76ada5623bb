#include "gateway/distribution/steering.h"

#include <xxhash.h>
#include <algorithm>

namespace marldale::distribution {
namespace {

// What the module is told of its surroundings: the channel to proxies is wide (links of the system's own), so
// it never has to save lines on these deployments.
constexpr double kChannelLinesPerS = 20000;
constexpr double kChannelLines = 20000;
constexpr Micros kSumsEvery = 1000000;
// What a line of another zone's server counts: bytes between zones are paid for, and large answers have
// nearly all of them.
constexpr float kAbroadLarge = 0.1F, kAbroadElse = 0.7F;
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

std::unique_ptr<Planner> Steering::make(const ServiceSpec& spec) const {
    Settings set;
    set.seed = seed_ ^ XXH3_64bits(spec.name.data(), spec.name.size());
    set.zones = static_cast<std::uint32_t>(std::max<std::size_t>(1, zones_.size()));
    set.myZone = zoneOf(zone_);
    set.proxies = static_cast<std::uint32_t>(std::max<std::size_t>(1, proxies_.size()));
    set.admission = Admission::none;  // caps in flight and short waits at the proxies refuse early; levels
                                      // went on refusing long after a jam
    set.pushRate = kChannelLinesPerS;
    set.backlogLines = kChannelLines;
    set.reportEvery = kSumsEvery;
    set.coldShare = kColdShare;
    set.tipMultiple = kTipMultiple;
    set.warmUp = spec.warmUp;
    for (std::size_t k = 0; k < kKinds; ++k) {
        ClassSettings c;
        c.name = std::to_string(k);
        const Micros any = std::max({spec.aim[0], spec.aim[1], spec.aim[2], Micros{1000}});
        c.latencyTarget = spec.aim[k] > 0 ? spec.aim[k] : any;
        c.giveUp = spec.giveUp[k] > 0 ? spec.giveUp[k] : 10 * c.latencyTarget;
        c.worth = 1.0 / (1 + spec.rank[k]);
        c.repeat = k == 1 ? Repeat::fragile : Repeat::retryable;
        c.writes = k == 1;
        set.classes.push_back(c);
    }
    return std::make_unique<Planner>(std::move(set));
}

void Steering::services(const std::vector<ServiceSpec>& services) {
    std::set<std::string> named;
    for (const ServiceSpec& spec : services) {
        named.insert(spec.name);
        const auto [at, fresh] = services_.try_emplace(spec.name);
        Service& service = at->second;
        if (!fresh)
            continue;  // what the module has learnt outweighs another aim; it is made anew at a restart
        service.spec = spec;
        service.planner = make(spec);
        for (const auto& [id, proxy] : proxies_)
            service.events.emplace_back(ProxyJoined{id, zoneOf(proxy.zone), proxy.rate, true});
    }
    std::erase_if(services_, [&](const auto& at) { return !named.count(at.first); });
}

void Steering::servers(Micros now, const std::vector<ServerSpec>& servers) {
    std::map<std::string, ServerListUpdate> news;
    for (auto& [name, service] : services_) news[name];
    for (const ServerSpec& spec : servers) {
        const auto at = services_.find(spec.service);
        if (at == services_.end()) continue;
        Service& service = at->second;
        const auto [id, fresh] = service.ids.try_emplace(spec.id, service.lastId + 1);
        if (fresh) service.names[++service.lastId] = spec.id;
        ListEntry entry;
        entry.server = id->second;
        entry.zone = zoneOf(spec.zone);
        entry.weight = std::max(1U, spec.places);
        entry.state = spec.emptying ? ServerState::draining : ServerState::ready;
        if (spec.coldLeft > 0)
            entry.bootTime = std::max<Micros>(1, now + spec.coldLeft - service.spec.warmUp);
        news[spec.service].entries.push_back(entry);
    }
    for (auto& [name, list] : news) {
        Service& service = services_.at(name);
        if (service.listTold && std::equal(service.listed.begin(), service.listed.end(), list.entries.begin(),
                                           list.entries.end(), sameEntry))
            continue;  // a module's turn costs far more than this comparison
        service.listed = list.entries;
        service.listTold = true;
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

void Steering::recordLoad(ProxyId proxy, const std::string& zone, const proto::LoadReport& sums) {
    for (const auto& sum : sums.servers()) {
        for (auto& [name, service] : services_) {
            const auto id = service.ids.find(sum.server());
            if (id == service.ids.end()) continue;
            service.events.emplace_back(ServerStats{
                id->second, zoneOf(zone), sum.tries(), sum.failed(), sums.period(), sum.mean_time(), {}});
            break;
        }
    }
    for (const auto& demand : sums.demands()) {
        const auto at = services_.find(demand.service());
        if (at == services_.end() || demand.klass() >= kKinds) continue;
        at->second.events.emplace_back(ProxyDemand{proxy, static_cast<std::uint16_t>(demand.klass()),
                                                   demand.came(), demand.failed(), sums.period()});
    }
}

void Steering::answered(ProxyId proxy, std::uint64_t mark, Micros took) {
    const auto at = proxies_.find(proxy);
    if (at == proxies_.end()) return;
    const auto meant = at->second.marks.find(mark);
    if (meant == at->second.marks.end()) return;
    for (const auto& [name, number] : meant->second) {
        const auto service = services_.find(name);
        if (service != services_.end())
            service->second.events.emplace_back(Acknowledged{proxy, number, took});
    }
    at->second.marks.erase(at->second.marks.begin(), std::next(meant));
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
        return service.events.size() >= 64;
    }
    return !service.events.empty() || now >= service.due;
}

std::vector<Steering::Batch> Steering::turn(Micros now, std::size_t mostModules) {
    std::map<ProxyId, Batch> out;
    std::map<ProxyId, std::vector<std::pair<std::string, std::uint16_t>>> marks;
    auto at = services_.upper_bound(lastTurned_);
    for (std::size_t looked = 0; looked < services_.size() && mostModules > 0; ++looked, ++at) {
        if (at == services_.end()) at = services_.begin();
        Service& service = at->second;
        if (!isDue(service, now)) continue;
        --mostModules;
        lastTurned_ = at->first;
        const std::vector<Event> events = std::exchange(service.events, {});
        service.due = now + 1000000;
        carryOut(service, service.planner->turn(now, events), now, out, marks);
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

void Steering::carryOut(Service& service, const std::vector<Action>& actions, Micros now,
                        std::map<ProxyId, Batch>& out,
                        std::map<ProxyId, std::vector<std::pair<std::string, std::uint16_t>>>& marks) {
    const std::string& name = service.spec.name;
    const auto toUsers = [&](TableId table, const proto::Resource& line) {
        for (const auto& [id, proxy] : proxies_) {
            if (uses(service, id, table)) out[id].lines.push_back(line);
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
                toUsers(set->table, weightLine(name, set->table, id->second, set->weight));
        } else if (const auto* drop = std::get_if<DropLines>(&action)) {
            for (auto& [id, table] : service.tables) {
                if (drop->table != kAllTables && drop->table != id) continue;
                table.lines.clear();
                proto::Resource line;
                line.mutable_table_drop()->set_service(name);
                line.mutable_table_drop()->set_table(id);
                toUsers(id, line);
            }
            if (drop->table != kAllTables) {
                const bool used = std::any_of(proxies_.begin(), proxies_.end(), [&](const auto& s) {
                    return uses(service, s.first, drop->table);
                });
                if (!used) service.tables.erase(drop->table);
            }
        } else if (const auto* bind = std::get_if<Bind>(&action)) {
            if (!proxies_.count(bind->proxy)) continue;
            auto& lines = out[bind->proxy].lines;
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
            line.mutable_bind()->set_abroad(kAbroadLarge);
            line.mutable_bind()->set_abroad_else(kAbroadElse);
            lines.push_back(line);
            for (const TableId table : before) {
                if (uses(service, bind->proxy, table)) continue;
                proto::Resource gone;
                gone.mutable_table_drop()->set_service(name);
                gone.mutable_table_drop()->set_table(table);
                lines.push_back(gone);
            }
        } else if (const auto* level = std::get_if<SetLevel>(&action)) {
            service.tables[level->table].levels[level->classes] = level->limit;
            toUsers(level->table, levelLine(name, level->table, level->classes, level->limit));
        } else if (const auto* mark = std::get_if<Mark>(&action)) {
            for (const auto& [id, proxy] : proxies_) {
                marks[id].emplace_back(name, mark->mark);
                out[id];
            }
        } else if (const auto* timer = std::get_if<ArmTimer>(&action)) {
            service.due = std::min(service.due, now + timer->delay);
        }
        // Withdrawals come faster by the servers' own lines; probes, subscriptions and list requests aren't
        // asked for.
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
