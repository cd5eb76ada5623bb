#include "gateway/distribution/distribution_barrier.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace marldale::distribution {

void DistributionBarrier::wait(Turn turn, Micros now, std::function<void()> callback) {
    waiting_.emplace(turn, Waiting{now + 2 * lease_, std::move(callback)});
}

void DistributionBarrier::recordSent(Micros now, Turn sent) {
    if (sent > lastSent_) {
        lastSent_ = sent;
        sent_.push_back({sent, now});
    }
    while (!sent_.empty() && now >= sent_.front().at + lease_) {
        lastExpired_ = sent_.front().turn;
        sent_.pop_front();
    }
}

void DistributionBarrier::update(Micros now, Turn sent, Turn unanswered) {
    recordSent(now, sent);
    std::vector<std::function<void()>> passed;
    for (auto at = waiting_.begin(); at != waiting_.end();) {
        const bool isSent = at->first <= lastSent_;
        const bool done = isSent && (unanswered > at->first || at->first <= lastExpired_);
        if (done) passed.push_back(std::move(at->second.callback));
        at = done || now >= at->second.deadline ? waiting_.erase(at) : std::next(at);
    }
    for (const auto& callback : passed) callback();
}

Micros DistributionBarrier::nextDue() const {
    if (waiting_.empty()) return INT64_MAX;
    const auto lease = std::find_if(sent_.begin(), sent_.end(), [this](const Sent& sent) {
        return sent.turn >= waiting_.begin()->first;
    });
    return lease == sent_.end() ? waiting_.begin()->second.deadline : lease->at + lease_;
}

}  // namespace marldale::distribution
