// Bounded queues of requests that wait for a server of their service with capacity, by rank and then arrival.
#pragma once

#include <map>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "gateway/edge_proxy/forwarded_request.h"

namespace marldale::edge_proxy {

// One queue per service.
class WaitingRequests {
public:
    // Queues a request. If the queue overflows, removes and returns the last request by rank and arrival,
    // which may be the one added; null otherwise.
    ForwardedRequestPtr add(const ForwardedRequestPtr& request);
    void remove(ForwardedRequest& request);
    [[nodiscard]] bool anyFor(upstream::Service& service) const;
    // Services with queued requests.
    [[nodiscard]] std::vector<upstream::Service*> services() const;
    // The first request after this place; null if none.
    [[nodiscard]] ForwardedRequestPtr next(upstream::Service& service, const QueuePlace& after) const;
    void clear();

private:
    using Queue = std::map<QueuePlace, ForwardedRequestPtr>;
    std::unordered_map<upstream::Service*, Queue> queues_;
    std::uint64_t arrivals_ = 0;
};

}  // namespace marldale::edge_proxy
