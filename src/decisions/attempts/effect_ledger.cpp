#include "attempts/effect_ledger.h"

namespace marldale::attempts {

const char* name(SendVerdict word) {
    switch (word) {
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

SendVerdict EffectLedger::decide(const SendRequest& wish) const {
    const auto known = states_.find(wish.intent);
    if (known != states_.end()) {
        switch (known->second) {
            case State::open: return SendVerdict::leaveOutOpen;
            case State::done: return SendVerdict::leaveOutDone;
            case State::maybe: return SendVerdict::leaveOutUncertain;
            case State::free: break;
        }
    }
    if (wish.recorded != Effect::unknown) return SendVerdict::send;
    if (settings_.unknown == UnknownPolicy::leaveOut) return SendVerdict::leaveOutUnrecorded;
    if (wish.kin == 0) return SendVerdict::send;
    const auto kin = kin_.find(wish.kin);
    const bool near = kin != kin_.end() && wish.at - kin->second <= settings_.kinWithin;
    return near ? SendVerdict::leaveOutPossibleRepeat : SendVerdict::send;
}

void EffectLedger::begun(const SendRequest& wish) {
    states_[wish.intent] = State::open;
    if (wish.kin != 0) kin_[wish.kin] = wish.at;
}

void EffectLedger::ended(Intent intent, Effect live) {
    const auto known = states_.find(intent);
    if (known == states_.end()) return;
    // What has had its effect keeps it, whatever a later word says.
    if (known->second == State::done || known->second == State::maybe) return;
    switch (live) {
        case Effect::done: known->second = State::done; return;
        case Effect::notDone: known->second = State::free; return;
        case Effect::none:
        case Effect::unknown: known->second = State::maybe; return;
    }
}

void EffectLedger::markOpenUncertain() {
    for (auto& [intent, state] : states_) {
        if (state == State::open) state = State::maybe;
    }
}

EffectLedger::Counts EffectLedger::counts() const {
    Counts out;
    for (const auto& [intent, state] : states_) {
        switch (state) {
            case State::open: ++out.open; break;
            case State::done: ++out.done; break;
            case State::maybe: ++out.maybe; break;
            case State::free: ++out.free; break;
        }
    }
    return out;
}

}  // namespace marldale::attempts
