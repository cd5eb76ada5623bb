// What may be sent of a class whose requests must never run twice. One intent has at most one effect, over a
// whole replay and every run that resumes it.
//
// The order of words is the rule: `ask`, then the journal holds `begun`, then the request is sent, then
// `ended`. Whoever resumes tells what the journal holds; an intent that was begun and has no end may have had
// its effect, so it is spent.
#pragma once

#include <cstdint>
#include <deque>
#include <unordered_map>

#include "attempts/outcome.h"

namespace marldale::attempts {

using Intent = std::uint64_t;

enum class UnknownPolicy : std::uint8_t { leaveOut, once };

enum class SendVerdict : std::uint8_t {
    send,                    // under a key of this replay's own
    leaveOutOpen,            // its request is out
    leaveOutDone,            // its effect stands
    leaveOutUncertain,       // its effect may stand: a run ended, or an answer did not tell
    leaveOutUnrecorded,      // the record does not say whether it happened
    leaveOutPossibleRepeat,  // so, and the same client has asked for the same thing without an id a short
                             // while ago
};
[[nodiscard]] const char* name(SendVerdict word);
[[nodiscard]] constexpr bool sends(SendVerdict word) { return word == SendVerdict::send; }

struct SendRequest {
    Intent intent = 0;
    Effect recorded = Effect::unknown;  // of this try
    std::uint64_t kin = 0;              // client and target where there was no request id; 0: there was one
    Micros at = 0;                      // recorded
};

class EffectLedger {
public:
    struct Settings {
        UnknownPolicy unknown = UnknownPolicy::leaveOut;
        Micros kinWithin = 600 * 1000000LL;
    };
    explicit EffectLedger(Settings settings) : settings_(settings) {}

    [[nodiscard]] SendVerdict decide(const SendRequest& wish) const;

    // The journal holds it; the request may go.
    void begun(const SendRequest& wish);
    // The live answer. Only `notDone` frees the intent for another try; anything else spends it.
    void ended(Intent intent, Effect live);

    // Once a journal has been told in its order: what is begun and not ended may have happened.
    void markOpenUncertain();

    struct Counts {
        std::uint64_t open = 0, done = 0, maybe = 0, free = 0;
    };
    [[nodiscard]] Counts counts() const;
    [[nodiscard]] std::size_t size() const { return states_.size(); }

private:
    enum class State : std::uint8_t { open, done, maybe, free };

    Settings settings_;
    std::unordered_map<Intent, State> states_;
    std::unordered_map<std::uint64_t, Micros> kin_;  // when a kin's unrecorded intent was last sent
};

}  // namespace marldale::attempts
