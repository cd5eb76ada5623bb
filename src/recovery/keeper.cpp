// The keeper: knowledge behind a lock, and a thread that writes it down.
#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <thread>
#include <utility>

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

class SnapshotKeeper : public routing::Keeper {
public:
    SnapshotKeeper(routing::KeeperSettings settings, routing::KeeperHost host)
        : settings_(std::move(settings)),
          host_(std::move(host)),
          knowledge_(host_.name, static_cast<std::uint64_t>(wallNow())) {
        hear(host_.known);
    }
    ~SnapshotKeeper() override { stop(); }

    void took(const Input& input, Micros now) override {
        const std::lock_guard lock(mutex_);
        if (const auto* list = std::get_if<routing::ListInput>(&input)) hear(list->news);
        if (const auto* report = std::get_if<protocol::Report>(&input)) hear(*report, now);
        if (const auto* rows = std::get_if<routing::SourceRows>(&input)) {
            for (const protocol::Report& row : rows->rows) hear(row, now);
        }
    }

    // Once it is read, snapshots are written over it.
    std::vector<Input> recalled(Micros now) override {
        std::vector<Input> out = fromSnapshot(now);
        if (!thread_.joinable()) thread_ = std::thread([this] { run(); });
        return out;
    }

    void stop() override {
        {
            const std::lock_guard lock(wake_);
            if (std::exchange(over_, true)) return;
        }
        due_.notify_one();
        if (thread_.joinable()) thread_.join();
    }

private:
    std::vector<Input> fromSnapshot(Micros now) {
        std::string wrong;
        const auto snapshot = readSnapshot(settings_.snapshot, wrong);
        if (!snapshot) {
            host_.log("knowledge", wrong.empty() ? "there is no snapshot yet: a cold start"
                                                 : settings_.snapshot + " " + wrong + ": a cold start");
            return {};
        }
        const auto age = ageOf(*snapshot, wallNow());
        if (!age || *age > settings_.ageMost) {
            host_.log("knowledge",
                      age ? "the snapshot is " + std::to_string(*age / 1000000) + " s old: a cold start"
                          : "the clock has gone back since the snapshot: a cold start");
            return {};
        }
        const std::lock_guard lock(mutex_);
        const MergeCounts counts = knowledge_.merge(snapshot->handover, *age, now);
        std::vector<Input> out = held();
        const std::size_t back =
            out.empty() ? 0 : std::get<routing::ListInput>(out.front()).news.entries.size();
        std::size_t sums = 0;
        for (const RecalledSum& r : knowledge_.recalled(now)) {
            protocol::Outcomes row;
            row.zone = r.zone;
            row.server = r.box;
            row.tries = static_cast<std::uint32_t>(r.tries);
            row.failed = std::min(row.tries, static_cast<std::uint32_t>(r.failed + 0.5));
            row.meanUs = row.failed < row.tries ? r.mean : 0;
            row.overUs = host_.reportEvery;
            out.emplace_back(protocol::Report{std::move(row)});
            ++sums;
        }
        host_.log("knowledge", "a snapshot of " + snapshot->handover.from + ", " +
                                   std::to_string(*age / 1000000) + " s old: " + std::to_string(sums) +
                                   " sums recalled, " + std::to_string(back) + " boxes held back, " +
                                   std::to_string(counts.refused) + " facts refused");
        return out;
    }

    void hear(const protocol::CatalogNews& news) {
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
        knowledge_.listSays(rev_, all);
    }
    void hear(const protocol::Report& report, Micros now) {
        const auto* row = std::get_if<protocol::Outcomes>(&report);
        if (row == nullptr || row->tries == 0 || !protocol::isSound(*row)) return;
        const auto box = list_.find(row->server);
        if (box == list_.end()) return;
        knowledge_.saw(row->server, row->zone, box->second.bootUs / 1000, row->tries, row->failed,
                       row->meanUs, now);
    }
    // Boxes that the list of the snapshot did not have ready any more: they drain until our own list says
    // otherwise.
    [[nodiscard]] std::vector<Input> held() const {
        routing::ListInput out;
        out.cached = true;  // of the version that stands already
        out.news.rev = rev_;
        for (const std::string& uid : knowledge_.heldBack()) {
            protocol::CatalogEntry entry = list_.at(uid);
            entry.state = ServerState::draining;
            out.news.entries.push_back(std::move(entry));
        }
        if (out.news.entries.empty()) return {};
        return {Input{std::move(out)}};
    }
    void run() {
        std::unique_lock lock(wake_);
        bool last = false;
        while (!last) {
            last = due_.wait_for(lock, std::chrono::microseconds(settings_.every), [this] { return over_; });
            lock.unlock();
            save();
            lock.lock();
        }
    }
    void save() {
        Snapshot snapshot;
        {
            const std::lock_guard lock(mutex_);
            knowledge_.forget(steadyNow());
            snapshot.handover = knowledge_.handOver(steadyNow());
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
    Knowledge knowledge_;  // behind it, as is what follows
    std::map<std::string, protocol::CatalogEntry> list_;
    std::uint64_t rev_ = 0;
    std::mutex wake_;
    std::condition_variable due_;
    bool over_ = false;
    std::thread thread_;
};

}  // namespace
}  // namespace marldale::recovery

extern "C" __attribute__((visibility("default"))) marldale::routing::Keeper* marldale_keeper(
    const marldale::routing::KeeperSettings& settings, marldale::routing::KeeperHost host) {
    return new marldale::recovery::SnapshotKeeper(settings, std::move(host));
}
