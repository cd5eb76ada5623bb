// All hooks of one planner: their texts, versions and lives, what each wishes, and what of it holds. It says
// what is to be asked of the worker and hears what the worker says. No I/O; times are values.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "plugins/guard.h"
#include "plugins/lifecycle.h"
#include "plugins/wishes.h"

namespace marldale::plugins {

class Wardrobe {
public:
    struct Settings {
        LifeSettings life;
        GuardSettings guard;
        Micros wishesHold = 5 * 1000000LL;  // without a new word of their hook
        bool operator==(const Settings&) const = default;
    };
    using Say = std::function<void(const Json& words)>;  // to the worker
    using Log = std::function<void(const std::string& text)>;

    Wardrobe(const Settings& settings, Say say, Log log);
    void set(const Settings& settings);

    // ---- Texts ----

    // A new text of a hook goes on trial: it is compiled, and run against what was recorded. The text that is
    // at work already, or on trial, changes nothing.
    void offer(const std::string& hook, const std::string& text, const std::string& hash, Micros now);
    // Hooks that are not among these go.
    void keepOnly(const std::set<std::string>& hooks);
    // As an operator's word; the answer is for the operator.
    [[nodiscard]] std::string disable(const std::string& hook);
    [[nodiscard]] std::string enable(const std::string& hook, Micros now);
    [[nodiscard]] std::string rollBack(const std::string& hook, Micros now);
    [[nodiscard]] std::vector<std::string> list(Micros now) const;

    // ---- The worker ----

    void workerStarted();  // a new one, which knows nothing
    // It is gone: whatever hook was running had it ended.
    void workerGone(Micros now);
    // False: these are no words of the protocol.
    [[nodiscard]] bool hear(const Json& words, Micros now);

    // ---- Calls ----

    // Hooks at work that have this function, as the worker is to be asked.
    [[nodiscard]] bool wants(const char* function) const;
    [[nodiscard]] Json askable(const char* function) const;
    // What hooks said to a call of on_rows or on_tick.
    struct Said {
        std::uint64_t id = 0;
        std::map<std::string, std::vector<RowWish>> rows;
    };
    // Of a call that has ended, since it was asked for last.
    [[nodiscard]] std::vector<Said> takeSaid() { return std::exchange(said_, {}); }
    void asked(std::uint64_t id, const char* function, const Json& with, std::size_t rows);

    // What holds now; times run out, and wishes of hooks that are not at work do not count.
    [[nodiscard]] Standing standing(const FleetView& fleet, Micros now);
    // For those who look at rows: clips are told here too.
    void told(std::vector<Clip> clips);
    // What has become due: hooks come back from a rest.
    void due(Micros now);
    [[nodiscard]] std::optional<Micros> nextDue() const;

    [[nodiscard]] const Lifecycle* life(const std::string& hook) const;
    [[nodiscard]] std::uint64_t clips(const std::string& hook) const;
    [[nodiscard]] std::uint64_t swaps() const { return swaps_; }
    // Counts what may change who is asked, or what holds.
    [[nodiscard]] std::uint64_t changes() const { return changes_; }

private:
    struct Hook {
        explicit Hook(const LifeSettings& settings) : life(settings) {}
        Lifecycle life;
        std::map<std::uint64_t, std::string> texts;  // by version: at work, on trial, last good
        std::map<std::uint64_t, std::set<std::string>> functions;
        Wishes wishes;
        Micros wishedAt = 0;
        std::uint64_t clips = 0, spentMost = 0;
        std::map<std::string, double> counts;
        std::string lastError;
    };
    struct Out {
        std::uint64_t id = 0;
        std::string function;
        std::size_t rows = 0;
    };
    [[nodiscard]] Json loadWords(const std::string& name, const Hook& hook, std::uint64_t version,
                                 bool trial) const;
    void forgetTexts(const std::string& name, Hook& hook);
    void loaded(const Json& words, Micros now);
    void called(const Json& words, Micros now);
    void result(const Json& words, const Out& out, Said& said, Micros now);
    void ended(const std::string& name, Hook& hook, CallEnd end, const std::string& why, Micros now);
    [[nodiscard]] Hook* find(const std::string& name);

    Settings settings_;
    const Say say_;
    const Log log_;
    std::map<std::string, Hook> hooks_;
    std::uint64_t lastVersion_ = 0, swaps_ = 0, changes_ = 0;
    std::optional<std::pair<std::string, std::uint64_t>> entered_;  // what the worker is in, as it said
    bool up_ = false;
    std::map<std::uint64_t, Out> out_;
    std::vector<Said> said_;
    std::deque<std::pair<std::string, Json>> recorded_;  // inputs for trials
    std::set<std::pair<std::string, std::string>> clipsTold_;
};

}  // namespace marldale::plugins
