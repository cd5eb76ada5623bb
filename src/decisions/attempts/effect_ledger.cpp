#include "attempts/effect_ledger.h"

namespace marldale::attempts {

const char* name(Word word) {
    switch (word) {
        case Word::send: return "sent";
        case Word::leaveOutOpen: return "its request is out";
        case Word::leaveOutDone: return "its effect stands";
        case Word::leaveOutMaybe: return "its effect may stand";
        case Word::leaveOutUnrecorded: return "the record does not say whether it happened";
        case Word::leaveOutKin:
            return "the record does not say whether it happened, nor whether it is the one before";
    }
    return "?";
}

Word EffectLedger::ask(const Wish& wish) const {
    const auto known = states_.find(wish.intent);
    if (known != states_.end()) {
        switch (known->second) {
            case State::open: return Word::leaveOutOpen;
            case State::done: return Word::leaveOutDone;
            case State::maybe: return Word::leaveOutMaybe;
            case State::free: break;
        }
    }
    if (wish.recorded != Effect::unknown) return Word::send;
    if (settings_.unknown == Unknown::leaveOut) return Word::leaveOutUnrecorded;
    if (wish.kin == 0) return Word::send;
    const auto kin = kin_.find(wish.kin);
    const bool near = kin != kin_.end() && wish.at - kin->second <= settings_.kinWithin;
    return near ? Word::leaveOutKin : Word::send;
}

void EffectLedger::begun(const Wish& wish) {
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

void EffectLedger::spendOpen() {
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
