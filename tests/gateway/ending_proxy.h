// An edge proxy that gets SIGTERM under load, in simulated time: servers answer with a delay; clients use
// persistent connections until they are closed and open new ones until the process ends.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "edge_proxy_support.h"
#include "gateway/edge_proxy/request_forwarder.h"
#include "simulated_network.h"

namespace marldale::edge_proxy::model {

// Parameters of one simulation.
struct EndingPlan {
    std::uint64_t seed = 1;
    Micros grace = 6 * kSecond;
    Micros timeLeft = 10 * kSecond;  // of each request
    Micros slowestAnswer = 3 * kSecond;
    Micros newClientEvery = 40 * kMs;
    unsigned keptClients = 6;
    Micros thinkTime = 20 * kMs;  // of a persistent client, between an answer and the next request
    unsigned servers = 4;
    Micros inboundQueue = 0;  // queueing delay of the proxy's inbound link
    Micros lossSlack = 200 * kMs;
    Micros readDelay = 0;       // delay in the proxy's loop, from the socket to the handler
    bool secondSignal = false;  // SIGTERM again, a second later
};

// Outcome of one request.
struct EndingRequest {
    Micros sentAt = 0;
    bool read = false;         // completely, by the proxy
    Micros serverFrom = 0;     // 0: no server received it
    Micros serverUntil = 0;    // when its answer leaves the server
    unsigned status = 0;       // of the complete answer; 0: none
    Micros closedAt = 0;       // when its client saw the connection end; 0: still open
    bool toldToClose = false;  // its answer had "Connection: close"
    unsigned arrivals = 0;
};

// Runs the simulation and records each request's outcome.
class EndingProxy {
public:
    explicit EndingProxy(EndingPlan plan);
    // Runs from one second before SIGTERM until well after the end.
    void play();

    // Violations of the rule that each request read by the proxy gets a complete answer or refusal, whatever
    // its server does.
    [[nodiscard]] std::vector<std::string> unanswered() const;
    // The same as seen by clients, which cannot tell what was read: connections that ended without an answer
    // later than `lossSlack` after the request was sent.
    [[nodiscard]] std::vector<std::string> closedUnanswered() const;

    std::map<std::string, EndingRequest> requests;
    Micros terminatedAt = 0;
    Micros endedAt = 0;  // 0: not ended

private:
    struct Client {
        std::shared_ptr<Connection> connection;
        std::string in, current;
        std::size_t givenBefore = 0;  // bytes sent on the connection, including the current request
        bool kept = false, closed = false;
    };

    void startServers();
    void serve(const std::shared_ptr<Connection>& connection, const std::string& head);
    void openClient(bool kept);
    void openClients();
    void send(Client& client);
    void onBytes(Client& client, std::string_view bytes);
    void onClosed(Client& client);
    void end();

    EndingPlan plan_;
    upstream::Draw draw_;
    SimulatedLoop loop_;
    upstream::Tables tables_;
    std::unique_ptr<RequestForwarder> forwarder_;
    std::vector<std::unique_ptr<Client>> clients_;
    std::vector<std::shared_ptr<std::string>> received_;
    unsigned lastRequest_ = 0;
};

}  // namespace marldale::edge_proxy::model
