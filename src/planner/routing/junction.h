// Where several fronts meet the one module: their inputs become one stream of events, its orders go to every
// lane that they concern. It belongs to the module's thread and does no I/O. Where the platform's front is
// the only one it does not exist.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "dispatch/dispatcher.h"
#include "membership/proxy_owners.h"
#include "membership/source_arbiter.h"
#include "routing/inputs.h"
#include "routing/logger.h"
#include "routing/send_guard.h"
#include "routing/translator.h"

namespace marldale::routing {

struct JunctionRules {
    membership::ArbiterRules arbiter;
    dispatch::DispatchRules dispatch;
};

// The rules that follow from the platform's configuration.
[[nodiscard]] JunctionRules junctionRules(const protocol::Config& config, std::uint64_t epoch);

// What a front is asked to do on one of its lanes.
struct ReleaseProxy {
    LaneId lane = 0;
    ProxyId proxy = 0;
};
using FrontCommand = std::variant<dispatch::Welcome, dispatch::SendBatch, dispatch::EndLane, ReleaseProxy>;

class Junction {
public:
    struct Outlets {
        // To the platform's relay. The module goes on when it is settled, or after `holdFor` at the latest.
        std::function<void(OrderCall, Micros holdFor)> call;
        std::function<void(std::vector<FrontCommand> commands)> front;
    };

    Junction(const protocol::Config& config, JunctionRules rules, Translator& translator, Outlets outlets,
             const Logger& log);

    // Appends the module's events for one input of any front.
    void events(const Input& input, Micros now, std::vector<Event>& out);
    // Events of one moment in an order that does not depend on which front was faster.
    static void arrange(std::vector<Event>& events);

    // A turn's actions; those that are no orders are left out.
    void turned(const std::vector<Action>& actions, Micros now);
    // The platform's call is settled.
    void callSettled(Micros now);
    // What time has brought: it may give events.
    void due(Micros now, std::vector<Event>& out);
    [[nodiscard]] std::optional<Micros> nextDue() const;

    // The module has lost everything: who is joined, told anew; and what was ordered counts no more.
    void startOver(std::vector<Event>& out);

    [[nodiscard]] const dispatch::Dispatcher& dispatcher() const { return dispatcher_; }
    [[nodiscard]] const membership::SourceArbiter& arbiter() const { return arbiter_; }
    [[nodiscard]] const membership::ProxyOwners& owners() const { return owners_; }

private:
    struct Load {
        LoadReport report;
        Micros at = 0;
    };

    void news(LaneId lane, const protocol::News& news, Micros now, std::vector<Event>& out);
    void carryOver(const std::vector<membership::OwnershipEvent>& news, std::vector<Event>& out);
    void row(SourceId source, const protocol::Report& report, Micros now, std::vector<Event>& out);
    void box(const BoxLoads& box, Micros now);
    void sweep(Micros now);
    void carryOut();
    void call(const dispatch::Batch& batch, Micros holdFor);

    const std::vector<std::string> classes_;
    const double envelopeLines_;
    const Micros loadHolds_;  // a box's own word on its load, for rows that carry none
    Translator& translator_;
    const Outlets outlets_;
    const Logger log_;
    membership::SourceArbiter arbiter_;
    membership::ProxyOwners owners_;
    dispatch::Dispatcher dispatcher_;
    std::map<ServerId, Load> loads_;
    std::map<ProxyId, membership::JoinedOnLane> joined_;
    std::vector<FrontCommand> commands_;
    Micros nextSweep_ = 0;
    Micros now_ = 0;
};

}  // namespace marldale::routing
