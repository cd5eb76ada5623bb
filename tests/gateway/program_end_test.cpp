// How the program ends on a signal: with status 0, and with its last log line written to the end. The bench
// once had a fault here; the program has no way around it, and these hold by themselves.
#include <rapidjson/document.h>

#include <catch2/catch.hpp>
#include <csignal>
#include <string>

#include "gateway_process.h"

namespace marldale::program {
namespace {

// Every line of the log is whole, and the last one tells of the end.
void requireWholeLog(const std::string& log) {
    REQUIRE(log.ends_with('\n'));
    std::string last;
    for (std::size_t from = 0; from < log.size();) {
        const std::size_t to = log.find('\n', from);
        rapidjson::Document line;
        line.Parse(log.data() + from, to - from);
        INFO(log.substr(from, to - from));
        REQUIRE(line.IsObject());
        last = line["event"].GetString();
        from = to + 1;
    }
    CHECK(last == "ended");
}

}  // namespace

TEST_CASE("SIGTERM ends each role with status 0 and a whole log") {
    const std::string role = GENERATE("controller", "edge-proxy");
    GatewayProcess program(role);
    program.awaitEvent("ready");
    program.signal(SIGTERM);
    CHECK(program.awaitEnd() == 0);
    requireWholeLog(program.log());
}

TEST_CASE("Signals close upon each other end the program once, with status 0") {
    const std::string role = GENERATE("controller", "edge-proxy");
    GatewayProcess program(role);
    program.awaitEvent("ready");
    for (const int number : {SIGHUP, SIGTERM, SIGTERM, SIGHUP, SIGINT}) program.signal(number);
    CHECK(program.awaitEnd() == 0);
    requireWholeLog(program.log());
}

TEST_CASE("SIGTERM before a role has started ends it with status 0 once it has") {
    const std::string role = GENERATE("controller", "edge-proxy");
    GatewayProcess program(role, GatewayProcess::Settings::heldBack);
    program.signal(SIGTERM);  // it is waiting for its settings
    program.giveSettings();
    CHECK(program.awaitEnd() == 0);
    requireWholeLog(program.log());
}

}  // namespace marldale::program
