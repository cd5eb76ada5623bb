#include "proxy/attempt.h"

namespace marldale::proxy {
namespace {

constexpr unsigned kSoonS = 1;  // Retry-After
constexpr int kMisdirected = 421, kTooMany = 429, kUnavailable = 503;

unsigned triesMost(unsigned mode) { return mode == 0 ? 1 : mode == 3 ? 3 : 2; }

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

RetryBudgets::RetryBudgets(Size overAll, Size ofClass, std::size_t classes)
    : overAll_(overAll.ratio, overAll.most),
      byClass_(classes, attempts::RetryBudget(ofClass.ratio, ofClass.most)) {}

void RetryBudgets::firstTry(std::size_t klass) {
    overAll_.firstTry();
    byClass_[klass].firstTry();
}

bool RetryBudgets::take(std::size_t klass) {
    return overAll_.kept() >= 1 && byClass_[klass].take() && overAll_.take();
}

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

Verdict after(const TryEnd& end, const Wish& wish, unsigned mode, RetryBudgets& budgets) {
    const Verdict final = told(end);
    const bool unrun = provenUnrun(end);
    if (end.came == Came::answer && !unrun && end.status < 500) return final;
    if (wish.tries >= triesMost(mode) || wish.timeLeft <= 0 || !wish.bodyKept) return final;
    if (!unrun && (mode < 2 || wish.fragile)) return final;
    if (!budgets.take(wish.klass)) return final;
    return {Next::again, 0, "", 0};
}

Verdict nothingToPick(bool hasTables) {
    return {Next::tell, 503, hasTables ? "no box may be sent to" : "there are no tables yet", kSoonS};
}
Verdict turnedAway() { return {Next::tell, 503, "there is too much of this now", kSoonS}; }

}  // namespace marldale::proxy
