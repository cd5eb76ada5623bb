// The platform as a planner meets it, on loopback: discovery, the relay with its proxies, and the sites'
// collectors.
#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "marldale/relay_tables.h"
#include "protocol/lines.h"
#include "standin/loop_thread.h"
#include "standin/watch.h"
#include "standin/world.h"
#include "transport/connection.h"
#include "transport/listener.h"

namespace marldale::standin {

// A message that has reached a relay.
struct Delivered {
    int relay = 0;
    View view;
    std::set<std::string> shut;
    std::optional<unsigned> mark;
};
// What a relay holds by its tables, for every class.
[[nodiscard]] View viewOf(const client::RelayTables& tables, int relay,
                          const std::vector<std::string>& classes);

// An order's text as the message of the gRPC protocol that says the same.
[[nodiscard]] v1::Order readOrder(const std::string& text);

class PlatformParty {
public:
    explicit PlatformParty(std::vector<std::string> classes, std::uint64_t rev);
    ~PlatformParty();

    [[nodiscard]] std::string discovery() const { return discoveryAddress_; }
    [[nodiscard]] std::string relay() const { return relayAddress_; }

    // Until the planner watches both.
    void awaitPlanner();
    void list(const std::vector<ListChange>& changes);
    void hello(const RelayHello& hello);
    void bye(int relay);
    void ack(const RelayAck& ack);
    // A site's collector sends frames to the planner's address; it is dialled when it is first needed.
    void collect(const std::string& site, const std::string& planner,
                 const std::vector<std::string>& messages);

    // Messages since the last time.
    [[nodiscard]] std::vector<Delivered> take();
    [[nodiscard]] std::uint64_t calls();
    [[nodiscard]] std::uint64_t orders();
    // If set, relays apply at once what they are told and answer marks; `take` has nothing then. Called in
    // the loop's thread at each call, once it is carried out and before it is answered.
    using OnCall = std::function<void(std::size_t orders, const client::RelayTables& tables,
                                      const client::RelayTables::Outcome& outcome)>;
    void setOnCall(OnCall onCall);

    // The messages that a collector sends.
    [[nodiscard]] static std::string agent(const std::string& site);
    [[nodiscard]] static std::string text(const SumRow& row);
    [[nodiscard]] static std::string text(const DemandRow& row);

private:
    struct Client {
        std::unique_ptr<transport::Connection> connection;
        protocol::LineReader reader{std::size_t{1} << 20U};
        bool watches = false;
    };
    using Clients = std::list<Client>;
    struct Collector {
        std::unique_ptr<transport::Connection> connection;
    };

    void accept(Clients& clients, int fd, void (PlatformParty::*line)(Client&, std::string_view));
    void discoveryLine(Client& client, std::string_view line);
    void relayLine(Client& client, std::string_view line);
    void apply(const Client& client, const std::string& text);
    void tell(const Clients& clients, const std::string& text) const;
    void deliver(const client::RelayTables::Outcome& outcome);
    void tellAck(const RelayAck& ack) const;
    [[nodiscard]] std::string chunk(const std::vector<ListChange>& changes) const;
    void quiet();

    const std::vector<std::string> classes_;
    Watch watch_;
    std::vector<Delivered> delivered_;
    std::uint64_t calls_ = 0, orders_ = 0;
    int watches_ = 0;
    std::string discoveryAddress_, relayAddress_;

    LoopThread thread_;
    // Of the loop's thread.
    OnCall onCall_;
    std::uint64_t rev_;
    client::RelayTables tables_;
    std::map<int, RelayHello> joined_;
    Clients discoveryClients_, relayClients_;
    std::map<std::string, Collector> collectors_;
    std::unique_ptr<transport::Listener> discoveryListener_, relayListener_;
    std::unique_ptr<transport::Timer> quiet_;
};

}  // namespace marldale::standin
