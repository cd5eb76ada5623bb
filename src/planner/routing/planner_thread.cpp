#include "routing/planner_thread.h"

#include <utility>

#include "routing/limits.h"

namespace marldale::routing {

PlannerThread::PlannerThread(const protocol::Config& config, Outlets outlets, Logger log,
                             std::optional<JunctionRules> junction)
    : PlannerThread(config, plannerOf(config.settings), std::move(outlets), std::move(log),
                    std::move(junction)) {}

PlannerThread::PlannerThread(const protocol::Config& config, MakeModule make, Outlets outlets, Logger log,
                             std::optional<JunctionRules> junction)
    : outlets_(std::move(outlets)),
      manyFronts_(junction.has_value()),
      queue_(limits::kEventsQueued, limits::kReportsQueued, limits::kGather),
      core_(config, std::move(make), coreOutlets(), std::move(log), std::move(junction)) {
    core_.begin(config, clock_.at(SteadyTime::clock::now()));
    thread_ = std::thread([this] { run(); });
}

PlannerThread::~PlannerThread() {
    queue_.close();
    thread_.join();
}

PlannerCore::Outlets PlannerThread::coreOutlets() {
    PlannerCore::Outlets out;
    out.call = [this](OrderCall call, Micros holdFor) {
        queue_.hold(holdFor == PlannerCore::kForGood
                        ? SteadyTime::max()
                        : SteadyTime::clock::now() + std::chrono::microseconds(holdFor));
        outlets_.call(std::move(call));
    };
    out.probe = outlets_.probe;
    out.fetchList = outlets_.fetchList;
    out.startedOver = outlets_.startedOver;
    out.front = outlets_.front;
    return out;
}

bool PlannerThread::post(Input input) {
    const bool report = isReport(input);
    const std::size_t weight = weightOf(input);
    return queue_.push(std::move(input), report, weight);
}

void PlannerThread::callEnded() {
    callEnded_ = true;
    queue_.release();
    if (manyFronts_) queue_.nudge();  // what the platform has missed meanwhile goes out now
}

void PlannerThread::run() {
    for (;;) {
        std::optional<SteadyTime> due;
        if (const auto at = core_.nextDue()) due = clock_.when(*at);
        const auto inputs = queue_.take(due);
        if (!inputs) return;
        const Micros now = clock_.at(SteadyTime::clock::now());
        if (callEnded_.exchange(false)) core_.callEnded(now);
        core_.step(*inputs, now);
    }
}

}  // namespace marldale::routing
