// A closed loop: a planner and a proxy that obeys it, beside a proxy whose tables are even and stay so,
// before the same boxes. Two of the six boxes fail for a while; a table and a chart tell what became of the
// requests.
#include <cstdio>
#include <exception>

#include "chart/chart.h"
#include "standin/proxy_fleet.h"

namespace {

using namespace marldale::standin;
using marldale::Micros;
using marldale::ServerState;

constexpr int kTrouble = 6, kOver = 14, kEnd = 20;  // seconds
constexpr double kStep = 0.5;

// What clients of one proxy have met, to be looked at while they ask.
struct Met {
    std::atomic<std::uint64_t> good = 0, bad = 0;
};

// Asks at an even pace, whatever becomes of it: an open loop on four connections.
void ask(std::uint16_t port, Met& met, const std::atomic<bool>& stop, int which) {
    std::unique_ptr<Wire> wire;
    constexpr Micros kEvery = 8000;
    Micros next = steady() + which * kEvery / 4;
    for (std::uint64_t n = 0; !stop; ++n) {
        std::this_thread::sleep_for(std::chrono::microseconds(std::max<Micros>(0, next - steady())));
        next = std::max(next + kEvery, steady());
        if (!wire) wire = std::make_unique<Wire>(Wire::to(port));
        wire->say("GET /image/" + std::to_string(n) + " HTTP/1.1\r\nHost: h\r\n\r\n");
        const std::string head = wire->head();
        const long body = bodyOf(head);
        const bool whole = body >= 0 && !wire->bytes(static_cast<std::size_t>(body)).empty();
        head.starts_with("HTTP/1.1 200") && whole ? ++met.good : ++met.bad;
        if (!whole || head.find("Connection: close") != std::string::npos) wire.reset();
    }
}

double share(std::uint64_t part, std::uint64_t all) {
    return all == 0 ? 1 : static_cast<double>(part) / static_cast<double>(all);
}

int play(const std::string& chartFile) {
    std::atomic<bool> trouble = false;
    ProxyFleet fleet([&](const std::string& uid, std::uint64_t) {
        Manner out;
        if (trouble && (uid == "b1" || uid == "b2")) out.status = 500;
        return out;
    });
    fleet.startPlanner({"b0", "b1", "b2", "b3", "b4", "b5"}, 1);
    LiveProxy steered(fleet), even(fleet, false);
    even.look([](mp::Gateway& g) {
        mp::Orders orders;
        for (int i = 0; i < 6; ++i) orders.byClass["rest"].lines["b" + std::to_string(i)] = 1;
        g.steering().obey(orders, steady());
        return 0;
    });
    steered.await("the first tables", [](mp::Gateway& g) { return g.steering().lines(1) == 6; });
    std::atomic<bool> stop = false;
    Met met[2];
    std::vector<std::thread> clients;
    LiveProxy* const proxies[2] = {&steered, &even};
    for (int p = 0; p < 2; ++p) {
        const std::uint16_t port = proxies[p]->look([](mp::Gateway& g) { return g.port(); });
        for (int i = 0; i < 4; ++i) clients.emplace_back([&, p, port, i] { ask(port, met[p], stop, i); });
    }
    marldale::chart::Chart chart;
    chart.title = "Requests that were served while two of six boxes fail";
    chart.xLabel = "time (s)";
    chart.yLabel = "served (share)";
    chart.note = "6 boxes, 500 requests a second to each proxy, real sockets on loopback";
    chart.bands = {{"b1 and b2 answer 500", kTrouble, kOver}};
    chart.lines = {{"with a planner", {}, true}, {"even tables", {}, true}};
    std::puts(
        "A planner and its proxy beside a proxy with even tables; from 6 s to 14 s two of six boxes answer "
        "500");
    std::puts("   s | with a planner       | even tables  | weight of b1, b2 among all (planner's table)");
    std::uint64_t good[2] = {0, 0}, bad[2] = {0, 0}, saved[2] = {0, 0};
    const Micros began = steady();
    for (int step = 1; step * kStep <= kEnd; ++step) {
        const double t = step * kStep;
        trouble = t > kTrouble && t <= kOver;
        std::this_thread::sleep_for(
            std::chrono::microseconds(std::max<Micros>(0, began + static_cast<Micros>(t * 1e6) - steady())));
        double shown[2] = {0, 0};
        for (int p = 0; p < 2; ++p) {
            const std::uint64_t g = met[p].good - good[p], b = met[p].bad - bad[p];
            good[p] += g;
            bad[p] += b;
            if (t > kTrouble) saved[p] += b;
            shown[p] = share(g, g + b);
            chart.lines[static_cast<std::size_t>(p)].points.emplace_back(t - kStep, shown[p]);
        }
        const auto order =
            steered.look([](mp::Gateway& g) { return g.steering().inForce().byClass["rest"]; });
        double all = 0, failing = 0;
        for (const auto& [uid, weight] : order.lines) {
            all += static_cast<double>(weight);
            if (uid == "b1" || uid == "b2") failing += static_cast<double>(weight);
        }
        if (step % 2 == 0)
            std::printf("%4.0f | %5.1f%%               | %5.1f%%       | %5.1f%%\n", t, 100 * shown[0],
                        100 * shown[1], all > 0 ? 100 * failing / all : 0);
        std::fflush(stdout);
    }
    stop = true;
    for (std::thread& c : clients) c.join();
    marldale::chart::draw(chart, chartFile);
    std::printf(
        "failed since the trouble began: %llu with a planner, %llu with even tables: %lld requests saved; "
        "chart: %s\n",
        static_cast<unsigned long long>(saved[0]), static_cast<unsigned long long>(saved[1]),
        static_cast<long long>(saved[1] - saved[0]), chartFile.c_str());
    const bool better = good[0] > 0 && saved[0] * 3 < saved[1] * 2;
    if (!better) std::puts("BROKEN: the planner's tables did not save a third of them");
    return better ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
    try {
        return play(argc > 1 ? argv[1] : "proxy.svg");
    } catch (const std::exception& e) {
        std::fprintf(stderr, "demo: %s\n", e.what());
        return 2;
    }
}
