// The one way from the sockets to the module's thread: a bounded queue.
#pragma once

#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <vector>

#include "routing/clock.h"

namespace marldale::routing {

template <class Item>
class EventQueue {
public:
    // Reports may be lost, for the next ones come in any case; so they get only a part of the room.
    EventQueue(std::size_t most, std::size_t mostForReports) : most_(most), mostForReports_(mostForReports) {}

    // False if there is no room.
    [[nodiscard]] bool push(Item item, bool isReport) {
        {
            const std::lock_guard lock(mutex_);
            if (items_.size() >= (isReport ? mostForReports_ : most_)) return false;
            items_.push_back(std::move(item));
        }
        changed_.notify_one();
        return true;
    }

    // No batch is handed out from here on until `release`: a call is out.
    void hold() {
        const std::lock_guard lock(mutex_);
        held_ = true;
    }
    void release() {
        {
            const std::lock_guard lock(mutex_);
            held_ = false;
        }
        changed_.notify_one();
    }
    void close() {
        {
            const std::lock_guard lock(mutex_);
            closed_ = true;
        }
        changed_.notify_one();
    }

    // All that has come, as soon as anything has, or `due` is past, and not before `earliest`. Nothing once
    // it is closed.
    [[nodiscard]] std::optional<std::vector<Item>> take(SteadyTime earliest, std::optional<SteadyTime> due) {
        std::unique_lock lock(mutex_);
        for (;;) {
            if (closed_) return std::nullopt;
            const SteadyTime now = std::chrono::steady_clock::now();
            const bool something = !items_.empty() || (due && now >= *due);
            if (!held_ && something && now >= earliest) break;
            if (held_ || (items_.empty() && !due)) {
                changed_.wait(lock);
            } else {
                changed_.wait_until(lock, items_.empty() ? std::max(earliest, *due) : earliest);
            }
        }
        std::vector<Item> out(std::make_move_iterator(items_.begin()), std::make_move_iterator(items_.end()));
        items_.clear();
        return out;
    }

private:
    const std::size_t most_, mostForReports_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<Item> items_;
    bool held_ = false, closed_ = false;
};

}  // namespace marldale::routing
