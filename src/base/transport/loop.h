// The event loop and what hangs on it, as RAII handles over libevent. Everything here but `post` belongs to
// the thread that runs the loop.
#pragma once

#include <event2/event.h>

#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <vector>

namespace marldale::transport {

using Millis = std::chrono::milliseconds;

struct Free {
    void operator()(event_base* b) const { event_base_free(b); }
    void operator()(event* e) const { event_free(e); }
};
using EventHandle = std::unique_ptr<event, Free>;

class Loop {
public:
    Loop();

    void run();   // until `stop`
    void stop();  // from the loop's own thread

    // Runs a task in the loop's thread; may be called from any thread.
    void post(std::function<void()> task);

    // Keeps an object until the present callback is over: a connection must not be destroyed by what it
    // calls.
    template <class T, class Delete>
    void bury(std::unique_ptr<T, Delete> object) {
        if (object) post([kept = std::shared_ptr<T>(std::move(object))] {});
    }

    [[nodiscard]] event_base* base() const { return base_.get(); }

private:
    void runPosted();

    std::unique_ptr<event_base, Free> base_;
    EventHandle wake_;
    std::mutex mutex_;
    std::vector<std::function<void()>> posted_;
};

// One timer; it is taken back when the object goes.
class Timer {
public:
    Timer(const Loop& loop, std::function<void()> due);

    void after(Millis delay);  // replaces an earlier setting
    void cancel();
    [[nodiscard]] bool pending() const;

private:
    std::function<void()> due_;
    EventHandle event_;
};

// Calls back in the loop when the process gets a signal.
class Signal {
public:
    Signal(const Loop& loop, int number, std::function<void()> came);

private:
    std::function<void()> came_;
    EventHandle event_;
};

}  // namespace marldale::transport
