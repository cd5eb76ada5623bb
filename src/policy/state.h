// What a planner remembers: plain records and their bookkeeping. No decision
// and no tuned value lives here; policy.cpp has them all.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <limits>
#include <map>
#include <numeric>
#include <set>
#include <tuple>
#include <vector>

#include "policy/types.h"

namespace marldale {

inline constexpr Micros kMs = 1000;
inline constexpr Micros kSecond = 1000 * kMs;

template <class Map, class Id>
double valueIn(const Map& map, const Id& id, double absent) {
    const auto at = map.find(id);
    return at == map.end() ? absent : at->second;
}

// ---- Servers and proxies ----

inline constexpr std::size_t kNoColumn = ~std::size_t{0};

struct Server {
    ListEntry entry;
    bool withdrawn = false;
    std::size_t column = kNoColumn;
    double base = 0;  // the part of its lines' factor that is the same in every table
                      // column, and the width of one place
    [[nodiscard]] double weight() const { return entry.weight > 0 ? entry.weight : 1; }
    [[nodiscard]] bool ready() const { return entry.state == ServerState::ready; }
};

struct Proxy {
    ZoneId zone = 0;
    double rate = 0;  // as told when it joined
    std::size_t column = 0;
    std::vector<TableId> tables;      // by group
    std::deque<std::uint64_t> marks;  // turns it has been sent and has not answered
};

inline std::ptrdiff_t readyIn(const std::map<ServerId, Server>& fleet) {
    return std::count_if(fleet.begin(), fleet.end(), [](const auto& s) { return s.second.ready(); });
}

// Classes with the same zones open to them share tables.
struct Group {
    ClassMask classes = 0;
    std::uint32_t zones = ~0U;
    bool ownZoneOnly = false;
    [[nodiscard]] bool opens(ZoneId zone) const { return ((zones >> zone) & 1U) != 0; }
};
inline std::vector<Group> groupsOf(const std::vector<ClassSettings>& classes) {
    std::vector<Group> groups;
    for (std::size_t c = 0; c < classes.size(); ++c) {
        const ClassSettings& k = classes[c];
        auto at = std::find_if(groups.begin(), groups.end(), [&](const Group& g) {
            return g.zones == k.zones && g.ownZoneOnly == k.ownZoneOnly;
        });
        if (at == groups.end()) at = groups.insert(groups.end(), Group{0, k.zones, k.ownZoneOnly});
        at->classes = static_cast<ClassMask>(at->classes | (1U << c));
    }
    if (groups.size() == 1) groups[0].classes = 0;
    return groups;
}

inline double tightestAim(const std::vector<ClassSettings>& classes) {
    double aim = static_cast<double>(classes.front().aim);
    for (const ClassSettings& k : classes) aim = std::min(aim, static_cast<double>(k.aim));
    return aim;
}

// What a proxy lets in of `came` requests a second where it holds a rate. They come by chance, not in step,
// so it refuses some while they are fewer than the rate: a queue of `room` places at which the rate serves.
inline double letIn(double came, double rate, double room) {
    const double q = came / rate;
    if (std::abs(q - 1) < 1e-6) return came * room / (room + 1);
    if (q > 1) return rate * (1 - std::pow(q, -room)) / (1 - std::pow(q, -room - 1));
    return came * (1 - std::pow(q, room)) / (1 - std::pow(q, room + 1));
}
// The rate that, held at every proxy, lets this share of their requests through: the busiest give first. A
// proxy lets in at once what its rate gives in `burstS`, and one request in any case.
inline double evenRate(const std::vector<double>& rates, double keep, double burstS) {
    const double wanted = keep * std::accumulate(rates.begin(), rates.end(), 0.0);
    double least = 0, most = 1;
    const auto tooLow = [&](double rate) {
        double in = 0;
        for (const double r : rates) in += letIn(r, rate, std::max(1.0, rate * burstS));
        return in < wanted;
    };
    while (most < 1e9 && tooLow(most)) most *= 2;
    while (most - least > 1e-3 * most) {
        const double middle = (least + most) / 2;
        (tooLow(middle) ? least : most) = middle;
    }
    return most;
}

// ---- Tables ----

using Hash = std::uint64_t;
using Key = std::uint64_t;  // a server's id, or kLevelKey + class
inline constexpr Key kLevelKey = Key{1} << 32U;

struct Entry {
    float value = 0;
    std::uint8_t mode = 0;
};
using Content = std::map<Key, Entry>;

// What a line says, packed: its value in steps of 1/4096 and its retry mode. 0 stands for "no such line".
inline Hash hashOf(const Entry& e) {
    return (static_cast<Hash>(std::llround(static_cast<double>(e.value) * 4096)) << 8U | e.mode) + 1;
}
inline double valueOf(Hash hash) { return hash == 0 ? 0 : static_cast<double>((hash - 1) >> 8U) / 4096; }

struct Change {
    double worth = 0;  // what goes first where not all fits
    Key key = 0;
    Entry entry;
    [[nodiscard]] bool removes() const { return key < kLevelKey && entry.value <= 0; }
    [[nodiscard]] Action order(TableId id) const {
        if (key < kLevelKey) return SetLine{id, static_cast<ServerId>(key), entry.value};
        return SetLevel{id, entry.value, static_cast<ClassMask>(1U << (key - kLevelKey)), entry.mode};
    }
};

using Place = std::tuple<ZoneId, std::size_t,
                         std::size_t>;  // a table's zone, group and column

struct Table {
    ZoneId zone = 0;
    std::size_t group = 0, column = 0;
    bool copy = false;
    std::map<Key, Hash> acked,
        pending;  // hashes of answered lines, and of those under an open mark
    std::uint64_t markTurn = 0;
    Micros markedAt = 0, madeAt = 0;
    std::set<ProxyId> bound, unanswered;

    [[nodiscard]] Place place() const { return {zone, group, column}; }
    [[nodiscard]] double lines() const { return static_cast<double>(acked.size() + pending.size()); }
    [[nodiscard]] Hash held(Key key) const {
        if (const auto p = pending.find(key); p != pending.end()) return p->second;
        const auto a = acked.find(key);
        return a == acked.end() ? 0 : a->second;
    }
    [[nodiscard]] std::vector<Key> heldServers() const {
        std::set<Key> keys;
        for (const auto* lines : {&acked, &pending}) {
            for (const auto& [key, hash] : *lines) {
                if (key < kLevelKey && held(key) != 0) keys.insert(key);
            }
        }
        return {keys.begin(), keys.end()};
    }
    void mark(std::uint64_t turn, Micros now, const std::set<ProxyId>& by) {
        markTurn = turn;
        markedAt = now;
        unanswered.insert(by.begin(), by.end());
    }
    void answer(ProxyId proxy) {
        unanswered.erase(proxy);
        if (unanswered.empty()) settle();
    }
    void settle() {  // an answer moves marked lines into the acknowledged hashes
        for (const auto& [key, hash] : pending) {
            acked[key] = hash;
            if (hash == 0) acked.erase(key);
        }
        pending.clear();
        unanswered.clear();
    }
};

inline bool anyHolds(const std::map<TableId, Table>& tables, ServerId id) {
    return std::any_of(tables.begin(), tables.end(), [&](const auto& t) { return t.second.held(id) != 0; });
}

// The columns that each zone's servers are dealt into, with what is asked of them and what they can do.
struct Columns {
    std::vector<std::vector<ServerId>> members;
    std::map<std::pair<ZoneId, std::size_t>, double> loads, powers;

    void put(ServerId id, Server& s, std::size_t column) {
        s.column = column;
        members[column].push_back(id);
    }
    void drop(ServerId id, const Server& s) {
        if (s.column != kNoColumn) std::erase(members[s.column], id);
    }
    [[nodiscard]] double strain(ZoneId zone, std::size_t column) const {
        const double power = valueIn(powers, std::pair(zone, column), 0);
        return valueIn(loads, std::pair(zone, column), 0) / std::max(power, 1e-3);
    }
    [[nodiscard]] double strain(ZoneId zone) const {  // of all columns together
        double load = 0, power = 0;
        for (std::size_t c = 0; c < members.size(); ++c) {
            load += valueIn(loads, std::pair(zone, c), 0);
            power += valueIn(powers, std::pair(zone, c), 0);
        }
        return power > 0 ? load / power : std::numeric_limits<double>::infinity();
    }
    [[nodiscard]] std::size_t leastStrained(ZoneId zone) const {
        return first([&](std::size_t a, std::size_t b) { return strain(zone, a) < strain(zone, b); });
    }
    [[nodiscard]] std::size_t mostStrained(ZoneId zone) const {
        return first([&](std::size_t a, std::size_t b) { return strain(zone, a) > strain(zone, b); });
    }
    [[nodiscard]] std::size_t weakest(ZoneId zone) const {
        return first([&](std::size_t a, std::size_t b) {
            return valueIn(powers, std::pair(zone, a), 0) < valueIn(powers, std::pair(zone, b), 0);
        });
    }

private:
    template <class Before>
    [[nodiscard]] std::size_t first(const Before& before) const {
        std::size_t best = 0;
        for (std::size_t c = 1; c < members.size(); ++c) {
            if (before(c, best)) best = c;
        }
        return best;
    }
};

// Requests a second that come, by proxy and class.
struct Demands {
    struct Demand {
        double rate = 0;
        Micros at = 0;  // up to when it is told
    };
    std::map<std::pair<ProxyId, std::size_t>, Demand> rates;
    // Nobody reports that nothing came: a span without a word counts as one without a request.
    void fade(Micros now, Micros every, Micros late, double gain) {
        for (auto& [key, d] : rates) {
            if (now - d.at <= every + late) continue;
            d.rate -= gain * d.rate;
            d.at += every;
        }
    }
    [[nodiscard]] double total() const {
        double sum = 0;
        for (const auto& [key, d] : rates) sum += d.rate;
        return sum;
    }
    [[nodiscard]] std::vector<double> of(std::size_t klass) const {
        std::vector<double> out;
        for (const auto& [key, d] : rates) {
            if (key.second == klass) out.push_back(d.rate);
        }
        return out;
    }
    void drop(ProxyId proxy) {
        rates.erase(rates.lower_bound({proxy, 0}),
                    rates.upper_bound({proxy, std::numeric_limits<std::size_t>::max()}));
    }
};

// ---- The channel ----

// Answers come in the channel's order, so all that was ordered before an answered turn has left the channel.
// What may still wait is therefore counted, not guessed, whatever the channel's speed.
class Channel {
public:
    // Books lines to a proxy; true if it gets a message of its own this turn, which costs `head` more.
    bool write(ProxyId proxy, double lines, double head) {
        const bool first = written_.insert(proxy).second;
        turn_ += lines + (first ? head : 0);
        return first;
    }
    void close(std::uint64_t turn, Micros now) {
        if (turn_ > 0) sent_.push_back({turn, now, turn_});
        waiting_ += turn_;
        turn_ = 0;
        written_.clear();
    }
    void reached(std::uint64_t turn) {
        while (!sent_.empty() && sent_.front().turn < turn) drop();
    }
    // Proxies that never answer: a channel at this pace has still sent so much.
    void drain(Micros now, double linesPerS) {
        while (!sent_.empty() && static_cast<double>(now - sent_.front().at) / kSecond * linesPerS > waiting_)
            drop();
    }
    [[nodiscard]] double waiting() const { return waiting_ + turn_; }  // this turn's lines too

private:
    struct Sent {
        std::uint64_t turn = 0;
        Micros at = 0;
        double lines = 0;
    };
    void drop() {
        waiting_ -= sent_.front().lines;
        sent_.pop_front();
    }
    std::deque<Sent> sent_;
    std::set<ProxyId> written_;
    double waiting_ = 0, turn_ = 0;
};

// ---- Sums of tries ----

// Fading if asked to. A failed try counts as an answer after `failedTime`.
struct Tally {
    double tries = 0, failed = 0, time = 0, seconds = 0;
    Micros at = 0;
    void fade(Micros now, double halfLifeS) {
        const double keep = std::exp2(-static_cast<double>(now - at) / (halfLifeS * kSecond));
        tries *= keep;
        failed *= keep;
        time *= keep;
        at = now;
    }
    void add(const ServerSums& r, double failedTime) {
        const std::uint32_t bad = std::min(r.failed, r.tries);
        tries += r.tries;
        failed += bad;
        time += static_cast<double>(r.meanTime) * (r.tries - bad) + bad * failedTime;
        seconds += static_cast<double>(r.period) / kSecond;
    }
    void add(const Tally& t) {
        tries += t.tries;
        failed += t.failed;
        time += t.time;
    }
    [[nodiscard]] double ratio() const { return tries > 0 ? failed / tries : 0; }
    [[nodiscard]] double mean() const { return tries > 0 ? time / tries : 0; }
};

// A server, or the way between two zones, as its tries show it.
enum class Fit { ok, ejected, trial };
struct Health {
    Fit fit = Fit::ok;
    Micros until = 0, countFrom = 0;
    Tally seen;
};

// What a zone's table holds of the other zones' lines.
struct Spill {
    double share = 1;
    double base = 0;  // the best answer time that its servers have shown
    Micros calmSince = 0;
};

// ---- Sites with slices ----

struct Slice {
    std::set<ServerId> lines;
    Micros freeAt = 0;
};
inline std::map<ServerId, double> usesOf(const std::map<TableId, Slice>& slices) {
    std::map<ServerId, double> used;
    for (const auto& [id, slice] : slices) {
        for (const ServerId s : slice.lines) used[s] += 1;
    }
    return used;
}

}  // namespace marldale
