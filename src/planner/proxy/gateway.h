// The proxy on sockets: accepts clients, forwards each request as the tables say, and passes the answer on
// while it comes. One thread, its loop's.
#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "attempts/body_quota.h"
#include "attempts/retry_budgets.h"
#include "proxy/attempt.h"
#include "proxy/body.h"
#include "proxy/box_pool.h"
#include "proxy/steering.h"
#include "proxy/tally.h"
#include "transport/listener.h"

namespace marldale::proxy {

struct RequestClass {
    std::string name, method, prefix;  // method: empty for any
    bool fragile = false;              // it must not run twice
    double worth = 1;                  // whose bodies give way first where room is short: the least
    Micros giveUp = 10 * 1000000LL;    // until the client is told that it takes too long
    Micros tryFor = 0;                 // of a try that another may follow; 0: as long as the request has
    std::string upgrade;               // a protocol that may be changed to; empty: none is passed on
};

struct GatewaySettings {
    std::vector<RequestClass> classes;  // the first that fits; the last one takes the rest
    HeadLimits heads;
    PoolLimits pool;
    BoxTls boxTls;
    std::shared_ptr<const tls::Context> clientTls;  // null: plain TCP
    bool halfClose = false;  // a client that says no more still gets its answer; else it counts as gone
    std::size_t clientsMost = 10000;
    std::size_t bodyKept = 65536;  // bytes of a request's body that are kept for another try
    std::size_t bodiesKept = std::size_t{32} << 20U;  // bytes, of all of them together
    Micros headWithin = 10 * 1000000LL, idleFor = 60 * 1000000LL, stallFor = 15 * 1000000LL;
    Micros drainFor = 10 * 1000000LL;
    Micros upgradedIdleFor = 600 * 1000000LL;  // a connection that changed its protocol stands still
    attempts::RetryBudgets::Settings retries;
};

struct GatewayFigures {
    std::uint64_t accepted = 0, turnedAway = 0;  // clients
    std::uint64_t requests = 0, refusedHeads = 0, levelRefused = 0, unpicked = 0;
    std::uint64_t tries = 0, again = 0, passedOn = 0, told = 0, cutShort = 0, clientsGone = 0;
    std::uint64_t upgraded = 0, bodiesGaveWay = 0, noBudget = 0;
};

class Gateway {
public:
    Gateway(transport::Loop& loop, const transport::Address& at, GatewaySettings settings,
            std::uint64_t seed);
    ~Gateway();
    Gateway(const Gateway&) = delete;
    Gateway& operator=(const Gateway&) = delete;

    [[nodiscard]] std::uint16_t port() const { return listener_->port(); }
    [[nodiscard]] Steering& steering() { return steering_; }
    // After the steering was told something: connections to boxes that may not be sent to any more are
    // closed.
    void steered();
    [[nodiscard]] Count takeCount();
    [[nodiscard]] const GatewayFigures& figures() const { return figures_; }
    [[nodiscard]] std::size_t clients() const { return clients_.size(); }

    // No new clients; those at work end theirs, `done` is called when none is left or the time is over.
    void drain(std::function<void()> done);
    [[nodiscard]] static Micros now();

private:
    class Client;
    friend class Client;
    void accepted(evutil_socket_t fd);
    void gone(Client* client);
    void gaveWay(attempts::BodyId id);
    void sweep();

    transport::Loop& loop_;
    const GatewaySettings settings_;
    Steering steering_;
    BoxPool pool_;
    Tally tally_;
    attempts::RetryBudgets budgets_;
    attempts::BodyQuota quota_;
    attempts::BodyId lastBody_ = 0;
    std::map<attempts::BodyId, Client*> bodies_;  // whose it is, while it is kept
    GatewayFigures figures_;
    std::map<Client*, std::unique_ptr<Client>> clients_;
    std::list<std::unique_ptr<Stream>> leaving_;  // clients' connections that linger
    std::unique_ptr<transport::Listener> listener_;
    transport::Timer sweeping_, drainLimit_;
    std::function<void()> drained_;
    bool draining_ = false;
};

}  // namespace marldale::proxy
