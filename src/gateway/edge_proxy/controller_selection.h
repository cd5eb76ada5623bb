// Selects the controller that an edge proxy follows and decides when to leave it. Controllers of the proxy's
// own zone come first, then the order is a hash of the proxy's name; recently failed ones come last.
// Freshness is measured from the proxy's own marks (transport/echo.h): a heartbeat proves contact with a
// majority only for the earliest time at which it can have been sent, never for its arrival. No I/O: time and
// received messages are parameters.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "gateway/settings/settings.h"
#include "gateway/transport/echo.h"
#include "marldale/gateway/internal.pb.h"
#include "policy/types.h"

namespace marldale::edge_proxy {

namespace proto = gateway::proto;

// Faults injected by tests and by the simulation. All are off in production.
struct SelectionFaults {
    bool trustsArrival = false;      // dates a heartbeat by its arrival
    bool staysWithoutProof = false;  // keeps a controller without quorum contact while it sends anything
};

// Time limits of the selection, in microseconds.
struct SelectionLimits {
    Micros maxContactAge = 1200000;  // with an older proof of quorum contact the controller is left
    Micros maxSilence = 1100000;     // with no message for longer the controller is left
    Micros isolatedAfter = 2500000;  // without any proof for longer the configuration may be stale
    // A new controller that reports stale quorum contact itself is left after this time.
    Micros unprovenTimeout = 400000;
    // After a longer pause of this process the controller gets `unprovenTimeout` to answer before it is
    // judged.
    Micros maxLoopDelay = 600000;
    Micros failureMemory = 5000000;  // how long a failure counts
    Micros forgetAfter = 60000000;   // a failed controller that no peer mentions is dropped after this time
};
// Derives the limits from the configured bounds.
[[nodiscard]] SelectionLimits selectionLimits(const settings::Bounds& bounds);

// Why a controller is left.
enum class LeaveReason { silent, noQuorumContact, closed, olderConfiguration };
[[nodiscard]] const char* textOf(LeaveReason reason);

/// Components of the age of the newest proof of contact, in microseconds; they show where a heartbeat was
/// delayed.
struct ContactDelay {
    Micros roundTrip = 0;      ///< of a mark and its echo, without the controller's holding time
    Micros held = 0;           ///< at the controller, from the mark's arrival to the heartbeat
    Micros controllerAge = 0;  ///< age of the controller's own quorum contact
    bool counted = false;      ///< the heartbeat was accepted as proof
};

// Tracks known controllers and the state of the one that is followed.
class ControllerSelection {
public:
    // Whether peers still mention a controller.
    using Named = std::function<bool(const std::string& address)>;

    // `start`: see transport::EchoSender.
    ControllerSelection(SelectionLimits limits, std::string node, std::string zone, std::uint64_t start,
                        Micros now, SelectionFaults faults = {});

    // ---- candidates ----
    void know(const proto::Peer& peer);
    void knowAddress(const std::string& address);  // a seed without further details
    // The controller to dial now; empty if none is known.
    [[nodiscard]] std::optional<std::string> choose(Micros now, const Named& named);
    void failed(Micros now, const std::string& address);

    // ---- the controller that is followed ----
    void bound(Micros now, const std::string& address);
    void left(Micros now, LeaveReason reason);
    [[nodiscard]] bool isBound() const { return !address_.empty(); }
    [[nodiscard]] const std::string& address() const { return address_; }
    // The mark to send to the controller now.
    [[nodiscard]] std::uint64_t mark(Micros now) { return marks_.next(now); }
    // Evaluates a heartbeat. `heldIndex`: index of this proxy's configuration.
    void heartbeat(Micros now, const proto::Heartbeat& heartbeat, std::uint64_t heldIndex);
    /// The earliest time at which the heartbeat can have been sent; empty if its echo is unknown.
    [[nodiscard]] std::optional<Micros> sentNoEarlier(const proto::Heartbeat& heartbeat) const;
    // Whether the controller must be left now, and why. `heardAt`: time of the last message. To be called
    // several times a second.
    [[nodiscard]] std::optional<LeaveReason> check(Micros now, Micros heardAt);

    // Whether the current controller's quorum contact is proven and recent enough.
    [[nodiscard]] bool proven(Micros now) const;
    // The configuration was complete at most this long ago; counted from the start if never.
    [[nodiscard]] Micros contactAge(Micros now) const;
    /// Of the newest heartbeat of any controller.
    [[nodiscard]] const ContactDelay& delay() const { return delay_; }
    [[nodiscard]] bool isolated(Micros now) const { return contactAge(now) > limits_.isolatedAfter; }

private:
    struct Candidate {
        proto::Peer peer;
        Micros failedAt = 0;  // 0: no recent failure
    };
    void forgetFailed(Micros now, const Named& named);
    [[nodiscard]] std::optional<std::string> best() const;

    SelectionLimits limits_;
    SelectionFaults faults_;
    std::string node_, zone_;
    std::map<std::string, Candidate> candidates_;  // by internal address
    transport::EchoSender marks_;
    std::string address_;
    Micros startedAt_;
    Micros boundAt_ = 0;
    Micros contactAt_ = 0;  // 0: no proof yet
    Micros checkedAt_ = 0;
    Micros loopDelayGraceUntil_ = 0;  // set after this process was delayed
    bool reportedNoContact_ = false;
    ContactDelay delay_;
};

}  // namespace marldale::edge_proxy
