#include "standin/live_planner.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <thread>

#include "emulator/instance.h"

namespace marldale::standin {
namespace {

using Json = nlohmann::json;
constexpr std::uint64_t kFirstRev = 1;

const char* word(Repeat repeat) {
    switch (repeat) {
        case Repeat::retryable: return "retryable";
        case Repeat::dedup: return "dedup";
        case Repeat::fragile: return "fragile";
    }
    return "?";
}
const char* word(Admission admission) {
    switch (admission) {
        case Admission::none: return "none";
        case Admission::share: return "share";
        case Admission::rate: return "rate";
    }
    return "?";
}
BoxState stateOf(ServerState state) {
    if (state == ServerState::ready) return BoxState::ready;
    return state == ServerState::draining ? BoxState::draining : BoxState::gone;
}
Micros bootOf(const emulator::Listed& listed, Micros base) {
    return listed.boot > 0 ? base + listed.boot : 0;
}

Json classOf(const ClassSettings& k) {
    Json out{{"name", k.name},    {"aimUs", k.latencyTarget}, {"giveUpUs", k.giveUp},
             {"points", k.worth}, {"lateWorth", k.lateWorth}, {"idempotency", word(k.repeat)}};
    Json zones = Json::array();
    for (std::uint32_t zone = 0; zone < 32; ++zone) {
        if (k.zones != ClassSettings{}.zones && (k.zones >> zone & 1U) != 0) zones.push_back(zone);
    }
    if (!zones.empty()) out["onlyZones"] = zones;
    return out;
}

Json targetsOf(const emulator::Scenario& s, const emulator::ListedNews& known, Micros base) {
    Json out = Json::array();
    for (const emulator::Listed& box : known.entries) {
        out.push_back({{"uid", emulator::uidOf(box.box)},
                       {"endpoint", "127.0.0.1:9"},
                       {"az", s.fleet.zones[box.zone]},
                       {"model", "m"},
                       {"pod_group", 0},
                       {"state", box.state == ServerState::draining ? "draining" : "ready"},
                       {"capacity_hint", 1.0},
                       {"boot_ms", bootOf(box, base) / kMs}});
    }
    return out;
}

std::size_t linesBetween(const View& before, const View& after) {
    std::size_t out = 0;
    for (const auto& [klass, view] : after) {
        const auto old = before.find(klass);
        const auto was = [&](const std::string& box) {
            if (old == before.end()) return 0.0F;
            const auto at = old->second.lines.find(box);
            return at == old->second.lines.end() ? 0.0F : at->second;
        };
        for (const auto& [box, weight] : view.lines) out += was(box) != weight ? 1 : 0;
        if (old == before.end()) continue;
        for (const auto& [box, weight] : old->second.lines) out += view.lines.count(box) == 0 ? 1 : 0;
        out += old->second.level == view.level ? 0 : 1;
    }
    return out;
}

}  // namespace

void RealTime::wait(Micros at) {
    if (!begun_) start_ = std::chrono::steady_clock::now() - std::chrono::microseconds{at};
    begun_ = true;
    const auto due = start_ + std::chrono::microseconds{at};
    const auto now = std::chrono::steady_clock::now();
    if (now < due) return std::this_thread::sleep_until(due);
    worst_ =
        std::max<Micros>(worst_, std::chrono::duration_cast<std::chrono::microseconds>(now - due).count());
}

std::string liveConfig(const emulator::Scenario& s, const emulator::Start& start,
                       const emulator::ListedNews& known, const LiveAddresses& at, Micros base) {
    const protocol::Config config = emulator::configOf(s, start.number, start.incarnation);
    const Settings& set = config.settings;
    Json classes = Json::array(), writers = Json::array(), bound = Json::array();
    for (const ClassSettings& k : set.classes) {
        classes.push_back(classOf(k));
        writers.push_back(k.writes);
        bound.push_back(k.ownZoneOnly);
    }
    char seed[17];
    std::snprintf(seed, sizeof seed, "%016llx", static_cast<unsigned long long>(set.seed));
    const Json out{{"name", config.name},
                   {"listen", at.listen},
                   {"discovery", at.discovery},
                   {"seed", seed},
                   {"limits", {{"cores", 1.0}, {"memory_mb", 192}, {"sockets", 4096}}},
                   {"relay", {{"address", at.relay}}},
                   {"known", {{"rev", kFirstRev}, {"all", true}, {"targets", targetsOf(s, known, base)}}},
                   {"settings",
                    {{"me", set.plannerIndex},
                     {"balancers", set.planners},
                     {"failureDomains", config.zones},
                     {"locality", config.zones[set.myZone]},
                     {"flavors", config.kinds},
                     {"membershipMode", "pushed"},
                     {"telemetry", {{"how", "probe"}, {"fields", set.loadFields}}},
                     {"limits", {{"probes", false}}},
                     {"rules",
                      {{"coldShare", set.coldShare},
                       {"warmUpUs", set.warmUp},
                       {"tipMultiple", set.tipMultiple},
                       {"fallUs", set.fallWithin},
                       {"stopSendingWithinUs", set.drainGrace}}},
                     {"extra",
                      {{"admission", word(set.admission)},
                       {"agents", set.proxies},
                       {"perTry", set.tryTimeoutFactor},
                       {"backlog", set.backlogLines},
                       {"envelope", set.envelopeLines},
                       {"pushRate", set.pushRate},
                       {"messagesMost", set.messagesMost},
                       {"messagesOverUs", set.messagesOver},
                       {"reportEveryUs", set.reportEvery},
                       {"reportsPerS", set.reportsPerS},
                       {"emptyForUs", set.emptyFor},
                       {"writers", writers},
                       {"zoneBound", bound}}},
                     {"categories", classes}}}};
    return out.dump();
}

LivePlanner::LivePlanner(LiveFront front, const emulator::Scenario& scenario, const emulator::Start& start,
                         const emulator::Outside::Numbers& numbers, const emulator::ListedNews& known,
                         Micros base)
    : front_(front),
      scenario_(scenario),
      numbers_(numbers),
      base_(base),
      listen_("127.0.0.1:" + std::to_string(freePort())),
      now_(start.now),
      channel_(scenario.planner.linesPerS, start.now) {
    for (const auto& k : scenario.classes) classes_.push_back(k.name);
    platform_ = std::make_unique<PlatformParty>(classes_, kFirstRev);
    const LiveAddresses at{listen_, platform_->discovery(), platform_->relay()};
    process_ =
        std::make_unique<PlannerProcess>(liveConfig(scenario, start, known, at, base),
                                         front == LiveFront::grpc ? "[grpc]\nlisten = 127.0.0.1:0\n" : "");
    platform_->awaitPlanner();
    if (front != LiveFront::grpc) return;
    grpc_ = std::make_unique<GrpcParty>(process_->grpcAddress(), classes_, [](int) { return 1; });
}

void LivePlanner::hear(const emulator::ListedNews& news, Micros) {
    std::vector<ListChange> changes;
    for (const emulator::Listed& box : news.entries) {
        ListChange& change = changes.emplace_back();
        change.box = emulator::uidOf(box.box);
        change.site = scenario_.fleet.zones[box.zone];
        change.state = stateOf(box.state);
        change.boot = bootOf(box, base_);
    }
    platform_->list(changes);
    ++events_;
}

void LivePlanner::joined(std::uint32_t relay, std::uint32_t zone, double rate, bool fresh) {
    siteOf_[relay] = scenario_.fleet.zones[zone];
    last_.erase(relay);
    const RelayHello hello{static_cast<int>(relay), siteOf_[relay], rate, fresh};
    if (grpc_) (void)grpc_->hello(hello);
    if (!grpc_) platform_->hello(hello);
    ++events_;
}

void LivePlanner::left(std::uint32_t relay) {
    siteOf_.erase(relay);
    if (grpc_) (void)grpc_->bye({static_cast<int>(relay)});
    if (!grpc_) platform_->bye(static_cast<int>(relay));
    ++events_;
}

void LivePlanner::answered(std::uint32_t relay, std::uint16_t mark, Micros took) {
    const RelayAck ack{static_cast<int>(relay), mark, took};
    if (grpc_) grpc_->ack(ack);
    if (!grpc_) platform_->ack(ack);
    ++events_;
}

SumRow LivePlanner::row(const emulator::SumRow& s, Micros over) const {
    return {scenario_.fleet.zones[s.zone],
            emulator::uidOf(s.box),
            s.tries,
            std::min(s.failed, s.tries),
            s.mean(),
            over,
            s.spoilt ? 3 : 0,
            0};
}

DemandRow LivePlanner::row(const emulator::DemandRow& d, Micros over) const {
    const auto site = siteOf_.find(d.relay);
    return {site == siteOf_.end() ? scenario_.fleet.zones[0] : site->second,
            static_cast<int>(d.relay),
            classes_[d.klass],
            d.came,
            d.failed,
            over,
            d.spoilt ? 3 : 0};
}

// Each site's collector tells its own.
void LivePlanner::hear(const std::vector<emulator::SumRow>& sums,
                       const std::vector<emulator::DemandRow>& demand, Micros over, Micros) {
    std::map<std::string, std::pair<std::vector<SumRow>, std::vector<DemandRow>>> bySite;
    for (const auto& s : sums) bySite[scenario_.fleet.zones[s.zone]].first.push_back(row(s, over));
    for (const auto& d : demand) {
        DemandRow mine = row(d, over);
        bySite[mine.site].second.push_back(std::move(mine));
    }
    for (const auto& [site, rows] : bySite) {
        if (grpc_) {
            grpc_->collect(site, rows.first, rows.second);
            continue;
        }
        std::vector<std::string> messages;
        for (const SumRow& s : rows.first) messages.push_back(PlatformParty::text(s));
        for (const DemandRow& d : rows.second) messages.push_back(PlatformParty::text(d));
        platform_->collect(site, listen_, messages);
    }
    events_ += sums.size() + demand.size();
}

std::shared_ptr<const emulator::Content> LivePlanner::content(const ClassView& view,
                                                              std::size_t klass) const {
    auto out = std::make_shared<emulator::Content>();
    std::map<emulator::BoxNumber, float> lines;
    for (const auto& [uid, weight] : view.lines) {
        const auto at = numbers_.find(uid);
        if (at != numbers_.end()) lines[at->second] = weight;
    }
    double sum = 0;
    for (const auto& [box, weight] : lines) {
        out->boxes.push_back(box);
        out->weights.push_back(weight);
        out->sums.push_back(sum += static_cast<double>(weight));
    }
    out->levels.resize(classes_.size());
    out->levels[klass] = {view.level.limit, static_cast<std::uint8_t>(view.level.retryMode)};
    return out;
}

emulator::Message LivePlanner::message(const Delivered& delivered) {
    emulator::Message out;
    out.relay = static_cast<std::uint32_t>(delivered.relay);
    out.view.byClass.resize(classes_.size());
    for (std::size_t k = 0; k < classes_.size(); ++k) {
        const auto view = delivered.view.find(classes_[k]);
        if (view != delivered.view.end()) out.view.byClass[k] = content(view->second, k);
    }
    emulator::Shut shut;
    for (const std::string& uid : delivered.shut) {
        const auto at = numbers_.find(uid);
        if (at != numbers_.end()) shut.insert(at->second);
    }
    out.view.shut = std::make_shared<const emulator::Shut>(std::move(shut));
    View& last = last_[out.relay];
    out.lines = static_cast<std::uint32_t>(std::llround(scenario_.planner.envelope)) +
                static_cast<std::uint32_t>(linesBetween(last, delivered.view));
    last = delivered.view;
    if (delivered.mark) out.mark = static_cast<std::uint16_t>(*delivered.mark);
    return out;
}

void LivePlanner::step(Micros now) {
    now_ = now;
    Turn turn;
    turn.events = std::exchange(events_, 0);
    for (const Delivered& d : grpc_ ? grpc_->take() : platform_->take()) {
        emulator::Message m = message(d);
        turn.lines += m.lines;
        ++turn.proxies;
        channel_.send(std::move(m), now);
    }
    if (turn.proxies > 0 || turn.events > 0) turn_ = turn;
}

std::optional<emulator::PlannerLink::Turn> LivePlanner::takeTurn() {
    return std::exchange(turn_, std::nullopt);
}

recovery::Handover LivePlanner::handOver(Micros) {
    throw std::runtime_error("a planner behind sockets keeps what it knows to itself");
}
void LivePlanner::recall(const recovery::Handover&, Micros, Micros) { (void)handOver(0); }

emulator::Outside overSockets(LiveFront front, RealTime& time) {
    emulator::Outside out;
    out.planner = [front, &time](const emulator::Scenario& s, const emulator::Start& start,
                                 const emulator::Outside::Numbers& numbers,
                                 const emulator::ListedNews& known) {
        return std::make_unique<LivePlanner>(front, s, start, numbers, known, time.base());
    };
    out.pace = [&time](Micros at) { time.wait(at); };
    return out;
}

}  // namespace marldale::standin
