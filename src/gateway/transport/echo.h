// How old a message is at most, without comparing clocks: each side marks what it sends, the other echoes the
// newest mark and how long it has held it. A message that echoes a mark was sent no earlier than the mark was
// sent plus the time it was held, on the marker's own steady clock; how long either message was on its way,
// or waited for a process that was frozen or late, can't make it look newer. No I/O.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "policy/types.h"

namespace marldale::transport {

class EchoSender {
public:
    // `start`: drawn at the process's start, so that an echo of an earlier run is not taken for one of this.
    explicit EchoSender(std::uint64_t start = 0) : last_(start) {}

    [[nodiscard]] std::uint64_t next(Micros now);
    // When the message with this echo was sent, at the earliest; nothing if the mark isn't known any more.
    [[nodiscard]] std::optional<Micros> sentNoEarlier(std::uint64_t echo, Micros held) const;

private:
    struct Mark {
        std::uint64_t number = 0;
        Micros sentAt = 0;
    };
    std::uint64_t last_;
    std::deque<Mark> marks_;  // the newest ones
};

class EchoReceiver {
public:
    void received(Micros now, std::uint64_t mark);
    [[nodiscard]] std::uint64_t mark() const { return mark_; }
    [[nodiscard]] Micros held(Micros now) const { return mark_ == 0 ? 0 : now - receivedAt_; }

private:
    std::uint64_t mark_ = 0;  // 0: none yet
    Micros receivedAt_ = 0;
};

}  // namespace marldale::transport
