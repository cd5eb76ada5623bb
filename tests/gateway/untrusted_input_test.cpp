// What callers send and what lies on the disk cannot end a controller, and does not cost what it has
// acknowledged. The program runs as a process of its own, as the only member of its replicated log.
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "gateway/configuration/configuration_store.h"
#include "gateway/raft/store.h"
#include "gateway_process.h"

namespace marldale::program {
namespace {

constexpr std::size_t kManyLevels = 1000000;
const std::string kReplace = "/-/Settings.Replace", kRead = "/-/Settings.Read", kBeat = "/-/Servers.Beat/i-1";

std::string configuration(int version, int builtOn) {
    return R"({"version":)" + std::to_string(version) + R"(,"built_on":)" + std::to_string(builtOn) +
           R"(,"listeners":[{"host_name":"h","rules":[{"route_kind":"read_only","match":{"path_start":"/"},"action":{"service":"a","give_up":"2s","tries":2}}]}],"groups":[{"name":"a"}]})";
}

// The text without its end, which an unknown member with deep nesting takes.
std::string cutShort(std::string text) {
    text.back() = ',';
    return text + R"("note":)" + std::string(kManyLevels, '[');
}
// The text with an unknown member that nests deeply and is valid.
std::string deep(std::string text) { return cutShort(std::move(text)) + std::string(kManyLevels, ']') + "}"; }

const std::string kHeartbeat = R"({"service":"a","address":"127.0.0.1:8080","zone":"north"})";

// Calls until there is a status other than 503, or the process has ended. Returns the status line's code.
std::string finalStatus(const GatewayProcess& controller, const std::string& method,
                        const std::string& target, const std::string& body) {
    for (int k = 0; k < 500 && !controller.hasEnded(); ++k) {
        const std::string reply = controller.call(method, target, body);
        const std::string status = reply.size() > 12 ? reply.substr(9, 3) : "";
        if (!status.empty() && status != "503") return status;
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return "none";
}

struct Fixture {
    GatewayProcess controller{"controller"};
    std::string status(const std::string& target, const std::string& body) {
        return finalStatus(controller, "POST", target, body);
    }
    // Version 4 is acknowledged.
    void acknowledgeConfiguration() { REQUIRE(status(kReplace, configuration(4, 0)) == "200"); }
    void requireAcknowledgedConfiguration() {
        REQUIRE(finalStatus(controller, "GET", kRead, "") == "200");
        CHECK(controller.call("GET", kRead, "").ends_with("\r\n\r\n" + configuration(4, 0)));
    }
    // The log of a process that has ended.
    [[nodiscard]] std::unique_ptr<raft::Store> openLog() const {
        auto store = raft::Store::open(controller.folder(), controller.insideAddress(), false, true);
        REQUIRE(store.ok());
        return std::move(*store);
    }
    // The changes in the log of a process that has ended.
    [[nodiscard]] std::vector<std::string> changesInLog() const {
        std::vector<std::string> out;
        const auto stored = openLog()->load();
        REQUIRE(stored.ok());
        for (const auto& entry : stored->entries) {
            if (entry.kind() == gateway::proto::Entry::CHANGE) out.push_back(entry.data());
        }
        return out;
    }
    // Adds a change as the last entry to the log of a process that has ended.
    void appendToLog(const std::string& change) const {
        const auto store = openLog();
        const auto stored = store->load();
        REQUIRE(stored.ok());
        gateway::proto::Entry entry;
        entry.set_term(stored->entries.back().term());
        entry.set_index(stored->entries.back().index() + 1);
        entry.set_kind(gateway::proto::Entry::CHANGE);
        entry.set_data(change);
        raft::Write write;
        write.entries.push_back(entry);
        REQUIRE(store->write(write).ok());
    }
};

}  // namespace

// Guards against a controller that ends on a configuration cut short inside of deep nesting (review/2).
TEST_CASE_METHOD(Fixture, "A configuration that nests deeply is answered and ends no controller") {
    acknowledgeConfiguration();
    CHECK(status(kReplace, cutShort(configuration(6, 4))) == "400");
    CHECK(status(kReplace, std::string(kManyLevels, '[')) == "400");
    CHECK(status(kReplace, deep(R"({"version":6})")) == "400");
    requireAcknowledgedConfiguration();
    CHECK(status(kReplace, deep(configuration(6, 4))) == "200");
}

// Guards against a configuration of which only the part before a NUL is read.
TEST_CASE_METHOD(Fixture, "A configuration that goes on after a NUL gets 400") {
    acknowledgeConfiguration();
    CHECK(status(kReplace, configuration(6, 4) + std::string(1, '\0') + "more") == "400");
    CHECK(status(kReplace, configuration(6, 4) + std::string(1, '\0')) == "400");
    requireAcknowledgedConfiguration();
}

// Guards against a controller that ends on a heartbeat that nests deeply.
TEST_CASE_METHOD(Fixture, "A heartbeat that nests deeply is answered and ends no controller") {
    controller.awaitEvent("ready");
    CHECK(status(kBeat, cutShort(kHeartbeat)) == "400");
    CHECK(status(kBeat, std::string(kManyLevels, '[')) == "400");
    CHECK(status(kBeat, deep(R"({"service":1})")) == "400");
    CHECK(status(kBeat, deep(kHeartbeat)) == "200");
}

// Guards against a heartbeat or sign-off that breaks every link on which it is passed on.
TEST_CASE_METHOD(Fixture, "A server's text that is not UTF-8 gets 400") {
    controller.awaitEvent("ready");
    CHECK(status("/-/Servers.Beat/i-\xff", kHeartbeat) == "400");
    CHECK(status("/-/Servers.Leave/i-\xff", "") == "400");
    CHECK(status(kBeat, R"({"service":"\u00e9","address":"127.0.0.1:8080","zone":"north"})") == "200");
    CHECK(status(kBeat, "{\"service\":\"\xe9\",\"address\":\"127.0.0.1:8080\",\"zone\":\"north\"}") == "400");
}

// Guards against a process that ends when it rereads settings that changed.
TEST_CASE("Settings that nobody can read leave the process as it was") {
    const std::string role = GENERATE("controller", "edge-proxy");
    GatewayProcess program(role);
    program.awaitEvent("ready");
    program.replaceSettings("node_name: &a [*a]\n");
    program.signal(SIGHUP);
    program.awaitEvent("settings_refused");
    program.signal(SIGTERM);
    CHECK(program.awaitEnd() == 0);
}

// Guards against an order that enters the replicated log without being read, as one sent right after a start
// was.
TEST_CASE_METHOD(Fixture, "An invalid order sent from the start on gets 400 and leaves no entry in the log") {
    acknowledgeConfiguration();
    for (const std::string& invalid : {cutShort(configuration(6, 4)), configuration(6, 4).substr(0, 40)}) {
        controller.kill();
        controller.restart();
        CHECK(status(kReplace, invalid) == "400");
    }
    requireAcknowledgedConfiguration();
    controller.kill();
    const std::vector<std::string> acknowledged = {configuration::replaceChange(configuration(4, 0))};
    CHECK((changesInLog() == acknowledged));  // too long to be printed
}

// Guards against a controller that ends at each start on an entry that an earlier release has put into its
// log.
TEST_CASE_METHOD(Fixture,
                 "A log that holds a configuration nobody can read gives back what was acknowledged") {
    acknowledgeConfiguration();
    controller.kill();
    appendToLog(configuration::replaceChange(cutShort(configuration(6, 4))));
    controller.restart();
    requireAcknowledgedConfiguration();
    CHECK(status(kReplace, configuration(6, 4)) == "200");
}

}  // namespace marldale::program
