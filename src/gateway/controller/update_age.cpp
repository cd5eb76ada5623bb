#include "gateway/controller/update_age.h"

namespace marldale::controller {

gateway::proto::Server agedUpdate(const gateway::proto::Server& update, Micros delay) {
    gateway::proto::Server out = update;
    if (delay <= kMaxTrustedUpdateDelayUs) return out;
    out.set_heard_ago(update.heard_ago() + delay);
    if (update.cold_left() > 0) out.set_cold_left(update.cold_left() + delay);
    return out;
}

}  // namespace marldale::controller
