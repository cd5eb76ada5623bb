#include "lab/explain.h"

#include <algorithm>
#include <cstring>
#include <deque>
#include <map>
#include <set>

namespace marldale::lab {
namespace {

using emulator::Event;
using emulator::Kind;
using emulator::readLog;

constexpr std::size_t kAround = 12;  // events before and after a parting

}  // namespace

std::vector<Event> chainOf(const std::string& log, std::uint32_t wish) {
    std::vector<Event> out;
    std::set<std::uint32_t> tries;
    std::uint32_t relay = 0;
    bool open = false, seen = false;
    std::map<std::uint32_t, Event> held, listed;  // by relay; by box: what was true when it came
    std::map<std::uint32_t, Event> states;
    readLog(log, [&](const Event& e) {
        const bool mine = (e.kind == Kind::wish || e.kind == Kind::refused || e.kind == Kind::unpicked ||
                           e.kind == Kind::effect || e.kind == Kind::wishDone) &&
                          e.subject == wish;
        const bool aTry = e.kind == Kind::tried && static_cast<std::uint32_t>(e.more) == wish;
        const bool ofTry = (e.kind == Kind::took || e.kind == Kind::turnedAway || e.kind == Kind::answered) &&
                           tries.count(e.subject) != 0;
        if (e.kind == Kind::wish && e.subject == wish && !seen) {
            seen = open = true;
            relay = e.other;
            if (held.count(relay) != 0) out.push_back(held.at(relay));
        }
        if (aTry) {
            tries.insert(e.subject);
            // What the box was, and what the planners' list said of it.
            if (states.count(e.other) != 0) out.push_back(states.at(e.other));
            if (listed.count(e.other) != 0) out.push_back(listed.at(e.other));
        }
        const bool around = open &&
                            (e.kind == Kind::holds || e.kind == Kind::joined || e.kind == Kind::left ||
                             e.kind == Kind::shutOut) &&
                            e.subject == relay;
        if (mine || aTry || ofTry || around) out.push_back(e);
        if (e.kind == Kind::wishDone && e.subject == wish) open = false;
        if (e.kind == Kind::holds || e.kind == Kind::joined) held[e.subject] = e;
        if (e.kind == Kind::listed) listed[e.other] = e;
        if (e.kind == Kind::state) states[e.subject] = e;
    });
    if (!seen) out.clear();
    return out;
}

std::vector<std::uint32_t> wishesThatEnded(const std::string& log, emulator::End end, std::size_t most) {
    std::vector<std::uint32_t> out;
    readLog(log, [&](const Event& e) {
        if (e.kind == Kind::wishDone && static_cast<emulator::End>(static_cast<int>(e.value)) == end &&
            out.size() < most)
            out.push_back(e.subject);
    });
    return out;
}

std::vector<std::uint32_t> wishesDoubled(const std::string& log, std::size_t most) {
    std::map<std::uint32_t, int> effects;
    std::vector<std::uint32_t> out;
    readLog(log, [&](const Event& e) {
        if (e.kind == Kind::effect && ++effects[e.subject] == 2 && out.size() < most)
            out.push_back(e.subject);
    });
    return out;
}

Parting partingOf(const std::string& one, const std::string& other) {
    std::vector<Event> all;
    readLog(one, [&](const Event& e) { all.push_back(e); });
    Parting out;
    std::uint64_t at = 0;
    readLog(other, [&](const Event& e) {
        const std::uint64_t mine = at++;
        if (out.parts) {
            if (out.other.size() < kAround) out.other.push_back(e);
            return;
        }
        if (mine < all.size() && std::memcmp(&e, &all[mine], sizeof e) == 0) return;
        out.parts = true;
        out.record = mine;
        out.other.push_back(e);
    });
    if (!out.parts && at < all.size()) {
        out.parts = true;
        out.record = at;
    }
    if (!out.parts) return out;
    const std::size_t from = out.record > kAround ? out.record - kAround : 0;
    for (std::size_t i = from; i < out.record; ++i) out.before.push_back(all[i]);
    for (std::size_t i = out.record; i < std::min(all.size(), out.record + kAround); ++i)
        out.one.push_back(all[i]);
    return out;
}

}  // namespace marldale::lab
