// The one way from the sockets to the module's thread: a bounded queue.
#pragma once

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

#include "routing/clock.h"

namespace marldale::routing {

template <class Item>
class EventQueue {
public:
    // Reports may be lost, for the next ones come in any case; so they get only a part of the room.
    // What comes within `gather` of the first item is handed out with it: the news of one moment arrives in
    // several reads, and is one batch all the same.
    EventQueue(std::size_t most, std::size_t mostForReports, std::chrono::microseconds gather)
        : most_(most), mostForReports_(mostForReports), gather_(gather) {}

    // False if there is no room.
    // `weight`: how much of the room it takes. One item always finds room in an empty queue.
    [[nodiscard]] bool push(Item item, bool isReport, std::size_t weight = 1) {
        {
            const std::lock_guard lock(mutex_);
            if (!items_.empty() && weight_ + weight > (isReport ? mostForReports_ : most_)) return false;
            if (items_.empty()) firstAt_ = std::chrono::steady_clock::now();
            items_.push_back(std::move(item));
            weight_ += weight;
        }
        changed_.notify_one();
        return true;
    }

    // No batch is handed out from here on until `release`, or until then: a call is out.
    void hold(SteadyTime until = SteadyTime::max()) {
        const std::lock_guard lock(mutex_);
        heldUntil_ = until;
    }
    void release() {
        {
            const std::lock_guard lock(mutex_);
            heldUntil_.reset();
        }
        changed_.notify_one();
    }
    // The taker gets a batch of nothing soon, whatever waits and whether it is held or not.
    void nudge() {
        {
            const std::lock_guard lock(mutex_);
            nudged_ = true;
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

    // All that has come, once the first item has waited `gather` or `due` is past. Nothing once it is closed.
    [[nodiscard]] std::optional<std::vector<Item>> take(std::optional<SteadyTime> due) {
        std::unique_lock lock(mutex_);
        for (;;) {
            if (closed_) return std::nullopt;
            if (std::exchange(nudged_, false)) return std::vector<Item>{};
            std::optional<SteadyTime> when = due;
            if (!items_.empty()) when = std::min(firstAt_ + gather_, due.value_or(SteadyTime::max()));
            if (when && heldUntil_) when = std::max(*when, *heldUntil_);
            if (!when || *when == SteadyTime::max()) {
                changed_.wait(lock);
            } else if (std::chrono::steady_clock::now() >= *when) {
                break;
            } else {
                changed_.wait_until(lock, *when);
            }
        }
        heldUntil_.reset();
        weight_ = 0;
        std::vector<Item> out(std::make_move_iterator(items_.begin()), std::make_move_iterator(items_.end()));
        items_.clear();
        return out;
    }

private:
    const std::size_t most_, mostForReports_;
    const std::chrono::microseconds gather_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<Item> items_;
    SteadyTime firstAt_{};  // when the first of them came
    std::size_t weight_ = 0;
    std::optional<SteadyTime> heldUntil_;
    bool nudged_ = false, closed_ = false;
};

}  // namespace marldale::routing
