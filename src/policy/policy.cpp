/// One turn of the planner, composed of servers.h, health.h, weights.h, levels.h, distribution.h, tables.h,
/// joins.h and slices.h. Each of these holds the state and constants of its decisions.
#include "policy/policy.h"

#include "policy/joins.h"
#include "policy/slices.h"

namespace marldale {

struct Planner::State {
    explicit State(Settings settings) : ctx{std::move(settings)} {}

    policy::Context ctx;
    policy::ReportCadence cadence{ctx};
    policy::HealthTracker health{ctx, cadence};
    policy::Weights weights{ctx, health};
    policy::Servers servers{ctx, health, weights};
    policy::Levels levels{ctx, cadence};
    policy::Tables tables{{ctx}, servers, levels};
    policy::Joins joins{ctx, levels, tables};
    policy::SliceAssigner slices{ctx, tables};
    Micros nextTick = 0;
    bool runPending = true;  // an event may need orders before the next tick

    void on(const ServerListUpdate& update) { servers.on(update); }
    void on(const ServerStats& r) {
        ++cadence.received;
        if (!ctx.fleet.count(r.server)) return;
        cadence.record(r);
        // Failures of a broken link say nothing about the servers behind it.
        if (health.linkFactor(r.fromZone, ctx.fleet.at(r.server).entry.zone) == 1) {
            weights.record(r);
            levels.record(r);
        }
        health.record(r);
    }
    void on(const ProxyDemand& d) { levels.on(d); }
    void on(const Ceiling& c) { levels.on(c); }
    void on(const ProxyJoined& j) { joins.on(j); }
    void on(const ProxyLeft& l) { joins.on(l); }
    void on(const SliceAssignment& g) { slices.on(g); }
    void on(const SliceLine& l) { slices.on(l); }
    void on(const Acknowledged& a) {
        const auto acknowledgement = tables.distribution.acknowledge(a.proxy, a.mark, 0xffffU);
        if (acknowledgement.turn) tables.channel.acknowledge(*acknowledgement.turn);
        runPending = runPending || acknowledgement.over;
    }
    void on(const auto& /*event*/) {}  // timers only cause a turn; the other events are unused

    void runTables() {
        levels.current = levels.computeLevels();
        joins.openZones = ctx.warmZones();
        servers.assignSubsets();
        tables.contents.clear();
        joins.bindJoins();
        joins.rebindMoved();
        tables.distribution.run();
    }
    void turn(const std::vector<Event>& events) {
        tables.distribution.now = ctx.now;
        if (tables.distribution.turn == 0) servers.subscribeToList();
        for (const Event& event : events) {
            runPending = runPending || std::holds_alternative<ServerListUpdate>(event) ||
                         std::holds_alternative<ProxyJoined>(event);
            std::visit([this](const auto& e) { on(e); }, event);
        }
        tables.open();
        if (ctx.now >= nextTick) {
            cadence.tick();
            levels.decay();
            health.evaluate(levels.overloaded);
            servers.updateColdFactor();
            weights.updateLatencyFactors();
            levels.updateLimit();
            weights.updateSpillovers();
            if (ctx.subsets.members.size() > 1) servers.rebalanceSubsets(levels.demands);
            servers.removeGone([this](ServerId id) { return tables.distribution.anyHolds(id); });
            nextTick = ctx.now + policy::kTickInterval;
            ctx.actions.push_back(ArmTimer{policy::kTickInterval, 0});
            runPending = true;
        }
        if (runPending) {
            tables.withdraw(joins.joined);
            ctx.settings.shards > 0 ? slices.run() : runTables();
            runPending = false;
        }
        tables.close(tables.distribution.turn++);
    }
};

Planner::Planner(Settings settings) : state_(std::make_unique<State>(std::move(settings))) {}
Planner::~Planner() = default;
Planner::Planner(Planner&&) noexcept = default;
Planner& Planner::operator=(Planner&&) noexcept = default;

std::vector<Action> Planner::turn(Micros now, const std::vector<Event>& events) {
    state_->ctx.now = now;
    state_->ctx.actions.clear();
    state_->turn(events);
    return std::move(state_->ctx.actions);
}

}  // namespace marldale
