// What each edge proxy is to hold, derived from the configuration and the registry of servers, and how it
// goes out.
#include <string_view>
#include <utility>

#include "gateway/controller/controller.h"
#include "gateway/controller/proxy_shares.h"

namespace marldale::controller {
namespace {

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
    std::vector<std::string> forgotten;
    for (const auto& [key, wanted] : distributor_.wanted()) {
        const bool isServer = key[0] == 'v' || key[0] == 'x';
        if (!isServer || registry_.servers().count(key.substr(2)) != 0) continue;
        if (key[0] == 'v' || registry_.departed().count(key.substr(2)) == 0) forgotten.push_back(key);
    }
    for (const std::string& key : forgotten) distributor_.remove(key);
    for (const auto& [id, since] : registry_.departed()) putDrop(id);
    std::map<std::string_view, const proto::ServiceResource*> services;
    for (const proto::ServiceResource& service : configurations_.configuration().services)
        services[service.name()] = &service;
    std::vector<distribution::ServerSpec> specs;
    specs.reserve(registry_.servers().size());
    for (const auto& [id, server] : registry_.servers()) {
        specs.push_back({id, server.said.service(), server.said.zone(), server.said.free_places(),
                         server.said.emptying(), registry_.coldLeft(server, now)});
        const auto service = services.find(server.said.service());
        putServer(server, service == services.end() ? nullptr : service->second, now);
    }
    steering_.servers(now, specs);
    distributionLoop_.schedule.requestUrgent(now);
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
    const Parts parts =
        partsOf({proxiesMost_, server.said.free_places(), service->max_connections(), service->cold_per_s(),
                 settings_.bounds.coldExcess, settings_.bounds.coldMargin});
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
