// What is known of the boxes: merging in any order, ages, the list's word, hostile and stopped donors, bytes.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <filesystem>
#include <random>

#include "recovery/codec.h"
#include "recovery/knowledge.h"
#include "recovery/snapshot.h"

namespace marldale::recovery {
namespace {

constexpr Micros kSecond = 1000000;

using ListedServer = Knowledge::ListedServer;

std::map<std::string, ListedServer> listOf(int boxes, std::int64_t boot = 5) {
    std::map<std::string, ListedServer> out;
    for (int i = 0; i < boxes; ++i) out["box-" + std::to_string(i)] = {ServerState::ready, boot};
    return out;
}

Handover randomHandover(std::mt19937_64& random) {
    Handover out;
    out.from = "n" + std::to_string(random() % 4);
    for (std::uint64_t i = random() % 12; i > 0; --i) {
        SumFact f;
        f.origin = "n" + std::to_string(random() % 4);
        f.server = "box-" + std::to_string(random() % 3);
        f.zone = random() % 2 == 0 ? "a" : "b";
        f.bootMs = 5;
        f.version = {1 + random() % 2, random() % 3};
        f.age = static_cast<Micros>(random() % 50) * kSecond;
        // The same word of the same origin says the same, however it came.
        const std::uint64_t says = f.version.incarnation * 7 + f.version.number * 13 + f.server.back() +
                                   f.zone.back() + f.origin.back();
        f.tries = 10 + static_cast<std::uint32_t>(says % 50);
        f.failed = static_cast<std::uint32_t>(says % 10);
        f.mean = static_cast<Micros>(says) * 1000;
        f.failsFor = says % 10 > 5 ? static_cast<Micros>(says) : 0;
        if (says % 3 == 0) f.load = {{"util", 0.5}, {"queue", static_cast<double>(says)}};
        out.sums.push_back(f);
    }
    for (std::uint64_t i = random() % 4; i > 0; --i) {
        DemandFact f{"n" + std::to_string(random() % 4),
                     random() % 2 == 0 ? "a" : "b",
                     "lookup",
                     {1 + random() % 2, random() % 3},
                     static_cast<Micros>(random() % 20) * kSecond};
        const std::uint64_t says =
            f.version.incarnation * 7 + f.version.number * 13 + f.zone.back() + f.origin.back();
        f.rate = static_cast<double>(says) / 8;
        f.proxies = 1 + static_cast<std::uint32_t>(says % 5);
        out.demand.push_back(f);
    }
    for (std::uint64_t i = random() % 4; i > 0; --i) {
        out.listed.push_back(
            {"box-" + std::to_string(random() % 3), random() % 6, static_cast<ServerState>(random() % 3), 5});
    }
    return out;
}

std::vector<std::tuple<std::string, std::string, double, double, Micros>> pictureOf(const Knowledge& k,
                                                                                    Micros now) {
    std::vector<std::tuple<std::string, std::string, double, double, Micros>> out;
    for (const RecalledSum& r : k.recalled(now))
        out.emplace_back(r.server, r.zone, r.tries, r.failed, r.mean);
    return out;
}

Knowledge fresh() {
    Knowledge out("me", 1);
    out.updateList(2, listOf(3), 0);
    return out;
}

RC_GTEST_PROP(KnowledgeProperty, MergingIsCommutativeAssociativeAndIdempotent, (std::uint32_t seed)) {
    std::mt19937_64 random(seed);
    std::vector<Handover> all;
    for (int i = 0; i < 5; ++i) all.push_back(randomHandover(random));
    Knowledge one = fresh(), two = fresh();
    for (const Handover& h : all) (void)one.merge(h, 0, kSecond);
    std::shuffle(all.begin(), all.end(), random);
    for (const Handover& h : all) {
        (void)two.merge(h, 0, kSecond);
        if (random() % 2 == 0) (void)two.merge(h, 0, kSecond);
    }
    RC_ASSERT(pictureOf(one, kSecond) == pictureOf(two, kSecond));
    RC_ASSERT(one.heldBack(0) == two.heldBack(0));
    RC_ASSERT(one.handOver(kSecond).sums == two.handOver(kSecond).sums);
    RC_ASSERT(one.handOver(kSecond).demand == two.handOver(kSecond).demand);
}

RC_GTEST_PROP(KnowledgeProperty, PassingOnNeverAddsWeightHoweverOftenItGoesRound, (std::uint32_t seed)) {
    std::mt19937_64 random(seed);
    // Instances that tell one another again and again, and see nothing new.
    std::vector<Knowledge> ring;
    for (int i = 0; i < 4; ++i) {
        ring.emplace_back("n" + std::to_string(i), 1);
        ring.back().updateList(2, listOf(3), 0);
    }
    ring[0].recordOutcomes({"box-0", "a", 5, 40, 4, 90000}, 0);
    ring[1].recordOutcomes({"box-0", "a", 5, 30, 0, 70000}, 0);
    Micros now = 0;
    double most = 1e9;
    for (int turn = 0; turn < 60; ++turn) {
        now += static_cast<Micros>(random() % kSecond);
        const std::size_t from = random() % 4, to = random() % 4;
        if (from != to)
            (void)ring[to].merge(ring[from].handOver(now), static_cast<Micros>(random() % 100000), now);
        double heaviest = 0;
        for (const Knowledge& k : ring) {
            for (const RecalledSum& r : k.recalled(now)) heaviest = std::max(heaviest, r.tries);
        }
        // Together they never know more than the two of them saw, faded since.
        const double bound = ring[0].weightOf(40, now) + ring[0].weightOf(30, now);
        RC_ASSERT(heaviest <= bound + 1e-9);
        most = std::min(most, heaviest);
    }
}

RC_GTEST_PROP(KnowledgeProperty, NoFactMakesABoxListableOrReady, (std::uint32_t seed)) {
    std::mt19937_64 random(seed);
    Knowledge k("me", 1);
    auto list = listOf(3);
    list["box-1"].state = ServerState::draining;
    list.erase("box-2");
    k.updateList(2, list, 0);
    for (int i = 0; i < 8; ++i) (void)k.merge(randomHandover(random), 0, kSecond);
    for (const RecalledSum& r : k.recalled(kSecond)) RC_ASSERT(r.server == "box-0");
    for (const std::string& server : k.heldBack(0)) RC_ASSERT(server == "box-0");
}

TEST(Knowledge, ABoxThatANewerListSawDrainingIsHeldBackUntilOursHasThatVersion) {
    Knowledge donor("n1", 1), asker("n2", 1);
    auto later = listOf(3);
    later["box-1"].state = ServerState::draining;
    later["box-2"].state = ServerState::gone;
    donor.updateList(9, later, 0);
    asker.updateList(5, listOf(3), 0);
    (void)asker.merge(donor.handOver(0), 0, 0);
    EXPECT_EQ(asker.heldBack(0), (std::set<std::string>{"box-1", "box-2"}));
    asker.updateList(8, listOf(3), 0);
    EXPECT_EQ(asker.heldBack(0).size(), 2U);
    asker.updateList(9, later, 0);
    EXPECT_TRUE(asker.heldBack(0).empty()) << "our own list says so itself now";
    // An older list than ours holds nothing back.
    Knowledge behind("n3", 1);
    behind.updateList(3, later, 0);
    asker.updateList(10, listOf(3), 0);
    (void)asker.merge(behind.handOver(0), 0, 0);
    EXPECT_TRUE(asker.heldBack(0).empty());
}

TEST(Knowledge, NoDonorLeavesUsWithoutABoxOrSpeaksOfALaterBoot) {
    Knowledge k("me", 1);
    k.updateList(1, listOf(2, 5), 0);
    Handover hostile;
    hostile.listed = {{"box-0", 9, ServerState::gone, 5}, {"box-1", 9, ServerState::gone, 5}};
    (void)k.merge(hostile, 0, 0);
    EXPECT_TRUE(k.heldBack(0).empty()) << "all of them";
    auto restarted = listOf(2, 5);
    restarted["box-0"].bootMs = 8;
    k.updateList(2, restarted, 0);
    EXPECT_EQ(k.heldBack(0), std::set<std::string>{"box-1"}) << "box-0 was started anew since";
}

TEST(Knowledge, FactsOfAnotherBootAreVoid) {
    Knowledge k("me", 1);
    k.updateList(1, listOf(2, 5), 0);
    Handover ahead;
    ahead.sums.push_back({"n1", "box-0", "a", 5, {1, 1}, 0, 50, 0, 1000});
    ahead.sums.push_back({"n1", "box-1", "a", 9, {1, 1}, 0, 50, 0, 1000});
    (void)k.merge(ahead, 0, 0);
    EXPECT_EQ(k.recalled(0).size(), 1U) << "of a boot that our list does not have yet";
    k.updateList(2, listOf(2, 9), 0);
    const auto now = k.recalled(0);
    ASSERT_EQ(now.size(), 1U);
    EXPECT_EQ(now[0].server, "box-1") << "and of one that is over";
}

TEST(Knowledge, LiveEvidenceOutweighsWhatWasRecalledWithinThreeReports) {
    Knowledge k("me", 1);
    k.updateList(1, listOf(1), 0);
    Handover lie;  // a hostile peer under many names
    for (int i = 0; i < 100; ++i)
        lie.sums.push_back({"n" + std::to_string(i), "box-0", "a", 5, {1, 1}, 0, 10'000'000, 10'000'000, 0});
    const MergeCounts counts = k.merge(lie, 0, 0);
    EXPECT_GT(counts.refused, 60U) << "more origins than instances that can be";
    const auto recalled = k.recalled(0);
    ASSERT_EQ(recalled.size(), 1U);
    EXPECT_LE(recalled[0].tries, 128.0);
    // Three reports of 50 tries each.
    EXPECT_LT(recalled[0].tries, 3 * 50.0);
    k.forget(140 * kSecond);
    EXPECT_EQ(k.facts(), 0U);
}

TEST(Knowledge, WhatCantBeIsRefusedAndOurOwnSightIsNotToldToUs) {
    Knowledge k("me", 7);
    k.updateList(1, listOf(1), 0);
    Handover h;
    const SumFact good{"n1", "box-0", "a", 5, {1, 1}, 0, 50, 5, 1000};
    for (int kind = 0; kind < 9; ++kind) {
        SumFact f = good;
        if (kind == 0) f.age = -1;
        if (kind == 1) f.age = 3600 * kSecond;
        if (kind == 2) f.failed = 51;
        if (kind == 3) f.mean = -1;
        if (kind == 4) f.tries = 0;
        if (kind == 5) f.server.clear();
        if (kind == 6) f.zone = std::string(500, 'z');
        if (kind == 7) f.origin = "me", f.version = {7, 99};
        if (kind == 8) f.bootMs = -1;
        h.sums.push_back(f);
    }
    EXPECT_EQ(k.merge(h, 0, 0).refused, 9U);
    h.sums = {good};
    h.sums[0].origin = "me";
    h.sums[0].version = {6, 5};
    EXPECT_EQ(k.merge(h, 0, 0).taken, 1U) << "what we saw before we were started anew";
}

TEST(Knowledge, TheWholeAskingCountsAsAge) {
    Knowledge donor("n1", 1), asker("n2", 1);
    donor.updateList(1, listOf(1), 0);
    asker.updateList(1, listOf(1), 0);
    donor.recordOutcomes({"box-0", "a", 5, 64, 0, 1000}, 100 * kSecond);
    // Their clocks have nothing in common.
    (void)asker.merge(donor.handOver(110 * kSecond), 10 * kSecond, 5 * kSecond);
    EXPECT_NEAR(asker.recalled(5 * kSecond)[0].tries, 32, 0.01) << "twenty seconds old";
}

TEST(Knowledge, AFewTriesInARowThatTellOtherwiseBeginANewSum) {
    Knowledge k("n1", 1);
    k.updateList(1, listOf(1), 0);
    for (int i = 0; i < 50; ++i) k.recordOutcomes({"box-0", "a", 5, 2, 0, 1000}, i * 2 * kSecond);
    k.recordOutcomes({"box-0", "a", 5, 2, 2, 0}, 100 * kSecond);
    EXPECT_EQ(k.handOver(100 * kSecond).sums[0].failed, 0U) << "two may be chance";
    k.recordOutcomes({"box-0", "a", 5, 2, 2, 0}, 102 * kSecond);
    auto fact = k.handOver(102 * kSecond).sums[0];
    EXPECT_EQ(fact.tries, 4U);
    EXPECT_EQ(fact.failed, 4U);
    EXPECT_EQ(fact.failsFor, 2 * kSecond);
    // It is ejected: a trial now and then is all that comes, and it goes on failing.
    for (int i = 1; i <= 5; ++i) k.recordOutcomes({"box-0", "a", 5, 1, 1, 0}, (102 + 8 * i) * kSecond);
    fact = k.handOver(142 * kSecond).sums[0];
    EXPECT_EQ(fact.tries, 9U) << "evidence does not go away because there are few tries";
    EXPECT_EQ(fact.failsFor, 42 * kSecond);
    k.recordOutcomes({"box-0", "a", 5, 5, 0, 2000}, 144 * kSecond);
    fact = k.handOver(144 * kSecond).sums[0];
    EXPECT_EQ(fact.failed, 0U);
    EXPECT_EQ(fact.failsFor, 0);
    EXPECT_EQ(fact.mean, 2000) << "what was before is not in it";
}

TEST(Knowledge, AClaimedListThatNeverComesHoldsNothingBackForGood) {
    Knowledge k("me", 1);
    k.updateList(1, listOf(3), 0);
    Handover lie;
    lie.listed = {{"box-0", 1ULL << 60U, ServerState::draining, 5}};
    (void)k.merge(lie, 0, kSecond);
    EXPECT_EQ(k.heldBack(60 * kSecond).size(), 1U);
    lie.listed[0].version += 1;  // said again and again it is no new claim
    (void)k.merge(lie, 0, 50 * kSecond);
    EXPECT_TRUE(k.heldBack(61 * kSecond).empty());
}

TEST(Knowledge, WhatThisLifeHasSeenForItselfIsNotRecalled) {
    Knowledge k("me", 2);
    k.updateList(1, listOf(2), 0);
    Handover h;
    h.sums = {{"n1", "box-0", "a", 5, {1, 1}, 0, 50, 50, 0},
              {"me", "box-0", "a", 5, {1, 1}, 0, 50, 50, 0},
              {"me", "box-1", "a", 5, {1, 2}, 0, 50, 0, 1000}};
    (void)k.merge(h, 0, 0);
    EXPECT_EQ(k.recalled(0).size(), 2U) << "of its last life too";
    k.recordOutcomes({"box-0", "a", 5, 1, 0, 1000}, kSecond);
    const auto left = k.recalled(kSecond);
    ASSERT_EQ(left.size(), 1U);
    EXPECT_EQ(left[0].server, "box-1");
}

TEST(Knowledge, DemandIsAddedUpOverProxiesAndGoesWithThem) {
    Knowledge k("n1", 1), other("n2", 1);
    k.came(1, "a", "lookup", 10, 0);
    k.came(2, "a", "lookup", 5, kSecond);
    k.came(3, "b", "lookup", 2, kSecond);
    auto demand = k.handOver(2 * kSecond).demand;
    ASSERT_EQ(demand.size(), 2U);
    EXPECT_EQ(demand[0].rate, 15);
    EXPECT_EQ(demand[0].proxies, 2U);
    EXPECT_EQ(demand[0].age, kSecond);
    EXPECT_EQ(other.merge(k.handOver(2 * kSecond), 0, 0).taken, 2U);
    EXPECT_EQ(other.merge(k.handOver(2 * kSecond), 0, 0).known, 2U);
    EXPECT_EQ(other.handOver(0).demand.size(), 2U);
    k.left(1);
    EXPECT_EQ(k.handOver(2 * kSecond).demand[0].rate, 5);
    EXPECT_TRUE(k.handOver(60 * kSecond).demand.empty()) << "nobody has told of it for long";
    EXPECT_TRUE(other.handOver(60 * kSecond).demand.empty());
}

RC_GTEST_PROP(CodecProperty, WhatIsWrittenIsReadBackAndWhatIsChangedIsFound, (std::uint32_t seed)) {
    std::mt19937_64 random(seed);
    const Handover h = randomHandover(random);
    std::string bytes = encode(h), wrong;
    const auto back = decode(bytes, wrong);
    RC_ASSERT(back.has_value());
    RC_ASSERT(*back == h);
    RC_ASSERT(!decode(bytes.substr(0, random() % bytes.size()), wrong).has_value());
    RC_ASSERT(!wrong.empty());
    std::string flipped = bytes;
    const std::size_t at = 8 + random() % (bytes.size() - 8);
    flipped[at] = static_cast<char>(flipped[at] ^ (1 << (random() % 8)));
    RC_ASSERT(!decode(flipped, wrong).has_value());
    std::string noise(random() % 300, 0);
    for (char& c : noise) c = static_cast<char>(random());
    Handover out;
    (void)decodePlain(noise, out);
    RC_ASSERT(out.sums.size() <= noise.size());
}

TEST(Codec, LargeFleetsFitAndSayHowMuchTheyTake) {
    Knowledge k("n1", 1);
    k.updateList(1, listOf(540), 0);
    for (int i = 0; i < 540; ++i) {
        for (const char* zone : {"a", "b", "c", "d"}) {
            k.recordOutcomes({"box-" + std::to_string(i), zone, 5, 40 + static_cast<std::uint32_t>(i % 20), 0,
                              90000 + i * 13},
                             0);
        }
    }
    const std::string bytes = encode(k.handOver(kSecond));
    EXPECT_LT(bytes.size(), 200000U);
    std::string wrong;
    ASSERT_TRUE(decode(bytes, wrong));
    EXPECT_EQ(decode(bytes, wrong)->sums.size(), 2160U);
}

// ---- Snapshots ----

class SnapshotFile : public testing::Test {
protected:
    void SetUp() override {
        std::string pattern = testing::TempDir() + "marldalesnapshotXXXXXX";
        ASSERT_NE(mkdtemp(pattern.data()), nullptr);
        directory = pattern;
        snapshot.wallUs = 1791662400000000;
        snapshot.handover.from = "n0";
        for (int i = 0; i < 20; ++i) {
            snapshot.handover.sums.push_back(
                {"n0", "box-" + std::to_string(i), "a", 5, {1, 1}, kSecond, 50, 5, 1000});
        }
    }
    void TearDown() override { std::filesystem::remove_all(directory); }
    std::string directory, wrong;
    Snapshot snapshot;
};

TEST_F(SnapshotFile, IsReadBackAndReplacedAsAWhole) {
    const std::string path = directory + "/k";
    EXPECT_FALSE(readSnapshot(path, wrong));
    EXPECT_TRUE(wrong.empty()) << "none is no fault";
    writeSnapshot(path, snapshot);
    EXPECT_EQ(readSnapshot(path, wrong), snapshot);
    snapshot.handover.from = "n1";
    writeSnapshot(path, snapshot);
    EXPECT_EQ(readSnapshot(path, wrong), snapshot);
    EXPECT_EQ(std::distance(std::filesystem::directory_iterator(directory), {}), 1);
}

TEST_F(SnapshotFile, TornAtAnyByteOrWithAnyByteChangedItIsNotUsed) {
    const std::string bytes = encode(snapshot);
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        EXPECT_FALSE(decodeSnapshot(bytes.substr(0, size), wrong)) << size;
        EXPECT_FALSE(wrong.empty());
    }
    for (std::size_t at = 0; at < bytes.size(); ++at) {
        std::string bad = bytes;
        bad[at] = static_cast<char>(~bad[at]);
        EXPECT_FALSE(decodeSnapshot(bad, wrong)) << at;
    }
    EXPECT_FALSE(decodeSnapshot("MRLTRACE, or anything else that is foreign", wrong));
}

TEST_F(SnapshotFile, AFullDiskOrAFolderThatIsGoneIsToldAndLeavesTheOldOne) {
    const std::string path = directory + "/k";
    writeSnapshot(path, snapshot);
    Snapshot other = snapshot;
    other.handover.from = "n1";
    EXPECT_THROW(writeSnapshot(directory + "/gone/k", other), std::runtime_error);
    std::filesystem::create_symlink("/dev/full", path + ".part");
    EXPECT_THROW(writeSnapshot(path, other), std::runtime_error);
    EXPECT_EQ(readSnapshot(path, wrong), snapshot);
    EXPECT_FALSE(readSnapshot(directory, wrong));
    EXPECT_FALSE(wrong.empty());
}

TEST_F(SnapshotFile, AClockThatWentBackMakesItsAgeUnknown) {
    EXPECT_EQ(ageOf(snapshot, snapshot.wallUs + 7), 7);
    EXPECT_FALSE(ageOf(snapshot, snapshot.wallUs - 1));
}

}  // namespace
}  // namespace marldale::recovery
