// A queue of frames to proxies, sent in slices so that the event loop can do other work in between. Frames to
// one proxy stay in order. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <utility>

#include "policy/types.h"

namespace marldale::distribution {

/// The bytes of a frame, shared between all its recipients.
using SharedFrame = std::shared_ptr<const std::string>;

/// A frame to one proxy.
struct OutgoingFrame {
    ProxyId proxy = 0;
    SharedFrame bytes;
    std::uint64_t index = 0;  // of the configuration that the proxy holds after this frame; 0: unchanged
};

/// A first-in, first-out queue of outgoing frames.
class Outbox {
public:
    /// The limits of one slice.
    struct Slice {
        Micros time = 2000;
        std::size_t frames = 16;
    };
    /// Appends a frame.
    void add(OutgoingFrame frame) { frames_.push_back(std::move(frame)); }
    /// Returns whether no frame is queued.
    [[nodiscard]] bool empty() const { return frames_.empty(); }
    /// Returns the number of queued frames.
    [[nodiscard]] std::size_t size() const { return frames_.size(); }
    /// Sends frames until the slice is used up, but at least one; reads the clock after each. Returns whether
    /// more frames are queued.
    template <class Send, class Clock>
    bool sendSlice(const Slice& slice, Send send, Clock clock) {
        const Micros end = clock() + slice.time;
        for (std::size_t sent = 0; sent < slice.frames && !frames_.empty(); ++sent) {
            const OutgoingFrame frame = std::move(frames_.front());
            frames_.pop_front();
            send(frame);
            if (clock() >= end) break;
        }
        return !frames_.empty();
    }

private:
    std::deque<OutgoingFrame> frames_;
};

}  // namespace marldale::distribution
