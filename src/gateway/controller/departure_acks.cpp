#include "gateway/controller/departure_acks.h"

#include <algorithm>
#include <utility>

namespace marldale::controller {

void DepartureAcks::add(Number number, Micros until) { waiting_[number].until = until; }

void DepartureAcks::durableAt(Number number, const std::string& controller) {
    const auto at = waiting_.find(number);
    if (at != waiting_.end()) at->second.durableAt.insert(controller);
}

void DepartureAcks::inForceAt(Number number, const std::string& controller) {
    const auto at = waiting_.find(number);
    if (at != waiting_.end()) at->second.inForceAt.insert(controller);
}

std::vector<DepartureAcks::Number> DepartureAcks::takeConfirmed(const std::vector<std::string>& voters,
                                                                const std::vector<std::string>& needed) {
    std::vector<Number> taken;
    for (const auto& [number, waiting] : waiting_) {
        const auto isDurable = [&at = waiting.durableAt](const auto& voter) { return at.contains(voter); };
        const auto isInForce = [&at = waiting.inForceAt](const auto& one) { return at.contains(one); };
        const auto count = std::count_if(voters.begin(), voters.end(), isDurable);
        const bool isMajority = 2 * static_cast<std::size_t>(count) > voters.size();
        if (isMajority && std::all_of(needed.begin(), needed.end(), isInForce)) taken.push_back(number);
    }
    for (const Number number : taken) waiting_.erase(number);
    return taken;
}

std::vector<DepartureAcks::Number> DepartureAcks::takeLate(Micros now) {
    std::vector<Number> taken;
    for (const auto& [number, waiting] : waiting_) {
        if (now >= waiting.until) taken.push_back(number);
    }
    for (const Number number : taken) waiting_.erase(number);
    return taken;
}

std::vector<DepartureAcks::Number> DepartureAcks::takeAll() {
    std::vector<Number> taken;
    for (const auto& [number, waiting] : std::exchange(waiting_, {})) taken.push_back(number);
    return taken;
}

}  // namespace marldale::controller
