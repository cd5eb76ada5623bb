#include "emulator/rules.h"

#include <algorithm>

namespace marldale::emulator {
namespace {

constexpr Micros kLookEvery = 100000;
constexpr Micros kMessageSlack = 0;

std::string seconds(Micros span) {
    char out[32];
    std::snprintf(out, sizeof out, "%.2f s", static_cast<double>(span) / 1e6);
    return out;
}

}  // namespace

const char* name(Rule rule) {
    static const char* const kNames[] = {"no proxy without a server", "no effect twice", "drains kept",
                                         "no cold server pushed over", "a short queue"};
    return kNames[static_cast<std::size_t>(rule)];
}

RuleChecker::RuleChecker(const Scenario& scenario)
    : scenario_(scenario), instances_(scenario.fleet.planners), relays_(scenario.fleet.relays) {
    for (const ScenarioClass& k : scenario.classes) hasEffect_.push_back(k.writes);
    for (Relay& r : relays_) {
        r.lines.assign(scenario.classes.size(), 0);
        r.emptySince.assign(scenario.classes.size(), -1);
        r.told.assign(scenario.classes.size(), false);
    }
}

std::uint64_t RuleChecker::count() const {
    std::uint64_t out = 0;
    for (const std::uint64_t c : counts_) out += c;
    return out;
}

void RuleChecker::violated(Rule rule, Micros at, std::uint32_t subject, const std::string& text,
                           std::vector<Event> history) {
    if (counts_[static_cast<std::size_t>(rule)]++ >= kKept) return;
    violations_.push_back({rule, at, subject, text, std::move(history)});
}

void RuleChecker::read(const Event& e) {
    if (e.at >= nextLook_) {
        nextLook_ = e.at + kLookEvery;
        checkEmpty(e.at);
    }
    switch (e.kind) {
        case Kind::planner:
            instances_[e.subject].alive = e.value > 0;
            instances_[e.subject].list.clear();
            instances_[e.subject].warm.clear();
            instances_[e.subject].warming.clear();
            break;
        case Kind::listed: return listed(e);
        case Kind::joined: {
            Relay& r = relays_[e.subject];
            r.instance = static_cast<std::int32_t>(e.other);
            r.joinedAt = e.at;
            r.messages.clear();
            r.history.push_back(e);
            for (std::size_t k = 0; k < r.lines.size(); ++k) r.emptySince[k] = r.lines[k] == 0 ? e.at : -1;
            break;
        }
        case Kind::left:
            relays_[e.subject].instance = -1;
            relays_[e.subject].history.push_back(e);
            break;
        case Kind::holds: return holds(e);
        case Kind::messaged: {
            Relay& r = relays_[e.subject];
            const PlannerSettings& p = scenario_.planner;
            if (p.messagesMost == 0) break;
            r.messages.push_back(e.at);
            while (r.messages.front() + p.messagesOver <= e.at - kMessageSlack) r.messages.pop_front();
            if (r.messages.size() > p.messagesMost) {
                violated(Rule::shortQueue, e.at, e.other,
                         "instance " + std::to_string(e.other) + " wrote " +
                             std::to_string(r.messages.size()) + " messages to relay " +
                             std::to_string(e.subject) + " within " + seconds(p.messagesOver),
                         {e});
            }
            break;
        }
        case Kind::queued:
            if (static_cast<double>(e.value) > scenario_.planner.backlog) {
                violated(Rule::shortQueue, e.at, e.subject,
                         std::to_string(static_cast<long>(e.value)) +
                             " lines wait in the channel of instance " + std::to_string(e.subject),
                         {e});
            }
            break;
        case Kind::wish:
            relayOf_[e.subject] = e.other;
            if (!hasEffect_[e.klass]) break;
            writes_[e.subject].relay = e.other;
            writes_[e.subject].history.push_back(e);
            writes_[e.subject].clientRepeats = static_cast<std::uint32_t>(e.value);
            break;
        case Kind::tried: return tried(e);
        case Kind::effect: {
            const auto at = writes_.find(e.subject);
            if (at == writes_.end()) break;
            at->second.history.push_back(e);
            if (++at->second.effects == 2) {
                violated(Rule::noSecondEffect, e.at, e.subject,
                         "wish " + std::to_string(e.subject) + " took effect twice" +
                             (at->second.relayRepeated ? ", tried again by its relay" : ""),
                         {at->second.history.rbegin(), at->second.history.rend()});
            }
            break;
        }
        case Kind::fell:
            violated(Rule::noColdPushedOver, e.at, e.subject,
                     "box " + std::to_string(e.subject) + " was pushed over while it was cold", {e});
            break;
        case Kind::wishDone: relayOf_.erase(e.subject); break;
        default: break;
    }
}

void RuleChecker::listed(const Event& e) {
    Instance& instance = instances_[e.subject];
    Listed& l = instance.list[e.other];
    const auto state = static_cast<ServerState>(e.klass);
    const bool wasReady = l.state == ServerState::ready && l.notReadySince < 0;
    if (state != ServerState::ready && (wasReady || l.notReadySince < 0)) l.notReadySince = e.at;
    if (state == ServerState::ready) l.notReadySince = -1;
    l.state = state;
    l.zone = static_cast<std::uint32_t>(e.value);
    l.boot = e.more;
    instance.warm.erase(e.other);
    if (state != ServerState::ready) return;
    const Micros warmAt = l.boot == 0 ? 0 : l.boot + scenario_.box.warmUp;
    warmAt <= e.at ? (void)instance.warm.insert(e.other) : (void)instance.warming.emplace(warmAt, e.other);
}

void RuleChecker::warmUp(Instance& instance, Micros now) {
    while (!instance.warming.empty() && instance.warming.begin()->first <= now) {
        const std::uint32_t box = instance.warming.begin()->second;
        instance.warming.erase(instance.warming.begin());
        const Listed& l = instance.list[box];
        if (l.state == ServerState::ready && l.boot + scenario_.box.warmUp <= now) instance.warm.insert(box);
    }
}

bool RuleChecker::hasWarm(const Instance& instance, std::uint32_t klass, std::uint32_t zone) const {
    const ScenarioClass& k = scenario_.classes[klass];
    if (k.zones.empty() && !k.ownZoneOnly) return !instance.warm.empty();
    return std::any_of(instance.warm.begin(), instance.warm.end(), [&](std::uint32_t box) {
        const std::uint32_t where = instance.list.at(box).zone;
        if (k.ownZoneOnly && where != zone) return false;
        return k.zones.empty() ||
               std::find(k.zones.begin(), k.zones.end(), scenario_.fleet.zones[where]) != k.zones.end();
    });
}

void RuleChecker::holds(const Event& e) {
    Relay& r = relays_[e.subject];
    r.lines[e.klass] = e.other;
    r.history.push_back(e);
    while (r.history.size() > kHistory) r.history.pop_front();
    if (e.other > 0) {
        r.emptySince[e.klass] = -1;
        r.told[e.klass] = false;
        empty_.erase({e.subject, e.klass});
    } else {
        if (r.emptySince[e.klass] < 0) r.emptySince[e.klass] = e.at;
        empty_.insert({e.subject, e.klass});
    }
}

// A relay counts from when it is joined, has nothing, and its planner's list shows something warm.
void RuleChecker::checkEmpty(Micros now) {
    for (Instance& instance : instances_) warmUp(instance, now);
    const auto zones = static_cast<std::uint32_t>(scenario_.fleet.zones.size());
    for (const auto& [number, klass] : empty_) {
        Relay& r = relays_[number];
        if (r.instance < 0) continue;
        const Instance& instance = instances_[static_cast<std::size_t>(r.instance)];
        if (!instance.alive || !hasWarm(instance, klass, number % zones)) {
            r.emptySince[klass] = now;
            continue;
        }
        const Micros since = std::max(r.emptySince[klass], r.joinedAt);
        if (r.told[klass] || now - since <= scenario_.planner.emptyFor) continue;
        r.told[klass] = true;
        violated(Rule::neverEmpty, now, number,
                 "relay " + std::to_string(number) + " has had nothing to pick for class " +
                     scenario_.classes[klass].name + " for " + seconds(now - since),
                 {r.history.rbegin(), r.history.rend()});
    }
}

void RuleChecker::tried(const Event& e) {
    const auto wish = static_cast<std::uint32_t>(e.more);
    const auto write = writes_.find(wish);
    if (write != writes_.end()) {
        write->second.history.push_back(e);
        if (e.value > 0) write->second.relayRepeated = true;
    }
    const auto at = relayOf_.find(wish);
    if (at == relayOf_.end()) return;
    const Relay& r = relays_[at->second];
    if (r.instance < 0) return;
    const Instance& instance = instances_[static_cast<std::size_t>(r.instance)];
    const auto listed = instance.list.find(e.other);
    if (listed == instance.list.end() || listed->second.notReadySince < 0) return;
    // Told, and the relay joined, for longer than the grace.
    const Micros since = std::max(listed->second.notReadySince, r.joinedAt);
    if (e.at - since <= scenario_.planner.drainGrace) return;
    violated(Rule::drainsKept, e.at, e.other,
             "relay " + std::to_string(at->second) + " sent to box " + std::to_string(e.other) + " " +
                 seconds(e.at - since) + " after its planner was told that it drains or is gone",
             {e, r.history.empty() ? e : r.history.back()});
}

void RuleChecker::finish(Micros now) { checkEmpty(now); }

}  // namespace marldale::emulator
