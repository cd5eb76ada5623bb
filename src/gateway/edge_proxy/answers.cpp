// Server answers: checks that an answer belongs to its request, then buffers it while a retry is possible or
// streams it to the client.
#include "gateway/edge_proxy/forwarder_impl.h"

namespace marldale::edge_proxy {
namespace {

using forwarding::AttemptResult;

constexpr std::int64_t kMaxHeldAnswersBytes = 40 << 20;  // total; beyond it answers stream sooner
constexpr std::size_t kMaxHeldBytes = 256 << 10;         // answers up to this size are buffered completely
constexpr std::size_t kMaxHeldBytesUnderPressure = 16 << 10;  // while the total is exceeded
constexpr std::size_t kMaxHeldBytesHttp10 =
    kMaxHeldBytes * 16;  // an HTTP/1.0 client cannot detect a truncated answer
constexpr std::size_t kMaxPendingBytes =
    256 << 10;  // unsent bytes for a client before reading from its server pauses

constexpr bool isSuccess(unsigned status) { return status / 100 == 2; }

AttemptResult resultOf(const Answer& answer) {
    if (answer.status == 421) return AttemptResult::otherIncarnation;
    if (answer.notRun && answer.status != 400) return AttemptResult::refused;
    if (answer.status >= 500 || forwarding::impliesNotRun(answer.status)) return AttemptResult::failed;
    return AttemptResult::answered;
}

}  // namespace

void RequestForwarder::Impl::countHeld(ForwardedRequest& request, std::int64_t bytes) {
    heldAnswers_ += bytes - request.heldBytes;
    request.heldBytes = bytes;
}

bool RequestForwarder::Impl::answerMatches(const ForwardedRequest& request, const Answer& answer,
                                           const ServerConnection& connection) const {
    if (answer.endless || connection.nothingSent()) return false;  // or it precedes the request
    const std::string& id = request.client ? request.client->request().tryId : answer.tryId;
    if (answer.tryId != id && !settings_.faults.ignoreTryId) {
        // An answer without an id is accepted only if this is the first request on the connection and the
        // answer states that nothing ran.
        const bool saysNotRun = answer.notRun || answer.status == 421;
        if (!answer.tryId.empty() || connection.answers() != 0 || !saysNotRun) return false;
    }
    if (!isSuccess(answer.status)) return true;
    return (answer.sealed || settings_.faults.passWithoutSeal) && !answer.encoded;
}

void RequestForwarder::Impl::onAnswer(ServerConnection& connection) {
    if (shutDown_) return;
    const auto self = connection.shared_from_this();
    const auto request = std::static_pointer_cast<ForwardedRequest>(connection.user);
    if (!request) return connection.close();
    const Micros now = timers_.now();
    stillness_.traffic(now);
    const AnswerReader& reader = connection.reader();
    if (reader.state() == AnswerReader::State::bad) {
        return attemptEnded(request, AttemptResult::invalid, now);
    }
    if (!reader.headDone()) return;
    if (!request->headChecked) {
        request->headChecked = true;
        if (!answerMatches(*request, connection.reader().answer(), connection)) {
            return attemptEnded(request, AttemptResult::invalid, now);
        }
    }
    if (request->stage == Stage::streaming) return streamOn(request, connection);
    if (reader.state() == AnswerReader::State::whole) return onAnswerComplete(request, connection, now);
    if (request->clientGone) {
        connection.reader().answer().body.clear();
        return;
    }
    holdOrStream(request, connection, now);
}

// Handles a partial body: buffered completely so that a retry stays possible, unless it is large.
void RequestForwarder::Impl::holdOrStream(const ForwardedRequestPtr& request, ServerConnection& connection,
                                          Micros now) {
    Answer& answer = connection.reader().answer();
    countHeld(*request, static_cast<std::int64_t>(answer.body.size()));
    const std::size_t maxBytes =
        heldAnswers_ > kMaxHeldAnswersBytes ? kMaxHeldBytesUnderPressure : kMaxHeldBytes;
    if (answer.body.size() <= maxBytes && answer.length.value_or(0) <= maxBytes) return;
    if (!isSuccess(answer.status)) {
        if (answer.body.size() > kMaxHeldBytes) attemptEnded(request, AttemptResult::invalid, now);
        return;
    }
    if (request->client->http10() && !answer.length) {
        if (answer.body.size() > kMaxHeldBytesHttp10) attemptEnded(request, AttemptResult::invalid, now);
        return;
    }
    request->stage = Stage::streaming;
    countHeld(*request, 0);
    request->wake(request->retry.deadline());
    request->client->begin(answer.head, answer.length);
    if (request->stage == Stage::streaming) streamOn(request, connection);
}

void RequestForwarder::Impl::streamOn(const ForwardedRequestPtr& request, ServerConnection& connection) {
    const auto self = connection.shared_from_this();
    const auto client = request->client;
    Answer& answer = connection.reader().answer();
    client->more(answer.body);
    answer.body.clear();
    if (request->stage != Stage::streaming) return;  // the client has disconnected
    if (connection.reader().state() != AnswerReader::State::whole) {
        if (client->pending() > kMaxPendingBytes) connection.pause();
        return;
    }
    const Micros now = timers_.now();
    const bool keep = answer.keepAlive;
    noteResult(*request, AttemptResult::answered, now);
    request->retry.attemptEnded(AttemptResult::answered, now);
    request->stage = Stage::done;
    request->sleep();
    release(*request);
    request->client.reset();
    client->exchange.reset();
    connection.finished(keep);
    client->end();
}

void RequestForwarder::Impl::onAnswerComplete(const ForwardedRequestPtr& request,
                                              ServerConnection& connection, Micros now) {
    const auto self = connection.shared_from_this();
    Answer& answer = connection.reader().answer();
    AttemptResult result = resultOf(answer);
    // Surplus bytes after an answer belong to no request. The answer is complete by its framing, but a
    // repeatable request is retried.
    if (connection.surplus() && !settings_.faults.reuseWithSurplus && result == AttemptResult::answered &&
        request->retry.repeatable()) {
        result = AttemptResult::invalid;
    }
    if (result == AttemptResult::invalid) return attemptEnded(request, result, now);
    const bool keep = answer.keepAlive && result != AttemptResult::otherIncarnation;
    request->answer.clear();
    std::swap(request->answer, answer);
    connection.reader().answer().keepFor = request->answer.keepFor;
    countHeld(*request, static_cast<std::int64_t>(request->answer.body.size()));
    connection.finished(keep);
    attemptEnded(request, result, now);
}

void RequestForwarder::Impl::onBroken(ServerConnection& connection) {
    if (shutDown_) return;
    const auto request = std::static_pointer_cast<ForwardedRequest>(connection.user);
    if (request) attemptEnded(request, AttemptResult::broken, timers_.now());
}

}  // namespace marldale::edge_proxy
