// The resources that a configuration asks for, kept up to date in the distributor: a change costs what it
// changes. No I/O.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "gateway/configuration/configuration.h"
#include "gateway/distribution/resource_distributor.h"
#include "gateway/distribution/steering.h"

namespace marldale::distribution {

/// A resource with the hash of what it says.
[[nodiscard]] DesiredResource desiredResourceOf(proto::Resource resource, bool urgent,
                                                std::uint64_t seed = 0);

/// What the decision modules are to know of each service.
[[nodiscard]] std::vector<ServiceSpec> serviceSpecsOf(const configuration::Configuration& configuration);

class ConfigurationResources {
public:
    explicit ConfigurationResources(ResourceDistributor& distributor) : distributor_(distributor) {}

    struct Source {
        const configuration::Configuration& configuration;
        const std::set<std::string>& emptiedZones;
        const proto::BudgetResource& budget;  // of each service, without its name
        bool anyChange = false;  // whether a change was ever taken; without one there are no limits
    };
    struct Changed {
        bool serviceNames = false;  // a service came or went
        bool services = false;      // or differs in anything
        bool emptiedZones = false;
        bool budget = false;
    };
    /// Puts and removes what differs from the source of the last call.
    Changed update(const Source& source);

private:
    void followServices(const Source& source, bool budgetChanged,
                        const std::vector<const proto::ServiceResource*>& put);
    bool followZones(const std::set<std::string>& emptied);

    ResourceDistributor& distributor_;
    configuration::Configuration followed_;
    std::set<std::string> emptied_;
    proto::BudgetResource budget_;
    bool limitsPut_ = false;
};

}  // namespace marldale::distribution
