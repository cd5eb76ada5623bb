// One bidirectional call of the asynchronous server, on the one thread that its
// completion queue has. Each operation of the library has a tag; the object
// lives until all of its operations have come back.
#pragma once

#include <grpcpp/grpcpp.h>

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <utility>

#include "policy/types.h"

namespace marldale::grpc_front {

struct Tag {
    std::function<void(bool ok)> done;
};

// What the server knows of each stream, whatever it carries.
class AnyStream {
public:
    AnyStream() = default;
    virtual ~AnyStream() = default;
    AnyStream(const AnyStream&) = delete;
    AnyStream& operator=(const AnyStream&) = delete;

    virtual void tick(Micros now) = 0;
    virtual void end(const ::grpc::Status& status) = 0;
    virtual void goodbye(Micros until) = 0;           // the planner goes away; `until`: in the server's time
    virtual void renew() = 0;                         // the passports have changed
    virtual void close() = 0;                         // the queue goes away: no operation may begin any more
    [[nodiscard]] virtual bool dead() const = 0;      // no operation is out any more
    [[nodiscard]] virtual bool accepted() const = 0;  // a client has opened it
};

template <class Request, class Response>
class Stream : public AnyStream {
public:
    using Io = ::grpc::ServerAsyncReaderWriter<Response, Request>;

    [[nodiscard]] bool dead() const override { return pending_ == 0 && (over_ || !accepted_); }
    [[nodiscard]] bool accepted() const override { return accepted_; }
    void close() override { closed_ = true; }

    // Ends it in order once what is being written is written, and without
    // ceremony if that takes too long.
    void end(const ::grpc::Status& status) override {
        if (ending_ || over_) return;
        ending_ = status;
        writes_.clear();
        finishIfIdle();
    }

protected:
    // Ends it so once the client has closed its side, or at `until`: what is
    // still to be written gets its time, which `end` does not give it.
    void leave(const ::grpc::Status& status, Micros until) {
        leaving_ = status;
        leaveAt_ = until;
    }
    // A write that is stuck behind a full flow-control window is broken off after
    // so long.
    static constexpr Micros kEndWithin = 200000;
    static constexpr std::size_t kWritesMost = 256;  // that wait behind it

    Stream() {
        accept_.done = [this](bool ok) { onAccept(ok); };
        read_.done = [this](bool ok) { onRead(ok); };
        write_.done = [this](bool ok) { onWritten(ok); };
        finish_.done = [this](bool) { --pending_; };
        done_.done = [this](bool) { onDone(); };
    }

    virtual void onOpened() = 0;  // a client has opened it
    virtual void onRequest(Request& request) = 0;
    virtual void onDrained() {}  // all that was to be written is written
    virtual void onOver() = 0;   // it has ended, however; called once, if it was opened

    // To be called once, to wait for a client.
    template <class Ask>
    void listen(const Ask& ask) {
        context_.AsyncNotifyWhenDone(&done_);
        ++pending_;
        ask(&context_, &io_, &accept_);
    }
    void write(Response response) {
        if (ending_ || over_) return;
        if (writes_.size() >= kWritesMost) {
            return end({::grpc::StatusCode::RESOURCE_EXHAUSTED, "answers are not read"});
        }
        writes_.push_back(std::move(response));
        writeNext();
    }
    [[nodiscard]] bool writing() const { return writing_ || !writes_.empty(); }
    // No request is read until `resume`: the client's window fills, and it waits.
    void pause() { paused_ = true; }
    void resume() {
        if (!std::exchange(paused_, false)) return;
        readNext();
    }
    [[nodiscard]] bool paused() const { return paused_; }
    [[nodiscard]] bool over() const { return over_; }
    [[nodiscard]] bool ending() const { return ending_.has_value(); }
    ::grpc::ServerContext& context() { return context_; }
    [[nodiscard]] const ::grpc::ServerContext& context() const { return context_; }

    // To be called from `tick`.
    void endInTime(Micros now) {
        if (leaving_ && now >= leaveAt_) end(*leaving_);
        if (!ending_ || finishing_ || over_) return;
        if (endSince_ == 0) endSince_ = now;
        if (now - endSince_ >= kEndWithin) context_.TryCancel();
    }

private:
    static constexpr std::size_t kRequestKept = 64U << 10U;  // memory of a request that is kept for the next

    void onAccept(bool ok) {
        --pending_;
        if (!ok) return;  // the server goes away; the library does not tell `done` then
        accepted_ = true;
        ++pending_;  // `done` is out
        onOpened();
        readNext();
    }
    void readNext() {
        if (reading_ || paused_ || ending_ || over_ || finishing_ || closed_) return;
        reading_ = true;
        ++pending_;
        io_.Read(&request_, &read_);
    }
    void onRead(bool ok) {
        --pending_;
        reading_ = false;
        if (over_ || ending_) return;
        if (!ok) {  // the client has no more to say, or is gone
            end(leaving_.value_or(::grpc::Status::OK));
            return;
        }
        onRequest(request_);
        if (request_.SpaceUsedLong() > kRequestKept) request_ = Request();
        readNext();
    }
    void writeNext() {
        if (writing_ || writes_.empty() || over_ || finishing_ || closed_) return;
        writing_ = true;
        ++pending_;
        // The library has serialized it when the call returns.
        io_.Write(writes_.front(), &write_);
        writes_.pop_front();
    }
    void onWritten(bool ok) {
        --pending_;
        writing_ = false;
        if (!ok) writes_.clear();
        if (ending_) return finishIfIdle();
        writeNext();
        if (!writing_ && !over_ && !closed_) onDrained();
    }
    void finishIfIdle() {
        if (!ending_ || writing_ || finishing_ || over_ || closed_) return;
        finishing_ = true;
        ++pending_;
        io_.Finish(*ending_, &finish_);
    }
    void onDone() {
        --pending_;
        over_ = true;
        writes_.clear();
        onOver();
    }

    ::grpc::ServerContext context_;
    Io io_{&context_};
    Request request_;
    std::deque<Response> writes_;
    Tag accept_, read_, write_, finish_, done_;
    int pending_ = 0;
    bool accepted_ = false, reading_ = false, writing_ = false, finishing_ = false, over_ = false,
         paused_ = false, closed_ = false;
    std::optional<::grpc::Status> leaving_, ending_;
    Micros leaveAt_ = 0, endSince_ = 0;
};

}  // namespace marldale::grpc_front
