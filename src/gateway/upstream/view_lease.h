// Lease on an edge proxy's view of the servers: how long the proxy may select servers from it. Each heartbeat
// that echoes one of the proxy's marks proves that the proxy has everything its controller had sent until the
// mark arrived there (transport/echo.h). A controller confirms a server's departure only after its proxies
// have acknowledged it or their leases have expired. On a saturated link the proof is late, and a departure
// would be late too, so no server is selected meanwhile. If nothing arrives at all, or no controller is
// bound, the proxy is cut off and continues with its view. No I/O; time is a parameter, in microseconds of
// one steady clock.
#pragma once

#include <algorithm>
#include <cstdint>

#include "policy/types.h"

namespace marldale::upstream {

/// State of the lease.
class ViewLease {
public:
    /// `lease`: settings::viewLease. `silent`: a controller that has sent nothing for this long counts as
    /// unreachable rather than late.
    ViewLease(Micros lease, Micros silent) : lease_(lease), silent_(silent) {}

    /// Another controller is followed. The view may be older than that controller's. The wait for a full copy
    /// starts once, however many controllers are tried before one sends it.
    void bound(Micros now) {
        if (isCopied_) copyAwaitedFrom_ = now;
        isBound_ = true;
        isCopied_ = false;
        boundAt_ = heardAt_ = now;
    }
    /// The link has ended.
    void unbound() { isBound_ = false; }
    /// The controller's full copy has been applied.
    void copied() {
        isCopied_ = true;
        provenAt_ = boundAt_;
    }
    /// Any message has arrived from the controller.
    void heard(Micros now) { heardAt_ = now; }
    /// Everything that the controller had sent until `at` has been applied.
    void proven(Micros at) {
        if (isCopied_) provenAt_ = std::max(provenAt_, at);
    }

    /// Until when servers may be selected if nothing else arrives; may lie in the past.
    [[nodiscard]] Micros until() const {
        if (!isBound_) return INT64_MAX;
        return isCopied_ ? provenAt_ + lease_ : 0;
    }
    /// From when on the proxy counts as cut off if nothing else arrives: after this long without a copy or a
    /// proof no other process relies on its lease either.
    [[nodiscard]] Micros cutOffFrom() const {
        if (!isBound_) return 0;
        return std::min(heardAt_ + silent_, isCopied_ ? provenAt_ + 2 * lease_ : copyAwaitedFrom_ + lease_);
    }
    /// Whether servers may be selected now.
    [[nodiscard]] bool mayChoose(Micros now) const { return now < until() || now >= cutOffFrom(); }

private:
    Micros lease_, silent_;
    bool isBound_ = false, isCopied_ = false;
    Micros boundAt_ = 0, copyAwaitedFrom_ = 0, provenAt_ = 0, heardAt_ = 0;
};

}  // namespace marldale::upstream
