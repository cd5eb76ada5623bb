// The program as its users meet it: started as a process, against scripted parties on loopback.
#include <fcntl.h>
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <random>
#include <sstream>

#include "program/log.h"
#include "protocol/frames.h"
#include "protocol/reports.h"
#include "support/process.h"
#include "support/sockets.h"

namespace marldale {
namespace {

using protocol::Json;
using tests::Dialler;
using tests::Process;
using tests::runUntil;
using tests::Scripted;

class ProgramTest : public testing::Test {
protected:
    void SetUp() override {
        std::string pattern = testing::TempDir() + "marldaleXXXXXX";
        ASSERT_NE(mkdtemp(pattern.data()), nullptr);
        directory = pattern;
        // An address of this test's own: on a shared one, a port that is free now may be taken a moment
        // later.
        const auto pid = static_cast<unsigned>(getpid());
        listen = {"127.77." + std::to_string(pid >> 8U & 0xffU) + '.' + std::to_string(1 + (pid & 0x7fU)),
                  static_cast<std::uint16_t>(5000 + (pid >> 7U & 1U))};
    }
    std::string writeConfig(const Json& config) const {
        const std::string path = directory + "/config.json";
        std::ofstream(path) << config.dump();
        return path;
    }
    [[nodiscard]] Json config(const transport::Address& relay, const transport::Address& discovery) const {
        Json out = tests::smallConfigJson();
        out["listen"] = listen.text();
        out["relay"]["address"] = relay.text();
        out["discovery"] = discovery.text();
        return out;
    }
    // Dials until it is let in and the probe is answered.
    bool alive() {
        for (int i = 0; i < 500; ++i) {
            Dialler dialler(loop, listen);
            (void)runUntil(loop, [&] { return dialler.up || dialler.ended; });
            if (!dialler.up) {
                usleep(10000);
                continue;
            }
            dialler.connection->write(protocol::frame(R"({"type":"probe"})"));
            return runUntil(loop, [&] { return dialler.got == protocol::aliveAnswer() || dialler.ended; }) &&
                   !dialler.ended;
        }
        return false;
    }
    // A relay that takes every order, with one proxy that stands.
    static void takeAll(Scripted::Client& c) {
        if (c.got == "WATCH\r\n") {
            c.got.clear();
            return c.say("OK\r\n* hello 1 a 5 0\r\n*\r\n");
        }
        if (c.got.size() < 2 || !c.got.ends_with("\r\n")) return;
        c.say("OK " + std::to_string(1 + std::count(c.got.begin(), c.got.end(), ';')) + "\r\n");
        c.got.clear();
    }

    transport::Loop loop;
    std::string directory;
    transport::Address listen;
};

TEST_F(ProgramTest, ConfigurationThatIsMissingOrBadEndsItWithOnePlainLine) {
    std::ofstream(directory + "/bad.json") << "{\"name\":";
    for (const std::string& path : {std::string(), directory + "/nowhere.json", directory + "/bad.json"}) {
        Process process(path, directory);
        EXPECT_EQ(process.end(0), 1) << path;
    }
    Json config = tests::smallConfigJson();
    config["relay"]["address"] = "not an address";
    Process process(writeConfig(config), directory);
    EXPECT_EQ(process.end(0), 1);
    const std::string errors = process.errors();
    EXPECT_NE(errors.find("RELAY_CONFIG is not set\n"), std::string::npos) << errors;
    EXPECT_NE(errors.find("relay.address is no address: not an address\n"), std::string::npos) << errors;
}

TEST_F(ProgramTest, TermEndsItCleanlyWhoeverIsMute) {
    Scripted mute(loop);
    Process process(writeConfig(config(mute.address(), mute.address())), directory);
    ASSERT_TRUE(alive());
    EXPECT_EQ(process.end(SIGTERM), 0);
    EXPECT_NE(process.errors().find("phase: ended"), std::string::npos);
}

TEST_F(ProgramTest, AfterAKillItServesWhoStandsFromTheSameAddress) {
    std::string orders;
    Scripted relay(loop, [&](Scripted::Client& c) {
        if (c.got.starts_with("APPLY")) orders += c.got;
        takeAll(c);
    });
    Scripted discovery(loop);
    const std::string path = writeConfig(config(relay.address(), discovery.address()));
    for (int start = 0; start < 2; ++start) {
        orders.clear();
        Process process(path, directory);
        EXPECT_TRUE(runUntil(loop, [&] { return orders.find("bind,1,") != std::string::npos; })) << start;
        EXPECT_LT(orders.find("share,"), orders.find("bind,1,")) << "a table's lines come before its bind";
        ASSERT_TRUE(alive());
        EXPECT_EQ(process.end(SIGKILL), -SIGKILL);
    }
}

// ---- Words and settings ----

TEST_F(ProgramTest, CheckTellsAllThatIsWrongInEveryFileAtOnce) {
    const std::string good = writeConfig(tests::smallConfigJson());
    const std::string settings = directory + "/own.ini", bad = directory + "/bad.json";
    std::ofstream(settings) << "[log]\nform = xml\nlines_mots = 1\n";
    std::ofstream(bad) << R"({"relay":{"address":"here"},"settings":{"membershipMode":"shouted"}})";
    Process process(good, directory, {{"MARLDALE_SETTINGS", settings}}, {"check", bad});
    EXPECT_EQ(process.end(0), 1);
    const std::string told = process.errors();
    for (const char* line :
         {"own.ini:2: form = xml is not allowed: it takes one of text, json\n",
          "own.ini:3: unknown key lines_mots in [log]; the nearest known is lines_most\n",
          "bad.json: the configuration has no name\n", "bad.json: relay.address is no address: here\n",
          "bad.json: setting membershipMode can't be read: shouted\n",
          "bad.json: setting rules.warmUpUs is missing\n", "3 files, "}) {
        EXPECT_NE(told.find(line), std::string::npos) << line << "\n" << told;
    }
    EXPECT_EQ(told.find(good), std::string::npos) << "a file that is right is not named";
}

TEST_F(ProgramTest, CheckEndsWithAStatusForEachOutcome) {
    const std::string good = writeConfig(tests::smallConfigJson());
    EXPECT_EQ(Process(good, directory, {}, {"check"}).end(0), 0);
    EXPECT_EQ(Process("", directory, {}, {"check"}).end(0), 2) << "there was nothing to check";
    EXPECT_EQ(Process("", directory, {}, {"check", "--config", directory + "/nowhere"}).end(0), 1);
    EXPECT_EQ(Process("", directory, {}, {"chekc"}).end(0), 2) << "no such word";
    EXPECT_EQ(Process("", directory, {}, {"--help"}).end(0), 0);
    EXPECT_EQ(Process("", directory, {}, {"version"}).end(0), 0);
    EXPECT_EQ(Process("", directory, {}, {"check", "--keys"}).end(0), 0);
}

TEST_F(ProgramTest, OperatorsPageHasEveryKeyAsItIs) {
    Process process("", directory, {}, {"check", "--keys"});
    ASSERT_EQ(process.end(0), 0);
    std::ifstream in(MARLDALE_SETTINGS_PAGE);
    const std::string page{std::istreambuf_iterator<char>(in), {}};
    const std::string head = "<!-- marldale check --keys -->\n";
    const auto from = page.find(head) + head.size();
    EXPECT_EQ(page.substr(from, page.find("<!-- end -->") - from), process.errors());
}

TEST_F(ProgramTest, SettingsThatAreWrongEndItBeforeItListens) {
    const std::string settings = directory + "/own.ini";
    std::ofstream(settings) << "[log]\nform = xml\nlines_mots = 1\n";
    Process process(writeConfig(tests::smallConfigJson()), directory, {}, {"serve", "--settings", settings});
    EXPECT_EQ(process.end(0), 1);
    EXPECT_NE(process.errors().find("own.ini:2: form = xml is not allowed: it takes one of text, json "
                                    "(and 1 more: marldale check)"),
              std::string::npos)
        << process.errors();
}

TEST_F(ProgramTest, LogTurnsToJsonAtHangUpAndBadSettingsChangeNothing) {
    const std::string settings = directory + "/own.ini";
    std::ofstream(settings) << "[log]\nform = text\n";
    Scripted relay(loop, takeAll), discovery(loop, [](Scripted::Client&) {});
    Process process(writeConfig(config(relay.address(), discovery.address())), directory,
                    {{"MARLDALE_SETTINGS", settings}});
    ASSERT_TRUE(alive());
    std::ofstream(settings) << "[log]\nform = json\n";
    process.signal(SIGHUP);
    const auto written = [&](const char* text) {
        return runUntil(loop, [&] { return process.errors().find(text) != std::string::npos; });
    };
    ASSERT_TRUE(written("\"topic\":\"reload\"")) << process.errors();
    std::ofstream(settings) << "[log]\nform = xml\n";
    process.signal(SIGHUP);
    ASSERT_TRUE(written("the old configuration holds")) << process.errors();
    EXPECT_EQ(process.end(SIGTERM), 0);
    std::istringstream lines(process.errors());
    std::size_t objects = 0;
    for (std::string line; std::getline(lines, line);) {
        const Json object = Json::parse(line, nullptr, false);
        if (!object.is_object()) continue;
        ++objects;
        for (const char* key : {"time", "level", "name", "topic", "text"})
            EXPECT_TRUE(object.contains(key)) << line;
    }
    EXPECT_GE(objects, 3U);
}

// ---- SIGHUP ----

TEST_F(ProgramTest, HangUpMovesToTheAddressesOfTheFile) {
    const auto none = [](Scripted::Client&) {};
    Scripted relay(loop, takeAll), next(loop, takeAll), discovery(loop, none), nextDiscovery(loop, none);
    Process process(writeConfig(config(relay.address(), discovery.address())), directory,
                    {{"RELAY_DISCOVERY", discovery.address().text()}});
    ASSERT_TRUE(alive());
    ASSERT_TRUE(runUntil(loop, [&] { return discovery.came() == 1; }));
    writeConfig(config(next.address(), nextDiscovery.address()));
    for (int i = 0; i < 5; ++i) process.signal(SIGHUP);
    ASSERT_TRUE(runUntil(loop, [&] { return !next.got(0).empty() || next.came() >= 3; }));
    ASSERT_TRUE(runUntil(loop, [&] { return nextDiscovery.came() >= 1; }))
        << "not what the environment named";
    EXPECT_TRUE(alive());
    process.signal(SIGHUP);
    EXPECT_EQ(process.end(SIGTERM), 0) << process.errors();
}

TEST_F(ProgramTest, HangUpWithABadFileKeepsTheOldAddressesUntilTheFileIsWhole) {
    Scripted relay(loop, takeAll), next(loop, takeAll), discovery(loop, [](Scripted::Client&) {});
    const std::string path = writeConfig(config(relay.address(), discovery.address()));
    Process process(path, directory);
    ASSERT_TRUE(alive());
    const std::string whole = config(next.address(), discovery.address()).dump();
    for (const std::string& bad : {whole.substr(0, whole.size() / 2), std::string(), std::string("[]")}) {
        std::ofstream(path) << bad;
        process.signal(SIGHUP);
        ASSERT_TRUE(alive());
    }
    std::filesystem::remove(path);
    process.signal(SIGHUP);
    ASSERT_TRUE(alive());
    EXPECT_EQ(next.came(), 0U);
    std::ofstream(path) << whole;
    EXPECT_TRUE(runUntil(loop, [&] { return next.came() > 0; }))
        << "it is tried again without another signal";
    EXPECT_EQ(process.end(SIGTERM), 0) << process.errors();
    EXPECT_NE(process.errors().find("reload: the old configuration holds"), std::string::npos);
}

// Its default action would end the program; the first instructions of a process can't be covered.
TEST_F(ProgramTest, HangUpRightAfterTheStartAndRightBeforeTheEndIsHarmless) {
    Scripted mute(loop, [](Scripted::Client&) {});
    Process process(writeConfig(config(mute.address(), mute.address())), directory);
    ASSERT_TRUE(runUntil(
        loop, [&] { return process.errors().find("standing") != std::string::npos || mute.came() > 0; }));
    for (int i = 0; i < 20; ++i) process.signal(SIGHUP);
    ASSERT_TRUE(alive());
    process.signal(SIGHUP);
    process.signal(SIGTERM);
    process.signal(SIGHUP);
    EXPECT_EQ(process.end(0), 0) << process.errors();
}

// Whatever comes from any socket, the program goes on and answers.
TEST_F(ProgramTest, GarbageFromEverySideDoesNotEndIt) {
    std::mt19937 random(7);
    const auto garbage = [&random] {
        static const std::array<std::string, 14> pieces = {
            "OK ",
            "OK 1\r\n",
            "\r\n",
            "* hello 1 a 5 0\r\n",
            "* ack 1 99999999999 1\r\n",
            "* hello 70000 a 1 0\r\n",
            "*\r\n",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            "5\r\n{\"rev\r\n",
            "ffffffff\r\n",
            R"({"rev":9,"all":true,"targets":[{"uid":"s-1","state":"gone"}]})",
            "BUSY\r\n",
            "\xff\xfe",
            "-1\r\n"};
        std::string out;
        for (int i = 0; i < 8; ++i) {
            out += pieces[random() % pieces.size()];
            if (random() % 3 == 0) out += std::string(1, static_cast<char>(random()));
        }
        return out;
    };
    const auto script = [&](Scripted::Client& c) {
        c.say(garbage());
        if (random() % 2 == 0) c.hangUp();
    };
    Scripted relay(loop, script), discovery(loop, script);
    Process process(writeConfig(config(relay.address(), discovery.address())), directory);
    ASSERT_TRUE(alive());
    std::vector<std::unique_ptr<Dialler>> strangers;
    for (int i = 0; i < 60; ++i) {
        strangers.push_back(std::make_unique<Dialler>(loop, listen));
        strangers.back()->connection->write(i % 2 == 0 ? garbage() : protocol::frame(garbage()));
    }
    const std::size_t before = relay.came();
    EXPECT_TRUE(runUntil(loop, [&] { return relay.came() > before + 20 && discovery.came() > 5; }));
    EXPECT_TRUE(alive());
    EXPECT_TRUE(process.running()) << process.errors();
    EXPECT_EQ(process.end(SIGTERM), 0) << process.errors();
}

// ---- The log ----

TEST(Logs, EachTopicHasAnAllowanceAndWhatGoesOverItIsCounted) {
    char* text = nullptr;
    std::size_t size = 0;
    std::FILE* file = open_memstream(&text, &size);
    ASSERT_NE(file, nullptr);
    {
        program::Log log(file);
        const program::Log::Time start{std::chrono::seconds{100}};
        for (int i = 0; i < 50; ++i) log.line("loud", "again", start);
        log.line("calm", "with\ncontrol \x01 characters", start);
        log.line("loud", "later", start + std::chrono::seconds{11});
        log.flush();
    }
    const std::string written(text, size);
    std::fclose(file);
    std::free(text);
    std::size_t again = 0;
    for (auto at = written.find("loud: again"); at != std::string::npos;
         at = written.find("loud: again", at + 1))
        ++again;
    EXPECT_EQ(again, 10U);
    EXPECT_NE(written.find("loud: 40 lines left out"), std::string::npos);
    EXPECT_NE(written.find("calm: with?control ? characters\n"), std::string::npos);
    EXPECT_NE(written.find("loud: later"), std::string::npos);
}

TEST(Logs, JsonLinesCountWhatWasLeftOutUnderAKeyOfItsOwn) {
    char* text = nullptr;
    std::size_t size = 0;
    std::FILE* file = open_memstream(&text, &size);
    ASSERT_NE(file, nullptr);
    {
        program::Log log(file, {program::LogForm::json, 2, std::chrono::seconds{1}});
        log.setName("n7");
        const program::Log::Time start{std::chrono::seconds{100}};
        for (int i = 0; i < 5; ++i) log.line("loud", "say \"again\"", start);
        log.line("loud", "later", start + std::chrono::seconds{1});
    }
    std::istringstream lines(std::string(text, size));
    std::fclose(file);
    std::free(text);
    std::vector<Json> objects;
    for (std::string line; std::getline(lines, line);) objects.push_back(Json::parse(line));
    ASSERT_EQ(objects.size(), 4U);
    EXPECT_EQ(objects[0]["text"], "say \"again\"");
    EXPECT_EQ(objects[0]["name"], "n7");
    EXPECT_EQ(objects[2]["left_out"], 3);
    EXPECT_EQ(objects[3]["text"], "later");
}

}  // namespace
}  // namespace marldale
