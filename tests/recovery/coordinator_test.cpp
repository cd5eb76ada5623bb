// Queries to peers and the coordinator's actions, in virtual time: instances restart, contradict one another,
// fail in the middle of an answer or send false facts.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <random>

#include "recovery/coordinator.h"

namespace marldale::recovery {
namespace {

constexpr Micros kSecond = 1000000;

using ListedServer = Knowledge::ListedServer;

std::map<std::string, ListedServer> listOf(int servers, std::int64_t boot = 5) {
    std::map<std::string, ListedServer> out;
    for (int i = 0; i < servers; ++i) out["server-" + std::to_string(i)] = {ServerState::ready, boot};
    return out;
}

// ---- Queries to peers ----

TEST(PeerQueries, QueriesAFewPeersAtOnceAndNoneAgainAfterAUsefulAnswer) {
    PeerQueries queries({}, 1, 0);
    for (int i = 0; i < 5; ++i) queries.addPeer("n" + std::to_string(i), 0);
    const auto first = queries.takeDue(0);
    ASSERT_EQ(first.size(), 3U);
    EXPECT_TRUE(queries.takeDue(kSecond / 2).empty());
    queries.finish(first[0], true, kSecond / 2);
    queries.finish(first[1], true, kSecond / 2);
    const auto second = queries.takeDue(kSecond / 2);
    ASSERT_EQ(second.size(), 2U);
    for (const auto& name : second) {
        EXPECT_EQ(std::count(first.begin(), first.end(), name), 0);
        queries.finish(name, true, kSecond);
    }
    EXPECT_FALSE(queries.finished(kSecond));
    queries.finish(first[2], true, kSecond);
    EXPECT_TRUE(queries.finished(kSecond));
    EXPECT_FALSE(queries.nextDue(kSecond));
}

TEST(PeerQueries, RetriesSilentAndUninformedPeersWithBackoffUntilTheWindowCloses) {
    PeerQueries queries({}, 1, 0);
    queries.addPeer("n1", 0);
    ASSERT_EQ(queries.takeDue(0).size(), 1U);
    EXPECT_EQ(queries.nextDue(0), 2 * kSecond);
    EXPECT_TRUE(queries.takeDue(2 * kSecond).empty()) << "timed out, and not yet due again";
    EXPECT_FALSE(queries.isPending("n1"));
    ASSERT_EQ(queries.takeDue(3 * kSecond).size(), 1U);
    queries.finish("n1", false, 3 * kSecond);
    EXPECT_TRUE(queries.takeDue(4 * kSecond).empty()) << "the delay doubles with each attempt";
    ASSERT_EQ(queries.takeDue(5 * kSecond).size(), 1U);
    queries.fail("n1", 5 * kSecond);
    EXPECT_TRUE(queries.takeDue(10 * kSecond).empty());
    EXPECT_TRUE(queries.finished(10 * kSecond));
    EXPECT_FALSE(queries.nextDue(10 * kSecond));
}

RC_GTEST_PROP(PeerQueriesProperty, NeverMoreThanTheLimitIsInFlight, (std::uint32_t seed)) {
    std::mt19937_64 random(seed);
    PeerQueries queries({}, seed, 0);
    std::set<std::string> inFlight;
    std::map<std::string, int> attempts;
    for (Micros now = 0; now < 12 * kSecond; now += static_cast<Micros>(random() % 300000)) {
        if (random() % 3 == 0) queries.addPeer("n" + std::to_string(random() % 8), now);
        for (const auto& name : queries.takeDue(now)) {
            inFlight.insert(name);
            ++attempts[name];
        }
        std::erase_if(inFlight, [&](const std::string& n) { return !queries.isPending(n); });
        RC_ASSERT(inFlight.size() <= 3U);
        if (!inFlight.empty() && random() % 2 == 0) {
            queries.finish(*inFlight.begin(), random() % 2 == 0, now);
            inFlight.erase(inFlight.begin());
        }
    }
    for (const auto& [name, count] : attempts) RC_ASSERT(count <= 5);
}

// ---- Coordinator ----

// Instances connected by a network without delay.
class Instances {
public:
    Coordinator& start(const std::string& name, std::uint64_t incarnation,
                       const std::map<std::string, ListedServer>& list, std::uint64_t version) {
        CoordinatorSettings settings;
        settings.self = name;
        settings.share = true;
        settings.incarnation = incarnation;
        settings.seed = incarnation * 31 + name.size();
        for (const char* peer : {"n0", "n1", "n2"}) settings.peers.push_back({peer, peer});
        auto& coordinator = all_[name] = std::make_unique<Coordinator>(settings, now);
        coordinator->connect(name);
        coordinator->updateServerList(version, list, now);
        emitted.erase(name);
        holds.erase(name);
        return *coordinator;
    }
    void kill(const std::string& name) { all_.erase(name); }
    void run(Micros span) {
        for (const Micros until = now + span; now < until; now += 100000) {
            for (auto& [name, coordinator] : all_) act(name, *coordinator);
        }
    }
    Coordinator& operator[](const std::string& name) { return *all_.at(name); }
    Micros now = 0;
    std::map<std::string, std::vector<RecalledSum>> emitted;  // for each instance's decision module
    std::map<std::string, std::set<std::string>> holds;
    std::set<std::string> failing;          // peers whose stream ends in the middle of an answer
    std::function<void(Handover&)> tamper;  // changes a handover on its way

private:
    void act(const std::string& name, Coordinator& coordinator) {
        const CoordinatorActions actions = coordinator.due(now);
        for (const RecalledSum& sum : actions.sums) emitted[name].push_back(sum);
        for (const Hold& hold : actions.holds) {
            hold.held ? (void)holds[name].insert(hold.server) : (void)holds[name].erase(hold.server);
        }
        for (const auto& message : actions.messages) {
            const auto to = all_.find(coordinator.addressOf(message.to));
            if (to != all_.end()) to->second->receiveMessage(message, now);
        }
        for (const PeerEndpoint& peer : actions.queries) {
            const auto to = all_.find(peer.address);
            if (to == all_.end() || failing.count(peer.name) != 0) {
                coordinator.receiveHandover(peer.name, std::nullopt, 0, "the stream has ended", now);
                continue;
            }
            Handover handover = to->second->handOver(now);
            if (tamper) tamper(handover);
            coordinator.receiveHandover(peer.name, handover, 1000, "", now);
        }
    }
    std::map<std::string, std::unique_ptr<Coordinator>> all_;
};

double emittedTries(const Instances& net, const std::string& name, const std::string& server) {
    double out = 0;
    const auto at = net.emitted.find(name);
    if (at == net.emitted.end()) return 0;
    for (const RecalledSum& sum : at->second) out += sum.server == server ? sum.tries : 0;
    return out;
}

TEST(Coordinator, AStartingInstanceGetsTheFactsOfAllPeersAndNoneTwice) {
    Instances net;
    net.start("n0", 1, listOf(3), 1);
    net.start("n1", 1, listOf(3), 1);
    net.run(11 * kSecond);
    net["n0"].recordOutcomes({"server-0", "a", 5, 30, 30, 0}, net.now);
    net["n1"].recordOutcomes({"server-0", "a", 5, 20, 20, 0}, net.now);
    net["n1"].recordOutcomes({"server-1", "b", 5, 50, 1, 9000}, net.now);
    net.start("n2", 1, listOf(3), 1);
    net.run(8 * kSecond);
    EXPECT_NEAR(emittedTries(net, "n2", "server-0"), 50, 1)
        << "the tries of both peers, in whichever order they answered";
    EXPECT_NEAR(emittedTries(net, "n2", "server-1"), 50, 1);
    EXPECT_FALSE(net["n2"].queriesPending(net.now)) << "both have answered";
    EXPECT_EQ(net.emitted["n0"].size() + net.emitted["n1"].size(), 0U)
        << "instances past their window send no queries";
}

TEST(Coordinator, QueriesAgainAfterABrokenAnswerAndIgnoresAPeerWithoutFacts) {
    Instances net;
    net.start("n0", 1, listOf(2), 1);
    net["n0"].recordOutcomes({"server-0", "a", 5, 30, 0, 9000}, 0);
    net.start("n1", 1, listOf(2), 1);  // knows nothing yet
    net.failing = {"n0"};
    net.start("n2", 1, listOf(2), 1);
    net.run(2 * kSecond);
    EXPECT_EQ(emittedTries(net, "n2", "server-0"), 0);
    net.failing.clear();
    net.run(6 * kSecond);
    EXPECT_GT(emittedTries(net, "n2", "server-0"), 20) << "queried again";
}

TEST(Coordinator, FactsExpireAlthoughRestartingInstancesKeepForwardingThem) {
    Instances net;
    for (const char* name : {"n0", "n1", "n2"}) net.start(name, 1, listOf(2), 1);
    net["n0"].recordOutcomes({"server-0", "a", 5, 64, 64, 0}, net.now);
    net.run(6 * kSecond);  // the other instances have queried it and hold its facts
    double before = 0;
    for (const char* name : {"n1", "n2"}) before = std::max(before, emittedTries(net, name, "server-0"));
    ASSERT_GT(before, 40);
    // The instances restart in turn, again and again, without any new observation. If forwarding refreshed
    // the age of a fact, it would never expire.
    for (std::uint64_t incarnation = 2; incarnation < 12; ++incarnation) {
        for (const char* name : {"n0", "n1", "n2"}) {
            net.start(name, incarnation, listOf(2), 1);
            net.run(5 * kSecond);
            EXPECT_LE(emittedTries(net, name, "server-0"),
                      64 * std::exp2(-static_cast<double>(net.now - 6 * kSecond) / (20 * kSecond)) + 1)
                << "forwarding does not refresh a fact";
        }
    }
    net.start("n0", 99, listOf(2), 1);
    net.run(5 * kSecond);
    EXPECT_EQ(emittedTries(net, "n0", "server-0"), 0) << "the fact has expired";
}

TEST(Coordinator, ContradictingDonorsCountEquallyAndTheirTotalWeightIsBounded) {
    Instances net;
    net.start("n0", 1, listOf(1), 1);
    net.start("n1", 1, listOf(1), 1);
    net["n0"].recordOutcomes({"server-0", "a", 5, 5000, 5000, 0}, 0);
    net["n1"].recordOutcomes({"server-0", "a", 5, 64, 0, 9000}, 0);
    net.start("n2", 1, listOf(1), 1);
    net.run(4 * kSecond);
    double tries = 0, failed = 0;
    for (const RecalledSum& sum : net.emitted["n2"]) tries += sum.tries, failed += sum.failed;
    EXPECT_LE(tries, 128);
    EXPECT_NEAR(failed / tries, 0.5, 0.05) << "both count equally";
}

TEST(Coordinator, FactsDoNotApplyToARestartedServerWithTheSameId) {
    Instances net;
    net.start("n0", 1, listOf(2, 5), 1);
    net["n0"].recordOutcomes({"server-0", "a", 5, 64, 64, 0}, 0);
    net["n0"].recordOutcomes({"server-1", "a", 5, 64, 64, 0}, 0);
    auto replaced = listOf(2, 5);
    replaced["server-0"].bootMs = 9;
    net.start("n2", 1, replaced, 2);
    net.run(4 * kSecond);
    EXPECT_EQ(emittedTries(net, "n2", "server-0"), 0);
    EXPECT_GT(emittedTries(net, "n2", "server-1"), 50);
}

TEST(Coordinator, HoldsBackAServerThatADonorHasAsDrainingUntilTheOwnListHasThatVersion) {
    Instances net;
    auto later = listOf(3);
    later["server-1"].state = ServerState::draining;
    net.start("n0", 1, later, 9);
    net["n0"].recordOutcomes({"server-0", "a", 5, 10, 0, 1000}, 0);
    net.start("n2", 1, listOf(3), 5);
    net.run(2 * kSecond);
    EXPECT_EQ(net.holds["n2"], std::set<std::string>{"server-1"});
    net["n2"].updateServerList(8, listOf(3), net.now);
    net.run(kSecond);
    EXPECT_EQ(net.holds["n2"].size(), 1U);
    net["n2"].updateServerList(9, listOf(3), net.now);  // this version of the own list has it as ready
    net.run(kSecond);
    EXPECT_TRUE(net.holds["n2"].empty());
}

TEST(Coordinator, AHostilePeerHasBoundedWeightAndMakesNoServerReady) {
    Instances net;
    net.start("n0", 1, listOf(3), 1);
    net.tamper = [](Handover& h) {
        h.sums.clear();
        for (int i = 0; i < 3; ++i) {
            for (int origin = 0; origin < 50; ++origin) {
                h.sums.push_back({"x" + std::to_string(origin),
                                  "server-" + std::to_string(i),
                                  "a",
                                  5,
                                  {~0ULL, ~0ULL},
                                  0,
                                  10'000'000,
                                  10'000'000,
                                  0});
            }
        }
        h.sums.push_back({"x0", "server-9", "a", 5, {1, 1}, 0, 1000, 0, 1});  // not in the own list
        h.listed = {{"server-9", ~0ULL, ServerState::ready, 5},
                    {"server-0", ~0ULL, ServerState::gone, 5},
                    {"server-1", ~0ULL, ServerState::gone, 5},
                    {"server-2", ~0ULL, ServerState::gone, 5}};
    };
    auto list = listOf(3);
    list["server-2"].state = ServerState::draining;
    net.start("n2", 1, list, 1);
    net.run(4 * kSecond);
    EXPECT_TRUE(net.holds["n2"].empty()) << "the holds would cover every ready server";
    for (const char* server : {"server-0", "server-1"}) EXPECT_LE(emittedTries(net, "n2", server), 128);
    EXPECT_EQ(emittedTries(net, "n2", "server-2"), 0);
    EXPECT_EQ(emittedTries(net, "n2", "server-9"), 0);
    // After three reports of live tries the own sum has none of the false failures.
    for (int i = 0; i < 3; ++i)
        net["n2"].recordOutcomes({"server-0", "a", 5, 50, 0, 9000}, net.now + i * 2 * kSecond);
    const auto& sums = net["n2"].handOver(net.now + 4 * kSecond).sums;
    const auto own = std::find_if(sums.begin(), sums.end(), [](const SumFact& f) {
        return f.origin == "n2" && f.server == "server-0";
    });
    ASSERT_NE(own, sums.end());
    EXPECT_EQ(own->failed, 0U);
}

TEST(Coordinator, DropsAnswersThatWereNotAskedFor) {
    Instances net;
    Coordinator& coordinator = net.start("n2", 1, listOf(1), 1);
    Handover h;
    h.sums = {{"n1", "server-0", "a", 5, {1, 1}, 0, 50, 50, 0}};
    coordinator.receiveHandover("n1", h, 0, "", 0);
    net.run(kSecond / 2);
    EXPECT_EQ(emittedTries(net, "n2", "server-0"), 0);
}

TEST(Coordinator, ADonorWithAStoppedClockDoesNotExceedTheWeightOfOneOrigin) {
    Instances net;
    Coordinator& donor = net.start("n0", 1, listOf(1), 1);
    donor.recordOutcomes({"server-0", "a", 5, 64, 64, 0}, 0);
    const Handover frozen = donor.handOver(0);
    net.tamper = [&](Handover& h) { h = frozen; };
    net.run(100 * kSecond);
    net.start("n2", 1, listOf(1), 1);
    net.run(5 * kSecond);
    EXPECT_LE(emittedTries(net, "n2", "server-0"), 64) << "the greatest weight of one origin";
}

TEST(Coordinator, WithoutPeersOnlyTheSumsOfASnapshotAreDue) {
    CoordinatorSettings settings;
    settings.self = "n0";
    settings.incarnation = 2;
    Coordinator coordinator(settings, 0);
    coordinator.updateServerList(1, listOf(1), 0);
    EXPECT_TRUE(coordinator.due(0).empty());
    EXPECT_FALSE(coordinator.nextDue(0));
    Handover h;
    h.sums = {{"n0", "server-0", "a", 5, {1, 1}, 0, 40, 40, 0}};
    EXPECT_EQ(coordinator.mergeSnapshot(h, 20 * kSecond, 0).merged, 1U);
    const CoordinatorActions actions = coordinator.due(0);
    ASSERT_EQ(actions.sums.size(), 1U);
    EXPECT_NEAR(actions.sums[0].tries, 20, 0.1) << "half of 40 after one half-life";
    EXPECT_TRUE(coordinator.due(kSecond).empty()) << "emitted only once";
    EXPECT_TRUE(coordinator.leave(kSecond).empty());
}

}  // namespace
}  // namespace marldale::recovery
