// Keeper module: guards a recovery coordinator with a lock and runs its actions on a thread of its own. That
// thread posts to the decision module, queries peers and writes snapshots; the decision module's thread never
// waits for it.
#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <utility>

#include "recovery/coordinator.h"
#include "recovery/snapshot.h"
#include "routing/keeper.h"

namespace marldale::recovery {
namespace {

using routing::Input;

std::int64_t wallNowUs() {
    return std::chrono::duration_cast<std::chrono::microseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}
Micros steadyNow() {
    return std::chrono::duration_cast<std::chrono::microseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

CoordinatorSettings coordinatorSettings(const routing::KeeperSettings& settings,
                                        const routing::KeeperHost& host) {
    CoordinatorSettings out;
    out.self = host.name;
    out.incarnation = static_cast<std::uint64_t>(wallNowUs());
    out.seed = host.seed ^ out.incarnation;
    out.knowledge.maxHold = settings.holdMost;
    out.peerQueries.window = settings.askFor;
    out.share = settings.share;
    out.peers = settings.peers;
    return out;
}

// Records what passes to the decision module, restores it after a restart and shares it with peers.
class SharingKeeper : public routing::Keeper {
public:
    SharingKeeper(routing::KeeperSettings settings, routing::KeeperHost host)
        : settings_(std::move(settings)),
          host_(std::move(host)),
          coordinator_(coordinatorSettings(settings_, host_), steadyNow()) {
        observe(host_.known, steadyNow());
    }
    ~SharingKeeper() override { stop(); }

    bool pass(Input input, Micros now) override {
        if (auto* list = std::get_if<routing::ListInput>(&input)) return passList(std::move(*list), now);
        {
            const std::lock_guard lock(mutex_);
            if (const auto* news = std::get_if<protocol::News>(&input)) observe(*news);
            if (const auto* lane = std::get_if<routing::LaneNews>(&input)) observe(lane->news);
            if (const auto* report = std::get_if<protocol::Report>(&input)) observe(*report, now);
            if (const auto* rows = std::get_if<routing::SourceRows>(&input)) {
                for (const protocol::Report& row : rows->rows) observe(row, now);
            }
        }
        return host_.post(std::move(input));
    }

    // Posts what the snapshot holds before any input of the fronts, and only then starts the thread, which
    // may overwrite that snapshot.
    void begin(Micros now) override {
        if (!settings_.snapshot.empty()) loadSnapshot(now);
        performDue(now);
        thread_ = std::thread([this] { run(); });
    }

    void connect(routing::PeerLink* link, std::uint16_t port) override {
        {
            const std::lock_guard lock(mutex_);
            link_ = link;
            if (link == nullptr) return coordinator_.disconnect();
            coordinator_.connect(settings_.address.empty() ? "127.0.0.1:" + std::to_string(port)
                                                           : settings_.address);
        }
        wake();
    }

    void stop() override {
        {
            const std::lock_guard lock(wakeMutex_);
            if (std::exchange(stopping_, true)) return;
        }
        wakeCondition_.notify_one();
        if (thread_.joinable()) thread_.join();
    }

    // ---- Peers ----

    [[nodiscard]] std::string name() const override { return host_.name; }
    [[nodiscard]] std::shared_ptr<const std::string> handOver() override {
        const Micros now = steadyNow();
        const std::lock_guard lock(cacheMutex_);
        if (!cachedHandover_ || now - cachedAt_ >= PeerQuerySettings().handoverCacheTime) {
            Handover handover;
            {
                const std::lock_guard inner(mutex_);
                handover = coordinator_.handOver(now);
            }
            cachedHandover_ = std::make_shared<const std::string>(encode(handover));
            cachedAt_ = now;
        }
        return cachedHandover_;
    }
    void answered(const std::string& peer, std::optional<std::string> bytes, Micros transit,
                  const std::string& error) override {
        std::string reason = error;
        const auto handover = bytes ? decode(*bytes, reason) : std::nullopt;
        {
            const std::lock_guard lock(mutex_);
            coordinator_.receiveHandover(peer, handover, transit, reason, steadyNow());
        }
        wake();
    }
    void heard(const membership::PeerMessage& message) override {
        {
            const std::lock_guard lock(mutex_);
            coordinator_.receiveMessage(message, steadyNow());
        }
        wake();
    }

private:
    // Forwards a list with held-back servers marked as draining. The lock is kept from recording the list
    // until it is posted, so that holds and lists reach the decision module in the order of their versions.
    [[nodiscard]] bool passList(routing::ListInput list, Micros now) {
        const std::lock_guard lock(mutex_);
        observe(list.news, now);
        const std::set<std::string> held = coordinator_.knowledge().heldBack(now);
        for (protocol::CatalogEntry& entry : list.news.entries) {
            if (entry.state == ServerState::ready && held.count(entry.uid) != 0) {
                entry.state = ServerState::draining;
            }
        }
        wake();
        return host_.post(std::move(list));
    }

    void loadSnapshot(Micros now) {
        std::string error;
        const auto snapshot = readSnapshot(settings_.snapshot, error);
        if (!snapshot) {
            host_.log("knowledge", error.empty() ? "no snapshot yet, starting cold"
                                                 : settings_.snapshot + ": " + error + ", starting cold");
            return;
        }
        const auto age = snapshotAge(*snapshot, wallNowUs());
        if (!age || *age > settings_.ageMost) {
            host_.log("knowledge",
                      age ? "the snapshot is " + std::to_string(*age / 1000000) + " s old, starting cold"
                          : "the clock went backwards since the snapshot, starting cold");
            return;
        }
        const std::lock_guard lock(mutex_);
        const MergeCounts counts = coordinator_.mergeSnapshot(snapshot->handover, *age, now);
        host_.log("knowledge", "snapshot of " + snapshot->handover.from + ", " +
                                   std::to_string(*age / 1000000) +
                                   " s old: " + std::to_string(counts.merged) + " facts taken, " +
                                   std::to_string(counts.refused) + " refused");
    }

    void observe(const protocol::CatalogNews& news, Micros now) {
        if (news.whole) catalog_.clear();
        for (const auto& entry : news.entries) {
            if (entry.state == ServerState::gone) {
                catalog_.erase(entry.uid);
            } else {
                catalog_[entry.uid] = entry;
            }
        }
        catalogRev_ = std::max(catalogRev_, news.rev);
        std::map<std::string, Knowledge::ListedServer> all;
        for (const auto& [uid, entry] : catalog_) all[uid] = {entry.state, entry.bootUs / 1000};
        coordinator_.updateServerList(catalogRev_, all, now);
    }
    void observe(const protocol::News& news) {
        if (const auto* hello = std::get_if<protocol::Hello>(&news))
            coordinator_.proxyJoined(hello->proxy, hello->zone);
        if (const auto* bye = std::get_if<protocol::Bye>(&news)) coordinator_.proxyLeft(bye->proxy);
    }
    void observe(const protocol::Report& report, Micros now) {
        if (const auto* demand = std::get_if<protocol::Demand>(&report)) {
            if (!protocol::isSound(*demand)) return;
            coordinator_.recordDemand(demand->proxy, demand->klass,
                                      demand->came * 1e6 / static_cast<double>(demand->overUs), now);
            return;
        }
        const auto* row = std::get_if<protocol::Outcomes>(&report);
        if (row == nullptr || row->tries == 0 || !protocol::isSound(*row)) return;
        const auto server = catalog_.find(row->server);
        if (server == catalog_.end()) return;
        coordinator_.recordOutcomes({row->server,
                                     row->zone,
                                     server->second.bootUs / 1000,
                                     row->tries,
                                     row->failed,
                                     row->meanUs,
                                     {row->load.begin(), row->load.end()}},
                                    now);
    }

    // Performs the actions that are due. Peers are called without the lock, because their answers arrive on
    // threads that take it.
    void performDue(Micros now) {
        CoordinatorActions actions;
        routing::PeerLink* link = nullptr;
        {
            const std::lock_guard lock(mutex_);
            actions = coordinator_.due(now);
            link = link_;
            postToModule(actions);
        }
        for (const std::string& line : actions.logLines) host_.log("knowledge", line);
        for (const auto& message : actions.messages) send(link, message);
        for (const PeerEndpoint& peer : actions.queries) {
            if (link != nullptr) link->ask(peer);
        }
    }
    void send(routing::PeerLink* link, const membership::PeerMessage& message) {
        std::string address;
        {
            const std::lock_guard lock(mutex_);
            address = coordinator_.addressOf(message.to);
        }
        if (link != nullptr && !address.empty()) link->say({message.to, address}, message);
    }
    // Holds are posted before sums, because a sum has no meaning for a server that is not ready.
    void postToModule(const CoordinatorActions& actions) {
        routing::ListInput holds;
        holds.cached = true;  // changes entries of the current list version
        holds.news.rev = catalogRev_;
        std::size_t held = 0;
        for (const Hold& hold : actions.holds) {
            const auto listed = catalog_.find(hold.server);
            if (listed == catalog_.end()) continue;
            holds.news.entries.push_back(listed->second);
            if (!hold.held) continue;
            holds.news.entries.back().state = ServerState::draining;
            ++held;
        }
        const std::size_t released = holds.news.entries.size() - held;
        if (!holds.news.entries.empty()) (void)host_.post(std::move(holds));
        for (const RecalledSum& sum : actions.sums) {
            protocol::Outcomes row;
            row.zone = sum.zone;
            row.server = sum.server;
            row.tries = static_cast<std::uint32_t>(sum.tries);
            row.failed = std::min(row.tries, static_cast<std::uint32_t>(sum.failed + 0.5));
            row.meanUs = row.failed < row.tries ? sum.mean : 0;
            row.overUs = host_.reportEvery;
            (void)host_.post(protocol::Report{std::move(row)});
        }
        if (!actions.sums.empty() || held + released > 0) {
            host_.log("knowledge", std::to_string(actions.sums.size()) + " sums recalled, " +
                                       std::to_string(held) + " servers held back, " +
                                       std::to_string(released) + " released");
        }
    }

    // Makes the thread compute again when the next action is due.
    void wake() {
        {
            const std::lock_guard lock(wakeMutex_);
            woken_ = true;
        }
        wakeCondition_.notify_one();
    }
    // Body of the thread.
    void run() {
        Micros nextSnapshot = steadyNow() + settings_.every;
        std::unique_lock lock(wakeMutex_);
        while (!stopping_) {
            std::optional<Micros> nextDue;
            {
                lock.unlock();
                const std::lock_guard inner(mutex_);
                nextDue = coordinator_.nextDue(steadyNow());
            }
            lock.lock();
            if (!settings_.snapshot.empty()) nextDue = std::min(nextDue.value_or(nextSnapshot), nextSnapshot);
            const auto ready = [this] { return stopping_ || woken_; };
            if (nextDue) {
                wakeCondition_.wait_for(
                    lock, std::chrono::microseconds(std::max<Micros>(0, *nextDue - steadyNow())), ready);
            } else {
                wakeCondition_.wait(lock, ready);
            }
            woken_ = false;
            lock.unlock();
            const Micros now = steadyNow();
            performDue(now);
            if (!settings_.snapshot.empty() && now >= nextSnapshot) {
                saveSnapshot();
                nextSnapshot = now + settings_.every;
            }
            lock.lock();
        }
        lock.unlock();
        sendLeave();
        if (!settings_.snapshot.empty()) saveSnapshot();
    }
    void sendLeave() {
        std::vector<membership::PeerMessage> messages;
        routing::PeerLink* link = nullptr;
        {
            const std::lock_guard lock(mutex_);
            messages = coordinator_.leave(steadyNow());
            link = link_;
        }
        for (const auto& message : messages) send(link, message);
    }
    void saveSnapshot() {
        Snapshot snapshot;
        {
            const std::lock_guard lock(mutex_);
            snapshot.handover = coordinator_.handOver(steadyNow());
        }
        snapshot.exportedAtUs = wallNowUs();
        try {
            writeSnapshot(settings_.snapshot, snapshot);
        } catch (const std::exception& e) {
            host_.log("knowledge", std::string("cannot save snapshot: ") + e.what());
        }
    }

    const routing::KeeperSettings settings_;
    const routing::KeeperHost host_;
    std::mutex mutex_;
    // Guarded by `mutex_`, as are the following members.
    Coordinator coordinator_;
    std::map<std::string, protocol::CatalogEntry> catalog_;
    std::uint64_t catalogRev_ = 0;
    routing::PeerLink* link_ = nullptr;

    std::mutex cacheMutex_;
    std::shared_ptr<const std::string> cachedHandover_;  // guarded by `cacheMutex_`, as is `cachedAt_`
    Micros cachedAt_ = 0;

    std::mutex wakeMutex_;
    std::condition_variable wakeCondition_;
    bool stopping_ = false, woken_ = false;  // guarded by `wakeMutex_`
    std::thread thread_;
};

}  // namespace
}  // namespace marldale::recovery

extern "C" __attribute__((visibility("default"))) marldale::routing::Keeper* marldale_keeper(
    const marldale::routing::KeeperSettings& settings, marldale::routing::KeeperHost host) {
    return new marldale::recovery::SharingKeeper(settings, std::move(host));
}
