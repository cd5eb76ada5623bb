// Scripted parties on loopback for the tests of the planner's sockets, and a small configuration.
#pragma once

#include <chrono>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include "protocol/config.h"
#include "transport/connection.h"
#include "transport/listener.h"

namespace marldale::tests {

// Two zones, a and b; two classes, one name with a blank in it; nine proxies; two ready servers.
inline protocol::Json smallConfigJson() {
    return protocol::Json::parse(R"({"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1",
      "seed":"8c1f30d27a5be964","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
      "relay":{"address":"127.0.0.1:1"},
      "known":{"rev":1,"all":true,"targets":[
        {"uid":"s-1","endpoint":"127.0.0.1:9","az":"a","model":"m1","pod_group":1,"state":"ready",
         "capacity_hint":1.0,"boot_ms":0},
        {"uid":"s-2","endpoint":"127.0.0.1:9","az":"b","model":"m2","pod_group":2,"state":"ready",
         "capacity_hint":1.0,"boot_ms":0}]},
      "settings":{"me":0,"balancers":1,"failureDomains":["a","b"],"locality":"a","membershipMode":"pushed",
        "flavors":["m1","m2"],"telemetry":{"how":"probe","fields":["util","inflight"]},
        "limits":{"probes":true},"rules":{"coldShare":0.3,"warmUpUs":18000000,"tipMultiple":4.0},
        "extra":{"admission":"rate","pushRate":5500.0,"backlog":5500.0,"envelope":4.0,"agents":9,
                 "messagesMost":12,"messagesOverUs":10000000},
        "categories":[{"name":"lookup","aimUs":600000,"idempotency":"retryable"},
                      {"name":"write it","aimUs":700000,"idempotency":"fragile"}]}})");
}
inline protocol::Config smallConfig() { return protocol::parseConfig(smallConfigJson().dump()); }

// Runs the loop until `done` holds; false if it does not come to hold in time.
inline bool runUntil(transport::Loop& loop, const std::function<bool()>& done,
                     std::chrono::seconds most = std::chrono::seconds{20}) {
    const auto end = std::chrono::steady_clock::now() + most;
    std::unique_ptr<transport::Timer> poll;
    poll = std::make_unique<transport::Timer>(loop, [&] {
        if (done() || std::chrono::steady_clock::now() > end) return loop.stop();
        poll->after(transport::Millis{1});
    });
    poll->after(transport::Millis{0});
    loop.run();
    return done();
}

// Listens on a free port of loopback and does with each connection what the test says.
class Scripted {
public:
    struct Client {
        std::size_t number = 0;  // counted from 0 as they come
        std::unique_ptr<transport::Connection> connection;
        std::string got;
        bool ended = false;

        void say(std::string_view bytes) const { connection->write(bytes); }
        void hangUp() {
            ended = true;
            connection->close();
        }
    };
    using Script = std::function<void(Client&)>;  // called whenever bytes have come

    explicit Scripted(
        transport::Loop& loop, Script script = [](Client&) {})
        : loop_(loop),
          script_(std::move(script)),
          listener_(loop, {"127.0.0.1", 0}, [this](int fd) { accept(fd); }) {}

    [[nodiscard]] transport::Address address() const { return {"127.0.0.1", listener_.port()}; }
    [[nodiscard]] std::size_t came() const { return clients_.size(); }
    Client& client(std::size_t n) { return *std::next(clients_.begin(), static_cast<std::ptrdiff_t>(n)); }
    // What client `n` has sent so far; empty if there is none yet.
    std::string got(std::size_t n) { return n < clients_.size() ? client(n).got : ""; }

private:
    void accept(int fd) {
        Client& client = clients_.emplace_back();
        client.number = clients_.size() - 1;
        transport::Connection::Handlers handlers;
        handlers.received = [this, &client](std::string_view bytes) {
            client.got += bytes;
            script_(client);
        };
        handlers.ended = [&client](transport::Ended) { client.ended = true; };
        client.connection =
            std::make_unique<transport::Connection>(loop_, fd, std::size_t{32} << 20U, std::move(handlers));
    }

    transport::Loop& loop_;
    Script script_;
    std::list<Client> clients_;
    transport::Listener listener_;
};

// A client of the planner's address.
class Dialler {
public:
    Dialler(transport::Loop& loop, const transport::Address& to) {
        transport::Connection::Handlers handlers;
        handlers.connected = [this] { up = true; };
        handlers.received = [this](std::string_view bytes) { got += bytes; };
        handlers.ended = [this](transport::Ended) { ended = true; };
        connection = std::make_unique<transport::Connection>(loop, to, transport::Millis{5000},
                                                             std::size_t{32} << 20U, std::move(handlers));
    }
    std::unique_ptr<transport::Connection> connection;
    std::string got;
    bool up = false, ended = false;
};

}  // namespace marldale::tests
