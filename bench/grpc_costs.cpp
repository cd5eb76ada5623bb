#include "grpc_costs.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <memory>
#include <thread>

#include "marldale/assignments.h"
#include "scripted_planner.h"
#include "standin/grpc_party.h"
#include "standin/planner_process.h"

namespace marldale::bench {
namespace {

using standin::PlannerProcess;
using standin::Watch;
using Clock = std::chrono::steady_clock;

constexpr const char* kFrontOn = "[grpc]\nlisten = 127.0.0.1:0\nstreams_most = 4000\n";
constexpr std::uint64_t kRev = 1;
constexpr std::chrono::milliseconds kBetweenReports{10}, kBetweenChanges{250}, kIdleWatched{500};
// Relays that join one after the other get copies of a table, which the module folds into one within that.
constexpr std::chrono::milliseconds kFolded{3000};

std::shared_ptr<::grpc::Channel> channelTo(const std::string& address) {
    ::grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);  // a connection of its own
    return ::grpc::CreateCustomChannel(address, ::grpc::InsecureChannelCredentials(), arguments);
}

// A planner in a process of its own between stand-ins.
class Site {
public:
    Site(Protocol protocol, int relaysPerSite)
        : world(settingsOf(relaysPerSite), {}),
          classes(classesOf(world)),
          platform(classes, kRev),
          listen("127.0.0.1:" + std::to_string(standin::freePort())),
          planner(configText(), protocol == Protocol::platform ? "" : kFrontOn) {
        platform.awaitPlanner();
    }

    standin::World world;
    std::vector<std::string> classes;
    standin::PlatformParty platform;
    std::string listen;
    PlannerProcess planner;

private:
    static standin::WorldSettings settingsOf(int relaysPerSite) {
        standin::WorldSettings out;
        out.relaysPerSite = relaysPerSite;
        return out;
    }
    static std::vector<std::string> classesOf(const standin::World& world) {
        std::vector<std::string> out;
        for (const auto& k : world.settings().classes) out.push_back(k.name);
        return out;
    }
    // No limit on messages: here it is the cost of each that counts.
    [[nodiscard]] std::string configText() const {
        ConfigAsk ask;
        ask.relay = platform.relay();
        ask.discovery = platform.discovery();
        ask.listen = listen;
        ask.messagesMost = 0;
        return bench::configText(world, ask);
    }
};

// CPU time that work takes, without what the planner's own timers would have used meanwhile.
class CpuOfWork {
public:
    explicit CpuOfWork(const PlannerProcess& planner) : planner_(planner) {
        (void)planner.quietCpuMs();
        const double before = planner.usage().cpuMs;
        const auto from = Clock::now();
        std::this_thread::sleep_for(kIdleWatched);
        start_ = Clock::now();
        startMs_ = planner.usage().cpuMs;
        idleShare_ = (startMs_ - before) / ms(start_ - from);
    }
    [[nodiscard]] double untilQuiet() const {
        (void)planner_.quietCpuMs();
        return std::max(0.0, planner_.usage().cpuMs - startMs_ - idleShare_ * ms(Clock::now() - start_));
    }

private:
    static double ms(Clock::duration span) { return std::chrono::duration<double, std::milli>(span).count(); }
    const PlannerProcess& planner_;
    Clock::time_point start_;
    double startMs_ = 0, idleShare_ = 0;
};

std::vector<standin::SumRow> sumsOf(const standin::World& world, const std::string& site, int round) {
    std::vector<standin::SumRow> out;
    std::uint32_t box = 0;
    for (const auto& listed : world.list()) {
        out.push_back({site, listed.box, 20 + (box + static_cast<std::uint32_t>(round)) % 7, 0,
                       (90 + box++ % 20) * standin::kMs, 5 * standin::kMs, 0});
    }
    return out;
}

// Relays that apply at once what they are told, count it, and answer marks.
class CountingRelays {
public:
    CountingRelays(Site& site, bool onStreams, int relays) : site_(site), onStreams_(onStreams) {
        if (!onStreams) {
            site.platform.setOnCall([this](std::size_t orders, const auto& tables, const auto& outcome) {
                std::vector<std::uint32_t> bound;
                for (const std::uint32_t relay : outcome.concerned) {
                    if (tables.tableOf(relay, site_.classes.front()) != nullptr) bound.push_back(relay);
                }
                told(orders, outcome.concerned, bound);
            });
        }
        for (int i = 0; i < relays; ++i) join(i);
    }
    ~CountingRelays() {
        // The streams first: nothing is told any more then.
        streams_.clear();
        site_.platform.setOnCall({});
    }

    void awaitBound() {
        watch_.until(
            "relays to be bound", [this] { return bound_.size() >= joined_; }, std::chrono::seconds{30});
    }
    // Every stream breaks, and is dialled anew with what it holds.
    void breakAndRejoin() {
        for (auto& stream : streams_) stream->breakOff();
        watch_.until("streams to end", [this] { return ended_ >= streams_.size(); });
        watch_.change([&] {
            bound_.clear();
            ended_ = 0;
        });
        for (auto& stream : streams_) stream->dialNow();
        awaitBound();
    }
    [[nodiscard]] std::size_t bound() {
        return watch_.look([this] { return bound_.size(); });
    }
    // From now on the time of each relay's first message is kept.
    void watchFrom(Clock::time_point start) {
        watch_.change([&] {
            start_ = start;
            latencies_.clear();
        });
    }
    [[nodiscard]] std::vector<double> awaitAll() {
        watch_.until("every relay to be told", [this] { return latencies_.size() >= joined_; });
        std::vector<double> out;
        watch_.change([&] {
            for (const auto& [relay, ms] : latencies_) out.push_back(ms);
        });
        return out;
    }
    [[nodiscard]] std::size_t orders() {
        return watch_.look([this] { return orders_; });
    }
    [[nodiscard]] std::size_t messages() {
        return watch_.look([this] { return messages_; });
    }

private:
    void join(int relay) {
        const std::string& zone = site_.world.siteOf(relay);
        ++joined_;
        if (!onStreams_) {
            return site_.platform.hello({relay, zone, 1, true});
        }
        const auto id = static_cast<std::uint32_t>(relay);
        client::AssignmentsOptions options;
        options.node = "relay-" + std::to_string(relay);
        options.classes = site_.classes;
        options.redial.on = false;
        client::AssignmentsHandlers handlers;
        const std::size_t at = streams_.size();
        streams_.emplace_back();
        handlers.applied = [this, at, id](const v1::Batch&, const client::RelayTables::Outcome& outcome) {
            auto& stream = *streams_[at];
            if (outcome.mark) stream.answer({id}, *outcome.mark, std::chrono::microseconds{1000});
            const bool has = stream.tables().tableOf(id, site_.classes.front()) != nullptr;
            told(outcome.taken, outcome.concerned, has ? std::vector{id} : std::vector<std::uint32_t>{});
        };
        handlers.ended = [this](const ::grpc::Status&) { watch_.change([&] { ++ended_; }); };
        streams_[at] = std::make_unique<client::Assignments>(channelTo(site_.planner.grpcAddress()),
                                                             std::move(options), std::move(handlers));
        streams_[at]->join({id, zone, 1, true});
        streams_[at]->open();
    }
    void told(std::size_t orders, const std::set<std::uint32_t>& relays,
              const std::vector<std::uint32_t>& bound) {
        const double ms = std::chrono::duration<double, std::milli>(Clock::now() - start_).count();
        watch_.change([&] {
            orders_ += orders;
            messages_ += relays.size();
            bound_.insert(bound.begin(), bound.end());
            for (const std::uint32_t relay : relays) latencies_.emplace(relay, ms);
        });
    }

    Site& site_;
    const bool onStreams_;
    Watch watch_;
    std::size_t joined_ = 0;
    std::vector<std::unique_ptr<client::Assignments>> streams_;
    std::set<std::uint32_t> bound_;
    Clock::time_point start_ = Clock::now();
    std::map<std::uint32_t, double> latencies_;  // of each relay's first message since then
    std::size_t orders_ = 0, messages_ = 0, ended_ = 0;
};

}  // namespace

const char* name(Protocol protocol) {
    switch (protocol) {
        case Protocol::platform: return "platform, gRPC off";
        case Protocol::platformBesideGrpc: return "platform, gRPC on";
        case Protocol::grpc: return "gRPC";
    }
    return "?";
}

ReportCost costOfReports(Protocol protocol, int rounds) {
    Site site(protocol, 2);
    std::unique_ptr<standin::GrpcParty> party;
    if (protocol == Protocol::grpc) {
        party = std::make_unique<standin::GrpcParty>(site.planner.grpcAddress(), site.classes,
                                                     [](int) { return 1; });
    }
    ReportCost out;
    const auto round = [&](int number) {
        for (const std::string& zone : site.world.settings().sites) {
            const auto sums = sumsOf(site.world, zone, number);
            if (party) {
                party->collect(zone, sums, {});
            } else {
                std::vector<std::string> texts;
                for (const auto& row : sums) texts.push_back(standin::PlatformParty::text(row));
                site.platform.collect(zone, site.listen, texts);
            }
            out.rows += sums.size();
        }
        std::this_thread::sleep_for(kBetweenReports);
    };
    round(0);  // the connections stand then
    const CpuOfWork work(site.planner);
    out.rows = 0;
    for (int i = 1; i <= rounds; ++i) round(i);
    out.cpuMs = work.untilQuiet();
    return out;
}

double OrderCost::latency(double share) const {
    if (latencyMs.empty()) return std::numeric_limits<double>::quiet_NaN();
    const auto at = static_cast<std::size_t>(share * static_cast<double>(latencyMs.size() - 1));
    return latencyMs[at];
}

OrderCost costOfOrders(Protocol protocol, int relays, int changes) {
    Site site(protocol, relays / 3);
    CountingRelays parties(site, protocol == Protocol::grpc, relays);
    parties.awaitBound();
    std::this_thread::sleep_for(kFolded);
    OrderCost out;
    const CpuOfWork work(site.planner);
    const std::size_t orders = parties.orders(), messages = parties.messages();
    const auto list = site.world.list();
    for (int i = 0; i < changes; ++i) {
        auto change = list[static_cast<std::size_t>(i * 7) % list.size()];
        change.state = standin::BoxState::draining;
        // The module leaves 200 ms between two rounds of messages; it is not what is measured here.
        std::this_thread::sleep_for(kBetweenChanges);
        parties.watchFrom(Clock::now());
        site.platform.list({change});
        const auto took = parties.awaitAll();
        out.latencyMs.insert(out.latencyMs.end(), took.begin(), took.end());
        (void)site.planner.quietCpuMs();
    }
    out.cpuMs = work.untilQuiet();
    out.orders = parties.orders() - orders;
    out.messages = parties.messages() - messages;
    std::sort(out.latencyMs.begin(), out.latencyMs.end());
    return out;
}

Crowd crowd(int relays) {
    Site site(Protocol::grpc, (relays + 2) / 3);
    Crowd out;
    out.asked = static_cast<std::size_t>(relays);
    out.idleResidentMb = site.planner.usage().residentMb;
    CountingRelays parties(site, true, relays);
    parties.awaitBound();
    (void)site.planner.quietCpuMs();
    out.bound = parties.bound();
    const auto usage = site.planner.usage();
    out.residentMb = usage.residentMb;
    out.descriptors = usage.descriptors;
    return out;
}

Rejoin rejoin(int relays) {
    Site site(Protocol::grpc, relays / 3);
    Rejoin out;
    for (std::size_t* into : {&out.first, &out.forgotten}) {
        CountingRelays parties(site, true, relays);
        parties.awaitBound();
        (void)site.planner.quietCpuMs();
        *into = parties.orders();
        if (into == &out.first) continue;
        parties.breakAndRejoin();
        (void)site.planner.quietCpuMs();
        out.told = parties.orders() - out.forgotten;
    }
    return out;
}

Idle idle(bool withGrpc, int starts) {
    Idle out;
    for (int i = 0; i < starts; ++i) {
        const Site site(withGrpc ? Protocol::grpc : Protocol::platform, 50);
        (void)site.planner.quietCpuMs();
        const auto usage = site.planner.usage();
        const double started = site.planner.startedWithinMs();
        if (i > 0 && started >= out.startMs) continue;
        out = {usage.residentMb,  usage.anonymousMb, started,
               usage.descriptors, usage.threads,     site.planner.maps("libgrpc")};
    }
    return out;
}

}  // namespace marldale::bench
