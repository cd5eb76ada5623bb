// Selection of a controller by an edge proxy over links that delay messages or work one way only, and with
// processes that freeze. Virtual time.
#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>

#include "gateway/edge_proxy/controller_selection.h"

namespace marldale::edge_proxy {
namespace {

constexpr Micros kSecond = 1000000, kStep = 10000, kHeartbeatEvery = 300000, kCheckEvery = 250000;
constexpr const char* kFollowed = "10.0.0.1:7000";
constexpr const char* kOther = "10.0.0.2:7000";

// One controller and the proxy that follows it, over a link with a delay of 2 ms each way.
struct World {
    explicit World(SelectionFaults faults = {}) : selection(limits, "proxy", "north", 1000, 0, faults) {
        selection.knowAddress(kFollowed);
        bind();
    }
    void bind() {
        selection.bound(now, kFollowed);
        leftAt.reset();
        toController.push_back({now, selection.mark(now)});
    }
    struct MarkSent {
        Micros at;
        std::uint64_t mark;
    };
    struct HeartbeatSent {
        Micros at;
        proto::Heartbeat heartbeat;
    };
    void controllerStep() {
        if (controllerFrozen) return;
        // Delayed frames arrive in order once the link recovers.
        while (!toControllerDelayed && !toController.empty() && toController.front().at + kTransit <= now) {
            received.received(now, toController.front().mark);
            toController.pop_front();
        }
        if (controllerInContact) controllerContactAt = now;
        if (now < nextHeartbeat) return;
        nextHeartbeat = now + kHeartbeatEvery;
        proto::Heartbeat heartbeat;
        heartbeat.set_age(now - controllerContactAt);
        heartbeat.set_index(5);
        heartbeat.set_echo(received.mark());
        heartbeat.set_echo_held(received.held(now));
        toProxy.push_back({now, heartbeat});
    }
    void proxyStep() {
        if (proxyFrozen || leftAt) return;
        // A late check runs before buffered messages are read: the worse of the two orders.
        if (now >= nextCheck) {
            nextCheck = now + kCheckEvery;
            if (const auto reason = selection.check(now, heardAt)) {
                leftAt = now;
                leftFor = *reason;
                selection.left(now, *reason);
                return;
            }
        }
        while (!toProxyDelayed && !toProxy.empty() && toProxy.front().at + kTransit <= now) {
            heardAt = now;
            selection.heartbeat(now, toProxy.front().heartbeat, heldIndex);
            toController.push_back({now, selection.mark(now)});
            toProxy.pop_front();
        }
        // The proxy's contact time must never be newer than the controller's.
        overestimatedContact = overestimatedContact || now - selection.contactAge(now) > controllerContactAt;
    }
    void run(Micros span) {
        for (const Micros until = now + span; now < until; now += kStep) {
            controllerStep();
            proxyStep();
        }
    }

    // Heartbeats are delayed while the controller loses its quorum contact and freezes; then they all arrive.
    void losesContactBehindDelayedLink() {
        run(5 * kSecond);
        toProxyDelayed = true;
        run(kSecond * 2 / 5);
        controllerInContact = false;
        controllerFrozen = true;
        run(kSecond * 2 / 5);
        toProxyDelayed = false;
    }

    static constexpr Micros kTransit = 2000;
    SelectionLimits limits;
    ControllerSelection selection;
    transport::EchoReceiver received;
    Micros now = 0, nextHeartbeat = 0, nextCheck = 0, heardAt = 0, controllerContactAt = 0;
    std::uint64_t heldIndex = 5;
    std::deque<MarkSent> toController;
    std::deque<HeartbeatSent> toProxy;
    bool controllerFrozen = false, proxyFrozen = false, controllerInContact = true;
    bool toControllerDelayed = false, toProxyDelayed = false;
    bool overestimatedContact = false;
    std::optional<Micros> leftAt;
    LeaveReason leftFor = LeaveReason::closed;
};

}  // namespace

TEST_CASE("A proxy keeps a controller that has quorum contact", "[selection]") {
    World world;
    world.run(60 * kSecond);
    CHECK_FALSE(world.leftAt);
    CHECK_FALSE(world.overestimatedContact);
    CHECK(world.selection.contactAge(world.now) < world.limits.maxContactAge / 2);
}

TEST_CASE("A controller that is cut off from the majority is left within the limit", "[selection]") {
    World world;
    world.run(5 * kSecond);
    world.controllerInContact = false;
    world.run(20 * kSecond);
    REQUIRE(world.leftAt);
    CHECK(world.leftFor == LeaveReason::noQuorumContact);
    CHECK(*world.leftAt - 5 * kSecond <= world.limits.maxContactAge + 2 * kCheckEvery);
    CHECK_FALSE(world.overestimatedContact);
}

TEST_CASE("A controller is left if its link fails in either direction", "[selection]") {
    World world;
    world.run(5 * kSecond);
    SECTION("from the proxy to the controller: heartbeats arrive, and prove nothing any more") {
        world.toControllerDelayed = true;
        world.run(20 * kSecond);
        REQUIRE(world.leftAt);
        CHECK(world.leftFor == LeaveReason::noQuorumContact);
    }
    SECTION("from the controller to the proxy") {
        world.toProxyDelayed = true;
        world.run(20 * kSecond);
        REQUIRE(world.leftAt);
        CHECK(world.leftFor == LeaveReason::silent);
    }
    // Until the controller has received nothing for half the limit, its heartbeats still are valid proofs.
    CHECK(*world.leftAt - 5 * kSecond <=
          world.limits.maxContactAge * 3 / 2 + kHeartbeatEvery + 2 * kCheckEvery);
    CHECK_FALSE(world.overestimatedContact);
}

TEST_CASE("Delayed heartbeats prove contact only for the time at which they were sent", "[selection]") {
    World world;
    world.losesContactBehindDelayedLink();
    world.run(5 * kSecond);
    REQUIRE(world.leftAt);
    CHECK(*world.leftAt <= 6 * kSecond + world.limits.maxContactAge + 2 * kCheckEvery);
    CHECK_FALSE(world.overestimatedContact);
}

TEST_CASE("A frozen proxy does not trust heartbeats that arrived meanwhile", "[selection]") {
    World world;
    world.run(5 * kSecond);
    world.proxyFrozen = true;
    world.run(2 * kSecond);
    world.controllerInContact = false;  // while the proxy cannot learn of it
    world.run(18 * kSecond);
    world.proxyFrozen = false;
    world.run(3 * kSecond);
    REQUIRE(world.leftAt);
    CHECK(*world.leftAt <= 25 * kSecond + world.limits.maxContactAge + 2 * kCheckEvery);
    CHECK_FALSE(world.overestimatedContact);
}

TEST_CASE("A proxy with a late loop does not blame its controller", "[selection]") {
    World world;
    world.run(5 * kSecond);
    world.proxyFrozen = true;
    world.run(3 * kSecond);
    world.proxyFrozen = false;
    world.run(20 * kSecond);
    CHECK_FALSE(world.leftAt);
    CHECK_FALSE(world.overestimatedContact);
}

TEST_CASE("A frozen controller is left, and proves nothing when it resumes", "[selection]") {
    World world;
    world.run(5 * kSecond);
    world.controllerFrozen = true;
    world.controllerInContact = false;
    world.run(20 * kSecond);
    REQUIRE(world.leftAt);
    CHECK(world.leftFor == LeaveReason::silent);
    CHECK(*world.leftAt - 5 * kSecond <= world.limits.maxContactAge + 2 * kCheckEvery);
    // Bound again, the proxy learns of the lost contact at once and leaves before the limit.
    world.controllerFrozen = false;
    const Micros again = world.now;
    world.bind();
    world.run(5 * kSecond);
    REQUIRE(world.leftAt);
    CHECK(*world.leftAt - again <= world.limits.unprovenTimeout + kHeartbeatEvery + 2 * kCheckEvery);
    CHECK_FALSE(world.overestimatedContact);
}

TEST_CASE("A controller with an older configuration than the proxy's proves nothing", "[selection]") {
    World world;
    world.heldIndex = 6;
    world.run(5 * kSecond);
    REQUIRE(world.leftAt);
    CHECK(world.leftFor == LeaveReason::noQuorumContact);
}

TEST_CASE("Injected faults of the selection are detected", "[selection]") {
    SECTION("a heartbeat dated by its arrival") {
        SelectionFaults faults;
        faults.trustsArrival = true;
        World world(faults);
        world.losesContactBehindDelayedLink();
        world.run(5 * kSecond);
        CHECK(world.overestimatedContact);
    }
    SECTION("a controller that is never left") {
        SelectionFaults faults;
        faults.staysWithoutProof = true;
        World world(faults);
        world.controllerInContact = false;
        world.run(20 * kSecond);
        CHECK_FALSE(world.leftAt);
    }
}

TEST_CASE("A controller of the own zone comes first, and one that failed comes last", "[selection]") {
    ControllerSelection selection({}, "proxy", "north", 1, 0);
    const auto named = [](const std::string&) { return false; };
    CHECK_FALSE(selection.choose(0, named));
    proto::Peer near, far;
    near.set_address(kFollowed);
    near.set_zone("north");
    far.set_address(kOther);
    far.set_zone("south");
    selection.know(near);
    selection.know(far);
    CHECK(selection.choose(0, named) == kFollowed);
    selection.failed(kSecond, kFollowed);
    CHECK(selection.choose(2 * kSecond, named) == kOther);
    selection.failed(2 * kSecond, kOther);
    CHECK(selection.choose(3 * kSecond, named) == kFollowed);
    // Failures expire, and failed controllers that no peer mentions are dropped.
    CHECK(selection.choose(8 * kSecond, named) == kFollowed);
    selection.failed(9 * kSecond, kFollowed);
    selection.failed(9 * kSecond, kOther);
    CHECK_FALSE(selection.choose(100 * kSecond, named));
}

TEST_CASE("Limits are derived from the bound on applying a change", "[selection]") {
    settings::Bounds bounds;
    bounds.apply = 10 * kSecond;
    const SelectionLimits limits = selectionLimits(bounds);
    CHECK(limits.maxContactAge == 6 * kSecond);
    CHECK(limits.maxSilence < limits.maxContactAge);
    CHECK(limits.isolatedAfter > bounds.apply);
}

TEST_CASE("An echo bounds when a message was sent, and an unknown one proves nothing", "[selection]") {
    transport::EchoSender sender(500);
    transport::EchoReceiver receiver;
    CHECK(receiver.held(10) == 0);
    const std::uint64_t mark = sender.next(100);
    receiver.received(9000, mark);  // on the receiver's clock
    CHECK(receiver.held(9040) == 40);
    CHECK(sender.sentNoEarlier(receiver.mark(), receiver.held(9040)) == 140);
    CHECK_FALSE(sender.sentNoEarlier(mark + 1, 0));
    CHECK_FALSE(sender.sentNoEarlier(0, 0));
    // A very old mark is unknown too.
    for (Micros at = 0; at < 100; ++at) (void)sender.next(1000 + at);
    CHECK_FALSE(sender.sentNoEarlier(mark, 0));
}

}  // namespace marldale::edge_proxy
