// Decides when an edge proxy dials controllers and whether the resulting connection is used. The link to the
// current controller is kept until another one is established ("make before break"): if the proxy's own
// network link is saturated, every dial is slow too, and data from the current controller still arrives.
// Dials overlap ("happy eyeballs", RFC 8305), so a lost or slow one does not delay the next. No I/O; time is
// a parameter.
#pragma once

#include <optional>

#include "gateway/edge_proxy/controller_selection.h"

namespace marldale::edge_proxy {

/// Times in microseconds.
struct SearchLimits {
    Micros dialInterval = 400000;  ///< between the starts of two dials
    Micros dialTimeout = 1600000;  ///< after which a dial has failed
    unsigned maxDials = 4;         ///< concurrent
};

/// State machine of the search for a controller.
class ControllerSearch {
public:
    explicit ControllerSearch(SearchLimits limits = {}) : limits_(limits) {}

    /// There is no link any more.
    void unbound() { state_ = State::unbound; }
    /// Suspects the current controller; true if it was not suspected before.
    bool suspect(LeaveReason reason);
    /// The current controller has proven contact, or another one was bound.
    void settled() { state_ = State::settled; }

    [[nodiscard]] bool searching() const { return state_ != State::settled; }
    /// Why the current controller is suspected, if it is.
    [[nodiscard]] std::optional<LeaveReason> suspectedReason() const;
    [[nodiscard]] bool mayDial(Micros now) const;
    void dialed(Micros now);
    /// Records the end of a dial. Returns whether its connection replaces the current link; otherwise the
    /// caller closes it.
    bool dialEnded();
    [[nodiscard]] const SearchLimits& limits() const { return limits_; }

private:
    enum class State { unbound, suspected, settled };

    SearchLimits limits_;
    State state_ = State::unbound;
    LeaveReason reason_ = LeaveReason::silent;
    unsigned dials_ = 0;
    std::optional<Micros> lastDialAt_;
};

}  // namespace marldale::edge_proxy
