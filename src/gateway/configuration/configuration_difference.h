// Computes the difference between two configurations by route and service. No I/O.
#pragma once

#include <string>
#include <vector>

#include "gateway/configuration/configuration.h"

namespace marldale::configuration {

/// The difference between two configurations. The pointers refer to the compared configurations.
struct ConfigurationDifference {
    std::vector<const proto::RouteResource*> routesPut;          // new or changed
    std::vector<const proto::RouteResource*> routesRemoved;      // by host name and path start
    std::vector<const proto::ServiceResource*> servicesPut;      // new or changed
    std::vector<const proto::ServiceResource*> servicesRemoved;  // by name
    bool serviceNamesChanged = false;                            // a service was added or removed
    bool limitsChanged = false;
};

/// Return whether all fields are equal.
[[nodiscard]] bool same(const proto::RouteResource& left, const proto::RouteResource& right);
[[nodiscard]] bool same(const proto::ServiceResource& left, const proto::ServiceResource& right);
[[nodiscard]] bool same(const proto::LimitsResource& left, const proto::LimitsResource& right);

/// Returns the difference. Items that keep their position cost left comparison; others are looked up by key.
[[nodiscard]] ConfigurationDifference differenceOf(const Configuration& before, const Configuration& after);

}  // namespace marldale::configuration
