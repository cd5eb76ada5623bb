// What a head becomes on its way through. No I/O.
#pragma once

#include "policy/types.h"
#include "proxy/head.h"

namespace marldale::proxy {

// To the box. `timeLeft`: until the client gives up, told as Marldale-Time-Left-Ms.
[[nodiscard]] std::string toBox(const RequestHead& head, Micros timeLeft);

// How a body goes on to a client that speaks HTTP/1.`clientMinor`.
[[nodiscard]] BodyFrame toClientFrame(const ResponseHead& head, int clientMinor);
// To the client. `keepAlive`: its connection stays.
[[nodiscard]] std::string toClient(const ResponseHead& head, const BodyFrame& frame, bool keepAlive);

// An answer of the proxy's own. `retryAfterS`: 0 for none.
[[nodiscard]] std::string ownAnswer(int status, const char* why, unsigned retryAfterS, bool keepAlive,
                                    bool headOnly);

}  // namespace marldale::proxy
