#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>

#include "program/daemon.h"

namespace {

// The environment names the file, and may name the planner's address for itself.
marldale::protocol::Config readConfig() {
    const char* path = std::getenv("RELAY_CONFIG");
    if (path == nullptr) throw marldale::protocol::BadConfig("RELAY_CONFIG is not set");
    std::ifstream file(path, std::ios::binary);
    if (!file) throw marldale::protocol::BadConfig("can't read " + std::string(path));
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    marldale::protocol::Config config = marldale::protocol::parseConfig(text);
    if (const char* name = std::getenv("RELAY_NAME")) config.name = name;
    if (const char* listen = std::getenv("RELAY_LISTEN")) config.listen = listen;
    return config;
}

// Discovery's address in the environment holds at the start only; after SIGHUP the file's holds.
marldale::protocol::Config firstConfig() {
    marldale::protocol::Config config = readConfig();
    if (const char* discovery = std::getenv("RELAY_DISCOVERY")) config.discovery = discovery;
    return config;
}

// Until the daemon can take it, a SIGHUP waits: its default would end the program.
void holdHangUp(int how) {
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGHUP);
    pthread_sigmask(how, &set, nullptr);
}

}  // namespace

int main() {
    holdHangUp(SIG_BLOCK);
    try {
        marldale::program::Log log;
        marldale::program::Daemon daemon(firstConfig(), readConfig, log);
        holdHangUp(SIG_UNBLOCK);
        daemon.run();
    } catch (const std::exception& e) {
        std::fprintf(stderr, "marldale: %s\n", e.what());
        return 1;
    }
    return 0;
}
