// How long an edge proxy may choose servers by the view that it holds. While it is bound, its view has a
// lease: each heartbeat that echoes one of its marks proves that it holds all its controller had sent until
// the mark came there (transport/echo.h), and a controller lets nobody count on a departure before its
// proxies have answered or their leases have run out. Behind a full link the proof comes late, and so would a
// departure: no server is chosen meanwhile. Where nothing at all comes, or nobody is bound, the proxy is cut
// off, and serves on with what it holds. No I/O; time is a parameter, in microseconds of one steady clock.
#pragma once

#include <algorithm>
#include <cstdint>

#include "policy/types.h"

namespace marldale::upstream {

class ViewLease {
public:
    /// `lease`: settings::viewLease. `silent`: a controller of which nothing at all has come for so long is
    /// out of reach rather than late.
    ViewLease(Micros lease, Micros silent) : lease_(lease), silent_(silent) {}

    /// Another controller is followed. What is held may be older than what it would send. Its copy is waited
    /// for once, however many controllers are tried before one can give it.
    void bound(Micros now) {
        if (isCopied_) copyAwaitedFrom_ = now;
        isBound_ = true;
        isCopied_ = false;
        boundAt_ = heardAt_ = now;
    }
    /// The link has ended.
    void unbound() { isBound_ = false; }
    /// Its fresh copy is in force.
    void copied() {
        isCopied_ = true;
        provenAt_ = boundAt_;
    }
    /// Anything has come from the controller.
    void heard(Micros now) { heardAt_ = now; }
    /// All that the controller had sent until then is in force.
    void proven(Micros at) {
        if (isCopied_) provenAt_ = std::max(provenAt_, at);
    }

    /// Until when servers may be chosen if nothing else is heard; already over where it is in the past.
    [[nodiscard]] Micros until() const {
        if (!isBound_) return INT64_MAX;
        return isCopied_ ? provenAt_ + lease_ : 0;
    }
    /// From when on the proxy counts as cut off, if nothing else is heard: without a copy or a proof for so
    /// long nobody else can count on it either.
    [[nodiscard]] Micros cutOffFrom() const {
        if (!isBound_) return 0;
        return std::min(heardAt_ + silent_, isCopied_ ? provenAt_ + 2 * lease_ : copyAwaitedFrom_ + lease_);
    }
    [[nodiscard]] bool mayChoose(Micros now) const { return now < until() || now >= cutOffFrom(); }

private:
    Micros lease_, silent_;
    bool isBound_ = false, isCopied_ = false;
    Micros boundAt_ = 0, copyAwaitedFrom_ = 0, provenAt_ = 0, heardAt_ = 0;
};

}  // namespace marldale::upstream
