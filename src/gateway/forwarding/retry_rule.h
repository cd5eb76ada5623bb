// Retry state of one forwarded request: what the outcome of each attempt proves, whether another attempt may
// follow, and how the request ends for the client. No I/O.
#pragma once

#include "attempts/retry_decision.h"
#include "gateway/forwarding/faults.h"
#include "gateway/upstream/tables.h"
#include "policy/types.h"

namespace marldale::forwarding {

using upstream::Kind;

// How an attempt ended.
enum class AttemptResult : std::uint8_t {
    connectFailed,     // no connection, or it failed before any byte of the request was sent
    unsent,            // the connection ended without accepting a byte of the request
    refused,           // the answer states that the request was not run
    otherIncarnation,  // 421: another server now has this address
    broken,            // closed or reset after bytes may have been sent
    timedOut,          // no answer within the attempt's time
    invalid,           // not a valid answer: wrong id, no seal, an encoding, or not HTTP
    failed,    // a complete answer worth retrying: 5xx, or a status that implies "not run" without proof
    answered,  // a complete answer
};

// What to do after an attempt.
enum class NextStep : std::uint8_t {
    again,   // try another server
    pass,    // forward the received answer
    refuse,  // 503 with Retry-After: the request has not run and will not
    badGateway,
    gatewayTimeout,
};

inline constexpr unsigned kMaxConnectFailures = 4;  // failed connects before the request is refused
inline constexpr double kAttemptShare =
    0.6;  // of the remaining time, for a repeatable attempt other than the last

inline constexpr Faults kNoFaults{};

// Decides after each attempt whether to retry.
class RetryRule {
public:
    // `maxTries` (at least 1): servers the request may be sent to. Times are points of one clock.
    // `faults` must outlive this object.
    RetryRule(Kind kind, unsigned maxTries, Micros deadline, const Faults& faults = kNoFaults)
        : kind_(kind), maxTries_(maxTries), deadline_(deadline), faults_(faults) {}

    // Whether the request may run twice.
    [[nodiscard]] bool repeatable() const { return kind_ != Kind::writing; }
    [[nodiscard]] Micros deadline() const { return deadline_; }
    // Records that sending to a server begins.
    void sent();
    // Whether the next send is a retry, which needs a token from the retry budget.
    [[nodiscard]] bool isRetry() const { return sends_ > 0; }
    [[nodiscard]] unsigned sends() const { return sends_; }
    // Records the outcome of an attempt. On `again` the caller needs a server, and a retry token if
    // `isRetry`; without them it continues with `finalStep`.
    NextStep attemptEnded(AttemptResult result, Micros now);
    // How the request ends if no other attempt follows: no server has capacity, or no retry token is left.
    [[nodiscard]] NextStep finalStep(Micros now) const;
    // Whether another server may be tried although this attempt may have run or is still running.
    [[nodiscard]] bool mayRetryUnproven() const { return repeatable() && sends_ < maxTries_; }
    // Deadline of an attempt that begins now.
    [[nodiscard]] Micros attemptUntil(Micros now) const;
    [[nodiscard]] bool mayHaveRun() const { return mayHaveRun_; }

private:
    Kind kind_;
    unsigned maxTries_;
    Micros deadline_;
    const Faults& faults_;
    unsigned sends_ = 0, connectFailures_ = 0;
    bool sending_ = false;  // bytes of this attempt may have been sent
    bool mayHaveRun_ = false;
    AttemptResult result_ = AttemptResult::connectFailed;  // of the last attempt
};

// Whether a status implies that the request has not run.
[[nodiscard]] constexpr bool impliesNotRun(unsigned status) {
    return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace marldale::forwarding
