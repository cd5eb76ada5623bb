// The attempts of one request: picks a server, queues if none has capacity, connects and sends. The outcome
// of an attempt decides whether another follows or how the request ends for the client.
#include <algorithm>
#include <array>
#include <charconv>

#include "gateway/edge_proxy/forwarder_impl.h"

namespace marldale::edge_proxy {
namespace {

using forwarding::AttemptResult;
using forwarding::NextStep;
using http_server::ClientConnection;
using upstream::Kind;
using upstream::Room;

constexpr Micros kRoomCheckInterval = 20000;  // no event signals that a cold limit or overload has ended
constexpr Micros kOverloadBackoff = 30000;    // how long a server that reported overload gets nothing
constexpr Micros kMinTimeToSend = 1000;       // with less time left the request is not sent

void appendNumber(std::string& text, std::uint64_t number) {
    std::array<char, 24> digits{};
    const auto made = std::to_chars(digits.data(), digits.data() + digits.size(), number);
    text.append(digits.data(), made.ptr);
}

NextStep deadlineStep(const ForwardedRequest& request) {
    return request.retry.mayHaveRun() ? NextStep::gatewayTimeout : NextStep::refuse;
}

}  // namespace

// ---- server selection ----

void RequestForwarder::Impl::pickServer(const ForwardedRequestPtr& request, Micros now) {
    if (now >= request->retry.deadline()) return finish(request, deadlineStep(*request));
    const upstream::Pick pick = tables_.pick(request->service, request->kind, request->tried, now);
    switch (pick.room) {
        case Room::found: return startAttempt(request, pick.server, now);
        case Room::none: return finish(request, request->retry.finalStep(now));
        case Room::full:
            if (now >= request->waitUntil) return finish(request, request->retry.finalStep(now));
            return waitForRoom(request, now);
    }
}

void RequestForwarder::Impl::waitForRoom(const ForwardedRequestPtr& request, Micros now) {
    const ForwardedRequestPtr tooMany = waiting_.add(request);
    if (tooMany != request) request->wake(std::min(request->waitUntil, now + kRoomCheckInterval));
    if (tooMany) finish(tooMany, tooMany->retry.finalStep(now));
}

void RequestForwarder::Impl::wakeWaitingLater(upstream::Service& service) {
    if (!waiting_.anyFor(service)) return;
    toWake_.insert(&service);
    if (wakePosted_) return;
    wakePosted_ = true;
    loop_->post([self = shared_from_this()] {
        if (!self->shutDown_) self->wakeWaiting();
    });
}

void RequestForwarder::Impl::wakeWaiting() {
    wakePosted_ = false;
    const auto services = std::move(toWake_);
    toWake_.clear();
    const Micros now = timers_.now();
    for (upstream::Service* service : services) wakeWaiting(*service, now);
}

void RequestForwarder::Impl::wakeWaiting(upstream::Service& service, Micros now) {
    std::array<bool, upstream::kKinds> full{};  // for requests that have tried no server
    QueuePlace after;
    while (const ForwardedRequestPtr request = waiting_.next(service, after)) {
        after = request->place;
        bool& noneHasRoom = full[static_cast<std::size_t>(request->kind)];
        if (noneHasRoom && request->tried.empty()) continue;
        const upstream::Pick pick = tables_.pick(service, request->kind, request->tried, now);
        if (pick.room == Room::full) {
            noneHasRoom = noneHasRoom || request->tried.empty();
            continue;
        }
        waiting_.remove(*request);
        if (pick.room == Room::found) {
            startAttempt(request, pick.server, now);
        } else {
            finish(request, request->retry.finalStep(now));
        }
    }
}

// ---- one attempt ----

void RequestForwarder::Impl::startAttempt(const ForwardedRequestPtr& request,
                                          const upstream::ServerPtr& server, Micros now) {
    request->server = server;
    ++server->inFlight;
    server->breaker.sent();
    const auto reuse =
        request->retry.repeatable() ? ConnectionPools::Reuse::ifOpen : ConnectionPools::Reuse::ifVerifiedOpen;
    if (const auto connection = pools_.takeIdle(server, reuse, now)) return sendOn(request, connection, now);
    const auto connection = pools_.connectNew(server);
    if (!connection) {
        request->tried.push_back(server);
        release(*request);
        return attemptEnded(request, AttemptResult::connectFailed, now);
    }
    request->stage = Stage::connecting;
    request->connection = connection;
    connection->user = request;
    request->wake(request->retry.deadline());
}

void RequestForwarder::Impl::onConnected(ServerConnection& connection, bool succeeded) {
    if (shutDown_) return;
    const auto self = connection.shared_from_this();
    const auto request = std::static_pointer_cast<ForwardedRequest>(connection.user);
    const Micros now = timers_.now();
    if (succeeded) return request ? sendOn(request, self, now) : connection.release();
    if (!request) {
        connection.pool().server->breaker.refused(now, std::nullopt);
        return;
    }
    request->tried.push_back(request->server);
    ++request->server->tally.tries;
    request->connection.reset();
    attemptEnded(request, AttemptResult::connectFailed, now);
}

// Rechecks conditions that may have changed while connecting. False: the request has been handled otherwise.
bool RequestForwarder::Impl::maySend(const ForwardedRequestPtr& request,
                                     const std::shared_ptr<ServerConnection>& connection, Micros now) {
    const upstream::Server& server = *request->server;
    const auto giveBack = [&] {
        release(*request);
        connection->release();
    };
    if (request->retry.deadline() - now < kMinTimeToSend) {
        giveBack();
        finish(request, deadlineStep(*request));
        return false;
    }
    // The server may have been removed, the view may be out of date, or other requests may have used up a
    // cold server's limit.
    if (!server.usable() || !tables_.view().mayChoose(now) || !tables_.coldAllows(server, now)) {
        giveBack();
        pickServer(request, now);
        return false;
    }
    if (!request->retry.isRetry() || request->hasRetryToken) return true;
    if (!tables_.takeRetryToken(request->service, now)) {
        giveBack();
        finish(request, request->retry.finalStep(now));
        return false;
    }
    request->hasRetryToken = true;
    return true;
}

// Writes the fields that the proxy adds and the end of the head.
void RequestForwarder::Impl::composeFields(const ForwardedRequest& request, Micros now) {
    constexpr Micros kMillisecond = 1000;
    const http_server::Request& incoming = request.client->request();
    fields_.assign("X-Time-Left: ");
    appendNumber(fields_, static_cast<std::uint64_t>((request.retry.deadline() - now) / kMillisecond));
    fields_.append("\r\nX-Meant-Server: ").append(request.server->id);
    if (incoming.hasLength) {
        fields_.append("\r\nContent-Length: ");
        appendNumber(fields_, incoming.body.size());
    }
    fields_.append("\r\n\r\n");
}

void RequestForwarder::Impl::sendOn(const ForwardedRequestPtr& request,
                                    const std::shared_ptr<ServerConnection>& connection, Micros now) {
    if (!maySend(request, connection, now)) return;
    composeFields(*request, now);
    request->connection = connection;
    connection->user = request;
    const http_server::Request& incoming = request->client->request();
    if (!connection->send(incoming.head, fields_, incoming.body, incoming.headOnly)) {
        // The connection was already dead and nothing was sent, so the server is not blamed. A reused
        // connection does not count as an attempt either; the number of idle connections bounds the loop.
        release(*request);
        if (connection->answers() > 0) return pickServer(request, now);
        return attemptEnded(request, AttemptResult::connectFailed, now);
    }
    request->stage = Stage::sent;
    request->sentAt = now;
    request->headChecked = false;
    request->peerSuspected = false;
    request->hasRetryToken = false;
    request->tried.push_back(request->server);
    request->retry.sent();
    tables_.sent(*request->server, now);
    ++request->server->tally.tries;
    request->attemptUntil = request->retry.attemptUntil(now);
    request->wake(std::min(request->attemptUntil, now + ServerConnection::kPeerTimeout));
}

void RequestForwarder::Impl::release(ForwardedRequest& request) {
    if (request.connection) {
        request.connection->user.reset();
        request.connection.reset();
    }
    if (request.server) {
        --request.server->inFlight;
        request.server->breaker.inconclusive();  // ends a half-open trial without a result
        request.server.reset();
        wakeWaitingLater(request.service);
    }
}

void RequestForwarder::Impl::returnToken(ForwardedRequest& request) {
    if (request.hasRetryToken) request.service.budget.returnToken();
    request.hasRetryToken = false;
}

// ---- timeouts ----

void RequestForwarder::Impl::onTimeout(const ForwardedRequestPtr& request, Micros now) {
    switch (request->stage) {
        case Stage::waiting:
            if (now < request->waitUntil) {
                wakeWaitingLater(request->service);
                return request->wake(std::min(request->waitUntil, now + kRoomCheckInterval));
            }
            waiting_.remove(*request);
            return pickServer(request, now);
        case Stage::connecting:
            // The request's deadline, not the connect timeout: the connection is kept for other requests.
            release(*request);
            return finish(request, deadlineStep(*request));
        case Stage::sent: return onAttemptTimeout(request, now);
        case Stage::streaming: {
            // The deadline of the client; this says nothing about the server.
            const auto client = request->client;
            drop(request);
            return client->cut();
        }
        case Stage::picking:
        case Stage::done: return;
    }
}

void RequestForwarder::Impl::onAttemptTimeout(const ForwardedRequestPtr& request, Micros now) {
    // During shutdown a request that a server may be processing keeps its full deadline.
    const Micros until = termination_.begun() ? request->retry.deadline() : request->attemptUntil;
    if (now >= until) return attemptEnded(request, AttemptResult::timedOut, now);
    if (!request->peerSuspected && request->connection->peerUnresponsive(now)) {
        // Stop sending to this server, but let this attempt continue: its request may have arrived.
        request->peerSuspected = true;
        upstream::Server& server = *request->server;
        if (server.breaker.allows(now)) server.breaker.refused(now, std::nullopt);
        pools_.closeIdle(request->server);
        if (!termination_.begun() && retryElsewhere(request, now)) return;
    }
    request->wake(request->peerSuspected ? until : std::min(until, now + ServerConnection::kPeerTimeout));
}

bool RequestForwarder::Impl::retryElsewhere(const ForwardedRequestPtr& request, Micros now) {
    if (!request->retry.mayRetryUnproven()) return false;
    if (tables_.pick(request->service, request->kind, request->tried, now).room != Room::found) return false;
    if (!tables_.takeRetryToken(request->service, now)) return false;
    request->hasRetryToken = true;
    attemptEnded(request, AttemptResult::timedOut, now);
    return true;
}

// ---- the end of an attempt ----

void RequestForwarder::Impl::noteResult(ForwardedRequest& request, AttemptResult result, Micros now) {
    upstream::Server& server = *request.server;
    switch (result) {
        case AttemptResult::connectFailed: server.breaker.refused(now, std::nullopt); break;
        case AttemptResult::timedOut:
            if (!request.peerSuspected) server.breaker.refused(now, std::nullopt);
            pools_.closeIdle(request.server);
            break;
        case AttemptResult::refused:
            server.overloadedUntil = now + kOverloadBackoff;
            server.breaker.answered();
            break;
        case AttemptResult::otherIncarnation:
            tables_.markReplaced(server);
            pools_.closeIdle(request.server);
            break;
        case AttemptResult::unsent:
        case AttemptResult::broken:
            server.overloadedUntil = now + kOverloadBackoff;
            break;  // some servers reset connections when overloaded
        case AttemptResult::invalid: break;
        case AttemptResult::failed:
        case AttemptResult::answered: server.breaker.answered(); break;
    }
    if (result == AttemptResult::answered) {
        ++server.tally.succeeded;
        server.tally.successTime += now - request.sentAt;
    } else if (result != AttemptResult::otherIncarnation) {
        ++server.tally.failed;
    }
}

void RequestForwarder::Impl::attemptEnded(const ForwardedRequestPtr& request, AttemptResult result,
                                          Micros now) {
    request->sleep();
    const auto connection = request->connection;
    const bool unproven = result == AttemptResult::broken || result == AttemptResult::timedOut ||
                          result == AttemptResult::invalid;
    const bool unsent = unproven && connection && connection->nothingSent();
    if (unsent && !settings_.faults.unsentMayHaveRun) result = AttemptResult::unsent;
    if (request->server) noteResult(*request, result, now);
    release(*request);
    const bool stays = result == AttemptResult::answered || result == AttemptResult::failed ||
                       result == AttemptResult::refused || result == AttemptResult::otherIncarnation ||
                       (settings_.faults.keepAfterTimeout && result == AttemptResult::timedOut);
    if (connection && connection->state() != ServerConnection::State::closed && !stays) connection->close();
    const bool faultyReuse = settings_.faults.keepAfterTimeout && result == AttemptResult::timedOut;
    if (connection && faultyReuse) connection->finished(true);
    const NextStep step = request->retry.attemptEnded(result, now);
    if (request->clientGone) return drop(request);
    takeStep(request, step, now);
}

void RequestForwarder::Impl::takeStep(const ForwardedRequestPtr& request, NextStep step, Micros now) {
    if (request->stage == Stage::streaming) {  // the status line has already been sent
        const auto client = request->client;
        drop(request);
        client->cut();
        return;
    }
    request->stage = Stage::picking;
    if (step != NextStep::again) return finish(request, step);
    if (ending_ || termination_.isOver(now)) return finish(request, request->retry.finalStep(now));
    // A request that can only end as a failure may queue once more. One that can still be refused is refused
    // early.
    if (request->retry.mayHaveRun()) request->waitUntil = now + request->queueTime;
    if (request->retry.isRetry() && !request->hasRetryToken) {
        if (!tables_.takeRetryToken(request->service, now)) {
            return finish(request, request->retry.finalStep(now));
        }
        request->hasRetryToken = true;
    }
    pickServer(request, now);
}

void RequestForwarder::Impl::finish(const ForwardedRequestPtr& request, NextStep step) {
    returnToken(*request);
    countHeld(*request, 0);
    request->stage = Stage::done;
    request->sleep();
    const auto client = std::move(request->client);
    if (!client || client->isClosed()) return;
    // For a request that must not run twice, a status implying "not run" is forwarded only with X-Not-Run.
    const Answer& answer = request->answer;
    const bool unproven = !request->retry.repeatable() && !answer.notRun &&
                          forwarding::impliesNotRun(answer.status) && !settings_.faults.trustUnprovenStatus;
    if (step == NextStep::pass && (answer.status == 0 || unproven)) step = NextStep::badGateway;
    client->exchange.reset();
    if (step == NextStep::pass && answer.status < 500) return passAnswer(*request, *client);
    ++request->service.demand[static_cast<std::size_t>(request->kind)].failed;
    switch (step) {
        case NextStep::pass: return passAnswer(*request, *client);
        case NextStep::refuse: return client->answerOwn(503, retryAfter());
        case NextStep::gatewayTimeout: return client->answerOwn(504);
        case NextStep::again:
        case NextStep::badGateway: return client->answerOwn(502);
    }
}

void RequestForwarder::Impl::passAnswer(ForwardedRequest& request, ClientConnection& client) {
    const Answer answer = std::move(request.answer);
    std::optional<std::uint64_t> length = answer.body.size();
    if (client.request().headOnly || answer.status == 304) length = answer.length;
    if (answer.status == 204) length.reset();
    client.answer(answer.head, answer.body, length);
}

void RequestForwarder::Impl::drop(const ForwardedRequestPtr& request) {
    if (request->stage == Stage::waiting) waiting_.remove(*request);
    const auto connection = request->connection;
    const bool connecting = request->stage == Stage::connecting;  // the connection is kept for other requests
    request->stage = Stage::done;
    request->sleep();
    returnToken(*request);
    release(*request);
    countHeld(*request, 0);
    request->client.reset();
    if (connection && !connecting) connection->close();
}

}  // namespace marldale::edge_proxy
