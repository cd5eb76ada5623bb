// Whom a planner that starts asks what is known, and when: no I/O, time is a parameter. It never waits: it
// serves from its first turn, and what an answer says is told whenever it comes.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "policy/types.h"

namespace marldale::recovery {

struct AskRules {
    Micros window = 10 * 1000000LL;       // from the start: nobody is asked later, nothing is told later
    Micros answerWithin = 2 * 1000000LL;  // then the peer counts as mute
    Micros again = 1000000;               // after no use came of it; doubled each time
    unsigned atOnce = 3;                  // askings that are out
    Micros copyHolds = 250000;            // a donor's copy is shared by all who ask so soon: it may be so old
};

class Asking {
public:
    Asking(AskRules rules, std::uint64_t seed, Micros now);

    // May be asked; to be called whenever a peer becomes known.
    void know(const std::string& peer, Micros now);
    // Whom to ask now. Askings that stayed without an answer are given up here.
    [[nodiscard]] std::vector<std::string> due(Micros now);
    // `useful`: it knew something of boxes that are on our list. A peer that did not, for it has just started
    // itself, or that failed, is asked again later.
    void answered(const std::string& peer, bool useful, Micros now);
    void failed(const std::string& peer, Micros now) { answered(peer, false, now); }
    // Whether what this peer says is still awaited: nobody may answer who was not asked.
    [[nodiscard]] bool awaits(const std::string& peer) const;

    [[nodiscard]] bool over(Micros now) const;  // all have answered, or the window has passed
    [[nodiscard]] bool open(Micros now) const { return now < began_ + rules_.window; }
    [[nodiscard]] std::optional<Micros> nextDue(Micros now) const;

private:
    struct Peer {
        bool asked = false, done = false;
        Micros at = 0;  // asked: since when; else: when it may be asked
        unsigned tries = 0;
        std::uint64_t turn = 0;  // the order of the first round is drawn
    };
    const AskRules rules_;
    const Micros began_;
    std::uint64_t random_;
    std::map<std::string, Peer> peers_;
};

}  // namespace marldale::recovery
