// The keeper: a memory behind a lock, and a thread that does what the memory asks for: it tells the module,
// asks peers, and writes snapshots. The module's thread never waits for any of it.
#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <utility>

#include "recovery/memory.h"
#include "recovery/snapshot.h"
#include "routing/keeper.h"

namespace marldale::recovery {
namespace {

using routing::Input;

std::int64_t wallNow() {
    return std::chrono::duration_cast<std::chrono::microseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}
Micros steadyNow() {
    return std::chrono::duration_cast<std::chrono::microseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

MemorySettings memoryOf(const routing::KeeperSettings& settings, const routing::KeeperHost& host) {
    MemorySettings out;
    out.self = host.name;
    out.incarnation = static_cast<std::uint64_t>(wallNow());
    out.seed = host.seed ^ out.incarnation;
    out.knowledge.holdMost = settings.holdMost;
    out.ask.window = settings.askFor;
    out.share = settings.share;
    out.peers = settings.peers;
    return out;
}

class SharingKeeper : public routing::Keeper {
public:
    SharingKeeper(routing::KeeperSettings settings, routing::KeeperHost host)
        : settings_(std::move(settings)),
          host_(std::move(host)),
          memory_(memoryOf(settings_, host_), steadyNow()) {
        hear(host_.known, steadyNow());
    }
    ~SharingKeeper() override { stop(); }

    bool pass(Input input, Micros now) override {
        if (auto* list = std::get_if<routing::ListInput>(&input)) return passList(std::move(*list), now);
        {
            const std::lock_guard lock(mutex_);
            if (const auto* news = std::get_if<protocol::News>(&input)) hear(*news);
            if (const auto* lane = std::get_if<routing::LaneNews>(&input)) hear(lane->news);
            if (const auto* report = std::get_if<protocol::Report>(&input)) hear(*report, now);
            if (const auto* rows = std::get_if<routing::SourceRows>(&input)) {
                for (const protocol::Report& row : rows->rows) hear(row, now);
            }
        }
        return host_.post(std::move(input));
    }

    // What was known goes to the module before anything that fronts bring; then snapshots may be written over
    // the one that was read.
    void begin(Micros now) override {
        if (!settings_.snapshot.empty()) recallSnapshot(now);
        act(now);
        thread_ = std::thread([this] { run(); });
    }

    void connect(routing::PeerLink* link, std::uint16_t port) override {
        {
            const std::lock_guard lock(mutex_);
            link_ = link;
            if (link == nullptr) return memory_.disconnect();
            memory_.connect(settings_.address.empty() ? "127.0.0.1:" + std::to_string(port)
                                                      : settings_.address);
        }
        wake();
    }

    void stop() override {
        {
            const std::lock_guard lock(wakeMutex_);
            if (std::exchange(over_, true)) return;
        }
        due_.notify_one();
        if (thread_.joinable()) thread_.join();
    }

    // ---- Peers ----

    [[nodiscard]] std::string name() const override { return host_.name; }
    [[nodiscard]] std::shared_ptr<const std::string> handOver() override {
        const Micros now = steadyNow();
        const std::lock_guard lock(copyMutex_);
        if (!copy_ || now - copied_ >= AskRules().copyHolds) {
            Handover handover;
            {
                const std::lock_guard inner(mutex_);
                handover = memory_.handOver(now);
            }
            copy_ = std::make_shared<const std::string>(encode(handover));
            copied_ = now;
        }
        return copy_;
    }
    void answered(const std::string& peer, std::optional<std::string> bytes, Micros transit,
                  const std::string& wrong) override {
        std::string why = wrong;
        const auto handover = bytes ? decode(*bytes, why) : std::nullopt;
        {
            const std::lock_guard lock(mutex_);
            memory_.answered(peer, handover, transit, why, steadyNow());
        }
        wake();
    }
    void heard(const membership::PeerMessage& message) override {
        {
            const std::lock_guard lock(mutex_);
            memory_.heard(message, steadyNow());
        }
        wake();
    }

private:
    // A list goes on with the boxes that a newer one did not have ready as draining. One lock for what is
    // heard and what is posted: holds and lists reach the module in the order of their versions.
    [[nodiscard]] bool passList(routing::ListInput list, Micros now) {
        const std::lock_guard lock(mutex_);
        hear(list.news, now);
        const std::set<std::string> held = memory_.knowledge().heldBack(now);
        for (protocol::CatalogEntry& entry : list.news.entries) {
            if (entry.state == ServerState::ready && held.count(entry.uid) != 0) {
                entry.state = ServerState::draining;
            }
        }
        wake();
        return host_.post(std::move(list));
    }

    void recallSnapshot(Micros now) {
        std::string wrong;
        const auto snapshot = readSnapshot(settings_.snapshot, wrong);
        if (!snapshot) {
            host_.log("knowledge", wrong.empty() ? "there is no snapshot yet: a cold start"
                                                 : settings_.snapshot + " " + wrong + ": a cold start");
            return;
        }
        const auto age = ageOf(*snapshot, wallNow());
        if (!age || *age > settings_.ageMost) {
            host_.log("knowledge",
                      age ? "the snapshot is " + std::to_string(*age / 1000000) + " s old: a cold start"
                          : "the clock has gone back since the snapshot: a cold start");
            return;
        }
        const std::lock_guard lock(mutex_);
        const MergeCounts counts = memory_.recall(snapshot->handover, *age, now);
        host_.log("knowledge", "a snapshot of " + snapshot->handover.from + ", " +
                                   std::to_string(*age / 1000000) +
                                   " s old: " + std::to_string(counts.taken) + " facts taken, " +
                                   std::to_string(counts.refused) + " refused");
    }

    void hear(const protocol::CatalogNews& news, Micros now) {
        if (news.whole) list_.clear();
        for (const auto& entry : news.entries) {
            if (entry.state == ServerState::gone) {
                list_.erase(entry.uid);
            } else {
                list_[entry.uid] = entry;
            }
        }
        rev_ = std::max(rev_, news.rev);
        std::map<std::string, Knowledge::Listed> all;
        for (const auto& [uid, entry] : list_) all[uid] = {entry.state, entry.bootUs / 1000};
        memory_.listed(rev_, all, now);
    }
    void hear(const protocol::News& news) {
        if (const auto* hello = std::get_if<protocol::Hello>(&news))
            memory_.joined(hello->proxy, hello->zone);
        if (const auto* bye = std::get_if<protocol::Bye>(&news)) memory_.left(bye->proxy);
    }
    void hear(const protocol::Report& report, Micros now) {
        if (const auto* demand = std::get_if<protocol::Demand>(&report)) {
            if (!protocol::isSound(*demand)) return;
            memory_.came(demand->proxy, demand->klass,
                         demand->came * 1e6 / static_cast<double>(demand->overUs), now);
            return;
        }
        const auto* row = std::get_if<protocol::Outcomes>(&report);
        if (row == nullptr || row->tries == 0 || !protocol::isSound(*row)) return;
        const auto box = list_.find(row->server);
        if (box == list_.end()) return;
        memory_.saw({row->server,
                     row->zone,
                     box->second.bootUs / 1000,
                     row->tries,
                     row->failed,
                     row->meanUs,
                     {row->load.begin(), row->load.end()}},
                    now);
    }

    // What the memory asks for. Peers are spoken to outside of the lock: they answer on threads that take it.
    void act(Micros now) {
        MemoryActions todo;
        routing::PeerLink* link = nullptr;
        {
            const std::lock_guard lock(mutex_);
            todo = memory_.due(now);
            link = link_;
            tell(todo);
        }
        for (const std::string& line : todo.lines) host_.log("knowledge", line);
        for (const auto& message : todo.say) say(link, message);
        for (const PeerEndpoint& peer : todo.ask) {
            if (link != nullptr) link->ask(peer);
        }
    }
    void say(routing::PeerLink* link, const membership::PeerMessage& message) {
        std::string address;
        {
            const std::lock_guard lock(mutex_);
            address = memory_.addressOf(message.to);
        }
        if (link != nullptr && !address.empty()) link->say({message.to, address}, message);
    }
    // Holds first: a sum says nothing of a box that is not ready.
    void tell(const MemoryActions& todo) {
        routing::ListInput holds;
        holds.cached = true;  // of the version that stands already
        holds.news.rev = rev_;
        std::size_t held = 0;
        for (const Hold& hold : todo.holds) {
            const auto at = list_.find(hold.box);
            if (at == list_.end()) continue;
            holds.news.entries.push_back(at->second);
            if (!hold.held) continue;
            holds.news.entries.back().state = ServerState::draining;
            ++held;
        }
        const std::size_t back = holds.news.entries.size() - held;
        if (!holds.news.entries.empty()) (void)host_.post(std::move(holds));
        for (const RecalledSum& r : todo.sums) {
            protocol::Outcomes row;
            row.zone = r.zone;
            row.server = r.box;
            row.tries = static_cast<std::uint32_t>(r.tries);
            row.failed = std::min(row.tries, static_cast<std::uint32_t>(r.failed + 0.5));
            row.meanUs = row.failed < row.tries ? r.mean : 0;
            row.overUs = host_.reportEvery;
            (void)host_.post(protocol::Report{std::move(row)});
        }
        if (!todo.sums.empty() || held + back > 0) {
            host_.log("knowledge", std::to_string(todo.sums.size()) + " sums recalled, " +
                                       std::to_string(held) + " boxes held back, " + std::to_string(back) +
                                       " let back");
        }
    }

    void wake() {
        {
            const std::lock_guard lock(wakeMutex_);
            woken_ = true;
        }
        due_.notify_one();
    }
    void run() {
        Micros nextSnapshot = steadyNow() + settings_.every;
        std::unique_lock lock(wakeMutex_);
        while (!over_) {
            std::optional<Micros> at;
            {
                lock.unlock();
                const std::lock_guard inner(mutex_);
                at = memory_.nextDue(steadyNow());
            }
            lock.lock();
            if (!settings_.snapshot.empty()) at = std::min(at.value_or(nextSnapshot), nextSnapshot);
            const auto ready = [this] { return over_ || woken_; };
            if (at) {
                due_.wait_for(lock, std::chrono::microseconds(std::max<Micros>(0, *at - steadyNow())), ready);
            } else {
                due_.wait(lock, ready);
            }
            woken_ = false;
            lock.unlock();
            const Micros now = steadyNow();
            act(now);
            if (!settings_.snapshot.empty() && now >= nextSnapshot) {
                save();
                nextSnapshot = now + settings_.every;
            }
            lock.lock();
        }
        lock.unlock();
        sayLast();
        if (!settings_.snapshot.empty()) save();
    }
    void sayLast() {
        std::vector<membership::PeerMessage> words;
        routing::PeerLink* link = nullptr;
        {
            const std::lock_guard lock(mutex_);
            words = memory_.leave(steadyNow());
            link = link_;
        }
        for (const auto& message : words) say(link, message);
    }
    void save() {
        Snapshot snapshot;
        {
            const std::lock_guard lock(mutex_);
            snapshot.handover = memory_.handOver(steadyNow());
        }
        snapshot.wallUs = wallNow();
        try {
            writeSnapshot(settings_.snapshot, snapshot);
        } catch (const std::exception& e) {
            host_.log("knowledge", std::string("no snapshot is kept: ") + e.what());
        }
    }

    const routing::KeeperSettings settings_;
    const routing::KeeperHost host_;
    std::mutex mutex_;
    Memory memory_;  // behind it, as is what follows
    std::map<std::string, protocol::CatalogEntry> list_;
    std::uint64_t rev_ = 0;
    routing::PeerLink* link_ = nullptr;

    std::mutex copyMutex_;
    std::shared_ptr<const std::string> copy_;  // behind it
    Micros copied_ = 0;

    std::mutex wakeMutex_;
    std::condition_variable due_;
    bool over_ = false, woken_ = false;  // behind it
    std::thread thread_;
};

}  // namespace
}  // namespace marldale::recovery

extern "C" __attribute__((visibility("default"))) marldale::routing::Keeper* marldale_keeper(
    const marldale::routing::KeeperSettings& settings, marldale::routing::KeeperHost host) {
    return new marldale::recovery::SharingKeeper(settings, std::move(host));
}
