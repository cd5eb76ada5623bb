// Garbage into every reader of bytes, from fixed seeds: what is spoilt is refused or left out, and the valid
// messages in between are still taken. Under the sanitizers it also shows that no reader leaves its bounds.
#include <gtest/gtest.h>

#include <cstdint>
#include <random>

#include "protocol/catalog.h"
#include "protocol/config.h"
#include "protocol/frames.h"
#include "protocol/lines.h"
#include "protocol/relay.h"
#include "protocol/reports.h"
#include "support/sockets.h"

namespace marldale::protocol {
namespace {

constexpr int kRounds = 4000;

class Garbage {
public:
    explicit Garbage(std::uint32_t seed) : random_(seed) {}

    std::size_t below(std::size_t n) { return random_() % n; }
    // A valid text with a few bytes changed, left out, doubled or cut off.
    std::string spoilt(std::string text) {
        for (std::size_t i = 1 + below(4); i > 0 && !text.empty(); --i) {
            const std::size_t at = below(text.size());
            switch (below(5)) {
                case 0: text[at] = static_cast<char>(random_()); break;
                case 1: text.erase(at, 1 + below(8)); break;
                case 2: text.insert(at, text.substr(at, 1 + below(16))); break;
                case 3: text.resize(at); break;
                default: text.replace(at, 1, numbers_[below(std::size(numbers_))]);
            }
        }
        return text;
    }
    std::string noise(std::size_t most) {
        std::string out(below(most), '\0');
        for (char& c : out) c = static_cast<char>(random_());
        return out;
    }

private:
    const char* numbers_[8] = {"-1", "1e999", "null", "\"", "true", "99999999999999999999", "{}", "0.5"};
    std::minstd_rand random_;
};

const std::string kOutcomes =
    R"({"type":"outcomes","site":"a","target":"s-1","count":212,"fail":3,"mean":41.7,"over":1000.0,)"
    R"("util":{"inflight":7,"util":0.61}})";
const std::string kDemand = R"({"type":"demand","id":17,"lane":"lookup","count":19,"fail":0,"over":1000.0})";

bool sane(const Report& report) {
    if (const auto* o = std::get_if<Outcomes>(&report)) {
        for (const auto& [name, value] : o->load) {
            if (!(value >= 0 && value <= 1e12)) return false;
        }
        return o->failed <= o->tries && o->meanUs >= 0 && o->overUs > 0 && o->overUs <= 60000000;
    }
    if (const auto* d = std::get_if<Demand>(&report)) return d->overUs > 0;
    return true;
}

TEST(GarbageTest, ReportsAreSaneOrNone) {
    Garbage garbage(1);
    int taken = 0;
    for (int i = 0; i < kRounds; ++i) {
        for (const std::string& valid : {kOutcomes, kDemand, std::string(R"({"type":"agent","site":"a"})")}) {
            const auto report = parseReport(garbage.spoilt(valid));
            EXPECT_TRUE(!report || sane(*report));
            taken += report.has_value();
            ASSERT_TRUE(parseReport(valid));
        }
        (void)parseLoadLine(garbage.spoilt("TEXT inflight=7, queue=2, util=0.61"));
        EXPECT_FALSE(parseReport(garbage.noise(200)));
    }
    EXPECT_GT(taken, 0) << "some are spoilt where nothing reads";
}

TEST(GarbageTest, FramesInPiecesGiveTheValidMessagesUntilALengthIsFalse) {
    Garbage garbage(2);
    for (int i = 0; i < kRounds; ++i) {
        // Messages are spoilt, their lengths are not: each valid one between them comes out.
        std::string bytes;
        for (int k = 0; k < 3; ++k) bytes += frame(garbage.spoilt(kOutcomes) + ' ') + frame(kDemand);
        FrameReader reader;
        int valid = 0;
        while (!bytes.empty()) {
            const std::size_t piece = 1 + garbage.below(bytes.size());
            ASSERT_TRUE(reader.feed(bytes.substr(0, piece), [&](std::string_view m) {
                valid += m == kDemand;
                return true;
            }));
            bytes.erase(0, piece);
        }
        EXPECT_GE(valid, 3);
        // And noise never makes it hold more than a message.
        FrameReader lost(4096);
        bool sound = true;
        for (int k = 0; k < 8 && sound; ++k) {
            sound = lost.feed(garbage.noise(2000), [](std::string_view) { return true; });
        }
        EXPECT_LE(lost.held(), 4096U + 4U + 2000U);
    }
}

TEST(GarbageTest, LinesOfTheRelayAreUnderstoodOrUnreadable) {
    Garbage garbage(3);
    for (int i = 0; i < kRounds; ++i) {
        const Answer answer = parseAnswer(garbage.spoilt("OK 12"), 12);
        const auto* taken = std::get_if<Taken>(&answer);
        EXPECT_TRUE(taken == nullptr || taken->orders <= 12U);
        for (const char* valid : {"* hello 17 a 21.5 1", "* ack 17 905 310.4", "* bye 17", "*"}) {
            const auto news = parseNews(garbage.spoilt(valid));
            if (news && std::holds_alternative<Hello>(*news)) {
                EXPECT_TRUE(std::get<Hello>(*news).rate >= 0 && std::get<Hello>(*news).rate <= 1e9);
            }
            ASSERT_TRUE(parseNews(valid));
        }
        LineReader reader(256);
        int valid = 0;
        std::string bytes = garbage.spoilt("OK 12") + "\r\nOK 7\r\n";
        while (!bytes.empty()) {
            const std::size_t piece = 1 + garbage.below(bytes.size());
            ASSERT_TRUE(reader.feed(bytes.substr(0, piece), [&](std::string_view line) {
                valid += line == "OK 7";
                return true;
            }));
            bytes.erase(0, piece);
        }
        EXPECT_EQ(valid, 1);
    }
}

TEST(GarbageTest, ListsAndConfigurationsAreReadOrRefused) {
    Garbage garbage(4);
    const std::string config = tests::smallConfigJson().dump();
    const std::string list = tests::smallConfigJson()["known"].dump();
    int refused = 0;
    for (int i = 0; i < kRounds / 4; ++i) {
        if (const auto news = parseCatalog(garbage.spoilt(list))) {
            for (const CatalogEntry& e : news->entries) EXPECT_FALSE(e.uid.empty());
        }
        ASSERT_EQ(parseCatalog(list)->entries.size(), 2U);
        try {
            const Config read = parseConfig(garbage.spoilt(config));
            EXPECT_FALSE(read.relay.empty());
        } catch (const BadConfig&) {
            ++refused;  // and nothing else is ever thrown
        }
    }
    EXPECT_GT(refused, kRounds / 16);
    EXPECT_EQ(parseConfig(config).name, "n0");
}

}  // namespace
}  // namespace marldale::protocol
