// The trace's form: what is written is read back, what is cut or damaged is found, nothing else is concluded.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>

#include "trace/file.h"
#include "trace/statistics.h"

namespace marldale::trace {
namespace {

const Head kHead{{{"image", false}, {"reserve", true}}, {"no duration"}};

std::vector<Entry> entriesOf(std::uint32_t seed, std::size_t count) {
    std::mt19937_64 random(seed);
    std::vector<Entry> out;
    Micros at = 1700000000000000;
    for (std::size_t i = 0; i < count; ++i) {
        Entry e;
        e.at = at += static_cast<Micros>(random() % 50000);
        e.took = random() % 5 == 0 ? -1 : static_cast<Micros>(random() % 3000000);
        e.client = random();
        e.target = random();
        e.requestId = random() % 2 == 0 ? 0 : random();
        e.chain = i / 2 + 1;
        e.number = static_cast<std::uint32_t>(i % 2);
        e.classIndex = static_cast<std::uint32_t>(random() % 2);
        e.answer = {static_cast<attempts::Ended>(random() % 6), static_cast<int>(random() % 600),
                    static_cast<std::int64_t>(random() % 100000) - 1};
        e.upstreamTries = static_cast<std::uint32_t>(random() % 3);
        e.coarse = random() % 2 == 0;
        e.method = random() % 2 == 0 ? "GET" : "POST";
        e.host = random() % 3 == 0 ? "" : "box";
        e.path = "/p" + std::to_string(random() % 100);
        out.push_back(std::move(e));
    }
    return out;
}

class TraceFile : public testing::Test {
protected:
    void SetUp() override {
        std::string pattern = testing::TempDir() + "marldaletraceXXXXXX";
        ASSERT_NE(mkdtemp(pattern.data()), nullptr);
        directory = pattern;
    }
    void TearDown() override { std::filesystem::remove_all(directory); }
    std::string written(const std::string& name, const std::vector<Entry>& entries) const {
        Writer writer(directory + "/" + name, kHead);
        for (const Entry& e : entries) writer.add(e);
        writer.finish();
        return directory + "/" + name;
    }
    static std::string bytesOf(const std::string& path) {
        std::ifstream in(path, std::ios::binary);
        return {std::istreambuf_iterator<char>(in), {}};
    }
    static std::vector<Entry> all(Reader& reader) {
        std::vector<Entry> out;
        Entry e;
        while (reader.next(e)) out.push_back(e);
        return out;
    }
    std::string directory;
};

RC_GTEST_PROP(TraceProperty, ABlockComesBackAsItWas, (std::uint32_t seed)) {
    const auto entries = entriesOf(seed, seed % 300);
    const std::string bytes = encodeBlock(entries);
    const auto back = decodeBlock(bytes.substr(0, kBlockHead), bytes.substr(kBlockHead), 2);
    RC_ASSERT(back.has_value());
    RC_ASSERT(*back == entries);
}

RC_GTEST_PROP(TraceProperty, ChangedBytesAreFoundAndNeverCrash, (std::uint32_t seed)) {
    std::mt19937 random(seed);
    std::string bytes = encodeBlock(entriesOf(seed, 50));
    const std::string before = bytes;
    bytes[random() % bytes.size()] ^= static_cast<char>(1 << (random() % 8));
    RC_ASSERT(bytes != before);
    RC_ASSERT(!decodeBlock(bytes.substr(0, kBlockHead), bytes.substr(kBlockHead), 2).has_value());
    // The content itself, without the hash that would find it.
    std::string plain(random() % 400, 0);
    for (char& c : plain) c = static_cast<char>(random());
    std::vector<Entry> out;
    (void)decodeEntries(plain, 20, 2, out);
    RC_ASSERT(out.size() <= 20U);
    for (const Entry& e : out) RC_ASSERT(e.path.size() <= plain.size());
}

TEST_F(TraceFile, IsReadBackWholeAndFromAnyTime) {
    const auto entries = entriesOf(1, 3 * kBlockEntries + 17);
    const std::string path = written("t", entries);
    Reader reader(path);
    EXPECT_EQ(reader.head(), kHead);
    EXPECT_EQ(all(reader), entries);
    EXPECT_FALSE(reader.cut());
    const Micros at = entries[2 * kBlockEntries + 5].at;
    reader.seek(at);
    Entry e;
    ASSERT_TRUE(reader.next(e));
    EXPECT_EQ(e, entries[2 * kBlockEntries]) << "whole blocks before are skipped";
    Reader again(path);
    EXPECT_EQ(again.identity(), Reader(path).identity());
    EXPECT_NE(again.identity(), Reader(written("u", entriesOf(2, 10))).identity());
}

TEST_F(TraceFile, CutAnywhereIsGoodUpToItsLastWholeBlock) {
    const auto entries = entriesOf(1, 2 * kBlockEntries);
    const std::string bytes = bytesOf(written("t", entries));
    std::mt19937 random(3);
    for (int i = 0; i < 40; ++i) {
        const std::size_t size = 200 + random() % (bytes.size() - 200);
        std::ofstream(directory + "/cut", std::ios::binary | std::ios::trunc) << bytes.substr(0, size);
        Reader reader(directory + "/cut");
        const auto got = all(reader);
        EXPECT_EQ(got.size() % kBlockEntries, 0U);
        EXPECT_TRUE(std::equal(got.begin(), got.end(), entries.begin()));
        EXPECT_EQ(reader.damagedBlocks(), 0U);
    }
}

TEST_F(TraceFile, ADamagedBlockIsSkippedAndCounted) {
    const auto entries = entriesOf(1, 3 * kBlockEntries);
    std::string bytes = bytesOf(written("t", entries));
    bytes[bytes.size() / 2] ^= 1;
    std::ofstream(directory + "/bad", std::ios::binary) << bytes;
    Reader reader(directory + "/bad");
    EXPECT_EQ(all(reader).size(), 2 * kBlockEntries);
    EXPECT_EQ(reader.damagedBlocks(), 1U);
}

TEST_F(TraceFile, WhatIsNoTraceOrALaterVersionIsToldAsSuch) {
    std::ofstream(directory + "/x") << "hello";
    EXPECT_THROW(Reader(directory + "/x"), TraceError);
    EXPECT_THROW(Reader(directory + "/none"), TraceError);
    std::string bytes = bytesOf(written("t", entriesOf(1, 3)));
    bytes[8] = 9;
    std::ofstream(directory + "/later", std::ios::binary) << bytes;
    try {
        Reader reader(directory + "/later");
        FAIL();
    } catch (const TraceError& e) {
        EXPECT_NE(std::string(e.what()).find("version 9"), std::string::npos);
    }
}

TEST_F(TraceFile, IsNotUnderItsNameUntilItIsWhole) {
    {
        Writer writer(directory + "/t", kHead);
        writer.add(entriesOf(1, 1)[0]);
        EXPECT_FALSE(std::filesystem::exists(directory + "/t"));
        EXPECT_THROW(writer.add(Entry{}), TraceError) << "time goes back";
    }
    EXPECT_TRUE(std::filesystem::is_empty(directory));
}

TEST_F(TraceFile, AFullDiskIsToldAndLeavesNoTrace) {
    EXPECT_THROW(
        {
            Writer writer("/dev/full/t", kHead);
            (void)writer;
        },
        TraceError);
}

TEST_F(TraceFile, MergedByTimeWithChainsKeptApart) {
    const auto a = entriesOf(1, 100), b = entriesOf(2, 100);
    Merger merger({written("a", a), written("b", b)});
    Entry e;
    Micros before = 0;
    std::map<std::uint64_t, int> chains;
    std::size_t count = 0;
    while (merger.next(e)) {
        EXPECT_GE(e.at, before);
        before = e.at;
        ++chains[e.chain];
        ++count;
    }
    EXPECT_EQ(count, 200U);
    EXPECT_EQ(chains.size(), 100U);
    for (const auto& [chain, entries] : chains) EXPECT_EQ(entries, 2);
}

TEST_F(TraceFile, StatisticsCountWhatIsThere) {
    Statistics statistics(kHead, 1000000);
    Entry e;
    e.classIndex = 1;
    e.client = 1;
    e.answer = {attempts::Ended::answered, 503, 0};
    for (int i = 0; i < 10; ++i) {
        e.at = i * 500000;
        e.took = 100000;
        e.chain = static_cast<std::uint64_t>(i < 3 ? 1 : i);
        e.number = static_cast<std::uint32_t>(i < 3 ? i : 0);
        statistics.add(e);
    }
    statistics.finish();
    const auto& c = statistics.classes()[1];
    EXPECT_EQ(c.entries, 10U);
    EXPECT_EQ(c.firstTries, 8U);
    EXPECT_EQ(c.unknown, 10U);
    EXPECT_EQ(c.chainTries, (std::map<unsigned, std::uint64_t>{{1, 7}, {3, 1}}));
    EXPECT_EQ(c.bins, (std::vector<std::uint64_t>{2, 2, 2, 2, 2}));
    EXPECT_NEAR(c.gaps.quantile(0.5), 500000, 25000);
    EXPECT_DOUBLE_EQ(statistics.shareOfBusiest(0.1), 1);
}

}  // namespace
}  // namespace marldale::trace
