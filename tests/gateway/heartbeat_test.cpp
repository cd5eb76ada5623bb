// What servers send is read whole, or refused with the reason.
#include <catch2/catch.hpp>
#include <string>

#include "gateway/registry/heartbeat.h"

namespace marldale::registry {
namespace {

std::string heartbeat(const std::string& service, const std::string& rest = "") {
    return R"({"service":")" + service + R"(","address":"10.0.0.1:80","zone":"north")" + rest + "}";
}

}  // namespace

TEST_CASE("A heartbeat is parsed with its units", "[heartbeat]") {
    const auto server = parseHeartbeat(
        "i-1",
        heartbeat(
            "a",
            R"(,"version":"v2","free_places":6,"server_state":"emptying","cold_left":"1.5s","call_count":4,"later":[1])"));
    REQUIRE(server.ok());
    CHECK(server->id() == "i-1");
    CHECK(server->service() == "a");
    CHECK(server->address() == "10.0.0.1:80");
    CHECK(server->zone() == "north");
    CHECK(server->version() == "v2");
    CHECK(server->free_places() == 6);
    CHECK(server->emptying());
    CHECK(server->cold_left() == 1500000);
    CHECK(server->call_count() == 4);
}

// Guards against bytes of a server that no message to other processes can carry.
TEST_CASE("A heartbeat that cannot be passed on is refused with the reason", "[heartbeat]") {
    const std::string longText(1000, 'v');
    const std::vector<std::pair<std::string, std::string>> invalid = {
        {heartbeat("a\xff"), "byte"},
        {heartbeat("a", ",\"version\":\"\xc3\""), "byte"},
        {heartbeat("a", R"(,"note":"\ud800")"), "byte"},
        {heartbeat("a", R"(,"version":")" + longText + "\""), "#/version"},
        {heartbeat(longText), "#/service"},
        {heartbeat(""), "#/service"},
        {heartbeat("a", R"(,"free_places":-1)"), "#/free_places"},
        {heartbeat("a", R"(,"cold_left":"5")"), "#/cold_left"},
        {heartbeat("a").substr(0, 30), "byte"},
        {"", "byte"},
        {"[]", "#"},
    };
    for (const auto& [text, place] : invalid) {
        const auto server = parseHeartbeat("i-1", text);
        INFO(text);
        REQUIRE_FALSE(server.ok());
        CHECK(std::string(server.status().message()).find(place) != std::string::npos);
    }
    CHECK_FALSE(parseHeartbeat("i-\xff", heartbeat("a")).ok());
    CHECK_FALSE(parseHeartbeat(std::string(kMaxServerIdBytes + 1, 'i'), heartbeat("a")).ok());
    CHECK(parseHeartbeat(std::string(kMaxServerIdBytes, 'i'), heartbeat("a")).ok());
}

}  // namespace marldale::registry
