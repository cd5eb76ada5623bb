#include "trace/statistics.h"

#include <algorithm>
#include <functional>

namespace marldale::trace {

Statistics::Statistics(const Head& head, Micros binWidth)
    : head_(head), binWidth_(binWidth), classes_(head.classes.size()), lastOfClass_(head.classes.size(), -1) {
    for (std::size_t i = 0; i < classes_.size(); ++i) classes_[i].name = head.classes[i].name;
}

void Statistics::add(const Entry& entry) {
    if (entries_++ == 0) first_ = entry.at;
    last_ = entry.at;
    ClassStatistics& c = classes_[entry.classIndex];
    ++c.entries;
    if (entry.number == 0) ++c.firstTries;
    const bool effect = head_.classes[entry.classIndex].hasEffect;
    if (attempts::effectOf(entry.answer, effect) == attempts::Effect::unknown) ++c.unknown;
    ++c.statuses[entry.answer.status / 100];
    Micros& before = lastOfClass_[entry.classIndex];
    if (before >= 0) c.gaps.add(entry.at - before);
    before = entry.at;
    if (entry.took >= 0) c.durations.add(entry.took);
    const auto bin = static_cast<std::size_t>((entry.at - first_) / binWidth_);
    if (bin < 10'000'000) {
        if (c.bins.size() <= bin) c.bins.resize(bin + 1);
        ++c.bins[bin];
    }
    if (entry.client != 0) ++clients_[entry.client];
    // A chain is counted when it is longer than was known.
    if (entry.number == 0) {
        ++c.chainTries[1];
    } else {
        auto& at = chains_.try_emplace(entry.chain, entry.classIndex, 1U).first->second;
        if (entry.number + 1 > at.second) {
            --c.chainTries[at.second];
            at.second = entry.number + 1;
            ++c.chainTries[at.second];
        }
    }
}

void Statistics::finish() {
    for (ClassStatistics& c : classes_) {
        std::erase_if(c.chainTries, [](const auto& entry) { return entry.second == 0; });
    }
}

double Statistics::shareOfBusiest(double share) const {
    std::vector<std::uint64_t> counts;
    std::uint64_t all = 0;
    for (const auto& [client, count] : clients_) {
        counts.push_back(count);
        all += count;
    }
    if (all == 0) return 0;
    std::sort(counts.begin(), counts.end(), std::greater<>());
    const auto most =
        std::max<std::size_t>(1, static_cast<std::size_t>(share * static_cast<double>(counts.size())));
    std::uint64_t busiest = 0;
    for (std::size_t i = 0; i < std::min(most, counts.size()); ++i) busiest += counts[i];
    return static_cast<double>(busiest) / static_cast<double>(all);
}

}  // namespace marldale::trace
