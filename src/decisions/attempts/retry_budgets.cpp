#include "attempts/retry_budgets.h"

#include <algorithm>

namespace marldale::attempts {

double& RetryBudgets::KeyedBuckets::of(std::uint64_t key) {
    const auto at = positions_.find(key);
    if (at != positions_.end()) {
        buckets_.splice(buckets_.begin(), buckets_, at->second);
        return buckets_.front().tokens;
    }
    if (positions_.size() >= maxKeys_) {
        positions_.erase(buckets_.back().key);
        buckets_.pop_back();
    }
    buckets_.push_front({key, size_.most});
    positions_[key] = buckets_.begin();
    return buckets_.front().tokens;
}

void RetryBudgets::KeyedBuckets::firstTry(std::uint64_t key) {
    double& tokens = of(key);
    tokens = std::min(size_.most, tokens + size_.ratio);
}

RetryBudgets::RetryBudgets(Settings settings, std::size_t classes)
    : settings_(settings),
      overAll_(settings.overAll.most),
      byClass_(classes, settings.ofClass.most),
      clients_(settings.ofClient, settings.maxKeys),
      boxes_(settings.ofBox, settings.maxKeys) {}

void RetryBudgets::count(bool retry, Micros now) {
    if (now - spanStart_ >= settings_.span || now < spanStart_) {
        const double all = firstTries_ + retries_;
        const double share = all > 0 ? retries_ / all : 0;
        // A span with few tries ends a storm and can't begin one.
        if (all < settings_.minStormTries || share <= settings_.stormAt / 2) storm_ = false;
        spanStart_ = now;
        firstTries_ = retries_ = 0;
    }
    (retry ? retries_ : firstTries_) += 1;
    const double all = firstTries_ + retries_;
    if (all >= settings_.minStormTries && retries_ >= settings_.stormAt * all) storm_ = true;
}

void RetryBudgets::firstTry(std::size_t klass, std::uint64_t client, std::uint64_t box, Micros now) {
    count(false, now);
    overAll_ = std::min(settings_.overAll.most, overAll_ + settings_.overAll.ratio);
    byClass_[klass] = std::min(settings_.ofClass.most, byClass_[klass] + settings_.ofClass.ratio);
    clients_.firstTry(client);
    boxes_.firstTry(box);
}

bool RetryBudgets::take(std::size_t klass, std::uint64_t client, std::uint64_t box, Micros now) {
    // A retry counts towards a storm whether it is granted or not: a storm is made of what clients demand.
    count(true, now);
    double &ofClient = clients_.of(client), &ofBox = boxes_.of(box);
    if (storm_ || overAll_ < 1 || byClass_[klass] < 1 || ofClient < 1 || ofBox < 1) return false;
    for (double* const bucket : {&overAll_, &byClass_[klass], &ofClient, &ofBox}) *bucket -= 1;
    return true;
}

}  // namespace marldale::attempts
