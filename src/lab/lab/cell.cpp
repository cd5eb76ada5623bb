#include "lab/cell.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "emulator/emulation.h"

namespace marldale::lab {
namespace {

using emulator::End;
using emulator::Event;
using emulator::Kind;
using nlohmann::json;

// What the score does not hold: queues and answer times by window.
struct Windows {
    struct Sums {
        double queue = 0, queued = 0;
        std::vector<double> times;
    };
    explicit Windows(Micros window) : window(window) {}
    void read(const Event& e) {
        if (e.kind == Kind::took) {
            Sums& s = at[e.at / window];
            s.queue += static_cast<double>(e.value);
            s.queued += 1;
        } else if (e.kind == Kind::wishDone) {
            const auto end = static_cast<End>(static_cast<int>(e.value));
            if (end == End::inTime || end == End::late)
                at[(e.at - e.more) / window].times.push_back(static_cast<double>(e.more) / 1e3);
        }
    }
    const Micros window;
    std::map<std::int64_t, Sums> at;
};

double quantileOf(std::vector<double>& values, double q) {
    if (values.empty()) return 0;
    const auto at = static_cast<std::ptrdiff_t>(q * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + at, values.end());
    return values[static_cast<std::size_t>(at)];
}

std::vector<ClassResult> classesOf(const emulator::Scenario& s, const emulator::Score& score) {
    std::vector<ClassResult> out;
    for (std::size_t k = 0; k < s.classes.size(); ++k) {
        const emulator::ClassFigures& c = score.classes()[k];
        const double n = std::max<double>(1, static_cast<double>(c.wishes));
        const auto share = [&](End end) {
            return static_cast<double>(c.ends[static_cast<std::size_t>(end)]) / n;
        };
        out.push_back({s.classes[k].name, c.share(), static_cast<double>(c.wishes), c.quantile(0.5),
                       c.quantile(0.95), c.quantile(0.99), share(End::refused),
                       share(End::failed) + share(End::gaveUp) + share(End::unpicked), share(End::late)});
    }
    return out;
}

std::vector<FaultResult> faultsOf(const emulator::Scenario& s) {
    std::vector<FaultResult> out;
    for (const emulator::Fault& f : s.faults) {
        out.push_back({f.name + " (" + emulator::name(f.kind) + ")", static_cast<double>(f.at) / 1e6,
                       static_cast<double>(std::min(f.at + f.lasts, s.run.duration)) / 1e6});
    }
    return out;
}

}  // namespace

std::uint64_t CellResult::allBroken() const {
    std::uint64_t out = 0;
    for (const std::uint64_t b : broken) out += b;
    return out;
}

CellResult play(const emulator::Scenario& scenario, const std::string& logTo) {
    const auto start = std::chrono::steady_clock::now();
    emulator::EventLog log;
    if (!logTo.empty()) log.writeTo(logTo);
    // What the start itself says comes before anybody can read along; it is read again from the readers'
    // side.
    std::optional<emulator::RuleChecker> rules(std::in_place, scenario);
    std::optional<emulator::Score> score(std::in_place, scenario);
    Windows windows(scenario.run.window);
    log.readAlong([&](const Event& e) {
        rules->read(e);
        score->read(e);
        windows.read(e);
    });
    emulator::Emulation emulation(scenario, log);
    emulation.run();
    rules->finish(scenario.run.duration);
    log.finish();

    CellResult out;
    out.service = score->service();
    out.whole = score->whole();
    out.worstWindow = score->worstWindow();
    out.worstClass = score->worstClass();
    out.tries = score->tries();
    out.effects = score->effects();
    out.messages = score->messages();
    out.happenings = emulation.happenings();
    out.hash = log.hash();
    for (std::size_t r = 0; r < std::size(out.broken); ++r) {
        out.broken[r] = rules->count(static_cast<emulator::Rule>(r));
    }
    for (const auto& v : rules->violations()) {
        ViolationResult result{emulator::name(v.rule), v.text, static_cast<double>(v.at) / 1e6, {}};
        for (const Event& e : v.history) result.history.push_back(emulator::shown(e));
        out.violations.push_back(std::move(result));
    }
    out.classes = classesOf(scenario, *score);
    out.faults = faultsOf(emulation.scenario());
    for (const auto& c : out.classes) out.wishes += static_cast<std::uint64_t>(c.wishes);
    for (const auto& [number, w] : score->windows()) {
        const Micros from = number * scenario.run.window;
        if (from + scenario.run.window > scenario.run.duration) continue;
        Windows::Sums& s = windows.at[number];
        out.windows.push_back({static_cast<double>(from) / 1e6, w.share(), static_cast<double>(w.wishes),
                               static_cast<double>(w.refused), static_cast<double>(w.failed),
                               static_cast<double>(w.messages), s.queued > 0 ? s.queue / s.queued : 0,
                               quantileOf(s.times, 0.95)});
    }
    out.wallMs = std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count();
    return out;
}

std::string toJson(const CellResult& r) {
    json out{{"service", r.service},           {"whole", r.whole},       {"worst_window", r.worstWindow},
             {"worst_class", r.worstClass},    {"wishes", r.wishes},     {"tries", r.tries},
             {"effects", r.effects},           {"messages", r.messages}, {"happenings", r.happenings},
             {"hash", std::to_string(r.hash)}, {"wall_ms", r.wallMs}};
    out["broken"] = json::array();
    for (const std::uint64_t b : r.broken) out["broken"].push_back(b);
    out["windows"] = json::array();
    for (const WindowResult& w : r.windows) {
        out["windows"].push_back(
            {w.fromS, w.service, w.wishes, w.refused, w.failed, w.messages, w.queue, w.p95Ms});
    }
    out["classes"] = json::array();
    for (const ClassResult& c : r.classes) {
        out["classes"].push_back(
            {c.name, c.service, c.wishes, c.p50Ms, c.p95Ms, c.p99Ms, c.refused, c.failed, c.late});
    }
    out["violations"] = json::array();
    for (const ViolationResult& v : r.violations) {
        out["violations"].push_back(
            {{"rule", v.rule}, {"text", v.text}, {"at_s", v.atS}, {"history", v.history}});
    }
    out["faults"] = json::array();
    for (const FaultResult& f : r.faults) out["faults"].push_back({f.name, f.fromS, f.toS});
    return out.dump();
}

CellResult fromJson(const std::string& text) {
    try {
        const json in = json::parse(text);
        CellResult r;
        r.service = in.at("service");
        r.whole = in.at("whole");
        r.worstWindow = in.at("worst_window");
        r.worstClass = in.at("worst_class");
        r.wishes = in.at("wishes");
        r.tries = in.at("tries");
        r.effects = in.at("effects");
        r.messages = in.at("messages");
        r.happenings = in.at("happenings");
        r.hash = std::stoull(in.at("hash").get<std::string>());
        r.wallMs = in.at("wall_ms");
        for (std::size_t i = 0; i < std::size(r.broken); ++i) r.broken[i] = in.at("broken").at(i);
        for (const json& w : in.at("windows")) {
            r.windows.push_back({w.at(0), w.at(1), w.at(2), w.at(3), w.at(4), w.at(5), w.at(6), w.at(7)});
        }
        for (const json& c : in.at("classes")) {
            r.classes.push_back(
                {c.at(0), c.at(1), c.at(2), c.at(3), c.at(4), c.at(5), c.at(6), c.at(7), c.at(8)});
        }
        for (const json& v : in.at("violations")) {
            r.violations.push_back({v.at("rule"), v.at("text"), v.at("at_s"), v.at("history")});
        }
        for (const json& f : in.at("faults")) r.faults.push_back({f.at(0), f.at(1), f.at(2)});
        return r;
    } catch (const std::exception& e) {
        throw std::runtime_error(std::string("no result of a run: ") + e.what());
    }
}

}  // namespace marldale::lab
