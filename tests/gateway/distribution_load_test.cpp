// A controller's event loop under hundreds of changes, in virtual time: the real distributor, schedule and
// slices, with a price for each step.
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

// Time that steps take on a controller with 0.15 of a core, rounded up from what `make measure-capacity`
// measures on a whole one.
struct Prices {
    Micros change = 10000;  // a text of 600 routes is read and compared
    Micros turn = 500;      // of the distributor
    Micros resource = 20;   // made into a batch, once for each batch
    Micros frame = 100;     // handed to the kernel
    Micros frameByte = 0;   // in nanoseconds
    Micros acknowledgement = 150;
    Micros heartbeat = 1000;
    Micros comparison = 0;  // of one resource for one proxy, each turn and change
};

class VirtualLoop {
public:
    [[nodiscard]] Micros now() const { return now_; }
    void spend(Micros time) { now_ += time; }
    void post(std::function<void()> step) { ready_.push_back(std::move(step)); }
    void at(Micros due, std::function<void()> step) { later_.emplace(due, std::move(step)); }
    // As an event loop does: what is ready runs in its order, and between two steps what has come joins its
    // end.
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
    VirtualController(const Prices& prices, Outbox::Slice slice)
        : loop_(*this, kApply, slice), prices_(prices) {
        tries_.assign(kRoutes, 1);
        apply();
        armHeartbeat();
    }

    // ---- what happens to it ----
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
        virtualLoop.spend(prices_.change);
        compareAll();
        const std::size_t route = number * 7 % kRoutes;
        tries_[route] = 2 + static_cast<unsigned>(number);
        changes_.push_back({route, tries_[route], now()});
        apply();
    }
    // Its proxies' answers get lost from now on.
    void silence(ProxyId proxy) { silent_.insert(proxy); }

    // ---- what is asked of it ----
    Micros worstHeartbeat = 0;
    std::size_t frames = 0;
    VirtualLoop virtualLoop;
    [[nodiscard]] Micros worstUntilInForce() const {
        Micros worst = 0;
        for (const Change& change : changes_) {
            for (const auto& [proxy, held] : proxies_) {
                const auto at = held.inForce.find({change.route, change.tries});
                // A newer change of the same route, or a fresh copy, may have brought more at once.
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
        virtualLoop.spend(prices_.heartbeat);
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
        virtualLoop.spend(prices_.comparison * static_cast<Micros>(kRoutes * proxies_.size()));
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
        virtualLoop.spend(prices_.turn);
        compareAll();
        for (const ResourceDistributor::Batch& batch : distributor_.turn(turn)) {
            virtualLoop.spend(prices_.resource * static_cast<Micros>(batch.lines.size()));
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
        virtualLoop.spend(prices_.frame +
                          prices_.frameByte * static_cast<Micros>(frame.bytes->size()) / 1000);
        ++frames;
        const auto at = proxies_.find(frame.proxy);
        if (at == proxies_.end()) return;
        proto::ResourceBatch message;
        REQUIRE(message.ParseFromString(*frame.bytes));
        constexpr Micros kWay = 2000;
        if (at->second.joinedAt == 0) at->second.joinedAt = now() + kWay;
        for (const proto::Resource& line : message.resources()) {
            if (!line.has_route()) continue;
            const auto route = static_cast<std::size_t>(std::stoul(line.route().host_name().substr(5)));
            at->second.inForce.emplace(std::pair(route, line.route().tries()), now() + kWay);
        }
        if (silent_.count(frame.proxy) != 0) return;
        // An edge proxy has a tenth of a core.
        const Micros takes = 2 * kWay + static_cast<Micros>(draw_() % 40000);
        virtualLoop.at(now() + takes, [this, proxy = frame.proxy, mark = message.mark()] {
            virtualLoop.spend(prices_.acknowledgement);
            distributor_.answered(proxy, mark);
            loop_.schedule.request(now());
            loop_.wake();
            wakeAt(loop_.nextDue());
        });
    }

    ResourceDistributor distributor_;
    ConfigurationResources resources_{distributor_};
    DistributionLoop loop_;
    Prices prices_;
    std::vector<unsigned> tries_;
    std::vector<Change> changes_;
    std::map<ProxyId, Proxy> proxies_;
    std::set<ProxyId> silent_;
    ProxyId lastProxy_ = 0;
    Micros nextHeartbeat_ = kHeartbeatEvery;
    log::LoopLateness lateness_;
    std::mt19937_64 draw_{1};
};

struct Outcome {
    Micros heartbeat = 0, inForce = 0, lateness = 0;
    std::size_t frames = 0;
};

// All proxies come at once; 20 changes a second follow; in their midst a third of the proxies comes again,
// and one stops answering.
Outcome hundredsOfChanges(const Prices& prices, Outbox::Slice slice) {
    VirtualController controller(prices, slice);
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

// A slice, the longest of the other steps (a change), and the answers and calls that are ready beside it.
constexpr Micros kLateAtMost = 50000;

}  // namespace

TEST_CASE("Hundreds of changes are in force within apply, and no heartbeat waits for them", "[load]") {
    const Outcome outcome = hundredsOfChanges({}, {});
    CAPTURE(outcome.heartbeat, outcome.inForce, outcome.frames);
    CHECK(outcome.heartbeat <= kLateAtMost);
    CHECK(outcome.inForce <= kApply);
    // Changes merge: fewer frames than half of one for each change and proxy.
    CHECK(outcome.frames < kChanges * kProxies / 2);
}

TEST_CASE("What starved a controller is found: comparing all for all proxies", "[load]") {
    Prices prices;
    prices.comparison = 3;  // microseconds: some 0.4 on a whole core
    const Outcome outcome = hundredsOfChanges(prices, {});
    CAPTURE(outcome.heartbeat, outcome.inForce);
    CHECK(outcome.heartbeat > kLateAtMost);
    CHECK(outcome.inForce > kApply);
}

TEST_CASE("Copies for all proxies in one piece are found to hold heartbeats up", "[load]") {
    Prices prices;
    prices.frame = 3000;  // large frames
    const Outcome sliced = hundredsOfChanges(prices, {});
    const Outcome whole = hundredsOfChanges(prices, {INT64_MAX / 2, SIZE_MAX});
    CAPTURE(sliced.heartbeat, whole.heartbeat);
    CHECK(sliced.heartbeat <= kLateAtMost);
    CHECK(whole.heartbeat > kLateAtMost);
}

TEST_CASE("Idle, a change goes out at once; under load, once in an interval", "[load]") {
    DistributionSchedule schedule(kApply);
    CHECK(schedule.nextDue() == INT64_MAX);
    schedule.request(5000000);
    CHECK(schedule.due(5000000));
    schedule.ran(5000000);
    CHECK_FALSE(schedule.due(INT64_MAX - 1));
    schedule.request(5010000);
    CHECK_FALSE(schedule.due(5010000));
    CHECK(schedule.nextDue() == 5000000 + schedule.interval());
    CHECK(schedule.interval() * 10 <= kApply);
    schedule.requestUrgent(5020000);
    CHECK(schedule.due(5020000));
    schedule.ran(5020000);
    schedule.requestAt(5500000);
    CHECK(schedule.nextDue() == 5500000);
}

TEST_CASE("How late the loop was is the most over a window, and is reported seldom", "[load]") {
    log::LoopLateness lateness({1000000, 50000, 200000});
    CHECK_FALSE(lateness.ran(100, 200).has_value());
    CHECK(lateness.worst(300) == 100);
    CHECK(lateness.ran(1000, 91000) == 90000);
    CHECK_FALSE(lateness.ran(100000, 180000).has_value());  // too soon after the last report
    CHECK(lateness.ran(299000, 300000) == 80000);           // told later
    CHECK(lateness.worst(900000) == 90000);
    CHECK(lateness.worst(1500000) == 90000);  // of the window before
    CHECK(lateness.worst(3000000) == 0);
    CHECK_FALSE(lateness.ran(3000000, 2999990).has_value());  // early is not late
    CHECK(lateness.worst(3000000) == 0);
}

}  // namespace marldale::distribution
