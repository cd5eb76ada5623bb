// Hooks in the running daemon: loaded, replaced, harmful, broken, and through a worker that dies.
#include <gtest/gtest.h>
#include <sys/stat.h>

#include <filesystem>
#include <set>
#include <sstream>
#include <thread>

#include "hostile.h"
#include "protocol/frames.h"
#include "support/program_fixture.h"

namespace marldale {
namespace {

using tests::Process;
using tests::runUntil;

constexpr const char* kCalm = "function on_tick(v) return {} end\n";
constexpr const char* kHalf =
    "function on_tick(v) return {levels = {{zone = 'a', class = 'lookup', share = 0.25}}} end\n";

class HookProgram : public tests::ProgramFixture {
protected:
    void write(const std::string& name, const std::string& text) const {
        std::ofstream(directory + "/" + name + ".new", std::ios::binary | std::ios::trunc) << text;
        std::filesystem::rename(directory + "/" + name + ".new", directory + "/" + name);
    }
    [[nodiscard]] std::string hook(const std::string& name) const {
        return "[hook " + name + "]\nfile = " + directory + "/" + name + ".lua\n";
    }
    [[nodiscard]] std::string control() const { return directory + "/control"; }
    void start(const std::string& text) {
        std::filesystem::remove(directory + "/stderr");
        process = std::make_unique<Process>(
            directory + "/config.json", directory,
            std::map<std::string, std::string>{
                {"MARLDALE_SETTINGS", settings("[log]\nlines_most = 1000\n" + text)}});
    }
    bool logs(const std::string& text) { return awaitLog(*process, text); }
    // One word to the control socket, by the program.
    std::string say(std::vector<std::string> words) {
        const std::string other = directory + "/said";
        std::filesystem::create_directories(other);
        std::filesystem::remove(other + "/stderr");
        words.insert(words.begin(), "hook");
        words.insert(words.end(), {"--control", control()});
        Process client("", other, {}, words);
        EXPECT_TRUE(runUntil(loop, [&] { return !client.running(); }));
        return client.errors();
    }
    [[nodiscard]] pid_t worker() const {
        for (const auto& entry : std::filesystem::directory_iterator("/proc")) {
            std::ifstream in(entry.path() / "stat");
            std::string pid, name, state, parent;
            if (in >> pid >> name >> state >> parent && name == "(marldale_hook)" &&
                parent == std::to_string(process->id()))
                return std::stoi(pid);
        }
        return 0;
    }
    std::unique_ptr<Process> process;
};

TEST_F(HookProgram, AHookIsAtWorkReplacedAndWithdrawnWithoutARestart) {
    write("h.lua", kCalm);
    start(hook("h") + "[hooks]\ntick_ms = 100\ncontrol = " + control() + "\n");
    ASSERT_TRUE(logs("h: version 1")) << process->errors();
    ASSERT_TRUE(logs("is at work")) << process->errors();
    struct stat socket {};
    ASSERT_EQ(::stat(control().c_str(), &socket), 0);
    EXPECT_EQ(socket.st_mode & 0777U, 0600U) << "for its owner alone";
    EXPECT_NE(say({"list"}).find("h: at work, version 1"), std::string::npos);
    write("h.lua", kHalf);
    process->signal(SIGHUP);
    ASSERT_TRUE(logs("h: version 2")) << process->errors();
    // One that does not compile changes nothing.
    write("h.lua", "function on_tick(v");
    EXPECT_EQ(say({"load", "h", directory + "/h.lua"}), "ok\n") << "it goes on trial";
    ASSERT_TRUE(logs("h: version 3 failed its trial"));
    EXPECT_NE(say({"list"}).find("h: at work, version 2"), std::string::npos);
    EXPECT_EQ(say({"rollback", "h"}), "ok\n");
    EXPECT_NE(say({"list"}).find("h: at work, version 1"), std::string::npos);
    EXPECT_EQ(say({"disable", "h"}), "ok\n");
    EXPECT_NE(say({"list"}).find("h: off"), std::string::npos);
    EXPECT_EQ(say({"enable", "h"}), "ok\n");
    EXPECT_NE(say({"disable", "nobody"}).find("there is no hook nobody"), std::string::npos);
    EXPECT_NE(say({"load", "x", directory + "/none.lua"}).find("No such file"), std::string::npos);
    EXPECT_EQ(process->end(SIGTERM), 0) << process->errors();
    EXPECT_FALSE(std::filesystem::exists(control()));
}

TEST_F(HookProgram, AHookLowersALevelInTheTablesThatGoOut) {
    config["settings"]["extra"]["admission"] = "share";
    std::ofstream(directory + "/config.json") << config.dump();
    write("h.lua", kHalf);
    // A relay with one proxy of zone a, which answers every mark.
    std::vector<tests::Scripted::Client*> watching;
    std::string applied;
    tests::Scripted platform(loop, [&](tests::Scripted::Client& c) {
        if (c.got == "WATCH\r\n") {
            c.say("OK\r\n* hello 0 a 10 1\r\n*\r\n");
            watching.push_back(&c);
        }
        if (c.got.starts_with("APPLY") && c.got.ends_with("\r\n")) {
            applied += c.got;
            c.say("OK " + std::to_string(1 + std::count(c.got.begin(), c.got.end(), ';')) + "\r\n");
            const auto mark = c.got.rfind("mark,");
            if (mark != std::string::npos) {
                const std::string number = c.got.substr(mark + 5, c.got.find(',', mark + 5) - mark - 5);
                for (auto* w : watching) w->say("* ack 0 " + number + " 1.0\r\n");
            }
        }
        c.got.clear();
    });
    config["relay"]["address"] = platform.address().text();
    std::ofstream(directory + "/config.json") << config.dump();
    start(hook("h") + "[hooks]\ntick_ms = 100\n");
    ASSERT_TRUE(runUntil(loop,
                         [&] {
                             return applied.find("admit,") != std::string::npos &&
                                    applied.find(",0.25,") != std::string::npos;
                         }))
        << applied << process->errors();
    EXPECT_EQ(process->end(SIGTERM), 0);
}

TEST_F(HookProgram, ABrokenHookAtTheStartAndAWorkerThatCantBeHadKeepNobodyFromServing) {
    write("h.lua", "this is no Lua");
    write("g.lua", kCalm);
    start(hook("h") + hook("g"));
    ASSERT_TRUE(logs("h: version 1 failed its trial")) << process->errors();
    ASSERT_TRUE(logs("g: version 2")) << process->errors();
    EXPECT_TRUE(logs("phase: serving"));
    EXPECT_EQ(process->end(SIGTERM), 0);
    start(hook("g") + "[hooks]\nprogram = /nowhere/marldale_hook\n");
    ASSERT_TRUE(logs("no worker can be started")) << process->errors();
    EXPECT_TRUE(logs("phase: serving"));
    EXPECT_EQ(process->end(SIGTERM), 0);
    start(hook("none"));
    ASSERT_TRUE(logs("none: not loaded")) << process->errors();
    EXPECT_EQ(process->end(SIGTERM), 0);
}

TEST_F(HookProgram, AWorkerThatIsKilledIsFollowedByAnotherWithTheSameHooks) {
    write("h.lua", kCalm);
    start(hook("h") + "[hooks]\ntick_ms = 100\n");
    ASSERT_TRUE(logs("is at work"));
    for (int i = 0; i < 3; ++i) {
        ASSERT_TRUE(runUntil(loop, [&] { return worker() != 0; }));
        const pid_t before = worker();
        ::kill(before, SIGKILL);
        ASSERT_TRUE(runUntil(loop, [&] {
            const pid_t now = worker();
            return now != 0 && now != before;
        })) << process->errors();
    }
    EXPECT_TRUE(logs("the worker is gone"));
    const pid_t last = worker();
    EXPECT_EQ(process->end(SIGKILL), -SIGKILL);
    // Whatever becomes of the planner, its worker does not stay.
    EXPECT_TRUE(runUntil(loop, [&] { return ::kill(last, 0) != 0; }));
}

TEST_F(HookProgram, EachHostileHookIsNamedAndTakenOffAndTheOthersGoOn) {
    std::string text = "[hooks]\ntick_ms = 100\ncontrol = " + control() + "\n" + hook("calm");
    write("calm.lua", kCalm);
    std::set<std::string> harmful;
    for (const auto& hostile : plugins::tests::hostileHooks()) {
        write(hostile.name + ".lua", hostile.text);
        text += hook(hostile.name);
        // Rows do not come here, so one that acts on rows is never called.
        if (hostile.ends && hostile.name != "endless-rows") harmful.insert(hostile.name);
    }
    start(text);
    ASSERT_TRUE(logs("calm: version")) << process->errors();
    for (const std::string& name : harmful) {
        EXPECT_TRUE(runUntil(loop,
                             [&] {
                                 const std::string log = process->errors();
                                 return log.find(name + ": disabled") != std::string::npos ||
                                        log.find(name + ": version") != std::string::npos;
                             }))
            << name << "\n"
            << process->errors();
    }
    const auto unwanted = [&] {
        std::string out;
        std::istringstream lines(say({"list"}));
        for (std::string line; std::getline(lines, line);) {
            const std::string name = line.substr(0, line.find(':'));
            if (harmful.count(name) != 0 && line.find(": at work") != std::string::npos) out += line + "\n";
        }
        return out;
    };
    std::string left = unwanted();
    for (int i = 0; i < 200 && !left.empty(); ++i) {
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        left = unwanted();
    }
    EXPECT_EQ(left, "");
    EXPECT_NE(say({"list"}).find("calm: at work"), std::string::npos);
    EXPECT_EQ(process->end(SIGTERM), 0) << process->errors();
}

TEST_F(HookProgram, AFileThatIsHalfWrittenOrASymlinkThatIsSwappedIsTakenAsAWholeOrNot) {
    write("one", kCalm);
    write("two", kHalf);
    std::filesystem::create_symlink(directory + "/one", directory + "/h.lua");
    start(hook("h") + "[hooks]\ncontrol = " + control() + "\n");
    ASSERT_TRUE(logs("is at work")) << process->errors();
    std::filesystem::create_symlink(directory + "/two", directory + "/next");
    std::filesystem::rename(directory + "/next", directory + "/h.lua");
    process->signal(SIGHUP);
    ASSERT_TRUE(logs("h: version 2")) << process->errors();
    std::ofstream(directory + "/two", std::ios::trunc) << std::string(kHalf).substr(0, 40);
    EXPECT_EQ(say({"load", "h", directory + "/h.lua"}), "ok\n");
    ASSERT_TRUE(logs("h: version 3 failed its trial"));
    EXPECT_NE(say({"list"}).find("h: at work, version 2"), std::string::npos);
    EXPECT_EQ(process->end(SIGTERM), 0);
}

}  // namespace
}  // namespace marldale
