#include "program/daemon.h"

#include <algorithm>
#include <chrono>
#include <csignal>

#include "program/load_front.h"

namespace marldale::program {
namespace {

constexpr transport::Millis kFlushEvery{1000};
// A configuration that is being replaced may be missing or half-written for a moment.
constexpr transport::Millis kReadAgain{100};
constexpr int kReadsMost = 50;
// SIGKILL follows SIGTERM no sooner than 0.7 s later; within this the peers of other fronts are told.
constexpr std::int64_t kFrontEndsWithinMs = 300;

// Another one with each start, whatever the clock says.
std::uint64_t newEpoch(std::uint64_t seed) {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return (seed ^
            static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(now).count())) |
           1U;
}

transport::Address addressOf(const std::string& text, const char* what) {
    const auto address = transport::parseAddress(text);
    if (!address) throw std::runtime_error(std::string(what) + " is no address: " + text.substr(0, 60));
    return *address;
}

Micros steadyMicros() {
    using std::chrono::steady_clock;
    return std::chrono::duration_cast<std::chrono::microseconds>(steady_clock::now().time_since_epoch())
        .count();
}

}  // namespace

const char* name(Phase phase) {
    switch (phase) {
        case Phase::starting: return "starting";
        case Phase::standing: return "standing";
        case Phase::serving: return "serving";
        case Phase::stopping: return "stopping";
        case Phase::ended: return "ended";
    }
    return "?";
}

Daemon::Daemon(protocol::Config config, OwnSettings own, Sources sources, Log& log)
    : config_(std::move(config)),
      own_(std::move(own)),
      epoch_(newEpoch(config_.settings.seed)),
      sources_(std::move(sources)),
      log_(log),
      logger_([&log](const char* topic, const std::string& text) { log.line(topic, text); }),
      flush_(loop_,
             [this] {
                 log_.flush();
                 flush_.after(kFlushEvery);
             }),
      reload_(loop_, [this] { reload(); }),
      term_(loop_, SIGTERM, [this] { stop("SIGTERM"); }),
      interrupt_(loop_, SIGINT, [this] { stop("SIGINT"); }),
      // Several at once are one: the file is read afterwards.
      hangUp_(loop_, SIGHUP, [this] {
          readsLeft_ = kReadsMost;
          reload_.after(transport::Millis{0});
      }) {
    flush_.after(kFlushEvery);
}

Daemon::~Daemon() = default;

void Daemon::run() {
    enter(Phase::standing);
    stand();
    enter(Phase::serving);
    serve();
    loop_.run();
    // The keeper's last words go out through the front; what still comes in is heard until that has ended.
    if (keeper_) keeper_->stop();
    if (front_) front_->stop(kFrontEndsWithinMs);
    if (hooks_) hooks_->stop();
    planner_.reset();  // before the parties that it calls
    enter(Phase::ended);
    log_.flush();
}

void Daemon::enter(Phase phase) {
    phase_ = phase;
    log_.line("phase", name(phase));
}

// What the module's thread asks for is done in the loop's thread.
routing::PlannerThread::Outlets Daemon::outlets() {
    routing::PlannerThread::Outlets out;
    out.call = [this](routing::OrderCall call) {
        loop_.post([this, call = std::move(call)]() mutable { calls_->call(std::move(call)); });
    };
    out.probe = [this](ServerId server, std::string endpoint) {
        loop_.post([this, server, endpoint = std::move(endpoint)] { prober_->probe(server, endpoint); });
    };
    out.fetchList = [this] { loop_.post([this] { catalog_->fetchList(); }); };
    out.startedOver = [this] { loop_.post([this] { news_->tellAgain(); }); };
    out.front = [this](std::vector<routing::FrontCommand> commands) {
        loop_.post([this, commands = std::move(commands)]() mutable {
            if (front_) front_->carryOut(std::move(commands));
        });
    };
    return out;
}

std::function<bool(routing::Input)> Daemon::toModule() {
    return [this](routing::Input input) {
        if (keeper_) return keeper_->pass(std::move(input), steadyMicros());
        return hooks_ ? hooks_->pass(std::move(input)) : planner_->post(std::move(input));
    };
}

void Daemon::stand() {
    std::optional<routing::JunctionRules> junction;
    if (own_.grpc.on) junction = routing::junctionRules(config_, epoch_);
    planner_.emplace(config_, outlets(), logger_, std::move(junction));
    if (own_.hooks.on) openHooks();
    if (own_.knowledge.on) remember();
    const transport::Address relay = addressOf(config_.relay, "relay.address");
    const std::uint64_t seed = config_.settings.seed;
    calls_.emplace(
        loop_, relay, config_.settings, [this] { planner_->callEnded(); }, logger_);
    news_.emplace(loop_, relay, seed + 1, toModule(), logger_);
    catalog_.emplace(loop_, addressOf(config_.discovery, "discovery"), config_.known.rev, seed + 2,
                     toModule(), logger_);
    prober_.emplace(loop_, !config_.settings.loadFields.empty(), toModule(), logger_);
}

void Daemon::serve() {
    // A quarter of the descriptors at most: collectors, probes and the platform's own connections need the
    // rest.
    const std::size_t strangers =
        config_.sockets == 0
            ? routing::limits::kStrangersMost
            : std::clamp<std::size_t>(config_.sockets / 4, 1, routing::limits::kStrangersMost);
    intake_.emplace(loop_, addressOf(config_.listen, "listen"), config_.zones, strangers, toModule(),
                    logger_);
    if (own_.grpc.on) openFront();
}

// After the first turn, which waits for nothing: what was known is told as sums of long ago.
void Daemon::remember() {
    routing::KeeperHost host;
    host.log = logger_;
    host.post = [this](routing::Input input) {
        return hooks_ ? hooks_->pass(std::move(input)) : planner_->post(std::move(input));
    };
    host.name = config_.name;
    host.seed = config_.settings.seed;
    host.known = config_.known;
    host.reportEvery = config_.settings.reportEvery;
    const std::string module =
        own_.knowledge.module.empty() ? frontModuleBeside("marldale_knowledge.so") : own_.knowledge.module;
    keeper_ = loadKeeper(module, own_.knowledge.keeper, std::move(host));
    keeper_->begin(steadyMicros());
}

// Last before the module: what others know of boxes is not coloured by what a hook wishes.
void Daemon::openHooks() {
    routing::HookHost host;
    host.log = logger_;
    host.post = [this](routing::Input input) { return planner_->post(std::move(input)); };
    host.name = config_.name;
    host.zones = config_.zones;
    for (std::size_t k = 0; k < config_.classes.size(); ++k) {
        const bool known = k < config_.settings.classes.size();
        const bool fragile = known && (config_.settings.classes[k].writes ||
                                       config_.settings.classes[k].repeat == Repeat::fragile);
        host.classes.push_back({config_.classes[k], fragile});
    }
    host.warmUp = config_.settings.warmUp;
    host.known = config_.known;
    routing::HookSettings settings = own_.hooks.runner;
    if (settings.program.empty()) settings.program = frontModuleBeside("marldale_hook");
    const std::string module =
        own_.hooks.module.empty() ? frontModuleBeside("marldale_hooks.so") : own_.hooks.module;
    hooks_ = loadHooks(module, settings, std::move(host));
}

void Daemon::openFront() {
    routing::FrontHost host;
    host.post = toModule();
    host.log = logger_;
    host.zones = config_.zones;
    host.classes = config_.classes;
    host.loadFields = config_.settings.loadFields;
    host.proxies = config_.settings.proxies;
    host.epoch = epoch_;
    host.pace.least = config_.settings.reportEvery;
    host.pace.rowsPerS = config_.settings.reportsPerS;
    const bool shares = keeper_ && own_.knowledge.keeper.share;
    if (shares) host.ear = keeper_.get();
    const std::string module =
        own_.grpc.module.empty() ? frontModuleBeside("marldale_grpc.so") : own_.grpc.module;
    front_ = loadFront(module, own_.grpc.front, std::move(host));
    if (shares) keeper_->connect(front_->peers(), front_->port());
}

// SIGHUP: both files are read before anything is taken from either. The addresses of relay and discovery are
// taken from the file, whatever the environment named at the start. The module, and all that it has learned,
// stays.
void Daemon::reload() {
    try {
        const protocol::Config config = sources_.config();
        OwnSettings own = sources_.settings();
        (void)addressOf(config.relay, "relay.address");
        (void)addressOf(config.discovery, "discovery");
        take(std::move(own));
        moveTo(config);
    } catch (const std::exception& e) {
        if (readsLeft_ == kReadsMost)
            log_.line("reload", std::string("the old configuration holds: ") + e.what());
        if (--readsLeft_ > 0) return reload_.after(kReadAgain);
        log_.line("reload", "the file is given up until the next SIGHUP");
    }
}

void Daemon::moveTo(const protocol::Config& config) {
    const transport::Address relay = addressOf(config.relay, "relay.address");
    const transport::Address discovery = addressOf(config.discovery, "discovery");
    if (config.fixed != config_.fixed || config.listen != config_.listen || config.name != config_.name) {
        log_.line("reload", "other settings have changed too; they hold from the next start on");
    }
    log_.line("reload", "relay " + config.relay + ", discovery " + config.discovery);
    if (config.relay != config_.relay) {
        calls_->moveTo(relay);
        news_->moveTo(relay);
    }
    if (config.discovery != config_.discovery) catalog_->moveTo(discovery);
    config_.relay = config.relay;
    config_.discovery = config.discovery;
}

void Daemon::take(OwnSettings own) {
    // Keys are read again also where the file names the same ones: they may have been replaced. It throws if
    // they can't be used, and nothing else has been taken by then.
    if (front_) {
        front_->renew(own.grpc.front);
        log_.line("reload", "gRPC keys and identities are read again");
    }
    for (const std::string& name : changedForNextStart(own_, own)) {
        log_.line("reload", name + " has changed; it holds from the next start on");
    }
    if (hooks_) {
        hooks_->renew(own.hooks.runner);
        log_.line("reload", "hooks are read again");
    }
    if (!hooks_ && own.hooks.on)
        log_.line("reload", "there were no hooks at the start; they are loaded from the next start on");
    if (own.log != own_.log) log_.set(own.log);
    own_ = std::move(own);
}

void Daemon::stop(const char* signal) {
    log_.line("phase", std::string(signal) + " has come");
    enter(Phase::stopping);
    loop_.stop();
}

}  // namespace marldale::program
