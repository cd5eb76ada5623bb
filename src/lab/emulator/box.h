// A box: cores, a queue with a discipline and limits, warm-up, troubles. It knows no network and no calendar:
// it is told what comes and when, and says when it will next be done with something.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "emulator/event_log.h"
#include "emulator/random.h"
#include "policy/types.h"

namespace marldale::emulator {

enum class Discipline : std::uint8_t { fifo, lifo, sharing };

struct BoxSettings {
    int cores = 2;
    Discipline discipline = Discipline::fifo;
    std::uint32_t queueMost = 200;        // jobs that wait; more are turned away
    std::uint32_t connectionsMost = 500;  // that are open; more are refused
    double connectWork = 500;             // microseconds of work for a new connection
    double speedSpread = 0.1;             // deviation of the machines' speeds around 1
    double coldSpeed = 0.35;              // of its speed, at its start
    Micros warmUp = 16000000;
    double tipMultiple = 4;       // sent so many times what it can do while cold, for `fallWithin`,
    Micros fallWithin = 3000000;  // it falls over and stays down
    Micros drainFor = 4000000;    // from draining to gone
    Micros loadEvery = 500000;    // its load report is refreshed
    double loadNoise = 0.05;      // deviation, as a share
};

enum class BoxState : std::uint8_t { ready, draining, gone, fallen };

// What a box that is in trouble does, all at once if need be.
struct BoxTroubles {
    double speed = 1;   // slower: below 1
    double stolen = 0;  // share of the machine that another program takes
    double errors = 0;  // share of the jobs that fail at once
    double lost = 0;    // share of the answers that are lost after the effect
    int silent = 0;     // takes everything and answers nothing
    int paused = 0;     // stands still
    int vanished = 0;   // the machine is away: no reset, no answer
    int halfway = 0;    // stops at the next job that has an effect, before or after it
};

struct LoadFigures {
    double inflight = 0, queue = 0, util = 0, latencyMs = 0;
};

class Box {
public:
    struct Job {
        std::uint32_t attempt = 0;
        double left = 0;  // microseconds of work at speed 1
        Micros came = 0;
        bool effect = false;
    };

    Box(const BoxSettings& settings, std::uint32_t zone, std::uint32_t place, Micros now, bool cold,
        std::uint64_t seed, std::uint32_t number);

    // ---- What comes ----

    // Nothing if it was taken.
    [[nodiscard]] std::optional<TurnedAway> offer(const Job& job, bool newConnection, Micros now);
    // A job that still waits goes; false: it runs, or is not there.
    bool cancel(std::uint32_t attempt, Micros now);
    // Whoever is done by now.
    [[nodiscard]] std::vector<Job> done(Micros now);
    // When the next job is done, if nothing changes until then.
    [[nodiscard]] std::optional<Micros> nextDone(Micros now) const;
    // Its speed may have changed: by the time, or by its troubles, which are set before.
    void speedChanged(Micros now);
    void set(BoxState state, Micros now);
    // The jobs that it had, when it stops: nobody will answer them.
    [[nodiscard]] std::vector<Job> stop(Micros now);
    void connectionClosed() { connections_ -= connections_ > 0 ? 1 : 0; }

    // ---- What it is like ----

    BoxTroubles troubles;
    [[nodiscard]] BoxState state() const { return state_; }
    [[nodiscard]] bool takes() const { return state_ == BoxState::ready; }
    [[nodiscard]] bool answers() const { return state_ == BoxState::ready || state_ == BoxState::draining; }
    [[nodiscard]] std::uint32_t zone() const { return zone_; }
    [[nodiscard]] std::uint32_t place() const { return place_; }
    [[nodiscard]] Micros boot() const { return boot_; }  // 0: long ago
    [[nodiscard]] bool cold(Micros now) const { return boot_ > 0 && now - boot_ < settings_.warmUp; }
    [[nodiscard]] bool fellOver() const { return state_ == BoxState::fallen; }
    [[nodiscard]] std::size_t jobs() const { return running_.size() + waiting_.size(); }
    [[nodiscard]] double workLeft() const;
    // Work a microsecond that it can do now, of all cores.
    [[nodiscard]] double capacity(Micros now) const;
    [[nodiscard]] std::uint32_t generation() const { return generation_; }
    // A load report is made anew; `load` is the last one.
    void refreshLoad(Micros now);
    [[nodiscard]] const LoadFigures& load() const { return load_; }

private:
    [[nodiscard]] double warmth(Micros now) const;
    [[nodiscard]] double rate(Micros now) const;  // of each running job
    void advance(Micros now);
    void fill();
    void noteOffered(double work, Micros now);

    const BoxSettings settings_;
    const std::uint32_t zone_, place_;
    const Micros boot_;
    double machine_ = 1;
    Stream random_;
    BoxState state_ = BoxState::ready;
    std::vector<Job> running_;
    std::deque<Job> waiting_;
    std::uint32_t connections_ = 0, generation_ = 0;
    Micros at_ = 0;    // up to when running jobs are worked out
    double rate_ = 0;  // of each, since then
    struct Offered {
        Micros at = 0;
        double work = 0;
    };
    std::deque<Offered> offered_;  // while it is cold, within `fallWithin`
    double offeredWork_ = 0;
    double busy_ = 0, latency_ = 0;  // of the time since the last load report; smoothed
    Micros loadAt_ = 0;
    LoadFigures load_;
};

}  // namespace marldale::emulator
