// Implementation of RequestForwarder: takes requests from clients, sends them to servers according to the
// tables and the retry rule, and returns the answers. All calls and handlers run on one thread.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>

#include "gateway/edge_proxy/connection_pool.h"
#include "gateway/edge_proxy/forwarded_request.h"
#include "gateway/edge_proxy/readiness.h"
#include "gateway/edge_proxy/request_forwarder.h"
#include "gateway/edge_proxy/termination_schedule.h"
#include "gateway/edge_proxy/traffic_stillness.h"
#include "gateway/edge_proxy/waiting_requests.h"
#include "gateway/http_server/listener.h"
#include "gateway/http_server/timers.h"

namespace marldale::edge_proxy {

class RequestForwarder::Impl final : public http_server::RequestHandler,
                                     public ServerConnectionOwner,
                                     public ForwardedRequestOwner,
                                     public std::enable_shared_from_this<Impl> {
public:
    Impl(std::shared_ptr<http_server::EventLoop> loop, ForwarderSettings settings, upstream::Tables& tables);
    ~Impl() override = default;

    absl::Status listen(boost::asio::io_context& context);
    void accept(std::unique_ptr<http_server::ByteStream> stream);
    void tablesChanged();
    void setIsolated(bool isIsolated);
    void terminate(std::function<void()> done);
    proto::LoadReport takeLoadReport(Micros now);
    void shutDown();
    [[nodiscard]] unsigned short frontPort() const { return front_->port(); }
    [[nodiscard]] unsigned short readinessPort() const { return readiness_->port(); }

    // http_server::RequestHandler, for client connections.
    void onRequest(const std::shared_ptr<http_server::ClientConnection>& client) override;
    void onClientGone(http_server::ClientConnection& client) override;
    void onDrained(http_server::ClientConnection& client) override;
    void onClosed(http_server::ClientConnection& client) override;
    [[nodiscard]] const upstream::Limits& limits() const override { return tables_.limits(); }
    [[nodiscard]] bool closing() const override { return termination_.begun(); }
    void onClientBytes() override { stillness_.traffic(timers_.now()); }
    bool hold(std::int64_t bytes) override;

    // ServerConnectionOwner.
    void onConnected(ServerConnection& connection, bool succeeded) override;
    void onAnswer(ServerConnection& connection) override;
    void onBroken(ServerConnection& connection) override;
    void onIdle(ServerConnection& connection) override;
    void onClosed(ServerConnection& connection) override;

    // ForwardedRequestOwner.
    void onTimeout(const ForwardedRequestPtr& request, Micros now) override;

private:
    class EndTimer final : public http_server::Timers::Item {
    public:
        EndTimer(http_server::Timers& timers, Impl& impl) : Item(timers), impl_(impl) {}
        void due(Micros now) override { impl_.onEndTimer(now); }

    private:
        Impl& impl_;
    };

    // Attempts of one request: server selection, sending, retries (attempts.cpp).
    void pickServer(const ForwardedRequestPtr& request, Micros now);
    void waitForRoom(const ForwardedRequestPtr& request, Micros now);
    void startAttempt(const ForwardedRequestPtr& request, const upstream::ServerPtr& server, Micros now);
    void sendOn(const ForwardedRequestPtr& request, const std::shared_ptr<ServerConnection>& connection,
                Micros now);
    [[nodiscard]] bool maySend(const ForwardedRequestPtr& request,
                               const std::shared_ptr<ServerConnection>& connection, Micros now);
    void composeFields(const ForwardedRequest& request, Micros now);
    void attemptEnded(const ForwardedRequestPtr& request, forwarding::AttemptResult result, Micros now);
    void noteResult(ForwardedRequest& request, forwarding::AttemptResult result, Micros now);
    void takeStep(const ForwardedRequestPtr& request, forwarding::NextStep step, Micros now);
    void finish(const ForwardedRequestPtr& request, forwarding::NextStep step);
    void passAnswer(ForwardedRequest& request, http_server::ClientConnection& client);
    // Releases the request's server and connection; the caller finishes or closes the connection.
    void release(ForwardedRequest& request);
    // Abandons a request whose client no longer waits.
    void drop(const ForwardedRequestPtr& request);
    // Returns an unused retry token.
    void returnToken(ForwardedRequest& request);
    void onAttemptTimeout(const ForwardedRequestPtr& request, Micros now);
    [[nodiscard]] bool retryElsewhere(const ForwardedRequestPtr& request, Micros now);
    void wakeWaitingLater(upstream::Service& service);
    void wakeWaiting();
    void wakeWaiting(upstream::Service& service, Micros now);

    // Server answers (answers.cpp).
    [[nodiscard]] bool answerMatches(const ForwardedRequest& request, const Answer& answer,
                                     const ServerConnection& connection) const;
    void onAnswerComplete(const ForwardedRequestPtr& request, ServerConnection& connection, Micros now);
    void holdOrStream(const ForwardedRequestPtr& request, ServerConnection& connection, Micros now);
    void streamOn(const ForwardedRequestPtr& request, ServerConnection& connection);
    void countHeld(ForwardedRequest& request, std::int64_t bytes);

    // Shutdown (termination.cpp).
    void onEndTimer(Micros now);
    void beginEnd(Micros now);
    void endProcess(Micros now);
    [[nodiscard]] bool nothingLeft() const;
    void closeIdleClients();
    void stopAccepting();
    void finishUnsent(Micros now);
    void giveUpSent(Micros now);
    void logUnfinished();
    void logUnfinished(http_server::ClientConnection& client) const;
    void endIfIdle();

    [[nodiscard]] bool isReady();
    [[nodiscard]] Micros retryAfter();

    std::shared_ptr<http_server::EventLoop> loop_;
    ForwarderSettings settings_;
    upstream::Tables& tables_;
    http_server::Timers timers_;
    std::optional<http_server::Listener> front_, readiness_;
    ReadinessHandler readinessHandler_;
    ConnectionPools pools_;
    WaitingRequests waiting_;
    std::unordered_set<std::shared_ptr<http_server::ClientConnection>> clients_;
    std::unordered_set<upstream::Service*> toWake_;
    bool wakePosted_ = false;
    std::int64_t heldBodies_ = 0, heldAnswers_ = 0;  // bytes
    upstream::Draw draw_;
    bool wasReady_ = false, shutDown_ = false;
    // Shutdown: connections are accepted; no work was left; requests already read are refused; finished.
    bool accepting_ = true, endNow_ = false, ending_ = false, ended_ = false;
    TerminationSchedule termination_;
    TrafficStillness stillness_;
    unsigned refusedLate_ = 0;  // requests that arrived too late to finish before the end
    std::function<void()> done_;
    EndTimer endTimer_;
    Micros reportFrom_ = 0;
    std::string fields_;  // added fields of the head being sent
};

}  // namespace marldale::edge_proxy
