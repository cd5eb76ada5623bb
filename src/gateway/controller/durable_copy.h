// Keeps a copy of a changing text on disk: the text is written whole, one write at a time, and callbacks wait
// until the current version is durable. The owner performs the write. No I/O.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string>

namespace marldale::controller {

/// Tracks which version of a text is durable, and starts the writes.
class DurableCopy {
public:
    /// Called once per write, with whether the text is durable.
    using WriteCallback = std::function<void(bool)>;
    /// Starts a write. The callback may come at any later time, or never if the disk hangs. If null, there is
    /// no disk and every change counts as durable at once.
    using Writer = std::function<void(const std::string&, WriteCallback)>;

    /// Returns the current text. Called once per write, however many changes came before it.
    using TextSource = std::function<std::string()>;

    DurableCopy(Writer writer, TextSource text) : writer_(std::move(writer)), text_(std::move(text)) {}
    DurableCopy(const DurableCopy&) = delete;
    DurableCopy& operator=(const DurableCopy&) = delete;

    /// Records that the text has changed, and starts a write if none is under way.
    void markChanged();
    /// Calls `then` once all changes so far are durable, immediately if they are already.
    void whenDurable(std::function<void()> then);
    /// Starts a write again after a failed one. Does nothing if all is durable or a write is under way.
    void retry() { write(); }

private:
    using Version = std::uint64_t;
    struct Waiter {
        Version version = 0;
        std::function<void()> then;
    };
    void write();
    void onWritten(Version version, bool succeeded);

    Writer writer_;
    TextSource text_;
    Version version_ = 0, durableVersion_ = 0;
    bool writing_ = false;
    std::deque<Waiter> waiters_;  // in the order of their versions
};

}  // namespace marldale::controller
