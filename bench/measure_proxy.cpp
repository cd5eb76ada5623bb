// make measure-proxy: the proxy stranded in the middle of a drain and a rolling restart, and what it costs
// beside a loop that forwards bytes without reading them. Exits with 1 where a promise breaks.
#include <sys/resource.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <future>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "emulator/runs.h"
#include "proxy/planner_side.h"
#include "proxy/scripted.h"
#include "routing/catalog_watch.h"
#include "standin/http_box.h"
#include "standin/live_planner.h"

namespace {

namespace mp = marldale::proxy;
using marldale::Micros;
using marldale::ServerState;
using marldale::proxy::tests::Wire;
using marldale::standin::Arrived;
using marldale::standin::HttpBox;
using marldale::standin::LoopThread;
using marldale::standin::Manner;

bool broken = false;
void promise(bool holds, const std::string& text) {
    std::printf("  %-7s %s\n", holds ? "kept" : "BROKEN", text.c_str());
    std::fflush(stdout);
    broken = broken || !holds;
}

Micros steady() { return mp::Gateway::now(); }

// ---- Clients: each asks, reads one answer, and asks again ----

struct Asked {
    std::uint64_t requests = 0, good = 0, refused = 0, failed = 0, cleanEnds = 0, wrong = 0;
    std::vector<float> ms;
    void add(const Asked& other) {
        requests += other.requests;
        good += other.good;
        refused += other.refused;
        failed += other.failed;
        cleanEnds += other.cleanEnds;
        wrong += other.wrong;
        ms.insert(ms.end(), other.ms.begin(), other.ms.end());
    }
};

// The length of the answer's body; -1: no answer.
long bodyOf(const std::string& head) {
    const auto at = head.find("Content-Length: ");
    return head.empty() || at == std::string::npos ? -1 : std::atol(head.c_str() + at + 16);
}

Asked askUntil(std::uint16_t port, const std::atomic<bool>& stop,
               const std::function<std::string(std::uint64_t)>& request) {
    Asked out;
    std::unique_ptr<Wire> wire;
    while (!stop) {
        if (!wire) wire = std::make_unique<Wire>(Wire::to(port));
        const Micros began = steady();
        wire->say(request(out.requests++));
        const std::string head = wire->head();
        const long body = bodyOf(head);
        const bool whole =
            body >= 0 && wire->bytes(static_cast<std::size_t>(body)).size() == static_cast<std::size_t>(body);
        if (head.empty()) ++out.cleanEnds;
        if (!head.empty() && !whole) ++out.wrong;
        if (whole) {
            const int status = std::atoi(head.c_str() + 9);
            out.good += status == 200 ? 1 : 0;
            out.refused += status == 503 ? 1 : 0;
            out.failed += status != 200 && status != 503 ? 1 : 0;
            out.ms.push_back(static_cast<float>(steady() - began) / 1000);
        }
        if (!whole || head.find("Connection: close") != std::string::npos) wire.reset();
    }
    return out;
}

Asked askFor(std::uint16_t port, unsigned threads, std::atomic<bool>& stop,
             const std::function<std::string(unsigned, std::uint64_t)>& request) {
    std::vector<std::future<Asked>> all;
    for (unsigned t = 0; t < threads; ++t) {
        all.push_back(std::async(std::launch::async, [&, t] {
            return askUntil(port, stop, [&, t](std::uint64_t n) { return request(t, n); });
        }));
    }
    Asked out;
    for (auto& one : all) out.add(one.get());
    return out;
}

double quantile(std::vector<float>& values, double q) {
    if (values.empty()) return 0;
    const auto at = static_cast<std::ptrdiff_t>(q * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + at, values.end());
    return static_cast<double>(values[static_cast<std::size_t>(at)]);
}

// ---- 1. Stranded ----

const char* const kFleet = R"([fleet]
zones = a
boxes = 6
relays = 1
planners = 1
[class reserve]
work = exp 1ms
repeat = fragile
writes = yes
[class rest]
work = exp 1ms
)";

class Fleet {
public:
    Fleet() : scenario_(marldale::emulator::tests::scenarioOf(kFleet)), platform_({"reserve", "rest"}, 1) {
        for (int i = 0; i < 6; ++i) add("b" + std::to_string(i));
    }
    HttpBox& add(const std::string& uid) {
        const bool faulty = uid == "b4";
        auto count = std::make_shared<std::atomic<std::uint64_t>>(0);
        boxes_[uid] = std::make_unique<HttpBox>([faulty, count](const Arrived&) {
            Manner out;
            const std::uint64_t n = ++*count;
            if (faulty && n % 50 == 7) out.answers = false;  // after its effect, before its answer
            if (faulty && n % 97 == 3) out.status = 500;
            return out;
        });
        return *boxes_[uid];
    }
    void list(const std::string& uid, marldale::standin::BoxState state) {
        marldale::standin::ListChange change;
        change.box = uid;
        change.site = "a";
        change.state = state;
        change.endpoint = boxes_.at(uid)->address();
        platform_.list({change});
    }
    void startPlanner(const std::vector<std::string>& ready, std::uint64_t incarnation) {
        marldale::emulator::ListedNews known;
        for (const std::string& uid : ready) {
            known.entries.push_back(
                {static_cast<std::uint32_t>(std::atoi(uid.c_str() + 1)), 0, ServerState::ready, 0});
        }
        const marldale::emulator::Start start{0, incarnation, 0, 0};
        const marldale::standin::LiveAddresses at{
            "127.0.0.1:" + std::to_string(marldale::standin::freePort()), platform_.discovery(),
            platform_.relay()};
        planner_ = std::make_unique<marldale::standin::PlannerProcess>(
            marldale::standin::liveConfig(scenario_, start, known, at, 0),
            "[grpc]\nlisten = 127.0.0.1:" + std::to_string(front_) + "\n");
    }
    void killPlanner() { planner_->end(SIGKILL); }
    [[nodiscard]] std::string front() const { return "127.0.0.1:" + std::to_string(front_); }
    [[nodiscard]] std::string discovery() const { return platform_.discovery(); }
    std::map<std::string, std::unique_ptr<HttpBox>>& boxes() { return boxes_; }

private:
    marldale::emulator::Scenario scenario_;
    marldale::standin::PlatformParty platform_;
    const std::uint16_t front_ = marldale::standin::freePort();
    std::map<std::string, std::unique_ptr<HttpBox>> boxes_;
    std::unique_ptr<marldale::standin::PlannerProcess> planner_;
};

class Proxy {
public:
    Proxy(Fleet& fleet) {
        thread_.run([&] {
            mp::GatewaySettings settings;
            mp::RequestClass reserve, rest;
            reserve.name = "reserve";
            reserve.prefix = "/reserve";
            reserve.fragile = true;
            rest.name = "rest";
            rest.prefix = "/";
            settings.classes = {reserve, rest};
            gateway_ = std::make_unique<mp::Gateway>(
                thread_.loop(), marldale::transport::Address{"127.0.0.1", 0}, settings, 5);
            std::map<std::string, mp::ListedBox> list;
            for (auto& [uid, box] : fleet.boxes()) list[uid] = {box->address(), ServerState::ready};
            gateway_->steering().listed(list, true);
            const auto log = [](const char*, const std::string&) {};
            catalog_ = std::make_unique<marldale::routing::CatalogWatch>(
                thread_.loop(), *marldale::transport::parseAddress(fleet.discovery()), 1, 9,
                [this](const marldale::routing::Input& input) {
                    if (const auto* news = std::get_if<marldale::routing::ListInput>(&input)) {
                        std::map<std::string, mp::ListedBox> boxes;
                        for (const auto& e : news->news.entries) boxes[e.uid] = {e.endpoint, e.state};
                        gateway_->steering().listed(boxes, news->news.whole);
                        gateway_->steered();
                    }
                    return true;
                },
                log);
            mp::PlannerSettings planner;
            planner.planners = {fleet.front()};
            planner.zone = "a";
            planner.usualRate = 1000;
            side_ = std::make_unique<mp::PlannerSide>(thread_.loop(), *gateway_, planner, log);
        });
    }
    ~Proxy() {
        thread_.run([this] {
            side_.reset();
            catalog_.reset();
            gateway_.reset();
        });
    }
    template <class Look>
    auto look(const Look& look) {
        return thread_.run([&] { return look(*gateway_); });
    }
    template <class Holds>
    void await(const char* what, const Holds& holds) {
        const Micros most = steady() + 20000000;
        while (!look(holds)) {
            if (steady() > most) throw std::runtime_error(std::string("waited in vain for ") + what);
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
    }

private:
    LoopThread thread_;
    std::unique_ptr<mp::Gateway> gateway_;
    std::unique_ptr<marldale::routing::CatalogWatch> catalog_;
    std::unique_ptr<mp::PlannerSide> side_;
};

void stranded(int seconds) {
    std::printf(
        "1. Stranded for %d s under load, in the middle of a drain and a rolling restart; one box breaks off "
        "2%% after their effect\n",
        seconds);
    Fleet fleet;
    fleet.startPlanner({"b0", "b1", "b2", "b3", "b4", "b5"}, 1);
    Proxy proxy(fleet);
    proxy.await("the first tables",
                [](mp::Gateway& g) { return g.steering().lines(0) == 6 && g.steering().lines(1) == 6; });
    std::atomic<bool> stop = false;
    const std::uint16_t port = proxy.look([](mp::Gateway& g) { return g.port(); });
    auto load = std::async(std::launch::async, [&] {
        return askFor(port, 12, stop, [](unsigned t, std::uint64_t n) {
            const bool reserve = n % 3 == 0;
            const std::string key = std::to_string(t) + "-" + std::to_string(n);
            return std::string(reserve ? "POST /reserve" : "POST /cutout") +
                   " HTTP/1.1\r\nHost: h\r\nIdempotency-Key: " + (reserve ? "r" : "c") + key +
                   "\r\nContent-Length: 5\r\n\r\nhello";
        });
    });
    const auto nap = [](double s) { std::this_thread::sleep_for(std::chrono::duration<double>(s)); };
    using marldale::standin::BoxState;
    std::map<std::string, Micros> goneAt;
    nap(2);
    fleet.list("b0", BoxState::draining);
    fleet.killPlanner();
    proxy.await("the loss of the planner",
                [](mp::Gateway& g) { return g.steering().standing() == mp::Standing::stranded; });
    const auto goes = [&](const std::string& uid) {
        proxy.await("a drain", [&](mp::Gateway& g) { return !g.steering().maySendTo(uid); });
        nap(0.3);  // what runs there ends
        goneAt[uid] = steady();
        fleet.list(uid, BoxState::gone);
    };
    goes("b0");
    const mp::GatewayFigures before = proxy.look([](mp::Gateway& g) { return g.figures(); });
    for (const char* uid : {"b1", "b2", "b3"}) {
        nap(seconds / 4.0);
        fleet.add("b1" + std::string(uid + 1));
        fleet.list("b1" + std::string(uid + 1), BoxState::ready);
        fleet.list(uid, BoxState::draining);
        goes(uid);
    }
    nap(seconds / 4.0);
    const mp::GatewayFigures after = proxy.look([](mp::Gateway& g) { return g.figures(); });
    const std::size_t lines = proxy.look([](mp::Gateway& g) { return g.steering().lines(1); });
    fleet.startPlanner({"b4", "b5", "b11", "b12", "b13"}, 2);
    proxy.await("new tables", [](mp::Gateway& g) {
        return g.steering().standing() == mp::Standing::steered && g.steering().lines(1) == 5;
    });
    nap(2);
    stop = true;
    Asked asked = load.get();
    std::uint64_t late = 0, onNew = 0, reserves = 0, twice = 0, reserveKeys = 0;
    std::map<std::string, int> effects;
    for (auto& [uid, box] : fleet.boxes()) {
        for (const Arrived& a : box->arrived()) {
            if (goneAt.count(uid) != 0 && a.atUs > goneAt[uid]) ++late;
            if (uid.size() > 2) ++onNew;
            if (a.path.starts_with("/reserve")) ++reserves;
        }
        for (const auto& [key, n] : box->effects()) effects[key] += n;
    }
    for (const auto& [key, n] : effects) {
        if (key.front() != 'r') continue;
        ++reserveKeys;
        twice += n > 1 ? 1 : 0;
    }
    std::printf(
        "  %llu requests (%llu while stranded): %llu answered 200, %llu 503, %llu other, %llu clean ends, "
        "%llu broken answers\n",
        static_cast<unsigned long long>(asked.requests),
        static_cast<unsigned long long>(after.requests - before.requests),
        static_cast<unsigned long long>(asked.good), static_cast<unsigned long long>(asked.refused),
        static_cast<unsigned long long>(asked.failed), static_cast<unsigned long long>(asked.cleanEnds),
        static_cast<unsigned long long>(asked.wrong));
    std::printf(
        "  %llu reserves with %llu keys reached boxes, %llu effects twice; %zu lines left at the end, %llu "
        "requests on new boxes after\n",
        static_cast<unsigned long long>(reserves), static_cast<unsigned long long>(reserveKeys),
        static_cast<unsigned long long>(twice), lines, static_cast<unsigned long long>(onNew));
    promise(after.requests > before.requests && after.passedOn > before.passedOn && lines == 2,
            "stranded, it goes on serving from the listed boxes that are left");
    promise(late == 0, "no request reached a box after the list had called it gone");
    promise(twice == 0 && reserveKeys > 1000, "no reserve took effect twice");
    promise(asked.wrong == 0 && asked.good + asked.refused + asked.failed + asked.cleanEnds == asked.requests,
            "every request had exactly one answer or one clean end");
    promise(asked.good > asked.requests * 95 / 100, "over 95% were answered 200");
    promise(onNew > 0, "the planner that came back brought the new boxes in");
}

// ---- 3. Costs, beside a loop that forwards bytes ----

// Forwards whatever comes, both ways.
class Bare {
public:
    explicit Bare(std::vector<std::string> boxes) : boxes_(std::move(boxes)) {
        thread_.run([this] {
            listener_ = std::make_unique<marldale::transport::Listener>(
                thread_.loop(), marldale::transport::Address{"127.0.0.1", 0},
                [this](evutil_socket_t fd) { accept(fd); });
        });
    }
    ~Bare() {
        thread_.run([this] {
            pairs_.clear();
            listener_.reset();
        });
    }
    [[nodiscard]] std::uint16_t port() const { return listener_->port(); }
    LoopThread& thread() { return thread_; }

private:
    struct Pair {
        std::unique_ptr<mp::Stream> client, box;
    };
    void accept(evutil_socket_t fd) {
        const auto pair = std::make_shared<Pair>();
        pair->client = std::make_unique<mp::Stream>(thread_.loop(), fd);
        pair->box = std::make_unique<mp::Stream>(
            thread_.loop(), *marldale::transport::parseAddress(boxes_[next_++ % boxes_.size()]),
            marldale::transport::Millis{1000});
        const auto tie = [](mp::Stream& from, mp::Stream& to) {
            mp::Stream::Handlers h;
            h.readable = h.connected = [&from, &to] {
                const auto bytes = from.peek(1 << 20);
                to.write(bytes);
                from.take(bytes.size());
            };
            h.ended = [&from, &to](bool) {
                from.close();
                to.close();
            };
            from.setHandlers(std::move(h));
        };
        tie(*pair->client, *pair->box);
        tie(*pair->box, *pair->client);
        pairs_.push_back(pair);
    }
    const std::vector<std::string> boxes_;
    std::size_t next_ = 0;
    LoopThread thread_;
    std::vector<std::shared_ptr<Pair>> pairs_;
    std::unique_ptr<marldale::transport::Listener> listener_;
};

double cpuMs() {
    rusage usage{};
    getrusage(RUSAGE_THREAD, &usage);
    const auto of = [](const timeval& t) {
        return static_cast<double>(t.tv_sec) * 1e3 + static_cast<double>(t.tv_usec) / 1e3;
    };
    return of(usage.ru_utime) + of(usage.ru_stime);
}

struct Cost {
    double perSecond = 0, cpuUs = 0, p50 = 0, p99 = 0, p999 = 0;
};
Cost costOf(std::uint16_t port, LoopThread& loop, double seconds, const std::string& request) {
    std::atomic<bool> stop = false;
    const double before = loop.run([] { return cpuMs(); });
    auto load = std::async(std::launch::async, [&] {
        return askFor(port, 8, stop, [&](unsigned, std::uint64_t) { return request; });
    });
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
    stop = true;
    Asked asked = load.get();
    const double cpu = loop.run([] { return cpuMs(); }) - before;
    const auto n = static_cast<double>(std::max<std::uint64_t>(1, asked.good));
    return {n / seconds, 1000 * cpu / n, quantile(asked.ms, 0.5), quantile(asked.ms, 0.99),
            quantile(asked.ms, 0.999)};
}

void costs() {
    std::puts(
        "2. Beside a loop that forwards bytes without reading them: 8 clients, 3 boxes, one thread each "
        "(absolute times are this machine's)");
    std::printf("  %-10s %-6s | %10s %9s | %8s %8s %8s\n", "body", "", "requests/s", "CPU us", "p50 ms",
                "p99 ms", "p99.9 ms");
    for (const std::size_t bytes : {std::size_t{3}, std::size_t{65536}}) {
        std::vector<std::unique_ptr<HttpBox>> boxes;
        std::vector<std::string> addresses;
        for (int i = 0; i < 3; ++i) {
            boxes.push_back(std::make_unique<HttpBox>(
                [bytes](const Arrived&) {
                    Manner out;
                    out.bytes = bytes;
                    return out;
                },
                false));
            addresses.push_back(boxes.back()->address());
        }
        LoopThread loop;
        std::unique_ptr<mp::Gateway> gateway;
        loop.run([&] {
            mp::GatewaySettings settings;
            settings.classes = {mp::RequestClass{}};
            gateway = std::make_unique<mp::Gateway>(loop.loop(), marldale::transport::Address{"127.0.0.1", 0},
                                                    settings, 0);
            std::map<std::string, mp::ListedBox> list;
            mp::Orders orders;
            for (std::size_t i = 0; i < addresses.size(); ++i) {
                list["b" + std::to_string(i)] = {addresses[i], ServerState::ready};
                orders.byClass[""].lines["b" + std::to_string(i)] = 1;
            }
            gateway->steering().listed(list, true);
            gateway->steering().obey(orders, 0);
        });
        const std::uint16_t port = loop.run([&] { return gateway->port(); });
        const std::string request =
            "GET /x HTTP/1.1\r\nHost: h\r\nUser-Agent: marldale\r\nAccept: */*\r\n\r\n";
        Cost best[2];
        Bare bare(addresses);
        // Turn by turn, the best of three each.
        for (int round = 0; round < 3; ++round) {
            const Cost one = costOf(bare.port(), bare.thread(), 1.5, request),
                       two = costOf(port, loop, 1.5, request);
            if (one.perSecond > best[0].perSecond) best[0] = one;
            if (two.perSecond > best[1].perSecond) best[1] = two;
        }
        loop.run([&] { gateway.reset(); });
        for (int i = 0; i < 2; ++i) {
            std::printf("  %-10zu %-6s | %10.0f %9.1f | %8.3f %8.3f %8.3f\n", bytes,
                        i == 0 ? "bare" : "proxy", best[i].perSecond, best[i].cpuUs, best[i].p50, best[i].p99,
                        best[i].p999);
        }
        const double ratio = best[1].perSecond / best[0].perSecond;
        std::printf("  %-10s %-6s | %9.0f%% %8.0f%% |\n", "", "ratio", 100 * ratio,
                    100 * best[1].cpuUs / best[0].cpuUs);
        const double aim = bytes < 1000 ? 0.6 : 0.85;
        promise(ratio >= aim, "at least " + std::to_string(static_cast<int>(100 * aim)) +
                                  "% of the bare loop's requests a second");
    }
}

}  // namespace

int main(int argc, char** argv) {
    try {
        stranded(argc > 1 ? std::max(4, std::atoi(argv[1])) : 16);
        costs();
    } catch (const std::exception& e) {
        std::fprintf(stderr, "measure-proxy: %s\n", e.what());
        return 2;
    }
    return broken ? 1 : 0;
}
