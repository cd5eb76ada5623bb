// Asking peers, telling the module, holding boxes back: instances that restart, contradict one another, die
// halfway or lie. Virtual time.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <random>

#include "recovery/memory.h"

namespace marldale::recovery {
namespace {

constexpr Micros kSecond = 1000000;

using Listed = Knowledge::Listed;

std::map<std::string, Listed> listOf(int boxes, std::int64_t boot = 5) {
    std::map<std::string, Listed> out;
    for (int i = 0; i < boxes; ++i) out["box-" + std::to_string(i)] = {ServerState::ready, boot};
    return out;
}

// ---- Asking ----

TEST(Asking, ASomePeersAtOnceAreAskedAndEachOnceItWasOfUse) {
    Asking asking({}, 1, 0);
    for (int i = 0; i < 5; ++i) asking.know("n" + std::to_string(i), 0);
    const auto first = asking.due(0);
    ASSERT_EQ(first.size(), 3U);
    EXPECT_TRUE(asking.due(kSecond / 2).empty());
    asking.answered(first[0], true, kSecond / 2);
    asking.answered(first[1], true, kSecond / 2);
    const auto second = asking.due(kSecond / 2);
    ASSERT_EQ(second.size(), 2U);
    for (const auto& name : second) {
        EXPECT_EQ(std::count(first.begin(), first.end(), name), 0);
        asking.answered(name, true, kSecond);
    }
    EXPECT_FALSE(asking.over(kSecond));
    asking.answered(first[2], true, kSecond);
    EXPECT_TRUE(asking.over(kSecond));
    EXPECT_FALSE(asking.nextDue(kSecond));
}

TEST(Asking, WhoIsMuteOrKnowsNothingIsAskedAgainLaterAndNobodyAfterTheWindow) {
    Asking asking({}, 1, 0);
    asking.know("n1", 0);
    ASSERT_EQ(asking.due(0).size(), 1U);
    EXPECT_EQ(asking.nextDue(0), 2 * kSecond);
    EXPECT_TRUE(asking.due(2 * kSecond).empty()) << "mute";
    EXPECT_FALSE(asking.awaits("n1"));
    ASSERT_EQ(asking.due(3 * kSecond).size(), 1U);
    asking.answered("n1", false, 3 * kSecond);
    EXPECT_TRUE(asking.due(4 * kSecond).empty()) << "each time it waits twice as long";
    ASSERT_EQ(asking.due(5 * kSecond).size(), 1U);
    asking.failed("n1", 5 * kSecond);
    EXPECT_TRUE(asking.due(10 * kSecond).empty());
    EXPECT_TRUE(asking.over(10 * kSecond));
    EXPECT_FALSE(asking.nextDue(10 * kSecond));
}

RC_GTEST_PROP(AskingProperty, NeverMoreThanTheBoundIsOutWhateverComes, (std::uint32_t seed)) {
    std::mt19937_64 random(seed);
    Asking asking({}, seed, 0);
    std::set<std::string> out;
    std::map<std::string, int> times;
    for (Micros now = 0; now < 12 * kSecond; now += static_cast<Micros>(random() % 300000)) {
        if (random() % 3 == 0) asking.know("n" + std::to_string(random() % 8), now);
        for (const auto& name : asking.due(now)) {
            out.insert(name);
            ++times[name];
        }
        std::erase_if(out, [&](const std::string& n) { return !asking.awaits(n); });
        RC_ASSERT(out.size() <= 3U);
        if (!out.empty() && random() % 2 == 0) {
            asking.answered(*out.begin(), random() % 2 == 0, now);
            out.erase(out.begin());
        }
    }
    for (const auto& [name, count] : times) RC_ASSERT(count <= 5);
}

// ---- Memory ----

// Instances whose words and answers reach one another within a moment.
class Instances {
public:
    Memory& start(const std::string& name, std::uint64_t incarnation,
                  const std::map<std::string, Listed>& list, std::uint64_t version) {
        MemorySettings settings;
        settings.self = name;
        settings.share = true;
        settings.incarnation = incarnation;
        settings.seed = incarnation * 31 + name.size();
        for (const char* peer : {"n0", "n1", "n2"}) settings.peers.push_back({peer, peer});
        auto& memory = all_[name] = std::make_unique<Memory>(settings, now);
        memory->connect(name);
        memory->listed(version, list, now);
        told.erase(name);
        holds.erase(name);
        return *memory;
    }
    void kill(const std::string& name) { all_.erase(name); }
    void run(Micros span) {
        for (const Micros until = now + span; now < until; now += 100000) {
            for (auto& [name, memory] : all_) act(name, *memory);
        }
    }
    Memory& operator[](const std::string& name) { return *all_.at(name); }
    Micros now = 0;
    std::map<std::string, std::vector<RecalledSum>> told;  // to each instance's module
    std::map<std::string, std::set<std::string>> holds;
    std::set<std::string> dumb;  // ends the stream halfway through its answer
    std::function<void(Handover&)> spoil;

private:
    void act(const std::string& name, Memory& memory) {
        const MemoryActions todo = memory.due(now);
        for (const RecalledSum& sum : todo.sums) told[name].push_back(sum);
        for (const Hold& hold : todo.holds) {
            hold.held ? (void)holds[name].insert(hold.box) : (void)holds[name].erase(hold.box);
        }
        for (const auto& message : todo.say) {
            const auto to = all_.find(memory.addressOf(message.to));
            if (to != all_.end()) to->second->heard(message, now);
        }
        for (const PeerEndpoint& peer : todo.ask) {
            const auto to = all_.find(peer.address);
            if (to == all_.end() || dumb.count(peer.name) != 0) {
                memory.answered(peer.name, std::nullopt, 0, "it is gone", now);
                continue;
            }
            Handover handover = to->second->handOver(now);
            if (spoil) spoil(handover);
            memory.answered(peer.name, handover, 1000, "", now);
        }
    }
    std::map<std::string, std::unique_ptr<Memory>> all_;
};

double triesTold(const Instances& net, const std::string& name, const std::string& box) {
    double out = 0;
    const auto at = net.told.find(name);
    if (at == net.told.end()) return 0;
    for (const RecalledSum& sum : at->second) out += sum.box == box ? sum.tries : 0;
    return out;
}

TEST(Memory, AnInstanceThatStartsIsToldWhatAllItsPeersKnowAndNothingTwice) {
    Instances net;
    net.start("n0", 1, listOf(3), 1);
    net.start("n1", 1, listOf(3), 1);
    net.run(11 * kSecond);
    net["n0"].saw({"box-0", "a", 5, 30, 30, 0}, net.now);
    net["n1"].saw({"box-0", "a", 5, 20, 20, 0}, net.now);
    net["n1"].saw({"box-1", "b", 5, 50, 1, 9000}, net.now);
    net.start("n2", 1, listOf(3), 1);
    net.run(8 * kSecond);
    EXPECT_NEAR(triesTold(net, "n2", "box-0"), 50, 1) << "the one's and the other's, whoever came first";
    EXPECT_NEAR(triesTold(net, "n2", "box-1"), 50, 1);
    EXPECT_FALSE(net["n2"].asking(net.now)) << "both have answered";
    EXPECT_EQ(net.told["n0"].size() + net.told["n1"].size(), 0U) << "who is there asks no more";
}

TEST(Memory, APeerThatDiesHalfwayOrHasJustStartedItselfIsNoLoss) {
    Instances net;
    net.start("n0", 1, listOf(2), 1);
    net["n0"].saw({"box-0", "a", 5, 30, 0, 9000}, 0);
    net.start("n1", 1, listOf(2), 1);  // knows nothing yet
    net.dumb = {"n0"};
    net.start("n2", 1, listOf(2), 1);
    net.run(2 * kSecond);
    EXPECT_EQ(triesTold(net, "n2", "box-0"), 0);
    net.dumb.clear();
    net.run(6 * kSecond);
    EXPECT_GT(triesTold(net, "n2", "box-0"), 20) << "asked again";
}

TEST(Memory, WhenEveryInstanceRestartsAtOnceNothingGoesRoundInCircles) {
    Instances net;
    for (const char* name : {"n0", "n1", "n2"}) net.start(name, 1, listOf(2), 1);
    net["n0"].saw({"box-0", "a", 5, 64, 64, 0}, net.now);
    net.run(6 * kSecond);  // the others have asked, and hold hearsay
    double before = 0;
    for (const char* name : {"n1", "n2"}) before = std::max(before, triesTold(net, name, "box-0"));
    ASSERT_GT(before, 40);
    // One after the other starts anew, over and over, while nobody sees anything.
    for (std::uint64_t life = 2; life < 12; ++life) {
        for (const char* name : {"n0", "n1", "n2"}) {
            net.start(name, life, listOf(2), 1);
            net.run(5 * kSecond);
            EXPECT_LE(triesTold(net, name, "box-0"),
                      64 * std::exp2(-static_cast<double>(net.now - 6 * kSecond) / (20 * kSecond)) + 1)
                << "hearsay only ages";
        }
    }
    net.start("n0", 99, listOf(2), 1);
    net.run(5 * kSecond);
    EXPECT_EQ(triesTold(net, "n0", "box-0"), 0) << "and is gone in the end";
}

TEST(Memory, DonorsThatContradictEachOtherAreBothHeardAndTheirWeightIsBounded) {
    Instances net;
    net.start("n0", 1, listOf(1), 1);
    net.start("n1", 1, listOf(1), 1);
    net["n0"].saw({"box-0", "a", 5, 5000, 5000, 0}, 0);
    net["n1"].saw({"box-0", "a", 5, 64, 0, 9000}, 0);
    net.start("n2", 1, listOf(1), 1);
    net.run(4 * kSecond);
    double tries = 0, failed = 0;
    for (const RecalledSum& sum : net.told["n2"]) tries += sum.tries, failed += sum.failed;
    EXPECT_LE(tries, 128);
    EXPECT_NEAR(failed / tries, 0.5, 0.05) << "neither is believed alone";
}

TEST(Memory, AFleetThatWasReplacedUnderTheSameIdsIsNotJudgedByItsPredecessors) {
    Instances net;
    net.start("n0", 1, listOf(2, 5), 1);
    net["n0"].saw({"box-0", "a", 5, 64, 64, 0}, 0);
    net["n0"].saw({"box-1", "a", 5, 64, 64, 0}, 0);
    auto replaced = listOf(2, 5);
    replaced["box-0"].bootMs = 9;
    net.start("n2", 1, replaced, 2);
    net.run(4 * kSecond);
    EXPECT_EQ(triesTold(net, "n2", "box-0"), 0);
    EXPECT_GT(triesTold(net, "n2", "box-1"), 50);
}

TEST(Memory, ABoxThatADonorSawDrainingIsHeldBackUntilOurListHasThatVersion) {
    Instances net;
    auto later = listOf(3);
    later["box-1"].state = ServerState::draining;
    net.start("n0", 1, later, 9);
    net["n0"].saw({"box-0", "a", 5, 10, 0, 1000}, 0);
    net.start("n2", 1, listOf(3), 5);
    net.run(2 * kSecond);
    EXPECT_EQ(net.holds["n2"], std::set<std::string>{"box-1"});
    net["n2"].listed(8, listOf(3), net.now);
    net.run(kSecond);
    EXPECT_EQ(net.holds["n2"].size(), 1U);
    net["n2"].listed(9, listOf(3), net.now);  // the list says that it is ready: it alone decides
    net.run(kSecond);
    EXPECT_TRUE(net.holds["n2"].empty());
}

TEST(Memory, AHostilePeerCostsABoundedAmountAndBringsNoBoxBack) {
    Instances net;
    net.start("n0", 1, listOf(3), 1);
    net.spoil = [](Handover& h) {
        h.sums.clear();
        for (int i = 0; i < 3; ++i) {
            for (int origin = 0; origin < 50; ++origin) {
                h.sums.push_back({"x" + std::to_string(origin),
                                  "box-" + std::to_string(i),
                                  "a",
                                  5,
                                  {~0ULL, ~0ULL},
                                  0,
                                  10'000'000,
                                  10'000'000,
                                  0});
            }
        }
        h.sums.push_back({"x0", "box-9", "a", 5, {1, 1}, 0, 1000, 0, 1});  // on no list of ours
        h.listed = {{"box-9", ~0ULL, ServerState::ready, 5},
                    {"box-0", ~0ULL, ServerState::gone, 5},
                    {"box-1", ~0ULL, ServerState::gone, 5},
                    {"box-2", ~0ULL, ServerState::gone, 5}};
    };
    auto list = listOf(3);
    list["box-2"].state = ServerState::draining;
    net.start("n2", 1, list, 1);
    net.run(4 * kSecond);
    EXPECT_TRUE(net.holds["n2"].empty()) << "it would be every box that is ready";
    for (const char* box : {"box-0", "box-1"}) EXPECT_LE(triesTold(net, "n2", box), 128);
    EXPECT_EQ(triesTold(net, "n2", "box-2"), 0);
    EXPECT_EQ(triesTold(net, "n2", "box-9"), 0);
    // Live tries settle it: after three reports of what is true nothing of the lie weighs more.
    for (int i = 0; i < 3; ++i) net["n2"].saw({"box-0", "a", 5, 50, 0, 9000}, net.now + i * 2 * kSecond);
    const auto& sums = net["n2"].handOver(net.now + 4 * kSecond).sums;
    const auto own = std::find_if(sums.begin(), sums.end(),
                                  [](const SumFact& f) { return f.origin == "n2" && f.box == "box-0"; });
    ASSERT_NE(own, sums.end());
    EXPECT_EQ(own->failed, 0U);
}

TEST(Memory, WhatNobodyAskedForIsDropped) {
    Instances net;
    Memory& memory = net.start("n2", 1, listOf(1), 1);
    Handover h;
    h.sums = {{"n1", "box-0", "a", 5, {1, 1}, 0, 50, 50, 0}};
    memory.answered("n1", h, 0, "", 0);
    net.run(kSecond / 2);
    EXPECT_EQ(triesTold(net, "n2", "box-0"), 0);
}

TEST(Memory, ADonorWhoseClockStandsStillGivesAgesThatAreTooYoungAndNoMore) {
    Instances net;
    Memory& donor = net.start("n0", 1, listOf(1), 1);
    donor.saw({"box-0", "a", 5, 64, 64, 0}, 0);
    const Handover frozen = donor.handOver(0);
    net.spoil = [&](Handover& h) { h = frozen; };
    net.run(100 * kSecond);
    net.start("n2", 1, listOf(1), 1);
    net.run(5 * kSecond);
    EXPECT_LE(triesTold(net, "n2", "box-0"), 64) << "as much as one origin may ever weigh";
}

TEST(Memory, WithoutPeersNothingIsEverDueButWhatASnapshotBrings) {
    MemorySettings settings;
    settings.self = "n0";
    settings.incarnation = 2;
    Memory memory(settings, 0);
    memory.listed(1, listOf(1), 0);
    EXPECT_TRUE(memory.due(0).empty());
    EXPECT_FALSE(memory.nextDue(0));
    Handover h;
    h.sums = {{"n0", "box-0", "a", 5, {1, 1}, 0, 40, 40, 0}};
    EXPECT_EQ(memory.recall(h, 20 * kSecond, 0).taken, 1U);
    const MemoryActions todo = memory.due(0);
    ASSERT_EQ(todo.sums.size(), 1U);
    EXPECT_NEAR(todo.sums[0].tries, 20, 0.1) << "twenty seconds old";
    EXPECT_TRUE(memory.due(kSecond).empty()) << "once";
    EXPECT_TRUE(memory.leave(kSecond).empty());
}

}  // namespace
}  // namespace marldale::recovery
