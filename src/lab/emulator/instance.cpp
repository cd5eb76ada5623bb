#include "emulator/instance.h"

#include <algorithm>
#include <cmath>

#include "emulator/baselines.h"

namespace marldale::emulator {
namespace {

constexpr const char* kLoadFields[] = {"inflight", "queue", "util", "latency_ms"};

ClassSettings classOf(const ScenarioClass& k, const Scenario& s) {
    ClassSettings out;
    out.name = k.name;
    out.latencyTarget = k.aim;
    out.giveUp = k.giveUp;
    out.worth = k.worth;
    out.lateWorth = k.lateWorth;
    out.repeat = k.repeat;
    out.writes = k.writes;
    out.ownZoneOnly = k.ownZoneOnly;
    if (!k.zones.empty()) {
        out.zones = 0;
        for (const std::string& zone : k.zones) out.zones |= 1U << s.zoneOf(zone);
    }
    return out;
}

}  // namespace

std::string uidOf(BoxNumber box) { return "b" + std::to_string(box); }

protocol::Config configOf(const Scenario& s, std::uint32_t number, std::uint64_t incarnation) {
    protocol::Config out;
    out.name = "n" + std::to_string(number);
    out.zones = s.fleet.zones;
    out.kinds = {"m"};
    Settings& set = out.settings;
    set.plannerIndex = number;
    set.planners = s.fleet.planners;
    set.seed = bytes::mixed(s.run.seed * 1000003 + number * 101 + incarnation);
    set.zones = static_cast<std::uint32_t>(s.fleet.zones.size());
    set.myZone = number % set.zones;
    set.proxies = s.fleet.relays;
    set.admission = s.planner.admission;
    set.pushRate = s.planner.linesPerS;
    set.backlogLines = s.planner.backlog;
    set.envelopeLines = s.planner.envelope;
    set.messagesMost = s.planner.messagesMost;
    set.messagesOver = s.planner.messagesOver;
    set.reportEvery = s.planner.reportEvery;
    set.reportsPerS = s.planner.reportsPerS;
    set.emptyFor = s.planner.emptyFor;
    set.drainGrace = s.planner.drainGrace;
    set.coldShare = s.box.coldSpeed;
    set.tipMultiple = s.box.tipMultiple;
    set.fallWithin = s.box.fallWithin;
    set.warmUp = s.box.warmUp;
    set.tryTimeoutFactor = 1;
    for (const ScenarioClass& k : s.classes) {
        set.classes.push_back(classOf(k, s));
        out.classes.push_back(k.name);
    }
    set.loadFields.assign(std::begin(kLoadFields), std::end(kLoadFields));
    return out;
}

Instance::Instance(const Scenario& scenario, const Start& start,
                   const std::unordered_map<std::string, BoxNumber>& numbers, const ListedNews& known)
    : scenario_(scenario),
      config_(configOf(scenario, start.number, start.incarnation)),
      skew_(start.skew),
      memory_(
          [&] {
              recovery::CoordinatorSettings out;
              out.self = config_.name;
              out.incarnation = start.incarnation;
              return out;
          }(),
          start.now),
      book_(scenario.classes.size(), scenario.planner.envelope, numbers),
      now_(start.now),
      channel_(scenario.planner.linesPerS, start.now) {
    routing::PlannerCore::Outlets outlets;
    outlets.orders = [this](const std::vector<protocol::Order>& orders,
                            const std::vector<ProxyId>& audience) { ordered(orders, audience); };
    outlets.probe = [](ServerId, const std::string&) {};
    outlets.fetchList = [] {};
    outlets.startedOver = [] { throw std::runtime_error("the module failed"); };
    const PolicyKind policy = scenario.planner.policy;
    core_ = std::make_unique<routing::PlannerCore>(
        config_,
        policy == PolicyKind::module ? routing::plannerOf(config_.settings)
                                     : baseline(policy, config_.settings),
        outlets, [](const char*, const std::string&) {}, std::nullopt);
    protocol::Config first = config_;
    first.known = catalog(known);
    tellMemory(first.known, start.now);
    core_->begin(first, mine(start.now));
}

protocol::CatalogNews Instance::catalog(const ListedNews& news) const {
    protocol::CatalogNews out;
    out.rev = news.version;
    out.whole = news.whole;
    for (const Listed& listed : news.entries) {
        protocol::CatalogEntry entry;
        entry.uid = uidOf(listed.box);
        entry.endpoint = "127.0.0.1:9";
        entry.zone = scenario_.fleet.zones[listed.zone];
        entry.kind = "m";
        entry.state = listed.state;
        entry.weight = listed.weight;
        entry.bootUs = listed.boot;
        out.entries.push_back(std::move(entry));
    }
    return out;
}

void Instance::tellMemory(const protocol::CatalogNews& news, Micros now) {
    if (news.whole) list_.clear();
    for (const auto& entry : news.entries) {
        if (entry.state == ServerState::gone) list_.erase(entry.uid);
        if (entry.state != ServerState::gone) list_[entry.uid] = entry;
    }
    version_ = news.rev;
    std::map<std::string, recovery::Knowledge::ListedServer> all;
    for (const auto& [uid, entry] : list_) all[uid] = {entry.state, entry.bootUs / 1000};
    memory_.updateServerList(version_, all, now);
}

void Instance::hear(const ListedNews& news, Micros now) {
    if (news.version <= version_) return;
    routing::ListInput input{catalog(news), false};
    tellMemory(input.news, now);
    const auto held = memory_.knowledge().heldBack(now);
    for (auto& entry : input.news.entries) {
        if (entry.state == ServerState::ready && held.count(entry.uid) != 0)
            entry.state = ServerState::draining;
    }
    inputs_.emplace_back(std::move(input));
}

void Instance::joined(std::uint32_t relay, std::uint32_t zone, double rate, bool fresh) {
    book_.joined(relay);
    memory_.proxyJoined(relay, scenario_.fleet.zones[zone]);
    inputs_.emplace_back(protocol::News{
        protocol::Hello{static_cast<ProxyId>(relay), scenario_.fleet.zones[zone], rate, fresh}});
}

void Instance::left(std::uint32_t relay) {
    book_.left(relay);
    memory_.proxyLeft(relay);
    inputs_.emplace_back(protocol::News{protocol::Bye{static_cast<ProxyId>(relay)}});
}

void Instance::answered(std::uint32_t relay, std::uint16_t mark, Micros took) {
    inputs_.emplace_back(protocol::News{protocol::Ack{static_cast<ProxyId>(relay), mark, took}});
}

void Instance::hear(const std::vector<SumRow>& sums, const std::vector<DemandRow>& demand, Micros over,
                    Micros now) {
    for (const SumRow& s : sums) {
        protocol::Outcomes row;
        row.zone = scenario_.fleet.zones[s.zone];
        row.server = s.spoilt ? "?" : uidOf(s.box);
        row.tries = s.tries;
        row.failed = std::min(s.failed, s.tries);
        row.meanUs = s.mean();
        row.overUs = over;
        const double values[] = {s.load.inflight, s.load.queue, s.load.util, s.load.latencyMs};
        for (std::size_t i = 0; i < std::size(values); ++i) row.load[kLoadFields[i]] = values[i];
        if (const auto box = list_.find(row.server); box != list_.end() && row.tries > 0) {
            memory_.recordOutcomes(
                {row.server, row.zone, box->second.bootUs / 1000, row.tries, row.failed, row.meanUs}, now);
        }
        inputs_.emplace_back(protocol::Report{std::move(row)});
    }
    for (const DemandRow& d : demand) {
        protocol::Demand row;
        row.proxy = static_cast<std::uint16_t>(d.spoilt ? 65535 : d.relay);
        row.klass = config_.classes[d.klass];
        row.came = d.came;
        row.failed = d.failed;
        row.overUs = over;
        inputs_.emplace_back(protocol::Report{std::move(row)});
    }
}

void Instance::recall(const recovery::Handover& handover, Micros age, Micros now) {
    (void)memory_.mergeSnapshot(handover, age, now);
    const recovery::CoordinatorActions todo = memory_.due(now);
    routing::ListInput holds;
    holds.cached = true;
    holds.news.rev = version_;
    for (const recovery::Hold& hold : todo.holds) {
        const auto at = list_.find(hold.server);
        if (at == list_.end()) continue;
        holds.news.entries.push_back(at->second);
        if (hold.held) holds.news.entries.back().state = ServerState::draining;
    }
    if (!holds.news.entries.empty()) inputs_.emplace_back(std::move(holds));
    for (const recovery::RecalledSum& r : todo.sums) {
        protocol::Outcomes row;
        row.zone = r.zone;
        row.server = r.server;
        row.tries = static_cast<std::uint32_t>(r.tries);
        row.failed = std::min(row.tries, static_cast<std::uint32_t>(r.failed + 0.5));
        row.meanUs = row.failed < row.tries ? r.mean : 0;
        row.overUs = scenario_.planner.reportEvery;
        inputs_.emplace_back(protocol::Report{std::move(row)});
    }
}

void Instance::treat(const std::vector<Listed>& boxes) {
    ListedNews news;
    news.version = version_;
    news.entries = boxes;
    routing::ListInput input{catalog(news), true};
    inputs_.emplace_back(std::move(input));
}

void Instance::ceiling(std::uint32_t zone, std::uint32_t klass, double share) {
    inputs_.emplace_back(
        routing::CeilingInput{scenario_.fleet.zones[zone], scenario_.classes[klass].name, share});
}

void Instance::step(Micros now) {
    now_ = now;
    const std::vector<routing::Input> inputs = std::exchange(inputs_, {});
    core_->step(inputs, mine(now));
    if (turn_) turn_->events = inputs.size();
}

std::optional<Micros> Instance::nextDue() const {
    const auto due = core_->nextDue();
    if (!due) return std::nullopt;
    return *due - skew_;
}

void Instance::ordered(const std::vector<protocol::Order>& orders, const std::vector<ProxyId>& audience) {
    Turn turn;
    turn.orders = orders.size();
    for (Message& message : book_.apply(orders, audience)) {
        turn.lines += message.lines;
        ++turn.proxies;
        channel_.send(std::move(message), now_);
    }
    turn_ = turn;
}

std::optional<Instance::Turn> Instance::takeTurn() { return std::exchange(turn_, std::nullopt); }

}  // namespace marldale::emulator
