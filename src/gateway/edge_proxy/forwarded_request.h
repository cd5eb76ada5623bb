// State of one request in the proxy: its stage, the resources it holds and the servers tried.
#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "gateway/edge_proxy/server_connection.h"
#include "gateway/forwarding/retry_rule.h"
#include "gateway/http_server/client_connection.h"
#include "gateway/upstream/tables.h"

namespace marldale::edge_proxy {

struct ForwardedRequest;
using ForwardedRequestPtr = std::shared_ptr<ForwardedRequest>;

// Owner of requests.
class ForwardedRequestOwner {
public:
    virtual ~ForwardedRequestOwner() = default;
    // The timer of the request's current stage has expired.
    virtual void onTimeout(const ForwardedRequestPtr& request, Micros now) = 0;
};

// Progress of a request.
enum class Stage : std::uint8_t {
    picking,     // selecting a server
    waiting,     // queued for a server with capacity
    connecting,  // connecting to its server
    sent,        // bytes may have been sent, the answer is incomplete
    streaming,   // part of the answer has been sent to the client
    done,
};

// Position in the queue: by rank, then by arrival. Arrival 0: not queued yet.
struct QueuePlace {
    unsigned rank = 0;
    std::uint64_t arrival = 0;
    auto operator<=>(const QueuePlace&) const = default;
};

// A client's request and the state of its attempts.
struct ForwardedRequest final : http_server::ClientHandle,
                                http_server::Timers::Item,
                                std::enable_shared_from_this<ForwardedRequest> {
    ForwardedRequest(ForwardedRequestOwner& owner, http_server::Timers& timers,
                     std::shared_ptr<http_server::ClientConnection> client, upstream::Service& service,
                     const upstream::Route& route, Micros deadline, const forwarding::Faults& faults)
        : Item(timers),
          owner(owner),
          client(std::move(client)),
          service(service),
          kind(route.kind),
          retry(route.kind, route.tries, deadline, faults) {
        place.rank = route.rank;
    }
    void due(Micros now) override { owner.onTimeout(shared_from_this(), now); }

    ForwardedRequestOwner& owner;
    std::shared_ptr<http_server::ClientConnection> client;  // null: disconnected
    upstream::Service& service;
    upstream::Kind kind;
    forwarding::RetryRule retry;
    Stage stage = Stage::picking;
    Micros queueTime = 0;  // maximum time in the queue per wait
    Micros waitUntil = 0;
    Micros sentAt = 0;
    Micros attemptUntil = 0;
    std::vector<upstream::ServerPtr> tried;
    upstream::ServerPtr server;
    std::shared_ptr<ServerConnection> connection;
    bool hasRetryToken = false;  // a token of the retry budget for the next send
    bool clientGone = false;     // the client has disconnected
    bool headChecked = false;    // the answer's head belongs to this request
    bool peerSuspected = false;  // its server's host has not acknowledged the request
    Answer answer;               // the last complete answer
    std::int64_t heldBytes = 0;  // buffered answer bytes, as counted by the owner
    QueuePlace place;
};

}  // namespace marldale::edge_proxy
