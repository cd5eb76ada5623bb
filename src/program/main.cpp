#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>

#include "program/daemon.h"

namespace {

// The environment names the file, and may name the planner's address and discovery for itself.
marldale::protocol::Config readConfig() {
    const char* path = std::getenv("RELAY_CONFIG");
    if (path == nullptr) throw marldale::protocol::BadConfig("RELAY_CONFIG is not set");
    std::ifstream file(path, std::ios::binary);
    if (!file) throw marldale::protocol::BadConfig("can't read " + std::string(path));
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    marldale::protocol::Config config = marldale::protocol::parseConfig(text);
    if (const char* name = std::getenv("RELAY_NAME")) config.name = name;
    if (const char* listen = std::getenv("RELAY_LISTEN")) config.listen = listen;
    if (const char* discovery = std::getenv("RELAY_DISCOVERY")) config.discovery = discovery;
    return config;
}

}  // namespace

int main() {
    try {
        marldale::program::Log log;
        marldale::program::Daemon(readConfig(), log).run();
    } catch (const std::exception& e) {
        std::fprintf(stderr, "marldale: %s\n", e.what());
        return 1;
    }
    return 0;
}
