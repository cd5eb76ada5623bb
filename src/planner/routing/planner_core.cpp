#include "routing/planner_core.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace marldale::routing {

PlannerCore::MakeModule plannerOf(const Settings& settings) {
    return [settings] {
        const auto planner = std::make_shared<Planner>(settings);
        return [planner](Micros now, const std::vector<Event>& events) { return planner->turn(now, events); };
    };
}

PlannerCore::PlannerCore(const protocol::Config& config, MakeModule make, Outlets outlets, Logger log,
                         std::optional<JunctionRules> junction)
    : make_(std::move(make)),
      outlets_(std::move(outlets)),
      log_(std::move(log)),
      translator_(config, log_),
      module_(make_()),
      beliefs_(std::getenv("MARLDALE_BELIEFS") != nullptr ? std::make_unique<Beliefs>() : nullptr) {
    if (junction) {
        junction_ = std::make_unique<Junction>(config, std::move(*junction), translator_,
                                               Junction::Outlets{outlets_.call, outlets_.front}, log_);
    }
}

void PlannerCore::begin(const protocol::Config& config, Micros now) {
    std::vector<Event> events;
    translator_.events(ListInput{config.known, true}, events);
    turn(now, std::move(events));
}

void PlannerCore::step(const std::vector<Input>& inputs, Micros now) {
    std::vector<Event> events;
    for (const Input& input : inputs) {
        junction_ ? junction_->events(input, now, events) : translator_.events(input, events);
    }
    if (junction_) {
        junction_->due(now, events);
        Junction::arrange(events);
    }
    while (!timers_.empty() && timers_.top().at <= now) {
        events.emplace_back(TimerDue{timers_.top().tag});
        timers_.pop();
    }
    if (!events.empty()) turn(now, std::move(events));
}

void PlannerCore::callEnded(Micros now) {
    if (junction_) junction_->callSettled(now);
}

std::optional<Micros> PlannerCore::nextDue() const {
    std::optional<Micros> out;
    if (!timers_.empty()) out = timers_.top().at;
    const auto other = junction_ ? junction_->nextDue() : std::nullopt;
    return other && (!out || *other < *out) ? other : out;
}

void PlannerCore::turn(Micros now, std::vector<Event> events) {
    if (std::exchange(startsOver_, false)) {
        std::vector<Event> first = {translator_.wholeList()};
        if (junction_) junction_->startOver(first);
        events.insert(events.begin(), first.begin(), first.end());
    }
    if (beliefs_) beliefs_->told(now, events);
    for (const Event& event : events) {
        if (const auto* joined = std::get_if<ProxyJoined>(&event)) audience_.joined(joined->proxy);
        if (const auto* left = std::get_if<ProxyLeft>(&event)) audience_.left(left->proxy);
    }
    try {
        carryOut(now, module_(now, events));
    } catch (const std::exception& e) {
        startOver(e.what());
    }
}

// A module that has thrown can't be trusted with what it remembers. It begins anew, as after a restart, and
// the proxies go on with what they hold until the relay has told it who stands.
void PlannerCore::startOver(const std::string& why) {
    log_("module", "the module failed and starts over: " + why);
    module_ = make_();
    timers_ = {};
    startsOver_ = true;
    outlets_.startedOver();
}

void PlannerCore::carryOut(Micros now, const std::vector<Action>& actions) {
    if (beliefs_) {
        beliefs_->ordered(actions);
        if (const auto line = beliefs_->line(now)) log_("beliefs", *line);
    }
    std::vector<protocol::Order> orders;
    for (const Action& action : actions) {
        if (const auto* timer = std::get_if<ArmTimer>(&action)) {
            timers_.push({now + timer->delay, timer->tag});
        } else if (const auto* probe = std::get_if<Probe>(&action)) {
            outlets_.probe(probe->server, translator_.endpoint(probe->server));
        } else if (std::holds_alternative<FetchList>(action)) {
            outlets_.fetchList();
        } else if (const auto* line = std::get_if<Log>(&action)) {
            log_("module", line->text);
        } else if (!junction_) {
            if (auto order = translator_.named(action)) orders.push_back(std::move(*order));
        }
    }
    if (junction_) return junction_->turned(actions, now);
    if (orders.empty()) return;
    if (outlets_.orders) return outlets_.orders(orders, audience_.of(orders));
    OrderCall call{{}, translator_.linesAtMost(actions), audience_.of(orders)};
    for (const protocol::Order& order : orders) call.orders.push_back(translator_.text(order));
    outlets_.call(std::move(call), kForGood);
}

}  // namespace marldale::routing
