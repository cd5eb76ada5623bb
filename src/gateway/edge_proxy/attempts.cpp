// One request's attempts: a server is picked, waited for if none has room, connected to and sent to; what the
// end of an attempt proves decides whether another follows or what the client is told.
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

// What is tuned.
constexpr Micros kRoomCheckEvery = 20000;  // cold limits and full servers open again without an event
constexpr Micros kFullFor = 30000;         // a server that said it is full
constexpr Micros kMinTimeToSend = 1000;    // with less left it isn't sent

void appendNumber(std::string& text, std::uint64_t number) {
    std::array<char, 24> digits{};
    const auto made = std::to_chars(digits.data(), digits.data() + digits.size(), number);
    text.append(digits.data(), made.ptr);
}

NextStep outOfTime(const ForwardedRequest& request) {
    return request.retry.mayHaveRun() ? NextStep::gatewayTimeout : NextStep::refuse;
}

}  // namespace

// ---- a server is found ----

void RequestForwarder::Impl::pickServer(const ForwardedRequestPtr& request, Micros now) {
    if (now >= request->retry.deadline()) return finish(request, outOfTime(*request));
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
    if (tooMany != request) request->wake(std::min(request->waitUntil, now + kRoomCheckEvery));
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
    std::array<bool, upstream::kKinds> full{};  // for those that have tried no server
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
    server->gate.sent();
    const auto reuse =
        request->retry.repeatable() ? ConnectionPools::Reuse::ifOpen : ConnectionPools::Reuse::ifSurelyOpen;
    if (const auto connection = pools_.takeIdle(server, reuse, now)) return sendOn(request, connection, now);
    const auto connection = pools_.connectNew(server);
    if (!connection) {
        request->tried.push_back(server);
        release(*request);
        return attemptEnded(request, AttemptResult::unreached, now);
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
        connection.pool().server->gate.refused(now, std::nullopt);
        return;
    }
    request->tried.push_back(request->server);
    ++request->server->tally.tries;
    request->connection.reset();
    attemptEnded(request, AttemptResult::unreached, now);
}

// Looks again at what may have changed while it was connected. False: the request went another way.
bool RequestForwarder::Impl::maySend(const ForwardedRequestPtr& request,
                                     const std::shared_ptr<ServerConnection>& connection, Micros now) {
    const upstream::Server& server = *request->server;
    const auto giveBack = [&] {
        release(*request);
        connection->release();
    };
    if (request->retry.deadline() - now < kMinTimeToSend) {
        giveBack();
        finish(request, outOfTime(*request));
        return false;
    }
    // The server may have gone, or nobody can say whether it has, or others may have used up what a cold one
    // bears.
    if (!server.usable() || !tables_.view().mayChoose(now) || !tables_.coldAllows(server, now)) {
        giveBack();
        pickServer(request, now);
        return false;
    }
    if (!request->retry.isRetry() || request->hasRetryToken) return true;
    if (!tables_.takeFurther(request->service, now)) {
        giveBack();
        finish(request, request->retry.finalStep(now));
        return false;
    }
    request->hasRetryToken = true;
    return true;
}

// The fields that the proxy adds, and the end of the head.
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
        // It was dead already and nothing has left: not this server's fault. One that had served before is
        // no attempt either; there are only so many of them.
        release(*request);
        if (connection->answers() > 0) return pickServer(request, now);
        return attemptEnded(request, AttemptResult::unreached, now);
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
    request->wake(std::min(request->attemptUntil, now + ServerConnection::kPeerGoneAfter));
}

void RequestForwarder::Impl::release(ForwardedRequest& request) {
    if (request.connection) {
        request.connection->user.reset();
        request.connection.reset();
    }
    if (request.server) {
        --request.server->inFlight;
        request.server->gate.inconclusive();  // a trial of it that is over and told nothing
        request.server.reset();
        wakeWaitingLater(request.service);
    }
}

void RequestForwarder::Impl::returnToken(ForwardedRequest& request) {
    if (request.hasRetryToken) request.service.budget.giveBack();
    request.hasRetryToken = false;
}

// ---- times ----

void RequestForwarder::Impl::onTimeout(const ForwardedRequestPtr& request, Micros now) {
    switch (request->stage) {
        case Stage::waiting:
            if (now < request->waitUntil) {
                wakeWaitingLater(request->service);
                return request->wake(std::min(request->waitUntil, now + kRoomCheckEvery));
            }
            waiting_.remove(*request);
            return pickServer(request, now);
        case Stage::connecting:
            // The connection has a time of its own; this is the request's. It is kept for others.
            release(*request);
            return finish(request, outOfTime(*request));
        case Stage::sent: return onAttemptTimeout(request, now);
        case Stage::streaming: {
            // Its client is out of time; that says nothing of the server.
            const auto client = request->client;
            drop(request);
            return client->cut();
        }
        case Stage::picking:
        case Stage::done: return;
    }
}

void RequestForwarder::Impl::onAttemptTimeout(const ForwardedRequestPtr& request, Micros now) {
    // What a server may be at work on isn't broken off early while this process is about to end.
    const Micros until = termination_.begun() ? request->retry.deadline() : request->attemptUntil;
    if (now >= until) return attemptEnded(request, AttemptResult::silent, now);
    if (!request->peerSuspected && request->connection->peerSeemsGone(now)) {
        // Nothing else is sent there meanwhile. This attempt goes on: its request may have arrived.
        request->peerSuspected = true;
        upstream::Server& server = *request->server;
        if (server.gate.allows(now)) server.gate.refused(now, std::nullopt);
        pools_.closeIdle(request->server);
        if (!termination_.begun() && retryElsewhere(request, now)) return;
    }
    request->wake(request->peerSuspected ? until : std::min(until, now + ServerConnection::kPeerGoneAfter));
}

bool RequestForwarder::Impl::retryElsewhere(const ForwardedRequestPtr& request, Micros now) {
    if (!request->retry.mayRetryUnproven()) return false;
    if (tables_.pick(request->service, request->kind, request->tried, now).room != Room::found) return false;
    if (!tables_.takeFurther(request->service, now)) return false;
    request->hasRetryToken = true;
    attemptEnded(request, AttemptResult::silent, now);
    return true;
}

// ---- the end of an attempt ----

void RequestForwarder::Impl::noteResult(ForwardedRequest& request, AttemptResult result, Micros now) {
    upstream::Server& server = *request.server;
    switch (result) {
        case AttemptResult::unreached: server.gate.refused(now, std::nullopt); break;
        case AttemptResult::silent:
            if (!request.peerSuspected) server.gate.refused(now, std::nullopt);
            pools_.closeIdle(request.server);
            break;
        case AttemptResult::refused:
            server.fullUntil = now + kFullFor;
            server.gate.answered();
            break;
        case AttemptResult::otherIncarnation:
            tables_.voided(server);
            pools_.closeIdle(request.server);
            break;
        case AttemptResult::unsent:
        case AttemptResult::broken:
            server.fullUntil = now + kFullFor;
            break;  // some reset when they are full
        case AttemptResult::spoiled: break;
        case AttemptResult::failed:
        case AttemptResult::answered: server.gate.answered(); break;
    }
    if (result == AttemptResult::answered) {
        ++server.tally.good;
        server.tally.goodTime += now - request.sentAt;
    } else if (result != AttemptResult::otherIncarnation) {
        ++server.tally.failed;
    }
}

void RequestForwarder::Impl::attemptEnded(const ForwardedRequestPtr& request, AttemptResult result,
                                          Micros now) {
    request->sleep();
    const auto connection = request->connection;
    const bool unproven = result == AttemptResult::broken || result == AttemptResult::silent ||
                          result == AttemptResult::spoiled;
    const bool unsent = unproven && connection && connection->nothingSent();
    if (unsent && !settings_.faults.unsentMayHaveRun) result = AttemptResult::unsent;
    if (request->server) noteResult(*request, result, now);
    release(*request);
    const bool stays = result == AttemptResult::answered || result == AttemptResult::failed ||
                       result == AttemptResult::refused || result == AttemptResult::otherIncarnation ||
                       (settings_.faults.keepAfterSilence && result == AttemptResult::silent);
    if (connection && connection->state() != ServerConnection::State::closed && !stays) connection->close();
    const bool faultyReuse = settings_.faults.keepAfterSilence && result == AttemptResult::silent;
    if (connection && faultyReuse) connection->finished(true);
    const NextStep step = request->retry.attemptEnded(result, now);
    if (request->clientGone) return drop(request);
    takeStep(request, step, now);
}

void RequestForwarder::Impl::takeStep(const ForwardedRequestPtr& request, NextStep step, Micros now) {
    if (request->stage == Stage::streaming) {  // nothing else can be said any more
        const auto client = request->client;
        drop(request);
        client->cut();
        return;
    }
    request->stage = Stage::picking;
    if (step != NextStep::again) return finish(request, step);
    if (ending_ || termination_.isOver(now)) return finish(request, request->retry.finalStep(now));
    // What could only end as a failure now may wait for room once more. A refusal comes early or not at all.
    if (request->retry.mayHaveRun()) request->waitUntil = now + request->queueTime;
    if (request->retry.isRetry() && !request->hasRetryToken) {
        if (!tables_.takeFurther(request->service, now)) {
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
    // A promise that the server didn't make isn't passed on for what must not run twice.
    const Answer& answer = request->answer;
    const bool unproven = !request->retry.repeatable() && !answer.notRun &&
                          forwarding::promisesNotRun(answer.status) && !settings_.faults.believePromises;
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
    const bool connecting = request->stage == Stage::connecting;  // it is kept for others
    request->stage = Stage::done;
    request->sleep();
    returnToken(*request);
    release(*request);
    countHeld(*request, 0);
    request->client.reset();
    if (connection && !connecting) connection->close();
}

}  // namespace marldale::edge_proxy
