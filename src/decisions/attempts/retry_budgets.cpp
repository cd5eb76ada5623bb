#include "attempts/retry_budgets.h"

#include <algorithm>

namespace marldale::attempts {

double& RetryBudgets::Many::of(std::uint64_t who) {
    const auto at = places_.find(who);
    if (at != places_.end()) {
        buckets_.splice(buckets_.begin(), buckets_, at->second);
        return buckets_.front().left;
    }
    if (places_.size() >= most_) {
        places_.erase(buckets_.back().who);
        buckets_.pop_back();
    }
    buckets_.push_front({who, size_.most});
    places_[who] = buckets_.begin();
    return buckets_.front().left;
}

void RetryBudgets::Many::firstTry(std::uint64_t who) {
    double& left = of(who);
    left = std::min(size_.most, left + size_.ratio);
}

RetryBudgets::RetryBudgets(Settings settings, std::size_t classes)
    : settings_(settings),
      overAll_(settings.overAll.most),
      byClass_(classes, settings.ofClass.most),
      clients_(settings.ofClient, settings.remembered),
      boxes_(settings.ofBox, settings.remembered) {}

void RetryBudgets::count(bool repeat, Micros now) {
    if (now - spanFrom_ >= settings_.span || now < spanFrom_) {
        const double all = first_ + repeats_;
        const double share = all > 0 ? repeats_ / all : 0;
        // A span without much in it ends a storm, and begins none.
        if (all < settings_.stormLeast || share <= settings_.stormAt / 2) storm_ = false;
        spanFrom_ = now;
        first_ = repeats_ = 0;
    }
    (repeat ? repeats_ : first_) += 1;
    const double all = first_ + repeats_;
    if (all >= settings_.stormLeast && repeats_ >= settings_.stormAt * all) storm_ = true;
}

void RetryBudgets::firstTry(std::size_t klass, std::uint64_t client, std::uint64_t box, Micros now) {
    count(false, now);
    overAll_ = std::min(settings_.overAll.most, overAll_ + settings_.overAll.ratio);
    byClass_[klass] = std::min(settings_.ofClass.most, byClass_[klass] + settings_.ofClass.ratio);
    clients_.firstTry(client);
    boxes_.firstTry(box);
}

bool RetryBudgets::take(std::size_t klass, std::uint64_t client, std::uint64_t box, Micros now) {
    // What is asked for counts towards the storm whether it is granted or not: that is what a storm is.
    count(true, now);
    double &ofClient = clients_.of(client), &ofBox = boxes_.of(box);
    if (storm_ || overAll_ < 1 || byClass_[klass] < 1 || ofClient < 1 || ofBox < 1) return false;
    for (double* const bucket : {&overAll_, &byClass_[klass], &ofClient, &ofBox}) *bucket -= 1;
    return true;
}

}  // namespace marldale::attempts
