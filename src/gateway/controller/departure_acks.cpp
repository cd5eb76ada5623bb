#include "gateway/controller/departure_acks.h"

#include <algorithm>
#include <utility>

namespace marldale::controller {

void DepartureAcks::add(RequestNumber number, Micros deadline) { pending_[number].deadline = deadline; }

void DepartureAcks::markDurable(RequestNumber number, const std::string& controller) {
    const auto found = pending_.find(number);
    if (found != pending_.end()) found->second.durableAt.insert(controller);
}

void DepartureAcks::markInForce(RequestNumber number, const std::string& controller) {
    const auto found = pending_.find(number);
    if (found != pending_.end()) found->second.inForceAt.insert(controller);
}

std::vector<DepartureAcks::RequestNumber> DepartureAcks::takeConfirmed(
    const std::vector<std::string>& voters, const std::vector<std::string>& controllers) {
    std::vector<RequestNumber> taken;
    for (const auto& [number, request] : pending_) {
        const auto isDurable = [&durableAt = request.durableAt](const auto& voter) {
            return durableAt.contains(voter);
        };
        const auto isInForce = [&inForceAt = request.inForceAt](const auto& controller) {
            return inForceAt.contains(controller);
        };
        const auto count = std::count_if(voters.begin(), voters.end(), isDurable);
        const bool isMajority = 2 * static_cast<std::size_t>(count) > voters.size();
        if (isMajority && std::all_of(controllers.begin(), controllers.end(), isInForce))
            taken.push_back(number);
    }
    for (const RequestNumber number : taken) pending_.erase(number);
    return taken;
}

std::vector<DepartureAcks::RequestNumber> DepartureAcks::takeExpired(Micros now) {
    std::vector<RequestNumber> taken;
    for (const auto& [number, request] : pending_) {
        if (now >= request.deadline) taken.push_back(number);
    }
    for (const RequestNumber number : taken) pending_.erase(number);
    return taken;
}

std::vector<DepartureAcks::RequestNumber> DepartureAcks::takeAll() {
    std::vector<RequestNumber> taken;
    for (const auto& [number, request] : std::exchange(pending_, {})) taken.push_back(number);
    return taken;
}

}  // namespace marldale::controller
