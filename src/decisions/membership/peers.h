// Membership of the planner's instances, by SWIM (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent
// Infection-style Process Group Membership Protocol", 2002) with suspicion and incarnations. No I/O: time and
// messages are passed in and returned.
//
// Each period a member pings one other, in shuffled order. Without an ack in time it asks a few others to
// ping it; without an ack by the end of the period the member is suspected, and declared dead when the
// suspicion has run out. A member that hears that it is suspected refutes this with a higher incarnation.
// Changes are gossiped on pings and acks, those gossiped least often first.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "policy/types.h"

namespace marldale::membership {

/// The name of an instance and its address, HOST:PORT.
struct PeerEndpoint {
    std::string name, address;
    bool operator==(const PeerEndpoint&) const = default;
};

/// In ascending severity: of two claims with the same incarnation the more severe one holds.
enum class PeerState : std::uint8_t { alive, suspect, dead, left };

/// A claim about one member.
struct Gossip {
    std::string name;
    std::uint64_t incarnation = 0;  // the time of the member's start, raised by each refutation
    PeerState state = PeerState::alive;
    std::string address = {};  // as the member itself states it
    bool operator==(const Gossip&) const = default;
};

struct PeerMessage {
    enum class Kind : std::uint8_t { ping, ack, askToPing, leave };
    Kind kind = Kind::ping;
    std::string from, to;
    std::uint64_t number = 0;  // an ack repeats the number of its ping
    std::string about;  // askToPing: the member to ping; ack of such a request: the member that answered
    std::vector<Gossip> gossip;
};

struct PeerRules {
    Micros period = 1000000;
    Micros ackTimeout = 300000;  // then others are asked to ping
    unsigned maxHelpers = 5;     // that are asked
    // A suspect is declared dead after this many periods, times 1 + log2 of the number of members.
    double suspicionPeriods = 2;
    unsigned maxGossip = 16;  // claims in a message
    // A change is gossiped this often, times 1 + log2 of the number of members.
    double gossipRepeats = 3;
    std::size_t maxMembers = 1000;
    Micros departedRetention = 60 * 1000000LL;  // of members that are dead or have left
    std::size_t maxReceivedGossip = 64;         // claims that are read of one message
};

struct PeerEvent {
    enum class Kind : std::uint8_t { joined, suspected, recovered, died, left, duplicateName };
    Kind kind = Kind::joined;
    std::string name;
    bool operator==(const PeerEvent&) const = default;
};

/// One instance's view of the others.
class Peers {
public:
    /// `incarnation` must be higher than at any earlier start: for instance, the wall clock's seconds.
    Peers(std::string self, std::string address, std::uint64_t incarnation, PeerRules rules,
          std::uint64_t seed);

    /// Sets this instance's own address, if it was not known at construction.
    void setAddress(const std::string& address) { address_ = address; }
    /// Adds a member that the settings name; it is not alive until it has been heard from.
    void addSeed(const std::string& name, const std::string& address, Micros now);
    /// Empty if the member or its address is unknown.
    [[nodiscard]] std::string addressOf(const std::string& name) const;

    /// Does what is due, and returns the messages to send. To be called when `nextDue` has come.
    [[nodiscard]] std::vector<PeerMessage> tick(Micros now);
    /// Takes in a message, and returns the messages to send.
    [[nodiscard]] std::vector<PeerMessage> received(const PeerMessage& incoming, Micros now);
    /// Returns the messages that announce an orderly departure. Messages are ignored afterwards.
    [[nodiscard]] std::vector<PeerMessage> leave(Micros now);
    [[nodiscard]] Micros nextDue() const;

    /// All known members but this instance, including those that have departed lately.
    [[nodiscard]] std::map<std::string, PeerState> members() const;
    /// The members that were heard from and have not departed, suspects included, without this instance.
    [[nodiscard]] std::vector<std::string> alive() const;
    [[nodiscard]] std::uint64_t incarnation() const { return incarnation_; }
    /// The events since the last call.
    [[nodiscard]] std::vector<PeerEvent> takeEvents();
    [[nodiscard]] const std::string& self() const { return self_; }

private:
    struct Member {
        std::uint64_t incarnation = 0;
        PeerState state = PeerState::alive;
        std::string address;
        Micros since = 0;
        unsigned timesGossiped = 0;      // since it last changed
        bool duplicateReported = false;  // another instance has the same name
    };
    struct Probe {
        std::string name;
        std::uint64_t number = 0;
        Micros begun = 0;
        bool helpersAsked = false, answered = false;
    };
    struct RelayedPing {  // sent on behalf of another member
        std::string requester, target;
        std::uint64_t requestNumber = 0;
        Micros until = 0;
    };
    void applyGossip(const Gossip& gossip, Micros now);
    void detectDuplicate(const PeerMessage& incoming);
    void set(const std::string& name, std::uint64_t incarnation, PeerState state, Micros now,
             const std::string& address = {});
    [[nodiscard]] PeerMessage makeMessage(PeerMessage::Kind kind, const std::string& to, std::uint64_t number,
                                          const std::string& about = {});
    void addGossip(std::vector<Gossip>& into, const std::string& to);
    [[nodiscard]] std::string nextToProbe();
    [[nodiscard]] double logMembers() const;
    [[nodiscard]] std::uint32_t random(std::uint32_t below);
    void endProbe(Micros now);
    void expireSuspicions(Micros now);
    void event(PeerEvent::Kind kind, const std::string& name) { events_.push_back({kind, name}); }

    const std::string self_;
    std::string address_;
    std::uint64_t incarnation_;
    const std::uint64_t firstIncarnation_;
    const PeerRules rules_;
    std::map<std::string, Member> members_;  // without this instance
    std::vector<std::string> probeOrder_;    // the rest of this round, the last one next
    std::optional<Probe> probe_;
    std::map<std::uint64_t, RelayedPing> relayedPings_;  // by the number of the ping
    std::vector<PeerEvent> events_;
    std::uint64_t lastNumber_ = 0, randomState_;
    Micros nextPeriod_ = 0;
    bool started_ = false, left_ = false;
    unsigned refutationGossiped_ = 0;  // times
};

}  // namespace marldale::membership
