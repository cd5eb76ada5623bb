#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <string_view>
#include <system_error>

#include "program/check.h"
#include "program/command_line.h"
#include "program/daemon.h"

namespace {

using marldale::program::CommandLine;
using marldale::program::OwnSettings;
using marldale::settings::Problem;

// The environment may name the planner's address for itself.
marldale::protocol::Config readConfig(const std::string& path) {
    if (path.empty()) throw marldale::protocol::BadConfig("RELAY_CONFIG is not set");
    std::ifstream file(path, std::ios::binary);
    if (!file) throw marldale::protocol::BadConfig("can't read " + path);
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    marldale::protocol::Config config = marldale::protocol::parseConfig(text);
    if (const char* name = std::getenv("RELAY_NAME")) config.name = name;
    if (const char* listen = std::getenv("RELAY_LISTEN")) config.listen = listen;
    return config;
}

// Discovery's address in the environment holds at the start only; after SIGHUP the file's holds.
marldale::protocol::Config firstConfig(const std::string& path) {
    marldale::protocol::Config config = readConfig(path);
    if (const char* discovery = std::getenv("RELAY_DISCOVERY")) config.discovery = discovery;
    return config;
}

OwnSettings readSettings(const std::string& path) {
    std::vector<Problem> problems;
    OwnSettings out = marldale::program::readOwnSettings(path, problems);
    if (problems.empty()) return out;
    std::string text = problems.front().shown();
    if (problems.size() > 1)
        text += " (and " + std::to_string(problems.size() - 1) + " more: marldale check)";
    throw std::runtime_error(text);
}

// Until the daemon can take it, a SIGHUP waits: its default would end the program.
void holdHangUp(int how) {
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGHUP);
    pthread_sigmask(how, &set, nullptr);
}

int serve(const CommandLine& asked) {
    try {
        const marldale::program::Daemon::Sources sources{[&asked] { return readConfig(asked.config); },
                                                         [&asked] { return readSettings(asked.settings); }};
        marldale::protocol::Config config = firstConfig(asked.config);
        OwnSettings own = sources.settings();
        marldale::program::Log log(stderr, own.log);
        log.setName(config.name);
        marldale::program::Daemon daemon(std::move(config), std::move(own), sources, log);
        holdHangUp(SIG_UNBLOCK);
        daemon.run();
    } catch (const std::exception& e) {
        std::fprintf(stderr, "marldale: %s\n", e.what());
        return 1;
    }
    return 0;
}

}  // namespace

// Recorded traffic, the emulator and the proxy are other programs', beside this one: the planner links none
// of what they need.
const char* programOf(std::string_view verb, std::string_view next) {
    if (verb == "hook") return next == "test" ? "marldale_rehearse" : "marldale_hook";
    if (verb == "trace" || verb == "replay" || verb == "knowledge") return "marldale_trace";
    if (verb == "emulate" || verb == "experiment") return "marldale_lab";
    if (verb == "proxy") return "marldale_proxy";
    return nullptr;
}

int runBeside(const char* name, char** argv) {
    std::error_code error;
    const auto self = std::filesystem::read_symlink("/proc/self/exe", error);
    const std::string program = (self.parent_path() / name).string();
    execv(program.c_str(), argv);
    std::fprintf(stderr,
                 "marldale: %s can't be run (%s): build with -DMARLDALE_TRACE=ON, hooks with liblua5.4-dev\n",
                 program.c_str(), std::strerror(errno));
    return 1;
}

int main(int argc, char** argv) {
    using marldale::program::Verb;
    const char* const other = argc > 1 ? programOf(argv[1], argc > 2 ? argv[2] : "") : nullptr;
    if (other != nullptr) return runBeside(other, argv);
    holdHangUp(SIG_BLOCK);
    int status = 0;
    const auto asked = marldale::program::parseCommandLine(argc, argv, status);
    if (!asked) return status;
    switch (asked->verb) {
        case Verb::serve: return serve(*asked);
        case Verb::check: return marldale::program::check(*asked, std::cout);
        case Verb::version: std::puts("marldale " MARLDALE_VERSION); return 0;
    }
    return 1;
}
