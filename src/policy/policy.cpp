// marldale's decisions, part by part: servers.h, health.h, weights.h, levels.h, distribution.h, tables.h,
// joins.h, slices.h, each with its state and tuned values. Here they are put together, turn by turn.
#include "policy/policy.h"

#include "policy/joins.h"
#include "policy/slices.h"

namespace marldale {

struct Planner::State {
    explicit State(Settings settings) : in{std::move(settings)} {}

    policy::View in;
    policy::Cadence cadence{in};
    policy::HealthBook health{in, cadence};
    policy::Weights weights{in, health};
    policy::Servers servers{in, health, weights};
    policy::Levels levels{in, cadence};
    policy::Tables tables{{in}, servers, levels};
    policy::Joins joins{in, levels, tables};
    policy::SliceKeeper slices{in, tables};
    Micros nextTick = 0;
    bool due = true;  // something came that may call for orders; else they wait for the tick

    void on(const ServerListUpdate& news) { servers.on(news); }
    void on(const ServerStats& r) {
        ++cadence.told;
        if (!in.fleet.count(r.server)) return;
        cadence.note(r);
        // What a broken link does is no sign of the servers behind it.
        if (health.linkOf(r.fromZone, in.fleet.at(r.server).entry.zone) == 1) {
            weights.note(r);
            levels.note(r);
        }
        health.note(r);
    }
    void on(const ProxyDemand& d) { levels.on(d); }
    void on(const Ceiling& c) { levels.on(c); }
    void on(const ProxyJoined& j) { joins.on(j); }
    void on(const ProxyLeft& l) { joins.on(l); }
    void on(const SliceAssignment& g) { slices.on(g); }
    void on(const SliceLine& l) { slices.on(l); }
    void on(const Acknowledged& a) {
        const auto answer = tables.lines.acknowledge(a.proxy, a.mark, 0xffffU);
        if (answer.turn) tables.channel.reached(*answer.turn);
        due = due || answer.over;
    }
    void on(const auto& /*event*/) {}  // our timers only wake us; no decision needs the other events yet

    void runTables() {
        levels.now = levels.levelsNow();
        joins.open = in.openZones();
        servers.deal();
        tables.contents.clear();
        joins.bindJoined();
        joins.rebind();
        tables.lines.run();
    }
    void turn(const std::vector<Event>& events) {
        tables.lines.now = in.now;
        if (tables.lines.turn == 0) servers.askForList();
        for (const Event& event : events) {
            due = due || std::holds_alternative<ServerListUpdate>(event) ||
                  std::holds_alternative<ProxyJoined>(event);
            std::visit([this](const auto& e) { on(e); }, event);
        }
        tables.open();
        if (in.now >= nextTick) {
            cadence.tick();
            levels.fade();
            health.judge(levels.overloaded);
            servers.noteAnswered();
            weights.shift();
            levels.setLimit();
            weights.spread();
            if (in.columns.members.size() > 1) servers.even(levels.demands);
            servers.bury([this](ServerId id) { return tables.lines.anyHolds(id); });
            nextTick = in.now + policy::kTick;
            in.out.push_back(ArmTimer{policy::kTick, 0});
            due = true;
        }
        if (due) {
            tables.withdraw(joins.joined);
            in.set.shards > 0 ? slices.run() : runTables();
            due = false;
        }
        tables.close(tables.lines.turn++);
    }
};

Planner::Planner(Settings settings) : state_(std::make_unique<State>(std::move(settings))) {}
Planner::~Planner() = default;
Planner::Planner(Planner&&) noexcept = default;
Planner& Planner::operator=(Planner&&) noexcept = default;

std::vector<Action> Planner::turn(Micros now, const std::vector<Event>& events) {
    state_->in.now = now;
    state_->in.out.clear();
    state_->turn(events);
    return std::move(state_->in.out);
}

}  // namespace marldale
