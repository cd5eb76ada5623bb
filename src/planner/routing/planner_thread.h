// The thread that owns the module. One turn is one call to the relay, and no turn starts while a call is out:
// events gather meanwhile, and none of our orders pile up stale.
#pragma once

#include <atomic>
#include <optional>
#include <thread>

#include "routing/clock.h"
#include "routing/event_queue.h"
#include "routing/planner_core.h"

namespace marldale::routing {

class PlannerThread {
public:
    // Called in the module's thread; what they start belongs to the sockets' thread.
    struct Outlets {
        std::function<void(OrderCall)> call;
        std::function<void(ServerId, std::string endpoint)> probe;
        std::function<void()> fetchList;
        std::function<void()> startedOver;  // the module has lost its proxies: they must be told anew
        std::function<void(std::vector<FrontCommand>)> front = {};  // only where other fronts are on
    };

    using Module = PlannerCore::Module;
    using MakeModule = PlannerCore::MakeModule;

    // Returns once the module stands with the known list.
    PlannerThread(const protocol::Config& config, Outlets outlets, Logger log,
                  std::optional<JunctionRules> junction = std::nullopt);
    PlannerThread(const protocol::Config& config, MakeModule make, Outlets outlets, Logger log,
                  std::optional<JunctionRules> junction = std::nullopt);
    ~PlannerThread();
    PlannerThread(const PlannerThread&) = delete;
    PlannerThread& operator=(const PlannerThread&) = delete;

    // From the sockets' thread, and from those of other fronts. False if there is no room.
    [[nodiscard]] bool post(Input input);
    void callEnded();

private:
    [[nodiscard]] PlannerCore::Outlets coreOutlets();
    void run();

    const Outlets outlets_;
    const Clock clock_;
    const bool manyFronts_;
    EventQueue<Input> queue_;
    std::atomic<bool> callEnded_ = false;
    PlannerCore core_;
    std::thread thread_;
};

}  // namespace marldale::routing
