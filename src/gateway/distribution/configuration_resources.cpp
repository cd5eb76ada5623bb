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

bool sameBudget(const proto::BudgetResource& one, const proto::BudgetResource& other) {
    return one.per_request() == other.per_request() && one.per_s() == other.per_s() &&
           one.burst() == other.burst();
}

}  // namespace

DesiredResource desiredResourceOf(proto::Resource resource, bool urgent, std::uint64_t seed) {
    const std::string text = resource.SerializeAsString();
    DesiredResource wanted;
    wanted.hash = XXH3_64bits_withSeed(text.data(), text.size(), seed) | 1U;
    wanted.line = std::move(resource);
    wanted.urgent = urgent;
    return wanted;
}

std::vector<ServiceSpec> serviceSpecsOf(const configuration::Configuration& configuration) {
    std::map<std::string, ServiceSpec> specs;
    for (const proto::ServiceResource& service : configuration.services) {
        ServiceSpec& spec = specs[service.name()];
        spec.name = service.name();
        spec.warmUp = service.warm_up();
    }
    for (const proto::RouteResource& route : configuration.routes) {
        const auto k = static_cast<std::size_t>(route.kind());
        for (const proto::Share& share : route.shares()) {
            ServiceSpec& spec = specs[share.service()];
            spec.aim[k] = spec.aim[k] == 0 ? route.target() : std::min(spec.aim[k], route.target());
            spec.giveUp[k] = std::max(spec.giveUp[k], route.give_up());
            spec.rank[k] = spec.rank[k] == 0 ? route.rank() : std::min(spec.rank[k], route.rank());
        }
    }
    std::vector<ServiceSpec> all;
    for (auto& [name, spec] : specs) all.push_back(std::move(spec));
    return all;
}

void ConfigurationResources::followServices(const Source& source, bool budgetChanged,
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

bool ConfigurationResources::followZones(const std::set<std::string>& emptied) {
    if (emptied == emptied_) return false;
    for (const std::string& zone : emptied) {
        if (emptied_.count(zone) != 0) continue;
        proto::Resource resource;
        resource.set_zone_empty(zone);
        distributor_.put(zoneKey(zone), desiredResourceOf(std::move(resource), true));
    }
    for (const std::string& zone : emptied_) {
        if (emptied.count(zone) == 0) distributor_.remove(zoneKey(zone));
    }
    emptied_ = emptied;
    return true;
}

ConfigurationResources::Changed ConfigurationResources::update(const Source& source) {
    const auto difference = configuration::differenceOf(followed_, source.configuration);
    Changed changed;
    changed.serviceNames = difference.servicesNamedAnew;
    changed.services = !difference.servicesPut.empty() || !difference.servicesRemoved.empty();
    changed.budget = !sameBudget(budget_, source.budget);
    followServices(source, changed.budget, difference.servicesPut);
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
    if (source.anyChange && (difference.limitsChanged || !limitsPut_)) {
        proto::Resource resource;
        *resource.mutable_limits() = source.configuration.limits;
        distributor_.put(kLimitsKey, desiredResourceOf(std::move(resource), false));
        limitsPut_ = true;
    }
    changed.emptiedZones = followZones(source.emptiedZones);
    followed_ = source.configuration;
    budget_ = source.budget;
    return changed;
}

}  // namespace marldale::distribution
