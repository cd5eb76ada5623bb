// A configuration as the operator sends it: checked by a schema (RapidJSON), then by meaning. No I/O.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "marldale/gateway/inside.pb.h"

namespace marldale::plans {

namespace proto = gateway::proto;

struct Configuration {
    std::uint64_t version = 0, builtOn = 0;
    proto::LimitsLine limits;
    std::vector<proto::RouteLine> routes;
    std::vector<proto::ServiceLine> services;
};

// InvalidArgument with the place and what is allowed there. What depends on the present version isn't looked at.
[[nodiscard]] absl::StatusOr<Configuration> readConfiguration(std::string_view json);

}  // namespace marldale::plans
