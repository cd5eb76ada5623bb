// Handler of the platform's readiness probe `/-/ready`: ready once there is a configuration and servers,
// until SIGTERM.
#pragma once

#include <functional>
#include <memory>
#include <unordered_set>

#include "gateway/http_server/client_connection.h"

namespace marldale::edge_proxy {

// Answers readiness probes.
class ReadinessHandler final : public http_server::RequestHandler {
public:
    explicit ReadinessHandler(std::function<bool()> isReady) : isReady_(std::move(isReady)) {}
    void add(const std::shared_ptr<http_server::ClientConnection>& client) { clients_.insert(client); }
    [[nodiscard]] std::size_t clients() const { return clients_.size(); }
    void closeAll();

    void onRequest(const std::shared_ptr<http_server::ClientConnection>& client) override;
    void onClientGone(http_server::ClientConnection&) override {}
    void onDrained(http_server::ClientConnection&) override {}
    void onClosed(http_server::ClientConnection& client) override;
    [[nodiscard]] const upstream::Limits& limits() const override { return limits_; }
    [[nodiscard]] bool closing() const override { return false; }
    bool hold(std::int64_t bytes) override;

private:
    std::function<bool()> isReady_;
    std::unordered_set<std::shared_ptr<http_server::ClientConnection>> clients_;
    upstream::Limits limits_;
};

}  // namespace marldale::edge_proxy
