#include "attempts/again.h"

namespace marldale::attempts {
namespace {

// Whether a second run does no harm.
bool mayRunTwice(const Question& q) {
    if (q.repeat == Repeat::retryable) return true;
    return q.repeat == Repeat::dedup && q.hasKey && q.sinceFirst >= 0 &&
           q.sinceFirst + q.clockError < q.window;
}

}  // namespace

const char* name(Why why) {
    switch (why) {
        case Why::again: return "again";
        case Why::answered: return "it was answered";
        case Why::notOrdered: return "no more tries are ordered";
        case Why::noTime: return "there is no time left";
        case Why::bodyGone: return "its body is gone";
        case Why::mayHaveRun: return "it may have run, and must not run twice";
        case Why::windowOver: return "its key may be forgotten";
        case Why::noBudget: return "there are too many repeats";
    }
    return "?";
}

Why again(const Question& q) {
    if (q.proof == Proof::ran && !q.failed) return Why::answered;
    if (q.tries >= triesMost(q.mode)) return Why::notOrdered;
    // Mode 1 repeats only what has not run.
    if (q.mode < 2 && q.proof != Proof::notRun)
        return q.proof == Proof::ran ? Why::answered : Why::notOrdered;
    if (q.timeLeft <= 0) return Why::noTime;
    if (q.body == Body::gone) return Why::bodyGone;
    if (q.proof == Proof::notRun || mayRunTwice(q)) return Why::again;
    return q.repeat == Repeat::dedup && q.hasKey ? Why::windowOver : Why::mayHaveRun;
}

}  // namespace marldale::attempts
