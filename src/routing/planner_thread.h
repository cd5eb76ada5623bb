// The thread that owns the module. One turn is one call to the relay, and no turn starts while a call is out:
// events gather meanwhile, and none of our orders pile up stale.
#pragma once

#include <functional>
#include <queue>
#include <string>
#include <thread>
#include <vector>

#include "policy/policy.h"
#include "routing/beliefs.h"
#include "routing/clock.h"
#include "routing/event_queue.h"
#include "routing/translator.h"

namespace marldale::routing {

class PlannerThread {
public:
    // Called in the module's thread; what they start belongs to the sockets' thread.
    struct Outlets {
        std::function<void(std::vector<std::string> orders, double linesAtMost)> call;
        std::function<void(ServerId, std::string endpoint)> probe;
        std::function<void()> fetchList;
        std::function<void()> startedOver;  // the module has lost its proxies: they must be told anew
    };

    using Module = std::function<std::vector<Action>(Micros now, const std::vector<Event>& events)>;
    using MakeModule = std::function<Module()>;

    // Returns once the module stands with the known list.
    PlannerThread(const protocol::Config& config, Outlets outlets, Logger log);
    PlannerThread(const protocol::Config& config, MakeModule make, Outlets outlets, Logger log);
    ~PlannerThread();
    PlannerThread(const PlannerThread&) = delete;
    PlannerThread& operator=(const PlannerThread&) = delete;

    // From the sockets' thread. False if there is no room.
    [[nodiscard]] bool post(Input input);
    void callEnded() { queue_.release(); }

private:
    struct Due {
        SteadyTime at;
        std::uint64_t tag = 0;
        bool operator>(const Due& other) const { return at > other.at; }
    };

    void run();
    void turn(SteadyTime now, std::vector<Event> events);
    void startOver(const std::string& why);
    void carryOut(SteadyTime now, const std::vector<Action>& actions);

    const MakeModule make_;
    const Outlets outlets_;
    const Logger log_;
    const Clock clock_;
    Translator translator_;
    Module module_;
    const std::unique_ptr<Beliefs> beliefs_;  // what the module holds, for the log; only if it is asked for
    bool startsOver_ = false;                 // the module is new and has to be told the list
    std::priority_queue<Due, std::vector<Due>, std::greater<>> timers_;
    EventQueue<Input> queue_;
    std::thread thread_;
};

}  // namespace marldale::routing
