// An event loop on a thread of its own. What lives in it is made, used and let go there.
#pragma once

#include <future>
#include <thread>

#include "transport/loop.h"

namespace marldale::standin {

class LoopThread {
public:
    LoopThread() : thread_([this] { loop_.run(); }) {}
    ~LoopThread() {
        loop_.post([this] { loop_.stop(); });
        thread_.join();
    }
    LoopThread(const LoopThread&) = delete;
    LoopThread& operator=(const LoopThread&) = delete;

    [[nodiscard]] transport::Loop& loop() { return loop_; }
    // Runs a task in the loop and waits for its end.
    template <class Task>
    auto run(const Task& task) {
        std::packaged_task<decltype(task())()> packaged(task);
        auto done = packaged.get_future();
        loop_.post([&packaged] { packaged(); });
        return done.get();
    }

private:
    transport::Loop loop_;
    std::thread thread_;
};

}  // namespace marldale::standin
