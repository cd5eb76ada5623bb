#include "ending_proxy.h"

namespace marldale::edge_proxy::model {
namespace {

constexpr unsigned short kFirstPort = 1000;
constexpr Micros kTrafficBeforeSignal = kSecond;  // duration of traffic before SIGTERM
constexpr Micros kSecondSignalAfter = kSecond;

}  // namespace

EndingProxy::EndingProxy(EndingPlan plan) : plan_(plan), draw_(plan.seed) {}

void EndingProxy::play() {
    loop_.readDelay = plan_.readDelay;
    loop_.inboundQueue = plan_.inboundQueue;
    startServers();
    for (unsigned k = 0; k < plan_.keptClients; ++k) openClient(true);
    openClients();
    loop_.after(kTrafficBeforeSignal, [this] {
        terminatedAt = loop_.now();
        forwarder_->terminate([this] { loop_.post([this] { end(); }); });
    });
    if (plan_.secondSignal) {
        loop_.after(kTrafficBeforeSignal + kSecondSignalAfter, [this] {
            if (forwarder_) forwarder_->terminate([this] { loop_.post([this] { end(); }); });
        });
    }
    loop_.runUntil(loop_.now() + kTrafficBeforeSignal + plan_.grace + kSecond);
    forwarder_.reset();
    loop_.runUntil(loop_.now() + kSecond);
}

// The process ends, and its connections with it.
void EndingProxy::end() {
    endedAt = loop_.now();
    for (const auto& client : clients_) {
        if (client->current.empty()) continue;
        EndingRequest& request = requests.at(client->current);
        request.read = client->connection->readByProxy >= client->givenBefore;
    }
    forwarder_.reset();
}

std::vector<std::string> EndingProxy::unanswered() const {
    std::vector<std::string> out;
    for (const auto& [id, request] : requests) {
        if (request.status != 0 || !request.read) continue;
        out.push_back(id + " sent " + std::to_string((request.sentAt - terminatedAt) / kMs) +
                      " ms after SIGTERM");
    }
    return out;
}

std::vector<std::string> EndingProxy::closedUnanswered() const {
    std::vector<std::string> out;
    for (const auto& [id, request] : requests) {
        if (request.status != 0 || request.closedAt - request.sentAt <= plan_.lossSlack) continue;
        out.push_back(id + " sent " + std::to_string((request.sentAt - terminatedAt) / kMs) +
                      " ms after SIGTERM, cut " + std::to_string((request.closedAt - terminatedAt) / kMs) +
                      " ms after it");
    }
    return out;
}

// ---- servers ----

void EndingProxy::startServers() {
    loop_.onConnect = [](unsigned short) { return ConnectResult::accepted; };
    loop_.onAccepted = [this](unsigned short, const std::shared_ptr<Connection>& connection) {
        const auto in = std::make_shared<std::string>();
        received_.push_back(in);
        connection->onBytes = [this, in, connection = connection.get()](std::string_view bytes) {
            in->append(bytes);
            const std::size_t end = in->find("\r\n\r\n");
            if (end == std::string::npos) return;
            const std::string head = in->substr(0, end + 2);
            in->clear();
            serve(connection->shared_from_this(), head);
        };
    };
    ForwarderSettings settings;
    settings.grace = plan_.grace;
    settings.extraTries = 4000;
    settings.seed = plan_.seed;
    forwarder_ = std::make_unique<RequestForwarder>(loop_, settings, tables_);
    proto::ResourceBatch orders;
    orders.set_index(1);
    orders.set_fresh(true);
    orders.set_servers_whole(true);
    World::route(orders, "/r/", proto::RouteResource::READ_ONLY, "s", 2, 400 * kMs, plan_.timeLeft);
    for (unsigned k = 0; k < plan_.servers; ++k) {
        auto* line = orders.add_resources()->mutable_server();
        line->set_id("i-" + std::to_string(k));
        line->set_service("s");
        line->set_address("10.0.0.1:" + std::to_string(kFirstPort + k));
        line->set_zone("z");
    }
    tables_.apply(orders, loop_.now());
    forwarder_->tablesChanged();
}

void EndingProxy::serve(const std::shared_ptr<Connection>& connection, const std::string& head) {
    const std::string id = fieldOf(head, "X-Try-Id");
    const Micros takes = static_cast<Micros>(draw_.unit() * static_cast<double>(plan_.slowestAnswer));
    EndingRequest& request = requests.at(id);
    ++request.arrivals;
    request.serverFrom = loop_.now();
    request.serverUntil = loop_.now() + takes;
    loop_.after(takes, [weak = std::weak_ptr(connection), id] {
        if (const auto open = weak.lock()) open->give(good(id));
    });
}

// ---- clients ----

void EndingProxy::openClient(bool kept) {
    if (!forwarder_) return;  // the connection is refused
    auto client = std::make_unique<Client>();
    Client& made = *client;
    clients_.push_back(std::move(client));
    made.kept = kept;
    made.connection = loop_.newConnection();
    made.connection->onBytes = [this, &made](std::string_view bytes) { onBytes(made, bytes); };
    made.connection->onProxyClosed = [this, &made] { onClosed(made); };
    forwarder_->accept(SimulatedLoop::streamOf(made.connection));
    send(made);
}

void EndingProxy::openClients() {
    if (!forwarder_) return;
    openClient(false);
    loop_.after(plan_.newClientEvery, [this] { openClients(); });
}

// The client uses its connection as long as it is open, even after "Connection: close".
void EndingProxy::send(Client& client) {
    if (client.closed || !client.current.empty() || !forwarder_) return;
    client.current = "q" + std::to_string(++lastRequest_);
    EndingRequest& request = requests[client.current];
    request.sentAt = loop_.now();
    const std::string text = "GET /r/a HTTP/1.1\r\nHost: a.example\r\nX-Try-Id: " + client.current +
                             "\r\nX-Time-Left: " + std::to_string(plan_.timeLeft / kMs) + "\r\n\r\n";
    client.givenBefore += text.size();
    client.connection->give(text);
}

void EndingProxy::onBytes(Client& client, std::string_view bytes) {
    client.in.append(bytes);
    const auto reply = takeReply(client.in);
    if (!reply || client.current.empty()) return;
    EndingRequest& request = requests.at(client.current);
    request.read = true;
    request.status = reply->status;
    request.toldToClose = fieldOf(reply->head, "Connection") == "close";
    client.current.clear();
    if (client.kept) loop_.after(plan_.thinkTime, [this, &client] { send(client); });
}

void EndingProxy::onClosed(Client& client) {
    client.closed = true;
    if (client.current.empty()) return;
    EndingRequest& request = requests.at(client.current);
    request.closedAt = loop_.now();
    if (client.connection->readByProxy >= client.givenBefore) request.read = true;
}

}  // namespace marldale::edge_proxy::model
