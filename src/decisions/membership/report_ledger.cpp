#include "membership/report_ledger.h"

#include <algorithm>

namespace marldale::membership {

std::uint64_t ReportLedger::begin(const std::string& node, std::uint64_t incarnation, Micros now) {
    std::erase_if(nodes_, [&](const auto& entry) { return now - entry.second.lastHeard > kForgetAfter; });
    if (nodes_.size() >= kMaxNodes && nodes_.count(node) == 0) {
        nodes_.erase(std::min_element(nodes_.begin(), nodes_.end(), [](const auto& a, const auto& b) {
            return a.second.lastHeard < b.second.lastHeard;
        }));
    }
    Node& entry = nodes_[node];
    if (entry.incarnation != incarnation) entry = {incarnation, 0, now};
    entry.lastHeard = now;
    return entry.lastTaken;
}

bool ReportLedger::take(const std::string& node, std::uint64_t sequence, Micros now) {
    const auto at = nodes_.find(node);
    if (at == nodes_.end()) return false;
    at->second.lastHeard = now;
    if (sequence <= at->second.lastTaken) {
        ++duplicates_;
        return false;
    }
    at->second.lastTaken = sequence;
    return true;
}

void ReportLedger::undoTake(const std::string& node, std::uint64_t sequence) {
    const auto at = nodes_.find(node);
    if (at != nodes_.end() && at->second.lastTaken == sequence) at->second.lastTaken = sequence - 1;
}

std::uint64_t ReportLedger::taken(const std::string& node) const {
    const auto at = nodes_.find(node);
    return at == nodes_.end() ? 0 : at->second.lastTaken;
}

}  // namespace marldale::membership
