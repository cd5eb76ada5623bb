#include "proxy/owner.h"

#include <algorithm>

namespace marldale::proxy {

Owner::Owner(std::size_t planners, Waits waits) : waits_(waits), watching_(planners, false) {}

std::optional<std::size_t> Owner::best() const {
    const auto at = std::find(watching_.begin(), watching_.end(), true);
    if (at == watching_.end()) return std::nullopt;
    return static_cast<std::size_t>(at - watching_.begin());
}

void Owner::watches(std::size_t planner, Micros now) {
    watching_[planner] = true;
    if (holder_ == planner) since_ = -1;  // back in time
    if (!holder_ && since_ < 0) since_ = now;
}

void Owner::watchesNoMore(std::size_t planner, Micros now) {
    watching_[planner] = false;
    if (holder_ == planner && since_ < 0) since_ = now;
    if (!holder_ && !best()) since_ = -1;
}

Micros Owner::next() const {
    if (since_ < 0) return -1;
    if (!holder_) return since_ + waits_.settle;
    // A holder that is gone is replaced only by one that is there.
    return best() ? since_ + waits_.comeBack : -1;
}

std::optional<Owner::Change> Owner::due(Micros now) {
    const Micros at = next();
    if (at < 0 || now < at) return std::nullopt;
    const auto to = best();
    if (!to) return std::nullopt;
    const Change out{holder_, to};
    holder_ = to;
    since_ = -1;
    ++epoch_;
    return out;
}

}  // namespace marldale::proxy
