// Facts about servers: merging in any order, ages, the server list, hostile donors, encoding and snapshots.
// bytes.
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

std::map<std::string, ListedServer> listOf(int servers, std::int64_t boot = 5) {
    std::map<std::string, ListedServer> out;
    for (int i = 0; i < servers; ++i) out["server-" + std::to_string(i)] = {ServerState::ready, boot};
    return out;
}

Handover randomHandover(std::mt19937_64& random) {
    Handover out;
    out.from = "n" + std::to_string(random() % 4);
    for (std::uint64_t i = random() % 12; i > 0; --i) {
        SumFact f;
        f.origin = "n" + std::to_string(random() % 4);
        f.server = "server-" + std::to_string(random() % 3);
        f.zone = random() % 2 == 0 ? "a" : "b";
        f.bootMs = 5;
        f.version = {1 + random() % 2, random() % 3};
        f.age = static_cast<Micros>(random() % 50) * kSecond;
        // The content depends only on the origin, key and version, as it does for forwarded copies of a fact.
        const std::uint64_t content = f.version.incarnation * 7 + f.version.sequence * 13 + f.server.back() +
                                      f.zone.back() + f.origin.back();
        f.tries = 10 + static_cast<std::uint32_t>(content % 50);
        f.failed = static_cast<std::uint32_t>(content % 10);
        f.mean = static_cast<Micros>(content) * 1000;
        f.failsFor = content % 10 > 5 ? static_cast<Micros>(content) : 0;
        if (content % 3 == 0) f.load = {{"util", 0.5}, {"queue", static_cast<double>(content)}};
        out.sums.push_back(f);
    }
    for (std::uint64_t i = random() % 4; i > 0; --i) {
        DemandFact f{"n" + std::to_string(random() % 4),
                     random() % 2 == 0 ? "a" : "b",
                     "lookup",
                     {1 + random() % 2, random() % 3},
                     static_cast<Micros>(random() % 20) * kSecond};
        const std::uint64_t content =
            f.version.incarnation * 7 + f.version.sequence * 13 + f.zone.back() + f.origin.back();
        f.rate = static_cast<double>(content) / 8;
        f.proxies = 1 + static_cast<std::uint32_t>(content % 5);
        out.demand.push_back(f);
    }
    for (std::uint64_t i = random() % 4; i > 0; --i) {
        out.listed.push_back({"server-" + std::to_string(random() % 3), random() % 6,
                              static_cast<ServerState>(random() % 3), 5});
    }
    return out;
}

std::vector<std::tuple<std::string, std::string, double, double, Micros>> recalledAsTuples(const Knowledge& k,
                                                                                           Micros now) {
    std::vector<std::tuple<std::string, std::string, double, double, Micros>> out;
    for (const RecalledSum& r : k.recalled(now))
        out.emplace_back(r.server, r.zone, r.tries, r.failed, r.mean);
    return out;
}

Knowledge emptyKnowledge() {
    Knowledge out("me", 1);
    out.updateList(2, listOf(3), 0);
    return out;
}

RC_GTEST_PROP(KnowledgeProperty, MergingIsCommutativeAssociativeAndIdempotent, (std::uint32_t seed)) {
    std::mt19937_64 random(seed);
    std::vector<Handover> all;
    for (int i = 0; i < 5; ++i) all.push_back(randomHandover(random));
    Knowledge one = emptyKnowledge(), two = emptyKnowledge();
    for (const Handover& h : all) (void)one.merge(h, 0, kSecond);
    std::shuffle(all.begin(), all.end(), random);
    for (const Handover& h : all) {
        (void)two.merge(h, 0, kSecond);
        if (random() % 2 == 0) (void)two.merge(h, 0, kSecond);
    }
    RC_ASSERT(recalledAsTuples(one, kSecond) == recalledAsTuples(two, kSecond));
    RC_ASSERT(one.heldBack(0) == two.heldBack(0));
    RC_ASSERT(one.handOver(kSecond).sums == two.handOver(kSecond).sums);
    RC_ASSERT(one.handOver(kSecond).demand == two.handOver(kSecond).demand);
}

RC_GTEST_PROP(KnowledgeProperty, ForwardingInCirclesNeverAddsWeight, (std::uint32_t seed)) {
    std::mt19937_64 random(seed);
    // Instances forward facts to one another repeatedly, without new observations.
    std::vector<Knowledge> instances;
    for (int i = 0; i < 4; ++i) {
        instances.emplace_back("n" + std::to_string(i), 1);
        instances.back().updateList(2, listOf(3), 0);
    }
    instances[0].recordOutcomes({"server-0", "a", 5, 40, 4, 90000}, 0);
    instances[1].recordOutcomes({"server-0", "a", 5, 30, 0, 70000}, 0);
    Micros now = 0;
    double most = 1e9;
    for (int turn = 0; turn < 60; ++turn) {
        now += static_cast<Micros>(random() % kSecond);
        const std::size_t from = random() % 4, to = random() % 4;
        if (from != to)
            (void)instances[to].merge(instances[from].handOver(now), static_cast<Micros>(random() % 100000),
                                      now);
        double heaviest = 0;
        for (const Knowledge& k : instances) {
            for (const RecalledSum& r : k.recalled(now)) heaviest = std::max(heaviest, r.tries);
        }
        // No instance has more weight than the two original observations, decayed since.
        const double bound = instances[0].decayedTries(40, now) + instances[0].decayedTries(30, now);
        RC_ASSERT(heaviest <= bound + 1e-9);
        most = std::min(most, heaviest);
    }
}

RC_GTEST_PROP(KnowledgeProperty, NoFactMakesAServerListedOrReady, (std::uint32_t seed)) {
    std::mt19937_64 random(seed);
    Knowledge k("me", 1);
    auto list = listOf(3);
    list["server-1"].state = ServerState::draining;
    list.erase("server-2");
    k.updateList(2, list, 0);
    for (int i = 0; i < 8; ++i) (void)k.merge(randomHandover(random), 0, kSecond);
    for (const RecalledSum& r : k.recalled(kSecond)) RC_ASSERT(r.server == "server-0");
    for (const std::string& server : k.heldBack(0)) RC_ASSERT(server == "server-0");
}

TEST(Knowledge, HoldsBackServersThatANewerListHasAsNotReadyUntilTheOwnListHasThatVersion) {
    Knowledge donor("n1", 1), asker("n2", 1);
    auto later = listOf(3);
    later["server-1"].state = ServerState::draining;
    later["server-2"].state = ServerState::gone;
    donor.updateList(9, later, 0);
    asker.updateList(5, listOf(3), 0);
    (void)asker.merge(donor.handOver(0), 0, 0);
    EXPECT_EQ(asker.heldBack(0), (std::set<std::string>{"server-1", "server-2"}));
    asker.updateList(8, listOf(3), 0);
    EXPECT_EQ(asker.heldBack(0).size(), 2U);
    asker.updateList(9, later, 0);
    EXPECT_TRUE(asker.heldBack(0).empty()) << "the own list has the same version";
    // A list older than the own one holds nothing back.
    Knowledge behind("n3", 1);
    behind.updateList(3, later, 0);
    asker.updateList(10, listOf(3), 0);
    (void)asker.merge(behind.handOver(0), 0, 0);
    EXPECT_TRUE(asker.heldBack(0).empty());
}

TEST(Knowledge, HoldsNeverCoverEveryReadyServerNorALaterBoot) {
    Knowledge k("me", 1);
    k.updateList(1, listOf(2, 5), 0);
    Handover hostile;
    hostile.listed = {{"server-0", 9, ServerState::gone, 5}, {"server-1", 9, ServerState::gone, 5}};
    (void)k.merge(hostile, 0, 0);
    EXPECT_TRUE(k.heldBack(0).empty()) << "the holds would cover every ready server";
    auto restarted = listOf(2, 5);
    restarted["server-0"].bootMs = 8;
    k.updateList(2, restarted, 0);
    EXPECT_EQ(k.heldBack(0), std::set<std::string>{"server-1"}) << "server-0 has restarted since";
}

TEST(Knowledge, FactsOfAnotherBootDoNotApply) {
    Knowledge k("me", 1);
    k.updateList(1, listOf(2, 5), 0);
    Handover ahead;
    ahead.sums.push_back({"n1", "server-0", "a", 5, {1, 1}, 0, 50, 0, 1000});
    ahead.sums.push_back({"n1", "server-1", "a", 9, {1, 1}, 0, 50, 0, 1000});
    (void)k.merge(ahead, 0, 0);
    EXPECT_EQ(k.recalled(0).size(), 1U) << "the own list does not have the other boot yet";
    k.updateList(2, listOf(2, 9), 0);
    const auto now = k.recalled(0);
    ASSERT_EQ(now.size(), 1U);
    EXPECT_EQ(now[0].server, "server-1") << "the facts of the earlier boot are dropped";
}

TEST(Knowledge, ThreeReportsOutweighWhatWasRecalled) {
    Knowledge k("me", 1);
    k.updateList(1, listOf(1), 0);
    Handover hostile;  // false facts from many made-up origins
    for (int i = 0; i < 100; ++i)
        hostile.sums.push_back(
            {"n" + std::to_string(i), "server-0", "a", 5, {1, 1}, 0, 10'000'000, 10'000'000, 0});
    const MergeCounts counts = k.merge(hostile, 0, 0);
    EXPECT_GT(counts.refused, 60U) << "more origins than are admitted";
    const auto recalled = k.recalled(0);
    ASSERT_EQ(recalled.size(), 1U);
    EXPECT_LE(recalled[0].tries, 128.0);
    // Three reports of 50 tries each.
    EXPECT_LT(recalled[0].tries, 3 * 50.0);
    k.expire(140 * kSecond);
    EXPECT_EQ(k.factCount(), 0U);
}

TEST(Knowledge, RefusesImplausibleFactsAndOwnFactsOfThisRun) {
    Knowledge k("me", 7);
    k.updateList(1, listOf(1), 0);
    Handover h;
    const SumFact good{"n1", "server-0", "a", 5, {1, 1}, 0, 50, 5, 1000};
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
    EXPECT_EQ(k.merge(h, 0, 0).merged, 1U) << "observed by this instance in an earlier run";
}

TEST(Knowledge, TheDurationOfTheQueryCountsAsAge) {
    Knowledge donor("n1", 1), asker("n2", 1);
    donor.updateList(1, listOf(1), 0);
    asker.updateList(1, listOf(1), 0);
    donor.recordOutcomes({"server-0", "a", 5, 64, 0, 1000}, 100 * kSecond);
    // The clocks of the two instances are unrelated.
    (void)asker.merge(donor.handOver(110 * kSecond), 10 * kSecond, 5 * kSecond);
    EXPECT_NEAR(asker.recalled(5 * kSecond)[0].tries, 32, 0.01) << "half of 64 after one half-life";
}

TEST(Knowledge, AFewConsecutiveContradictingTriesStartANewSum) {
    Knowledge k("n1", 1);
    k.updateList(1, listOf(1), 0);
    for (int i = 0; i < 50; ++i) k.recordOutcomes({"server-0", "a", 5, 2, 0, 1000}, i * 2 * kSecond);
    k.recordOutcomes({"server-0", "a", 5, 2, 2, 0}, 100 * kSecond);
    EXPECT_EQ(k.handOver(100 * kSecond).sums[0].failed, 0U) << "two failures may be chance";
    k.recordOutcomes({"server-0", "a", 5, 2, 2, 0}, 102 * kSecond);
    auto fact = k.handOver(102 * kSecond).sums[0];
    EXPECT_EQ(fact.tries, 4U);
    EXPECT_EQ(fact.failed, 4U);
    EXPECT_EQ(fact.failsFor, 2 * kSecond);
    // The server is ejected, so it gets only an occasional try, and each one fails.
    for (int i = 1; i <= 5; ++i) k.recordOutcomes({"server-0", "a", 5, 1, 1, 0}, (102 + 8 * i) * kSecond);
    fact = k.handOver(142 * kSecond).sums[0];
    EXPECT_EQ(fact.tries, 9U) << "evidence is kept although tries are rare";
    EXPECT_EQ(fact.failsFor, 42 * kSecond);
    k.recordOutcomes({"server-0", "a", 5, 5, 0, 2000}, 144 * kSecond);
    fact = k.handOver(144 * kSecond).sums[0];
    EXPECT_EQ(fact.failed, 0U);
    EXPECT_EQ(fact.failsFor, 0);
    EXPECT_EQ(fact.mean, 2000) << "the earlier sum is not part of it";
}

TEST(Knowledge, AClaimOfAListThatNeverArrivesExpires) {
    Knowledge k("me", 1);
    k.updateList(1, listOf(3), 0);
    Handover claim;
    claim.listed = {{"server-0", 1ULL << 60U, ServerState::draining, 5}};
    (void)k.merge(claim, 0, kSecond);
    EXPECT_EQ(k.heldBack(60 * kSecond).size(), 1U);
    claim.listed[0].version += 1;  // repeating the claim does not extend the hold
    (void)k.merge(claim, 0, 50 * kSecond);
    EXPECT_TRUE(k.heldBack(61 * kSecond).empty());
}

TEST(Knowledge, DoesNotRecallWhatThisRunHasObserved) {
    Knowledge k("me", 2);
    k.updateList(1, listOf(2), 0);
    Handover h;
    h.sums = {{"n1", "server-0", "a", 5, {1, 1}, 0, 50, 50, 0},
              {"me", "server-0", "a", 5, {1, 1}, 0, 50, 50, 0},
              {"me", "server-1", "a", 5, {1, 2}, 0, 50, 0, 1000}};
    (void)k.merge(h, 0, 0);
    EXPECT_EQ(k.recalled(0).size(), 2U) << "facts of an earlier run of this instance are included";
    k.recordOutcomes({"server-0", "a", 5, 1, 0, 1000}, kSecond);
    const auto remaining = k.recalled(kSecond);
    ASSERT_EQ(remaining.size(), 1U);
    EXPECT_EQ(remaining[0].server, "server-1");
}

TEST(Knowledge, DemandIsSummedOverProxiesAndDroppedWhenTheyLeave) {
    Knowledge k("n1", 1), other("n2", 1);
    k.recordDemand(1, "a", "lookup", 10, 0);
    k.recordDemand(2, "a", "lookup", 5, kSecond);
    k.recordDemand(3, "b", "lookup", 2, kSecond);
    auto demand = k.handOver(2 * kSecond).demand;
    ASSERT_EQ(demand.size(), 2U);
    EXPECT_EQ(demand[0].rate, 15);
    EXPECT_EQ(demand[0].proxies, 2U);
    EXPECT_EQ(demand[0].age, kSecond);
    EXPECT_EQ(other.merge(k.handOver(2 * kSecond), 0, 0).merged, 2U);
    EXPECT_EQ(other.merge(k.handOver(2 * kSecond), 0, 0).known, 2U);
    EXPECT_EQ(other.handOver(0).demand.size(), 2U);
    k.removeProxy(1);
    EXPECT_EQ(k.handOver(2 * kSecond).demand[0].rate, 5);
    EXPECT_TRUE(k.handOver(60 * kSecond).demand.empty()) << "the last reports are too old";
    EXPECT_TRUE(other.handOver(60 * kSecond).demand.empty());
}

RC_GTEST_PROP(CodecProperty, RoundTripsAndDetectsChanges, (std::uint32_t seed)) {
    std::mt19937_64 random(seed);
    const Handover h = randomHandover(random);
    std::string bytes = encode(h), error;
    const auto back = decode(bytes, error);
    RC_ASSERT(back.has_value());
    RC_ASSERT(*back == h);
    RC_ASSERT(!decode(bytes.substr(0, random() % bytes.size()), error).has_value());
    RC_ASSERT(!error.empty());
    std::string flipped = bytes;
    const std::size_t at = 8 + random() % (bytes.size() - 8);
    flipped[at] = static_cast<char>(flipped[at] ^ (1 << (random() % 8)));
    RC_ASSERT(!decode(flipped, error).has_value());
    std::string noise(random() % 300, 0);
    for (char& c : noise) c = static_cast<char>(random());
    Handover out;
    (void)decodePlain(noise, out);
    RC_ASSERT(out.sums.size() <= noise.size());
}

TEST(Codec, AHandoverOfALargeFleetIsSmall) {
    Knowledge k("n1", 1);
    k.updateList(1, listOf(540), 0);
    for (int i = 0; i < 540; ++i) {
        for (const char* zone : {"a", "b", "c", "d"}) {
            k.recordOutcomes({"server-" + std::to_string(i), zone, 5, 40 + static_cast<std::uint32_t>(i % 20),
                              0, 90000 + i * 13},
                             0);
        }
    }
    const std::string bytes = encode(k.handOver(kSecond));
    EXPECT_LT(bytes.size(), 200000U);
    std::string error;
    ASSERT_TRUE(decode(bytes, error));
    EXPECT_EQ(decode(bytes, error)->sums.size(), 2160U);
}

// ---- Snapshots ----

class SnapshotFile : public testing::Test {
protected:
    void SetUp() override {
        std::string pattern = testing::TempDir() + "marldalesnapshotXXXXXX";
        ASSERT_NE(mkdtemp(pattern.data()), nullptr);
        directory = pattern;
        snapshot.exportedAtUs = 1791662400000000;
        snapshot.handover.from = "n0";
        for (int i = 0; i < 20; ++i) {
            snapshot.handover.sums.push_back(
                {"n0", "server-" + std::to_string(i), "a", 5, {1, 1}, kSecond, 50, 5, 1000});
        }
    }
    void TearDown() override { std::filesystem::remove_all(directory); }
    std::string directory, error;
    Snapshot snapshot;
};

TEST_F(SnapshotFile, RoundTripsAndIsReplacedAtomically) {
    const std::string path = directory + "/k";
    EXPECT_FALSE(readSnapshot(path, error));
    EXPECT_TRUE(error.empty()) << "a missing file is no error";
    writeSnapshot(path, snapshot);
    EXPECT_EQ(readSnapshot(path, error), snapshot);
    snapshot.handover.from = "n1";
    writeSnapshot(path, snapshot);
    EXPECT_EQ(readSnapshot(path, error), snapshot);
    EXPECT_EQ(std::distance(std::filesystem::directory_iterator(directory), {}), 1);
}

TEST_F(SnapshotFile, RejectedIfTruncatedOrChangedAtAnyByte) {
    const std::string bytes = encode(snapshot);
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        EXPECT_FALSE(decodeSnapshot(bytes.substr(0, size), error)) << size;
        EXPECT_FALSE(error.empty());
    }
    for (std::size_t at = 0; at < bytes.size(); ++at) {
        std::string bad = bytes;
        bad[at] = static_cast<char>(~bad[at]);
        EXPECT_FALSE(decodeSnapshot(bad, error)) << at;
    }
    EXPECT_FALSE(decodeSnapshot("MRLTRACE, a file of another format", error));
}

TEST_F(SnapshotFile, AFailedWriteIsReportedAndKeepsThePreviousSnapshot) {
    const std::string path = directory + "/k";
    writeSnapshot(path, snapshot);
    Snapshot other = snapshot;
    other.handover.from = "n1";
    EXPECT_THROW(writeSnapshot(directory + "/gone/k", other), std::runtime_error);
    std::filesystem::create_symlink("/dev/full", path + ".part");
    EXPECT_THROW(writeSnapshot(path, other), std::runtime_error);
    EXPECT_EQ(readSnapshot(path, error), snapshot);
    EXPECT_FALSE(readSnapshot(directory, error));
    EXPECT_FALSE(error.empty());
}

TEST_F(SnapshotFile, AgeIsUnknownIfTheClockWentBackwards) {
    EXPECT_EQ(snapshotAge(snapshot, snapshot.exportedAtUs + 7), 7);
    EXPECT_FALSE(snapshotAge(snapshot, snapshot.exportedAtUs - 1));
}

}  // namespace
}  // namespace marldale::recovery
