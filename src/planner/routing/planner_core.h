// The module with what surrounds it, turn by turn: names and numbers, timers, other fronts. It has no thread,
// no clock and no socket: whoever owns it says what came and what time it is.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <vector>

#include "dispatch/audience.h"
#include "policy/policy.h"
#include "routing/beliefs.h"
#include "routing/clock.h"
#include "routing/inputs.h"
#include "routing/junction.h"
#include "routing/send_guard.h"
#include "routing/translator.h"

namespace marldale::routing {

class PlannerCore {
public:
    // What the module asks for.
    struct Outlets {
        // `holdFor`: no turn until the call has ended, or so much time has passed.
        std::function<void(OrderCall, Micros holdFor)> call;
        std::function<void(ServerId, std::string endpoint)> probe;
        std::function<void()> fetchList;
        std::function<void()> startedOver;  // the module has lost its proxies: they must be told anew
        std::function<void(std::vector<FrontCommand>)> front = {};  // only with a junction
        // In place of `call`: the orders by name, not as text, and whom they concern.
        std::function<void(const std::vector<protocol::Order>&, const std::vector<ProxyId>&)> orders = {};
    };
    static constexpr Micros kForGood = std::numeric_limits<Micros>::max();

    using Module = std::function<std::vector<Action>(Micros now, const std::vector<Event>& events)>;
    using MakeModule = std::function<Module()>;

    // With `junction` other fronts than the platform's may take part.
    PlannerCore(const protocol::Config& config, MakeModule make, Outlets outlets, Logger log,
                std::optional<JunctionRules> junction);

    // The first turn, with the list as it was known before the start.
    void begin(const protocol::Config& config, Micros now);
    // One moment: all that has come, and the timers that are due. No turn if that is nothing.
    void step(const std::vector<Input>& inputs, Micros now);
    // The platform's call has ended.
    void callEnded(Micros now);
    // When the next step is due, whatever comes.
    [[nodiscard]] std::optional<Micros> nextDue() const;

    [[nodiscard]] const Junction* junction() const { return junction_.get(); }

private:
    struct Due {
        Micros at = 0;
        std::uint64_t tag = 0;
        bool operator>(const Due& other) const { return at > other.at; }
    };

    void turn(Micros now, std::vector<Event> events);
    void startOver(const std::string& why);
    void carryOut(Micros now, const std::vector<Action>& actions);

    const MakeModule make_;
    const Outlets outlets_;
    const Logger log_;
    Translator translator_;
    Module module_;
    const std::unique_ptr<Beliefs> beliefs_;  // what the module holds, for the log; only if it is asked for
    std::unique_ptr<Junction> junction_;
    dispatch::Audience audience_;  // of calls, where there is no junction
    bool startsOver_ = false;      // the module is new and has to be told the list
    std::priority_queue<Due, std::vector<Due>, std::greater<>> timers_;
};

// The module of these settings, made anew whenever it is asked for.
[[nodiscard]] PlannerCore::MakeModule plannerOf(const Settings& settings);

}  // namespace marldale::routing
