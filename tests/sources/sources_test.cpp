// Readers of logs and HAR files: every byte is accounted for, whatever stands there.
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>
#include <zlib.h>
#include <zstd.h>

#include <filesystem>
#include <fstream>
#include <random>

#include "sources/importer.h"

namespace marldale::sources {
namespace {

constexpr Micros kSecond = 1000000;

struct Seen {
    Place place;
    Micros at = 0, took = -1;
    std::string method, host, target, client, requestId;
    attempts::Answer answer;
};
struct Collected : Sink {
    std::vector<Seen> entries;
    std::vector<std::pair<Place, std::string>> wrong;
    std::vector<std::pair<Place, LeftOut>> out;
    std::uint64_t bytes = 0;
    void entry(const Place& place, const Record& r) override {
        bytes += place.bytes;
        entries.push_back({place, r.at, r.took, std::string(r.method), std::string(r.host),
                           std::string(r.target), std::string(r.client), std::string(r.requestId), r.answer});
    }
    void bad(const Place& place, std::string_view why, std::string_view) override {
        bytes += place.bytes;
        wrong.emplace_back(place, why);
    }
    void leftOut(const Place& place, LeftOut rule) override {
        bytes += place.bytes;
        out.emplace_back(place, rule);
    }
};

Collected readLines(const std::string& text, const std::string& format) {
    std::string wrong;
    Collected out;
    auto source = sourceOf(text);
    std::unique_ptr<LineFormat> lines;
    if (format == "json") {
        lines = byJson({});
    } else {
        auto compiled = LogFormat::compile(format, wrong);
        EXPECT_TRUE(compiled) << wrong;
        if (!compiled) return out;
        lines = byFormat(std::move(*compiled));
    }
    LineReader(*source, *lines, 0).read(out);
    return out;
}
Collected readHarText(const std::string& text) {
    Collected out;
    auto source = sourceOf(text);
    const HarCounts counts = readHar(*source, 0, out);
    EXPECT_EQ(counts.bytes, text.size());
    EXPECT_EQ(out.bytes, text.size());
    return out;
}

const std::string kLine =
    R"(10.0.0.7 - ann [10/Oct/2026:13:55:36 -0600] "GET /image/m31.fits?token=abc HTTP/1.1" 200 2326 "-" "curl/7")";

// ---- Stamps ----

TEST(Stamps, AllFormsOfOneMomentAreTheSame) {
    const Micros at = 1791662136LL * kSecond;
    EXPECT_EQ(readClfTime("10/Oct/2026:13:55:36 -0600")->at, at);
    EXPECT_EQ(readClfTime("10/Oct/2026:19:55:36", 0)->at, at);
    EXPECT_EQ(readIsoTime("2026-10-10T19:55:36Z")->at, at);
    EXPECT_EQ(readIsoTime("2026-10-10 19:55:36,250")->at, at + 250000);
    EXPECT_EQ(readIsoTime("2026-10-11T01:25:36.000001+05:30")->at, at + 1);
    EXPECT_EQ(readEpoch("1791662136.5")->at, at + 500000);
    EXPECT_EQ(readIsoTime("2026-10-10T19:55:36.123Z")->grain, 1000);
    EXPECT_EQ(readIsoTime("2026-10-10T19:55:36Z")->grain, kSecond);
}

TEST(Stamps, WhatCantBeIsNoTime) {
    for (const char* bad :
         {"10/Oct/2026:24:00:00 +0000", "31/Apr/2026:00:00:00 +0000", "29/Feb/2026:00:00:00 +0000",
          "10/Okt/2026:00:00:00 +0000", "10/Oct/2026:00:00:61 +0000", "", "-", "10/Oct/2026"}) {
        EXPECT_FALSE(readClfTime(bad)) << bad;
    }
    for (const char* bad :
         {"2026-13-01T00:00:00Z", "2026-10-10T00:00:00.Z", "2026-10-10", "2026-10-10T00:00:00+99:00",
          "2026-10-10T00:00:00+01:75", "1960-01-01T00:00:00Z"}) {
        EXPECT_FALSE(readIsoTime(bad)) << bad;
    }
    const auto leap = readIsoTime("2016-12-31T23:59:60Z");
    ASSERT_TRUE(leap);
    EXPECT_TRUE(leap->leapSecond);
    EXPECT_EQ(leap->at, readIsoTime("2017-01-01T00:00:00Z")->at);
}

RC_GTEST_PROP(StampsProperty, WhatIsShownIsReadBack, (std::uint32_t seconds, std::uint32_t micros)) {
    const Micros at = static_cast<Micros>(seconds) * kSecond + micros % 1000000;
    char text[40];
    const auto back = readIsoTime(shown(at, text));
    RC_ASSERT(back.has_value());
    RC_ASSERT(back->at == at);
}

// ---- Log formats ----

TEST(Formats, CombinedIsReadInAllItsParts) {
    const auto got = readLines(kLine + "\n", "combined");
    ASSERT_EQ(got.entries.size(), 1U);
    const Seen& e = got.entries[0];
    EXPECT_EQ(e.method, "GET");
    EXPECT_EQ(e.target, "/image/m31.fits?token=abc");
    EXPECT_EQ(e.client, "10.0.0.7");
    EXPECT_EQ(e.answer, (attempts::Answer{attempts::Ended::answered, 200, 2326}));
    EXPECT_EQ(e.at, 1791662136LL * kSecond);
    EXPECT_EQ(e.place.bytes, kLine.size() + 1);
}

TEST(Formats, NginxWithTimesUpstreamsAndRequestId) {
    const std::string format =
        R"($remote_addr [$time_local] "$request" $status $body_bytes_sent rt=$request_time urt="$upstream_response_time" id=${request_id})";
    const auto got = readLines(
        R"(10.0.0.7 [10/Oct/2026:13:55:36 +0000] "POST /reserve HTTP/2.0" 504 0 rt=2.001 urt="1.000, 1.000" id=f00d)"
        "\n",
        format);
    ASSERT_EQ(got.entries.size(), 1U) << (got.wrong.empty() ? "" : got.wrong[0].second);
    EXPECT_EQ(got.entries[0].took, 2001000);
    EXPECT_EQ(got.entries[0].requestId, "f00d");
    EXPECT_EQ(got.entries[0].answer.bytes, 0);
}

TEST(Formats, ApacheWithMicrosecondsAndEscapedQuotes) {
    const auto got = readLines(
        R"(h.example 10.0.0.7 [10/Oct/2026:13:55:36 +0000] "GET /a HTTP/1.1" 200 - 1234 "a \"b\" c")"
        "\n",
        R"(%V %a %t \"%r\" %>s %b %D \"%{User-Agent}i\")");
    ASSERT_EQ(got.entries.size(), 1U) << (got.wrong.empty() ? "" : got.wrong[0].second);
    EXPECT_EQ(got.entries[0].host, "h.example");
    EXPECT_EQ(got.entries[0].took, 1234);
}

TEST(Formats, WhatIsNoFormatIsToldWithItsColumn) {
    std::string wrong;
    EXPECT_FALSE(LogFormat::compile("%h %t %Q", wrong));
    EXPECT_NE(wrong.find("column 7"), std::string::npos) << wrong;
    EXPECT_FALSE(LogFormat::compile(R"(%h "%r" %>s)", wrong));
    EXPECT_NE(wrong.find("no time"), std::string::npos) << wrong;
    EXPECT_FALSE(LogFormat::compile("$time_local $status", wrong));
    EXPECT_NE(wrong.find("no request"), std::string::npos) << wrong;
    EXPECT_FALSE(LogFormat::compile("$time_local$request", wrong));
    EXPECT_NE(wrong.find("side by side"), std::string::npos) << wrong;
}

TEST(Formats, ABadLineIsToldWithLineOffsetAndColumnAndItsNeighboursAreTaken) {
    const std::string bad = R"(10.0.0.7 - - [10/Oct/2026:13:55:36 +0000] "GET /a HTTP/1.1" 2x0 5 "-" "-")";
    const auto got = readLines(kLine + "\r\n" + bad + "\n" + kLine + "\n", "combined");
    ASSERT_EQ(got.entries.size(), 2U);
    ASSERT_EQ(got.wrong.size(), 1U);
    EXPECT_EQ(got.wrong[0].first.line, 2U);
    EXPECT_EQ(got.wrong[0].first.offset, kLine.size() + 2);
    EXPECT_EQ(got.wrong[0].first.column, bad.find("2x0") + 1);
    EXPECT_EQ(got.wrong[0].second, "this is no status");
}

TEST(Formats, LongLinesConnectionsWithoutRequestsAndCutEndsAreToldAsSuch) {
    const std::string none = R"(10.0.0.7 - - [10/Oct/2026:13:55:36 +0000] "-" 408 0 "-" "-")";
    const std::string text = std::string(200000, 'x') + "\n" + none + "\n\n# note\n" + kLine.substr(0, 60);
    const auto got = readLines(text, "combined");
    EXPECT_EQ(got.entries.size(), 0U);
    ASSERT_EQ(got.wrong.size(), 2U);
    EXPECT_EQ(got.wrong[0].second, "the line is longer than 64 KiB");
    EXPECT_EQ(got.wrong[0].first.bytes, 200001U);
    EXPECT_EQ(got.wrong[1].second, "the file ends in the middle of this line");
    EXPECT_EQ(got.out.size(), 3U);
    EXPECT_EQ(got.bytes, text.size());
}

TEST(Formats, JsonLines) {
    const auto got = readLines(
        R"({"time":"2026-10-10T19:55:36.5Z","method":"GET","path":"http://box/a?x=1","status":200,"bytes":"12","duration":0.25,"client":"c"})"
        "\n"
        R"({"time":1791662136,"method":"GET","path":"/a","status":"-"})"
        "\n"
        R"({"time":1791662136,"method":"GET","path":"/a","status":1000})"
        "\n[1]\n{\"time\":1\n",
        "json");
    ASSERT_EQ(got.entries.size(), 2U);
    EXPECT_EQ(got.entries[0].host, "box");
    EXPECT_EQ(got.entries[0].took, 250000);
    EXPECT_EQ(got.entries[0].answer.bytes, 12);
    EXPECT_EQ(got.entries[1].answer.ended, attempts::Ended::notRecorded);
    EXPECT_EQ(got.wrong.size(), 3U);
}

// ---- HAR ----

std::string harEntry(const std::string& members) {
    return R"({"startedDateTime":"2026-10-10T21:55:36.100+02:00","time":41.5,"request":{"method":"GET","url":"https://box/image/1?t=2","headers":[{"name":"X-Request-Id","value":"r1"},{"name":"Cookie","value":"secret"}]},)" +
           members + "}";
}
std::string har(const std::string& entries) {
    return R"({"log":{"version":"1.2","pages":[{"id":"p"}],"_x":{"entries":[1]},"entries":[)" + entries +
           "]}}\n";
}

TEST(HarReader, EntriesWithAnswersErrorsAndOffsets) {
    const auto got = readHarText(har(
        harEntry(
            R"("response":{"status":200,"bodySize":-1,"content":{"size":77,"text":"aGk=","encoding":"base64"}})") +
        "," + harEntry(R"("response":{"status":0,"_error":"net::ERR_ABORTED","bodySize":-1,"content":{}})") +
        "," + harEntry(R"("response":{"status":0,"_error":"net::ERR_CONNECTION_REFUSED"})") + "," +
        harEntry(R"("response":{"status":0,"_error":"net::ERR_BLOCKED_BY_CLIENT"})")));
    ASSERT_EQ(got.entries.size(), 3U);
    EXPECT_EQ(got.entries[0].at, 1791662136LL * kSecond + 100000);
    EXPECT_EQ(got.entries[0].took, 41500);
    EXPECT_EQ(got.entries[0].host, "box");
    EXPECT_EQ(got.entries[0].target, "/image/1?t=2");
    EXPECT_EQ(got.entries[0].requestId, "r1");
    EXPECT_EQ(got.entries[0].answer.bytes, 77);
    EXPECT_EQ(got.entries[1].answer.ended, attempts::Ended::aborted);
    EXPECT_EQ(got.entries[2].answer.ended, attempts::Ended::neverSent);
    ASSERT_EQ(got.out.size(), 1U);
    EXPECT_EQ(got.out[0].second, LeftOut::blocked);
}

TEST(HarReader, BadEntriesAreToldAndTheOthersTaken) {
    const std::string good = harEntry(R"("response":{"status":200})");
    const auto got = readHarText(
        "\xef\xbb\xbf" +
        har(good +
            R"(,{"time":1},7,{"startedDateTime":"soon","request":{"method":"GET","url":"http://b/"},"response":{"status":200}},)" +
            harEntry(R"("response":{"status":9999})") + "," + harEntry(R"("response":{"status":"200"})") +
            "," + good));
    EXPECT_EQ(got.entries.size(), 2U);
    ASSERT_EQ(got.wrong.size(), 4U);  // 7 is no entry at all
    EXPECT_EQ(got.wrong[0].second, "there is no startedDateTime");
    EXPECT_EQ(got.wrong[1].second, "startedDateTime is no time");
    EXPECT_EQ(got.wrong[2].second, "the status is out of range");
    EXPECT_EQ(got.wrong[3].second, "the status is no number");
}

TEST(HarReader, WhatBreaksOffIsToldAndWhatStoodBeforeIsTaken) {
    const std::string good = harEntry(R"("response":{"status":200})");
    const std::string whole = har(good + "," + good + "," + good);
    const auto got = readHarText(whole.substr(0, whole.size() - 60));
    EXPECT_EQ(got.entries.size(), 2U);
    ASSERT_EQ(got.wrong.size(), 1U);
    EXPECT_EQ(got.wrong[0].second, "the JSON breaks off or is wrong from here on");
    EXPECT_EQ(readHarText("{}").wrong.size(), 1U);
    EXPECT_EQ(readHarText("").wrong.size(), 1U);
}

TEST(HarReader, HugeBodiesAreCutAndEscapesInThemDoNoHarm) {
    std::string body;
    while (body.size() < 300000)
        body += R"(\"x\\ \u00e9\ud83d\ude00)"
                "\xc3\xa9 plain ";
    const auto got = readHarText(
        har(harEntry(R"("response":{"status":200,"content":{"size":5,"text":")" + body + R"("}})")));
    ASSERT_EQ(got.entries.size(), 1U) << (got.wrong.empty() ? "" : got.wrong[0].second);
    EXPECT_EQ(got.entries[0].answer.bytes, 5);
}

RC_GTEST_PROP(HarProperty, NoBytesAreLostWhateverIsChangedInAFile, (std::uint32_t seed)) {
    std::mt19937 random(seed);
    std::string text =
        har(harEntry(R"("response":{"status":200})") + "," + harEntry(R"("response":{"status":503})"));
    for (int i = 0; i < 3; ++i) text[random() % text.size()] = static_cast<char>(random());
    if (random() % 2 == 0) text.resize(random() % text.size());
    Collected out;
    auto source = sourceOf(text);
    // Bytes that look packed make it another stream.
    if (text.starts_with("\x1f\x8b") || text.starts_with("\x28\xb5\x2f\xfd")) return;
    const HarCounts counts = readHar(*source, 0, out);
    RC_ASSERT(counts.bytes == text.size());
    RC_ASSERT(out.bytes == text.size());
}

RC_GTEST_PROP(LinesProperty, NoBytesAreLostWhateverTheLinesAre, (std::uint32_t seed)) {
    std::mt19937 random(seed);
    std::string text;
    for (int i = 0; i < 20; ++i) {
        std::string line = kLine;
        for (std::uint32_t n = random() % 3; n > 0; --n)
            line[random() % line.size()] = static_cast<char>(random());
        text += line + (random() % 10 == 0 ? "" : "\n");
    }
    if (text.starts_with("\x1f\x8b") || text.starts_with("\x28\xb5\x2f\xfd")) return;
    RC_ASSERT(readLines(text, "combined").bytes == text.size());
    RC_ASSERT(readLines(text, "json").bytes == text.size());
}

// ---- Packed sources ----

std::string gzipped(const std::string& text) {
    z_stream stream{};
    EXPECT_EQ(deflateInit2(&stream, 6, Z_DEFLATED, 15 + 16, 8, Z_DEFAULT_STRATEGY), Z_OK);
    std::string out(deflateBound(&stream, text.size()) + 64, 0);
    stream.next_in = reinterpret_cast<Bytef*>(const_cast<char*>(text.data()));
    stream.avail_in = static_cast<uInt>(text.size());
    stream.next_out = reinterpret_cast<Bytef*>(out.data());
    stream.avail_out = static_cast<uInt>(out.size());
    EXPECT_EQ(deflate(&stream, Z_FINISH), Z_STREAM_END);
    out.resize(stream.total_out);
    deflateEnd(&stream);
    return out;
}
std::string zstdOf(const std::string& text) {
    std::string out(ZSTD_compressBound(text.size()), 0);
    out.resize(ZSTD_compress(out.data(), out.size(), text.data(), text.size(), 3));
    return out;
}
std::string readAll(ByteSource& source) {
    std::string out, piece(7777, 0);
    while (const std::size_t got = source.read(piece.data(), piece.size())) out.append(piece, 0, got);
    return out;
}

TEST(Packed, GzipAndZstdAreToldByTheirBytesAndMayHaveSeveralMembers) {
    std::string text;
    for (int i = 0; i < 20000; ++i) text += kLine + std::to_string(i) + "\n";
    EXPECT_EQ(readAll(*sourceOf(gzipped(text) + gzipped("and more\n"))), text + "and more\n");
    EXPECT_EQ(readAll(*sourceOf(zstdOf(text) + zstdOf("and more\n"))), text + "and more\n");
    EXPECT_EQ(readAll(*sourceOf(gzipped(""))), "");
}

TEST(Packed, ACutOrDamagedStreamGivesWhatIsWholeAndThenSaysSo) {
    std::string text;
    for (int i = 0; i < 20000; ++i) text += kLine + std::to_string(i * 7919) + "\n";
    for (const std::string& packed : {gzipped(text), zstdOf(text)}) {
        const auto format = byFormat(*[] {
            std::string w;
            return LogFormat::compile("combined", w);
        }());
        auto cut = sourceOf(packed.substr(0, packed.size() / 2));
        Collected out;
        LineReader reader(*cut, *format, 0);
        EXPECT_THROW((void)reader.read(out), SourceError);
        EXPECT_GT(out.wrong.size() + out.entries.size(), 0U);
        std::string bad = packed;
        for (std::size_t i = bad.size() / 2; i < bad.size() / 2 + 40; ++i)
            bad[i] = static_cast<char>(~bad[i]);
        auto damaged = sourceOf(bad);
        EXPECT_THROW((void)readAll(*damaged), SourceError);
    }
}

// ---- Clocks ----

struct Kept {
    std::vector<Micros> at;
    std::vector<std::uint64_t> refused;
    ClockCounts counts;
};
Kept keep(const std::vector<Micros>& stamps, ClockSettings settings = {}, Micros grain = 1) {
    Kept out;
    ClockKeeper keeper(
        settings, 0, [&](trace::Entry&& e, const Place&) { out.at.push_back(e.at); },
        [&](const Place& p) { out.refused.push_back(p.line); });
    for (std::size_t i = 0; i < stamps.size(); ++i) {
        ClockKeeper::In in;
        in.place.line = i + 1;
        in.stamp = stamps[i];
        in.grain = grain;
        keeper.add(std::move(in));
    }
    keeper.finish();
    out.counts = keeper.counts();
    return out;
}

std::vector<Micros> everySecond(Micros from, int count) {
    std::vector<Micros> out;
    for (int i = 0; i < count; ++i) out.push_back(from + i * kSecond);
    return out;
}

TEST(Clock, WhatIsALittleOutOfOrderIsSorted) {
    const auto kept = keep({10 * kSecond, 12 * kSecond, 11 * kSecond, 13 * kSecond});
    EXPECT_EQ(kept.at, (std::vector<Micros>{10 * kSecond, 11 * kSecond, 12 * kSecond, 13 * kSecond}));
    EXPECT_EQ(kept.counts.outOfOrder, 1U);
}

TEST(Clock, AStepBackIsMendedAndLoneStragglersAreRefused) {
    auto stamps = everySecond(100000 * kSecond, 20);
    const auto after = everySecond(96400 * kSecond, 20);  // an hour back, as at the end of daylight saving
    stamps.insert(stamps.end(), after.begin(), after.end());
    const auto kept = keep(stamps);
    ASSERT_EQ(kept.at.size(), 40U);
    EXPECT_TRUE(std::is_sorted(kept.at.begin(), kept.at.end()));
    EXPECT_LE(kept.at.back() - kept.at.front(), 40 * kSecond);
    EXPECT_EQ(kept.counts.stepsBack, 1U);
    auto lone = everySecond(100000 * kSecond, 20);
    lone.insert(lone.begin() + 10, 90000 * kSecond);
    const auto two = keep(lone);
    EXPECT_EQ(two.refused, std::vector<std::uint64_t>{11});
    EXPECT_EQ(two.counts.stepsBack, 0U);
    EXPECT_EQ(two.at.size(), 20U);
}

TEST(Clock, AStepForwardIsMendedAndAQuietNightIsNone) {
    auto stamps = everySecond(100000 * kSecond, 10);
    const auto years = everySecond(900000000 * kSecond, 10);
    stamps.insert(stamps.end(), years.begin(), years.end());
    const auto kept = keep(stamps);
    EXPECT_EQ(kept.counts.stepsForward, 1U);
    EXPECT_LE(kept.at.back() - kept.at.front(), 20 * kSecond);
    auto quiet = everySecond(100000 * kSecond, 10);
    const auto morning = everySecond(110000 * kSecond, 10);
    quiet.insert(quiet.end(), morning.begin(), morning.end());
    EXPECT_EQ(keep(quiet).counts.stepsForward, 0U);
}

TEST(Clock, WholeSecondsAreSpreadInOrderAndTheSameEveryTime) {
    const std::vector<Micros> stamps(100, 50 * kSecond);
    const auto one = keep(stamps, {}, kSecond), two = keep(stamps, {}, kSecond);
    EXPECT_EQ(one.at, two.at);
    EXPECT_TRUE(std::is_sorted(one.at.begin(), one.at.end()));
    EXPECT_GE(one.at.front(), 50 * kSecond);
    EXPECT_LT(one.at.back(), 51 * kSecond);
    EXPECT_GT(one.at.back() - one.at.front(), kSecond / 2);
    ClockSettings other;
    other.seed = 2;
    EXPECT_NE(keep(stamps, other, kSecond).at, one.at);
}

RC_GTEST_PROP(ClockProperty, EveryEntryComesOutOnceInOrderOrIsRefused, (std::uint32_t seed)) {
    std::mt19937_64 random(seed);
    std::vector<Micros> stamps;
    Micros at = 1000000 * kSecond;
    for (int i = 0; i < 300; ++i) {
        at += static_cast<Micros>(random() % (2 * kSecond));
        if (random() % 60 == 0) at += (static_cast<Micros>(random() % 200000) - 100000) * kSecond;
        stamps.push_back(std::max<Micros>(0, at - static_cast<Micros>(random() % (7 * kSecond))));
    }
    const auto kept = keep(stamps, {}, random() % 2 == 0 ? 1 : kSecond);
    RC_ASSERT(kept.at.size() + kept.refused.size() == stamps.size());
    RC_ASSERT(std::is_sorted(kept.at.begin(), kept.at.end()));
    RC_ASSERT(kept.counts.stragglers == kept.refused.size());
}

// ---- Classes ----

TEST(Classes, PatternsAndTheFirstRuleThatFits) {
    EXPECT_TRUE(fits("/cutout/*", "/cutout/a/b"));
    EXPECT_TRUE(fits("*.fits", "/x/m31.fits"));
    EXPECT_TRUE(fits("/a?c", "/abc"));
    EXPECT_FALSE(fits("/a?c", "/ac"));
    EXPECT_FALSE(fits("/cutout/*", "/cutout"));
    EXPECT_TRUE(fits("*a*b*", "xaybz"));
    ImportSettings settings;
    std::vector<settings::Problem> problems;
    const std::string ini =
        "[class reserve]\nmethod = POST\npath = /reserve*\neffect = once\n[class small]\nsize_most = "
        "100\nstatus = 2xx, 304\n"
        "[class any]\npath = *\n";
    importSchema(settings).take("f", settings::readIni("f", ini, problems), problems);
    ASSERT_TRUE(problems.empty()) << problems[0].shown();
    Record r;
    r.method = "POST";
    r.target = "/reserve?x=1";
    EXPECT_EQ(settings.rules.classOf(r), 0U);
    EXPECT_TRUE(settings.rules.classes[0].hasEffect);
    r.method = "GET";
    r.answer = {attempts::Ended::answered, 200, 50};
    EXPECT_EQ(settings.rules.classOf(r), 1U);
    r.answer.bytes = 500;
    EXPECT_EQ(settings.rules.classOf(r), 2U);
}

TEST(Classes, RulesThatCantBeAreToldWithTheirLine) {
    ImportSettings settings;
    std::vector<settings::Problem> problems;
    const std::string ini =
        "[class a]\nstatus = 700\nheader = cookie: x\n[class other]\npath = /\n[log]\nformat = %h\n";
    importSchema(settings).take("f", settings::readIni("f", ini, problems), problems);
    ASSERT_EQ(problems.size(), 4U);
    EXPECT_EQ(problems[0].line, 2);
    EXPECT_EQ(problems[1].line, 3);
    EXPECT_EQ(problems[2].line, 5);
    EXPECT_EQ(problems[3].line, 7);
}

TEST(Harmless, SecretsAndControlBytesDoNotReachTheScreen) {
    EXPECT_EQ(harmless("GET /a?token=secret&b=1 HTTP", 0, 80), "GET /a?token=..&b=.. HTTP");
    EXPECT_EQ(harmless("a\x1b[31mb\n", 0, 80), "a?[31mb?");
}

// ---- Imports ----

class Import : public testing::Test {
protected:
    void SetUp() override {
        std::string pattern = testing::TempDir() + "marldaleimportXXXXXX";
        ASSERT_NE(mkdtemp(pattern.data()), nullptr);
        directory = pattern;
    }
    void TearDown() override { std::filesystem::remove_all(directory); }
    std::string file(const std::string& name, const std::string& text) {
        const std::string path = directory + "/" + name;
        std::ofstream(path, std::ios::binary) << text;
        return path;
    }
    static std::string lineAt(int second, const std::string& path = "/a", int status = 200) {
        char text[300];
        std::snprintf(text, sizeof text,
                      "10.0.0.%d - - [10/Oct/2026:13:%02d:%02d +0000] \"GET %s HTTP/1.1\" %d 5 \"-\" \"-\"\n",
                      second % 9 + 1, second / 60 % 60, second % 60, path.c_str(), status);
        return text;
    }
    std::string directory;
};

TEST_F(Import, EverythingAddsUpAndFilesAreMergedByTime) {
    std::string a, b;
    for (int i = 0; i < 100; ++i) (i % 2 == 0 ? a : b) += lineAt(i, "/x" + std::to_string(i));
    b += "garbage\n";
    ImportAsk ask;
    ask.files = {file("a.log", a), file("b.log.zst", zstdOf(b))};
    ask.to = directory + "/out.trace";
    std::vector<std::string> bad;
    ask.onBad = [&](const BadEntry& e) { bad.push_back(e.file + ":" + std::to_string(e.place.line)); };
    const ImportResult result = importFiles(ask);
    EXPECT_TRUE(result.addsUp());
    EXPECT_EQ(result.entries, 100U);
    ASSERT_EQ(bad.size(), 1U);
    EXPECT_TRUE(bad[0].ends_with("b.log.zst:51")) << bad[0];
    trace::Reader reader(ask.to);
    trace::Entry e;
    std::vector<std::string> paths;
    Micros before = 0;
    while (reader.next(e)) {
        EXPECT_GE(e.at, before);
        before = e.at;
        paths.push_back(e.path);
    }
    ASSERT_EQ(paths.size(), 100U);
    for (int i = 0; i < 100; ++i) EXPECT_EQ(paths[static_cast<std::size_t>(i)], "/x" + std::to_string(i));
    EXPECT_EQ(std::distance(std::filesystem::directory_iterator(directory), {}), 3)
        << "no part is left behind";
}

TEST_F(Import, OverlapOfRotatedFilesIsLeftOutOnceAndOnlyToItsEnd) {
    std::string a, b;
    for (int i = 0; i < 50; ++i) a += lineAt(i, "/x" + std::to_string(i));
    for (int i = 40; i < 80; ++i) b += lineAt(i, "/x" + std::to_string(i));
    ImportAsk ask;
    ask.files = {file("a", a), file("b", b)};
    const ImportResult result = importFiles(ask);
    EXPECT_TRUE(result.addsUp());
    EXPECT_EQ(result.entries, 80U);
    EXPECT_EQ(result.files[1].leftOut[static_cast<std::size_t>(LeftOut::overlap)], 10U);
    // It begins as the end of the file before, and goes on otherwise: nothing of it is overlap.
    ask.files[1] = file("c", lineAt(45, "/x45") + lineAt(46, "/other"));
    EXPECT_EQ(importFiles(ask).entries, 52U);
}

TEST_F(Import, AFileThatGrowsAndIsRotatedIsFollowed) {
    const std::string path = file("log", lineAt(0) + lineAt(1).substr(0, 20));
    ImportAsk ask;
    ask.files = {path};
    ask.follow = true;
    int look = 0;
    ask.goOn = [&] {
        ++look;
        if (look == 1) std::ofstream(path, std::ios::app) << lineAt(1).substr(20);
        if (look == 2) {
            std::ofstream(path, std::ios::app) << lineAt(2);
            std::filesystem::rename(path, path + ".1");
            std::ofstream(path) << lineAt(3);
        }
        return look < 4;
    };
    const ImportResult result = importFiles(ask);
    EXPECT_TRUE(result.addsUp());
    EXPECT_EQ(result.entries, 4U);
    EXPECT_EQ(result.bad(), 0U);
    EXPECT_EQ(result.files[0].rotations, 1U);
}

TEST_F(Import, SecretsDoNotSurviveUnlessAskedFor) {
    ImportAsk ask;
    ask.files = {file("a", lineAt(0, "/a?token=secret"))};
    std::string path;
    ask.onEntry = [&](const trace::Entry& e, const std::string&) { path = e.path; };
    (void)importFiles(ask);
    EXPECT_EQ(path, "/a");
    ask.settings.keepQueries = true;
    (void)importFiles(ask);
    EXPECT_EQ(path, "/a?token=secret");
}

}  // namespace
}  // namespace marldale::sources
