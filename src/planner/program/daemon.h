// The program from start to exit: one object whose phases have names.
#pragma once

#include <functional>
#include <optional>

#include "program/log.h"
#include "program/settings.h"
#include "protocol/config.h"
#include "routing/catalog_watch.h"
#include "routing/hooks.h"
#include "routing/intake.h"
#include "routing/keeper.h"
#include "routing/planner_thread.h"
#include "routing/prober.h"
#include "routing/proxy_news.h"
#include "routing/relay_calls.h"
#include "transport/loop.h"

namespace marldale::program {

enum class Phase {
    starting,  // nothing is open yet
    standing,  // the module stands with the known list; the parties are dialled
    serving,   // it listens, and answers that it is alive
    stopping,  // SIGTERM or SIGINT has come
    ended,
};

[[nodiscard]] const char* name(Phase phase);

class Daemon {
public:
    // What is read at the start and again at every SIGHUP. Each throws std::runtime_error with one plain
    // line.
    struct Sources {
        std::function<protocol::Config()> config;
        std::function<OwnSettings()> settings;
    };

    Daemon(protocol::Config config, OwnSettings own, Sources sources, Log& log);
    ~Daemon();
    Daemon(const Daemon&) = delete;
    Daemon& operator=(const Daemon&) = delete;

    // Until a signal ends it. Throws std::runtime_error if the address can't be had.
    void run();
    [[nodiscard]] Phase phase() const { return phase_; }

private:
    void enter(Phase phase);
    void stand();
    void serve();
    void openFront();
    void remember();
    void openHooks();
    void stop(const char* signal);
    void reload();
    void moveTo(const protocol::Config& config);
    void take(OwnSettings own);
    [[nodiscard]] routing::PlannerThread::Outlets outlets();
    [[nodiscard]] std::function<bool(routing::Input)> toModule();

    protocol::Config config_;  // after the start only the addresses of relay and discovery change
    OwnSettings own_;
    const std::uint64_t epoch_;  // told to relays that hold streams of ours
    const Sources sources_;
    Log& log_;
    const routing::Logger logger_;
    Phase phase_ = Phase::starting;
    transport::Loop loop_;
    transport::Timer flush_, reload_;
    int readsLeft_ = 0;  // of a configuration that can't be read, before it is given up
    transport::Signal term_, interrupt_, hangUp_;
    std::optional<routing::RelayCalls> calls_;
    std::optional<routing::ProxyNews> news_;
    std::optional<routing::CatalogWatch> catalog_;
    std::optional<routing::Prober> prober_;
    std::optional<routing::Intake> intake_;
    std::optional<routing::PlannerThread> planner_;
    std::unique_ptr<routing::Hooks> hooks_;    // operators' own, if there are any
    std::unique_ptr<routing::Keeper> keeper_;  // of knowledge, and the gRPC front: if they are switched on
    std::unique_ptr<routing::Front> front_;
};

}  // namespace marldale::program
