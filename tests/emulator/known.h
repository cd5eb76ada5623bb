// Runs of which it is known how they must come out: queues with a theory, and scenarios that break a rule.
#pragma once

#include <vector>

#include "runs.h"

namespace marldale::emulator::tests {

// ---- Queues ----

// One relay, one box, nothing between them.
inline std::string queueOf(int cores, const std::string& work, double rate, const std::string& box = "") {
    return "[fleet]\nzones = a\nboxes = 1\nrelays = 1\nplanners = 1\n[box]\n" + box +
           "cores = " + std::to_string(cores) +
           "\nspeed_spread = 0\nconnect_work_us = 0\nqueue_most = 1000000\nconnections_most = 1000000\n"
           "[network]\nwithin_us = 0\n[relay]\nstall_per_line_us = 0\n[clients]\nrepeats = 0\ntry_time = "
           "1\nrate = " +
           std::to_string(rate) + "\n[planner]\nadmission = none\npolicy = even\n[class x]\nwork = " + work +
           "\naim_ms = 59000\ngive_up_ms = 60000\n[run]\nduration_s = 900\nscore_from_s = 100\n";
}

struct Queue {
    const char* name;
    std::string scenario;
    double mean;  // time at the box by theory, seconds
};
inline std::vector<Queue> queues() {
    // Erlang's C for two servers: 2 a^2 / (2 - a) / (1 + a + a^2 / (2 - a)), here with a = 1.5.
    const double a = 1.5, c = a * a / (2 - a) / (1 + a + a * a / (2 - a));
    // Pollaczek and Khinchine: the wait is lambda E[S^2] / 2 (1 - rho).
    return {{"M/M/1 at 0.7", queueOf(1, "exp 10ms", 70), 1 / (100.0 - 70)},
            {"M/M/2 at 0.75", queueOf(2, "exp 10ms", 150), 0.010 + c * 0.010 / (2 - a)},
            {"M/D/1 at 0.7", queueOf(1, "fixed 10ms", 70), 0.010 + 70 * 1e-4 / 2 / 0.3},
            {"M/Erlang-4/1 at 0.7", queueOf(1, "erlang 4 10ms", 70), 0.010 + 70 * 1.25e-4 / 2 / 0.3},
            {"M/G/1 shared, at 0.7", queueOf(1, "erlang 4 10ms", 70, "discipline = sharing\n"),
             1 / (100.0 - 70)}};
}

struct Sojourn {
    double mean = 0, arrivals = 0, inside = 0;  // seconds; a second; jobs, by time
};
inline Sojourn sojournOf(const std::string& text, std::uint64_t seed = 1) {
    constexpr Micros kFrom = 100000000;
    double sum = 0, area = 0;
    std::uint64_t count = 0;
    std::int64_t inside = 0;
    Micros last = kFrom;
    Scenario scenario = scenarioOf(text);
    scenario.run.seed = seed;
    const Played run(std::move(scenario), [&](const Event& e) {
        if (e.kind != Kind::wish && e.kind != Kind::wishDone) return;
        const std::int64_t step = e.kind == Kind::wish ? 1 : -1;
        if (e.at >= kFrom) {
            area += static_cast<double>(inside) * static_cast<double>(e.at - last);
            last = e.at;
        }
        inside += step;
        if (e.at < kFrom || step > 0) return;
        sum += static_cast<double>(e.more) / 1e6;
        ++count;
    });
    const double span = static_cast<double>(run.all.run.duration - kFrom) / 1e6;
    return {sum / static_cast<double>(count), static_cast<double>(count) / span, area / 1e6 / span};
}

// ---- Rules ----

struct Breaker {
    Rule rule;
    const char* why;
    Scenario breaks, keeps;  // the second comes near and keeps it
};

inline Breaker coldBreaker() {
    Breaker out{Rule::noColdPushedOver, "even weights know nothing of cold boxes", {}, {}};
    out.breaks =
        scenarioOf(std::string(kSmall) +
                   "[box]\ncold_speed = 0.02\nwarm_up_s = 20\ntip_multiple = 2\n"
                   "[fault d]\nkind = deploy\nat_s = 5\nlasts_s = 20\nsubject = boxes 100%\nevery_ms = "
                   "300\n");
    out.breaks.clients.rate = 200;
    out.keeps = out.breaks;
    out.keeps.clients.rate = 10;
    out.breaks.planner.policy = out.keeps.planner.policy = PolicyKind::even;
    return out;
}

inline Breaker drainBreaker() {
    Breaker out{Rule::drainsKept, "withdrawals take six seconds, and boxes drain for twelve", {}, {}};
    out.keeps = scenarioOf(std::string(kSmall) +
                           "[fault d]\nkind = deploy\nat_s = 8\nlasts_s = 15\nsubject = boxes 50%\n");
    out.breaks = out.keeps;
    out.breaks.planner.messageLeast = out.breaks.planner.messageMost = 6000000;
    out.breaks.box.drainFor = 12000000;
    return out;
}

inline Breaker queueBreaker() {
    Breaker out{Rule::shortQueue, "even weights know no pace, and the channel carries little", {}, {}};
    out.keeps = scenarioOf(
        std::string(kSmall) +
        "[fault d]\nkind = deploy\nat_s = 8\nlasts_s = 15\nsubject = boxes 100%\nevery_ms = 200\n");
    out.breaks = out.keeps;
    out.breaks.planner.policy = PolicyKind::even;
    out.breaks.planner.backlog = 60;
    out.breaks.planner.linesPerS = 100;
    return out;
}

inline Breaker effectBreaker() {
    Breaker out{
        Rule::noSecondEffect, "a class that is called safe to repeat and is not; answers get lost", {}, {}};
    out.keeps = scenarioOf(
        std::string(kSmall) +
        "[fault l]\nkind = lost_answers\nat_s = 6\nlasts_s = 20\nsubject = boxes 60%\nstrength = 0.6\n");
    out.breaks = out.keeps;
    out.breaks.classes[1].repeat = Repeat::retryable;
    return out;
}

inline Breaker emptyBreaker() {
    Breaker out{
        Rule::neverEmpty, "a relay starts with nothing, and its first tables take nine seconds", {}, {}};
    out.keeps =
        scenarioOf(std::string(kSmall) + "[relay]\nstall_per_line_us = 0\n[fleet]\nstanding_lines = 0\n");
    out.breaks = out.keeps;
    out.breaks.planner.messageLeast = out.breaks.planner.messageMost = 9000000;
    return out;
}

inline std::vector<Breaker> breakers() {
    return {emptyBreaker(), effectBreaker(), drainBreaker(), coldBreaker(), queueBreaker()};
}

}  // namespace marldale::emulator::tests
