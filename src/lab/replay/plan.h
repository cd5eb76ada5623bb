// What a replay sends next. No I/O and no clock: entries and answers in, sends out, `now` in microseconds of
// any steady clock.
//
// Open loop: an entry has an intended time, whatever became of those before it. What can't be sent then
// waits, and the wait is counted from the intended time; what has waited too long is given up and counted.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "attempts/circuit_breaker.h"
#include "attempts/effect_ledger.h"
#include "attempts/schedule.h"
#include "trace/format.h"

namespace marldale::replay {

enum class Tries : std::uint8_t {
    recorded,  // every recorded try, at its time
    first,     // first tries only; further ones as a client would, by answers
};

// Why something is not sent.
enum class NotSent : std::uint8_t {
    notChosen,   // its class's share
    furtherTry,  // recorded, and first tries are asked for
    open,
    done,
    maybe,
    unrecorded,
    kin,         // the ledger's words
    boxRefuses,  // the gate of its box is shut
    tooLate,     // it has waited too long
    noRoom,      // too many wait
    stopped,     // the replay was stopped before: the run that goes on sends it
    budget,      // a further try for which there is nothing left
    count_
};
[[nodiscard]] const char* name(NotSent why);

struct PlanSettings {
    attempts::ScheduleSettings schedule;
    Tries tries = Tries::recorded;
    attempts::EffectLedger::Settings effects;
    attempts::CircuitBreaker::Settings gate;
    std::size_t targets = 1;  // boxes; a client stays with one
    double ratePerS = 5000;   // sends
    std::size_t inFlightMost = 512;
    std::size_t waitingMost = 20000;
    Micros waitMost = 10 * 1000000LL;
    // Of `first`:
    unsigned triesMost = 3;
    double retryRatio = 0.2, retriesKept = 20;
    Micros backOff = 200000;  // before the second try; doubled, and half of it by chance
};

struct Send {
    std::uint64_t id = 0;  // of this send
    attempts::Intent intent = 0;
    std::uint64_t kin = 0;
    std::size_t target = 0;
    unsigned number = 0;  // try of the plan's own
    bool hasEffect = false;
    Micros intended = 0;
    trace::Entry entry;
};

struct ClassFigures {
    std::uint64_t entries = 0;  // that came due, copies counted
    std::uint64_t sent = 0, answered = 0, failed = 0, retries = 0;
    std::array<std::uint64_t, static_cast<std::size_t>(NotSent::count_)> notSent{};
};

class Plan {
public:
    // The entries in order; false at the end. For a further loop `again` begins anew.
    using Next = std::function<bool(trace::Entry&)>;

    Plan(PlanSettings settings, std::vector<trace::TraceClass> classes, Next next,
         std::function<void()> again);

    // Before `begin`: what a journal told. `skip`: entries that are settled.
    attempts::EffectLedger& ledger() { return ledger_; }
    void begin(Micros now, std::uint64_t skip = 0);

    // What is to be sent now. For those that have effects the ledger takes them as begun: the journal must
    // hold them before they go.
    [[nodiscard]] std::vector<Send> due(Micros now);
    void answered(const Send& send, const attempts::Answer& answer, std::optional<Micros> retryAfter,
                  Micros now);
    // Nothing more is begun; what is out may be answered.
    void stop();

    [[nodiscard]] std::optional<Micros> wakeAt(Micros now) const;
    [[nodiscard]] bool done() const;
    // All entries before this one (over all loops) are settled.
    [[nodiscard]] std::uint64_t settledBefore() const;
    [[nodiscard]] const std::vector<ClassFigures>& figures() const { return figures_; }
    [[nodiscard]] std::size_t inFlight() const { return inFlight_; }
    [[nodiscard]] std::size_t waiting() const { return ready_.size(); }
    // Recorded time that has been reached.
    [[nodiscard]] Micros recordedNow() const { return recordedNow_; }

private:
    struct Item {
        Send send;
        std::uint64_t index = 0;
    };
    void pull(Micros now);
    [[nodiscard]] bool peek();
    void admit(const trace::Entry& entry, Micros intended);
    [[nodiscard]] bool judge(Item& item, Micros now);
    void leave(const Item& item, NotSent why);
    void settle(std::uint64_t index);
    void retryLater(const Send& send, std::uint64_t index, const attempts::Answer& answer,
                    std::optional<Micros> retryAfter, Micros now);
    [[nodiscard]] ClassFigures& figuresOf(const trace::Entry& entry) { return figures_[entry.classIndex]; }
    void refill(Micros now);

    PlanSettings settings_;
    const std::vector<trace::TraceClass> classes_;
    const Next next_;
    const std::function<void()> again_;
    const attempts::Schedule window_;
    attempts::Schedule schedule_;  // with time beginning at the first entry that is played
    attempts::EffectLedger ledger_;
    std::vector<attempts::CircuitBreaker> gates_;
    attempts::RetryBudget budget_;
    std::vector<ClassFigures> figures_;

    Micros start_ = 0, firstAt_ = 0, lastAt_ = 0, recordedNow_ = 0;
    unsigned loop_ = 0;
    bool hasFirst_ = false, ended_ = false, stopped_ = false;
    std::optional<trace::Entry> upcoming_;
    std::uint64_t index_ = 0, skip_ = 0, lastId_ = 0;  // index of the next entry that is pulled
    std::deque<Item> ready_;
    std::multimap<Micros, Item> later_;            // further tries
    std::map<std::uint64_t, Item> out_;            // by send
    std::map<std::uint64_t, unsigned> unsettled_;  // by entry
    std::size_t inFlight_ = 0;
    double tokens_ = 0;
    Micros refilled_ = 0;
};

}  // namespace marldale::replay
