#include "transport/loop.h"

#include <event2/thread.h>

#include <csignal>
#include <stdexcept>

namespace marldale::transport {
namespace {

timeval toTimeval(Millis delay) {
    const auto ms = std::max<Millis::rep>(0, delay.count());
    return {static_cast<time_t>(ms / 1000), static_cast<suseconds_t>(ms % 1000 * 1000)};
}

template <class Callback>
void invoke(evutil_socket_t /*fd*/, short /*what*/, void* callback) {
    (*static_cast<Callback*>(callback))();
}

}  // namespace

Loop::Loop() {
    std::signal(SIGPIPE, SIG_IGN);  // a party that has gone is told by the write's error
    std::signal(SIGXFSZ, SIG_IGN);  // and so is a file that may not grow
    // `post` wakes the loop from another thread, which libevent allows only with its locks in place.
    if (evthread_use_pthreads() != 0) throw std::runtime_error("libevent has no threads");
    base_.reset(event_base_new());
    if (!base_) throw std::runtime_error("no event loop can be made");
    const auto woken = [](evutil_socket_t, short, void* self) { static_cast<Loop*>(self)->runPosted(); };
    wake_.reset(event_new(base_.get(), -1, EV_PERSIST, woken, this));
    if (!wake_) throw std::runtime_error("no event loop can be made");
}

void Loop::run() { event_base_loop(base_.get(), EVLOOP_NO_EXIT_ON_EMPTY); }

void Loop::stop() { event_base_loopbreak(base_.get()); }

void Loop::post(std::function<void()> task) {
    {
        const std::lock_guard lock(mutex_);
        posted_.push_back(std::move(task));
    }
    event_active(wake_.get(), EV_TIMEOUT, 0);
}

void Loop::runPosted() {
    std::vector<std::function<void()>> tasks;
    {
        const std::lock_guard lock(mutex_);
        tasks.swap(posted_);
    }
    for (const auto& task : tasks) task();
}

Timer::Timer(const Loop& loop, std::function<void()> due)
    : due_(std::move(due)), event_(evtimer_new(loop.base(), invoke<std::function<void()>>, &due_)) {
    if (!event_) throw std::runtime_error("no timer can be made");
}

void Timer::after(Millis delay) {
    const timeval tv = toTimeval(delay);
    evtimer_add(event_.get(), &tv);
}

void Timer::cancel() { evtimer_del(event_.get()); }

bool Timer::pending() const { return evtimer_pending(event_.get(), nullptr) != 0; }

Signal::Signal(const Loop& loop, int number, std::function<void()> came)
    : came_(std::move(came)),
      event_(evsignal_new(loop.base(), number, invoke<std::function<void()>>, &came_)) {
    if (!event_ || evsignal_add(event_.get(), nullptr) != 0) {
        throw std::runtime_error("no signal can be watched");
    }
}

}  // namespace marldale::transport
