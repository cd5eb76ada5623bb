#include "emulator/emulation.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>

#include "emulator/instance.h"

namespace marldale::emulator {
namespace {

constexpr Micros kJoinSpread = 1000000;   // at the start
constexpr Micros kWarmStep = 500000;      // a cold box's speed is looked at
constexpr Micros kErrorTakes = 2000;      // a box that fails at once
constexpr Micros kMessageWaits = 200000;  // a message into a cut is tried again
constexpr Micros kSnapshotEvery = 10000000;
constexpr std::uint32_t kFromTrace = ~0U;
constexpr Micros kGather = 5000;    // as the planner on sockets does: what comes together is one turn
constexpr double kTokensMost = 10;  // of a relay's budget of repeats

}  // namespace

Emulation::Emulation(Scenario scenario, EventLog& log, Outside outside)
    : scenario_(std::move(scenario)),
      outside_(std::move(outside)),
      log_(log),
      arrivals_(scenario_),
      network_(scenario_.network, scenario_.run.seed),
      works_(scenario_.run.seed, "works"),
      chance_(scenario_.run.seed, "chance") {
    drawFaults();
    setUp();
}

void Emulation::log(Kind kind, std::uint32_t subject, std::uint32_t other, std::uint32_t klass, double value,
                    std::int64_t more) {
    Event event;
    event.at = now_;
    event.kind = kind;
    event.klass = static_cast<std::uint8_t>(klass);
    event.subject = subject;
    event.other = other;
    event.value = static_cast<float>(value);
    event.more = more;
    log_.add(event);
}

// ---- The start ----

void Emulation::setUp() {
    const FleetSettings& fleet = scenario_.fleet;
    const auto zones = static_cast<std::uint32_t>(fleet.zones.size());
    places_.resize(fleet.boxes);
    for (std::uint32_t place = 0; place < fleet.boxes; ++place) start(place, false);
    for (const auto& [box, listed] : list_) changes_.push_back(listed);
    planners_.resize(fleet.planners);
    for (std::uint32_t n = 0; n < fleet.planners; ++n) planners_[n].zone = n % zones;
    for (const Fault& f : scenario_.faults) {
        if (f.kind != FaultKind::clockSkew) continue;
        for (const std::uint32_t n : choose(f)) planners_[n].skew = std::llround(f.strength * 1000);
    }
    for (std::uint32_t n = 0; n < fleet.planners; ++n) startPlanner(n);
    for (std::uint32_t r = 0; r < fleet.relays; ++r) {
        RelayState& state = relays_.emplace_back(scenario_.relay, scenario_.planner.admission, r % zones,
                                                 scenario_.run.seed, r);
        state.came.resize(scenario_.classes.size());
        state.failed.resize(scenario_.classes.size());
        // Its own planner is one of its zone, if there is one.
        const auto mine = planners(r % zones);
        state.home = mine.empty() ? r % fleet.planners : mine[(r / zones) % mine.size()];
        View view;
        view.byClass.assign(scenario_.classes.size(), standing(r));
        view.shut = std::make_shared<const Shut>();
        state.relay.hold(std::move(view));
        logHolds(r);
        calendar_.enter(kJoinSpread * r / fleet.relays, Happening::relayDials, r);
    }
    if (arrivals_.fromTrace()) {
        traceArrival();
    } else if (scenario_.clients.users > 0) {
        for (std::uint32_t u = 1; u <= scenario_.clients.users; ++u) {
            const std::uint32_t r = u % fleet.relays;
            const Micros at = std::llround(scenario_.clients.think.draw(relays_[r].chance));
            calendar_.enter(at, Happening::arrival, r, u);
        }
    } else {
        for (std::uint32_t r = 0; r < fleet.relays; ++r) arrival(r, 0);
    }
    calendar_.enter(scenario_.planner.reportEvery, Happening::sumsDue);
    calendar_.enter(scenario_.box.loadEvery, Happening::loadDue);
    ongoing_.resize(scenario_.faults.size());
    for (std::uint32_t f = 0; f < scenario_.faults.size(); ++f) {
        calendar_.enter(scenario_.faults[f].at, Happening::faultBegins, f);
    }
}

std::shared_ptr<const Content> Emulation::standing(std::uint32_t relay) {
    auto out = std::make_shared<Content>();
    std::vector<BoxNumber> mine;
    for (const auto& [box, listed] : list_) {
        if (listed.zone == relays_[relay].relay.zone()) mine.push_back(box);
    }
    if (mine.empty()) {
        for (const auto& [box, listed] : list_) mine.push_back(box);
    }
    Stream draw(scenario_.run.seed, "standing", relay);
    for (std::size_t i = mine.size(); i > 1; --i) {
        std::swap(mine[i - 1], mine[draw.below(static_cast<std::uint32_t>(i))]);
    }
    if (mine.size() > scenario_.fleet.standing) mine.resize(scenario_.fleet.standing);
    std::sort(mine.begin(), mine.end());
    double sum = 0;
    for (const BoxNumber box : mine) {
        out->boxes.push_back(box);
        out->weights.push_back(1);
        out->sums.push_back(sum += 1);
    }
    out->levels.resize(scenario_.classes.size());
    return out;
}

void Emulation::run() {
    while (!calendar_.empty() && calendar_.next() <= scenario_.run.duration) {
        const Entry entry = calendar_.take();
        if (outside_.pace) outside_.pace(entry.at);
        now_ = entry.at;
        handle(entry);
    }
    now_ = scenario_.run.duration;
}

void Emulation::handle(const Entry& e) {
    switch (e.what) {
        case Happening::arrival:
            if (e.a == kFromTrace) return traceArrival();
            if (e.b == ~0U) return arrival(e.a, 0);  // a look without a request
            wish(e.a, arrivals_.klass(e.a), e.b, std::nullopt);
            if (e.b == 0) arrival(e.a, 0);
            return;
        case Happening::atBox: return atBox(e.a);
        case Happening::boxDone: return boxDone(e.a, e.b);
        case Happening::boxSpeed:
            boxes_[e.a].speedChanged(now_);
            reschedule(e.a);
            if (boxes_[e.a].cold(now_) && boxes_[e.a].answers()) {
                calendar_.enter(now_ + kWarmStep, Happening::boxSpeed, e.a);
            }
            return;
        case Happening::answer: return ended(e.a, static_cast<Outcome>(e.b));
        case Happening::tryOver: return tryOver(e.a);
        case Happening::wishOver: {
            Wish* w = wishes_.find(e.a);
            if (w != nullptr && !w->done) done(e.a, End::gaveUp);
            return;
        }
        case Happening::repeat: {
            Wish* w = wishes_.find(e.a);
            if (w == nullptr || w->done) return;
            log(Kind::wish, e.a, w->relay, w->klass, w->repeats);
            return ask(e.a);
        }
        case Happening::relayDials: return dial(e.a);
        case Happening::relayNotices: return notice(e.a);
        case Happening::message: return message(e.b);
        case Happening::listTold: return listTold(e.a, e.b);
        case Happening::sumsDue: return sumsDue();
        case Happening::sumsTold: return sumsTold(e.a, e.b);
        case Happening::loadDue:
            for (Box& box : boxes_) {
                if (box.answers()) box.refreshLoad(now_);
            }
            calendar_.enter(now_ + scenario_.box.loadEvery, Happening::loadDue);
            return;
        case Happening::step:
        case Happening::timer: return step(e.a);
        case Happening::mark: {
            const Mark& m = marks_[e.b];
            RelayState& r = relays_[m.relay];
            Planner& p = planners_[e.a];
            if (!p.instance || r.epoch != m.epoch || r.instance != static_cast<std::int32_t>(e.a)) return;
            p.instance->answered(m.relay, m.mark, m.took);
            return stepSoon(e.a, now_ + kGather);
        }
        case Happening::faultBegins: return faultBegins(e.a);
        case Happening::faultEnds: return faultEnds(e.a);
        case Happening::faultGoesOn: return faultGoesOn(e.a, e.b);
        case Happening::drained: {
            const BoxNumber box = places_[e.a];
            if (boxes_[box].state() == BoxState::draining) replace(e.a);
            return;
        }
        case Happening::window: return;
    }
}

// ---- Requests ----

void Emulation::arrival(std::uint32_t relay, std::uint32_t /*user*/) {
    const Arrivals::Next next = arrivals_.next(relay, now_);
    calendar_.enter(next.at, Happening::arrival, relay, next.comes ? 0 : ~0U);
}

void Emulation::traceArrival() {
    // The one that was waited for comes, and the next is read.
    static constexpr std::uint32_t kOpen = 0;
    const auto next = arrivals_.recorded();
    if (!next) return;
    if (next->at > now_) {
        calendar_.enter(next->at, Happening::arrival, kFromTrace);
        wish(next->relay, next->klass, kOpen, std::nullopt);
        return;
    }
    wish(next->relay, next->klass, kOpen, std::nullopt);
    calendar_.enter(now_, Happening::arrival, kFromTrace);
}

void Emulation::wish(std::uint32_t relay, std::uint32_t klass, std::uint32_t user,
                     std::optional<double> work) {
    const ScenarioClass& k = scenario_.classes[klass];
    Wish w;
    w.relay = relay;
    w.klass = klass;
    w.user = user;
    w.work = work.value_or(k.work.draw(works_));
    w.born = now_;
    const std::uint32_t number = wishes_.add(w);
    RelayState& r = relays_[relay];
    r.repeatTokens = std::min(kTokensMost, r.repeatTokens + scenario_.clients.repeatBudget);
    log(Kind::wish, number, relay, klass, 0);
    calendar_.enter(now_ + k.giveUp, Happening::wishOver, number);
    ask(number);
}

void Emulation::ask(std::uint32_t number) {
    Wish& w = *wishes_.find(number);
    RelayState& r = relays_[w.relay];
    ++r.came[w.klass];
    if (!r.relay.admits(w.klass, now_)) {
        log(Kind::refused, number, w.relay, w.klass);
        return clientFailed(number, End::refused);
    }
    begin(number, std::nullopt, false);
}

// With full sight: the ready box that would answer first, wherever it is.
std::optional<BoxNumber> Emulation::bestBox(const RelayState& r, std::uint32_t klass) const {
    const ScenarioClass& k = scenario_.classes[klass];
    std::optional<BoxNumber> best;
    double least = 0;
    for (const BoxNumber box : places_) {
        const Box& b = boxes_[box];
        const bool sound = b.takes() && b.troubles.silent == 0 && b.troubles.vanished == 0 &&
                           b.troubles.paused == 0 && b.troubles.halfway == 0 && b.troubles.errors == 0;
        if (!sound || network_.isCut(r.relay.zone(), b.zone())) continue;
        if (k.ownZoneOnly && b.zone() != r.relay.zone()) continue;
        const bool open = k.zones.empty() || std::find(k.zones.begin(), k.zones.end(),
                                                       scenario_.fleet.zones[b.zone()]) != k.zones.end();
        if (!open) continue;
        const double time = (b.workLeft() + k.work.mean()) / b.capacity(now_) +
                            (b.zone() == r.relay.zone() ? 0 : 2 * scenario_.network.between);
        if (best && time >= least) continue;
        best = box;
        least = time;
    }
    return best;
}

void Emulation::begin(std::uint32_t number, std::optional<BoxNumber> but, bool byRelay) {
    Wish& w = *wishes_.find(number);
    RelayState& r = relays_[w.relay];
    const ScenarioClass& k = scenario_.classes[w.klass];
    const auto box = scenario_.planner.policy == PolicyKind::fullSight ? bestBox(r, w.klass)
                                                                       : r.relay.pick(w.klass, but, now_);
    if (!box) {
        log(Kind::unpicked, number, w.relay, w.klass);
        if (!byRelay) ++r.failed[w.klass];
        return clientFailed(number, End::unpicked);
    }
    Try t;
    t.wish = number;
    t.relay = w.relay;
    t.klass = w.klass;
    t.box = *box;
    t.begun = now_;
    t.work = w.work;
    t.instance = r.instance;
    t.newConnection = r.relay.begins(*box, now_);
    const std::uint32_t attempt = tries_.add(t);
    ++w.running;
    log(Kind::tried, attempt, *box, w.klass, byRelay ? 1 : 0, number);
    const auto way = network_.way(r.relay.zone(), boxes_[*box].zone());
    const Micros stall = std::max<Micros>(0, r.relay.busyUntil - now_);
    if (way) calendar_.enter(now_ + stall + *way * (t.newConnection ? 3 : 1), Happening::atBox, attempt);
    if (!way) lose(*tries_.find(attempt));
    const auto time = static_cast<Micros>(scenario_.clients.tryTime * static_cast<double>(k.giveUp));
    calendar_.enter(std::min(now_ + time, w.born + k.giveUp), Happening::tryOver, attempt);
}

void Emulation::lose(Try& attempt) { attempt.gone = true; }

void Emulation::answer(std::uint32_t attempt, Outcome outcome, Micros after) {
    Try& t = *tries_.find(attempt);
    const auto way = network_.way(boxes_[t.box].zone(), relays_[t.relay].relay.zone());
    if (!way) return lose(t);
    calendar_.enter(now_ + after + *way, Happening::answer, attempt, static_cast<std::uint32_t>(outcome));
}

void Emulation::atBox(std::uint32_t attempt) {
    Try* t = tries_.find(attempt);
    if (t == nullptr) return;
    Box& box = boxes_[t->box];
    if (box.troubles.vanished > 0 || network_.isCut(relays_[t->relay].relay.zone(), box.zone()))
        return lose(*t);
    if (t->ended) return lose(*t);  // the client hung up before it arrived
    const ScenarioClass& k = scenario_.classes[t->klass];
    if (box.answers() && chance_.chance(box.troubles.errors))
        return answer(attempt, Outcome::failed, kErrorTakes);
    const bool stood = !box.fellOver();
    const auto turned = box.offer({attempt, t->work, now_, k.writes}, t->newConnection, now_);
    if (stood && box.fellOver()) fall(t->box);
    if (turned) {
        log(Kind::turnedAway, attempt, t->box, t->klass, static_cast<double>(*turned));
        reschedule(t->box);
        return answer(attempt, Outcome::unrun, 0);
    }
    log(Kind::took, attempt, t->box, t->klass, static_cast<double>(box.jobs()));
    if (box.troubles.halfway > 0 && k.writes) {
        // It stops in the middle: whether the effect stands is a matter of luck, and nobody is told.
        box.troubles.halfway = 0;
        if (chance_.chance(0.5)) log(Kind::effect, t->wish, t->box, t->klass, 0, attempt);
        return stopBox(t->box, true);
    }
    reschedule(t->box);
}

void Emulation::boxDone(BoxNumber number, std::uint32_t generation) {
    Box& box = boxes_[number];
    if (box.generation() != generation) return;
    for (const Box::Job& job : box.done(now_)) {
        Try* t = tries_.find(job.attempt);
        if (t == nullptr) continue;
        if (job.effect) log(Kind::effect, t->wish, number, t->klass, 0, job.attempt);
        if (chance_.chance(box.troubles.lost)) {
            lose(*t);
        } else {
            answer(job.attempt, Outcome::served, 0);
        }
    }
    reschedule(number);
}

void Emulation::reschedule(BoxNumber number) {
    const Box& box = boxes_[number];
    if (const auto at = box.nextDone(now_))
        calendar_.enter(*at, Happening::boxDone, number, box.generation());
}

void Emulation::tryOver(std::uint32_t attempt) {
    Try* t = tries_.find(attempt);
    if (t == nullptr || t->ended) return;
    // What still waits at the box goes with its connection; what runs there runs on.
    if (boxes_[t->box].cancel(attempt, now_)) t->gone = true;
    reschedule(t->box);
    ended(attempt, Outcome::timeout);
}

void Emulation::ended(std::uint32_t attempt, Outcome outcome) {
    Try* t = tries_.find(attempt);
    if (t == nullptr) return;
    if (outcome != Outcome::timeout) t->gone = true;
    if (t->ended) return tries_.forgetDone();  // an answer that came too late
    t->ended = true;
    RelayState& r = relays_[t->relay];
    const bool failed = outcome != Outcome::served;
    r.relay.ended(t->box, failed && outcome != Outcome::cancelled, now_);
    log(Kind::answered, attempt, t->box, t->klass, static_cast<double>(outcome));
    if (t->instance >= 0 && outcome != Outcome::cancelled) {
        SumRow& sum = planners_[static_cast<std::size_t>(t->instance)].sums[{r.relay.zone(), t->box}];
        ++sum.tries;
        sum.failed += failed ? 1 : 0;
        if (!failed) {
            sum.time += static_cast<double>(now_ - t->begun);
            sum.load = boxes_[t->box].load();
        }
    }
    const std::uint32_t number = t->wish;
    const BoxNumber box = t->box;
    Wish& w = *wishes_.find(number);
    --w.running;
    if (!w.done && outcome != Outcome::cancelled) {
        const ScenarioClass& k = scenario_.classes[w.klass];
        if (!failed) {
            done(number, now_ - w.born <= k.aim ? End::inTime : End::late);
        } else {
            const std::uint8_t mode = r.relay.retryMode(w.klass);
            const bool proof = outcome == Outcome::unrun;
            const bool may = mode >= 1 && (proof || (mode >= 2 && k.repeat == Repeat::retryable));
            if (may && w.relayRetries == 0) {
                ++w.relayRetries;
                begin(number, box, true);
            } else {
                ++r.failed[w.klass];
                clientFailed(number, End::failed);
            }
        }
    }
    tries_.forgetDone();
    wishes_.forgetDone();
}

// What comes now is the relay's final answer; the client may ask again by itself.
void Emulation::clientFailed(std::uint32_t number, End end) {
    Wish& w = *wishes_.find(number);
    if (w.done) return;
    RelayState& r = relays_[w.relay];
    const ScenarioClass& k = scenario_.classes[w.klass];
    if (k.repeat != Repeat::fragile && w.repeats < scenario_.clients.repeats && r.repeatTokens >= 1) {
        const Micros at =
            now_ + std::max<Micros>(1, std::llround(scenario_.clients.repeatAfter.draw(r.chance)));
        if (at < w.born + k.giveUp) {
            r.repeatTokens -= 1;
            ++w.repeats;
            w.relayRetries = 0;
            calendar_.enter(at, Happening::repeat, number);
            return;
        }
    }
    done(number, end);
}

void Emulation::done(std::uint32_t number, End end) {
    Wish& w = *wishes_.find(number);
    w.done = true;
    ++wishesDone_;
    log(Kind::wishDone, number, w.relay, w.klass, static_cast<double>(end), now_ - w.born);
    if (w.user == 0) return;
    const Micros think = std::llround(scenario_.clients.think.draw(relays_[w.relay].chance));
    calendar_.enter(now_ + std::max<Micros>(1, think), Happening::arrival, w.relay, w.user);
}

// ---- Boxes and the list ----

BoxNumber Emulation::start(std::uint32_t place, bool cold) {
    const auto number = static_cast<BoxNumber>(boxes_.size());
    const auto zone = place % static_cast<std::uint32_t>(scenario_.fleet.zones.size());
    boxes_.emplace_back(scenario_.box, zone, place, now_, cold, scenario_.run.seed, number);
    places_[place] = number;
    numbers_[uidOf(number)] = number;
    log(Kind::born, number, zone, 0, cold ? 1 : 0, place);
    list(number, ServerState::ready);
    if (cold) calendar_.enter(now_ + kWarmStep, Happening::boxSpeed, number);
    return number;
}

void Emulation::changeState(BoxNumber box, BoxState state) {
    boxes_[box].set(state, now_);
    log(Kind::state, box, 0, 0, static_cast<double>(state));
}

// Its connections end: with a reset where a process dies, without a word where a machine vanishes.
void Emulation::stopBox(BoxNumber number, bool resets) {
    for (const Box::Job& job : boxes_[number].stop(now_)) {
        Try* t = tries_.find(job.attempt);
        if (t == nullptr) continue;
        resets ? answer(job.attempt, Outcome::failed, 0) : lose(*t);
    }
    changeState(number, BoxState::gone);
    for (RelayState& r : relays_) r.relay.connectionLost(number);
    list(number, ServerState::gone);
}

void Emulation::replace(std::uint32_t place) {
    stopBox(places_[place], true);
    start(place, true);
}

// It stays down: whoever watches processes starts another one in its place, later.
void Emulation::fall(BoxNumber number) {
    log(Kind::fell, number);
    for (const Box::Job& job : boxes_[number].stop(now_)) answer(job.attempt, Outcome::failed, 0);
    log(Kind::state, number, 0, 0, static_cast<double>(BoxState::fallen));
    list(number, ServerState::gone);
}

void Emulation::list(BoxNumber box, ServerState state) {
    Listed listed{box, boxes_[box].zone(), state, boxes_[box].boot()};
    if (state == ServerState::gone) list_.erase(box);
    if (state != ServerState::gone) list_[box] = listed;
    if (planners_.empty()) return;  // before the start
    changes_.push_back(listed);
    if (listOutages_ > 0) return;
    for (std::uint32_t n = 0; n < planners_.size(); ++n) tellList(n);
}

void Emulation::tellList(std::uint32_t instance) {
    const double late = static_cast<double>(scenario_.planner.listLate) * chance_.uniform(0.75, 1.25);
    calendar_.enter(now_ + std::llround(late), Happening::listTold, instance,
                    static_cast<std::uint32_t>(changes_.size()));
}

ListedNews Emulation::whole() const {
    ListedNews out;
    out.version = changes_.size();
    out.whole = true;
    for (const auto& [box, listed] : list_) out.entries.push_back(listed);
    return out;
}

// What has changed since it was told last, up to this version.
void Emulation::listTold(std::uint32_t instance, std::uint64_t version) {
    Planner& p = planners_[instance];
    if (!p.instance || version <= p.told || listOutages_ > 0) return;
    ListedNews news;
    news.version = version;
    std::map<BoxNumber, Listed> last;
    for (std::uint64_t v = p.told; v < version; ++v) last[changes_[v].box] = changes_[v];
    for (const auto& [box, listed] : last) {
        news.entries.push_back(listed);
        log(Kind::listed, instance, box, static_cast<std::uint32_t>(listed.state), listed.zone, listed.boot);
    }
    p.told = version;
    p.instance->hear(news, now_);
    stepSoon(instance, now_ + kGather);
}

// ---- Relays and planners ----

std::vector<std::uint32_t> Emulation::planners(std::uint32_t zone) const {
    std::vector<std::uint32_t> out;
    for (std::uint32_t n = 0; n < planners_.size(); ++n) {
        if (planners_[n].zone == zone) out.push_back(n);
    }
    return out;
}

void Emulation::startPlanner(std::uint32_t number) {
    Planner& p = planners_[number];
    ++p.incarnation;
    p.told = changes_.size();
    p.sums.clear();
    p.stepAt = -1;
    const ListedNews known = whole();
    const Start start{number, p.incarnation, now_, p.skew};
    p.instance = outside_.planner ? outside_.planner(scenario_, start, numbers_, known)
                                  : std::make_unique<Instance>(scenario_, start, numbers_, known);
    p.instance->channel().setPace(scenario_.planner.linesPerS / slowChannel_);
    log(Kind::planner, number, 0, 0, 1, static_cast<std::int64_t>(p.incarnation));
    for (const Listed& listed : known.entries) {
        log(Kind::listed, number, listed.box, static_cast<std::uint32_t>(listed.state), listed.zone,
            listed.boot);
    }
    if (scenario_.planner.learn == Learn::snapshot && p.snapshot) {
        p.instance->recall(*p.snapshot, now_ - p.snapshotAt, now_);
    }
    if (scenario_.planner.learn == Learn::peer && p.incarnation > 1) {
        for (std::uint32_t other = 0; other < planners_.size(); ++other) {
            if (other != number && planners_[other].instance) {
                p.instance->recall(planners_[other].instance->handOver(now_), 1000, now_);
            }
        }
    }
    stepSoon(number, now_);
}

void Emulation::stopPlanner(std::uint32_t number) {
    Planner& p = planners_[number];
    if (!p.instance) return;
    p.instance.reset();
    log(Kind::planner, number, 0, 0, 0);
    for (std::uint32_t r = 0; r < relays_.size(); ++r) {
        if (relays_[r].instance == static_cast<std::int32_t>(number)) loseStream(r, true);
    }
}

void Emulation::dial(std::uint32_t number) {
    RelayState& r = relays_[number];
    if (r.instance >= 0) return;
    // Its own planner first, then the others of its zone, then any, from a place of its own.
    std::vector<std::uint32_t> order = {r.home};
    for (const std::uint32_t n : planners(r.relay.zone())) order.push_back(n);
    for (std::uint32_t i = 0; i < planners_.size(); ++i) {
        order.push_back((number + i) % static_cast<std::uint32_t>(planners_.size()));
    }
    for (const std::uint32_t n : order) {
        Planner& p = planners_[n];
        if (!p.instance || now_ < p.pausedUntil || network_.isCut(r.relay.zone(), p.zone)) continue;
        r.instance = static_cast<std::int32_t>(n);
        ++r.epoch;
        log(Kind::joined, number, n, 0, r.relay.fresh() ? 1 : 0);
        p.instance->joined(number, r.relay.zone(), arrivals_.usual(number), r.epoch == 1);
        return stepSoon(n, now_ + kGather);
    }
    const auto wait = std::llround(r.chance.uniform(static_cast<double>(scenario_.planner.redialLeast),
                                                    static_cast<double>(scenario_.planner.redialMost)));
    calendar_.enter(now_ + wait, Happening::relayDials, number);
}

void Emulation::loseStream(std::uint32_t number, bool redials) {
    RelayState& r = relays_[number];
    if (r.instance < 0) return;
    const auto n = static_cast<std::uint32_t>(r.instance);
    log(Kind::left, number, n);
    if (planners_[n].instance) {
        planners_[n].instance->left(number);
        stepSoon(n, now_ + kGather);
    }
    r.instance = -1;
    ++r.epoch;
    if (!redials) return;
    const auto wait = std::llround(r.chance.uniform(static_cast<double>(scenario_.planner.redialLeast),
                                                    static_cast<double>(scenario_.planner.redialMost)));
    calendar_.enter(now_ + wait, Happening::relayDials, number);
}

// A stream into a cut is dead once it was silent for long enough; one whose cut has ended goes on.
void Emulation::notice(std::uint32_t number) {
    const RelayState& r = relays_[number];
    if (r.instance < 0) return;
    if (network_.isCut(r.relay.zone(), planners_[static_cast<std::size_t>(r.instance)].zone)) {
        loseStream(number, true);
    }
}

void Emulation::stepSoon(std::uint32_t number, Micros at) {
    Planner& p = planners_[number];
    const Micros when = std::max({at, p.pausedUntil, now_});
    if (p.stepAt >= 0 && p.stepAt <= when) return;
    p.stepAt = when;
    calendar_.enter(when, Happening::step, number);
}

void Emulation::step(std::uint32_t number) {
    Planner& p = planners_[number];
    if (!p.instance || p.stepAt != now_) return;  // an earlier one has taken its place
    if (now_ < p.pausedUntil) {
        p.stepAt = -1;
        return stepSoon(number, p.pausedUntil);
    }
    p.stepAt = -1;
    p.instance->step(now_);
    if (const auto turn = p.instance->takeTurn()) {
        log(Kind::turn, number, static_cast<std::uint32_t>(turn->orders), 0,
            static_cast<double>(turn->events));
        log(Kind::ordered, number, static_cast<std::uint32_t>(turn->proxies), 0, turn->lines);
        log(Kind::queued, number, 0, 0, p.instance->channel().waiting(now_));
    }
    for (Sent& sent : p.instance->channel().takeSent()) {
        const std::uint32_t relay = sent.message.relay;
        const Micros way =
            std::llround(relays_[relay].chance.uniform(static_cast<double>(scenario_.planner.messageLeast),
                                                       static_cast<double>(scenario_.planner.messageMost)));
        log(Kind::messaged, relay, number, 0, sent.message.lines);
        const std::uint32_t m = messages_.add({number, relays_[relay].epoch, std::move(sent.message)});
        calendar_.enter(sent.at + way, Happening::message, relay, m);
    }
    if (const auto due = p.instance->nextDue()) stepSoon(number, *due);
}

// Messages of one planner reach a relay in their order: what comes later waits for what is on its way.
void Emulation::message(std::uint32_t number) {
    OnItsWay* m = messages_.find(number);
    if (m == nullptr || m->arrived) return;
    RelayState& r = relays_[m->message.relay];
    const bool alive = r.epoch == m->epoch && planners_[m->instance].instance;
    if (alive && network_.isCut(r.relay.zone(), planners_[m->instance].zone)) {
        calendar_.enter(now_ + kMessageWaits, Happening::message, m->message.relay, number);
        return;
    }
    const Micros free = std::max(now_, r.relay.busyUntil);
    if (alive && free > now_) {
        calendar_.enter(free, Happening::message, m->message.relay, number);
        return;
    }
    m->arrived = true;
    if (alive) {
        const std::uint32_t relay = m->message.relay;
        const auto before = r.relay.view().shut;
        const Micros took = std::llround(scenario_.relay.stallPerLine * m->message.lines);
        r.relay.busyUntil = now_ + took;
        if (before != m->message.view.shut) {
            for (const BoxNumber box : *m->message.view.shut) {
                if (!before || before->count(box) == 0) log(Kind::shutOut, relay, box, 0, 1);
            }
        }
        const auto mark = m->message.mark;
        r.relay.hold(std::move(m->message.view));
        logHolds(relay);
        if (mark) {
            marks_.push_back({relay, *mark, took, r.epoch});
            calendar_.enter(now_ + took + std::llround(scenario_.network.between), Happening::mark,
                            m->instance, static_cast<std::uint32_t>(marks_.size() - 1));
        }
    }
    messages_.forgetDone();
}

void Emulation::logHolds(std::uint32_t relay) {
    const Relay& r = relays_[relay].relay;
    for (std::uint32_t k = 0; k < scenario_.classes.size(); ++k) {
        log(Kind::holds, relay, static_cast<std::uint32_t>(r.lines(k)), k);
    }
}

void Emulation::sumsDue() {
    calendar_.enter(now_ + scenario_.planner.reportEvery, Happening::sumsDue);
    for (RelayState& r : relays_) {
        for (const BoxNumber box : r.relay.closeIdle(now_)) boxes_[box].connectionClosed();
    }
    for (std::uint32_t n = 0; n < planners_.size(); ++n) {
        Planner& p = planners_[n];
        Report report;
        report.incarnation = p.incarnation;
        for (auto& [key, sum] : p.sums) {
            sum.zone = key.first;
            sum.box = key.second;
            sum.spoilt = chance_.chance(spoiltReports_);
            report.sums.push_back(sum);
        }
        p.sums.clear();
        for (std::uint32_t r = 0; r < relays_.size(); ++r) {
            RelayState& state = relays_[r];
            if (state.instance != static_cast<std::int32_t>(n)) continue;
            for (std::uint32_t k = 0; k < state.came.size(); ++k) {
                if (state.came[k] == 0 && state.failed[k] == 0) continue;
                report.demand.push_back(
                    {r, k, state.came[k], state.failed[k], chance_.chance(spoiltReports_)});
                state.came[k] = state.failed[k] = 0;
            }
        }
        if (!p.instance || chance_.chance(lostReports_)) continue;
        const Micros at = now_ + scenario_.planner.reportLate + std::llround(lateReports_ * 1000);
        reports_.push_back(std::move(report));
        calendar_.enter(at, Happening::sumsTold, n, static_cast<std::uint32_t>(reports_.size() - 1));
        if (scenario_.planner.learn == Learn::snapshot && now_ - p.snapshotAt >= kSnapshotEvery) {
            p.snapshot = p.instance->handOver(now_);
            p.snapshotAt = now_;
        }
    }
}

void Emulation::sumsTold(std::uint32_t number, std::uint32_t which) {
    Planner& p = planners_[number];
    const Report report = std::exchange(reports_[which], {});
    if (!p.instance || p.incarnation != report.incarnation) return;
    p.instance->hear(report.sums, report.demand, scenario_.planner.reportEvery, now_);
    stepSoon(number, now_ + kGather);
}

}  // namespace marldale::emulator
