// What a head becomes on its way through. No I/O.
#pragma once

#include "policy/types.h"
#include "proxy/head.h"

namespace marldale::proxy {

// To the box. `timeLeft`: until the client gives up, told as Marldale-Time-Left-Ms. `upgrade`: the protocol
// that it asks to change to; empty: whatever it asked for in that way ends here.
[[nodiscard]] std::string toBox(const RequestHead& head, Micros timeLeft, const std::string& upgrade = {});

// What a request asks to change to, if it is `allowed` and can be passed on: HTTP/1.1, without a body.
[[nodiscard]] std::string upgradeOf(const RequestHead& head, const std::string& allowed);
// A box's 101, as the client gets it.
[[nodiscard]] std::string switching(const ResponseHead& head, const std::string& upgrade);

// How a body goes on to a client that speaks HTTP/1.`clientMinor`.
[[nodiscard]] BodyFrame toClientFrame(const ResponseHead& head, int clientMinor);
// To the client. `keepAlive`: its connection stays.
[[nodiscard]] std::string toClient(const ResponseHead& head, const BodyFrame& frame, bool keepAlive);

// An answer of the proxy's own. `retryAfterS`: 0 for none.
[[nodiscard]] std::string ownAnswer(int status, std::string_view why, unsigned retryAfterS, bool keepAlive,
                                    bool headOnly);

}  // namespace marldale::proxy
