// A proxy in this process among stand-in boxes, discovery and a planner process, and clients that ask it: for
// the demo and the measurements.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <functional>
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

namespace marldale::standin {

namespace mp = marldale::proxy;
using mp::tests::Wire;

inline Micros steady() { return mp::Gateway::now(); }

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
inline long bodyOf(const std::string& head) {
    const auto at = head.find("Content-Length: ");
    return head.empty() || at == std::string::npos ? -1 : std::atol(head.c_str() + at + 16);
}

inline Asked askUntil(std::uint16_t port, const std::atomic<bool>& stop,
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

inline Asked askFor(std::uint16_t port, unsigned threads, std::atomic<bool>& stop,
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

inline double quantile(std::vector<float>& values, double q) {
    if (values.empty()) return 0;
    const auto at = static_cast<std::ptrdiff_t>(q * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + at, values.end());
    return static_cast<double>(values[static_cast<std::size_t>(at)]);
}

// ---- The fleet ----

inline const char* const kProxyFleet = R"([fleet]
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

class ProxyFleet {
public:
    explicit ProxyFleet(std::function<Manner(const std::string& uid, std::uint64_t number)> manner)
        : manner_(std::move(manner)),
          scenario_(marldale::emulator::tests::scenarioOf(kProxyFleet)),
          platform_({"reserve", "rest"}, 1) {
        for (int i = 0; i < 6; ++i) add("b" + std::to_string(i));
    }
    HttpBox& add(const std::string& uid) {
        auto count = std::make_shared<std::atomic<std::uint64_t>>(0);
        boxes_[uid] =
            std::make_unique<HttpBox>([this, uid, count](const Arrived&) { return manner_(uid, ++*count); });
        return *boxes_[uid];
    }
    void list(const std::string& uid, BoxState state) {
        ListChange change;
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
        const LiveAddresses at{"127.0.0.1:" + std::to_string(freePort()), platform_.discovery(),
                               platform_.relay()};
        planner_ =
            std::make_unique<PlannerProcess>(liveConfig(scenario_, start, known, at, 0),
                                             "[grpc]\nlisten = 127.0.0.1:" + std::to_string(front_) + "\n");
    }
    void killPlanner() { planner_->end(SIGKILL); }
    [[nodiscard]] std::string front() const { return "127.0.0.1:" + std::to_string(front_); }
    [[nodiscard]] std::string discovery() const { return platform_.discovery(); }
    std::map<std::string, std::unique_ptr<HttpBox>>& boxes() { return boxes_; }

private:
    const std::function<Manner(const std::string&, std::uint64_t)> manner_;
    marldale::emulator::Scenario scenario_;
    PlatformParty platform_;
    const std::uint16_t front_ = freePort();
    std::map<std::string, std::unique_ptr<HttpBox>> boxes_;
    std::unique_ptr<PlannerProcess> planner_;
};

class LiveProxy {
public:
    explicit LiveProxy(ProxyFleet& fleet, bool steered = true) {
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
            if (steered) side_ = std::make_unique<mp::PlannerSide>(thread_.loop(), *gateway_, planner, log);
        });
    }
    ~LiveProxy() {
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

}  // namespace marldale::standin
