#include "routing/planner_thread.h"

#include <cstdlib>
#include <utility>

#include "routing/limits.h"

namespace marldale::routing {
namespace {

PlannerThread::MakeModule plannerOf(const Settings& settings) {
    return [settings] {
        const auto planner = std::make_shared<Planner>(settings);
        return [planner](Micros now, const std::vector<Event>& events) { return planner->turn(now, events); };
    };
}

}  // namespace

PlannerThread::PlannerThread(const protocol::Config& config, Outlets outlets, Logger log)
    : PlannerThread(config, plannerOf(config.settings), std::move(outlets), std::move(log)) {}

PlannerThread::PlannerThread(const protocol::Config& config, MakeModule make, Outlets outlets, Logger log)
    : make_(std::move(make)),
      outlets_(std::move(outlets)),
      log_(std::move(log)),
      translator_(config, log_),
      module_(make_()),
      beliefs_(std::getenv("MARLDALE_BELIEFS") != nullptr ? std::make_unique<Beliefs>() : nullptr),
      queue_(limits::kEventsQueued, limits::kReportsQueued, limits::kGather) {
    std::vector<Event> events;
    translator_.events(ListInput{config.known, true}, events);
    turn(SteadyTime::clock::now(), std::move(events));
    thread_ = std::thread([this] { run(); });
}

PlannerThread::~PlannerThread() {
    queue_.close();
    thread_.join();
}

bool PlannerThread::post(Input input) {
    const bool isReport =
        std::holds_alternative<protocol::Report>(input) || std::holds_alternative<ProbeEnded>(input);
    return queue_.push(std::move(input), isReport);
}

void PlannerThread::run() {
    for (;;) {
        std::optional<SteadyTime> due;
        if (!timers_.empty()) due = timers_.top().at;
        const auto inputs = queue_.take(due);
        if (!inputs) return;
        const SteadyTime now = SteadyTime::clock::now();
        std::vector<Event> events;
        for (const Input& input : *inputs) translator_.events(input, events);
        while (!timers_.empty() && timers_.top().at <= now) {
            events.emplace_back(TimerDue{timers_.top().tag});
            timers_.pop();
        }
        if (!events.empty()) turn(now, std::move(events));
    }
}

void PlannerThread::turn(SteadyTime now, std::vector<Event> events) {
    if (std::exchange(startsOver_, false)) events.insert(events.begin(), translator_.wholeList());
    const Micros at = clock_.at(now);
    if (beliefs_) beliefs_->told(at, events);
    try {
        carryOut(now, module_(at, events));
    } catch (const std::exception& e) {
        startOver(e.what());
    }
}

// A module that has thrown can't be trusted with what it remembers. It begins anew, as after a restart, and
// the proxies go on with what they hold until the relay has told it who stands.
void PlannerThread::startOver(const std::string& why) {
    log_("module", "the module failed and starts over: " + why);
    module_ = make_();
    timers_ = {};
    startsOver_ = true;
    outlets_.startedOver();
}

void PlannerThread::carryOut(SteadyTime now, const std::vector<Action>& actions) {
    if (beliefs_) {
        beliefs_->ordered(actions);
        if (const auto line = beliefs_->line(clock_.at(now))) log_("beliefs", *line);
    }
    std::vector<std::string> orders;
    for (const Action& action : actions) {
        if (auto order = translator_.order(action)) {
            orders.push_back(std::move(*order));
        } else if (const auto* timer = std::get_if<ArmTimer>(&action)) {
            timers_.push({now + std::chrono::microseconds(timer->delay), timer->tag});
        } else if (const auto* probe = std::get_if<Probe>(&action)) {
            outlets_.probe(probe->server, translator_.endpoint(probe->server));
        } else if (std::holds_alternative<FetchList>(action)) {
            outlets_.fetchList();
        } else if (const auto* line = std::get_if<Log>(&action)) {
            log_("module", line->text);
        }
    }
    if (orders.empty()) return;
    queue_.hold();
    outlets_.call(std::move(orders), translator_.linesAtMost(actions));
}

}  // namespace marldale::routing
