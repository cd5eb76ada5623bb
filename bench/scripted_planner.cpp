#include "scripted_planner.h"

#include <algorithm>

namespace marldale::bench {
namespace {

using protocol::Json;
using standin::kSecond;
using standin::Micros;

constexpr std::uint64_t kFirstRev = 1;

Json classOf(const standin::WorldClass& k, Micros giveUp) {
    return {{"name", k.name},
            {"aimUs", k.work > 150 * standin::kMs ? 1000000 : 600000},
            {"giveUpUs", giveUp},
            {"points", k.mustNotRepeat ? 3.0 : 1.0},
            {"idempotency", k.mustNotRepeat ? "fragile" : "retryable"}};
}

}  // namespace

const char* name(Way way) {
    switch (way) {
        case Way::plain: return "platform, gRPC off";
        case Way::platform: return "platform, gRPC on";
        case Way::streams: return "gRPC";
        case Way::mixed: return "half and half";
    }
    return "?";
}

std::string configText(const standin::World& world, const ConfigAsk& ask) {
    const standin::WorldSettings& w = world.settings();
    Json targets = Json::array(), classes = Json::array();
    for (const auto& box : world.list()) {
        targets.push_back({{"uid", box.box},
                           {"endpoint", "127.0.0.1:9"},
                           {"az", box.site},
                           {"model", "standard"},
                           {"pod_group", 1},
                           {"state", "ready"},
                           {"capacity_hint", 1.0},
                           {"boot_ms", 0}});
    }
    for (const auto& k : w.classes) classes.push_back(classOf(k, w.giveUp));
    const Json config{{"name", "n0"},
                      {"listen", ask.listen},
                      {"discovery", ask.discovery},
                      {"seed", "8c1f30d27a5be964"},
                      {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 4096}}},
                      {"relay", {{"address", ask.relay}}},
                      {"known", {{"rev", kFirstRev}, {"all", true}, {"targets", targets}}},
                      {"settings",
                       {{"me", 0},
                        {"balancers", 1},
                        {"failureDomains", w.sites},
                        {"locality", w.sites[0]},
                        {"flavors", {"standard"}},
                        {"membershipMode", "pushed"},
                        {"telemetry", {{"how", "probe"}, {"fields", {"util", "inflight"}}}},
                        {"limits", {{"probes", true}}},
                        {"rules",
                         {{"coldShare", w.coldSpeed},
                          {"warmUpUs", w.warmUp},
                          {"tipMultiple", 4.0},
                          {"fallUs", 3000000},
                          {"stopSendingWithinUs", 3000000}}},
                        {"extra",
                         {{"admission", "rate"},
                          {"agents", world.relays() + ask.spareRelays},
                          {"backlog", 20000.0},
                          {"envelope", 4.0},
                          {"pushRate", 20000.0},
                          {"messagesMost", ask.messagesMost},
                          {"messagesOverUs", 10000000},
                          {"reportEveryUs", w.reportEvery}}},
                        {"categories", classes}}}};
    return config.dump();
}

ScriptedPlanner::ScriptedPlanner(Way way, standin::World& world)
    : way_(way),
      world_(world),
      platform_(
          [&] {
              std::vector<std::string> out;
              for (const auto& k : world.settings().classes) out.push_back(k.name);
              return out;
          }(),
          kFirstRev) {
    config_ = protocol::parseConfig(configText(world, {platform_.relay(), platform_.discovery()}));
    const auto silent = [](const char*, const std::string&) {};
    const auto post = [this](routing::Input input) { return push(std::move(input)); };

    routing::PlannerCore::Outlets outlets;
    outlets.call = [this](routing::OrderCall call, Micros) {
        called_ = true;
        watch_.change([&] { callOut_ = true; });
        thread_.loop().post([this, call = std::move(call)]() mutable { calls_->call(std::move(call)); });
    };
    outlets.probe = [](ServerId, const std::string&) {};
    outlets.fetchList = [] {};
    outlets.startedOver = [] { throw std::runtime_error("the module failed"); };
    outlets.front = [this](std::vector<routing::FrontCommand> commands) {
        const auto batches = std::count_if(commands.begin(), commands.end(), [](const auto& c) {
            return std::holds_alternative<dispatch::SendBatch>(c);
        });
        watch_.change([&] { batchesOut_ += static_cast<std::size_t>(batches); });
        server_->carryOut(std::move(commands));
    };
    // The guards of the limit of messages go by the machine's clock, which runs slower than the script here;
    // what they guard is counted in the script's time.
    std::optional<routing::JunctionRules> rules;
    if (way != Way::plain) rules = routing::junctionRules(config_, 77);
    if (rules) {
        rules->dispatch.messagesMost = 0;
        rules->dispatch.stream.answerWithin = std::numeric_limits<Micros>::max();
    }
    core_ = std::make_unique<routing::PlannerCore>(config_, routing::plannerOf(config_.settings), outlets,
                                                   silent, std::move(rules));
    core_->begin(config_, kSecond);

    thread_.run([&] {
        transport::Loop& loop = thread_.loop();
        Settings unguarded = config_.settings;
        unguarded.messagesMost = 0;
        const transport::Address relay = *transport::parseAddress(platform_.relay());
        calls_ = std::make_unique<routing::RelayCalls>(
            loop, relay, unguarded, [this] { watch_.change([&] { callOut_ = false; }); }, silent);
        news_ = std::make_unique<routing::ProxyNews>(loop, relay, 1, post, silent);
        catalog_ = std::make_unique<routing::CatalogWatch>(
            loop, *transport::parseAddress(platform_.discovery()), kFirstRev, 2, post, silent);
        intake_ = std::make_unique<routing::Intake>(loop, transport::Address{"127.0.0.1", 0}, config_.zones,
                                                    64, post, silent);
    });
    intakeAddress_ = "127.0.0.1:" + std::to_string(intake_->port());
    platform_.awaitPlanner();
    if (way == Way::plain) return;

    routing::FrontSettings settings;
    settings.listen = "127.0.0.1:0";
    settings.keepaliveMs = 10000;
    routing::FrontHost host;
    host.post = post;
    host.log = silent;
    host.zones = config_.zones;
    host.classes = config_.classes;
    host.loadFields = config_.settings.loadFields;
    host.proxies = config_.settings.proxies;
    host.epoch = 77;
    host.pace.least = config_.settings.reportEvery;
    server_ = std::make_unique<grpc_front::Server>(settings, std::move(host));
    // The first site's relays have a stream each, the others' share nodes of five.
    const int alone = world.settings().relaysPerSite;
    grpc_ =
        std::make_unique<standin::GrpcParty>("127.0.0.1:" + std::to_string(server_->port()), config_.classes,
                                             [alone](int relay) { return relay < alone ? 1 : 5; });
}

ScriptedPlanner::~ScriptedPlanner() {
    grpc_.reset();
    if (server_) server_->stop(300);
    thread_.run([this] {
        calls_.reset();
        news_.reset();
        catalog_.reset();
        intake_.reset();
    });
}

bool ScriptedPlanner::onStream(int relay) const {
    if (way_ == Way::streams) return true;
    // Whole groups of five, so that no group is torn apart.
    return way_ == Way::mixed && relay / 5 % 2 == 1;
}

ScriptedPlanner::Collector ScriptedPlanner::collectorOf(const std::string& site) const {
    if (way_ == Way::streams) return Collector::grpc;
    if (way_ != Way::mixed || site == world_.settings().sites[0]) return Collector::platform;
    return site == world_.settings().sites[1] ? Collector::grpc : Collector::both;
}

// How much of what was said an input holds.
std::size_t ScriptedPlanner::countOf(const routing::Input& input) {
    const auto* rows = std::get_if<routing::SourceRows>(&input);
    return rows == nullptr ? 1 : rows->rows.size();
}

bool ScriptedPlanner::push(routing::Input input) {
    watch_.change([&] {
        counted_ += countOf(input);
        inputs_.push_back(std::move(input));
    });
    return true;
}

void ScriptedPlanner::awaitInputs(std::size_t count, const char* what) {
    watch_.until(what, [&] { return counted_ >= count; });
}

void ScriptedPlanner::say(const std::vector<standin::Word>& words) {
    std::size_t expected = 0;
    std::vector<standin::ListChange> changes;
    std::vector<int> gone;
    std::vector<standin::SumRow> sums;
    std::vector<standin::DemandRow> demand;
    for (const auto& word : words) {
        if (const auto* c = std::get_if<standin::ListChange>(&word)) changes.push_back(*c);
        if (const auto* s = std::get_if<standin::SumRow>(&word)) sums.push_back(*s);
        if (const auto* d = std::get_if<standin::DemandRow>(&word)) demand.push_back(*d);
    }
    if (!changes.empty()) {
        platform_.list(changes);
        awaitInputs(++expected, "the list");
    }
    for (const auto& word : words) {
        const auto* b = std::get_if<standin::RelayBye>(&word);
        if (b != nullptr && onStream(b->relay)) {
            gone.push_back(b->relay);
            continue;
        }
        if (b != nullptr) {
            platform_.bye(b->relay);
        } else if (const auto* a = std::get_if<standin::RelayAck>(&word)) {
            onStream(a->relay) ? grpc_->ack(*a) : platform_.ack(*a);
        } else if (const auto* h = std::get_if<standin::RelayHello>(&word)) {
            if (onStream(h->relay)) {
                expected += grpc_->hello(*h);
                continue;
            }
            platform_.hello(*h);
        } else {
            continue;
        }
        ++expected;
    }
    if (!gone.empty()) expected += grpc_->bye(gone);
    awaitInputs(expected, "the news of relays");
    expected_ = expected;
    sayReports(sums, demand);
}

void ScriptedPlanner::sayReports(const std::vector<standin::SumRow>& sums,
                                 const std::vector<standin::DemandRow>& demand) {
    const auto sound = [](const auto& row) { return row.spoilt == 0; };
    // Sums of every site first, then demand: the plain planner takes them in the order in which they come.
    for (const bool ofSums : {true, false}) {
        for (const std::string& site : world_.settings().sites) {
            std::vector<standin::SumRow> s;
            std::vector<standin::DemandRow> d;
            if (ofSums)
                std::copy_if(sums.begin(), sums.end(), std::back_inserter(s),
                             [&](const auto& r) { return r.site == site; });
            if (!ofSums)
                std::copy_if(demand.begin(), demand.end(), std::back_inserter(d),
                             [&](const auto& r) { return r.site == site; });
            if (s.empty() && d.empty()) continue;
            const auto rows = static_cast<std::size_t>(std::count_if(s.begin(), s.end(), sound) +
                                                       std::count_if(d.begin(), d.end(), sound));
            const Collector by = collectorOf(site);
            if (by != Collector::grpc) {
                std::vector<std::string> messages;
                for (const auto& r : s) messages.push_back(standin::PlatformParty::text(r));
                for (const auto& r : d) messages.push_back(standin::PlatformParty::text(r));
                platform_.collect(site, intakeAddress_, messages);
                awaitInputs(expected_ += rows, "reports over the platform");
            }
            if (by != Collector::platform) {
                grpc_->collect(site, s, d);
                awaitInputs(expected_ += rows, "reports over gRPC");
            }
        }
    }
}

void ScriptedPlanner::moment(Micros now) {
    now_ = now;
    watch_.change([&] { counted_ = 0; });
    say(world_.advance(now));
    std::vector<routing::Input> inputs = watch_.look([&] { return std::exchange(inputs_, {}); });
    ++turns_;
    core_->step(inputs, kSecond + now);
    awaitOrders(now);
    std::vector<standin::Delivered> messages = platform_.take();
    if (grpc_) {
        for (auto& m : grpc_->take()) messages.push_back(std::move(m));
    }
    std::stable_sort(messages.begin(), messages.end(),
                     [](const auto& a, const auto& b) { return a.relay < b.relay; });
    for (auto& m : messages) world_.message(m.relay, std::move(m.view), std::move(m.shut), m.mark, now);
}

// Until every call and every batch is answered, and what the answers bring is answered too.
void ScriptedPlanner::awaitOrders(Micros now) {
    for (;;) {
        const bool called = std::exchange(called_, false);
        watch_.until("orders to be taken", [&] {
            const auto took = std::count_if(inputs_.begin(), inputs_.end(), [](const auto& i) {
                return std::holds_alternative<routing::LaneTook>(i);
            });
            return !callOut_ && static_cast<std::size_t>(took) >= batchesOut_;
        });
        if (called) core_->callEnded(kSecond + now);
        auto answers = watch_.look([&] {
            batchesOut_ = 0;
            return std::exchange(inputs_, {});
        });
        if (!answers.empty()) core_->step(answers, kSecond + now);
        if (watch_.look([&] { return !callOut_ && batchesOut_ == 0; })) return;
    }
}

void ScriptedPlanner::play(Micros until, Micros step) {
    while (now_ + step <= until) moment(now_ + step);
}

std::uint64_t ScriptedPlanner::notHeld() const {
    return core_->junction() == nullptr ? 0 : core_->junction()->arbiter().counts().notHeld;
}

}  // namespace marldale::bench
