// Two planners as processes: one starts and asks the other what is known.
#include <gtest/gtest.h>

#include "recovery/snapshot.h"
#include "support/program_fixture.h"

namespace marldale {
namespace {

using tests::Process;
using tests::runUntil;

class SharingTest : public tests::ProgramFixture {
protected:
    // One with settings and a log of its own.
    struct Planner {
        Planner(const SharingTest& test, const std::string& name, const std::string& text) {
            directory = test.directory + "/" + name;
            std::filesystem::create_directory(directory);
            std::ofstream(directory + "/own.ini") << text;
            process = std::make_unique<Process>(
                test.directory + "/config.json", directory,
                std::map<std::string, std::string>{{"MARLDALE_SETTINGS", directory + "/own.ini"},
                                                   {"RELAY_NAME", name},
                                                   {"RELAY_LISTEN", "127.0.0.1:0"}});
        }
        std::string directory;
        std::unique_ptr<Process> process;
    };
    // Where its front listens, as its log says.
    std::string address(const Planner& planner) {
        const std::string before = "grpc: listening on ";
        std::string out;
        EXPECT_TRUE(runUntil(loop, [&] {
            const std::string log = planner.process->errors();
            const auto at = log.find(before);
            if (at == std::string::npos) return false;
            out = log.substr(at + before.size(), log.find(',', at) - at - before.size());
            return true;
        })) << planner.process->errors();
        return out;
    }
    // What an earlier life of a planner knew: all of the first box's tries failed.
    void writeSnapshot(const std::string& path) {
        recovery::Snapshot snapshot;
        snapshot.handover.from = "n1";
        bool first = true;
        for (const auto& target : config["known"]["targets"]) {
            const std::uint32_t failed = std::exchange(first, false) ? 60 : 0;
            snapshot.handover.sums.push_back({"n1",
                                              target["uid"],
                                              "a",
                                              target["boot_ms"].get<std::int64_t>(),
                                              {1, 1},
                                              0,
                                              60,
                                              failed,
                                              failed == 0 ? 50000 : 0});
        }
        snapshot.exportedAtUs = std::chrono::duration_cast<std::chrono::microseconds>(
                                    std::chrono::system_clock::now().time_since_epoch())
                                    .count();
        recovery::writeSnapshot(path, snapshot);
    }
    const std::string share = "[grpc]\nlisten = 127.0.0.1:0\n[knowledge]\nshare = yes\n";
};

TEST_F(SharingTest, OneThatStartsIsToldWhatTheOtherKnowsAndTheyKnowOfEachOther) {
    writeSnapshot(directory + "/k");
    const std::string boxes = std::to_string(config["known"]["targets"].size());
    Planner donor(*this, "n1", share + "snapshot = " + directory + "/k\n");
    ASSERT_TRUE(awaitLog(*donor.process, boxes + " sums recalled")) << donor.process->errors();
    Planner asker(*this, "n2", share + "[peer n1]\naddress = " + address(donor) + "\n");
    ASSERT_TRUE(awaitLog(*asker.process, "knowledge: peer n1 answered within ")) << asker.process->errors();
    EXPECT_TRUE(awaitLog(*asker.process, boxes + " sums recalled, 0 servers held back"))
        << asker.process->errors();
    EXPECT_TRUE(awaitLog(*asker.process, "knowledge: peer n1 joined")) << asker.process->errors();
    EXPECT_TRUE(awaitLog(*donor.process, "knowledge: peer n2 joined")) << donor.process->errors();
    EXPECT_EQ(asker.process->end(SIGTERM), 0) << asker.process->errors();
    EXPECT_TRUE(awaitLog(*donor.process, "knowledge: peer n2 left")) << donor.process->errors();
    EXPECT_EQ(donor.process->end(SIGTERM), 0) << donor.process->errors();
}

TEST_F(SharingTest, AStartWaitsForNobody) {
    Planner asker(*this, "n2", share + "[peer n1]\naddress = 127.0.0.1:1\n");
    ASSERT_TRUE(awaitLog(*asker.process, "phase: serving")) << asker.process->errors();
    EXPECT_TRUE(awaitLog(*asker.process, "knowledge: peer n1 sent no handover: the stream has ended"))
        << asker.process->errors();
    EXPECT_EQ(asker.process->end(SIGTERM), 0) << asker.process->errors();
}

TEST_F(SharingTest, TwoOfOneNameAreTold) {
    Planner one(*this, "n1", share);
    Planner two(*this, "n2", share + "[peer n1]\naddress = " + address(one) + "\n");
    ASSERT_TRUE(awaitLog(*one.process, "peer n2 joined")) << one.process->errors();
    std::filesystem::create_directory(directory + "/again");
    // A second n2 elsewhere.
    std::ofstream(directory + "/again/own.ini") << share + "[peer n1]\naddress = " + address(one) + "\n";
    Process again(directory + "/config.json", directory + "/again",
                  {{"MARLDALE_SETTINGS", directory + "/again/own.ini"},
                   {"RELAY_NAME", "n2"},
                   {"RELAY_LISTEN", "127.0.0.1:0"}});
    EXPECT_TRUE(awaitLog(*one.process, "two instances are named n2")) << one.process->errors();
}

TEST_F(SharingTest, SettingsThatCantWorkTogetherAreTold) {
    Planner planner(*this, "n1", "[knowledge]\nshare = yes\n");
    EXPECT_EQ(planner.process->end(0), 1);
    EXPECT_NE(planner.process->errors().find("needs [grpc] listen"), std::string::npos);
    Planner other(*this, "n3", "[peer n1]\naddress = 127.0.0.1:5\n");
    EXPECT_EQ(other.process->end(0), 1);
    EXPECT_NE(other.process->errors().find("[knowledge] share is not yes"), std::string::npos);
}

}  // namespace
}  // namespace marldale
