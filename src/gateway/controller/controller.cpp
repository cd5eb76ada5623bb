// The process itself: start, stop, the timer that drives everything, and what the replica has ready.
#include <algorithm>
#include <cstdlib>
#include <random>

#include "absl/strings/str_cat.h"
#include "gateway/controller/controller.h"
#include "gateway/controller/controller_shared.h"
#include "gateway/controller/raft_events.h"
#include "gateway/log/log.h"
#include "gateway/settings/contact_limits.h"

namespace marldale::controller {
namespace {

using boost::asio::ip::tcp;
using transport::Link;
using transport::steadyNow;

constexpr Micros kUpdatesEvery = 300000;  // beats passed on, merged
constexpr Micros kSweepEvery = 500000;
constexpr int kRoundsMost = 64;  // of what the replica has ready, in one step of the loop
// A stop: proxies are let go once the lead has had time to move, then calls end, then the process.
constexpr Micros kStopLetGo = 200000, kStopCalls = 300000, kStopDone = 900000;
constexpr Micros kReleasePoll = 100000;

std::uint64_t random64() {
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) ^ device();
}
std::vector<std::string> zoneNames(const settings::Settings& settings) {
    std::vector<std::string> out;
    for (const auto& [zone, region] : settings.zones) out.push_back(zone);
    return out;
}

}  // namespace

proto::Peer selfOf(const settings::Settings& settings, std::uint64_t incarnation) {
    proto::Peer out;
    out.set_address(settings.inside());
    out.set_control(settings.control);
    out.set_zone(settings.zone);
    out.set_incarnation(incarnation);
    out.set_node(settings.node);
    return out;
}

Controller::Controller(boost::asio::io_context& io, settings::Settings settings)
    : io_(io),
      settings_(std::move(settings)),
      startedAt_(steadyNow()),
      incarnation_(random64()),
      view_(
          [&] {
              gossip::Settings s;
              s.seed = incarnation_;
              return s;
          }(),
          selfOf(settings_, incarnation_), settings_.insideSeeds()),
      datagrams_(io, settings_.inside(),
                 [this](const proto::Shuffle& shuffle) {
                     if (auto letter = view_.heard(shuffle)) datagrams_.send(letter->to, letter->shuffle);
                 }),
      registry_([&] {
          registry::Settings s;
          s.beatEvery = settings_.beatEvery;
          return s;
      }()),
      steering_(zoneNames(settings_), settings_.zone, incarnation_),
      control_(io, settings_.control,
               [this](Request request, Answer answer) {
                   const Found found = findCall(request.method, request.target);
                   if (found.call == nullptr)
                       return answer(problem(found.known ? 405 : 404,
                                             found.known ? "not by this method" : "no such call"));
                   request.argument = found.argument;
                   const std::string target = request.target;
                   found.call->handle(*this, request, [answer = std::move(answer), target](Reply reply) {
                       if (!reply.location.empty()) reply.location += target;
                       answer(std::move(reply));
                   });
                   work();
               }),
      inside_(io),
      timer_(io),
      distributionLoop_(*this, settings_.bounds.apply),
      departureCopy_(departureWriter(), [this] { return departuresText(steadyNow()); }),
      barrier_(settings::viewLease(settings_.bounds)) {}

Controller::~Controller() = default;

absl::Status Controller::start() {
    const bool seed =
        std::find(settings_.seeds.begin(), settings_.seeds.end(), settings_.control) != settings_.seeds.end();
    auto store = raft::Store::open(settings_.dataFolder.empty() ? "/tmp" : settings_.dataFolder,
                                   settings_.inside(), settings_.firstRun, seed);
    if (!store.ok()) return store.status();
    auto stored = (*store)->load();
    if (!stored.ok()) return stored.status();
    raft::Settings rules;
    rules.seeds = settings_.insideSeeds();
    rules.seed = incarnation_;
    rules.catchUp = settings_.bounds.catchUp;
    stored->self.set_zone(settings_.zone);
    if (!settings_.dataFolder.empty()) {
        readDepartures(steadyNow());
        readHints(steadyNow());
    }
    log::info("raft_log_opened", {{"number", stored->self.number()},
                                  {"term", stored->term},
                                  {"entries", stored->entries.size()},
                                  {"snapshot", stored->snapshot.index()},
                                  {"first_run", settings_.firstRun}});
    replica_ = std::make_unique<raft::Replica>(rules, std::move(*stored), steadyNow());
    log_ = std::make_unique<ReplicaLog>(*replica_);
    OrderQueue::Limits limits;
    limits.contact = settings::quorumContactLimit(settings_.bounds);
    orders_ = std::make_unique<OrderQueue>(*log_, limits);
    disk_ = std::make_unique<DiskWriter>(
        io_, std::move(*store),
        [this](std::uint64_t number) {
            replica_->persisted(steadyNow(), number);
            work();
        },
        [](const std::string& text) {
            log::warn("disk_refuses", {{"problem", text}});
        });
    if (auto s = datagrams_.open(); !s.ok()) return s;
    const auto endpoint = transport::endpointOf(settings_.inside());
    boost::system::error_code wrong;
    inside_.open(endpoint->protocol(), wrong);
    if (!wrong) inside_.set_option(tcp::acceptor::reuse_address(true), wrong);
    if (!wrong) inside_.bind(*endpoint, wrong);
    if (!wrong) inside_.listen(512, wrong);
    if (wrong)
        return absl::UnavailableError(
            absl::StrCat("inside: can't listen on ", settings_.inside(), ": ", wrong.message()));
    acceptInside();
    if (auto s = control_.listen(); !s.ok()) return s;
    tick();
    return absl::OkStatus();
}

void Controller::reload(const settings::Settings& settings) {
    settings_.seeds = settings.seeds;
    view_.seeds(settings_.insideSeeds());
    log::info("reloaded", {{"seeds", settings_.seeds.size()}});
}

void Controller::apart(std::function<void()> step, Micros after) {
    auto timer = std::make_shared<boost::asio::steady_timer>(io_, std::chrono::microseconds(after));
    timer->async_wait([timer, step = std::move(step)](boost::system::error_code wrong) {
        if (!wrong) step();
    });
}

void Controller::stop(std::function<void()> done) {
    stopping_ = true;
    log::info("stopping", {{"leads", replica_->leads()}, {"proxies", proxies_.size()}});
    orders_->stop();
    replica_->leave(steadyNow());
    work();
    apart(
        [this] {
            boost::system::error_code ignored;
            inside_.close(ignored);
            std::vector<distribution::ProxyId> all;
            for (const auto& [id, proxy] : proxies_) all.push_back(id);
            for (const distribution::ProxyId id : all) {
                auto link = proxies_.at(id).link;
                letGo(id);
                open_.erase(link.get());
                link->close();
            }
        },
        kStopLetGo);
    apart(
        [this] {
            orders_->finish();
            deliverReplies();
            endDepartures(departureAcks_.takeAll(), UnavailableReason::stopping);
            control_.close();
        },
        kStopCalls);
    const Micros latest = steadyNow() + settings_.bounds.grace / 2;
    apart([this, latest, done = std::move(done)] { endOnceReleased(latest, done); }, kStopDone);
}

// The process ends once others hold all that this replica holds; where that can't be, at `latest`.
void Controller::endOnceReleased(Micros latest, std::function<void()> done) {
    if (replica_->released() || steadyNow() >= latest) {
        log::info("stopped", {{"released", replica_->released()}});
        return done();
    }
    apart([this, latest, done = std::move(done)] { endOnceReleased(latest, done); }, kReleasePoll);
}

bool Controller::takeReadyOnce() {
    raft::Ready ready = replica_->take();
    if (ready.messages.empty() && ready.writes.empty() && !ready.install && ready.committed.empty() &&
        ready.reads.empty() && ready.events.empty())
        return false;
    for (const raft::Event& event : ready.events) logRaftEvent(event);
    for (raft::Write& write : ready.writes) disk_->write(std::move(write));
    sendRaftMessages(std::move(ready.messages));
    if (ready.install) installSnapshot(*ready.install);
    for (const proto::Entry& entry : ready.committed) applied(entry);
    for (const raft::ReadResult& end : ready.reads) orders_->readEnded(end);
    return true;
}

void Controller::takeReady() {
    for (int round = 0; round < kRoundsMost; ++round) {
        if (!takeReadyOnce()) return;
    }
}

void Controller::sendRaftMessages(std::vector<proto::RaftMessage> messages) {
    for (proto::RaftMessage& message : messages) {
        const auto peer = peers_.find(message.to().address());
        if (peer == peers_.end() || !peer->second.link) continue;
        proto::Frame frame;
        *frame.mutable_raft() = std::move(message);
        peer->second.link->send(frame);
    }
}

void Controller::installSnapshot(const proto::Snapshot& snapshot) {
    orders_->installed(snapshot.index());
    if (auto s = configurations_.restore(snapshot.data()); !s.ok()) {
        // Changes behind the snapshot would be applied to an old state, which would then be served.
        log::event(log::Level::error, "snapshot_unreadable",
                   {{"index", snapshot.index()}, {"problem", std::string(s.message())}});
        std::_Exit(EXIT_FAILURE);
    }
    compaction_.compacted(snapshot.data().size());
    log::info("snapshot_installed", {{"index", snapshot.index()}, {"term", snapshot.term()}});
    configurationChanged(steadyNow());
}

void Controller::noteLeader() {
    const auto leader = replica_->leader();
    const std::string name = leader ? leader->address() : "";
    if (name == lastLeader_) return;
    lastLeader_ = name;
    log::info("leader", {{"leader", name}, {"term", replica_->term()}, {"self", replica_->leads()}});
}

void Controller::work() {
    if (working_ || !replica_) return;
    working_ = true;
    takeReady();
    noteLeader();
    orders_->update(steadyNow());
    takeReady();
    deliverReplies();
    working_ = false;
    updateBarrier(steadyNow());
    wakeDistribution(steadyNow());
    arm();
}

// Counted from the heartbeats' own time: `arm` moves the timer whenever a frame comes.
void Controller::noteLateness(Micros now) {
    if (now < nextHeartbeat_ || nextHeartbeat_ == 0) return;
    if (const auto late = loopLateness_.ran(nextHeartbeat_, now))
        log::warn("loop_late", {{"at_most_us", *late}});
}

void Controller::tick() {
    const Micros now = steadyNow();
    noteLateness(now);
    replica_->tick(now);
    while (auto letter = view_.due(now)) datagrams_.send(letter->to, letter->shuffle);
    if (now >= nextHeartbeat_) sendHeartbeats(now);
    if (now >= nextUpdates_) {
        sendUpdates(now);
        const bool alone =
            std::any_of(peers_.begin(), peers_.end(), [](const auto& p) { return !p.second.link; });
        nextUpdates_ = now + (alone && now - startedAt_ < kStarting ? kDialAgainStarting : kUpdatesEvery);
        endLateDepartures(now);
        departureCopy_.retry();
        dialPeers(now);
        keepHints(now);
    }
    if (now >= nextSweep_) {
        nextSweep_ = now + kSweepEvery;
        countProxies(now);
        if (registry_.tick(now)) registryChanged(now);
        flushDue_ = true;
    }
    work();
}

void Controller::arm() {
    if (working_) return;
    const Micros now = steadyNow();
    Micros due =
        std::min({replica_->nextDue(), orders_->nextDue(), view_.nextDue(), distributionLoop_.nextDue(),
                  barrier_.nextDue(), nextHeartbeat_, nextUpdates_, nextSweep_});
    due = std::max(due, now + 1000);
    // One that is overdue stays: it fires as soon as the loop gets to it, however many frames come meanwhile.
    if (armedFor_ != 0 && armedFor_ <= due) return;
    armedFor_ = due;
    timer_.expires_after(std::chrono::microseconds(due - now));
    timer_.async_wait([this](boost::system::error_code wrong) {
        if (wrong) return;
        armedFor_ = 0;
        tick();
    });
}

}  // namespace marldale::controller
