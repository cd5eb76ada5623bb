// Reads what servers send: heartbeats and the identifiers in sign-offs. No I/O.
#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "marldale/gateway/internal.pb.h"

namespace marldale::registry {

namespace proto = gateway::proto;

/// The most bytes of a server's identifier; bounded like its other names, because a frame carries many
/// servers.
constexpr std::size_t kMaxServerIdBytes = 200;

/// Checks the identifier of a server, as it stands in the path of a call. Returns InvalidArgument with the
/// reason if it is too long or not UTF-8, which messages between processes cannot carry.
[[nodiscard]] absl::Status checkServerId(std::string_view id);

/// Reads a heartbeat of the server `id` from JSON; returns InvalidArgument with the location and the violated
/// rule if it is invalid.
[[nodiscard]] absl::StatusOr<proto::Server> parseHeartbeat(const std::string& id, std::string_view text);

}  // namespace marldale::registry
