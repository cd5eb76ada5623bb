// The five rules, checked over the event log and nothing else: the code under test is not asked.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "emulator/event_log.h"
#include "emulator/scenario.h"

namespace marldale::emulator {

enum class Rule : std::uint8_t {
    neverEmpty,
    noSecondEffect,
    drainsKept,
    noColdPushedOver,
    shortQueue,
    count_
};
[[nodiscard]] const char* name(Rule rule);

struct Violation {
    Rule rule = Rule::neverEmpty;
    Micros at = 0;
    std::uint32_t subject = 0;   // relay, wish, box or instance, by the rule
    std::string text;            // what happened, in one sentence
    std::vector<Event> history;  // what led there, the last of it first
};

class RuleChecker {
public:
    explicit RuleChecker(const Scenario& scenario);
    void read(const Event& event);
    void finish(Micros now);

    [[nodiscard]] const std::vector<Violation>& violations() const { return violations_; }
    [[nodiscard]] std::uint64_t count(Rule rule) const { return counts_[static_cast<std::size_t>(rule)]; }
    [[nodiscard]] std::uint64_t count() const;

private:
    static constexpr std::size_t kKept = 20;  // violations of each rule that are kept with their history
    static constexpr std::size_t kHistory = 12;

    struct Listed {
        ServerState state = ServerState::gone;
        std::uint32_t zone = 0;
        Micros boot = 0, notReadySince = -1;
    };
    struct Instance {
        bool alive = false;
        std::map<std::uint32_t, Listed> list;
        std::set<std::uint32_t> warm;  // ready and warm by the list
        std::multimap<Micros, std::uint32_t> warming;
    };
    struct Relay {
        std::int32_t instance = -1;
        Micros joinedAt = 0;
        std::vector<std::uint32_t> lines;  // by class
        std::vector<Micros> emptySince;    // -1: it is not
        std::vector<bool> told;
        std::deque<Micros> messages;
        std::deque<Event> history;
    };
    struct Wish {
        std::uint32_t relay = 0;
        std::uint32_t effects = 0, clientRepeats = 0;
        bool relayRepeated = false;
        std::vector<Event> history;
    };
    void listed(const Event& e);
    void holds(const Event& e);
    void tried(const Event& e);
    void checkEmpty(Micros now);
    void warmUp(Instance& instance, Micros now);
    [[nodiscard]] bool hasWarm(const Instance& instance, std::uint32_t klass, std::uint32_t zone) const;
    void violated(Rule rule, Micros at, std::uint32_t subject, const std::string& text,
                  std::vector<Event> history);
    Relay& relay(std::uint32_t number);

    const Scenario& scenario_;
    std::vector<Instance> instances_;
    std::vector<Relay> relays_;
    std::unordered_map<std::uint32_t, Wish> writes_;            // wishes with effects
    std::unordered_map<std::uint32_t, std::uint32_t> relayOf_;  // of a wish that is under way
    std::vector<bool> hasEffect_;                               // by class
    std::set<std::pair<std::uint32_t, std::uint32_t>> empty_;   // relay and class
    Micros nextLook_ = 0;
    std::vector<Violation> violations_;
    std::uint64_t counts_[static_cast<std::size_t>(Rule::count_)] = {};
};

}  // namespace marldale::emulator
