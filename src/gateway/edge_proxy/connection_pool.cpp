#include "gateway/edge_proxy/connection_pool.h"

#include <algorithm>

#include "gateway/http_server/listener.h"

namespace marldale::edge_proxy {

using upstream::ServerPtr;

ConnectionPools::ConnectionPools(ServerConnectionOwner& owner, http_server::Timers& timers,
                                 std::size_t maxConnections, const forwarding::Faults& faults)
    : owner_(owner), timers_(timers), maxConnections_(maxConnections), faults_(faults) {}

Pool& ConnectionPools::poolOf(const ServerPtr& server) {
    auto& pool = pools_[server.get()];
    if (!pool) {
        pool = std::make_unique<Pool>();
        pool->server = server;
        pool->endpoint = http_server::readEndpoint(server->address);
    }
    return *pool;
}

std::shared_ptr<ServerConnection> ConnectionPools::takeIdle(const ServerPtr& server, Reuse reuse,
                                                            Micros now) {
    Pool& pool = poolOf(server);
    if (reuse == Reuse::ifVerifiedOpen) {
        // Unsuitable connections stay for requests that may be repeated.
        const auto fits = std::find_if(pool.idle.rbegin(), pool.idle.rend(), [now](const auto& connection) {
            return connection->verifiedOpen(now);
        });
        if (fits == pool.idle.rend()) return nullptr;
        const auto connection = *fits;
        pool.idle.erase(std::next(fits).base());
        return connection;
    }
    while (!pool.idle.empty()) {
        const auto connection = pool.idle.back();
        pool.idle.pop_back();
        if (connection->openUntil() >= now) return connection;
        connection->close();
    }
    return nullptr;
}

std::shared_ptr<ServerConnection> ConnectionPools::connectNew(const ServerPtr& server) {
    Pool& pool = poolOf(server);
    if (!pool.endpoint || !makeRoom(pool)) return nullptr;
    const auto connection = std::make_shared<ServerConnection>(owner_, timers_, pool, faults_);
    if (!connection->connect(*pool.endpoint)) return nullptr;
    pool.all.insert(connection.get());
    connections_.insert(connection);
    return connection;
}

bool ConnectionPools::makeRoom(Pool& pool) {
    const unsigned most = pool.server->maxConnections;
    if (most != 0 && pool.all.size() >= most) {
        if (pool.idle.empty()) return false;
        closeOldestIdle(pool);
    }
    if (connections_.size() < maxConnections_) return true;
    // Close an idle connection to another server rather than refuse the request.
    const auto other = std::find_if(pools_.begin(), pools_.end(),
                                    [](const auto& entry) { return !entry.second->idle.empty(); });
    if (other == pools_.end()) return false;
    closeOldestIdle(*other->second);
    return true;
}

void ConnectionPools::closeOldestIdle(Pool& pool) {
    const auto oldest = pool.idle.front();
    pool.idle.erase(pool.idle.begin());
    oldest->close();
}

void ConnectionPools::closeIdle(Pool& pool) {
    const auto idle = std::move(pool.idle);
    pool.idle.clear();
    for (const auto& connection : idle) connection->close();
}

void ConnectionPools::closeIdle(const ServerPtr& server) { closeIdle(poolOf(server)); }

void ConnectionPools::dropUnusable() {
    for (auto& [server, pool] : pools_) {
        if (!server->usable()) closeIdle(*pool);
    }
    std::erase_if(pools_,
                  [](const auto& entry) { return !entry.first->listed && entry.second->all.empty(); });
}

void ConnectionPools::onIdle(ServerConnection& connection) {
    Pool& pool = connection.pool();
    if (!pool.server->usable()) return connection.close();
    pool.idle.push_back(connection.shared_from_this());
}

void ConnectionPools::onClosed(ServerConnection& connection) {
    Pool& pool = connection.pool();
    pool.all.erase(&connection);
    std::erase(pool.idle, connection.shared_from_this());
    connections_.erase(connection.shared_from_this());
}

bool ConnectionPools::anyBusy() const {
    return std::any_of(connections_.begin(), connections_.end(), [](const auto& connection) {
        return connection->state() == ServerConnection::State::busy;
    });
}

void ConnectionPools::closeAll() {
    const auto connections = std::move(connections_);
    connections_.clear();
    for (const auto& connection : connections) {
        connection->user.reset();  // breaks the reference cycle
        connection->close();
    }
}

}  // namespace marldale::edge_proxy
