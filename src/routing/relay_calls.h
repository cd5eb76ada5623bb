// Brings one call at a time to the relay, over a connection that is kept ready for the next.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "protocol/lines.h"
#include "routing/backoff.h"
#include "routing/logger.h"
#include "routing/pending_call.h"
#include "routing/resend_guard.h"
#include "transport/connection.h"

namespace marldale::routing {

class RelayCalls {
public:
    RelayCalls(transport::Loop& loop, transport::Address relay, const Settings& settings,
               std::function<void()> done, Logger log);
    ~RelayCalls() { drop(); }
    RelayCalls(const RelayCalls&) = delete;
    RelayCalls& operator=(const RelayCalls&) = delete;

    // Only when no call is out. `done` follows when all its orders are settled.
    void call(std::vector<std::string> orders, double linesAtMost);

private:
    void dial();
    void drop();
    void lost(const std::string& why);
    void send();
    bool onLine(std::string_view line);
    void settle(const PendingCall::Verdict& verdict);

    transport::Loop& loop_;
    const transport::Address relay_;
    const std::function<void()> done_;
    const Logger log_;
    Backoff backoff_;
    transport::Timer again_;   // to dial, or to send after BUSY
    transport::Timer answer_;  // an answer comes in time, or never
    std::unique_ptr<transport::Connection> connection_;
    bool ready_ = false;  // the connection is up
    bool asked_ = false;  // a line is out on it
    protocol::LineReader reader_;
    std::optional<PendingCall> pending_;
    double linesAtMost_ = 0;  // that it puts into the channel
    bool unknown_ = false;    // whether its first copy was carried out
    ResendGuard guard_;
};

}  // namespace marldale::routing
