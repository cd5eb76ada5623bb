// The settings file: whatever its bytes, it is read or refused with the reason.
#include <catch2/catch.hpp>
#include <string>

#include "gateway/settings/settings.h"

namespace marldale::settings {
namespace {

const std::string kValid =
    "node_name: \"one\"\nip_address: \"127.0.0.1\"\nzone: \"north\"\nlisten_on:\n  control: "
    "\"127.0.0.1:80\"\n"
    "inside_ports: [20000, 20010]\nseed_nodes: [\"127.0.0.1:80\"]\nfirst_run: true\n";

std::string problemOf(const std::string& yaml) {
    const auto read = parse(yaml);
    return read.ok() ? "" : std::string(read.status().message());
}

}  // namespace

// Guards against a process that ends on a settings file that changed while it runs.
TEST_CASE("Settings with an alias inside of what it stands for are refused", "[settings]") {
    CHECK(problemOf(kValid + "more: &a [*a]\n").find("too deeply") != std::string::npos);
    CHECK(problemOf(kValid + "more: &a {b: *a}\n").find("too deeply") != std::string::npos);
    CHECK(problemOf(kValid + "more: " + std::string(1000000, '[')).find("no YAML") != std::string::npos);
}

TEST_CASE("Settings whose aliases stand for too many values are refused", "[settings]") {
    std::string yaml = kValid + "a0: &a0 [x, x, x, x, x, x, x, x, x, x]\n";
    for (int k = 1; k < 12; ++k) {
        const std::string alias = "*a" + std::to_string(k - 1);
        yaml += "a" + std::to_string(k) + ": &a" + std::to_string(k) + " [" + alias;
        for (int copies = 1; copies < 10; ++copies) yaml += ", " + alias;
        yaml += "]\n";
    }
    CHECK(problemOf(yaml).find("too many values") != std::string::npos);
}

// Guards against a node or zone whose name no message to another process can carry.
TEST_CASE("Settings with a text that is not UTF-8 are refused", "[settings]") {
    CHECK(problemOf(kValid).empty());
    CHECK(problemOf(kValid + "region: \"h\u00e9\"\n").empty());
    CHECK(problemOf(kValid + "region: \"h\xe9\"\n").find("UTF-8") != std::string::npos);
    CHECK(problemOf(kValid + "zones:\n  \"z\xff\": \"home\"\n").find("UTF-8") != std::string::npos);
}

}  // namespace marldale::settings
