#include "proxy/attempt.h"

namespace marldale::proxy {
namespace {

constexpr unsigned kSoonS = 1;  // Retry-After
constexpr int kMisdirected = 421, kTooMany = 429, kUnavailable = 503;

Verdict told(const TryEnd& end) {
    switch (end.came) {
        case Came::answer: return {Next::passOn, 0, "", 0};
        case Came::noConnection: return {Next::tell, 503, "the box can't be reached", kSoonS};
        case Came::broke: return {Next::tell, 502, "the box broke off", 0};
        case Came::badAnswer: return {Next::tell, 502, "the box's answer is none", 0};
        case Came::timedOut: return {Next::tell, 504, "the box did not answer in time", 0};
    }
    return {Next::tell, 502, "?", 0};
}

}  // namespace

const char* name(Came came) {
    switch (came) {
        case Came::answer: return "answer";
        case Came::noConnection: return "no connection";
        case Came::broke: return "broke off";
        case Came::badAnswer: return "bad answer";
        case Came::timedOut: return "timed out";
    }
    return "?";
}

bool provenUnrun(const TryEnd& end) {
    if (end.came == Came::noConnection) return true;
    if (end.came != Came::answer) return end.written == 0;
    return end.status == kMisdirected || end.status == kTooMany ||
           (end.status == kUnavailable && end.saysNotRun);
}

bool failed(const TryEnd& end) { return end.came != Came::answer || end.status >= 500; }

attempts::RetryDecision again(const TryEnd& end, const Wish& wish, unsigned mode) {
    using attempts::Proof;
    attempts::RetryContext q;
    q.proof = provenUnrun(end) ? Proof::notRun : end.came == Came::answer ? Proof::ran : Proof::unknown;
    q.failed = failed(end) || q.proof == Proof::notRun;
    q.repeat = wish.fragile ? Repeat::fragile : Repeat::retryable;
    q.body = wish.bodyKept ? attempts::BodyState::arriving : attempts::BodyState::gone;
    q.tries = wish.tries;
    q.mode = mode;
    q.timeLeft = wish.timeLeft;
    return attempts::decideRetry(q);
}

Verdict finalOf(const TryEnd& end) { return told(end); }

Verdict nothingToPick(bool hasTables) {
    return {Next::tell, 503, hasTables ? "no box may be sent to" : "there are no tables yet", kSoonS};
}
Verdict turnedAway() { return {Next::tell, 503, "there is too much of this now", kSoonS}; }

}  // namespace marldale::proxy
