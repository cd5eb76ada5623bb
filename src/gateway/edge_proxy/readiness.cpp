#include "gateway/edge_proxy/readiness.h"

namespace marldale::edge_proxy {
namespace {

constexpr std::int64_t kMaxBody = 65536;

}  // namespace

void ReadinessHandler::onRequest(const std::shared_ptr<http_server::ClientConnection>& client) {
    if (client->request().path() != "/-/ready") return client->answerOwn(404);
    client->answerOwn(isReady_() ? 200 : 503);
}

void ReadinessHandler::onClosed(http_server::ClientConnection& client) {
    clients_.erase(client.shared_from_this());
}

bool ReadinessHandler::hold(std::int64_t bytes) { return bytes < kMaxBody; }

void ReadinessHandler::closeAll() {
    const auto clients = std::move(clients_);
    clients_.clear();
    for (const auto& client : clients) client->close();
}

}  // namespace marldale::edge_proxy
