#include "gateway/program/program.h"

#include <utility>  // Boost 1.74 forgets it

#include <boost/asio.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

#include "absl/flags/flag.h"
#include "absl/flags/parse.h"
#include "absl/flags/usage.h"
#include "gateway/configuration/configuration.h"
#include "gateway/controller/controller.h"
#include "gateway/edge_proxy/binding.h"
#include "gateway/edge_proxy/request_forwarder.h"
#include "gateway/log/log.h"
#include "gateway/settings/contact_limits.h"
#include "gateway/settings/settings.h"

ABSL_FLAG(std::string, settings, "", "the settings file; else what MARLDALE_CONFIG names");
ABSL_FLAG(std::string, log_level, "info", "debug, info, warn or error: the least that is logged");

namespace marldale::program {
namespace {

constexpr const char* kEdgeProxyCommand = "edge-proxy";
constexpr const char* kControllerCommand = "controller";
constexpr int kFault = 1, kUsage = 2;

std::string settingsPath() {
    if (std::string path = absl::GetFlag(FLAGS_settings); !path.empty()) return path;
    const char* path = std::getenv("MARLDALE_CONFIG");
    return path == nullptr ? "" : path;
}

log::Level levelOf(const std::string& name) {
    if (name == "debug") return log::Level::debug;
    if (name == "warn") return log::Level::warn;
    if (name == "error") return log::Level::error;
    return log::Level::info;
}

int fault(std::string_view what, const absl::Status& status) {
    log::event(log::Level::error, what, {{"problem", std::string(status.message())}});
    return kFault;
}

// Signals that come before the program can handle them wait until it can, or until this ends; by default they
// would end it at once.
class HeldSignals {
public:
    HeldSignals() {
        sigemptyset(&held_);
        for (const int number : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&held_, number);
        pthread_sigmask(SIG_BLOCK, &held_, nullptr);
    }
    ~HeldSignals() { release(); }
    HeldSignals(const HeldSignals&) = delete;
    HeldSignals& operator=(const HeldSignals&) = delete;
    void release() { pthread_sigmask(SIG_UNBLOCK, &held_, nullptr); }

private:
    sigset_t held_{};
};

// SIGTERM and SIGINT once, SIGHUP any number of times.
class Signals {
public:
    Signals(boost::asio::io_context& io, HeldSignals& held, std::function<void()> end,
            std::function<void()> again)
        : signals_(io, SIGTERM, SIGINT, SIGHUP), end_(std::move(end)), again_(std::move(again)) {
        wait();
        held.release();
    }

private:
    void wait() {
        signals_.async_wait([this](boost::system::error_code wrong, int signal) {
            if (wrong) return;
            if (signal == SIGHUP) {
                again_();
            } else if (!ended_) {
                ended_ = true;
                end_();
            }
            wait();
        });
    }
    boost::asio::signal_set signals_;
    std::function<void()> end_, again_;
    bool ended_ = false;
};

// A fault in one handler must not end the process: what it was about ends, the rest goes on.
void runAll(boost::asio::io_context& io) {
    while (true) {
        try {
            io.run();
            return;
        } catch (const std::exception& wrong) {
            log::event(log::Level::error, "handler_failed", {{"problem", wrong.what()}});
        }
    }
}

void reread(const std::string& path, const std::function<void(const settings::Settings&)>& take) {
    auto read = settings::readFile(path);
    if (!read.ok()) {
        log::warn("settings_refused", {{"problem", std::string(read.status().message())}});
        return;
    }
    take(*read);
}

int controller(const std::string& path, const settings::Settings& settings, HeldSignals& held) {
    boost::asio::io_context io(1);
    controller::Controller program(io, settings);
    if (auto s = program.start(); !s.ok()) return fault("cannot_start", s);
    const Signals signals(
        io, held, [&] { program.stop([&] { io.stop(); }); },
        [&] { reread(path, [&](const settings::Settings& next) { program.reload(next); }); });
    log::info("ready", {{"control", settings.control}});
    runAll(io);
    log::info("ended");
    return 0;
}

int proxy(const std::string& path, const settings::Settings& settings, HeldSignals& held) {
    boost::asio::io_context io(1);
    upstream::Tables tables;
    tables.view() = upstream::ViewLease(settings::viewLease(settings.bounds),
                                        edge_proxy::selectionLimits(settings.bounds).maxSilence);
    edge_proxy::ForwarderSettings rules;
    rules.front = settings.front;
    rules.readiness = settings.readiness;
    rules.zone = settings.zone;
    rules.openFiles = settings.openFiles;
    rules.cores = settings.processorShare * settings.cores;
    rules.grace = settings.bounds.grace;
    rules.inTouch = settings.bounds.inTouch;
    rules.retryRatio = settings.bounds.retryRatio;
    rules.retryWindow = settings.bounds.retryWindow;
    rules.extraTries = settings.bounds.extraTries;
    rules.coldExcess = settings.bounds.coldExcess;
    rules.coldMargin = settings.bounds.coldMargin;
    rules.seed = (static_cast<std::uint64_t>(std::random_device{}()) << 32U) ^ std::random_device{}();
    edge_proxy::RequestForwarder forwarder(io, rules, tables);
    edge_proxy::Binding binding(
        io, settings,
        {[&](const gateway::proto::ResourceBatch& orders, Micros now) {
             if (!tables.apply(orders, now)) return false;
             forwarder.tablesChanged();
             return true;
         },
         [&] { return tables.index(); }, [&](Micros now) { return forwarder.takeLoadReport(now); },
         tables.view(), [&](bool is) { forwarder.setIsolated(is); }});
    if (auto s = forwarder.listen(); !s.ok()) return fault("cannot_start", s);
    if (auto s = binding.start(); !s.ok()) return fault("cannot_start", s);
    const Signals signals(
        io, held,
        [&] {
            forwarder.terminate([&] {
                binding.stop();
                io.stop();
            });
        },
        [&] { reread(path, [&](const settings::Settings& next) { binding.reload(next); }); });
    log::info("ready", {{"front", settings.front}});
    runAll(io);
    log::info("ended");
    return 0;
}

// Files of both kinds: a configuration is JSON, settings are YAML. All that is wrong is told.
int check(const std::vector<char*>& files) {
    int out = 0;
    for (const char* file : files) {
        std::ifstream in(file);
        std::ostringstream text;
        text << in.rdbuf();
        absl::Status status = absl::OkStatus();
        if (!in) {
            status = absl::NotFoundError("can't be read");
        } else if (const auto first = text.str().find_first_not_of(" \t\r\n");
                   first != std::string::npos && text.str()[first] == '{') {
            const auto read = configuration::parseConfigurationCached(text.str());
            status = read.status();
            if (read.ok() && read->version <= read->builtOn)
                status = absl::InvalidArgumentError("version: not above built_on");
        } else {
            status = settings::parse(text.str()).status();
        }
        std::cout << file << ": " << (status.ok() ? "fine" : std::string(status.message())) << "\n";
        if (!status.ok()) out = kFault;
    }
    return out;
}

// The command as it is called today; the names before 0.9 are taken for one more release.
std::string canonicalCommand(const std::string& command) {
    if (command == "sluice") return kEdgeProxyCommand;
    if (command == "headworks") return kControllerCommand;
    return command;
}

int usage() {
    std::cerr << "usage: marldale edge-proxy | controller [--settings FILE] [--log_level LEVEL]\n"
                 "       marldale check FILE ...\n"
                 "       marldale calls\n";
    return kUsage;
}

}  // namespace

int run(int argc, char** argv) {
    absl::SetProgramUsageMessage(
        "an API gateway: edge-proxy (carries traffic), controller (control), check, calls");
    const std::vector<char*> words = absl::ParseCommandLine(argc, argv);
    if (words.size() < 2) return usage();
    const std::string command = canonicalCommand(words[1]);
    if (command == "check") return check({words.begin() + 2, words.end()});
    if (command == "calls") {
        for (const controller::Call* call : controller::calls())
            std::cout << call->method << " " << call->path << "  " << call->description << "\n";
        return 0;
    }
    if ((command != kEdgeProxyCommand && command != kControllerCommand) || words.size() != 2) return usage();
    HeldSignals held;
    std::signal(SIGPIPE, SIG_IGN);
    const std::string path = settingsPath();
    const auto settings = settings::readFile(path);
    log::begin(settings.ok() ? settings->node : "?", levelOf(absl::GetFlag(FLAGS_log_level)));
    if (!settings.ok()) return fault("settings_refused", settings.status());
    if ((command == kEdgeProxyCommand ? settings->front : settings->control).empty()) {
        return fault("settings_refused",
                     absl::InvalidArgumentError(command == kEdgeProxyCommand ? "listen_on has no front"
                                                                             : "listen_on has no control"));
    }
    return command == kEdgeProxyCommand ? proxy(path, *settings, held) : controller(path, *settings, held);
}

}  // namespace marldale::program
