// The disk of one controller: one transaction at a time is synced, all of it or nothing. It may be slow, hang
// or be full; a loss of power may keep or lose the transaction under way; a wipe takes all.
#pragma once

#include <algorithm>
#include <deque>

#include "environment.h"

namespace marldale::simulation {

class Disk {
public:
    raft::PersistentState stored;
    Micros syncTime = 500;
    Micros hungUntil = 0, fullUntil = 0;
    std::deque<raft::Write> queue;

    // How long until the first transaction of the queue is tried.
    Micros nextTry(Micros now, Random& random) const {
        return std::max<Micros>(0, hungUntil - now) + syncTime / 2 + random.between(0, syncTime);
    }
    // Does the first transaction; 0 if the disk refuses now.
    std::uint64_t sync(Micros now) {
        if (now < hungUntil || now < fullUntil) return 0;
        const std::uint64_t number = queue.front().number;
        commit(queue.front());
        queue.pop_front();
        return number;
    }
    // The process ended. What was under way is there in whole, or not at all.
    void interrupt(Random& random) {
        if (!queue.empty() && random.chance(0.5)) commit(queue.front());
        queue.clear();
        hungUntil = 0;
    }

private:
    void commit(const raft::Write& write) {
        if (write.hasHardState) {
            stored.term = write.term;
            stored.votedFor = write.votedFor;
        }
        auto& entries = stored.entries;
        if (write.truncateFrom)
            while (!entries.empty() && entries.back().index() >= *write.truncateFrom) entries.pop_back();
        if (write.snapshot) {
            const auto keep = std::find_if(entries.begin(), entries.end(), [&](const auto& entry) {
                return entry.index() > write.snapshot->index();
            });
            entries.erase(entries.begin(), keep);
            stored.snapshot = *write.snapshot;
        }
        entries.insert(entries.end(), write.entries.begin(), write.entries.end());
    }
};

}  // namespace marldale::simulation
