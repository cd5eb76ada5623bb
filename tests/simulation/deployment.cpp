#include <algorithm>
#include <cstdio>
#include <cstdlib>

#include "deployment_machine.h"

namespace marldale::simulation {
namespace {

constexpr Micros kForming = 5 * kSecond, kTroubles = 24 * kSecond, kCalm = 11 * kSecond;
constexpr Micros kWatchEvery = 200 * kMillisecond;
constexpr std::size_t kSurvive = 1, kSeeds = 3;
constexpr std::uint64_t kEventsMost = 3000000;

// With replicas that derive it from `catchUp`, and with those that are told a span of silence.
template <typename Settings>
void replaceLostWithin(Settings& settings, Micros catchUp, bool never) {
    if constexpr (requires { settings.silentFor; }) {
        settings.silentFor = never ? 20 * kSecond : catchUp / 4;
    } else {
        settings.catchUp = catchUp;
        settings.faults.keepsSilentVoter = never;
    }
}

}  // namespace

void Figures::add(const Figures& other) {
    orders += other.orders, confirmed += other.confirmed, refused += other.refused;
    unclear += other.unclear, reads += other.reads, events += other.events;
    kills += other.kills, powerLosses += other.powerLosses, wipes += other.wipes;
    replacements += other.replacements, cuts += other.cuts;
    membershipChanges += other.membershipChanges;
}

Deployment::Deployment(const Plan& plan)
    : plan_(plan), random_(plan.seed), network_(scheduler_, random_), rules_(bounds_, scheduler_) {
    raft::setInvariantHandler([](const char* sentence) { throw RuleBroken(sentence); });
    const auto days = static_cast<std::uint64_t>(Day::count);
    const std::uint64_t drawnDay = random_.below(2 * days);
    day_ = plan.day.value_or(drawnDay < days ? static_cast<Day>(drawnDay) : Day::drawn);
    static constexpr std::size_t kSizes[] = {3, 3, 3, 4, 4, 5};
    const std::size_t size = kSizes[random_.below(std::size(kSizes))];
    for (std::size_t k = 0; k < size; ++k) {
        const NodeId node = add(Role::controller);
        if (k < kSeeds) {
            firstSeeds_.push_back(node);
            machines_[node]->disk.stored.self.set_number(0);
        }
    }
    for (int k = 0; k < 3; ++k) add(Role::proxy);
    for (int k = 0; k < 2; ++k) add(Role::operators);
    for (const auto& machine : machines_) {
        scheduler_.at(random_.between(0, 300 * kMillisecond), [this, id = machine->id] { start(id); });
    }
}
Deployment::~Deployment() = default;

std::string Deployment::description() const {
    return "seed " + std::to_string(plan_.seed) + ", " + nameOf(day_) + ", " +
           std::to_string(controllers().size()) + " controllers, at " +
           std::to_string(scheduler_.now() / kMillisecond) + " ms";
}

Figures Deployment::run() {
    calmAt_ = kForming + kTroubles;
    scheduleDay(*this, day_, kForming, calmAt_);
    scheduler_.at(calmAt_, [this] { beginCalm(); });
    scheduler_.at(kWatchEvery, [this] { watch(); });
    scheduler_.runUntil(calmAt_ + kCalm);
    finish();
    return figures_;
}

// ---- Machines ----

NodeId Deployment::add(Role role) {
    const NodeId node = machines_.size();
    machines_.push_back(std::make_unique<Machine>(*this, node, role));
    Machine& machine = *machines_.back();
    machine.thereSince = scheduler_.now();
    machine.disk.stored.self.set_address(addressOf(node));
    machine.disk.stored.self.set_number(1 + random_.draw() / 2);
    machine.disk.syncTime = random_.chance(0.15) ? random_.between(5, 60) * kMillisecond : 500;
    return node;
}

raft::Settings Deployment::raftSettings(NodeId node) {
    raft::Settings settings;
    settings.seed = random_.draw();
    settings.faults = plan_.faults.raft;
    // A later start may be told other seeds.
    auto seeds =
        machines_[node]->incarnation == 1 && node <= firstSeeds_.back() ? firstSeeds_ : listed(kSeedDelay);
    while (seeds.size() > kSeeds) seeds.erase(seeds.begin() + static_cast<int>(random_.below(seeds.size())));
    for (const NodeId seed : seeds) settings.seeds.push_back(addressOf(seed));
    replaceLostWithin(settings, bounds_.catchUp, plan_.faults.keepsLostMachine);
    return settings;
}

std::unique_ptr<Process> Deployment::makeProcess(NodeId node) {
    Machine& machine = *machines_[node];
    if (machine.role == Role::proxy) {
        rules_.proxyStarted(node);
        return std::make_unique<ProxyProcess>(
            machine, node, bounds_.settings(), plan_.faults,
            [this, node](const InForce& state) { rules_.inForce(node, state); });
    }
    if (machine.role == Role::operators)
        return std::make_unique<OperatorProcess>(machine, rules_, OperatorProcess::Pace{}, bounds_.confirm);
    ControllerProcess::Observer observer;
    observer.answers = [this, node](NodeId, const OrderAnswer& answer) {
        rules_.answered(node, answer.status);
        if (answer.status == Status::ok && answer.text.empty()) acknowledged(node, answer.status);
    };
    observer.serves = [this, node](NodeId to, const InForce& state) {
        if (!machines_[to]->up) return;
        const auto& proxy = static_cast<const ProxyProcess&>(*machines_[to]->process);
        if (proxy.bound() && proxy.controller() == node && proxy.held().index != state.index)
            rules_.served(node);
    };
    observer.applies = [this, node](const raft::proto::Entry& entry) {
        if (entry.has_members()) traceMembers(node, entry);
        rules_.applied(entry);
    };
    return std::make_unique<ControllerProcess>(machine, raftSettings(node), machine.disk.stored,
                                               bounds_.settings(), plan_.faults, std::move(observer));
}

void Deployment::start(NodeId node) {
    Machine& machine = *machines_[node];
    if (machine.up || !machine.there) return;
    ++machine.incarnation;
    machine.up = true;
    machine.frozenUntil = 0;
    if (machine.role != Role::operators) machine.clockOffset = random_.between(0, 1000 * kSecond);
    disturb(node, scheduler_.now());
    machine.process = makeProcess(node);
    trace(node, "starts");
    machine.process->start();
}

void Deployment::runOn(NodeId node, std::uint64_t incarnation, std::function<void()> action) {
    Machine& machine = *machines_[node];
    if (!machine.up || machine.incarnation != incarnation) return;
    if (scheduler_.now() >= machine.frozenUntil) return action();
    scheduler_.at(machine.frozenUntil, [this, node, incarnation, action = std::move(action)] {
        runOn(node, incarnation, action);
    });
}

void Deployment::send(NodeId from, NodeId to, Message message) {
    if (to >= machines_.size() || to == from || !machines_[to]->there) return;
    auto shared = std::make_shared<const Message>(std::move(message));
    network_.send(from, to, [this, from, to, shared] {
        const std::uint64_t incarnation = machines_[to]->incarnation;
        runOn(to, incarnation, [this, from, to, shared] { machines_[to]->process->receive(from, *shared); });
    });
}

void Deployment::write(NodeId node, raft::Write write) {
    Disk& disk = machines_[node]->disk;
    disk.queue.push_back(std::move(write));
    if (disk.queue.size() == 1) tryWrite(node);
}

void Deployment::tryWrite(NodeId node) {
    Machine& machine = *machines_[node];
    const Micros span = machine.disk.nextTry(scheduler_.now(), random_);
    scheduler_.after(span, [this, node, life = machine.incarnation] {
        Machine& same = *machines_[node];
        if (!same.up || same.incarnation != life) return;
        const std::uint64_t done = same.disk.sync(scheduler_.now());
        if (done == 0) {
            scheduler_.after(50 * kMillisecond, [this, node, life] {
                if (machines_[node]->up && machines_[node]->incarnation == life) tryWrite(node);
            });
            return;
        }
        if (!same.disk.queue.empty()) tryWrite(node);
        runOn(node, life, [this, node, done] { machines_[node]->process->written(done); });
    });
}

// ---- Views ----

std::vector<NodeId> Deployment::controllers() const {
    std::vector<NodeId> out;
    for (const auto& machine : machines_)
        if (machine->role == Role::controller && machine->there) out.push_back(machine->id);
    return out;
}
std::vector<NodeId> Deployment::proxies() const {
    std::vector<NodeId> out;
    for (const auto& machine : machines_)
        if (machine->role == Role::proxy) out.push_back(machine->id);
    return out;
}
std::vector<NodeId> Deployment::listed(Micros lag) const {
    const Micros when = std::max<Micros>(0, scheduler_.now() - lag);
    std::vector<NodeId> out;
    for (const auto& machine : machines_) {
        if (machine->role != Role::controller) continue;
        if (machine->thereSince <= when && (machine->there || machine->goneSince > when))
            out.push_back(machine->id);
    }
    return out;
}
const ControllerProcess* Deployment::controller(NodeId node) const {
    const Machine& machine = *machines_[node];
    if (machine.role != Role::controller || !machine.up) return nullptr;
    return static_cast<const ControllerProcess*>(machine.process.get());
}
std::optional<NodeId> Deployment::leader() const {
    std::optional<NodeId> best;
    raft::Term term = 0;
    for (const NodeId node : controllers()) {
        const ControllerProcess* process = controller(node);
        if (process == nullptr || !process->replica().leads() || process->replica().term() < term) continue;
        best = node;
        term = process->replica().term();
    }
    return best;
}
bool Deployment::mayLose(NodeId controller) const {
    const Micros now = scheduler_.now();
    if (now < catchUpBusyUntil_) return false;
    std::size_t lost = 0;
    for (const auto& machine : machines_)
        lost += machine->role == Role::controller && machine->id != controller && machine->lostUntil > now
                    ? 1
                    : 0;
    return lost < kSurvive;
}
void Deployment::lostUntil(NodeId controller, Micros when) {
    Machine& machine = *machines_[controller];
    machine.lostUntil = std::max(machine.lostUntil, when + bounds_.catchUp);
}

void Deployment::trace(NodeId node, const std::string& what) const {
    static const bool enabled = std::getenv("MARLDALE_SIMULATION_TRACE") != nullptr;
    if (!enabled) return;
    std::fprintf(stderr, "%9.4f n%zu %s", static_cast<double>(scheduler_.now()) * 1e-6, node, what.c_str());
    if (const ControllerProcess* process = controller(node))
        std::fprintf(stderr, "  [%sterm %lu, index %lu, %s]", process->replica().leads() ? "leads, " : "",
                     process->replica().term(), process->store().index(),
                     process->replica().votes() ? "votes" : "learns");
    std::fprintf(stderr, "\n");
}

void Deployment::traceMembers(NodeId node, const raft::proto::Entry& entry) const {
    std::string text = "applies members";
    for (const auto& voter : entry.members().voters()) text += " " + voter.address();
    if (entry.has_outgoing()) text += ", joint";
    trace(node, text);
}

// ---- Rules while the history goes on ----

void Deployment::disturb(NodeId node, Micros until) {
    const Role role = machines_[node]->role;
    if (role == Role::controller) rules_.coreEvent();
    if (role == Role::proxy) rules_.proxyTroubleUntil(node, until);
    if (until <= scheduler_.now() || role != Role::controller) return;
    scheduler_.at(until, [this] { rules_.coreEvent(); });
}

void Deployment::watch() {
    require(scheduler_.scheduled() < kEventsMost, "a storm of messages");
    for (const NodeId node : proxies()) {
        const Machine& machine = *machines_[node];
        if (!machine.up || scheduler_.now() < machine.frozenUntil) continue;
        const auto& proxy = static_cast<const ProxyProcess&>(*machine.process);
        rules_.checkProxy(node, proxy.held());
        if (proxy.bound()) rules_.bound(node, proxy.controller(), proxy.boundFor());
    }
    rules_.checkCalls();
    scheduler_.after(kWatchEvery, [this] { watch(); });
}

void Deployment::acknowledged(NodeId node, Status /*status*/) {
    if (herdAtAck_.armed) {
        herdAtAck_.armed = false;
        scheduler_.after(0, [this, herd = herdAtAck_] { this->herd(herd.power, herd.wipes); });
    }
    const auto at = wipeAtAck_.find(node);
    if (at == wipeAtAck_.end()) return;
    const Micros back = at->second;
    wipeAtAck_.erase(at);
    scheduler_.after(0, [this, node, back] {
        if (calm_ || !machines_[node]->up || !mayLose(node)) return;
        wipe(node);
        restartAfter(node, back);
    });
}

void Deployment::checkSuccessor(NodeId successor, NodeId gone, Micros started) {
    if (rules_.lastCoreEvent() > started || !machines_[successor]->up) return;
    const auto leading = leader();
    require(leading.has_value(), "nobody leads after a machine was replaced");
    bool votes = false, remains = false;
    for (const auto& voter : controller(*leading)->replica().members().voters()) {
        votes = votes || voter.address() == addressOf(successor);
        remains = remains || voter.address() == addressOf(gone);
    }
    require(!remains, "a machine that is gone is still a voter `catch_up` after its successor's start");
    // With an even number of machines one of them only learns.
    const std::size_t voters =
        static_cast<std::size_t>(controller(*leading)->replica().members().voters_size());
    require(votes || voters + 1 >= controllers().size(),
            "the successor of a machine that is gone does not vote within `catch_up` of its start");
}

void Deployment::checkTermKept(NodeId isolated, raft::Term term, Micros until) {
    const auto leading = leader();
    if (rules_.lastCoreEvent() > until || !leading || *leading == isolated) return;
    require(controller(*leading)->replica().term() == term, "a controller that returns disturbs the leader");
}

void Deployment::beginCalm() {
    calm_ = true;
    herdAtAck_ = {};
    wipeAtAck_.clear();
    network_.heal();
    rules_.coreEvent();
    for (const auto& machine : machines_) {
        if (machine->role == Role::proxy) rules_.proxyTroubleUntil(machine->id, scheduler_.now());
        machine->frozenUntil = std::min(machine->frozenUntil, scheduler_.now());
        machine->disk.hungUntil = machine->disk.fullUntil = 0;
        start(machine->id);
    }
    pace({300 * kMillisecond, 900 * kMillisecond});
    // The last orders have time to be answered.
    scheduler_.after(kCalm - 3 * kSecond, [this] {
        for (const auto& machine : machines_)
            if (machine->role == Role::operators)
                static_cast<OperatorProcess&>(*machine->process).stopOrdering();
    });
}

void Deployment::finish() {
    const auto leading = leader();
    require(leading.has_value(), "nobody leads at the end");
    const ControllerProcess& last = *controller(*leading);
    InForce state;
    state.version = last.store().configuration().version;
    state.text = last.store().json();
    state.emptiedZones = last.store().emptied();
    rules_.finish(state);
    for (const NodeId node : proxies()) {
        const auto& proxy = static_cast<const ProxyProcess&>(*machines_[node]->process);
        require(proxy.held().text == state.text && proxy.held().emptiedZones == state.emptiedZones,
                "a proxy does not have the newest configuration at the end");
    }
    for (const NodeId node : controllers())
        require(controller(node)->store().index() == last.store().index(),
                "a controller is behind at the end");
    for (const OperatorCall& call : rules_.calls()) {
        ++figures_.orders;
        figures_.reads += call.order.kind == Order::Kind::read ? 1 : 0;
        figures_.unclear += call.status ? 0 : 1;
        figures_.confirmed += call.status == Status::ok ? 1 : 0;
        figures_.refused += call.status && *call.status != Status::ok ? 1 : 0;
    }
    figures_.events = scheduler_.scheduled();
    figures_.membershipChanges = rules_.membershipChanges();
}

void Deployment::pace(OperatorProcess::Pace pace) {
    for (const auto& machine : machines_)
        if (machine->role == Role::operators && machine->up)
            static_cast<OperatorProcess&>(*machine->process).pace(pace);
}

}  // namespace marldale::simulation
