// Injectable faults that prove the tests' proxy model detects them. All are off in production.
#pragma once

namespace marldale::forwarding {

// Each flag disables one forwarding rule.
struct Faults {
    bool reuseWithSurplus = false;     // reuses a connection with surplus bytes after its answer
    bool retryAfterTimeout = false;    // retries after a timeout even for requests that must not run twice
    bool refuseAfterSend = false;      // answers 503 although bytes may have been sent
    bool ignoreTryId = false;          // does not compare an answer's X-Try-Id
    bool passWithoutSeal = false;      // forwards a 2xx without X-Server-Seal
    bool trustUnprovenStatus = false;  // treats a server's 503 without X-Not-Run as proof
    bool badGatewayUnsent = false;     // answers 502 although nothing was sent
    bool keepAfterTimeout = false;     // reuses a connection whose answer timed out
    bool unsentMayHaveRun = false;     // treats a request of which no byte was sent as possibly run
};

}  // namespace marldale::forwarding
