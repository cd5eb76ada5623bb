// make demo: a planner, stand-in boxes and relays on loopback, a trouble after the other, and the tables that
// follow. Half of the relays take their orders from the platform's relay, the others over gRPC.
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <stdexcept>
#include <thread>

#include "scripted_planner.h"
#include "standin/grpc_party.h"
#include "standin/planner_process.h"

namespace {

using namespace marldale;  // the program's own file, and it names little else
using standin::kMs;
using standin::kSecond;
using standin::Micros;

constexpr Micros kScript = 40 * kSecond, kStep = 50 * kMs, kLineEvery = 2 * kSecond;
constexpr std::uint64_t kRev = 1;
constexpr int kGuests = 10;  // numbers of relays that a reader may join with

std::vector<standin::Trouble> troubles() {
    using Kind = standin::Trouble::Kind;
    return {{Kind::replaceBox, 8 * kSecond, 0, 1},
            {Kind::replaceBox, 10 * kSecond, 0, 14},
            {Kind::failFast, 16 * kSecond, 7 * kSecond, 22},
            {Kind::cutSite, 25 * kSecond, 5 * kSecond, 1},
            {Kind::restartRelays, 32 * kSecond, 0, 30}};
}

Micros wallNow() {
    return std::chrono::duration_cast<std::chrono::microseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

class Demo {
public:
    explicit Demo(const std::string& grpcListen)
        : world_(settings(), troubles()),
          classes_(classesOf(world_)),
          platform_(classes_, kRev),
          listen_("127.0.0.1:" + std::to_string(standin::freePort())),
          planner_(config(), "[grpc]\nlisten = " + grpcListen + "\n"),
          grpc_(planner_.grpcAddress(), classes_, [](int) { return 5; }) {
        platform_.awaitPlanner();
    }

    void play() {
        std::printf("planner: platform %s, gRPC %s; 3 sites, 30 boxes, %d relays, half of them over gRPC\n",
                    listen_.c_str(), planner_.grpcAddress().c_str(), world_.relays());
        std::printf("to join while it runs: %s\n\n", join().c_str());
        std::printf("%5s %9s %8s %6s %7s %8s | %-34s | %s\n", "s", "requests", "served", "late", "failed",
                    "refused", "relay 7 (regina): lines, weight", "what happens");
        start_ = std::chrono::steady_clock::now();
        wallStart_ = wallNow();
        for (Micros now = kStep; now <= kScript; now += kStep) {
            std::this_thread::sleep_until(start_ + std::chrono::microseconds(now));
            for (const auto& word : world_.advance(now)) carry(word);
            flushSums();
            deliver(now);
            if (now % kLineEvery == 0) line(now);
        }
    }

    // A summary, and whether what the demo is to show was shown.
    [[nodiscard]] bool summary() const {
        const auto& f = world_.figures();
        const double served =
            100.0 * static_cast<double>(f.served + f.late) / static_cast<double>(f.requests);
        std::printf(
            "\n%llu requests, %.1f%% served, %llu reserves made, %llu made twice; %zu marks answered; no "
            "relay got more than "
            "%d messages within 10 s\n",
            static_cast<unsigned long long>(f.requests), served, static_cast<unsigned long long>(f.effects),
            static_cast<unsigned long long>(f.secondEffects), marks(),
            world_.mostMessagesWithin(10 * kSecond));
        const bool good = served > 90 && f.secondEffects == 0 && marks() > 100;
        std::printf(good ? "The planner steered through it.\n" : "This is not what was expected.\n");
        return good;
    }

private:
    static standin::WorldSettings settings() {
        standin::WorldSettings out;
        out.relaysPerSite = 20;
        return out;
    }
    static std::vector<std::string> classesOf(const standin::World& world) {
        std::vector<std::string> out;
        for (const auto& k : world.settings().classes) out.push_back(k.name);
        return out;
    }
    [[nodiscard]] std::string config() const {
        bench::ConfigAsk ask;
        ask.relay = platform_.relay();
        ask.discovery = platform_.discovery();
        ask.listen = listen_;
        ask.spareRelays = kGuests;
        return bench::configText(world_, ask);
    }
    [[nodiscard]] std::string join() const {
        return "build/demo/marldale_relay " + planner_.grpcAddress() + " " + std::to_string(world_.relays()) +
               " regina";
    }
    [[nodiscard]] static bool onStream(int relay) { return relay / 5 % 2 == 1; }

    void carry(const standin::Word& word) {
        if (const auto* c = std::get_if<standin::ListChange>(&word)) {
            auto change = *c;  // a box's boot in the time of the platform's clock
            if (change.boot > 0) change.boot += wallStart_;
            platform_.list({change});
        } else if (const auto* h = std::get_if<standin::RelayHello>(&word)) {
            onStream(h->relay) ? (void)grpc_.hello(*h) : platform_.hello(*h);
        } else if (const auto* b = std::get_if<standin::RelayBye>(&word)) {
            onStream(b->relay) ? (void)grpc_.bye({b->relay}) : platform_.bye(b->relay);
        } else if (const auto* a = std::get_if<standin::RelayAck>(&word)) {
            onStream(a->relay) ? grpc_.ack(*a) : platform_.ack(*a);
        } else if (const auto* s = std::get_if<standin::SumRow>(&word)) {
            sums_[s->site].push_back(*s);
        } else if (const auto* d = std::get_if<standin::DemandRow>(&word)) {
            demand_[d->site].push_back(*d);
        }
    }
    // The first site's collector speaks the platform's protocol, the others' gRPC.
    void flushSums() {
        for (const std::string& site : world_.settings().sites) {
            const auto sums = std::exchange(sums_[site], {});
            const auto demand = std::exchange(demand_[site], {});
            if (sums.empty() && demand.empty()) continue;
            if (site != world_.settings().sites.front()) {
                grpc_.collect(site, sums, demand);
                continue;
            }
            std::vector<std::string> messages;
            for (const auto& row : sums) messages.push_back(standin::PlatformParty::text(row));
            for (const auto& row : demand) messages.push_back(standin::PlatformParty::text(row));
            platform_.collect(site, listen_, messages);
        }
    }
    void deliver(Micros now) {
        std::vector<standin::Delivered> messages = platform_.take();
        for (auto& m : grpc_.take()) messages.push_back(std::move(m));
        for (auto& m : messages) {
            if (m.relay >= world_.relays()) continue;  // a reader's own
            if (m.relay == kWatched) {
                view_ = m.view;
                shut_ = m.shut;
            }
            world_.message(m.relay, std::move(m.view), std::move(m.shut), m.mark, now);
        }
    }
    void line(Micros now) {
        const auto f = world_.figures();
        const auto of = [](std::uint64_t is, std::uint64_t was) {
            return static_cast<unsigned long long>(is - was);
        };
        std::size_t lines = 0;
        double weight = 0;
        for (const auto& [box, w] : view_[classes_.front()].lines) {
            if (shut_.count(box) != 0) continue;
            ++lines;
            weight += static_cast<double>(w);
        }
        std::string happened;
        const std::string said = world_.said();
        for (std::size_t at = saidBefore_; at < said.size(); ++at)
            happened += said[at] == '\n' ? ' ' : said[at];
        saidBefore_ = said.size();
        char table[64];
        std::snprintf(table, sizeof table, "%zu lines of %.1f, %zu shut out", lines, weight, shut_.size());
        std::printf("%5lld %9llu %8llu %6llu %7llu %8llu | %-34s | %s\n",
                    static_cast<long long>(now / kSecond), of(f.requests, last_.requests),
                    of(f.served, last_.served), of(f.late, last_.late), of(f.failed, last_.failed),
                    of(f.refused, last_.refused), table, happened.c_str());
        std::fflush(stdout);
        last_ = f;
    }
    [[nodiscard]] std::size_t marks() const {
        std::size_t out = 0;
        for (const auto& m : world_.marks()) out += m.size();
        return out;
    }

    static constexpr int kWatched = 7;  // a relay of regina that takes its orders over gRPC
    standin::World world_;
    std::vector<std::string> classes_;
    standin::PlatformParty platform_;
    std::string listen_;
    standin::PlannerProcess planner_;
    standin::GrpcParty grpc_;
    std::map<std::string, std::vector<standin::SumRow>> sums_;
    std::map<std::string, std::vector<standin::DemandRow>> demand_;
    std::chrono::steady_clock::time_point start_;
    Micros wallStart_ = 0;
    standin::View view_;
    std::set<std::string> shut_;
    standin::WorldFigures last_;
    std::size_t saidBefore_ = 0;
};

}  // namespace

int main(int argc, char** argv) {
    try {
        // The gRPC address, for those who want to join: 127.0.0.1:5443 unless another is named.
        Demo demo(argc > 1 ? argv[1] : "127.0.0.1:5443");
        demo.play();
        return demo.summary() ? 0 : 1;
    } catch (const std::exception& e) {
        std::fprintf(stderr, "demo: %s\n", e.what());
        return 1;
    }
}
