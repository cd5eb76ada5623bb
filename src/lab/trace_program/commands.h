// marldale trace and marldale replay.
#pragma once

#include <string>
#include <vector>

#include "replay/engine.h"
#include "replay/plan.h"

namespace marldale::trace_program {

// Statuses of an exit.
inline constexpr int kRight = 0, kFailed = 1, kMisunderstood = 2, kTooBad = 3, kNotAddedUp = 4, kStopped = 5;

struct ImportAsked {
    std::vector<std::string> files;
    std::string to, rules, badFile;
    bool follow = false;
    int followForS = 0;  // 0: until SIGINT
};
int importCommand(const ImportAsked& asked);

struct ClassifyAsked {
    std::vector<std::string> files;
    std::string rules;
    int examples = 3;
};
int classifyCommand(const ClassifyAsked& asked);

struct ShowAsked {
    std::string trace, from, until;
    std::uint64_t most = 20;
    bool chains = false;
};
int showCommand(const ShowAsked& asked);

struct StatsAsked {
    std::string trace, plot, plots;
    double binS = 10;
    bool json = false;
};
int statsCommand(const StatsAsked& asked);

struct CutAsked {
    std::string trace, to, from, until;
};
int cutCommand(const CutAsked& asked);

struct MergeAsked {
    std::vector<std::string> traces;
    std::string to;
};
int mergeCommand(const MergeAsked& asked);

struct ScaleAsked {
    std::string trace, to;
    double share = 1;
    std::uint64_t seed = 1;
};
int scaleCommand(const ScaleAsked& asked);

struct ReplayAsked {
    std::string trace;
    std::vector<std::string> targets, allow;
    std::string journal, results, csv, plot, from, until, unknown = "leave-out", tries = "recorded",
                                                          sync = "each";
    std::vector<std::string> shares;  // CLASS=SHARE
    replay::PlanSettings plan;
    replay::EngineSettings engine;
    double waitS = 10, answerS = 30, durationS = 3600, drainS = 10, loopGapS = 1;
    bool quiet = false;
    // For a planner in place of boxes.
    std::string planner, plannerBoxes;
    std::vector<std::string> plannerZones;
    std::uint32_t plannerRelays = 10;
    double plannerEveryS = 2;
};
int replayCommand(ReplayAsked asked);

struct KnowledgeAsked {
    std::string snapshot, other;
    bool json = false;
};
int showKnowledgeCommand(const KnowledgeAsked& asked);
int diffKnowledgeCommand(const KnowledgeAsked& asked);

}  // namespace marldale::trace_program
