#include "gateway/edge_proxy/waiting_requests.h"

namespace marldale::edge_proxy {
namespace {

constexpr std::size_t kMaxWaiting = 256;  // per service

}  // namespace

ForwardedRequestPtr WaitingRequests::add(const ForwardedRequestPtr& request) {
    Queue& queue = queues_[&request->service];
    if (request->place.arrival == 0)
        request->place.arrival = ++arrivals_;  // a requeued request keeps its place
    request->stage = Stage::waiting;
    queue.emplace(request->place, request);
    if (queue.size() <= kMaxWaiting) return nullptr;
    const ForwardedRequestPtr last = std::prev(queue.end())->second;
    remove(*last);
    return last;
}

void WaitingRequests::remove(ForwardedRequest& request) {
    const auto queue = queues_.find(&request.service);
    if (queue != queues_.end()) queue->second.erase(request.place);
    request.sleep();
    request.stage = Stage::picking;
}

bool WaitingRequests::anyFor(upstream::Service& service) const {
    const auto queue = queues_.find(&service);
    return queue != queues_.end() && !queue->second.empty();
}

std::vector<upstream::Service*> WaitingRequests::services() const {
    std::vector<upstream::Service*> found;
    for (const auto& [service, queue] : queues_) {
        if (!queue.empty()) found.push_back(service);
    }
    return found;
}

ForwardedRequestPtr WaitingRequests::next(upstream::Service& service, const QueuePlace& after) const {
    const auto queue = queues_.find(&service);
    if (queue == queues_.end()) return nullptr;
    const auto at = queue->second.upper_bound(after);
    return at == queue->second.end() ? nullptr : at->second;
}

void WaitingRequests::clear() {
    for (auto& [service, queue] : queues_) {
        for (auto& [place, request] : queue) request->sleep();
    }
    queues_.clear();
}

}  // namespace marldale::edge_proxy
