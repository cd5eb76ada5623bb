// marldale proxy as its users meet it: a process with a settings file, clients and boxes on loopback.
#include <gtest/gtest.h>
#include <sys/resource.h>

#include <filesystem>
#include <fstream>

#include "scripted.h"
#include "support/process.h"
#include "transport/address.h"

namespace marldale::proxy {
namespace {

using marldale::tests::Process;
using tests::ok;
using tests::says;
using tests::ScriptedBox;
using tests::Wire;

class ProxyProgram : public testing::Test {
protected:
    void SetUp() override {
        std::string pattern = testing::TempDir() + "marldaleproxyprogramXXXXXX";
        ASSERT_NE(mkdtemp(pattern.data()), nullptr);
        directory_ = pattern;
    }
    ~ProxyProgram() override {
        process_.reset();
        std::filesystem::remove_all(directory_);
    }
    // Its planner's relay address is the log's to tell; here a port that was free a moment ago is named.
    void start(const std::string& box, const std::string& more = "", rlim_t descriptors = 0) {
        relayPort_ = freePort();
        std::ofstream(directory_ + "/proxy.ini", std::ios::trunc)
            << "[proxy]\nlisten = 127.0.0.1:0\nzone = a\nrelay = 3\nnode = gate\n"
            << "[platform p]\nrelay_listen = 127.0.0.1:" << relayPort_ << "\nplanner = 127.0.0.1:1\n"
            << "[box b1]\naddress = " << box << "\n[boxes]\nidle_s = 0.2\n[class rest]\npath = /\n"
            << more;
        rlimit before{};
        getrlimit(RLIMIT_NOFILE, &before);
        rlimit here = before;
        if (descriptors != 0) here.rlim_cur = descriptors;
        setrlimit(RLIMIT_NOFILE, &here);
        process_ = std::make_unique<Process>(
            "", directory_, std::map<std::string, std::string>{},
            std::vector<std::string>{"proxy", "--settings", directory_ + "/proxy.ini"});
        setrlimit(RLIMIT_NOFILE, &before);
        port_ = 0;
        for (int i = 0; i < tests::kPatienceMs && port_ == 0 && process_->running(); ++i) {
            usleep(1000);
            port_ = portIn(process_->errors());
        }
        ASSERT_NE(port_, 0) << process_->errors();
    }
    static std::uint16_t portIn(const std::string& log) {
        const std::string before = "serving on 127.0.0.1:";
        const auto at = log.rfind(before);
        const auto end = log.find('\n', at);
        if (at == std::string::npos || end == std::string::npos) return 0;
        return static_cast<std::uint16_t>(std::stoi(log.substr(at + before.size())));
    }
    static std::uint16_t freePort() {
        ScriptedBox any([](Wire&, int) {});
        return transport::parseAddress(any.address())->port;
    }
    // As its planner: the proxy joins, and has one table.
    void order() {
        news_ = std::make_unique<Wire>(Wire::to(relayPort_));
        news_->say("WATCH\r\n");
        ASSERT_NE(news_->until("* hello 3 a").find("hello"), std::string::npos);
        Wire calls = Wire::to(relayPort_);
        calls.say("APPLY share,1,b1,1;bind,3,1,*\r\n");
        ASSERT_EQ(calls.until("\r\n"), "OK 2\r\n");
    }
    std::string ask() {
        Wire wire = Wire::to(port_);
        wire.say("GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        return wire.rest();
    }
    bool logs(const std::string& text) {
        for (int i = 0; i < tests::kPatienceMs; ++i) {
            if (process_->errors().find(text) != std::string::npos) return true;
            usleep(1000);
        }
        return false;
    }
    [[nodiscard]] std::size_t residentKb() const {
        std::ifstream in("/proc/" + std::to_string(process_->id()) + "/status");
        for (std::string word; in >> word;) {
            std::size_t kb = 0;
            if (word == "VmRSS:" && in >> kb) return kb;
        }
        return 0;
    }
    std::string directory_;
    std::unique_ptr<Process> process_;
    std::unique_ptr<Wire> news_;
    std::uint16_t port_ = 0, relayPort_ = 0;
};

TEST_F(ProxyProgram, ItEndsInOrderAndTellsItsPlannerAndItsFigures) {
    ScriptedBox box(says("here"));
    start(box.address());
    EXPECT_TRUE(ask().starts_with("HTTP/1.1 503"));
    order();
    EXPECT_TRUE(ask().ends_with("here"));
    process_->signal(SIGHUP);
    EXPECT_TRUE(logs("figures: 2 requests, 1 tries"));
    process_->signal(SIGTERM);
    EXPECT_NE(news_->until("* bye 3\r\n").find("* bye 3"), std::string::npos);
    EXPECT_EQ(process_->end(0), 0);
    EXPECT_NE(process_->errors().find("phase: ended"), std::string::npos);
}

TEST_F(ProxyProgram, TenThousandIdleClientsCostLittleAndOneThatAsksIsServed) {
    ScriptedBox box(says("here"));
    start(box.address(), "", 10240);
    order();
    std::vector<Wire> idle;
    idle.reserve(10000);
    const std::size_t before = residentKb();
    for (int i = 0; i < 10000; ++i) idle.push_back(Wire::to(port_));
    idle.back().say("GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    EXPECT_TRUE(idle.back().rest().ends_with("here"));
#ifndef __SANITIZE_ADDRESS__  // its own shadow is no client's
    const std::size_t each = (residentKb() - before) * 1024 / idle.size();
    EXPECT_LT(each, 16384U) << "bytes for each idle client";
#else
    EXPECT_GT(residentKb(), before);
#endif
    Wire tooMany = Wire::to(port_);
    tooMany.say("GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    EXPECT_TRUE(tooMany.rest().ends_with("here")) << "one had left";
}

TEST_F(ProxyProgram, OutOfDescriptorsItWaitsAndServesAgain) {
#ifdef __SANITIZE_ADDRESS__
    // UBSan looks at an object through a pipe; without a descriptor for one it takes every object for a wrong
    // one.
    GTEST_SKIP() << "the sanitizer needs descriptors of its own";
#endif
    ScriptedBox box(says("here"));
    start(box.address(), "", 64);
    order();
    {
        std::vector<Wire> many;
        for (int i = 0; i < 200; ++i) many.push_back(Wire::to(port_));
        // Those that were let in are served, be it by a refusal: nobody hangs.
        many[0].say("GET /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        EXPECT_TRUE(many[0].rest().starts_with("HTTP/1.1 "));
    }
    std::string answer;
    for (int i = 0; i < 200 && !answer.ends_with("here"); ++i) {
        answer = ask();
        usleep(10000);
    }
    EXPECT_TRUE(answer.ends_with("here"));
    EXPECT_TRUE(process_->running());
}

TEST_F(ProxyProgram, KilledItStartsWithItsTablesAndWithoutAPlanner) {
    ScriptedBox box(says("here"));
    const std::string tables = directory_ + "/tables";
    const std::string keeps = "[tables]\nfile = " + tables + "\nevery_s = 0.05\nmost_s = 600\n";
    start(box.address(), keeps);
    order();
    for (int i = 0; i < tests::kPatienceMs && !std::filesystem::exists(tables); ++i) usleep(1000);
    ASSERT_TRUE(std::filesystem::exists(tables));
    EXPECT_EQ(process_->end(SIGKILL), -SIGKILL);
    std::filesystem::remove(directory_ + "/stderr");
    start(box.address(), keeps);
    EXPECT_TRUE(ask().ends_with("here")) << process_->errors();
    EXPECT_NE(process_->errors().find("recalled from"), std::string::npos);
    EXPECT_EQ(process_->end(SIGTERM), 0);
    // Spoilt, they are not used, and that is said.
    std::ofstream(tables, std::ios::trunc) << "marldale-tables 1 nonsense";
    std::filesystem::remove(directory_ + "/stderr");
    start(box.address(), keeps);
    EXPECT_TRUE(ask().starts_with("HTTP/1.1 503"));
    EXPECT_NE(process_->errors().find("is not used"), std::string::npos);
}

TEST_F(ProxyProgram, WhatIsWrongInItsSettingsIsToldAtOnce) {
    const std::string file = directory_ + "/proxy.ini";
    std::ofstream(file) << "[proxy]\nlisten = here\nzone = a\n[platform p]\nplanner = 127.0.0.1:1\n"
                        << "[planners]\naddresses = 127.0.0.1:2\n[tls]\nkey = " << file
                        << "\n[class rest]\npath = x\nupgarde = websocket\n";
    Process check("", directory_, {}, {"--settings", file, "--check"});
    EXPECT_EQ(check.end(0), 2);
    const std::string told = check.errors();
    for (const char* part : {":2:", "exclude each other", "needs relay_listen and planner",
                             "[tls] certificate and key go together", "a path begins with /", "upgrade",
                             "neither [proxy] discovery nor a [box UID]"})
        EXPECT_NE(told.find(part), std::string::npos) << part << "\n" << told;
}

}  // namespace
}  // namespace marldale::proxy
