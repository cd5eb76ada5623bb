// The program with a snapshot of what it knows, from outside: over a restart, with a bad one, and without.
#include <gtest/gtest.h>

#include "recovery/snapshot.h"
#include "support/program_fixture.h"

namespace marldale {
namespace {

using protocol::Json;
using tests::Process;
using tests::runUntil;

class KnowledgeTest : public tests::ProgramFixture {
protected:
    void SetUp() override {
        ProgramFixture::SetUp();
        known = config["known"]["targets"];
        (void)settings("[knowledge]\nsnapshot = " + directory + "/k\nevery_s = 3600\n");
    }
    // A snapshot of a moment ago, by an instance whose list may be newer than the configuration's.
    // Boxes from the first on, as many as `changed`, have that state; the others are ready.
    void write(std::uint64_t version, ServerState state, std::size_t changed) {
        recovery::Snapshot snapshot;
        snapshot.handover.from = "n9";
        for (const auto& target : known) {
            const std::string uid = target["uid"];
            snapshot.handover.sums.push_back(
                {"n9", uid, "a", target["boot_ms"].get<std::int64_t>(), {1, 1}, 1000000, 60, 30, 50000});
            const bool other = snapshot.handover.listed.size() < changed;
            snapshot.handover.listed.push_back(
                {uid, version, other ? state : ServerState::ready, target["boot_ms"].get<std::int64_t>()});
        }
        snapshot.exportedAtUs = std::chrono::duration_cast<std::chrono::microseconds>(
                                    std::chrono::system_clock::now().time_since_epoch())
                                    .count();
        recovery::writeSnapshot(directory + "/k", snapshot);
    }
    Json known;
};

TEST_F(KnowledgeTest, WithoutASnapshotItStartsColdAndKeepsOneAtItsEnd) {
    Process process(directory + "/config.json", directory, {{"MARLDALE_SETTINGS", directory + "/own.ini"}});
    ASSERT_TRUE(awaitLog(process, "phase: serving")) << process.errors();
    EXPECT_TRUE(awaitLog(process, "no snapshot yet, starting cold"));
    EXPECT_EQ(process.end(SIGTERM), 0) << process.errors();
    std::string wrong;
    const auto kept = recovery::readSnapshot(directory + "/k", wrong);
    ASSERT_TRUE(kept) << wrong;
    EXPECT_EQ(kept->handover.listed.size(), known.size());
}

TEST_F(KnowledgeTest, WhatWasKnownIsRecalledAndGoesOnInTheNextSnapshot) {
    write(1, ServerState::ready, 0);
    Process process(directory + "/config.json", directory, {{"MARLDALE_SETTINGS", directory + "/own.ini"}});
    ASSERT_TRUE(awaitLog(process, "phase: serving")) << process.errors();
    EXPECT_TRUE(awaitLog(process, std::to_string(known.size()) + " sums recalled, 0 servers held back"))
        << process.errors();
    EXPECT_EQ(process.end(SIGTERM), 0) << process.errors();
    std::string wrong;
    EXPECT_EQ(recovery::readSnapshot(directory + "/k", wrong)->handover.sums.size(), known.size());
}

TEST_F(KnowledgeTest, ABoxThatANewerListSawDrainingIsWithdrawn) {
    write(1000000, ServerState::draining, 1);
    Process process(directory + "/config.json", directory, {{"MARLDALE_SETTINGS", directory + "/own.ini"}});
    ASSERT_TRUE(awaitLog(process, "1 servers held back")) << process.errors();
    const std::string first = known[0]["uid"], second = known[1]["uid"];
    EXPECT_TRUE(runUntil(loop, [&] { return calls.find("withdraw," + first) != std::string::npos; }));
    EXPECT_EQ(calls.find("withdraw," + second), std::string::npos);
}

TEST_F(KnowledgeTest, NoSnapshotLeavesAPlannerWithoutABox) {
    write(1000000, ServerState::gone, known.size());
    Process process(directory + "/config.json", directory, {{"MARLDALE_SETTINGS", directory + "/own.ini"}});
    ASSERT_TRUE(awaitLog(process, " 0 servers held back")) << process.errors();
}

TEST_F(KnowledgeTest, ASnapshotThatCantBeUsedIsOneLineAndAColdStart) {
    std::ofstream(directory + "/k") << "MRLS and garbage behind it, as a torn disk leaves it";
    Process process(directory + "/config.json", directory, {{"MARLDALE_SETTINGS", directory + "/own.ini"}});
    ASSERT_TRUE(awaitLog(process, "phase: serving")) << process.errors();
    EXPECT_TRUE(awaitLog(process, "/k: truncated or corrupt, starting cold")) << process.errors();
}

TEST_F(KnowledgeTest, AFolderThatIsGoneIsOneLineAndNoEnd) {
    (void)settings("[knowledge]\nsnapshot = " + directory + "/gone/k\nevery_s = 1\n");
    Process process(directory + "/config.json", directory, {{"MARLDALE_SETTINGS", directory + "/own.ini"}});
    ASSERT_TRUE(awaitLog(process, "phase: serving")) << process.errors();
    EXPECT_TRUE(awaitLog(process, "cannot save snapshot: cannot write ")) << process.errors();
    EXPECT_EQ(process.end(SIGTERM), 0) << process.errors();
}

}  // namespace
}  // namespace marldale
