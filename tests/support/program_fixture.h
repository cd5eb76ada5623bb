// The program from outside, between a scripted relay and discovery.
#pragma once

#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <string>

#include "support/process.h"
#include "support/sockets.h"

namespace marldale::tests {

class ProgramFixture : public testing::Test {
protected:
    void SetUp() override {
        std::string pattern = testing::TempDir() + "marldaleprogramXXXXXX";
        ASSERT_NE(mkdtemp(pattern.data()), nullptr);
        directory = pattern;
        config = smallConfigJson();
        config["relay"]["address"] = relay.address().text();
        config["discovery"] = discovery.address().text();
        std::ofstream(directory + "/config.json") << config.dump();
    }
    void TearDown() override { std::filesystem::remove_all(directory); }
    [[nodiscard]] std::string settings(const std::string& text) const {
        const std::string path = directory + "/own.ini";
        std::ofstream(path, std::ios::trunc) << text;
        return path;
    }
    [[nodiscard]] bool awaitLog(const Process& process, const std::string& text) {
        return runUntil(loop, [&] { return process.errors().find(text) != std::string::npos; });
    }

    transport::Loop loop;
    std::string calls;  // all that the relay was asked to do
    Scripted relay{
        loop, [this](Scripted::Client& c) {
            if (c.got == "WATCH\r\n") c.say("OK\r\n*\r\n");
            if (c.got.starts_with("APPLY") && c.got.ends_with("\r\n")) {
                calls += c.got;
                c.say("OK " + std::to_string(1 + std::count(c.got.begin(), c.got.end(), ';')) + "\r\n");
            }
            c.got.clear();
        }};
    Scripted discovery{loop, [](Scripted::Client&) {}};
    std::string directory;
    protocol::Json config;
};

}  // namespace marldale::tests
