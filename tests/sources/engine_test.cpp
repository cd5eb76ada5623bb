// The replayer on sockets, against a stand-in box: journal first, limits, refusals, a disk that is full.
#include <gtest/gtest.h>

#include <sys/resource.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>

#include "replay/engine.h"
#include "standin/http_box.h"

namespace marldale::replay {
namespace {

using standin::Arrived;
using standin::HttpBox;
using standin::Manner;

const std::vector<trace::TraceClass> kClasses = {{"image", false}, {"reserve", true}};

std::vector<trace::Entry> entries(std::uint32_t classIndex, int count) {
    std::vector<trace::Entry> out;
    for (int i = 0; i < count; ++i) {
        trace::Entry e;
        e.at = i * 1000;
        e.chain = e.client = static_cast<std::uint64_t>(i + 1);
        e.classIndex = classIndex;
        e.answer = {attempts::Ended::answered, 200, 5};
        e.method = classIndex == 1 ? "POST" : "GET";
        e.path = classIndex == 1 ? "/reserve/1" : "/image/1";
        out.push_back(std::move(e));
    }
    return out;
}

class EngineTest : public testing::Test {
protected:
    void SetUp() override {
        std::string pattern = testing::TempDir() + "marldaleengineXXXXXX";
        ASSERT_NE(mkdtemp(pattern.data()), nullptr);
        directory = pattern;
    }
    void TearDown() override { std::filesystem::remove_all(directory); }
    // Plays entries against a box; its journal is kept under a name.
    Summary play(const std::vector<trace::Entry>& all, const std::string& address,
                 const std::string& journalName, EngineSettings engine = {}, PlanSettings settings = {}) {
        std::size_t at = 0;
        Plan plan(
            settings, kClasses,
            [&](trace::Entry& e) {
                if (at == all.size()) return false;
                e = all[at++];
                return true;
            },
            [&] { at = 0; });
        JournalFile journal(directory + "/" + journalName, Sync::each);
        const attempts::Resumed resumed = attempts::restoreLedger(journal.records(), plan.ledger());
        results.emplace(std::vector<std::string>{"image", "reserve"});
        engine.targets = {*transport::parseAddress(address)};
        transport::Loop loop;
        Engine player(loop, engine, plan, *results, &journal, {});
        const Summary out = player.run(fromStart ? 0 : resumed.from);
        figures = plan.figures();
        return out;
    }
    bool fromStart = false;
    std::string directory;
    std::optional<Results> results;
    std::vector<ClassFigures> figures;
};

TEST_F(EngineTest, EveryEntryIsSentOnceAndAnswered) {
    HttpBox box([](const Arrived&) { return Manner{}; });
    const Summary summary = play(entries(0, 300), box.address(), "j");
    EXPECT_FALSE(summary.stopped);
    EXPECT_EQ(box.arrived().size(), 300U);
    EXPECT_EQ(figures[0].answered, 300U);
    EXPECT_EQ(results->byStatus.at(200), 300U);
}

TEST_F(EngineTest, ABookingStandsInTheJournalBeforeItsRequestArrives) {
    std::string path = directory + "/j";
    std::size_t missing = 0;
    HttpBox box([&](const Arrived& a) {
        std::ifstream in(path, std::ios::binary);
        const std::string bytes{std::istreambuf_iterator<char>(in), {}};
        bool stands = false;
        for (const auto& r : attempts::readJournal(bytes).records) {
            char key[17];
            std::snprintf(key, sizeof key, "%016llx", static_cast<unsigned long long>(r.intent));
            stands = stands || (r.kind == attempts::JournalRecord::Kind::begun && a.key == key);
        }
        missing += stands ? 0 : 1;
        return Manner{};
    });
    (void)play(entries(1, 50), box.address(), "j");
    EXPECT_EQ(box.effects().size(), 50U);
    EXPECT_EQ(missing, 0U);
}

TEST_F(EngineTest, AnswersThatAreLostSpendTheBookingAndAResumedRunLeavesItOut) {
    HttpBox box([](const Arrived&) {
        Manner m;
        m.answers = false;
        return m;
    });
    (void)play(entries(1, 20), box.address(), "j");
    fromStart = true;  // as if it had been killed before it noted how far it was
    (void)play(entries(1, 20), box.address(), "j");
    EXPECT_EQ(figures[1].notSent[static_cast<std::size_t>(NotSent::maybe)], 20U);
    for (const auto& [key, count] : box.effects()) EXPECT_EQ(count, 1) << key;
    EXPECT_EQ(box.effects().size(), 20U);
}

TEST_F(EngineTest, AFullDiskUnderTheJournalEndsItBeforeAnythingGoes) {
    HttpBox box([](const Arrived&) { return Manner{}; });
    const auto before = std::signal(SIGXFSZ, SIG_IGN);
    rlimit limit{};
    getrlimit(RLIMIT_FSIZE, &limit);
    const rlimit small{10 * attempts::kJournalRecordBytes + 5, limit.rlim_max};
    setrlimit(RLIMIT_FSIZE, &small);
    EXPECT_THROW((void)play(entries(1, 200), box.address(), "full"), std::runtime_error);
    setrlimit(RLIMIT_FSIZE, &limit);
    std::signal(SIGXFSZ, before);
    EXPECT_LE(box.effects().size(), 10U) << "what has gone stands in the journal";
    // With room again it goes on, and sends nothing twice.
    (void)play(entries(1, 200), box.address(), "full");
    for (const auto& [key, count] : box.effects()) EXPECT_EQ(count, 1) << key;
    EXPECT_GE(box.effects().size(), 190U);
}

TEST_F(EngineTest, ABoxThatIsNotThereIsKnownNotToHaveRunAnything) {
    std::string nobody;
    {
        HttpBox box([](const Arrived&) { return Manner{}; });
        nobody = box.address();
    }
    (void)play(entries(1, 5), nobody, "j");
    EXPECT_EQ(figures[1].failed, 5U);
    HttpBox box([](const Arrived&) { return Manner{}; });
    // Its journal came to its end, but every wish is free: a new run over the same ledger may send them.
    attempts::EffectLedger ledger({});
    std::ifstream in(directory + "/j", std::ios::binary);
    const std::string bytes{std::istreambuf_iterator<char>(in), {}};
    (void)attempts::restoreLedger(attempts::readJournal(bytes).records, ledger);
    EXPECT_EQ(ledger.counts().free, 5U);
}

TEST_F(EngineTest, SilenceEndsInTimeAndCountsAsUnknown) {
    HttpBox box([](const Arrived&) {
        Manner m;
        m.delayMs = 60000;
        return m;
    });
    EngineSettings engine;
    engine.answerWithin = 1000000;
    const Summary summary = play(entries(1, 3), box.address(), "j", engine);
    EXPECT_FALSE(summary.stopped);
    EXPECT_EQ(results->byStatus.at(0), 3U);
    EXPECT_EQ(box.arrived().size(), 3U) << "the library does not try again by itself";
}

TEST_F(EngineTest, RetryAfterHoldsABoxBack) {
    HttpBox box([](const Arrived&) {
        Manner m;
        m.status = 503;
        m.retryAfter = "3600";
        return m;
    });
    PlanSettings settings;
    settings.inFlightMost = 1;
    (void)play(entries(0, 100), box.address(), "j", {}, settings);
    EXPECT_EQ(box.arrived().size(), 1U);
    EXPECT_EQ(figures[0].notSent[static_cast<std::size_t>(NotSent::boxRefuses)], 99U);
}

TEST_F(EngineTest, TwoReplaysDoNotShareAJournalAndADamagedOneIsRefused) {
    const JournalFile first(directory + "/j", Sync::none);
    EXPECT_THROW(JournalFile(directory + "/j", Sync::none), std::runtime_error);
    std::ofstream(directory + "/bad") << std::string(100, 'x');
    EXPECT_THROW(JournalFile(directory + "/bad", Sync::none), std::runtime_error);
}

}  // namespace
}  // namespace marldale::replay
