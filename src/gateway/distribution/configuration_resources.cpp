#include "gateway/distribution/configuration_resources.h"

#include <xxhash.h>

#include <algorithm>
#include <map>

#include "gateway/configuration/configuration_difference.h"

namespace marldale::distribution {
namespace {

std::string routeKey(const proto::RouteResource& route) {
    return "r " + route.host_name() + " " + route.path_start();
}
std::string serviceKey(const std::string& name) { return "s " + name; }
std::string budgetKey(const std::string& service) { return "b " + service; }
std::string zoneKey(const std::string& zone) { return "z " + zone; }
constexpr const char* kLimitsKey = "l";

bool equalBudgets(const proto::BudgetResource& left, const proto::BudgetResource& right) {
    return left.per_request() == right.per_request() && left.per_s() == right.per_s() &&
           left.burst() == right.burst();
}

}  // namespace

DesiredResource desiredResourceOf(proto::Resource resource, bool urgent, std::uint64_t seed) {
    const std::string text = resource.SerializeAsString();
    DesiredResource desired;
    desired.hash = XXH3_64bits_withSeed(text.data(), text.size(), seed) | 1U;
    desired.resource = std::move(resource);
    desired.urgent = urgent;
    return desired;
}

std::vector<ServiceSpec> serviceSpecsOf(const configuration::Configuration& configuration) {
    std::map<std::string, ServiceSpec> specs;
    for (const proto::ServiceResource& service : configuration.services) {
        ServiceSpec& spec = specs[service.name()];
        spec.name = service.name();
        spec.warmUp = service.warm_up();
    }
    for (const proto::RouteResource& route : configuration.routes) {
        const auto kind = static_cast<std::size_t>(route.kind());
        for (const proto::Share& share : route.shares()) {
            ServiceSpec& spec = specs[share.service()];
            spec.latencyTarget[kind] = spec.latencyTarget[kind] == 0
                                           ? route.target()
                                           : std::min(spec.latencyTarget[kind], route.target());
            spec.giveUp[kind] = std::max(spec.giveUp[kind], route.give_up());
            spec.rank[kind] = spec.rank[kind] == 0 ? route.rank() : std::min(spec.rank[kind], route.rank());
        }
    }
    std::vector<ServiceSpec> result;
    for (auto& [name, spec] : specs) result.push_back(std::move(spec));
    return result;
}

void ConfigurationResources::updateServices(const Source& source, bool budgetChanged,
                                            const std::vector<const proto::ServiceResource*>& put) {
    for (const proto::ServiceResource* service : put) {
        proto::Resource resource;
        *resource.mutable_service() = *service;
        distributor_.put(serviceKey(service->name()), desiredResourceOf(std::move(resource), false));
    }
    const auto putBudget = [&](const std::string& service) {
        proto::Resource resource;
        *resource.mutable_budget() = source.budget;
        resource.mutable_budget()->set_service(service);
        distributor_.put(budgetKey(service), desiredResourceOf(std::move(resource), false));
    };
    if (budgetChanged) {
        for (const proto::ServiceResource& service : source.configuration.services) putBudget(service.name());
        return;
    }
    for (const proto::ServiceResource* service : put) putBudget(service->name());
}

bool ConfigurationResources::updateZones(const std::set<std::string>& emptied) {
    if (emptied == emptiedZones_) return false;
    for (const std::string& zone : emptied) {
        if (emptiedZones_.count(zone) != 0) continue;
        proto::Resource resource;
        resource.set_zone_empty(zone);
        distributor_.put(zoneKey(zone), desiredResourceOf(std::move(resource), true));
    }
    for (const std::string& zone : emptiedZones_) {
        if (emptied.count(zone) == 0) distributor_.remove(zoneKey(zone));
    }
    emptiedZones_ = emptied;
    return true;
}

ConfigurationResources::Changed ConfigurationResources::update(const Source& source) {
    const auto difference = configuration::differenceOf(configuration_, source.configuration);
    Changed changed;
    changed.serviceNames = difference.serviceNamesChanged;
    changed.services = !difference.servicesPut.empty() || !difference.servicesRemoved.empty();
    changed.budget = !equalBudgets(budget_, source.budget);
    updateServices(source, changed.budget, difference.servicesPut);
    for (const proto::ServiceResource* service : difference.servicesRemoved) {
        distributor_.remove(serviceKey(service->name()));
        distributor_.remove(budgetKey(service->name()));
    }
    for (const proto::RouteResource* route : difference.routesPut) {
        proto::Resource resource;
        *resource.mutable_route() = *route;
        distributor_.put(routeKey(*route), desiredResourceOf(std::move(resource), false));
    }
    for (const proto::RouteResource* route : difference.routesRemoved) distributor_.remove(routeKey(*route));
    if (source.anyChange && (difference.limitsChanged || !limitsDistributed_)) {
        proto::Resource resource;
        *resource.mutable_limits() = source.configuration.limits;
        distributor_.put(kLimitsKey, desiredResourceOf(std::move(resource), false));
        limitsDistributed_ = true;
    }
    changed.emptiedZones = updateZones(source.emptiedZones);
    configuration_ = source.configuration;
    budget_ = source.budget;
    return changed;
}

}  // namespace marldale::distribution
