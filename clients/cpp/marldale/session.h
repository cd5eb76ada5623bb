// A bidirectional stream that is kept open: dialled, greeted, written in order, dialled again when it ends.
#pragma once

#include <grpcpp/alarm.h>
#include <grpcpp/grpcpp.h>
#include <grpcpp/support/client_callback.h>

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <random>
#include <utility>

namespace marldale::client {

struct Redial {
    bool on = true;
    // Between two dials, doubled with every failure, with jitter.
    std::chrono::milliseconds least{100}, most{2000};
};

// Handlers of a client run on threads of the gRPC library, with the client's lock held: one at a time, and
// they may call the client. They must not block.
template <class Request, class Response>
class Session {
public:
    using Reactor = ::grpc::ClientBidiReactor<Request, Response>;
    // Starts the call on a stub.
    using Start = std::function<void(::grpc::ClientContext*, Reactor*)>;

    Session(const Session&) = delete;
    Session& operator=(const Session&) = delete;

    void open() {  // dials, and from then on whenever the stream has ended
        const std::lock_guard lock(mutex_);
        if (!std::exchange(open_, true)) dial();
    }
    // Dials at once if no stream is open.
    void dialNow() {
        const std::lock_guard lock(mutex_);
        open_ = true;
        dial();
    }
    [[nodiscard]] bool dialled() const {
        const std::lock_guard lock(mutex_);
        return call_ != nullptr;
    }
    // Nothing more is said on this stream, and it is not dialled again. The server ends it once it has read
    // all.
    void endWrites() {
        const std::lock_guard lock(mutex_);
        open_ = false;
        sayNoMore();
    }
    // Until the stream has ended, or until then.
    void awaitEnd(std::chrono::steady_clock::time_point until) const {
        std::unique_lock lock(mutex_);
        idle_.wait_until(lock, until, [this] { return !call_; });
    }
    // As if the connection had broken.
    void breakOff() {
        const std::lock_guard lock(mutex_);
        if (call_) call_->context.TryCancel();
    }

protected:
    Session(Start start, Redial redial) : start_(std::move(start)), redial_(redial) {}
    ~Session() = default;

    // In the destructor of the derived class: no hook runs any more once it returns.
    void close() {
        std::unique_lock lock(mutex_);
        open_ = false;
        if (call_) call_->context.TryCancel();
        if (alarmSet_) alarm_.Cancel();
        idle_.wait(lock, [this] { return busy_ == 0; });
    }
    void say(Request request) {
        if (call_) call_->say(std::move(request));
    }
    // The stream ends with what the server says; it is dialled again then.
    void sayNoMore() {
        if (call_) call_->sayNoMore();
    }
    void sayLast(Request request) {
        open_ = false;
        if (call_) call_->say(std::move(request), true);
    }
    // Runs a task a while later, unless the session is closed before.
    void later(::grpc::Alarm& alarm, std::chrono::microseconds delay, std::function<void()> task) {
        ++busy_;
        alarm.Set(std::chrono::system_clock::now() + delay, [this, task = std::move(task)](bool ok) mutable {
            // The task may set this alarm again, which ends this closure while it runs: it lives on its own
            // from here.
            Session* const self = this;
            const std::function<void()> mine = std::move(task);
            const std::lock_guard lock(self->mutex_);
            if (ok && self->open_) mine();
            --self->busy_;
            self->idle_.notify_all();
        });
    }
    void answered() { failures_ = 0; }

    // Hooks, with the lock held.
    virtual Request hello() = 0;
    virtual void greeted() {}  // what follows the hello at once
    virtual void got(const Response& response) = 0;
    virtual void over(const ::grpc::Status& status) = 0;

    mutable std::recursive_mutex mutex_;

private:
    struct Call : public Reactor {
        explicit Call(Session& session) : owner(session) {}
        // After the last word nothing is said any more: what it was about is told anew on the next stream.
        void say(Request request, bool isLast = false) {
            if (last) return;
            waiting.push_back(std::move(request));
            last = isLast;
            writeNext();
        }
        void sayNoMore() {
            last = true;
            writeNext();
        }
        void writeNext() {
            if (writing || broken) return;
            if (waiting.empty()) {
                if (last && !std::exchange(closed, true)) this->StartWritesDone();
                return;
            }
            writing = true;
            request = std::move(waiting.front());
            waiting.pop_front();
            this->StartWrite(&request);
        }
        void OnWriteDone(bool ok) override {
            const std::lock_guard lock(owner.mutex_);
            writing = false;
            broken = !ok;
            writeNext();
        }
        void OnReadDone(bool ok) override {
            const std::lock_guard lock(owner.mutex_);
            if (ok) {
                owner.got(response);
                this->StartRead(&response);
            } else {  // it ends: nothing may be written from outside any more
                broken = true;
                this->RemoveHold();
            }
        }
        void OnDone(const ::grpc::Status& status) override {
            // The context holds the channel, which must not go away on a thread of the library: this object
            // goes before the session knows that it may.
            Session& session = owner;
            const ::grpc::Status end = status;
            auto kept = std::exchange(self, nullptr);
            session.forget(kept);
            session.done(end);
        }
        Session& owner;
        ::grpc::ClientContext context;
        Request request;
        Response response;
        std::deque<Request> waiting;
        bool writing = false, broken = false;
        bool last = false, closed = false;  // no more will be said; the library was told so
        std::shared_ptr<Call> self;         // until it is done
    };

    void dial() {
        if (!open_ || call_) return;
        call_ = std::make_shared<Call>(*this);
        call_->self = call_;
        ++busy_;
        start_(&call_->context, call_.get());
        call_->AddHold();  // for what is written outside of the library's own calls
        call_->StartRead(&call_->response);
        call_->StartCall();
        call_->say(hello());
        greeted();
    }
    void forget(std::shared_ptr<Call>& call) {
        const std::lock_guard lock(mutex_);
        call_.reset();
        call.reset();
    }
    void done(const ::grpc::Status& status) {
        const std::lock_guard lock(mutex_);
        ++failures_;
        over(status);
        if (open_ && redial_.on) redialLater();
        --busy_;
        idle_.notify_all();
    }
    void redialLater() {
        const auto delay = std::min(redial_.least * (1 << std::min(failures_ - 1, 10)), redial_.most);
        std::uniform_int_distribution<std::int64_t> jitter(delay.count() / 2, delay.count());
        alarmSet_ = true;
        later(alarm_, std::chrono::milliseconds(jitter(random_)), [this] {
            alarmSet_ = false;
            dial();
        });
    }

    const Start start_;
    const Redial redial_;
    mutable std::condition_variable_any idle_;
    std::shared_ptr<Call> call_;
    bool open_ = false, alarmSet_ = false;
    int failures_ = 0, busy_ = 0;
    ::grpc::Alarm alarm_;
    std::minstd_rand random_{std::random_device{}()};
};

// Microseconds since 1970: an incarnation.
[[nodiscard]] inline std::uint64_t nowMicros() {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

}  // namespace marldale::client
