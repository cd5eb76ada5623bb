// Which controller an edge proxy follows, and when it leaves it: one of its own zone first, else by a hash of
// the proxy's name, and not one that has just failed. Freshness counts from the proxy's own marks
// (transport/echo.h): a heartbeat proves contact with a majority only for the time at which it was sent at
// the earliest, never for the time at which it arrived. No I/O: time and what the link has brought come in as
// values.
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

// Planted by tests and by the simulation. All off in service.
struct SelectionFaults {
    bool trustsArrival = false;      // a heartbeat counts from its arrival
    bool staysWithoutProof = false;  // a controller without contact isn't left while it sends anything
};

struct SelectionLimits {
    Micros contact = 1200000;   // an older proof of contact with a majority: the controller is left
    Micros maxSilence = 1100000;    // nothing at all came for so long
    Micros stranded = 2500000;  // no proof from anyone: what is held may be old
    Micros unproven =
        400000;  // a new controller that itself tells of a contact of long ago is left after this
    Micros lateLoop = 600000;  // this process itself didn't run for so long: the controller gets `unproven`
                               // to answer before it is blamed
    Micros forgive = 5000000;  // a failure counts for so long
    Micros forget = 60000000;  // a controller that failed and that nobody names any more is dropped
};
[[nodiscard]] SelectionLimits selectionLimits(const settings::Bounds& bounds);

enum class LeaveReason { silent, noQuorumContact, closed, olderConfiguration };
[[nodiscard]] const char* textOf(LeaveReason reason);

/// What the age of the newest proof of contact is made of, in microseconds: where a heartbeat was held up.
struct ContactDelay {
    Micros roundTrip = 0;  ///< of a mark to the controller and its echo back, without the time it was held
    Micros held = 0;       ///< by the controller, from the mark's arrival to the heartbeat
    Micros controllerAge = 0;  ///< of the controller's own contact with a majority
    bool counted = false;      ///< the heartbeat was taken as proof
};

class ControllerSelection {
public:
    // Whether others still speak of a controller.
    using Named = std::function<bool(const std::string& address)>;

    // `start`: see transport::EchoSender.
    ControllerSelection(SelectionLimits limits, std::string node, std::string zone, std::uint64_t start,
                        Micros now, SelectionFaults faults = {});

    // ---- candidates ----
    void know(const proto::Peer& peer);
    void knowAddress(const std::string& address);  // a seed, of which nothing else is known
    // The controller to dial now; nothing if none is known.
    [[nodiscard]] std::optional<std::string> choose(Micros now, const Named& named);
    void failed(Micros now, const std::string& address);

    // ---- the controller that is followed ----
    void bound(Micros now, const std::string& address);
    void left(Micros now, LeaveReason reason);
    [[nodiscard]] bool isBound() const { return !at_.empty(); }
    [[nodiscard]] const std::string& address() const { return at_; }
    // A mark to send to it now.
    [[nodiscard]] std::uint64_t mark(Micros now) { return marks_.next(now); }
    // `heldIndex`: of the configuration that this proxy holds.
    void heartbeat(Micros now, const proto::Heartbeat& heartbeat, std::uint64_t heldIndex);
    /// When the heartbeat was sent at the earliest; nothing where its echo says nothing.
    [[nodiscard]] std::optional<Micros> sentNoEarlier(const proto::Heartbeat& heartbeat) const;
    // Whether it must be left now. `heardAt`: when anything came last. Called several times a second.
    [[nodiscard]] std::optional<LeaveReason> check(Micros now, Micros heardAt);

    // The present controller's contact to a majority is proven, and recent enough.
    [[nodiscard]] bool proven(Micros now) const;
    // What is held was complete so long ago at most; since the start if never.
    [[nodiscard]] Micros contactAge(Micros now) const;
    /// Of the newest heartbeat of any controller.
    [[nodiscard]] const ContactDelay& delay() const { return delay_; }
    [[nodiscard]] bool stranded(Micros now) const { return contactAge(now) > limits_.stranded; }

private:
    struct Candidate {
        proto::Peer peer;
        Micros failedAt = 0;  // 0: it hasn't
    };
    void forgetFailed(Micros now, const Named& named);
    [[nodiscard]] std::optional<std::string> best() const;

    SelectionLimits limits_;
    SelectionFaults faults_;
    std::string node_, zone_;
    std::map<std::string, Candidate> candidates_;  // by inside address
    transport::EchoSender marks_;
    std::string at_;
    Micros startedAt_;
    Micros boundAt_ = 0;
    Micros contactAt_ = 0;  // 0: no proof yet
    Micros checkedAt_ = 0;
    Micros patienceUntil_ = 0;  // after this process itself was late
    bool toldNoContact_ = false;
    ContactDelay delay_;
};

}  // namespace marldale::edge_proxy
