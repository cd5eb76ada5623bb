// Keeps the resources that a configuration defines up to date in the distributor. The cost of an update is
// proportional to the number of changed items. No I/O.
#pragma once

#include <set>
#include <string>
#include <vector>

#include "gateway/configuration/configuration.h"
#include "gateway/distribution/resource_distributor.h"
#include "gateway/distribution/steering.h"

namespace marldale::distribution {

/// Returns the resource with a hash of its serialized content.
[[nodiscard]] DesiredResource desiredResourceOf(proto::Resource resource, bool urgent,
                                                std::uint64_t seed = 0);

/// Returns the specification of each service for the planners.
[[nodiscard]] std::vector<ServiceSpec> serviceSpecsOf(const configuration::Configuration& configuration);

/// Translates a configuration and the emptied zones to resources of a `ResourceDistributor`.
class ConfigurationResources {
public:
    explicit ConfigurationResources(ResourceDistributor& distributor) : distributor_(distributor) {}

    /// The state that the resources are derived from.
    struct Source {
        const configuration::Configuration& configuration;
        const std::set<std::string>& emptiedZones;
        const proto::BudgetResource& budget;  // for each service; its service name is not set
        bool anyChange = false;  // whether any change was ever accepted; limits are distributed only then
    };
    /// What an update changed.
    struct Changed {
        bool serviceNames = false;  // a service was added or removed
        bool services = false;      // a service was added, removed or changed
        bool emptiedZones = false;
        bool budget = false;
    };
    /// Puts and removes the resources that differ from the source of the previous call.
    Changed update(const Source& source);

private:
    void updateServices(const Source& source, bool budgetChanged,
                        const std::vector<const proto::ServiceResource*>& put);
    bool updateZones(const std::set<std::string>& emptied);

    ResourceDistributor& distributor_;
    configuration::Configuration configuration_;
    std::set<std::string> emptiedZones_;
    proto::BudgetResource budget_;
    bool limitsDistributed_ = false;
};

}  // namespace marldale::distribution
