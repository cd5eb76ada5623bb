#include "gateway/edge_proxy/controller_search.h"

namespace marldale::edge_proxy {

bool ControllerSearch::suspect(LeaveReason reason) {
    const bool isNew = state_ != State::suspected;
    state_ = State::suspected;
    reason_ = reason;
    return isNew;
}

std::optional<LeaveReason> ControllerSearch::suspectedReason() const {
    if (state_ != State::suspected) return std::nullopt;
    return reason_;
}

bool ControllerSearch::mayDial(Micros now) const {
    if (!searching() || dials_ >= limits_.maxDials) return false;
    return dials_ == 0 || !lastDialAt_ || now - *lastDialAt_ >= limits_.dialInterval;
}

void ControllerSearch::dialed(Micros now) {
    ++dials_;
    lastDialAt_ = now;
}

bool ControllerSearch::dialEnded() {
    --dials_;
    return searching();
}

}  // namespace marldale::edge_proxy
