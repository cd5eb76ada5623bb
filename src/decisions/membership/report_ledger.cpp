#include "membership/report_ledger.h"

#include <algorithm>

namespace marldale::membership {

std::uint64_t ReportLedger::begin(const std::string& node, std::uint64_t incarnation, Micros now) {
    std::erase_if(nodes_, [&](const auto& n) { return now - n.second.at > kForgetAfter; });
    if (nodes_.size() >= kNodesMost && nodes_.count(node) == 0) {
        nodes_.erase(std::min_element(nodes_.begin(), nodes_.end(), [](const auto& a, const auto& b) {
            return a.second.at < b.second.at;
        }));
    }
    Node& n = nodes_[node];
    if (n.incarnation != incarnation) n = {incarnation, 0, now};
    n.at = now;
    return n.last;
}

bool ReportLedger::take(const std::string& node, std::uint64_t sequence, Micros now) {
    const auto at = nodes_.find(node);
    if (at == nodes_.end()) return false;
    at->second.at = now;
    if (sequence <= at->second.last) {
        ++duplicates_;
        return false;
    }
    at->second.last = sequence;
    return true;
}

void ReportLedger::giveBack(const std::string& node, std::uint64_t sequence) {
    const auto at = nodes_.find(node);
    if (at != nodes_.end() && at->second.last == sequence) at->second.last = sequence - 1;
}

std::uint64_t ReportLedger::taken(const std::string& node) const {
    const auto at = nodes_.find(node);
    return at == nodes_.end() ? 0 : at->second.last;
}

}  // namespace marldale::membership
