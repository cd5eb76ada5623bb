// Tests of SWIM membership in random networks with loss, delay, duplicated messages, partitions and duplicate
// names. Time is virtual.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "membership/peers.h"
#include "standin/peer_network.h"

namespace marldale::membership {
namespace {

constexpr Micros kSecond = 1000000;

using Network = standin::PeerNetwork;

RC_GTEST_PROP(PeersProperty, AllFindEachOtherThroughOneSeedAndWithoutLossNoneIsSuspected,
              (std::uint32_t seed)) {
    Network network(5 + static_cast<int>(seed % 20), 0, seed);
    network.run(40 * kSecond);
    RC_ASSERT(network.allSee(network.nodes.size() - 1));
    RC_ASSERT(network.count(PeerEvent::Kind::suspected) == 0U);
    RC_ASSERT(network.count(PeerEvent::Kind::died) == 0U);
}

RC_GTEST_PROP(PeersProperty, AMemberThatVanishesIsDeadToAllInTimeAndRejoinsWithAHigherIncarnation,
              (std::uint32_t seed)) {
    Network network(10, 0.05, seed);
    network.run(40 * kSecond);
    network.kill("n3");
    // Long enough for a round of pings, the suspicion, and the gossip of its death.
    network.run(45 * kSecond);
    for (const auto& [name, node] : network.nodes) {
        const auto members = node->members();
        const auto at = members.find("n3");
        RC_ASSERT(at == members.end() || at->second == PeerState::dead);
    }
    network.start("n3", 2);
    network.run(30 * kSecond);
    RC_ASSERT(network.allSee(9));
}

RC_GTEST_PROP(PeersProperty, AfterAPartitionEndsAllFindEachOtherAgain, (std::uint32_t seed)) {
    Network network(8, 0, seed);
    network.run(30 * kSecond);
    network.apart = {"n1", "n2", "n3"};
    network.run(40 * kSecond);
    RC_ASSERT(network.nodes.at("n0")->alive().size() == 4U);
    RC_ASSERT(network.nodes.at("n1")->alive().size() == 2U);
    network.apart.clear();
    network.run(60 * kSecond);
    RC_ASSERT(network.allSee(7));
}

TEST(Peers, ASuspectThatRefutesIsNotDeclaredDead) {
    Network network(6, 0, 1);
    network.run(20 * kSecond);
    // One member is cut off: long enough to be suspected, too short to be declared dead.
    network.apart = {"n2"};
    network.run(5 * kSecond);
    EXPECT_GT(network.count(PeerEvent::Kind::suspected, "n2"), 0U);
    network.apart.clear();
    network.run(20 * kSecond);
    EXPECT_EQ(network.count(PeerEvent::Kind::died, "n2"), 0U);
    EXPECT_GT(network.nodes.at("n2")->incarnation(), 1U);
    EXPECT_TRUE(network.allSee(5));
}

TEST(Peers, AMemberThatLeavesInAnOrderlyWayIsNeverSuspected) {
    Network network(6, 0, 2);
    network.run(20 * kSecond);
    network.send(network.nodes.at("n4")->leave(network.now));
    network.kill("n4");
    network.run(10 * kSecond);
    EXPECT_EQ(network.count(PeerEvent::Kind::suspected, "n4"), 0U);
    EXPECT_EQ(network.count(PeerEvent::Kind::left, "n4"), 5U);
}

TEST(Peers, AnInstanceDetectsThatAnotherHasItsName) {
    Peers peers("n0", "n0", 5, {}, 1);
    peers.addSeed("n1", "n1", 0);
    const PeerMessage ping{PeerMessage::Kind::ping, "n1", "n0", 1, "", {{"n0", 9, PeerState::alive, "x"}}};
    (void)peers.received(ping, kSecond);
    const auto events = peers.takeEvents();
    ASSERT_EQ(events.size(), 1U);
    EXPECT_EQ(events[0].kind, PeerEvent::Kind::duplicateName);
}

TEST(Peers, ADuplicateNameAtTwoAddressesIsDetectedByOthers) {
    Peers peers("n0", "n0", 5, {}, 1);
    const auto messageFrom = [](const std::string& address, std::uint64_t incarnation) {
        return PeerMessage{
            PeerMessage::Kind::ping, "n1", "n0", 1, "", {{"n1", incarnation, PeerState::alive, address}}};
    };
    (void)peers.received(messageFrom("a:1", 7), kSecond);
    (void)peers.received(messageFrom("b:1", 9), 2 * kSecond);  // restarted at another address
    EXPECT_EQ(peers.takeEvents().size(), 1U) << "the event that it joined";
    for (int i = 0; i < 3; ++i) (void)peers.received(messageFrom("a:1", 7), 3 * kSecond);
    const auto events = peers.takeEvents();
    ASSERT_EQ(events.size(), 1U) << "reported once";
    EXPECT_EQ(events[0].kind, PeerEvent::Kind::duplicateName);
    EXPECT_EQ(events[0].name, "n1");
    EXPECT_EQ(peers.addressOf("n1"), "b:1");
}

TEST(Peers, AnImpossibleIncarnationDoesNotPreventRefutation) {
    Peers peers("n0", "n0", 5, {}, 1);
    const PeerMessage forged{
        PeerMessage::Kind::ping, "n1", "n0", 1, "", {{"n0", ~std::uint64_t{0}, PeerState::dead, ""}}};
    (void)peers.received(forged, kSecond);
    EXPECT_EQ(peers.incarnation(), 5U);
    const PeerMessage suspicion{
        PeerMessage::Kind::ping, "n1", "n0", 2, "", {{"n0", 5, PeerState::suspect, ""}}};
    (void)peers.received(suspicion, kSecond);
    EXPECT_EQ(peers.incarnation(), 6U);
}

TEST(Peers, MembersAndMessagesAreBoundedUnderAFloodOfGossip) {
    PeerRules rules;
    rules.maxMembers = 50;
    Peers peers("n0", "n0", 5, rules, 1);
    PeerMessage flood{PeerMessage::Kind::ping, "n1", "n0", 1, "", {}};
    for (int round = 0; round < 20; ++round) {
        flood.gossip.clear();
        for (int i = 0; i < 1000; ++i)
            flood.gossip.push_back({"x" + std::to_string(round * 1000 + i), 1, PeerState::alive});
        const auto out = peers.received(flood, kSecond);
        ASSERT_EQ(out.size(), 1U);
        EXPECT_LE(out[0].gossip.size(), rules.maxGossip + 1);
    }
    EXPECT_LE(peers.members().size(), 50U);
}

}  // namespace
}  // namespace marldale::membership
