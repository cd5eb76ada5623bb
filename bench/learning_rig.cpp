#include "learning_rig.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>

#include "marldale/relay_tables.h"
#include "recovery/codec.h"
#include "recovery/coordinator.h"
#include "scripted_planner.h"

namespace marldale::bench {
namespace {

using recovery::Coordinator;
using recovery::Handover;
using standin::kMs;
using standin::kSecond;
using standin::Micros;

constexpr Micros kFirstFail = 8 * kSecond, kFirstOver = 40 * kSecond, kThenFail = 50 * kSecond;
constexpr Micros kRestart = 90 * kSecond, kDown = kSecond, kUp = kRestart + kDown, kWatched = 10 * kSecond;
constexpr Micros kStep = 50 * kMs, kWindow = kSecond;
constexpr Micros kSnapshotAge = 7 * kSecond;  // between two snapshots of every 10 s
constexpr Micros kStale = 60 * kSecond;
constexpr Micros kListLate = 3 * kSecond;  // until the new planner has a list of its own
constexpr Micros kTransit = 5 * kMs;
constexpr Micros kClock = kSecond;  // of the planners when the script begins
constexpr int kVictim = 0, kDonor = 1;

std::vector<standin::Trouble> troublesOf(const LearningAsk& ask) {
    using Kind = standin::Trouble::Kind;
    std::vector<standin::Trouble> out;
    const int boxes = 3 * ask.boxesPerSite, failing = static_cast<int>(ask.failing * boxes);
    const int first = static_cast<int>(ask.seed * 7 % static_cast<std::uint64_t>(boxes));
    // Every fifth box or so; those that failed a minute before are others.
    const int apart = std::max(2, boxes / std::max(1, failing));
    for (int i = 0; i < failing; ++i) {
        out.push_back({Kind::failFast, kFirstFail, kFirstOver - kFirstFail, (first + 1 + i * apart) % boxes});
        out.push_back({Kind::failFast, kThenFail, 200 * kSecond, (first + i * apart) % boxes});
    }
    // Two boxes are released while the planner is away.
    for (int i = 0; i < 2; ++i) {
        out.push_back({Kind::replaceBox, kRestart - 300 * kMs, 0, (first + 2 + (3 + i) * apart) % boxes});
    }
    out.push_back({Kind::losePlanner, kRestart, kDown, kVictim});
    return out;
}

standin::WorldSettings settingsOf(const LearningAsk& ask) {
    standin::WorldSettings out;
    out.seed = ask.seed;
    out.boxesPerSite = ask.boxesPerSite;
    out.relaysPerSite = ask.relaysPerSite;
    out.requestsPerS = ask.requestsPerS;
    out.planners = 2;
    return out;
}

// One planner: the module behind its translator, what it remembers, and what its relays hold.
class Instance {
public:
    Instance(standin::World& world, int number, std::uint64_t incarnation, const protocol::Config& config,
             Micros now)
        : world_(world),
          number_(number),
          config_(config),
          memory_(settingsFor(number, incarnation), now),
          tables_(classesOf(world)) {
        routing::PlannerCore::Outlets outlets;
        outlets.call = [this](const routing::OrderCall& call, Micros) { apply(call.orders); };
        outlets.probe = [](ServerId, const std::string&) {};
        outlets.fetchList = [] {};
        outlets.startedOver = [] { throw std::runtime_error("the module failed"); };
        core_ = std::make_unique<routing::PlannerCore>(
            config_, routing::plannerOf(config_.settings), outlets, [](const char*, const std::string&) {},
            std::nullopt);
        hearList(config_.known, now);
        now_ = now;
        core_->begin(config_, kClock + now);
    }

    void hearList(const protocol::CatalogNews& news, Micros now) {
        if (news.whole) list_.clear();
        for (const auto& entry : news.entries) {
            if (entry.state == ServerState::gone) {
                list_.erase(entry.uid);
            } else {
                list_[entry.uid] = entry;
            }
        }
        rev_ = news.rev;
        std::map<std::string, recovery::Knowledge::ListedServer> all;
        for (const auto& [uid, e] : list_) all[uid] = {e.state, e.bootUs / 1000};
        memory_.updateServerList(rev_, all, now);
    }
    // Words of one moment, a list's among them or not, and the turn that follows.
    void moment(const std::vector<standin::Word>& words, const std::optional<protocol::CatalogNews>& list,
                Micros now) {
        now_ = now;
        std::vector<routing::Input> inputs;
        if (list) {
            hearList(*list, now);
            routing::ListInput input{*list, false};
            const auto held = memory_.knowledge().heldBack(now);
            for (auto& entry : input.news.entries) {
                if (entry.state == ServerState::ready && held.count(entry.uid) != 0) {
                    entry.state = ServerState::draining;
                }
            }
            inputs.emplace_back(std::move(input));
        }
        for (const auto& word : words) read(word, inputs);
        core_->step(inputs, kClock + now);
    }
    // What the memory has to tell goes to the module; counts what that is.
    void recall(Micros now, Learnt& out) {
        now_ = now;
        std::vector<routing::Input> inputs;
        const recovery::CoordinatorActions todo = memory_.due(now);
        routing::ListInput holds;
        holds.cached = true;
        holds.news.rev = rev_;
        for (const recovery::Hold& hold : todo.holds) {
            const auto at = list_.find(hold.server);
            if (at == list_.end()) continue;
            holds.news.entries.push_back(at->second);
            if (hold.held) holds.news.entries.back().state = ServerState::draining;
            out.heldBack += hold.held ? 1 : 0;
        }
        if (!holds.news.entries.empty()) inputs.emplace_back(std::move(holds));
        for (const auto& r : todo.sums) {
            protocol::Outcomes row;
            row.zone = r.zone;
            row.server = r.server;
            row.tries = static_cast<std::uint32_t>(r.tries);
            row.failed = std::min(row.tries, static_cast<std::uint32_t>(r.failed + 0.5));
            row.meanUs = row.failed < row.tries ? r.mean : 0;
            row.overUs = world_.settings().reportEvery;
            inputs.emplace_back(protocol::Report{row});
            ++out.recalled;
        }
        if (!inputs.empty()) core_->step(inputs, kClock + now);
    }
    Coordinator& memory() { return memory_; }
    [[nodiscard]] std::uint64_t badLines() const { return badLines_; }
    // Boxes that a donor's list has not ready: no relay may be given a line of them.
    void watchFor(std::set<std::string> boxes) { bad_ = std::move(boxes); }

private:
    static recovery::CoordinatorSettings settingsFor(int number, std::uint64_t incarnation) {
        recovery::CoordinatorSettings out;
        out.self = "n" + std::to_string(number);
        out.incarnation = incarnation;
        return out;
    }
    static std::vector<std::string> classesOf(const standin::World& world) {
        std::vector<std::string> out;
        for (const auto& k : world.settings().classes) out.push_back(k.name);
        return out;
    }
    void apply(const std::vector<std::string>& orders) {
        v1::Batch batch;
        batch.set_nonce(++nonce_);
        for (const std::string& order : orders) *batch.add_orders() = standin::readOrder(order);
        const auto outcome = tables_.apply(batch);
        for (const std::uint32_t relay : outcome.concerned) {
            const auto id = static_cast<int>(relay);
            standin::View view = standin::viewOf(tables_, id, classesOf(world_));
            for (const auto& [name, c] : view) {
                for (const auto& [box, weight] : c.lines) {
                    const bool bad = list_.count(box) == 0 || bad_.count(box) != 0;
                    if (tables_.shutOut().count(box) == 0 && bad) ++badLines_;
                }
            }
            std::optional<unsigned> mark;
            if (outcome.mark) mark = *outcome.mark;
            world_.message(id, std::move(view), tables_.shutOut(), mark, now_);
        }
    }
    void read(const standin::Word& word, std::vector<routing::Input>& inputs) {
        if (const auto* h = std::get_if<standin::RelayHello>(&word)) {
            tables_.join(static_cast<std::uint32_t>(h->relay));
            memory_.proxyJoined(static_cast<std::uint32_t>(h->relay), h->site);
            inputs.emplace_back(
                protocol::News{protocol::Hello{static_cast<ProxyId>(h->relay), h->site, h->rps, h->fresh}});
        } else if (const auto* b = std::get_if<standin::RelayBye>(&word)) {
            tables_.leave(static_cast<std::uint32_t>(b->relay));
            inputs.emplace_back(protocol::News{protocol::Bye{static_cast<ProxyId>(b->relay)}});
        } else if (const auto* a = std::get_if<standin::RelayAck>(&word)) {
            inputs.emplace_back(
                protocol::News{protocol::Ack{static_cast<ProxyId>(a->relay), a->mark, a->took}});
        } else if (const auto* s = std::get_if<standin::SumRow>(&word)) {
            const auto box = list_.find(s->box);
            if (box != list_.end()) {
                memory_.recordOutcomes(
                    {s->box, s->site, box->second.bootUs / 1000, s->tries, s->failed, s->mean}, now_);
            }
            protocol::Outcomes row;
            row.zone = s->site;
            row.server = s->box;
            row.tries = s->tries;
            row.failed = s->failed;
            row.meanUs = s->mean;
            row.overUs = s->over;
            inputs.emplace_back(protocol::Report{row});
        } else if (const auto* d = std::get_if<standin::DemandRow>(&word)) {
            protocol::Demand row;
            row.proxy = static_cast<std::uint16_t>(d->relay);
            row.klass = d->className;
            row.came = d->came;
            row.failed = d->failed;
            row.overUs = d->over;
            inputs.emplace_back(protocol::Report{row});
        }
    }

    standin::World& world_;
    const int number_;
    const protocol::Config config_;
    Coordinator memory_;
    client::RelayTables tables_;
    std::unique_ptr<routing::PlannerCore> core_;
    std::map<std::string, protocol::CatalogEntry> list_;
    std::uint64_t rev_ = 0, nonce_ = 0, badLines_ = 0;
    std::set<std::string> bad_;
    Micros now_ = 0;
};

// The list, as discovery tells it: every change is a version.
class Discovery {
public:
    explicit Discovery(protocol::CatalogNews known) : rev_(known.rev) {
        for (const auto& entry : known.entries) list_[entry.uid] = entry;
    }
    std::optional<protocol::CatalogNews> changed(const std::vector<standin::Word>& words) {
        protocol::CatalogNews out;
        for (const auto& word : words) {
            const auto* change = std::get_if<standin::ListChange>(&word);
            if (change == nullptr) continue;
            protocol::CatalogEntry entry;
            entry.uid = change->box;
            entry.endpoint = "127.0.0.1:9";
            entry.zone = change->site;
            entry.state = change->state == standin::BoxState::ready      ? ServerState::ready
                          : change->state == standin::BoxState::draining ? ServerState::draining
                                                                         : ServerState::gone;
            entry.bootUs = change->boot == 0 ? 0 : kClock + change->boot;
            out.entries.push_back(entry);
            if (entry.state == ServerState::gone) list_.erase(entry.uid);
            if (entry.state != ServerState::gone) list_[entry.uid] = entry;
        }
        if (out.entries.empty()) return std::nullopt;
        out.rev = ++rev_;
        return out;
    }
    [[nodiscard]] protocol::CatalogNews whole() const {
        protocol::CatalogNews out;
        out.rev = rev_;
        out.whole = true;
        for (const auto& [uid, entry] : list_) out.entries.push_back(entry);
        return out;
    }
    [[nodiscard]] std::set<std::string> notReady(const protocol::CatalogNews& of) const {
        std::set<std::string> out;
        for (const auto& entry : of.entries) {
            const auto at = list_.find(entry.uid);
            if (at == list_.end() || at->second.state != ServerState::ready) out.insert(entry.uid);
        }
        return out;
    }

private:
    std::map<std::string, protocol::CatalogEntry> list_;
    std::uint64_t rev_;
};

struct Share {
    std::uint64_t requests = 0, served = 0, failed = 0;
    explicit Share(const standin::WorldFigures& f)
        : requests(f.requests), served(f.served), failed(f.failed + f.unpicked) {}
    [[nodiscard]] double servedSince(const Share& before) const {
        return requests == before.requests ? 1
                                           : static_cast<double>(served - before.served) /
                                                 static_cast<double>(requests - before.requests);
    }
};

// Words of the relays that a planner has.
std::vector<standin::Word> wordsFor(const standin::World& world, int planner,
                                    const std::vector<standin::Word>& words) {
    std::vector<standin::Word> out;
    for (const auto& word : words) {
        const bool mine = std::visit(
            [&](const auto& w) {
                using W = std::decay_t<decltype(w)>;
                if constexpr (std::is_same_v<W, standin::ListChange>) return false;
                if constexpr (std::is_same_v<W, standin::SumRow>) return w.planner == planner;
                if constexpr (!std::is_same_v<W, standin::ListChange> && !std::is_same_v<W, standin::SumRow>)
                    return world.plannerOf(w.relay) == planner;
            },
            word);
        if (mine) out.push_back(word);
    }
    return out;
}

// The ten seconds after one start. The donor stands still meanwhile; its relays go on with what they hold.
Learnt watch(standin::World world, Discovery discovery, const protocol::Config& config, double steady,
             const std::optional<Handover>& told, Micros age) {
    Learnt out;
    for (Micros now = kRestart + kStep; now < kUp; now += kStep) (void)discovery.changed(world.advance(now));
    const Share before(world.figuresOf(kVictim));
    const std::uint64_t effectsBefore = world.figures().secondEffects;
    Instance victim(world, kVictim, 2, config, kUp);
    if (told) {
        std::string wrong;
        const std::string bytes = recovery::encode(*told);
        out.handedBytes = bytes.size();
        (void)victim.memory().mergeSnapshot(recovery::decode(bytes, wrong).value(), age, kUp);
        std::set<std::string> gone;
        for (const auto& fact : told->listed) {
            if (fact.state != ServerState::ready) gone.insert(fact.server);
        }
        victim.watchFor(gone);
    }
    std::deque<std::pair<Micros, Share>> past = {{kUp, before}};
    for (Micros now = kUp; now <= kUp + kWatched; now += kStep) {
        if (told) victim.recall(now, out);
        const auto words = world.advance(now);
        const auto news = discovery.changed(words);
        std::optional<protocol::CatalogNews> list;
        if (now >= kUp + kListLate) list = news;
        if (now == kUp + kListLate) list = discovery.whole();
        victim.moment(wordsFor(world, kVictim, words), list, now);
        past.emplace_back(now, world.figuresOf(kVictim));
        while (now - past.front().first > kWindow) past.pop_front();
        const double share = past.back().second.servedSince(past.front().second);
        if (now - kUp >= kWindow && share < 0.95 * steady) {
            out.goodAfterS = static_cast<double>(now - kUp) / kSecond;
        }
    }
    const Share after(world.figuresOf(kVictim));
    out.failed = static_cast<double>(after.failed - before.failed) /
                 static_cast<double>(after.requests - before.requests);
    out.served = after.servedSince(before);
    out.badLines = victim.badLines();
    out.secondEffects = world.figures().secondEffects - effectsBefore;
    return out;
}

}  // namespace

const char* name(Start start) {
    switch (start) {
        case Start::cold: return "cold";
        case Start::peer: return "warm, from a peer";
        case Start::snapshot: return "warm, from a snapshot";
        case Start::stalePeer: return "peer 60 s stale";
    }
    return "?";
}

LearntAll restarts(const LearningAsk& ask) {
    standin::World world(settingsOf(ask), troublesOf(ask));
    const protocol::Config config = protocol::parseConfig(configText(world, {"127.0.0.1:1", "127.0.0.1:2"}));
    Discovery discovery(config.known);
    Instance victim(world, kVictim, 1, config, 0), donor(world, kDonor, 1, config, 0);
    std::optional<Handover> stale, snapshot;
    LearntAll out;
    Share before(world.figuresOf(kVictim));
    for (Micros now = kStep; now <= kRestart; now += kStep) {
        const auto words = world.advance(now);
        const auto list = discovery.changed(words);
        victim.moment(wordsFor(world, kVictim, words), list, now);
        donor.moment(wordsFor(world, kDonor, words), list, now);
        if (now == kRestart - 10 * kSecond) before = Share(world.figuresOf(kVictim));
        if (now == kUp - kStale) stale = donor.memory().handOver(now);
        if (now == kUp - kSnapshotAge) snapshot = victim.memory().handOver(now);
    }
    out.steady = Share(world.figuresOf(kVictim)).servedSince(before);
    // The donor has heard of the releases by the time that it is asked.
    {
        standin::World later = world;
        Discovery then = discovery;
        for (Micros now = kRestart + kStep; now <= kUp; now += kStep) {
            if (const auto list = then.changed(later.advance(now))) donor.hearList(*list, now);
        }
    }
    const Handover peer = donor.memory().handOver(kUp);
    out.by[static_cast<int>(Start::cold)] = watch(world, discovery, config, out.steady, std::nullopt, 0);
    out.by[static_cast<int>(Start::peer)] = watch(world, discovery, config, out.steady, peer, kTransit);
    out.by[static_cast<int>(Start::snapshot)] =
        watch(world, discovery, config, out.steady, snapshot, kSnapshotAge);
    out.by[static_cast<int>(Start::stalePeer)] = watch(world, discovery, config, out.steady, stale, kStale);
    return out;
}

}  // namespace marldale::bench
