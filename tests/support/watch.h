// What one thread waits for and others bring about.
#pragma once

#include <chrono>
#include <condition_variable>
#include <mutex>

namespace marldale::tests {

// The verdict never hangs on how long something takes; only a failure does.
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
    template <class Holds>
    [[nodiscard]] bool until(const Holds& holds, std::chrono::seconds most = std::chrono::seconds{20}) {
        std::unique_lock lock(mutex_);
        return changed_.wait_for(lock, most, holds);
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

}  // namespace marldale::tests
