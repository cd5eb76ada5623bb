// Decides which recorded requests a replay may send, for classes whose requests must never run twice. Each
// intent takes effect at most once, over a whole replay and all runs that resume it.
//
// The order of the calls guarantees it: `decide`, write `begun` to the journal, send the request, then
// `ended`. A run that resumes restores the ledger from the journal. An intent that has begun and not ended
// may have taken effect, so it is not sent again.
#pragma once

#include <cstdint>
#include <deque>
#include <unordered_map>

#include "attempts/outcome.h"

namespace marldale::attempts {

/// Identifies what a client wanted to achieve with one request and all its retries.
using Intent = std::uint64_t;

/// What to do with a request whose recorded effect is unknown.
enum class UnknownPolicy : std::uint8_t { leaveOut, once };

/// Whether a request is sent; every value but `send` is a reason to leave it out.
enum class SendVerdict : std::uint8_t {
    send,                    // with an idempotency key that this replay makes up
    leaveOutOpen,            // a request of the intent is in flight
    leaveOutDone,            // the intent has taken effect
    leaveOutUncertain,       // it may have taken effect: a run broke off, or a response proved nothing
    leaveOutUnrecorded,      // the recording does not show whether it took effect
    leaveOutPossibleRepeat,  // nor that, nor whether it repeats a recent request without an id, of the same
                             // client and target
};
/// The verdict as text; a key in the results of a replay.
[[nodiscard]] const char* name(SendVerdict verdict);
[[nodiscard]] constexpr bool sends(SendVerdict verdict) { return verdict == SendVerdict::send; }

/// A recorded request that the replay would send.
struct SendRequest {
    Intent intent = 0;
    Effect recorded = Effect::unknown;   // of this try
    std::uint64_t clientTargetHash = 0;  // of client and target; 0 if the request had an id
    Micros at = 0;                       // when it was recorded
};

/// The state of every intent that the replay has sent.
class EffectLedger {
public:
    struct Settings {
        UnknownPolicy unknown = UnknownPolicy::leaveOut;
        // Two requests of unknown effect without an id, of the same client and target, may be tries of one
        // intent when they were recorded within this time.
        Micros repeatWindow = 600 * 1000000LL;
    };
    explicit EffectLedger(Settings settings) : settings_(settings) {}

    [[nodiscard]] SendVerdict decide(const SendRequest& request) const;

    /// Notes that the request is about to be sent; the journal must hold it before it is.
    void begun(const SendRequest& request);
    /// Notes the effect that the live response shows. Only `notDone` allows another try of the intent.
    void ended(Intent intent, Effect live);

    /// Marks all open intents as uncertain, after a whole journal has been read: whatever began and did not
    /// end may have taken effect.
    void markOpenUncertain();

    /// The number of intents in each state.
    struct Counts {
        std::uint64_t open = 0, done = 0, uncertain = 0, free = 0;
    };
    [[nodiscard]] Counts counts() const;
    [[nodiscard]] std::size_t size() const { return states_.size(); }

private:
    enum class State : std::uint8_t { open, done, uncertain, free };

    Settings settings_;
    std::unordered_map<Intent, State> states_;
    std::unordered_map<std::uint64_t, Micros> lastSent_;  // by client and target: recorded time of the last
                                                          // request without an id that was sent
};

}  // namespace marldale::attempts
