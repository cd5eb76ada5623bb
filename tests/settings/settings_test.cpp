// Settings files: what is read, what is refused, and how that is told.
#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>
#include <filesystem>
#include <fstream>

#include "settings/schema.h"

namespace marldale::settings {
namespace {

struct Read {
    std::vector<Entry> entries;
    std::vector<Problem> problems;
};
Read read(const std::string& text) {
    Read out;
    out.entries = readIni("f.ini", text, out.problems);
    return out;
}

TEST(Ini, EntriesComeWithTheirLines) {
    const Read r =
        read("\xef\xbb\xbf; a comment\r\n[one]\r\nkey = a value ; why\n\n# more\n[two words]\nother: x=y");
    ASSERT_EQ(r.problems.size(), 0U);
    ASSERT_EQ(r.entries.size(), 4U);
    EXPECT_EQ(r.entries[0].section, "one");
    EXPECT_EQ(r.entries[0].line, 2);
    EXPECT_EQ(r.entries[1].key, "key");
    EXPECT_EQ(r.entries[1].value, "a value");
    EXPECT_EQ(r.entries[1].line, 3);
    EXPECT_EQ(r.entries[3].section, "two words");
    EXPECT_EQ(r.entries[3].value, "x=y");
    EXPECT_EQ(r.entries[3].line, 7);
}

TEST(Ini, EveryLineThatCantBeReadIsToldAndTheRestIsRead) {
    const std::string longLine = "long = " + std::string(kLineMost, 'x') + "\n";
    const Read r = read("[a]\nlost\n" + longLine + std::string("z\0ro = 1\n", 9) + "[open\nkey = 1\n");
    ASSERT_EQ(r.problems.size(), 4U);
    const int lines[] = {2, 3, 4, 5};
    for (std::size_t i = 0; i < 4; ++i) EXPECT_EQ(r.problems[i].line, lines[i]) << r.problems[i].shown();
    ASSERT_EQ(r.entries.size(), 2U);
    EXPECT_EQ(r.entries[1].section, "a");
    EXPECT_EQ(r.entries[1].key, "key");
}

TEST(Ini, TheLongestLineIsReadWhole) {
    const std::string value(kLineMost - 5, 'v');
    const Read r = read("k = " + value + "\n");
    ASSERT_EQ(r.problems.size(), 0U);
    ASSERT_EQ(r.entries.size(), 1U);
    EXPECT_EQ(r.entries[0].value, value);
}

TEST(Ini, AFileThatIsTooLargeMissingOrAFolderIsAProblem) {
    EXPECT_EQ(read(std::string(kFileMost + 1, '\n')).problems.size(), 1U);
    std::vector<Problem> problems;
    std::string text;
    EXPECT_FALSE(readFile("/nowhere/at/all.ini", text, problems));
    EXPECT_FALSE(readFile(std::filesystem::temp_directory_path().string(), text, problems));
    EXPECT_EQ(problems.size(), 2U);
}

// Whatever the bytes: no line is lost without a word. Each is an entry, a problem, a heading or a comment.
RC_GTEST_PROP(Ini, EveryLineIsAccountedFor, (const std::vector<std::string>& words)) {
    static const char* const kPieces[] = {"[", "]",  "=",  ":",   ";",    "#",
                                          " ", "\t", "\r", "key", "\xff", "\x01"};
    std::string text;
    std::size_t wanted = 0;
    for (const std::string& word : words) {
        std::string line;
        for (const char c : word) line += kPieces[static_cast<unsigned char>(c) % 12];
        text += line + "\n";
        const auto from = line.find_first_not_of(" \t\r");
        if (from != std::string::npos && line[from] != ';' && line[from] != '#') ++wanted;
    }
    const Read r = read(text);
    std::set<int> told;
    for (const Entry& e : r.entries) told.insert(e.line);
    for (const Problem& p : r.problems) told.insert(p.line);
    RC_ASSERT(told.size() == wanted);
}

class SchemaTest : public testing::Test {
protected:
    SchemaTest() {
        const auto keep = [this](const char* key) {
            return [this, key](const std::string& name, const Value& v) { got[name + key] = v; };
        };
        schema.key("door", "width_ms", Type::whole).range("ms", 1, 100).takenLive().to(keep("width_ms"));
        schema.key("door", "share", Type::number).range("", 0, 1).to(keep("share"));
        schema.key("door", "open", Type::flag).to(keep("open"));
        schema.key("door", "at", Type::address).to(keep("at"));
        schema.key("guest *", "zones", Type::list).to(keep("zones"));
        schema.key("guest *", "kind", Type::choice).oneOf({"box", "relay"}).to(keep("kind"));
    }
    std::vector<std::string> take(const std::string& text) {
        std::vector<Problem> problems;
        schema.take("f.ini", readIni("f.ini", text, problems), problems);
        std::vector<std::string> out;
        for (const Problem& p : problems) out.push_back(p.shown());
        return out;
    }
    Schema schema;
    std::map<std::string, Value> got;
};

TEST_F(SchemaTest, RightValuesAreHandedOnWithTheSectionsName) {
    EXPECT_EQ(take("[door]\nwidth_ms = 100\nshare=0.5\nopen = yes\nat = 127.0.0.1:80\n"
                   "[guest first one]\nzones = a , b\n[guest 2]\nkind = relay\n"),
              std::vector<std::string>{});
    EXPECT_EQ(got["width_ms"].whole(), 100);
    EXPECT_EQ(got["share"].number, 0.5);
    EXPECT_TRUE(got["open"].flag);
    EXPECT_EQ(got["first onezones"].items, (std::vector<std::string>{"a", "b"}));
    EXPECT_EQ(got["2kind"].text, "relay");
}

TEST_F(SchemaTest, WhatIsWrongIsToldWithWhatIsAllowed) {
    const auto wrong = take(
        "[door]\nwidth_ms = 0\nwidth_ms = 5\nshare = nan\nopen = perhaps\nat = here\nwidht_ms = 3\n"
        "[guest 1]\nkind = cat\nzones = a,,b\n[dor]\nx = 1\n[guest]\nkind = box\n");
    const std::vector<std::string> expected = {
        "f.ini:2: width_ms = 0 is not allowed: it takes a whole number from 1 to 100 ms",
        "f.ini:3: width_ms stands already in line 2",
        "f.ini:4: share = nan is not allowed: it takes a number from 0 to 1",
        "f.ini:5: open = perhaps is not allowed: it takes true or false",
        "f.ini:6: at = here is not allowed: it takes an IPv4 address with a port, as 127.0.0.1:5443",
        "f.ini:7: unknown key widht_ms in [door]; the nearest known is width_ms",
        "f.ini:9: kind = cat is not allowed: it takes one of box, relay",
        "f.ini:10: zones = a,,b is not allowed: it takes up to 64 items, with commas between",
        "f.ini:11: unknown section [dor]; the nearest known is door",
        "f.ini:13: unknown section [guest]; the nearest known is guest"};
    EXPECT_EQ(wrong, expected);
    EXPECT_TRUE(got.empty()) << "what is wrong is not handed on";
}

TEST_F(SchemaTest, KnowsWhatIsTakenWhileItRuns) {
    EXPECT_TRUE(schema.isLive("[door] width_ms"));
    EXPECT_FALSE(schema.isLive("[door] share"));
    EXPECT_FALSE(schema.isLive("door share"));
}

// A number is taken if and only if it lies in the range.
RC_GTEST_PROP(SchemaValue, ANumberIsTakenIfItLiesInItsRange,
              (std::int32_t number, std::int16_t a, std::int16_t b)) {
    Key key;
    key.name = "n";
    key.type = Type::whole;
    key.range("ms", std::min(a, b), std::max(a, b));
    Value value;
    const bool taken = readValue(key, std::to_string(number), value).empty();
    RC_ASSERT(taken == (number >= std::min(a, b) && number <= std::max(a, b)));
    if (taken) RC_ASSERT(value.whole() == number);
}

}  // namespace
}  // namespace marldale::settings
