#include "proxy/planners.h"

namespace marldale::proxy {

void StandingTeller::operator()(bool there, const std::string& why) {
    const Standing before = gateway_.steering().standing();
    gateway_.steering().planner(there, Gateway::now());
    const Standing after = gateway_.steering().standing();
    if (there) log_("planner", "a planner has this proxy: " + why);
    if (!there && before != after)
        log_("planner", std::string(name(after)) + ", the last tables hold: " + why);
    if (!there && before == after && why != lastWhy_) log_("planner", "there is none: " + why);
    lastWhy_ = there ? "" : why;
}

}  // namespace marldale::proxy
