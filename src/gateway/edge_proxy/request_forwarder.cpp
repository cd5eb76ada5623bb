#include "gateway/edge_proxy/request_forwarder.h"

#include <algorithm>
#include <csignal>

#include "gateway/edge_proxy/forwarder_impl.h"
#include "gateway/http_server/asio_event_loop.h"

namespace marldale::edge_proxy {
namespace {

using forwarding::NextStep;
using http_server::ClientConnection;

constexpr std::size_t kNonSocketFiles = 200;          // of `openFiles`, for files other than sockets
constexpr std::size_t kInternalSockets = 60;          // listeners, links to controllers
constexpr double kClientShare = 0.6;                  // of the rest; server connections get the remainder
constexpr std::int64_t kMaxHeldBodyBytes = 32 << 20;  // total of buffered request bodies
constexpr double kQueueShare = 0.25;    // of a route's target time, as the maximum time in the queue
constexpr Micros kQueueMargin = 15000;  // subtracted from the queue time
constexpr Micros kMinRetryAfter = 100000, kRetryAfterSpread = 150000;
constexpr Micros kUnconfiguredRetryAfter = 300000;  // Retry-After while there is no configuration

std::size_t maxClients(const ForwarderSettings& settings) {
    const std::size_t files = settings.openFiles > 2 * (kNonSocketFiles + kInternalSockets)
                                  ? settings.openFiles - kNonSocketFiles - kInternalSockets
                                  : settings.openFiles / 2;
    return static_cast<std::size_t>(static_cast<double>(files) * kClientShare);
}

std::size_t maxServerConnections(const ForwarderSettings& settings) {
    return static_cast<std::size_t>(static_cast<double>(maxClients(settings)) / kClientShare *
                                    (1 - kClientShare));
}

}  // namespace

// ---- lifecycle ----

RequestForwarder::Impl::Impl(std::shared_ptr<http_server::EventLoop> loop, ForwarderSettings settings,
                             upstream::Tables& tables)
    : loop_(std::move(loop)),
      settings_(std::move(settings)),
      tables_(tables),
      timers_(*loop_),
      readinessHandler_([this] { return isReady(); }),
      pools_(*this, timers_, maxServerConnections(settings_), settings_.faults),
      draw_(settings_.seed),
      endTimer_(timers_, *this) {
    tables_.setDefaults({settings_.retryRatio, settings_.extraTries, settings_.seed, settings_.zone});
    reportFrom_ = timers_.now();
}

absl::Status RequestForwarder::Impl::listen(boost::asio::io_context& context) {
    std::signal(SIGPIPE, SIG_IGN);
    front_.emplace(
        context, timers_, *this, [this] { return clients_.size() < maxClients(settings_); },
        [this](const std::shared_ptr<ClientConnection>& client) { clients_.insert(client); });
    readiness_.emplace(
        context, timers_, readinessHandler_,
        [this] { return readinessHandler_.clients() < kInternalSockets / 2; },
        [this](const std::shared_ptr<ClientConnection>& client) { readinessHandler_.add(client); });
    absl::Status status = readiness_->listen(settings_.readiness);
    if (status.ok()) status = front_->listen(settings_.front);
    return status;
}

void RequestForwarder::Impl::accept(std::unique_ptr<http_server::ByteStream> stream) {
    if (!accepting_) return stream->close();
    const auto client = std::make_shared<ClientConnection>(std::move(stream), *this, timers_);
    clients_.insert(client);
    client->start();
}

void RequestForwarder::Impl::shutDown() {
    shutDown_ = true;
    if (front_) front_->close();
    if (readiness_) readiness_->close();
    const auto clients = std::move(clients_);
    clients_.clear();
    for (const auto& client : clients) client->close();
    readinessHandler_.closeAll();
    pools_.closeAll();
    waiting_.clear();
}

bool RequestForwarder::Impl::isReady() {
    // Once ready the proxy stays ready, whatever happens to its controller.
    if (tables_.configured() && tables_.holdsServers()) wasReady_ = true;
    return wasReady_ && !termination_.begun();
}

Micros RequestForwarder::Impl::retryAfter() {
    return kMinRetryAfter + static_cast<Micros>(draw_.unit() * static_cast<double>(kRetryAfterSpread));
}

bool RequestForwarder::Impl::hold(std::int64_t bytes) {
    if (bytes > 0 && heldBodies_ + bytes > kMaxHeldBodyBytes) return false;
    heldBodies_ += bytes;
    return true;
}

void RequestForwarder::Impl::tablesChanged() {
    pools_.dropUnusable();
    for (upstream::Service* service : waiting_.services()) wakeWaitingLater(*service);
}

void RequestForwarder::Impl::setIsolated(bool isIsolated) {
    if (tables_.isolated() == isIsolated) return;
    tables_.setIsolated(isIsolated);
    for (upstream::Service* service : waiting_.services()) wakeWaitingLater(*service);
}

proto::LoadReport RequestForwarder::Impl::takeLoadReport(Micros now) {
    proto::LoadReport report;
    report.set_period(std::max<Micros>(0, now - reportFrom_));
    reportFrom_ = now;
    tables_.takeLoadReport(report);
    return report;
}

// ---- clients ----

void RequestForwarder::Impl::onRequest(const std::shared_ptr<ClientConnection>& client) {
    const Micros now = timers_.now();
    const http_server::Request& incoming = client->request();
    if (!tables_.configured()) return client->answerOwn(503, kUnconfiguredRetryAfter);
    const auto route = tables_.route(incoming.host, incoming.path());
    if (!route) return client->answerOwn(404);
    upstream::Service& service = tables_.serviceOf(*route);
    tables_.countRequest(service, route->kind);
    const Micros left = std::min(incoming.timeLeft.value_or(route->giveUp), route->giveUp);
    const auto request = std::make_shared<ForwardedRequest>(*this, timers_, client, service, *route,
                                                            incoming.began + left, settings_.faults);
    request->queueTime = static_cast<Micros>(static_cast<double>(route->target) * kQueueShare) - kQueueMargin;
    request->waitUntil = incoming.began + request->queueTime;
    client->exchange = request;
    if (ending_ || !termination_.accepts(now, request->retry.deadline())) {
        ++refusedLate_;
        return finish(request, NextStep::refuse);
    }
    if (!tables_.admit(service, route->kind, now)) return finish(request, NextStep::refuse);
    pickServer(request, now);
}

void RequestForwarder::Impl::onClientGone(ClientConnection& client) {
    if (!client.exchange || shutDown_) return;
    const auto request = std::static_pointer_cast<ForwardedRequest>(client.exchange);
    if (request->stage == Stage::done) return;
    request->clientGone = true;
    // A request that must not run twice and may be running is allowed to finish: its effects are permanent.
    if (request->stage == Stage::sent && !request->retry.repeatable()) return;
    drop(request);
}

void RequestForwarder::Impl::onDrained(ClientConnection& client) {
    if (!client.exchange) return;
    const auto request = std::static_pointer_cast<ForwardedRequest>(client.exchange);
    if (request->stage == Stage::streaming && request->connection) request->connection->resume();
}

void RequestForwarder::Impl::onClosed(ClientConnection& client) {
    if (shutDown_) return;
    clients_.erase(client.shared_from_this());
    endIfIdle();
}

// ---- connections to servers ----

void RequestForwarder::Impl::onIdle(ServerConnection& connection) {
    if (!shutDown_) pools_.onIdle(connection);
}

void RequestForwarder::Impl::onClosed(ServerConnection& connection) {
    if (shutDown_) return;
    pools_.onClosed(connection);
    if (termination_.begun()) endIfIdle();
}

// ---- RequestForwarder ----

RequestForwarder::RequestForwarder(boost::asio::io_context& context, ForwarderSettings settings,
                                   upstream::Tables& tables)
    : context_(&context),
      impl_(std::make_shared<Impl>(std::make_shared<http_server::AsioEventLoop>(context), std::move(settings),
                                   tables)) {}

RequestForwarder::RequestForwarder(http_server::EventLoop& loop, ForwarderSettings settings,
                                   upstream::Tables& tables)
    : impl_(std::make_shared<Impl>(std::shared_ptr<http_server::EventLoop>(std::shared_ptr<void>(), &loop),
                                   std::move(settings), tables)) {}

RequestForwarder::~RequestForwarder() { impl_->shutDown(); }

absl::Status RequestForwarder::listen() {
    if (context_ == nullptr) return absl::FailedPreconditionError("no io_context to listen with");
    return impl_->listen(*context_);
}
void RequestForwarder::accept(std::unique_ptr<http_server::ByteStream> stream) {
    impl_->accept(std::move(stream));
}
void RequestForwarder::tablesChanged() { impl_->tablesChanged(); }
void RequestForwarder::setIsolated(bool isIsolated) { impl_->setIsolated(isIsolated); }
void RequestForwarder::terminate(std::function<void()> done) { impl_->terminate(std::move(done)); }
proto::LoadReport RequestForwarder::takeLoadReport(Micros now) { return impl_->takeLoadReport(now); }
unsigned short RequestForwarder::frontPort() const { return impl_->frontPort(); }
unsigned short RequestForwarder::readinessPort() const { return impl_->readinessPort(); }

}  // namespace marldale::edge_proxy
