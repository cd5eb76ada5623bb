// The program with its gRPC front switched on, from outside.
#include <gtest/gtest.h>

#include "marldale/assignments.h"
#include "support/program_fixture.h"

namespace marldale {
namespace {

using tests::Process;
using tests::runUntil;

class FrontTest : public tests::ProgramFixture {
protected:
    // Where the front listens, as its log says.
    std::string address(const Process& process) {
        const std::string before = "grpc: listening on ";
        std::string out;
        EXPECT_TRUE(runUntil(loop, [&] {
            const std::string log = process.errors();
            const auto at = log.find(before);
            if (at == std::string::npos) return false;
            out = log.substr(at + before.size(), log.find(',', at) - at - before.size());
            return true;
        })) << process.errors();
        return out;
    }
};

TEST_F(FrontTest, ARelayIsServedAndToldWhenTheProgramEnds) {
    Process process(directory + "/config.json", directory,
                    {{"MARLDALE_SETTINGS", settings("[grpc]\nlisten = 127.0.0.1:0\n")}});
    std::atomic<int> batches = 0;
    std::atomic<bool> ended = false;
    std::string why;
    client::AssignmentsHandlers handlers;
    handlers.applied = [&](const v1::Batch&, const auto&) { ++batches; };
    handlers.ended = [&](const ::grpc::Status& status) {
        if (!ended) why = status.error_message();
        ended = true;
    };
    client::AssignmentsOptions options{"relay-1", "test", {"lookup", "write it"}, {}};
    options.redial.on = false;
    client::Assignments assignments(
        ::grpc::CreateChannel(address(process), ::grpc::InsecureChannelCredentials()), options, handlers);
    assignments.open();
    assignments.join({1, "a", 10, true});
    ASSERT_TRUE(runUntil(loop, [&] { return batches > 0; })) << process.errors();
    EXPECT_EQ(assignments.look([](const auto& t) { return t.linesOf(1, "lookup").size(); }), 2U);
    process.signal(SIGTERM);
    ASSERT_TRUE(runUntil(loop, [&] { return ended.load(); }));
    EXPECT_EQ(why, "the planner goes away");
    EXPECT_EQ(process.end(0), 0) << process.errors();
}

TEST_F(FrontTest, AModuleThatIsNotThereOrAnAddressThatIsTakenEndsTheStartWithOneLine) {
    const auto line = [&](const std::string& text, const std::string& expected) {
        std::ofstream(directory + "/stderr", std::ios::trunc) << "";
        Process process(directory + "/config.json", directory, {{"MARLDALE_SETTINGS", settings(text)}});
        EXPECT_EQ(process.end(0), 1);
        EXPECT_NE(process.errors().find(expected), std::string::npos) << process.errors();
    };
    line("[grpc]\nlisten = 127.0.0.1:0\nmodule = /nowhere/marldale_grpc.so\n", "a front can't be loaded: ");
    line("[grpc]\nlisten = " + relay.address().text() + "\n", "gRPC can't listen on ");
    line("[grpc]\nlisten = 10.9.8.7:5443\n", "is not loopback: name certificate, key and clients_ca");
    line("[grpc]\nlisten = 127.0.0.1:0\nkey = k.pem\n", "go together: all three, or none");
    line(
        "[grpc]\nlisten = 127.0.0.1:0\ncertificate = c\nkey = k\nclients_ca = a\n[identity x]\nrelays = "
        "9-3\n",
        "relays: 9-3 is no range of relays, as 7 or 0-49");
}

TEST_F(FrontTest, WithoutTheSectionNothingOfItIsOpenedOrLoaded) {
    Process process(directory + "/config.json", directory,
                    {{"MARLDALE_SETTINGS", settings("[log]\nform = text\n")}});
    ASSERT_TRUE(runUntil(loop, [&] { return process.errors().find("phase: serving") != std::string::npos; }));
    std::ifstream maps("/proc/" + std::to_string(process.id()) + "/maps");
    const std::string mapped{std::istreambuf_iterator<char>(maps), {}};
    EXPECT_NE(mapped.find("marldale"), std::string::npos);
    for (const char* library : {"marldale_grpc", "libgrpc", "libprotobuf", "libssl"}) {
        EXPECT_EQ(mapped.find(library), std::string::npos) << library;
    }
    EXPECT_EQ(process.end(SIGTERM), 0);
}

}  // namespace
}  // namespace marldale
