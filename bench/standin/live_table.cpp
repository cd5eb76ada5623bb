#include "standin/live_table.h"

#include <algorithm>
#include <cstdio>
#include <future>
#include <stdexcept>

#include "emulator/rules.h"
#include "emulator/score.h"

namespace marldale::standin {
namespace {

using emulator::End;
constexpr Micros kLongest = 120 * kSecond;
constexpr std::uint32_t kBoxesMost = 600, kRelaysMost = 600, kPlannersMost = 4;

void checkThatItCanBe(const emulator::Scenario& s) {
    const auto wrong = [](const std::string& what) { throw std::invalid_argument("over sockets " + what); };
    if (s.run.duration > kLongest) wrong("a run takes 120 s at most");
    if (s.fleet.boxes > kBoxesMost || s.fleet.relays > kRelaysMost || s.fleet.planners > kPlannersMost)
        wrong("there are at most 600 boxes, 600 relays and 4 planners");
    if (s.planner.policy != emulator::PolicyKind::module) wrong("the policy is the module");
    if (s.planner.learn != emulator::Learn::cold) wrong("planners start cold");
}

Side sideOf(const std::string& what, const emulator::Scenario& scenario, emulator::Outside outside) {
    emulator::EventLog log;
    emulator::RuleChecker rules(scenario);
    emulator::Score score(scenario);
    log.readAlong([&](const emulator::Event& e) {
        rules.read(e);
        score.read(e);
    });
    emulator::Emulation run(scenario, log, std::move(outside));
    run.run();
    rules.finish(scenario.run.duration);

    Side out;
    out.what = what;
    out.service = score.whole();
    for (const auto& k : score.classes()) {
        const auto of = [&](End end) { return static_cast<double>(k.ends[static_cast<std::size_t>(end)]); };
        const auto wishes = static_cast<double>(k.wishes);
        out.wishes += k.wishes;
        out.refused += of(End::refused);
        out.failed += of(End::failed) + of(End::unpicked) + of(End::gaveUp);
        out.p50 += k.quantile(0.5) * wishes;
        out.p95 += k.quantile(0.95) * wishes;
    }
    const double all = std::max(1.0, static_cast<double>(out.wishes));
    for (double* sum : {&out.refused, &out.failed, &out.p50, &out.p95}) *sum /= all;
    out.messages = score.messages();
    out.broken = rules.count();
    for (const auto& v : rules.violations()) out.violations.push_back(v.text);
    return out;
}

}  // namespace

std::vector<Side> besideTheModel(const emulator::Scenario& scenario) {
    checkThatItCanBe(scenario);
    const auto live = [&](LiveFront front, const char* what) {
        return std::async(std::launch::async, [&scenario, front, what] {
            RealTime time;
            Side out = sideOf(what, scenario, overSockets(front, time));
            out.lag = time.worstLag();
            return out;
        });
    };
    auto platform = live(LiveFront::platform, "daemon, platform's protocol");
    auto grpc = live(LiveFront::grpc, "daemon, gRPC");
    std::vector<Side> out = {sideOf("model", scenario, {})};
    out.push_back(platform.get());
    out.push_back(grpc.get());
    return out;
}

void show(const std::vector<Side>& sides) {
    std::printf("  %-28s | %8s %8s %8s %8s %7s %7s %9s %6s %7s\n", "", "requests", "service", "refused",
                "failed", "p50 ms", "p95 ms", "messages", "broken", "lag ms");
    for (const Side& s : sides) {
        std::printf("  %-28s | %8llu %8.4f %7.2f%% %7.2f%% %7.0f %7.0f %9llu %6llu %7.1f\n", s.what.c_str(),
                    static_cast<unsigned long long>(s.wishes), s.service, 100 * s.refused, 100 * s.failed,
                    s.p50, s.p95, static_cast<unsigned long long>(s.messages),
                    static_cast<unsigned long long>(s.broken), static_cast<double>(s.lag) / 1e3);
        for (const std::string& text : s.violations) std::printf("    %s\n", text.c_str());
    }
}

}  // namespace marldale::standin
