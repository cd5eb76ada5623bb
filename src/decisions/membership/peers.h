// Which instances are there: SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent Infection-style
// Process Group Membership Protocol", 2002), with suspicion and incarnations. No I/O: time and messages are
// values.
//
// Each period a member pings one other, in a shuffled round. Without an ack in time it asks a few others to
// ping it; without an ack by the period's end it is suspected, and dead when the suspicion has run out.
// Whoever hears that it is itself suspected answers with a higher incarnation. What changed rides on pings
// and acks, the least told first.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "policy/types.h"

namespace marldale::membership {

// How an instance is called, and where it is reached: HOST:PORT.
struct PeerEndpoint {
    std::string name, address;
    bool operator==(const PeerEndpoint&) const = default;
};

enum class PeerState : std::uint8_t { alive, suspect, dead, left };

struct Gossip {
    std::string name;
    std::uint64_t incarnation = 0;  // a start's time, raised by refutations
    PeerState state = PeerState::alive;
    std::string address = {};  // where it is reached, as it says itself
    bool operator==(const Gossip&) const = default;
};

struct PeerMessage {
    enum class Kind : std::uint8_t { ping, ack, askToPing, leave };
    Kind kind = Kind::ping;
    std::string from, to;
    std::uint64_t number = 0;  // an ack has its ping's
    std::string about;         // askToPing: whom to ping; an ack that was asked for: who answered
    std::vector<Gossip> gossip;
};

struct PeerRules {
    Micros period = 1000000;
    Micros ackWithin = 300000;  // then others are asked
    unsigned askedMost = 5;
    double suspicionPeriods = 2;  // times log2 of the members, and one
    unsigned gossipMost = 16;     // in a message
    double toldTimes = 3;         // times log2 of the members, and one: how often each change is told
    std::size_t membersMost = 1000;
    Micros deadKept = 60 * 1000000LL;
    std::size_t gossipIn = 64;  // taken of one message
};

struct PeerEvent {
    enum class Kind : std::uint8_t { joined, suspected, recovered, died, left, duplicateName };
    Kind kind = Kind::joined;
    std::string name;
    bool operator==(const PeerEvent&) const = default;
};

class Peers {
public:
    // `incarnation`: of this start; must be higher than at any earlier start, the wall clock's seconds for
    // instance.
    Peers(std::string self, std::string address, std::uint64_t incarnation, PeerRules rules,
          std::uint64_t seed);

    // Where this one is reached, if that was not known at once.
    void setAddress(const std::string& address) { address_ = address; }
    // Someone to begin with, as settings name it.
    void addSeed(const std::string& name, const std::string& address, Micros now);
    [[nodiscard]] std::string addressOf(const std::string& name) const;  // empty: nobody knows

    [[nodiscard]] std::vector<PeerMessage> tick(Micros now);
    [[nodiscard]] std::vector<PeerMessage> received(const PeerMessage& message, Micros now);
    // The last words; nothing is answered afterwards.
    [[nodiscard]] std::vector<PeerMessage> leave(Micros now);
    [[nodiscard]] Micros nextDue() const;

    [[nodiscard]] std::map<std::string, PeerState> members() const;
    [[nodiscard]] std::vector<std::string> alive() const;  // suspects too, without itself
    [[nodiscard]] std::uint64_t incarnation() const { return incarnation_; }
    [[nodiscard]] std::vector<PeerEvent> takeEvents();
    [[nodiscard]] const std::string& self() const { return self_; }

private:
    struct Member {
        std::uint64_t incarnation = 0;
        PeerState state = PeerState::alive;
        std::string address;
        Micros since = 0;
        unsigned told = 0;     // times that this was gossiped
        bool doubled = false;  // another one of this name was heard too
    };
    struct Probe {
        std::string name;
        std::uint64_t number = 0;
        Micros begun = 0;
        bool asked = false, answered = false;
    };
    struct Asked {  // a ping on somebody's behalf
        std::string by, about;
        std::uint64_t theirs = 0;
        Micros until = 0;
    };
    void hear(const Gossip& gossip, Micros now);
    void noteDouble(const PeerMessage& message);
    void set(const std::string& name, std::uint64_t incarnation, PeerState state, Micros now,
             const std::string& address = {});
    [[nodiscard]] PeerMessage message(PeerMessage::Kind kind, const std::string& to, std::uint64_t number,
                                      const std::string& about = {});
    void addGossip(std::vector<Gossip>& into, const std::string& to);
    [[nodiscard]] std::string nextOfRound();
    [[nodiscard]] double logOfMembers() const;
    [[nodiscard]] std::uint32_t random(std::uint32_t below);
    void endProbe(Micros now);
    void ageSuspicions(Micros now);
    void event(PeerEvent::Kind kind, const std::string& name) { events_.push_back({kind, name}); }

    const std::string self_;
    std::string address_;
    std::uint64_t incarnation_;
    const std::uint64_t firstIncarnation_;
    const PeerRules rules_;
    std::map<std::string, Member> members_;  // without itself
    std::vector<std::string> round_;
    std::optional<Probe> probe_;
    std::map<std::uint64_t, Asked> asked_;
    std::vector<PeerEvent> events_;
    std::uint64_t lastNumber_ = 0, random_;
    Micros nextPeriod_ = 0;
    bool begun_ = false, gone_ = false;
    unsigned selfTold_ = 0;  // its own refutation
};

}  // namespace marldale::membership
