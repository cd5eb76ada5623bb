// SWIM in random networks: loss, delay, doubling, partitions, two of one name. Virtual time.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "membership/peers.h"
#include "standin/peer_network.h"

namespace marldale::membership {
namespace {

constexpr Micros kSecond = 1000000;

using Network = standin::PeerNetwork;

RC_GTEST_PROP(PeersProperty, EverybodyIsFoundThroughOneAndNobodyIsTakenForDeadWithoutLoss,
              (std::uint32_t seed)) {
    Network net(5 + static_cast<int>(seed % 20), 0, seed);
    net.run(40 * kSecond);
    RC_ASSERT(net.allSee(net.nodes.size() - 1));
    RC_ASSERT(net.count(PeerEvent::Kind::suspected) == 0U);
    RC_ASSERT(net.count(PeerEvent::Kind::died) == 0U);
}

RC_GTEST_PROP(PeersProperty, OneThatVanishesIsDeadForAllInTimeAndComesBackWithAHigherIncarnation,
              (std::uint32_t seed)) {
    Network net(10, 0.05, seed);
    net.run(40 * kSecond);
    net.kill("n3");
    // A round to ping it, the suspicion, and the news of it.
    net.run(45 * kSecond);
    for (const auto& [name, node] : net.nodes) {
        const auto members = node->members();
        const auto at = members.find("n3");
        RC_ASSERT(at == members.end() || at->second == PeerState::dead);
    }
    net.start("n3", 2);
    net.run(30 * kSecond);
    RC_ASSERT(net.allSee(9));
}

RC_GTEST_PROP(PeersProperty, APartitionEndsAndAllAreFoundAgain, (std::uint32_t seed)) {
    Network net(8, 0, seed);
    net.run(30 * kSecond);
    net.apart = {"n1", "n2", "n3"};
    net.run(40 * kSecond);
    RC_ASSERT(net.nodes.at("n0")->alive().size() == 4U);
    RC_ASSERT(net.nodes.at("n1")->alive().size() == 2U);
    net.apart.clear();
    net.run(60 * kSecond);
    RC_ASSERT(net.allSee(7));
}

TEST(Peers, ASuspectRefutesAndIsNotDead) {
    Network net(6, 0, 1);
    net.run(20 * kSecond);
    // One is cut off for a little: long enough to be suspected, too short to be dead.
    net.apart = {"n2"};
    net.run(5 * kSecond);
    EXPECT_GT(net.count(PeerEvent::Kind::suspected, "n2"), 0U);
    net.apart.clear();
    net.run(20 * kSecond);
    EXPECT_EQ(net.count(PeerEvent::Kind::died, "n2"), 0U);
    EXPECT_GT(net.nodes.at("n2")->incarnation(), 1U);
    EXPECT_TRUE(net.allSee(5));
}

TEST(Peers, WhoLeavesInOrderIsNeverSuspected) {
    Network net(6, 0, 2);
    net.run(20 * kSecond);
    net.send(net.nodes.at("n4")->leave(net.now));
    net.kill("n4");
    net.run(10 * kSecond);
    EXPECT_EQ(net.count(PeerEvent::Kind::suspected, "n4"), 0U);
    EXPECT_EQ(net.count(PeerEvent::Kind::left, "n4"), 5U);
}

TEST(Peers, TwoOfOneNameAreNoticed) {
    Peers one("n0", "n0", 5, {}, 1);
    one.addSeed("n1", "n1", 0);
    const PeerMessage other{PeerMessage::Kind::ping, "n1", "n0", 1, "", {{"n0", 9, PeerState::alive, "x"}}};
    (void)one.received(other, kSecond);
    const auto events = one.takeEvents();
    ASSERT_EQ(events.size(), 1U);
    EXPECT_EQ(events[0].kind, PeerEvent::Kind::duplicateName);
}

TEST(Peers, TwoOfOneNameAtTwoPlacesAreNoticedByOthers) {
    Peers one("n0", "n0", 5, {}, 1);
    const auto says = [](const std::string& address, std::uint64_t incarnation) {
        return PeerMessage{
            PeerMessage::Kind::ping, "n1", "n0", 1, "", {{"n1", incarnation, PeerState::alive, address}}};
    };
    (void)one.received(says("a:1", 7), kSecond);
    (void)one.received(says("b:1", 9), 2 * kSecond);  // started anew, elsewhere
    EXPECT_EQ(one.takeEvents().size(), 1U) << "it joined";
    for (int i = 0; i < 3; ++i) (void)one.received(says("a:1", 7), 3 * kSecond);
    const auto events = one.takeEvents();
    ASSERT_EQ(events.size(), 1U) << "told once";
    EXPECT_EQ(events[0].kind, PeerEvent::Kind::duplicateName);
    EXPECT_EQ(events[0].name, "n1");
    EXPECT_EQ(one.addressOf("n1"), "b:1");
}

TEST(Peers, AnIncarnationThatCantBeDoesNotTakeRefutationAway) {
    Peers one("n0", "n0", 5, {}, 1);
    const PeerMessage lie{
        PeerMessage::Kind::ping, "n1", "n0", 1, "", {{"n0", ~std::uint64_t{0}, PeerState::dead, ""}}};
    (void)one.received(lie, kSecond);
    EXPECT_EQ(one.incarnation(), 5U);
    const PeerMessage word{PeerMessage::Kind::ping, "n1", "n0", 2, "", {{"n0", 5, PeerState::suspect, ""}}};
    (void)one.received(word, kSecond);
    EXPECT_EQ(one.incarnation(), 6U);
}

TEST(Peers, MessagesAreBoundedWhateverComes) {
    PeerRules rules;
    rules.membersMost = 50;
    Peers one("n0", "n0", 5, rules, 1);
    PeerMessage flood{PeerMessage::Kind::ping, "n1", "n0", 1, "", {}};
    for (int round = 0; round < 20; ++round) {
        flood.gossip.clear();
        for (int i = 0; i < 1000; ++i)
            flood.gossip.push_back({"x" + std::to_string(round * 1000 + i), 1, PeerState::alive});
        const auto out = one.received(flood, kSecond);
        ASSERT_EQ(out.size(), 1U);
        EXPECT_LE(out[0].gossip.size(), rules.gossipMost + 1);
    }
    EXPECT_LE(one.members().size(), 50U);
}

}  // namespace
}  // namespace marldale::membership
