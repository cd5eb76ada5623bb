// An edge proxy that gets SIGTERM while clients go on sending, in simulated time: servers answer after a
// while, clients use kept connections until these are closed and open new ones until the process is gone.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "edge_proxy_support.h"
#include "gateway/edge_proxy/request_forwarder.h"
#include "simulated_network.h"

namespace marldale::edge_proxy::model {

struct EndingPlan {
    std::uint64_t seed = 1;
    Micros grace = 6 * kSecond;
    Micros timeLeft = 10 * kSecond;  // of each request
    Micros slowestAnswer = 3 * kSecond;
    Micros newClientEvery = 40 * kMs;
    unsigned keptClients = 6;
    Micros thinkTime = 20 * kMs;  // of a kept client, between an answer and its next request
    unsigned servers = 4;
    Micros inboundQueue = 0;  // at the proxy's link
    Micros lossSlack = 200 * kMs;
    Micros readDelay = 0;       // of the proxy's loop, from the socket to the handler
    bool secondSignal = false;  // SIGTERM again, a second later
};

// What became of one request.
struct EndingRequest {
    Micros sentAt = 0;
    bool read = false;         // whole, by the proxy
    Micros serverFrom = 0;     // 0: no server has it
    Micros serverUntil = 0;    // its answer leaves the server
    unsigned status = 0;       // of the whole answer; 0: none
    Micros closedAt = 0;       // its client sees the connection ended; 0: it isn't
    bool toldToClose = false;  // its answer said so
    unsigned arrivals = 0;
};

class EndingProxy {
public:
    explicit EndingProxy(EndingPlan plan);
    // Plays from a second before SIGTERM until well after the end.
    void play();

    // The rule: a request that was read is answered or refused, whole, whatever its server does.
    [[nodiscard]] std::vector<std::string> unanswered() const;
    // The same as clients see it, who can't tell what was read: no connection ends without an answer later
    // than `lossSlack` after its request was sent.
    [[nodiscard]] std::vector<std::string> cutLate() const;

    std::map<std::string, EndingRequest> requests;
    Micros terminatedAt = 0;
    Micros endedAt = 0;  // 0: it never ended

private:
    struct Client {
        std::shared_ptr<Connection> connection;
        std::string in, current;
        std::size_t givenBefore = 0;  // bytes on the connection before the current request's last
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
