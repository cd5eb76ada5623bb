#include "attempts/outcome.h"

namespace marldale::attempts {
namespace {

constexpr int kRequestTimeout = 408, kConflict = 409, kTooEarly = 425, kTooManyRequests = 429;
constexpr int kClientClosedRequest =
    499;  // not in any RFC; nginx logs it when the client closes the connection

Effect effectOfStatus(const Answer& answer) {
    const int status = answer.status;
    if (status >= 200 && status < 300) {
        // Otherwise an empty body does not prove that the request ran.
        const bool needsNoBody = status == 201 || status == 204 || status == 205;
        return needsNoBody || answer.bytes != 0 ? Effect::done : Effect::unknown;
    }
    const bool clientError = status >= 400 && status < 500;
    if (!clientError || status == kRequestTimeout || status == kConflict || status == kClientClosedRequest) {
        return Effect::unknown;
    }
    return Effect::notDone;
}

}  // namespace

const char* name(Ended ended) {
    switch (ended) {
        case Ended::answered: return "answered";
        case Ended::notRecorded: return "not told";
        case Ended::aborted: return "aborted";
        case Ended::timedOut: return "timed out";
        case Ended::cut: return "cut off";
        case Ended::neverSent: return "never sent";
    }
    return "?";
}

const char* name(Effect effect) {
    switch (effect) {
        case Effect::none: return "none";
        case Effect::done: return "done";
        case Effect::notDone: return "not done";
        case Effect::unknown: return "unknown";
    }
    return "?";
}

Effect effectOf(const Answer& answer, bool hasEffect) {
    if (!hasEffect) return Effect::none;
    if (answer.ended == Ended::neverSent) return Effect::notDone;
    return answer.ended == Ended::answered ? effectOfStatus(answer) : Effect::unknown;
}

bool clientsRetryAfter(const Answer& answer) {
    if (answer.ended != Ended::answered) return true;
    return answer.status >= 500 || answer.status == kRequestTimeout || answer.status == kTooEarly ||
           answer.status == kTooManyRequests || answer.status == kClientClosedRequest;
}

}  // namespace marldale::attempts
