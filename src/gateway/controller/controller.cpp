// The controller process: start, stop, the timer that drives all periodic work, and processing of the
// replica's output.
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

constexpr Micros kUpdateIntervalUs =
    300000;  // server heartbeats are merged and passed on to other controllers
constexpr Micros kSweepIntervalUs = 500000;
constexpr int kMaxReadyRounds = 64;  // of the replica's output processed in one event
// Shutdown, counted from the stop: proxies are released once leadership has had time to move, then pending
// calls end, then the process.
constexpr Micros kReleaseProxiesAfterUs = 200000, kEndCallsAfterUs = 300000, kExitAfterUs = 900000;
constexpr Micros kReleasePollIntervalUs = 100000;

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

proto::Peer selfPeer(const settings::Settings& settings, std::uint64_t incarnation) {
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
              gossip::Settings gossipSettings;
              gossipSettings.seed = incarnation_;
              return gossipSettings;
          }(),
          selfPeer(settings_, incarnation_), settings_.insideSeeds()),
      datagrams_(io, settings_.inside(),
                 [this](const proto::Shuffle& shuffle) {
                     if (auto message = view_.receive(shuffle))
                         datagrams_.send(message->to, message->shuffle);
                 }),
      registry_([&] {
          registry::Settings registrySettings;
          registrySettings.beatEvery = settings_.beatEvery;
          return registrySettings;
      }()),
      steering_(zoneNames(settings_), settings_.zone, incarnation_),
      control_(
          io, settings_.control,
          [this](Request request, ReplyCallback sendReply) {
              const CallMatch found = findCall(request.method, request.target);
              if (found.call == nullptr)
                  return sendReply(problemReply(found.pathExists ? 405 : 404,
                                                found.pathExists ? "not by this method" : "no such call"));
              request.argument = found.argument;
              const std::string target = request.target;
              found.call->handle(*this, request, [sendReply = std::move(sendReply), target](Reply reply) {
                  if (!reply.location.empty()) reply.location += target;
                  sendReply(std::move(reply));
              });
              processPending();
          }),
      insideAcceptor_(io),
      timer_(io),
      distributionLoop_(*this, settings_.bounds.apply),
      departureCopy_(departureWriter(), [this] { return serializedDepartures(steadyNow()); }),
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
    raft::Settings raftSettings;
    raftSettings.seeds = settings_.insideSeeds();
    raftSettings.seed = incarnation_;
    raftSettings.catchUp = settings_.bounds.catchUp;
    stored->self.set_zone(settings_.zone);
    if (!settings_.dataFolder.empty()) {
        loadDepartures(steadyNow());
        loadServerHints(steadyNow());
    }
    log::info("raft_log_opened", {{"number", stored->self.number()},
                                  {"term", stored->term},
                                  {"entries", stored->entries.size()},
                                  {"snapshot", stored->snapshot.index()},
                                  {"first_run", settings_.firstRun}});
    replica_ = std::make_unique<raft::Replica>(raftSettings, std::move(*stored), steadyNow());
    replicatedLog_ = std::make_unique<ReplicaLog>(*replica_);
    OrderQueue::Limits limits;
    limits.maxContactAge = settings::quorumContactLimit(settings_.bounds);
    orders_ = std::make_unique<OrderQueue>(*replicatedLog_, limits);
    disk_ = std::make_unique<DiskWriter>(
        io_, std::move(*store),
        [this](std::uint64_t number) {
            replica_->persisted(steadyNow(), number);
            processPending();
        },
        [](const std::string& text) {
            log::warn("disk_refuses", {{"problem", text}});
        });
    if (auto s = datagrams_.open(); !s.ok()) return s;
    const auto endpoint = transport::endpointOf(settings_.inside());
    boost::system::error_code error;
    insideAcceptor_.open(endpoint->protocol(), error);
    if (!error) insideAcceptor_.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error) insideAcceptor_.bind(*endpoint, error);
    if (!error) insideAcceptor_.listen(512, error);
    if (error)
        return absl::UnavailableError(
            absl::StrCat("inside: cannot listen on ", settings_.inside(), ": ", error.message()));
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

void Controller::runAfter(std::function<void()> step, Micros delay) {
    auto timer = std::make_shared<boost::asio::steady_timer>(io_, std::chrono::microseconds(delay));
    timer->async_wait([timer, step = std::move(step)](boost::system::error_code error) {
        if (!error) step();
    });
}

void Controller::stop(std::function<void()> done) {
    stopping_ = true;
    log::info("stopping", {{"leads", replica_->leads()}, {"proxies", proxies_.size()}});
    orders_->stop();
    replica_->leave(steadyNow());
    processPending();
    runAfter(
        [this] {
            boost::system::error_code ignored;
            insideAcceptor_.close(ignored);
            std::vector<distribution::ProxyId> all;
            for (const auto& [id, proxy] : proxies_) all.push_back(id);
            for (const distribution::ProxyId id : all) {
                auto link = proxies_.at(id).link;
                releaseProxy(id);
                acceptedLinks_.erase(link.get());
                link->close();
            }
        },
        kReleaseProxiesAfterUs);
    runAfter(
        [this] {
            orders_->finish();
            deliverReplies();
            failDepartures(departureAcks_.takeAll(), UnavailableReason::stopping);
            control_.close();
        },
        kEndCallsAfterUs);
    const Micros latest = steadyNow() + settings_.bounds.grace / 2;
    runAfter([this, latest, done = std::move(done)] { exitWhenReleased(latest, done); }, kExitAfterUs);
}

// Ends the process once other replicas hold everything that this one holds, or at `latest` if they do not.
void Controller::exitWhenReleased(Micros latest, std::function<void()> done) {
    if (replica_->released() || steadyNow() >= latest) {
        log::info("stopped", {{"released", replica_->released()}});
        return done();
    }
    runAfter([this, latest, done = std::move(done)] { exitWhenReleased(latest, done); },
             kReleasePollIntervalUs);
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
    for (const proto::Entry& entry : ready.committed) applyEntry(entry);
    for (const raft::ReadResult& end : ready.reads) orders_->readEnded(end);
    return true;
}

void Controller::takeReady() {
    for (int round = 0; round < kMaxReadyRounds; ++round) {
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
        // The changes after the snapshot would be applied to an old state, which would then be distributed.
        log::event(log::Level::error, "snapshot_unreadable",
                   {{"index", snapshot.index()}, {"problem", std::string(s.message())}});
        std::_Exit(EXIT_FAILURE);
    }
    compaction_.compacted(snapshot.data().size());
    log::info("snapshot_installed", {{"index", snapshot.index()}, {"term", snapshot.term()}});
    onConfigurationChanged(steadyNow());
}

void Controller::logLeaderChange() {
    const auto leader = replica_->leader();
    const std::string address = leader ? leader->address() : "";
    if (address == lastLeader_) return;
    lastLeader_ = address;
    log::info("leader", {{"leader", address}, {"term", replica_->term()}, {"self", replica_->leads()}});
}

void Controller::processPending() {
    if (processing_ || !replica_) return;
    processing_ = true;
    takeReady();
    logLeaderChange();
    orders_->update(steadyNow());
    takeReady();
    deliverReplies();
    processing_ = false;
    updateBarrier(steadyNow());
    wakeDistribution(steadyNow());
    armTimer();
}

// Measured from the due time of the heartbeats, because `armTimer` moves the timer whenever a frame arrives.
void Controller::reportLoopLateness(Micros now) {
    if (now < nextHeartbeat_ || nextHeartbeat_ == 0) return;
    if (const auto late = loopLateness_.ran(nextHeartbeat_, now))
        log::warn("loop_late", {{"at_most_us", *late}});
}

void Controller::tick() {
    const Micros now = steadyNow();
    reportLoopLateness(now);
    replica_->tick(now);
    while (auto message = view_.due(now)) datagrams_.send(message->to, message->shuffle);
    if (now >= nextHeartbeat_) sendHeartbeats(now);
    if (now >= nextUpdates_) {
        sendUpdates(now);
        const bool anyDisconnected =
            std::any_of(peers_.begin(), peers_.end(), [](const auto& peer) { return !peer.second.link; });
        nextUpdates_ =
            now + (anyDisconnected && now - startedAt_ < kStartupPeriodUs ? kStartupRedialIntervalUs
                                                                          : kUpdateIntervalUs);
        expireDepartures(now);
        departureCopy_.retry();
        dialPeers(now);
        saveServerHints(now);
    }
    if (now >= nextSweep_) {
        nextSweep_ = now + kSweepIntervalUs;
        updateProxyCount(now);
        if (registry_.tick(now)) onRegistryChanged(now);
        distributionDue_ = true;
    }
    processPending();
}

void Controller::armTimer() {
    if (processing_) return;
    const Micros now = steadyNow();
    Micros due =
        std::min({replica_->nextDue(), orders_->nextDue(), view_.nextDue(), distributionLoop_.nextDue(),
                  barrier_.nextDue(), nextHeartbeat_, nextUpdates_, nextSweep_});
    due = std::max(due, now + 1000);
    // A timer that is overdue is not moved: it fires as soon as the loop gets to it, however many frames
    // arrive in the meantime.
    if (timerDue_ != 0 && timerDue_ <= due) return;
    timerDue_ = due;
    timer_.expires_after(std::chrono::microseconds(due - now));
    timer_.async_wait([this](boost::system::error_code error) {
        if (error) return;
        timerDue_ = 0;
        tick();
    });
}

}  // namespace marldale::controller
