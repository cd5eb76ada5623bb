// The operator's settings that are in force: the state machine behind the replicated log. Every core machine
// applies the same changes in the same order and reaches the same verdicts. No I/O.
#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "gateway/configuration/configuration.h"
#include "gateway/configuration/order_history.h"

namespace marldale::configuration {

/// Encodes the replacement of the configuration as a log entry.
[[nodiscard]] std::string replaceChange(const std::string& json);
/// Encodes the emptying of a zone, or the end of it, as a log entry.
[[nodiscard]] std::string zoneChange(const std::string& zone, bool empty);

/// The current configuration, the emptied zones and the history of orders.
class ConfigurationStore {
public:
    ConfigurationStore() = default;
    explicit ConfigurationStore(OrderHistory history) : history_(std::move(history)) {}

    /// Applies the next change of the log. The state changes only if the verdict is `taken`.
    Verdict apply(std::uint64_t index, const std::string& change);
    /// Returns the verdict that `apply` would give now.
    [[nodiscard]] Verdict judge(const std::string& change) const;

    /// Returns the text of the configuration as it was sent; empty if there is none yet.
    [[nodiscard]] const std::string& json() const { return json_; }
    /// Returns the configuration in force.
    [[nodiscard]] const Configuration& configuration() const { return configuration_; }
    /// Returns the emptied zones.
    [[nodiscard]] const std::set<std::string>& emptied() const { return emptied_; }
    /// Returns the log index of the last change that was accepted.
    [[nodiscard]] std::uint64_t index() const { return index_; }

    /// Encodes the state as a snapshot.
    [[nodiscard]] std::string snapshot() const;
    /// Replaces the state by a snapshot; leaves it unchanged on an error.
    [[nodiscard]] absl::Status restore(const std::string& snapshot);

private:
    [[nodiscard]] Verdict applyReplace(std::uint64_t index, const std::string& json);
    [[nodiscard]] Verdict applyZone(std::uint64_t index, const std::string& change);

    std::string json_;
    Configuration configuration_;
    OrderHistory history_;
    std::set<std::string> emptied_;
    std::uint64_t index_ = 0;
};

}  // namespace marldale::configuration
