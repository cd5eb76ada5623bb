// The retry rule of one forwarded request: what the end of each attempt proves, whether another may follow,
// and what the client is told in the end. No I/O.
#pragma once

#include "attempts/retry_decision.h"
#include "gateway/forwarding/faults.h"
#include "gateway/upstream/tables.h"
#include "policy/types.h"

namespace marldale::forwarding {

using upstream::Kind;

// How an attempt ended.
enum class AttemptResult : std::uint8_t {
    unreached,         // no connection, or it failed before a byte of the request may have left
    unsent,            // written to a connection that took not a byte of it before it ended
    refused,           // an answer that says: not run
    otherIncarnation,  // 421: another server has this address
    broken,            // closed, reset or cut after a byte may have left
    silent,            // no answer in the time it was given
    spoiled,           // an answer that can't be the server's: another id, no seal, an encoding, no HTTP
    failed,            // a whole answer that is one to try again after (5xx), or promises what was not proven
    answered,          // a whole answer
};

enum class NextStep : std::uint8_t {
    again,   // attempt another server
    pass,    // the answer that has come
    refuse,  // 503 with a time to come back: it has not run and never will
    badGateway,
    gatewayTimeout,
};

// What is tuned.
inline constexpr unsigned kMaxUnreached = 4;  // connects that fail, before it is refused
inline constexpr double kAttemptShare = 0.6;  // of the time left for a repeatable attempt that isn't the last

inline constexpr Faults kNoFaults{};

class RetryRule {
public:
    // `maxTries` (at least 1): servers it may be sent to. Times are points of one clock.
    // `faults` must outlive it.
    RetryRule(Kind kind, unsigned maxTries, Micros deadline, const Faults& faults = kNoFaults)
        : kind_(kind), maxTries_(maxTries), deadline_(deadline), faults_(faults) {}

    [[nodiscard]] bool repeatable() const { return kind_ != Kind::writing; }
    [[nodiscard]] Micros deadline() const { return deadline_; }
    // Bytes of the request go to a server from here on.
    void sent();
    // The next send would be a further arrival: it needs a token of the retry budget.
    [[nodiscard]] bool isRetry() const { return sends_ > 0; }
    [[nodiscard]] unsigned sends() const { return sends_; }
    // The attempt is over. `again` has to find a token (if `isRetry`) and a server, or else ends as
    // `finalStep`.
    NextStep attemptEnded(AttemptResult result, Micros now);
    // What the client is told if no other attempt follows: no server has room, or no token is left.
    [[nodiscard]] NextStep finalStep(Micros now) const;
    // Another server may be tried although this attempt may have run, or runs still.
    [[nodiscard]] bool mayRetryUnproven() const { return repeatable() && sends_ < maxTries_; }
    // Until when an attempt that begins now may take.
    [[nodiscard]] Micros attemptUntil(Micros now) const;
    [[nodiscard]] bool mayHaveRun() const { return mayHaveRun_; }

private:
    Kind kind_;
    unsigned maxTries_;
    Micros deadline_;
    const Faults& faults_;
    unsigned sends_ = 0, unreached_ = 0;
    bool sending_ = false;  // bytes of this attempt may have left
    bool mayHaveRun_ = false;
    AttemptResult result_ = AttemptResult::unreached;  // of the last attempt
};

// Whether a status is a promise that the request has not run.
[[nodiscard]] constexpr bool promisesNotRun(unsigned status) {
    return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace marldale::forwarding
