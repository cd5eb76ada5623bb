// Brings one call at a time to the relay, over a connection that is kept ready for the next.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "routing/backoff.h"
#include "routing/line_link.h"
#include "routing/logger.h"
#include "routing/pending_call.h"
#include "routing/send_guard.h"

namespace marldale::routing {

class RelayCalls {
public:
    RelayCalls(transport::Loop& loop, transport::Address relay, const Settings& settings,
               std::function<void()> done, Logger log);
    RelayCalls(const RelayCalls&) = delete;
    RelayCalls& operator=(const RelayCalls&) = delete;

    // Only when no call is out. `done` follows when all its orders are settled.
    void call(OrderCall call);

    // From here on the relay is there. A call that is out is settled where it went, or sent again there.
    void moveTo(const transport::Address& relay);

private:
    [[nodiscard]] LineLink::Handlers handlers();
    void lost(const std::string& why);
    void send();
    bool onLine(std::string_view line);
    void settle(const PendingCall::Verdict& verdict);
    void redial();

    const std::function<void()> done_;
    const Logger log_;
    Backoff backoff_;
    transport::Timer again_;   // to dial, or to send after BUSY
    transport::Timer answer_;  // an answer comes in time, or never
    LineLink link_;
    bool ready_ = false;  // the connection is up
    bool asked_ = false;  // a line is out on it
    bool moved_ = false;  // and it leads to an address that is no longer ours
    std::optional<PendingCall> pending_;
    OrderCall call_;        // its audience, and what it puts into the channel
    bool unknown_ = false;  // whether its last copy was carried out: it has no answer
    SendGuard guard_;
};

}  // namespace marldale::routing
