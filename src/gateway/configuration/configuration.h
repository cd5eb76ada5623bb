// Parses the configuration that an operator sends, and checks it against its schema and for consistency. No
// I/O.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "gateway/configuration/shared_list.h"
#include "marldale/gateway/internal.pb.h"

namespace marldale::configuration {

namespace proto = gateway::proto;

/// A parsed configuration. Copies share routes and services.
struct Configuration {
    std::uint64_t version = 0, builtOn = 0;
    proto::LimitsResource limits;
    SharedList<proto::RouteResource> routes;
    SharedList<proto::ServiceResource> services;
};

/// Parses a configuration; returns InvalidArgument with the location and the violated rule if it is invalid.
/// Does not check anything that depends on the current version. Caches the latest few results per thread by a
/// 128-bit hash of the text, so that a request, the state machine and a restored snapshot parse it only once.
[[nodiscard]] absl::StatusOr<Configuration> parseConfigurationCached(std::string_view json);
/// Like `parseConfigurationCached`, without the cache.
[[nodiscard]] absl::StatusOr<Configuration> parseConfiguration(std::string_view text);

}  // namespace marldale::configuration
