// Simulates a controller's event loop under hundreds of changes in virtual time, with the real distributor,
// schedule and slices and a cost for each step.
#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <random>

#include "gateway/distribution/configuration_resources.h"
#include "gateway/distribution/distribution_loop.h"
#include "gateway/log/loop_lateness.h"

namespace marldale::distribution {
namespace {

constexpr Micros kApply = 2000000, kHeartbeatEvery = 300000, kChangeEvery = 50000;
constexpr std::size_t kProxies = 73, kRoutes = 600, kChanges = 300;

// The duration of each step in microseconds on a controller with 0.15 of a core, rounded up from the results
// of `make measure-capacity` on a whole core.
struct StepCosts {
    Micros change = 10000;  // parsing and comparing a text with 600 routes
    Micros turn = 500;      // one turn of the distributor
    Micros resource = 20;   // adding a resource to a batch
    Micros frame = 100;     // passing a frame to the kernel
    Micros frameByte = 0;   // nanoseconds per byte of a frame
    Micros acknowledgement = 150;
    Micros heartbeat = 1000;
    Micros comparison = 0;  // of one resource for one proxy, in each turn and change
};

class VirtualLoop {
public:
    [[nodiscard]] Micros now() const { return now_; }
    void spend(Micros time) { now_ += time; }
    void post(std::function<void()> step) { ready_.push_back(std::move(step)); }
    void at(Micros due, std::function<void()> step) { later_.emplace(due, std::move(step)); }
    // Runs ready steps in order, as an event loop does; steps that become due are appended between two
    // steps.
    void runUntil(Micros end) {
        while (now_ < end) {
            while (!later_.empty() && later_.begin()->first <= now_) {
                ready_.push_back(std::move(later_.begin()->second));
                later_.erase(later_.begin());
            }
            if (!ready_.empty()) {
                const auto step = std::move(ready_.front());
                ready_.pop_front();
                step();
            } else if (later_.empty()) {
                return;
            } else {
                now_ = later_.begin()->first;
            }
        }
    }

private:
    Micros now_ = 0;
    std::deque<std::function<void()>> ready_;
    std::multimap<Micros, std::function<void()>> later_;
};

configuration::Configuration configurationOf(const std::vector<unsigned>& tries) {
    std::vector<proto::RouteResource> routes(tries.size());
    for (std::size_t k = 0; k < tries.size(); ++k) {
        routes[k].set_host_name("host-" + std::to_string(k));
        routes[k].set_path_start("/");
        routes[k].set_tries(tries[k]);
    }
    configuration::Configuration out;
    out.routes = std::move(routes);
    return out;
}

class VirtualController : public DistributionHost {
public:
    VirtualController(const StepCosts& costs, Outbox::Slice slice)
        : loop_(*this, kApply, slice), costs_(costs) {
        tries_.assign(kRoutes, 1);
        apply();
        armHeartbeat();
    }

    // ---- Events ----
    void join() {
        const ProxyId proxy = ++lastProxy_;
        proxies_[proxy];
        distributor_.join(proxy, "zone-" + std::to_string(proxy % 3));
        loop_.schedule.requestUrgent(now());
        loop_.wake();
    }
    void leaveFirst() {
        const ProxyId proxy = proxies_.begin()->first;
        proxies_.erase(proxy);
        distributor_.leave(proxy);
    }
    void change(std::size_t number) {
        virtualLoop.spend(costs_.change);
        compareAll();
        const std::size_t route = number * 7 % kRoutes;
        tries_[route] = 2 + static_cast<unsigned>(number);
        changes_.push_back({route, tries_[route], now()});
        apply();
    }
    // All further acknowledgements of the proxy are lost.
    void silence(ProxyId proxy) { silent_.insert(proxy); }

    // ---- Results ----
    Micros worstHeartbeat = 0;
    std::size_t frames = 0;
    VirtualLoop virtualLoop;
    [[nodiscard]] Micros worstUntilInForce() const {
        Micros worst = 0;
        for (const Change& change : changes_) {
            for (const auto& [proxy, held] : proxies_) {
                const auto at = held.inForce.find({change.route, change.tries});
                // A later change of the same route or a fresh copy may have superseded this change.
                Micros seen = at == held.inForce.end() ? INT64_MAX : at->second;
                if (held.joinedAt > change.at) seen = 0;
                for (const auto& [what, when] : held.inForce) {
                    if (what.first == change.route && what.second > change.tries) seen = std::min(seen, when);
                }
                worst = std::max(worst, seen == INT64_MAX ? seen : seen - change.at);
            }
        }
        return worst;
    }
    [[nodiscard]] const log::LoopLateness& lateness() const { return lateness_; }

private:
    struct Change {
        std::size_t route = 0;
        unsigned tries = 0;
        Micros at = 0;
    };
    struct Proxy {
        Micros joinedAt = 0;
        std::map<std::pair<std::size_t, unsigned>, Micros> inForce;
    };

    [[nodiscard]] Micros now() const override { return virtualLoop.now(); }
    void post(std::function<void()> step) override { virtualLoop.post(std::move(step)); }
    [[nodiscard]] Micros timersDue() const override { return nextHeartbeat_; }
    void runTimers() override {
        const Micros late = now() - nextHeartbeat_;
        if (late < 0) return;
        worstHeartbeat = std::max(worstHeartbeat, late);
        (void)lateness_.ran(nextHeartbeat_, now());
        nextHeartbeat_ = now() + kHeartbeatEvery;
        virtualLoop.spend(costs_.heartbeat);
        armHeartbeat();
    }
    void armHeartbeat() {
        virtualLoop.at(nextHeartbeat_, [this] { runTimers(); });
    }
    void wakeAt(Micros due) {
        if (due == INT64_MAX) return;
        virtualLoop.at(due, [this] { loop_.wake(); });
    }
    void compareAll() {
        virtualLoop.spend(costs_.comparison * static_cast<Micros>(kRoutes * proxies_.size()));
    }
    void apply() {
        const proto::BudgetResource budget;
        const std::set<std::string> emptied;
        resources_.update({configurationOf(tries_), emptied, budget, true});
        loop_.schedule.request(now());
        loop_.wake();
        wakeAt(loop_.nextDue());
    }
    void distribute(Micros turn) override {
        virtualLoop.spend(costs_.turn);
        compareAll();
        for (const ResourceDistributor::Batch& batch : distributor_.turn(turn)) {
            virtualLoop.spend(costs_.resource * static_cast<Micros>(batch.lines.size()));
            proto::ResourceBatch message;
            message.set_mark(batch.mark);
            for (const proto::Resource& line : batch.lines) *message.add_resources() = line;
            const auto bytes = std::make_shared<const std::string>(message.SerializeAsString());
            for (const ProxyId proxy : batch.proxies) loop_.outbox.add({proxy, bytes, 0});
        }
        if (distributor_.nextDue() != INT64_MAX) loop_.schedule.requestAt(distributor_.nextDue());
        wakeAt(loop_.nextDue());
    }
    [[nodiscard]] Micros modulesDue() const override { return INT64_MAX; }
    void runModules(Micros /*now*/) override {}
    void send(const OutgoingFrame& frame) override {
        virtualLoop.spend(costs_.frame + costs_.frameByte * static_cast<Micros>(frame.bytes->size()) / 1000);
        ++frames;
        const auto at = proxies_.find(frame.proxy);
        if (at == proxies_.end()) return;
        proto::ResourceBatch message;
        REQUIRE(message.ParseFromString(*frame.bytes));
        constexpr Micros kOneWayDelayUs = 2000;
        if (at->second.joinedAt == 0) at->second.joinedAt = now() + kOneWayDelayUs;
        for (const proto::Resource& line : message.resources()) {
            if (!line.has_route()) continue;
            const auto route = static_cast<std::size_t>(std::stoul(line.route().host_name().substr(5)));
            at->second.inForce.emplace(std::pair(route, line.route().tries()), now() + kOneWayDelayUs);
        }
        if (silent_.count(frame.proxy) != 0) return;
        // The delay includes the processing on an edge proxy with a tenth of a core.
        const Micros delay = 2 * kOneWayDelayUs + static_cast<Micros>(random_() % 40000);
        virtualLoop.at(now() + delay, [this, proxy = frame.proxy, mark = message.mark()] {
            virtualLoop.spend(costs_.acknowledgement);
            distributor_.answered(proxy, mark);
            loop_.schedule.request(now());
            loop_.wake();
            wakeAt(loop_.nextDue());
        });
    }

    ResourceDistributor distributor_;
    ConfigurationResources resources_{distributor_};
    DistributionLoop loop_;
    StepCosts costs_;
    std::vector<unsigned> tries_;
    std::vector<Change> changes_;
    std::map<ProxyId, Proxy> proxies_;
    std::set<ProxyId> silent_;
    ProxyId lastProxy_ = 0;
    Micros nextHeartbeat_ = kHeartbeatEvery;
    log::LoopLateness lateness_;
    std::mt19937_64 random_{1};
};

struct Outcome {
    Micros heartbeat = 0, inForce = 0, lateness = 0;
    std::size_t frames = 0;
};

// All proxies join at once, then 20 changes per second follow. Meanwhile a third of the proxies reconnect and
// one stops acknowledging.
Outcome simulateChanges(const StepCosts& costs, Outbox::Slice slice) {
    VirtualController controller(costs, slice);
    VirtualLoop& loop = controller.virtualLoop;
    for (std::size_t k = 0; k < kProxies; ++k) loop.at(1000, [&] { controller.join(); });
    constexpr Micros kFirstChange = 1000000;
    for (std::size_t k = 0; k < kChanges; ++k)
        loop.at(kFirstChange + static_cast<Micros>(k) * kChangeEvery, [&, k] { controller.change(k); });
    for (std::size_t k = 0; k < kProxies / 3; ++k) {
        loop.at(6000000, [&] {
            controller.leaveFirst();
            controller.join();
        });
    }
    loop.at(9000000, [&] { controller.silence(kProxies); });
    loop.runUntil(kFirstChange + static_cast<Micros>(kChanges) * kChangeEvery + 2 * kApply);
    return {controller.worstHeartbeat, controller.worstUntilInForce(),
            controller.lateness().worst(loop.now()), controller.frames};
}

// The time for a slice, the longest other step (a change) and the acknowledgements and requests that are
// ready.
constexpr Micros kMaxHeartbeatDelayUs = 50000;

}  // namespace

TEST_CASE("Hundreds of changes are in force within the apply time without delaying heartbeats", "[load]") {
    const Outcome outcome = simulateChanges({}, {});
    CAPTURE(outcome.heartbeat, outcome.inForce, outcome.frames);
    CHECK(outcome.heartbeat <= kMaxHeartbeatDelayUs);
    CHECK(outcome.inForce <= kApply);
    // Changes are merged: fewer than half as many frames as changes times proxies.
    CHECK(outcome.frames < kChanges * kProxies / 2);
}

TEST_CASE("Comparing all resources for all proxies is detected as too slow", "[load]") {
    StepCosts costs;
    costs.comparison = 3;  // about 0.4 us on a whole core
    const Outcome outcome = simulateChanges(costs, {});
    CAPTURE(outcome.heartbeat, outcome.inForce);
    CHECK(outcome.heartbeat > kMaxHeartbeatDelayUs);
    CHECK(outcome.inForce > kApply);
}

TEST_CASE("Sending copies to all proxies without slices is detected to delay heartbeats", "[load]") {
    StepCosts costs;
    costs.frame = 3000;  // large frames
    const Outcome sliced = simulateChanges(costs, {});
    const Outcome unsliced = simulateChanges(costs, {INT64_MAX / 2, SIZE_MAX});
    CAPTURE(sliced.heartbeat, unsliced.heartbeat);
    CHECK(sliced.heartbeat <= kMaxHeartbeatDelayUs);
    CHECK(unsliced.heartbeat > kMaxHeartbeatDelayUs);
}

TEST_CASE("A change is distributed at once when idle and once per interval under load", "[load]") {
    DistributionSchedule schedule(kApply);
    CHECK(schedule.nextDue() == INT64_MAX);
    schedule.request(5000000);
    CHECK(schedule.due(5000000));
    schedule.recordTurn(5000000);
    CHECK_FALSE(schedule.due(INT64_MAX - 1));
    schedule.request(5010000);
    CHECK_FALSE(schedule.due(5010000));
    CHECK(schedule.nextDue() == 5000000 + schedule.interval());
    CHECK(schedule.interval() * 10 <= kApply);
    schedule.requestUrgent(5020000);
    CHECK(schedule.due(5020000));
    schedule.recordTurn(5020000);
    schedule.requestAt(5500000);
    CHECK(schedule.nextDue() == 5500000);
}

TEST_CASE("The loop lateness is the maximum over a window and is reported at a limited rate", "[load]") {
    log::LoopLateness lateness({1000000, 50000, 200000});
    CHECK_FALSE(lateness.ran(100, 200).has_value());
    CHECK(lateness.worst(300) == 100);
    CHECK(lateness.ran(1000, 91000) == 90000);
    CHECK_FALSE(lateness.ran(100000, 180000).has_value());  // too soon after the last report
    CHECK(lateness.ran(299000, 300000) == 80000);           // reported later
    CHECK(lateness.worst(900000) == 90000);
    CHECK(lateness.worst(1500000) == 90000);  // from the previous window
    CHECK(lateness.worst(3000000) == 0);
    CHECK_FALSE(lateness.ran(3000000, 2999990).has_value());  // early timers do not count as late
    CHECK(lateness.worst(3000000) == 0);
}

}  // namespace marldale::distribution
