// Short ways to run a scenario, for tests and measurements.
#pragma once

#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "emulator/emulation.h"
#include "emulator/rules.h"
#include "emulator/score.h"

namespace marldale::emulator::tests {

inline Scenario scenarioOf(const std::string& text, const Parameters& parameters = {}) {
    std::vector<settings::Problem> problems;
    Scenario out = parseScenario("test.ini", text, parameters, problems);
    if (!problems.empty()) throw std::runtime_error(problems.front().shown());
    return out;
}

struct Played {
    explicit Played(Scenario scenario) : Played(std::move(scenario), [](const Event&) {}) {}
    Played(Scenario scenario, const Reader& reader, Outside outside = {}) {
        all = std::move(scenario);
        rules.emplace(all);
        score.emplace(all);
        log.readAlong([this](const Event& e) {
            rules->read(e);
            score->read(e);
        });
        log.readAlong(reader);
        Emulation emulation(all, log, std::move(outside));
        emulation.run();
        rules->finish(all.run.duration);
        log.finish();
        underWay = emulation.underWay();
        happenings = emulation.happenings();
    }
    EventLog log;
    Scenario all;
    std::optional<RuleChecker> rules;
    std::optional<Score> score;
    std::size_t underWay = 0;
    std::uint64_t happenings = 0;
};

inline const char* const kSmall = R"([fleet]
zones = a, b
boxes = 8
relays = 20
planners = 2
[clients]
rate = 60
[run]
duration_s = 30
score_from_s = 5
[class read]
share = 3
work = exp 60ms
aim_ms = 500
give_up_ms = 2000
[class write]
work = exp 60ms
aim_ms = 500
give_up_ms = 2000
repeat = fragile
writes = yes
)";

}  // namespace marldale::emulator::tests
