// A text that changes and is written whole to disk, one write at a time, and what waits until its present
// form is durable. The write itself is the owner's. No I/O.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string>

namespace marldale::controller {

class DurableCopy {
public:
    /// Told, once, whether the text is durable.
    using Written = std::function<void(bool)>;
    /// Begins to write; may call back at any later time, or never if the disk hangs. Null: there is no disk,
    /// and every change counts as durable at once.
    using Writer = std::function<void(const std::string&, Written)>;

    /// Makes the present text. Called once a write, however many changes came before it.
    using Text = std::function<std::string()>;

    DurableCopy(Writer writer, Text text) : writer_(std::move(writer)), text_(std::move(text)) {}
    DurableCopy(const DurableCopy&) = delete;
    DurableCopy& operator=(const DurableCopy&) = delete;

    /// The text is another one from now on.
    void change();
    /// Calls `then` once all changes so far are durable: now, or later.
    void whenDurable(std::function<void()> then);
    /// After a write that failed: tries again.
    void retry() { write(); }

private:
    using Version = std::uint64_t;
    struct Waiting {
        Version version = 0;
        std::function<void()> then;
    };
    void write();
    void written(Version version, bool succeeded);

    Writer writer_;
    Text text_;
    Version version_ = 0, durable_ = 0;
    bool writing_ = false;
    std::deque<Waiting> waiting_;  // by version
};

}  // namespace marldale::controller
