// Every figure that the sockets need, with where it comes from. Decisions have theirs in src/policy.
#pragma once

#include "transport/loop.h"

namespace marldale::routing::limits {

using transport::Millis;

// Dials. On a sound network a connection comes up in under a millisecond; to a machine that is cut off it
// never does, and the kernel asks again only after a second, so a short limit and a new dial are quicker.
inline constexpr Millis kDial{300};
inline constexpr Millis kRedialLeast{20};  // doubled with every failure,
inline constexpr Millis kRedialMost{200};  // so that a party that is back is found again at once

// Calls. PROTOCOL: an answer arrives within 50 ms, or never; the rest is for a core that others use too.
inline constexpr Millis kAnswer{250};
inline constexpr Millis kBusyAgain{50};
// Two calls that leave some time apart may arrive that much closer: the core is shared.
inline constexpr std::chrono::microseconds kArrivalJitter{150000};
inline constexpr double kSpareBacklog =
    0.2;  // of the settings' backlog: the module leaves so much in any case
inline constexpr std::size_t kAnswerLineMost = 256;
inline constexpr std::size_t kCallBuffer = std::size_t{128} * 1024;  // two calls of 60,000 bytes of orders

// News. PROTOCOL: a sign of life comes every second.
inline constexpr Millis kNewsSilence{2200};
inline constexpr Millis kNewsAnswer{400};
inline constexpr std::size_t kNewsLineMost = 1024;
inline constexpr std::size_t kNewsWatches = 2;  // the break of one costs nothing while the other stands

// Discovery. PROTOCOL: a watch has an empty line every 2 s, and what it has to tell counts as told after 6 s.
inline constexpr Millis kWatchSilence{2700};
inline constexpr Millis kListAnswer{500};
inline constexpr std::size_t kListMost = 8U << 20U;  // a whole list of tens of thousands of servers

// Probes. The answer of a server that is well takes milliseconds.
inline constexpr Millis kProbe{1000};
inline constexpr std::size_t kProbesMost = 64;
inline constexpr std::size_t kProbeBodyMost = 4096;

// Connections at our address. Strangers who never say who they are must not use up the descriptors or the
// memory: they hold little, not for long, and the oldest goes when there are too many. LATER: one that has
// not joined within 1 s may be closed, and within 3 s it must be.
inline constexpr std::size_t kStrangersMost = 256;
inline constexpr std::size_t kStrangerFrame = 4096;
inline constexpr Millis kJoinWithin{1100};
inline constexpr std::size_t kCollectorsOfZone = 4;  // it has one; the others are left over from breaks
inline constexpr Millis kHalfMessage{2000};          // of a collector: its bytes come at once, or never
inline constexpr Millis kSweepEvery{100};
inline constexpr std::size_t kReplyBuffer = 4096;

// Turns. What the relay and the collectors tell of one moment arrives spread over a few milliseconds. The
// simulator gives it to the module as one batch; cut in two, proxies that join together get two tables.
inline constexpr std::chrono::microseconds kGather{5000};

// A try ends when its client gives up, at the latest; the rest is for clocks and for answers that come after
// that.
inline constexpr std::int64_t kGiveUpsOfATry = 4;

// Servers that have gone and are remembered all the same, since one may come back under its uid.
inline constexpr std::size_t kGoneServers = 256;

// What waits for the module's thread while a call is out.
inline constexpr std::size_t kReportsQueued = 20000;
inline constexpr std::size_t kEventsQueued = 40000;

}  // namespace marldale::routing::limits
