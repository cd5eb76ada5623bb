// What one thread waits for and others bring about.
#pragma once

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <stdexcept>
#include <string>

namespace marldale::standin {

class Watch {
public:
    template <class Change>
    void change(const Change& change) {
        {
            const std::lock_guard lock(mutex_);
            change();
        }
        changed_.notify_all();
    }
    // Waits until it holds; throws std::runtime_error, naming what was waited for, if it does not come to
    // hold.
    template <class Holds>
    void until(const std::string& what, const Holds& holds,
               std::chrono::seconds most = std::chrono::seconds{20}) {
        std::unique_lock lock(mutex_);
        if (!changed_.wait_for(lock, most, holds)) throw std::runtime_error("waited in vain for " + what);
    }
    template <class Look>
    auto look(const Look& look) {
        const std::lock_guard lock(mutex_);
        return look();
    }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
};

}  // namespace marldale::standin
