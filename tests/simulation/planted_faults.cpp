#include "planted_faults.h"

namespace marldale::simulation {

const std::vector<PlantedFault>& plantedFaults() {
    static const std::vector<PlantedFault> kAll = {
        {"1: reads without a round of heartbeats", [](Faults& f) { f.raft.readsWithoutRound = true; }, 911},
        {"1: answers without contact to a majority",
         [](Faults& f) { f.orderQueue.answersWithoutContact = true; }},
        {"1: contact counts from when a message arrived",
         [](Faults& f) { f.raft.trustsArrival = f.selection.trustsArrival = true; }, 8},
        {"1: serves without contact to a majority", [](Faults& f) { f.admitsWithoutContact = true; }, 4},
        {"1: a proxy stays without proof of contact", [](Faults& f) { f.selection.staysWithoutProof = true; },
         4},
        {"1: times are the time of day", [](Faults& f) { f.readsTimeOfDay = true; }, 65},
        {"2: confirmed before it is committed", [](Faults& f) { f.orderQueue.confirmsOnPropose = true; }},
        {"2: what is unclear is refused", [](Faults& f) { f.orderQueue.rejectsUnavailable = true; }, 2},
        {"2: only the newest order is known again", [](Faults& f) { f.orders.forgetsTaken = true; }},
        {"2: the same number is the same order", [](Faults& f) { f.orders.ignoresDigest = true; }},
        {"3: a machine that is gone stays a voter", [](Faults& f) { f.keepsLostMachine = true; }, 16},
        {"3: a wiped machine says that it is the old one", [](Faults& f) { f.replacementKeepsNumber = true; },
         12},
        {"3: a member is told by its address alone", [](Faults& f) { f.raft.ignoresNumbers = true; }, 5},
        {"4: entries are answered before they are on disk",
         [](Faults& f) { f.raft.answersAppendUnsynced = true; }, 90},
        {"4: a restarted controller loses its snapshot", [](Faults& f) { f.losesSnapshotOnRestart = true; }},
        {"4: votes for shorter logs", [](Faults& f) { f.raft.votesForShorterLogs = true; }, 25},
        {"4: a proxy takes older configurations", [](Faults& f) { f.takesOlderConfigurations = true; }, 275},
    };
    return kAll;
}

std::optional<std::string> brokenRule(const Plan& plan, Figures* figures) {
    Deployment deployment(plan);
    try {
        const Figures played = deployment.run();
        if (figures != nullptr) figures->add(played);
        return std::nullopt;
    } catch (const RuleBroken& broken) {
        return deployment.description() + ": " + broken.what();
    }
}

Hunt huntFor(const PlantedFault& fault, std::uint64_t first, std::uint64_t most) {
    Plan plan;
    fault.plant(plan.faults);
    Hunt hunt;
    while (!hunt.found && hunt.histories < most) {
        plan.seed = first + hunt.histories++;
        hunt.found = brokenRule(plan);
        // A history that breaks a rule without the fault as well says nothing of the fault.
        Plan sound;
        sound.seed = plan.seed;
        if (hunt.found && brokenRule(sound)) hunt.found.reset();
    }
    return hunt;
}

}  // namespace marldale::simulation
