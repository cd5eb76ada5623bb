// Connection pools to all servers: reuse of idle connections, opening of new ones, and limits on their
// number.
#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "gateway/edge_proxy/server_connection.h"
#include "gateway/upstream/tables.h"

namespace marldale::edge_proxy {

// The connections to one server.
struct Pool {
    upstream::ServerPtr server;
    std::optional<boost::asio::ip::tcp::endpoint> endpoint;
    std::vector<std::shared_ptr<ServerConnection>> idle;  // most recently used last
    std::unordered_set<ServerConnection*> all;
};

// One pool per server, with a common limit.
class ConnectionPools {
public:
    // Requirement of a request for a reused connection.
    enum class Reuse : std::uint8_t {
        ifOpen,          // open as far as known: the request may be repeated
        ifVerifiedOpen,  // the request must not run twice
    };

    // `maxConnections`: to all servers together. References must outlive this object.
    ConnectionPools(ServerConnectionOwner& owner, http_server::Timers& timers, std::size_t maxConnections,
                    const forwarding::Faults& faults);

    // Takes an idle connection to the server; null if none is suitable.
    std::shared_ptr<ServerConnection> takeIdle(const upstream::ServerPtr& server, Reuse reuse, Micros now);
    // Opens a connection and returns it while connecting. Null: a local limit is reached, which says nothing
    // about the server.
    std::shared_ptr<ServerConnection> connectNew(const upstream::ServerPtr& server);
    void closeIdle(const upstream::ServerPtr& server);
    // Closes idle connections to servers that are no longer usable, and removes empty pools.
    void dropUnusable();
    // Connection events, forwarded by the owner.
    void onIdle(ServerConnection& connection);
    void onClosed(ServerConnection& connection);
    [[nodiscard]] bool anyBusy() const;
    // Closes all connections without notifying the owner's requests.
    void closeAll();

private:
    Pool& poolOf(const upstream::ServerPtr& server);
    bool makeRoom(Pool& pool);
    static void closeOldestIdle(Pool& pool);
    static void closeIdle(Pool& pool);

    ServerConnectionOwner& owner_;
    http_server::Timers& timers_;
    std::size_t maxConnections_;
    const forwarding::Faults& faults_;
    std::unordered_map<const upstream::Server*, std::unique_ptr<Pool>> pools_;
    std::unordered_set<std::shared_ptr<ServerConnection>> connections_;
};

}  // namespace marldale::edge_proxy
