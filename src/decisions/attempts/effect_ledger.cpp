#include "attempts/effect_ledger.h"

namespace marldale::attempts {

// These texts are keys in the results of a replay, so they must not change.
const char* name(SendVerdict verdict) {
    switch (verdict) {
        case SendVerdict::send: return "sent";
        case SendVerdict::leaveOutOpen: return "its request is out";
        case SendVerdict::leaveOutDone: return "its effect stands";
        case SendVerdict::leaveOutUncertain: return "its effect may stand";
        case SendVerdict::leaveOutUnrecorded: return "the record does not say whether it happened";
        case SendVerdict::leaveOutPossibleRepeat:
            return "the record does not say whether it happened, nor whether it is the one before";
    }
    return "?";
}

SendVerdict EffectLedger::decide(const SendRequest& request) const {
    const auto known = states_.find(request.intent);
    if (known != states_.end()) {
        switch (known->second) {
            case State::open: return SendVerdict::leaveOutOpen;
            case State::done: return SendVerdict::leaveOutDone;
            case State::uncertain: return SendVerdict::leaveOutUncertain;
            case State::free: break;
        }
    }
    if (request.recorded != Effect::unknown) return SendVerdict::send;
    if (settings_.unknown == UnknownPolicy::leaveOut) return SendVerdict::leaveOutUnrecorded;
    if (request.clientTargetHash == 0) return SendVerdict::send;
    const auto last = lastSent_.find(request.clientTargetHash);
    const bool recent = last != lastSent_.end() && request.at - last->second <= settings_.repeatWindow;
    return recent ? SendVerdict::leaveOutPossibleRepeat : SendVerdict::send;
}

void EffectLedger::begun(const SendRequest& request) {
    states_[request.intent] = State::open;
    if (request.clientTargetHash != 0) lastSent_[request.clientTargetHash] = request.at;
}

void EffectLedger::ended(Intent intent, Effect live) {
    const auto known = states_.find(intent);
    if (known == states_.end()) return;
    // An intent that has or may have taken effect stays so, whatever a later response says.
    if (known->second == State::done || known->second == State::uncertain) return;
    switch (live) {
        case Effect::done: known->second = State::done; return;
        case Effect::notDone: known->second = State::free; return;
        case Effect::none:
        case Effect::unknown: known->second = State::uncertain; return;
    }
}

void EffectLedger::markOpenUncertain() {
    for (auto& [intent, state] : states_) {
        if (state == State::open) state = State::uncertain;
    }
}

EffectLedger::Counts EffectLedger::counts() const {
    Counts out;
    for (const auto& [intent, state] : states_) {
        switch (state) {
            case State::open: ++out.open; break;
            case State::done: ++out.done; break;
            case State::uncertain: ++out.uncertain; break;
            case State::free: ++out.free; break;
        }
    }
    return out;
}

}  // namespace marldale::attempts
