// Answers of servers: whether one belongs to its request, held whole as long as another attempt is possible,
// or streamed to the client.
#include "gateway/edge_proxy/forwarder_impl.h"

namespace marldale::edge_proxy {
namespace {

using forwarding::AttemptResult;

// What is tuned.
constexpr std::int64_t kMaxHeldAnswers = 40 << 20;     // bytes in all; beyond it they stream sooner
constexpr std::size_t kMaxHeld = 256 << 10;            // an answer up to this is held whole
constexpr std::size_t kMaxHeldTight = 16 << 10;        // while too much is held
constexpr std::size_t kMaxHeldHttp10 = kMaxHeld * 16;  // for a client to whom it couldn't look cut
constexpr std::size_t kMaxPending = 256 << 10;  // bytes a client hasn't taken yet, before its server waits

constexpr bool isSuccess(unsigned status) { return status / 100 == 2; }

AttemptResult resultOf(const Answer& answer) {
    if (answer.status == 421) return AttemptResult::otherIncarnation;
    if (answer.notRun && answer.status != 400) return AttemptResult::refused;
    if (answer.status >= 500 || forwarding::promisesNotRun(answer.status)) return AttemptResult::failed;
    return AttemptResult::answered;
}

}  // namespace

void RequestForwarder::Impl::countHeld(ForwardedRequest& request, std::int64_t bytes) {
    heldAnswers_ += bytes - request.heldBytes;
    request.heldBytes = bytes;
}

bool RequestForwarder::Impl::answerFits(const ForwardedRequest& request, const Answer& answer,
                                        const ServerConnection& connection) const {
    if (answer.endless || connection.nothingSent()) return false;  // or nobody has asked for it yet
    const std::string& id = request.client ? request.client->request().tryId : answer.tryId;
    if (answer.tryId != id && !settings_.faults.ignoreTryId) {
        // Without an id it can be this request's only if nothing else was ever asked on this connection, and
        // the answer says that nothing ran.
        const bool saysNotRun = answer.notRun || answer.status == 421;
        if (!answer.tryId.empty() || connection.answers() != 0 || !saysNotRun) return false;
    }
    if (!isSuccess(answer.status)) return true;
    return (answer.sealed || settings_.faults.passUnsealed) && !answer.encoded;
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
        return attemptEnded(request, AttemptResult::spoiled, now);
    }
    if (!reader.headDone()) return;
    if (!request->headChecked) {
        request->headChecked = true;
        if (!answerFits(*request, connection.reader().answer(), connection)) {
            return attemptEnded(request, AttemptResult::spoiled, now);
        }
    }
    if (request->stage == Stage::streaming) return streamOn(request, connection);
    if (reader.state() == AnswerReader::State::whole) return answerWhole(request, connection, now);
    if (request->clientGone) {
        connection.reader().answer().body.clear();
        return;
    }
    holdOrStream(request, connection, now);
}

// A part of the body has come. Held whole, so that another attempt is possible, unless it is large.
void RequestForwarder::Impl::holdOrStream(const ForwardedRequestPtr& request, ServerConnection& connection,
                                          Micros now) {
    Answer& answer = connection.reader().answer();
    countHeld(*request, static_cast<std::int64_t>(answer.body.size()));
    const std::size_t most = heldAnswers_ > kMaxHeldAnswers ? kMaxHeldTight : kMaxHeld;
    if (answer.body.size() <= most && answer.length.value_or(0) <= most) return;
    if (!isSuccess(answer.status)) {
        if (answer.body.size() > kMaxHeld) attemptEnded(request, AttemptResult::spoiled, now);
        return;
    }
    if (request->client->http10() && !answer.length) {
        if (answer.body.size() > kMaxHeldHttp10) attemptEnded(request, AttemptResult::spoiled, now);
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
    if (request->stage != Stage::streaming) return;  // its client has gone
    if (connection.reader().state() != AnswerReader::State::whole) {
        if (client->pending() > kMaxPending) connection.pause();
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

void RequestForwarder::Impl::answerWhole(const ForwardedRequestPtr& request, ServerConnection& connection,
                                         Micros now) {
    const auto self = connection.shared_from_this();
    Answer& answer = connection.reader().answer();
    AttemptResult result = resultOf(answer);
    // Bytes behind an answer belong to no request. The answer is whole by its own framing; what can be asked
    // again is.
    if (connection.surplus() && !settings_.faults.reuseWithSurplus && result == AttemptResult::answered &&
        request->retry.repeatable()) {
        result = AttemptResult::spoiled;
    }
    if (result == AttemptResult::spoiled) return attemptEnded(request, result, now);
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
