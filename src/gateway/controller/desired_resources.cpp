// Derives the resources that every edge proxy should hold from the configuration and the registry of servers,
// and distributes them.
#include <string_view>
#include <utility>

#include "gateway/controller/controller.h"
#include "gateway/controller/proxy_shares.h"

namespace marldale::controller {
namespace {

constexpr Micros kModuleListIntervalUs = 250000;
constexpr std::size_t kModulesPerSlice = 8;  // decision modules run in one slice of the event loop

// One proxy acknowledges both kinds of batch, so the lowest bit of a mark tells them apart.
std::uint64_t resourceMark(std::uint64_t mark) { return mark * 2; }
std::uint64_t moduleMark(std::uint64_t mark) { return mark * 2 + 1; }

}  // namespace

void Controller::onConfigurationChanged(Micros now) {
    const RetryBudgetShare share =
        retryBudgetShareOf(recentMaxProxies_, settings_.bounds.retryRatio, settings_.bounds.extraTries,
                           settings_.bounds.retryWindow);
    proto::BudgetResource budget;
    budget.set_per_request(share.perRequest);
    budget.set_per_s(share.perS);
    budget.set_burst(share.burst);
    const configuration::Configuration& configuration = configurations_.configuration();
    const auto changed = configurationResources_.update(
        {configuration, configurations_.emptied(), budget, configurations_.index() > 0});
    if (changed.serviceNames) steering_.services(distribution::serviceSpecsOf(configuration));
    // The resource of a server contains shares of the limits of its service, divided by the number of proxies
    // as the budget is. Servers of a zone that is reopened are cold.
    if (changed.services || changed.emptiedZones || changed.budget) markAllServersChanged(now);
    distributionDue_ = true;
}

void Controller::markAllServersChanged(Micros now) {
    allServersChanged_ = true;
    distributionLoop_.schedule.requestUrgent(now);
}

void Controller::onRegistryChanged(Micros now) { distributionLoop_.schedule.requestUrgent(now); }

// Called before a turn of distribution, so that all changes since the last turn cost one pass over the
// servers that changed.
void Controller::deriveServerResources(Micros now) {
    std::set<std::string> changed = registry_.takeChanged();
    if (std::exchange(allServersChanged_, false)) addAllServerIds(changed);
    if (changed.empty()) return;
    std::map<std::string_view, const proto::ServiceResource*> services;
    for (const proto::ServiceResource& service : configurations_.configuration().services)
        services[service.name()] = &service;
    for (const std::string& id : changed) {
        const auto server = registry_.servers().find(id);
        if (server == registry_.servers().end()) {
            putAbsentServer(id);
            continue;
        }
        const auto service = services.find(server->second.report.service());
        putServer(server->second, service == services.end() ? nullptr : service->second, now);
    }
    moduleListChanged_ = true;
}

void Controller::addAllServerIds(std::set<std::string>& ids) const {
    for (const auto& [key, resource] : distributor_.desired()) {
        if (key[0] == 'v' || key[0] == 'x') ids.insert(key.substr(2));
    }
    for (const auto& [id, server] : registry_.servers()) ids.insert(id);
    for (const auto& [id, departedAt] : registry_.departed()) ids.insert(id);
}

// Updates the resources of a server that is not in the registry.
void Controller::putAbsentServer(const std::string& id) {
    distributor_.remove("v " + id);
    if (registry_.departed().count(id) != 0) {
        putServerDrop(id);
    } else {
        distributor_.remove("x " + id);
    }
}

// A decision module compares its whole list of servers and evaluates all of them, so changes that come in
// quick succession are passed to it together. The proxies have been told before which servers to stop using.
void Controller::updateModuleLists(Micros now) {
    if (!moduleListChanged_ || now < nextModuleList_) return;
    moduleListChanged_ = false;
    nextModuleList_ = now + kModuleListIntervalUs;
    std::vector<distribution::ServerSpec> serverSpecs;
    serverSpecs.reserve(registry_.servers().size());
    for (const auto& [id, server] : registry_.servers()) {
        serverSpecs.push_back({id, server.report.service(), server.report.zone(), server.report.free_places(),
                               server.report.emptying(), registry_.coldLeft(server, now)});
    }
    steering_.servers(now, serverSpecs);
}

// Drops a server by name, also at proxies that may hold it from another controller.
void Controller::putServerDrop(const std::string& id) {
    const std::string key = "x " + id;
    if (distributor_.desired().count(key) != 0) return;
    proto::Resource resource;
    resource.set_server_drop(id);
    distributor_.put(key, distribution::desiredResourceOf(std::move(resource), true));
}

// A server without a configured service is not distributed.
void Controller::putServer(const registry::Server& server, const proto::ServiceResource* service,
                           Micros now) {
    const std::string& id = server.report.id();
    const std::string key = "v " + id;
    proto::Resource resource;
    if (!server.usable() || service == nullptr) {
        distributor_.remove(key);
        if (!server.usable()) putServerDrop(id);
        return;
    }
    distributor_.remove("x " + id);
    auto* serverResource = resource.mutable_server();
    serverResource->set_id(id);
    serverResource->set_service(server.report.service());
    serverResource->set_address(server.report.address());
    serverResource->set_zone(server.report.zone());
    const ProxyShare share =
        proxyShareOf({recentMaxProxies_, server.report.free_places(), service->max_connections(),
                      service->cold_per_s(), settings_.bounds.coldExcess, settings_.bounds.coldMargin});
    serverResource->set_in_flight_most(share.inFlight);
    serverResource->set_connections_most(share.connections);
    serverResource->set_cold_most(share.cold);
    const bool cold = registry_.coldLeft(server, now) > 0;
    const auto seed = static_cast<std::uint64_t>(cold ? server.coldUntil / 100000 : 0);
    distributor_.put(key, distribution::desiredResourceOf(std::move(resource), cold, seed));
}

// Distribution runs after whatever the event loop has ready: Raft messages, heartbeats, acknowledgements and
// calls go first, also between two slices of distribution.
void Controller::wakeDistribution(Micros now) {
    // Without quorum contact nothing is distributed; what is due is sent once contact is restored.
    if (distributionDue_ && inQuorumContact(now)) {
        distributionDue_ = false;
        distributionLoop_.schedule.request(now);
    }
    distributionLoop_.wake();
}

Micros Controller::timersDue() const { return std::min(replica_->nextDue(), nextHeartbeat_); }

void Controller::send(const distribution::OutgoingFrame& frame) {
    const auto proxy = proxies_.find(frame.proxy);
    if (proxy == proxies_.end()) return;
    proxy->second.link->sendSerialized(*frame.bytes);
    if (frame.index != 0) proxy->second.configurationIndex = frame.index;
}

// Cold times are durations from now, so they are filled in when a resource is sent.
void Controller::fillColdTimes(std::vector<proto::Resource>& resources, Micros now) const {
    for (proto::Resource& resource : resources) {
        if (!resource.has_server()) continue;
        const auto server = registry_.servers().find(resource.server().id());
        if (server != registry_.servers().end())
            resource.mutable_server()->set_cold_for(registry_.coldLeft(server->second, now));
    }
}

void Controller::distributeResources(Micros now) {
    if (!inQuorumContact(now)) {
        distributionDue_ = true;
        return;
    }
    deriveServerResources(now);
    updateModuleLists(now);
    for (auto& [id, proxy] : proxies_) admitToDistribution(id, proxy, now);
    for (distribution::ResourceDistributor::Batch& batch : distributor_.turn(now)) {
        fillColdTimes(batch.lines, now);
        proto::Frame frame;
        auto* resourceBatch = frame.mutable_batch();
        resourceBatch->set_mark(resourceMark(batch.mark));
        resourceBatch->set_fresh(batch.fresh);
        resourceBatch->set_servers_whole(batch.fresh && knowsAllServers(now));
        if (batch.complete) resourceBatch->set_index(configurations_.index());
        for (proto::Resource& resource : batch.lines) *resourceBatch->add_resources() = std::move(resource);
        const auto bytes = std::make_shared<const std::string>(frame.SerializeAsString());
        for (const distribution::ProxyId proxy : batch.proxies) {
            distributionLoop_.outbox.add({proxy, bytes, resourceBatch->index()});
            const auto bound = proxies_.find(proxy);
            if (batch.fresh && bound != proxies_.end())
                bound->second.serverListComplete = resourceBatch->servers_whole();
        }
    }
    sendServerListComplete(now);
    updateBarrier(now);
    if (const Micros due = distributor_.nextDue(); due != INT64_MAX)
        distributionLoop_.schedule.requestAt(due);
    armTimer();
}

// A proxy that received its full copy before this controller knew all servers keeps the servers that the copy
// did not name. Once all servers are known and the proxy has acknowledged them, it is told to drop the
// others.
void Controller::sendServerListComplete(Micros now) {
    if (!knowsAllServers(now)) return;
    proto::Frame frame;
    frame.mutable_batch()->set_servers_whole(true);
    const auto bytes = std::make_shared<const std::string>(frame.SerializeAsString());
    for (auto& [id, proxy] : proxies_) {
        if (!proxy.inDistribution || proxy.serverListComplete || distributor_.unanswered(id)) continue;
        proxy.serverListComplete = true;
        distributionLoop_.outbox.add({id, bytes, 0});
    }
}

void Controller::runModules(Micros now) {
    if (steering_.nextDue() > now) return;
    for (distribution::Steering::Batch& batch : steering_.turn(now, kModulesPerSlice)) {
        proto::Frame frame;
        auto* resourceBatch = frame.mutable_batch();
        resourceBatch->set_mark(moduleMark(batch.mark));
        for (proto::Resource& resource : batch.lines) *resourceBatch->add_resources() = std::move(resource);
        distributionLoop_.outbox.add(
            {batch.proxy, std::make_shared<const std::string>(frame.SerializeAsString()), 0});
    }
}

}  // namespace marldale::controller
