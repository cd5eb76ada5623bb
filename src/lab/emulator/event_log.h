// What happened in a run, one record each, in the order in which it happened: the log that checkers and
// scores read, and that is the same, byte for byte, for the same scenario and seed.
#pragma once

#include <cstdint>
#include <cstdio>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "policy/types.h"

namespace marldale::emulator {

enum class Kind : std::uint8_t {
    wish,        // subject: wish, other: relay, klass; value: how often the client has asked before
    refused,     // subject: wish, other: relay, klass: by the level
    unpicked,    // subject: wish, other: relay, klass: nothing to pick
    tried,       // subject: try, other: box, wish in `more`; value: 1 where the relay tries again
    took,        // subject: try, other: box: it stands in the box's queue; value: how many stand there
    turnedAway,  // subject: try, other: box: it never ran; value: why, see TurnedAway
    effect,      // subject: wish, other: box, more: try
    answered,    // subject: try, other: box; value: outcome, see Outcome
    wishDone,    // subject: wish, other: relay, klass; value: see End; more: microseconds since it began
    joined,      // subject: relay, other: instance; value: 1 where it holds only its standing tables
    left,        // subject: relay, other: instance
    holds,  // subject: relay, klass, other: lines that it may pick, more: those of them warm and ready by the
            // list
    shutOut,   // subject: relay, other: box; value: 1 out, 0 back
    ordered,   // subject: instance, other: proxies concerned; value: lines
    queued,    // subject: instance; value: lines that wait in its channel
    messaged,  // subject: relay, other: instance; value: lines
    listed,    // subject: instance, other: box, klass: state; value: zone; more: boot time
    born,      // subject: box, other: zone; value: 1 where it is cold; more: place
    state,     // subject: box; value: see BoxState
    fell,      // subject: box: it was pushed over while cold
    planner,   // subject: instance; value: 1 it has started, 0 it is gone
    fault,     // subject: fault; value: 1 it begins, 0 it ends
    turn,      // subject: instance; value: events, other: actions
    count_
};
[[nodiscard]] const char* name(Kind kind);

enum class TurnedAway : std::uint8_t { notThere = 1, drains, full, connections };
enum class Outcome : std::uint8_t { served, failed, unrun, timeout, cancelled };
enum class End : std::uint8_t { inTime, late, failed, refused, unpicked, gaveUp, count_ };
[[nodiscard]] const char* name(Outcome outcome);
[[nodiscard]] const char* name(End end);

struct Event {
    Micros at = 0;
    Kind kind = Kind::wish;
    std::uint8_t klass = 0;
    std::uint16_t spare = 0;
    std::uint32_t subject = 0, other = 0;
    float value = 0;
    std::int64_t more = 0;
};
static_assert(sizeof(Event) == 32);

[[nodiscard]] std::string shown(const Event& event);

// Whoever reads along.
using Reader = std::function<void(const Event&)>;

// Hashes all of it (XXH3, 64 bits), hands it to the readers, and keeps it in a file if asked to (zstd).
class EventLog {
public:
    EventLog();
    ~EventLog();
    EventLog(const EventLog&) = delete;
    EventLog& operator=(const EventLog&) = delete;

    void readAlong(Reader reader) { readers_.push_back(std::move(reader)); }
    // Throws std::runtime_error if it can't be written.
    void writeTo(const std::string& path);
    void add(const Event& event) {
        buffer_.push_back(event);
        for (const Reader& reader : readers_) reader(event);
        if (buffer_.size() >= kBuffer) flush();
    }
    void finish();
    [[nodiscard]] std::uint64_t hash() const { return hash_; }  // after `finish`
    [[nodiscard]] std::uint64_t count() const { return count_; }

private:
    static constexpr std::size_t kBuffer = 4096;
    void flush();
    struct State;
    std::unique_ptr<State> state_;
    std::vector<Event> buffer_;
    std::vector<Reader> readers_;
    std::uint64_t hash_ = 0, count_ = 0;
};

// Reads a file that `writeTo` has made, record for record. Throws std::runtime_error if it is none or is cut.
void readLog(const std::string& path, const Reader& reader);

}  // namespace marldale::emulator
