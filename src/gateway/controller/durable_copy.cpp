#include "gateway/controller/durable_copy.h"

#include <utility>

namespace marldale::controller {

void DurableCopy::markChanged() {
    ++version_;
    write();
}

void DurableCopy::whenDurable(std::function<void()> then) {
    if (durableVersion_ == version_) return then();
    waiters_.push_back({version_, std::move(then)});
}

void DurableCopy::write() {
    if (writing_ || durableVersion_ == version_) return;
    if (!writer_) return onWritten(version_, true);
    writing_ = true;
    writer_(text_(), [this, version = version_](bool succeeded) {
        writing_ = false;
        onWritten(version, succeeded);
    });
}

void DurableCopy::onWritten(Version version, bool succeeded) {
    if (!succeeded) return;  // the owner calls `retry`
    durableVersion_ = version;
    while (!waiters_.empty() && waiters_.front().version <= durableVersion_) {
        const auto then = std::move(waiters_.front().then);
        waiters_.pop_front();
        then();
    }
    write();
}

}  // namespace marldale::controller
