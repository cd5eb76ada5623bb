// Shutdown: the proxy serves until no client sends to it any more, finishes pending requests, and ends before
// its grace period does.
#include <algorithm>
#include <utility>
#include <vector>

#include "gateway/edge_proxy/forwarder_impl.h"
#include "gateway/log/log.h"

namespace marldale::edge_proxy {
namespace {

using http_server::ClientConnection;

constexpr Micros kFlushCheckInterval = 20000;
constexpr Micros kFinalTurnDelay = 20000;  // for handlers that are already due
constexpr Micros kMicrosPerMs = 1000;
constexpr unsigned kMaxLoggedRequests = 5;  // log lines, one per unfinished request

// Counts of what the shutdown leaves unanswered.
struct Unfinished {
    unsigned requests = 0;          // sent to a server or streaming an answer
    unsigned onNewConnections = 0;  // of these, on connections opened after SIGTERM
    unsigned takenLate = 0;         // of these, read after the platform should have stopped sending
    Micros latest = 0;              // time after SIGTERM at which the last of them was read
    unsigned unwritten = 0;         // answers not completely written to the client
};

}  // namespace

void RequestForwarder::Impl::terminate(std::function<void()> done) {
    if (termination_.begun()) return;
    termination_.begin(timers_.now(), settings_.grace);
    done_ = std::move(done);
    endTimer_.wake(0);
}

void RequestForwarder::Impl::onEndTimer(Micros now) {
    if (ending_) return endProcess(now);
    // A client may have connected since the last one left.
    if (now >= termination_.lastMoment() || (endNow_ && nothingLeft())) return beginEnd(now);
    endNow_ = false;
    if (now >= termination_.acceptUntil()) stopAccepting();
    // On a saturated link a request may be in transit to any connection, so idle ones stay open until the
    // link is quiet.
    const bool isStill = stillness_.check(now);
    if (isStill && now >= termination_.serveUntil()) closeIdleClients();
    if (now < termination_.endAt()) {
        endTimer_.wake(std::min(now + TrafficStillness::kCheckInterval, termination_.endAt()));
    } else {
        // Answers being written, or about to be, still get until the last moment.
        finishUnsent(now);
        endTimer_.wake(std::min(now + kFlushCheckInterval, termination_.lastMoment()));
    }
    endIfIdle();
}

// Stops accepting; requests that were read but not handled yet are still refused.
void RequestForwarder::Impl::beginEnd(Micros now) {
    stopAccepting();
    if (now < termination_.lastMoment() && !nothingLeft()) return endTimer_.wake(0);
    ending_ = true;
    closeIdleClients();
    endTimer_.wake(now + kFinalTurnDelay);
}

// Connections in the accept queue may already carry a request.
void RequestForwarder::Impl::stopAccepting() {
    if (!std::exchange(accepting_, false) || !front_) return;
    front_->acceptWaiting();
    front_->close();
}

void RequestForwarder::Impl::endProcess(Micros now) {
    if (ended_) return;
    ended_ = true;
    logUnfinished();
    finishUnsent(now);
    giveUpSent(now);
    if (done_) done_();
}

bool RequestForwarder::Impl::nothingLeft() const { return clients_.empty() && !pools_.anyBusy(); }

void RequestForwarder::Impl::closeIdleClients() {
    const std::vector<std::shared_ptr<ClientConnection>> clients(clients_.begin(), clients_.end());
    for (const auto& client : clients) client->closeIfUnused();
}

// Gives requests that no server holds a final answer instead of closing their connections: a refusal if
// nothing was sent, so that the client may retry elsewhere, or else an answer that allows for the request
// having run.
void RequestForwarder::Impl::finishUnsent(Micros now) {
    const std::vector<std::shared_ptr<ClientConnection>> clients(clients_.begin(), clients_.end());
    for (const auto& client : clients) {
        if (!client->exchange) continue;
        const auto request = std::static_pointer_cast<ForwardedRequest>(client->exchange);
        if (request->stage != Stage::waiting && request->stage != Stage::connecting) continue;
        if (request->stage == Stage::waiting) waiting_.remove(*request);
        release(*request);
        finish(request, request->retry.finalStep(now));
    }
}

// Answers requests that a server still holds, since it may have run them. A streaming answer can only be cut.
void RequestForwarder::Impl::giveUpSent(Micros now) {
    const std::vector<std::shared_ptr<ClientConnection>> clients(clients_.begin(), clients_.end());
    for (const auto& client : clients) {
        if (!client->exchange) continue;
        const auto request = std::static_pointer_cast<ForwardedRequest>(client->exchange);
        if (request->stage == Stage::sent) attemptEnded(request, forwarding::AttemptResult::timedOut, now);
    }
}

void RequestForwarder::Impl::logUnfinished() {
    Unfinished found;
    for (const auto& client : clients_) {
        if (!client->exchange) {
            found.unwritten += client->pending() > 0 ? 1 : 0;
            continue;
        }
        const Micros taken = client->request().began;
        if (found.requests++ < kMaxLoggedRequests) logUnfinished(*client);
        found.onNewConnections += client->openedAt() > termination_.begunAt() ? 1 : 0;
        found.takenLate += taken > termination_.serveUntil() ? 1 : 0;
        found.latest = std::max(found.latest, taken - termination_.begunAt());
    }
    log::info("ended_with", {{"unfinished", found.requests},
                             {"on_new_connections", found.onNewConnections},
                             {"taken_late", found.takenLate},
                             {"latest_taken_ms", found.latest / kMicrosPerMs},
                             {"unwritten", found.unwritten},
                             {"refused_late", refusedLate_}});
}

void RequestForwarder::Impl::logUnfinished(ClientConnection& client) const {
    const auto request = std::static_pointer_cast<ForwardedRequest>(client.exchange);
    const Micros now = loop_->now();
    log::info("unfinished_request", {{"id", client.request().tryId},
                                     {"streaming", request->stage == Stage::streaming},
                                     {"taken_ms_ago", (now - client.request().began) / kMicrosPerMs},
                                     {"sent_ms_ago", (now - request->sentAt) / kMicrosPerMs},
                                     {"sends", request->retry.sends()},
                                     {"server", request->server ? request->server->id : ""},
                                     {"peer_suspected", request->peerSuspected},
                                     {"unwritten", client.pending()}});
}

// Busy server connections without clients belong to abandoned requests that must not run twice.
void RequestForwarder::Impl::endIfIdle() {
    if (!termination_.begun() || ending_ || !nothingLeft()) return;
    if (timers_.now() < termination_.serveUntil()) return;
    endNow_ = true;
    endTimer_.wake(0);
}

}  // namespace marldale::edge_proxy
