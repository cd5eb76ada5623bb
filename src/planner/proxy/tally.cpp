#include "proxy/tally.h"

#include <algorithm>
#include <utility>

namespace marldale::proxy {

void merge(Count& into, const Count& next) {
    into.over += next.over;
    for (const auto& [box, count] : next.boxes) {
        BoxCount& mine = into.boxes[box];
        mine.tries += count.tries;
        mine.failed += count.failed;
        mine.goodTime += count.goodTime;
    }
    if (into.classes.size() < next.classes.size()) into.classes.resize(next.classes.size());
    for (std::size_t k = 0; k < next.classes.size(); ++k) {
        into.classes[k].came += next.classes[k].came;
        into.classes[k].failed += next.classes[k].failed;
    }
}

void mergeRecent(Count& into, const Count& next, Micros most) {
    if (into.over + next.over > most) into = {};
    merge(into, next);
}

void Tally::age(Micros now) {
    if (now - since_ <= keptMost_) return;
    for (const auto& [box, count] : boxes_) dropped_ += count.tries;
    for (ClassCount& count : classes_) dropped_ += std::exchange(count, {}).came;
    boxes_.clear();
    since_ = now;
}

void Tally::came(std::size_t klass, Micros now) {
    age(now);
    ++classes_[klass].came;
}

void Tally::requestFailed(std::size_t klass, Micros now) {
    age(now);
    ++classes_[klass].failed;
}

void Tally::tried(const std::string& box, bool failed, Micros took, Micros now) {
    age(now);
    BoxCount& count = boxes_[box];
    ++count.tries;
    count.failed += failed ? 1 : 0;
    if (!failed) count.goodTime += std::max<Micros>(0, took);
}

Count Tally::take(Micros now) {
    age(now);
    Count out;
    out.over = std::max<Micros>(1, now - since_);
    out.boxes = std::exchange(boxes_, {});
    out.classes = std::exchange(classes_, std::vector<ClassCount>(classes_.size()));
    since_ = now;
    return out;
}

}  // namespace marldale::proxy
