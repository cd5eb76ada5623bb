// A scenario: everything that a run is made of, as values, and how a file says it (INI, with includes and
// parameters).
#pragma once

#include <map>
#include <string>
#include <vector>

#include "emulator/box.h"
#include "emulator/distribution.h"
#include "emulator/relay.h"
#include "settings/schema.h"

namespace marldale::emulator {

struct ScenarioClass {
    std::string name;
    double share = 1;  // of the requests
    Distribution work = Distribution::exponential(100000);
    Micros aim = 600000, giveUp = 2000000;
    double worth = 1, lateWorth = 0;
    Repeat repeat = Repeat::retryable;
    bool writes = false;  // it has an effect, which must not happen twice
    bool ownZoneOnly = false;
    std::vector<std::string> zones;  // servers of these are open to it; empty: all
};

struct FleetSettings {
    std::vector<std::string> zones = {"a", "b", "c"};
    std::uint32_t boxes = 30, relays = 150, planners = 2;  // in all; zones take turns
    std::uint32_t standing = 10;                           // lines that a relay starts with
};

struct ClientSettings {
    double rate = 200;                             // requests a second, of all relays
    double busiest = 0.5;                          // share that a tenth of the relays brings
    std::vector<std::pair<double, double>> curve;  // seconds and a factor on the rate, with lines between
    std::string trace;                             // recorded traffic in place of a rate
    double traceSpeed = 1;
    std::uint32_t users = 0;  // closed loop: so many, each thinks between two requests; 0: open loop
    Distribution think = Distribution::exponential(1000000);
    unsigned repeats = 2;  // that a client makes by itself, of what is safe to repeat
    Distribution repeatAfter = Distribution::fixed(200000);
    double repeatBudget = 1;  // repeats for each first request, as a share
    double tryTime = 0.7;     // of the give-up time, for one try
};

struct NetworkSettings {
    double within = 300, between = 2000;  // microseconds one way
    double jitter = 0.1;                  // of it
    double loss = 0;                      // share of requests or answers that vanish
};

enum class PolicyKind : std::uint8_t { module, even, zones, leastLoad, fullSight };
[[nodiscard]] const char* name(PolicyKind kind);
enum class Learn : std::uint8_t { cold, snapshot, peer };

struct PlannerSettings {
    PolicyKind policy = PolicyKind::module;
    Learn learn = Learn::cold;
    double linesPerS = 20000, backlog = 20000, envelope = 4;
    std::uint32_t messagesMost = 12;
    Micros messagesOver = 10000000;
    Micros messageLeast = 150000, messageMost = 350000;  // a message's way, beside the channel
    Micros listLate = 600000;
    Micros reportEvery = 2000000, reportLate = 700000;
    double reportsPerS = 0;  // that the planner's intake takes; 0: any number
    Admission admission = Admission::rate;
    Micros redialLeast = 150000, redialMost = 1600000;
    Micros noticeAfter = 1600000;  // a stream that is cut off; one whose planner died is noticed at once
    bool goesBack = false;         // a relay returns to its own planner
    Micros emptyFor = 2000000, drainGrace = 3000000;  // the rules' limits
};

// Whom a fault is about: `box 3`, `boxes 20%`, `zone a`, `zone a boxes 30%`, `planner 1`, `relays 10%`.
struct Subject {
    enum class What : std::uint8_t { none, boxes, relays, planners, zone };
    What what = What::none;
    std::string zone;  // empty: any
    int number = -1;   // one of them
    double share = 1;  // or so many, drawn
    bool operator==(const Subject&) const = default;
};
// Throws std::invalid_argument with one plain sentence.
[[nodiscard]] Subject parseSubject(const std::string& text);
[[nodiscard]] std::string shown(const Subject& subject);

enum class FaultKind : std::uint8_t {
    crash,
    silence,
    vanish,
    errors,
    slow,
    neighbour,
    pause,
    deploy,
    cut,
    slowLink,
    loss,
    plannerLoss,
    slowChannel,
    lateReports,
    lostReports,
    spoiltReports,
    listOutage,
    listLie,
    clockSkew,
    hotClient,
    shift,
    surge,
    halfway,
    lostAnswers,
    count_
};
[[nodiscard]] const char* name(FaultKind kind);

struct Fault {
    std::string name;
    FaultKind kind = FaultKind::crash;
    Micros at = 0, lasts = 10000000;
    Subject subject;
    double strength = 1;     // what it is depends on the kind
    Micros every = 2000000;  // of what goes on again and again: pauses, a deploy's steps
};

struct DrawnFaults {
    std::uint32_t count = 0;
    std::vector<FaultKind> kinds;       // empty: all
    Micros from = 10000000, until = 0;  // 0: the run's end
};

struct RunSettings {
    std::uint64_t seed = 1;
    Micros duration = 60000000;
    Micros scoreFrom = 5000000;  // what came before is not counted
    Micros window = 5000000;     // of the worst one
};

struct Scenario {
    std::string name, teaches;
    RunSettings run;
    FleetSettings fleet;
    std::vector<ScenarioClass> classes;
    BoxSettings box;
    RelaySettings relay;
    ClientSettings clients;
    NetworkSettings network;
    PlannerSettings planner;
    std::vector<Fault> faults;
    DrawnFaults drawn;

    [[nodiscard]] std::uint32_t zoneOf(const std::string& zone) const;  // its index; throws if there is none
};

using Parameters = std::map<std::string, std::string>;

// A scenario file; everything that is wrong goes to `problems`, with file and line. `[include] file = F`
// reads another one first, `${name}` stands for a parameter: one given here, or by `[parameters]`.
[[nodiscard]] Scenario readScenario(const std::string& path, const Parameters& parameters,
                                    std::vector<settings::Problem>& problems);
// The same from a text; `path` is for its problems and for includes.
[[nodiscard]] Scenario parseScenario(const std::string& path, const std::string& text,
                                     const Parameters& parameters, std::vector<settings::Problem>& problems);
// Every key there is, in Markdown.
[[nodiscard]] std::string scenarioKeys();
// One fault as a section of a scenario file.
[[nodiscard]] std::string shown(const Fault& fault);

}  // namespace marldale::emulator
