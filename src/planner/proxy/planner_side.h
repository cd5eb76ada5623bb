// The proxy's planners, over the gRPC front: orders come down, answers and counts go up. What the library's
// threads bring is handed to the loop; nothing waits.
#pragma once

#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "marldale/assignments.h"
#include "marldale/load_reports.h"
#include "proxy/planners.h"
#include "proxy/settings.h"

namespace marldale::proxy {

// What one relay's tables order.
[[nodiscard]] Orders ordersOf(const client::RelayTables& tables, std::uint32_t relay,
                              const std::vector<std::string>& classes);
// Counts as a report.
[[nodiscard]] v1::ReportBatch reportOf(const Count& count, const PlannerSettings& settings,
                                       const std::vector<std::string>& classes);

class PlannerSide final : public Planners {
public:
    // `changed`: the standing or the tables have; in the loop's thread. Throws std::runtime_error if a file
    // of the settings can't be read.
    PlannerSide(transport::Loop& loop, Gateway& gateway, PlannerSettings settings, routing::Logger log);
    ~PlannerSide() override;
    void bye() override;

private:
    void inForce(const Orders& orders, std::optional<std::uint32_t> mark,
                 std::chrono::steady_clock::time_point came);
    void gather();

    transport::Loop& loop_;
    Gateway& gateway_;
    const PlannerSettings settings_;
    StandingTeller standing_;
    transport::Timer gathering_;
    std::mutex mutex_;
    Count gathered_;                                              // under the mutex
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  // of the loop's thread
    std::unique_ptr<client::Assignments> assignments_;
    std::unique_ptr<client::LoadReports> reports_;
};

}  // namespace marldale::proxy
