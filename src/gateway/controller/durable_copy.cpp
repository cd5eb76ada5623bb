#include "gateway/controller/durable_copy.h"

#include <utility>

namespace marldale::controller {

void DurableCopy::change() {
    ++version_;
    write();
}

void DurableCopy::whenDurable(std::function<void()> then) {
    if (durable_ == version_) return then();
    waiting_.push_back({version_, std::move(then)});
}

void DurableCopy::write() {
    if (writing_ || durable_ == version_) return;
    if (!writer_) return written(version_, true);
    writing_ = true;
    writer_(text_(), [this, version = version_](bool succeeded) {
        writing_ = false;
        written(version, succeeded);
    });
}

void DurableCopy::written(Version version, bool succeeded) {
    if (!succeeded) return;  // `retry` follows
    durable_ = version;
    while (!waiting_.empty() && waiting_.front().version <= durable_) {
        const auto then = std::move(waiting_.front().then);
        waiting_.pop_front();
        then();
    }
    write();
}

}  // namespace marldale::controller
