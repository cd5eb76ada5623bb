// What each edge proxy is to hold, derived from the configuration and the registry of servers, and how it
// goes out.
#include <string_view>
#include <utility>

#include "gateway/controller/controller.h"
#include "gateway/controller/proxy_shares.h"

namespace marldale::controller {
namespace {

constexpr Micros kModuleListEvery = 250000;
constexpr std::size_t kModulesASlice = 8;  // of the loop's time

std::uint64_t markOfLines(std::uint64_t mark) { return mark * 2; }
std::uint64_t markOfModules(std::uint64_t mark) { return mark * 2 + 1; }

}  // namespace

void Controller::configurationChanged(Micros now) {
    const BudgetPart part = budgetOf(proxiesMost_, settings_.bounds.retryRatio, settings_.bounds.extraTries,
                                     settings_.bounds.retryWindow);
    proto::BudgetResource budget;
    budget.set_per_request(part.perRequest);
    budget.set_per_s(part.perS);
    budget.set_burst(part.burst);
    const configuration::Configuration& configuration = configurations_.configuration();
    const auto changed = configurationResources_.follow(
        {configuration, configurations_.emptied(), budget, configurations_.index() > 0});
    if (changed.serviceNames) steering_.services(distribution::serviceSpecsOf(configuration));
    // Servers' resources name parts of what their service allows, by the number of proxies, as the budget
    // does; servers of a zone that is taken back are cold.
    if (changed.services || changed.emptiedZones || changed.budget) serversChanged(now);
    flushDue_ = true;
}

void Controller::serversChanged(Micros now) {
    allServersChanged_ = true;
    distributionLoop_.schedule.requestUrgent(now);
}

void Controller::registryChanged(Micros now) { distributionLoop_.schedule.requestUrgent(now); }

// Before a turn of distribution, so that all that came since the last one costs one pass over what changed.
void Controller::deriveServers(Micros now) {
    std::set<std::string> changed = registry_.takeChanged();
    if (std::exchange(allServersChanged_, false)) addAllServers(changed);
    if (changed.empty()) return;
    std::map<std::string_view, const proto::ServiceResource*> services;
    for (const proto::ServiceResource& service : configurations_.configuration().services)
        services[service.name()] = &service;
    for (const std::string& id : changed) {
        const auto server = registry_.servers().find(id);
        if (server == registry_.servers().end()) {
            putAbsent(id);
            continue;
        }
        const auto service = services.find(server->second.said.service());
        putServer(server->second, service == services.end() ? nullptr : service->second, now);
    }
    moduleListChanged_ = true;
}

void Controller::addAllServers(std::set<std::string>& ids) const {
    for (const auto& [key, wanted] : distributor_.wanted()) {
        if (key[0] == 'v' || key[0] == 'x') ids.insert(key.substr(2));
    }
    for (const auto& [id, server] : registry_.servers()) ids.insert(id);
    for (const auto& [id, since] : registry_.departed()) ids.insert(id);
}

// Of a server that is not in the registry.
void Controller::putAbsent(const std::string& id) {
    distributor_.remove("v " + id);
    if (registry_.departed().count(id) != 0) {
        putDrop(id);
    } else {
        distributor_.remove("x " + id);
    }
}

// A module compares its whole list of servers and judges all of them: changes that come in quick succession
// go to it together. What may not be used any more has been told to the proxies by name before.
void Controller::updateModuleLists(Micros now) {
    if (!moduleListChanged_ || now < nextModuleList_) return;
    moduleListChanged_ = false;
    nextModuleList_ = now + kModuleListEvery;
    std::vector<distribution::ServerSpec> specs;
    specs.reserve(registry_.servers().size());
    for (const auto& [id, server] : registry_.servers()) {
        specs.push_back({id, server.said.service(), server.said.zone(), server.said.free_places(),
                         server.said.emptying(), registry_.coldLeft(server, now)});
    }
    steering_.servers(now, specs);
}

// Said also to proxies that may hold the server from another controller.
void Controller::putDrop(const std::string& id) {
    const std::string key = "x " + id;
    if (distributor_.wanted().count(key) != 0) return;
    proto::Resource resource;
    resource.set_server_drop(id);
    distributor_.put(key, distribution::wantedOf(std::move(resource), true));
}

// Without a service nobody is told of the server.
void Controller::putServer(const registry::Server& server, const proto::ServiceResource* service,
                           Micros now) {
    const std::string& id = server.said.id();
    const std::string key = "v " + id;
    proto::Resource resource;
    if (!server.usable() || service == nullptr) {
        distributor_.remove(key);
        if (!server.usable()) putDrop(id);
        return;
    }
    distributor_.remove("x " + id);
    auto* line = resource.mutable_server();
    line->set_id(id);
    line->set_service(server.said.service());
    line->set_address(server.said.address());
    line->set_zone(server.said.zone());
    const ProxyShare parts =
        proxyShareOf({proxiesMost_, server.said.free_places(), service->max_connections(),
                      service->cold_per_s(), settings_.bounds.coldExcess, settings_.bounds.coldMargin});
    line->set_in_flight_most(parts.inFlight);
    line->set_connections_most(parts.connections);
    line->set_cold_most(parts.cold);
    const bool cold = registry_.coldLeft(server, now) > 0;
    const auto seed = static_cast<std::uint64_t>(cold ? server.coldUntil / 100000 : 0);
    distributor_.put(key, distribution::wantedOf(std::move(resource), cold, seed));
}

// Distribution runs behind what the loop has ready: Raft messages, heartbeats, acknowledgements and calls go
// first, and between two slices the loop looks for more of them.
void Controller::wakeDistribution(Micros now) {
    // Without contact with a majority nothing is distributed; what is due goes out once contact is back.
    if (flushDue_ && inQuorumContact(now)) {
        flushDue_ = false;
        distributionLoop_.schedule.request(now);
    }
    distributionLoop_.wake();
}

Micros Controller::timersDue() const { return std::min(replica_->nextDue(), nextHeartbeat_); }

void Controller::send(const distribution::OutgoingFrame& frame) {
    const auto proxy = proxies_.find(frame.proxy);
    if (proxy == proxies_.end()) return;
    proxy->second.link->sendSerialized(*frame.bytes);
    if (frame.index != 0) proxy->second.index = frame.index;
}

// Cold times are spans from now, so they are filled in as a resource goes out.
void Controller::fillColdTimes(std::vector<proto::Resource>& resources, Micros now) const {
    for (proto::Resource& resource : resources) {
        if (!resource.has_server()) continue;
        const auto server = registry_.servers().find(resource.server().id());
        if (server != registry_.servers().end())
            resource.mutable_server()->set_cold_for(registry_.coldLeft(server->second, now));
    }
}

void Controller::flush(Micros now) {
    if (!inQuorumContact(now)) {
        flushDue_ = true;
        return;
    }
    deriveServers(now);
    updateModuleLists(now);
    for (auto& [id, proxy] : proxies_) admit(id, proxy, now);
    for (distribution::ResourceDistributor::Batch& batch : distributor_.turn(now)) {
        fillColdTimes(batch.lines, now);
        proto::Frame frame;
        auto* orders = frame.mutable_batch();
        orders->set_mark(markOfLines(batch.mark));
        orders->set_fresh(batch.fresh);
        orders->set_servers_whole(batch.fresh && whole(now));
        if (batch.whole) orders->set_index(configurations_.index());
        for (proto::Resource& resource : batch.lines) *orders->add_resources() = std::move(resource);
        const auto bytes = std::make_shared<const std::string>(frame.SerializeAsString());
        for (const distribution::ProxyId proxy : batch.proxies) {
            distributionLoop_.outbox.add({proxy, bytes, orders->index()});
            const auto bound = proxies_.find(proxy);
            if (batch.fresh && bound != proxies_.end()) bound->second.serversWhole = orders->servers_whole();
        }
    }
    sendServersWhole(now);
    updateBarrier(now);
    if (const Micros due = distributor_.nextDue(); due != INT64_MAX)
        distributionLoop_.schedule.requestAt(due);
    arm();
}

// A proxy whose copy came before this controller knew all servers keeps those that the copy didn't name. Once
// all are known, and it holds them, the others go.
void Controller::sendServersWhole(Micros now) {
    if (!whole(now)) return;
    proto::Frame frame;
    frame.mutable_batch()->set_servers_whole(true);
    const auto bytes = std::make_shared<const std::string>(frame.SerializeAsString());
    for (auto& [id, proxy] : proxies_) {
        if (!proxy.joined || proxy.serversWhole || distributor_.unanswered(id)) continue;
        proxy.serversWhole = true;
        distributionLoop_.outbox.add({id, bytes, 0});
    }
}

void Controller::runModules(Micros now) {
    if (steering_.nextDue() > now) return;
    for (distribution::Steering::Batch& batch : steering_.turn(now, kModulesASlice)) {
        proto::Frame frame;
        auto* orders = frame.mutable_batch();
        orders->set_mark(markOfModules(batch.mark));
        for (proto::Resource& resource : batch.lines) *orders->add_resources() = std::move(resource);
        distributionLoop_.outbox.add(
            {batch.proxy, std::make_shared<const std::string>(frame.SerializeAsString()), 0});
    }
}

}  // namespace marldale::controller
