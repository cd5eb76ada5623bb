#include "routing/junction.h"

#include <algorithm>
#include <utility>

namespace marldale::routing {
namespace {

constexpr Micros kSweepEvery = 30000000;
constexpr Micros kAnswerWithin = 1500000;  // docs/notes/grpc.md
constexpr Micros kPlatformHold = 500000;
constexpr std::size_t kBatchBytes = 512U << 10U;  // half of what a message may have

// The list first, for reports name its servers; then proxies, each with its own news in order; sums by zone
// and server, demand by proxy and class; last what the planner itself asked for.
struct Rank {
    using Place = std::tuple<int, std::uint32_t, std::uint32_t>;
    Place operator()(const ServerListUpdate&) const { return {0, 0, 0}; }
    Place operator()(const ProxyJoined& e) const { return {1, e.proxy, 0}; }
    Place operator()(const ProxyLeft& e) const { return {1, e.proxy, 0}; }
    Place operator()(const Acknowledged& e) const { return {1, e.proxy, 0}; }
    Place operator()(const ServerStats& e) const { return {2, e.fromZone, e.server}; }
    Place operator()(const ProxyDemand& e) const { return {3, e.proxy, e.klass}; }
    Place operator()(const ProbeResult& e) const { return {4, e.server, 0}; }
    Place operator()(const auto& /*slices, timers*/) const { return {5, 0, 0}; }
};

}  // namespace

JunctionRules junctionRules(const protocol::Config& config, std::uint64_t epoch) {
    const Settings& settings = config.settings;
    JunctionRules out;
    out.arbiter.reportEvery = settings.reportEvery;
    out.dispatch.classes = config.classes;
    out.dispatch.platformHold = kPlatformHold;
    out.dispatch.epoch = epoch;
    out.dispatch.messagesMost = settings.messagesMost;
    out.dispatch.messagesOver = settings.messagesOver;
    out.dispatch.stream.bytesMost = kBatchBytes;
    out.dispatch.platform.maySkipLines = false;  // and its calls find out by themselves what was not taken
    out.dispatch.stream.answerWithin = kAnswerWithin;
    return out;
}

Junction::Junction(const protocol::Config& config, JunctionRules rules, Translator& translator,
                   Outlets outlets, const Logger& log)
    : classes_(config.classes),
      envelopeLines_(config.settings.envelopeLines),
      loadHolds_(rules.arbiter.silence()),
      translator_(translator),
      outlets_(std::move(outlets)),
      log_(log),
      arbiter_(rules.arbiter),
      dispatcher_(std::move(rules.dispatch), [this](const std::string& text) { log_("lanes", text); }) {}

void Junction::events(const Input& input, Micros now, std::vector<Event>& out) {
    struct Visitor {
        Junction& self;
        Micros now;
        std::vector<Event>& out;
        void operator()(const protocol::News& n) const { self.news(dispatch::kPlatform, n, now, out); }
        void operator()(const protocol::Report& r) const {
            self.row(membership::kPlatformSource, r, now, out);
        }
        void operator()(const SourceRows& s) const {
            self.arbiter_.heard(s.source, now);
            for (const BoxLoads& load : s.loads) self.box(load, now);
            for (const protocol::Report& r : s.rows) self.row(s.source, r, now, out);
            for (std::uint32_t i = 0; i < std::min(s.spoilt, 32U); ++i)
                self.arbiter_.rowRejected(s.source, now);
        }
        void operator()(const SourceEnded& s) const { self.arbiter_.ended(s.source); }
        void operator()(const LaneOpened& l) const { self.dispatcher_.open(l.lane, l.returning, now); }
        void operator()(const LaneNews& l) const { self.news(l.lane, l.news, now, out); }
        void operator()(const LaneTook& l) const {
            self.dispatcher_.answered(l.lane, l.nonce, l.orders, l.refusedBecause, now);
        }
        void operator()(const LaneClosed& l) const {
            const auto told = self.owners_.closed(l.lane, now);
            self.dispatcher_.close(l.lane, now);
            self.carryOver(told, out);
        }
        void operator()(const ListInput& i) const { self.translator_.events(i, out); }
        void operator()(const ProbeEnded& p) const { self.translator_.events(p, out); }
        void operator()(const CeilingInput& c) const { self.translator_.events(c, out); }
    };
    std::visit(Visitor{*this, now, out}, input);
    carryOut();
}

void Junction::news(LaneId lane, const protocol::News& news, Micros now, std::vector<Event>& out) {
    if (const auto* hello = std::get_if<protocol::Hello>(&news)) {
        if (const auto named = translator_.named(*hello)) {
            carryOver(owners_.hello(lane, hello->proxy, *named, now), out);
        }
    } else if (const auto* bye = std::get_if<protocol::Bye>(&news)) {
        carryOver(owners_.bye(lane, bye->proxy, now), out);
    } else if (const auto* ack = std::get_if<protocol::Ack>(&news)) {
        carryOver(owners_.acknowledged(lane, ack->proxy, ack->mark, ack->tookUs), out);
    }
}

void Junction::carryOver(const std::vector<membership::OwnershipEvent>& news, std::vector<Event>& out) {
    for (const membership::OwnershipEvent& n : news) {
        if (const auto* joined = std::get_if<membership::JoinedOnLane>(&n)) {
            dispatcher_.own(joined->proxy, joined->lane);
            joined_[joined->proxy] = *joined;
            out.emplace_back(ProxyJoined{joined->proxy, joined->announcement.zone, joined->announcement.rate,
                                         joined->announcement.fresh});
        } else if (const auto* left = std::get_if<membership::LeftAllLanes>(&n)) {
            dispatcher_.disown(left->proxy);
            joined_.erase(left->proxy);
            out.emplace_back(ProxyLeft{left->proxy});
        } else if (const auto* answered = std::get_if<membership::AcknowledgedOnLane>(&n)) {
            const auto mark = static_cast<std::uint16_t>(answered->mark);
            for (const std::uint16_t m : dispatcher_.marksOf(answered->lane, mark)) {
                out.emplace_back(Acknowledged{answered->proxy, m, answered->took});
            }
        } else if (const auto* release = std::get_if<membership::Release>(&n)) {
            commands_.emplace_back(ReleaseProxy{release->lane, release->proxy});
        }
    }
}

void Junction::row(SourceId source, const protocol::Report& report, Micros now, std::vector<Event>& out) {
    std::vector<Event> made;
    if (!translator_.report(report, made)) return arbiter_.rowRejected(source, now);
    for (const Event& event : made) {
        if (const auto* sums = std::get_if<ServerStats>(&event)) {
            auto taken = arbiter_.admit(source, *sums, now);
            if (!taken) continue;
            const auto own = loads_.find(taken->server);
            if (taken->load.empty() && own != loads_.end() && now - own->second.at <= loadHolds_) {
                taken->load = own->second.report;
            }
            out.emplace_back(std::move(*taken));
        } else if (const auto* demand = std::get_if<ProxyDemand>(&event)) {
            if (const auto taken = arbiter_.admit(source, *demand, now)) out.emplace_back(*taken);
        }
    }
    for (const auto& change : arbiter_.takeChanges()) {
        log_("sources", "source " + std::to_string(change.to) + " holds rows of source " +
                            std::to_string(change.from) + " now: " + change.why);
    }
}

void Junction::box(const BoxLoads& box, Micros now) {
    const auto server = translator_.serverOf(box.server);
    if (!server) return log_("report", "a load left out: unknown server " + box.server);
    loads_[*server] = {translator_.loadReport(box.load), now};
}

void Junction::arrange(std::vector<Event>& events) {
    std::stable_sort(events.begin(), events.end(), [](const Event& a, const Event& b) {
        return std::visit(Rank{}, a) < std::visit(Rank{}, b);
    });
}

void Junction::turned(const std::vector<Action>& actions, Micros now) {
    std::vector<protocol::Order> orders;
    for (const Action& action : actions) {
        if (auto order = translator_.named(action)) orders.push_back(std::move(*order));
    }
    if (orders.empty()) return;
    dispatcher_.turn(orders, now);
    carryOut();
}

void Junction::callSettled(Micros now) {
    dispatcher_.platformSettled(now);
    carryOut();
}

void Junction::due(Micros now, std::vector<Event>& out) {
    now_ = now;
    carryOver(owners_.due(now), out);
    dispatcher_.due(now);
    if (now >= nextSweep_) sweep(now);
    carryOut();
}

void Junction::sweep(Micros now) {
    nextSweep_ = now + kSweepEvery;
    arbiter_.sweep(now);
    std::erase_if(loads_, [&](const auto& l) { return now - l.second.at > loadHolds_; });
}

std::optional<Micros> Junction::nextDue() const {
    std::optional<Micros> out = dispatcher_.nextDue();
    const auto move = owners_.nextDue();
    if (move && (!out || *move < *out)) out = move;
    return out;
}

void Junction::startOver(std::vector<Event>& out) {
    dispatcher_.startOver();
    for (const auto& [proxy, joined] : joined_) {
        dispatcher_.own(proxy, joined.lane);
        out.emplace_back(ProxyJoined{proxy, joined.announcement.zone, joined.announcement.rate,
                                     joined.announcement.fresh});
    }
}

// The platform's batch as its text; what is not for the platform is its front's.
void Junction::carryOut() {
    for (dispatch::Command& command : dispatcher_.take()) {
        auto* send = std::get_if<dispatch::SendBatch>(&command);
        if (send != nullptr && send->lane == dispatch::kPlatform) {
            call(send->batch, kPlatformHold);
            continue;
        }
        std::visit([this](auto& c) { commands_.emplace_back(std::move(c)); }, command);
    }
    if (!commands_.empty()) outlets_.front(std::exchange(commands_, {}));
}

void Junction::call(const dispatch::Batch& batch, Micros holdFor) {
    const auto platform = static_cast<double>(dispatcher_.proxies(dispatch::kPlatform));
    std::size_t tables = 0;
    for (const auto& [id, table] : dispatcher_.book().tables()) tables = std::max(tables, table.size());
    OrderCall call{{}, platform * (envelopeLines_ + 1), batch.concerned};
    for (const dispatch::LaneOrder& order : batch.orders) {
        call.orders.push_back(dispatch::laneOrderText(order, classes_));
        const bool binds = std::holds_alternative<protocol::BindOrder>(order);
        call.linesAtMost += binds ? static_cast<double>(tables + 1) : platform;
    }
    outlets_.call(std::move(call), holdFor);
}

}  // namespace marldale::routing
