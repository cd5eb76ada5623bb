// What a planner remembers: plain records and their bookkeeping. No decision
// and no tuned value lives here; the parts (policy.cpp names them) have them all.
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

#include "policy/held_lines.h"
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
    bool bound = false;  // to tables of ours
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
    double aim = static_cast<double>(classes.front().latencyTarget);
    for (const ClassSettings& k : classes) aim = std::min(aim, static_cast<double>(k.latencyTarget));
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
// The order that sets a line, or removes it where it says nothing.
inline Action orderOf(TableId id, Key key, const Entry* e) {
    if (key < kLevelKey) return SetLine{id, static_cast<ServerId>(key), e != nullptr ? e->value : 0};
    return SetLevel{id, e->value, static_cast<ClassMask>(1U << (key - kLevelKey)), e->mode};
}
inline double valueOf(Hash hash) { return hash == 0 ? 0 : static_cast<double>((hash - 1) >> 8U) / 4096; }

using Scope = std::tuple<ZoneId, std::size_t,
                         std::size_t>;  // a table's zone, group and column

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
    void note(const ProxyDemand& d, Micros now, double gain) {
        Demand& mine = rates[{d.proxy, d.klass}];
        const double rate = d.came * static_cast<double>(kSecond) / static_cast<double>(d.period);
        mine.rate += (mine.rate > 0 ? gain : 1) * (rate - mine.rate);
        mine.at = now;
    }
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
    // Books lines to a proxy; the first of a turn make a message, which costs `head` more.
    void write(ProxyId proxy, double lines, double head) {
        turn_ += lines + (written_.insert(proxy).second ? head : 0);
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
    void add(const ServerStats& r, double failedTime) {
        const std::uint32_t bad = std::min(r.failed, r.tries);
        tries += r.tries;
        failed += bad;
        time += static_cast<double>(r.meanTime) * (r.tries - bad) + bad * failedTime;
        seconds += static_cast<double>(r.period) / kSecond;
    }
    void note(const ServerStats& r, Micros now, double halfLifeS, double failedTime) {
        fade(now, halfLifeS);
        add(r, failedTime);
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
    void note(const ServerStats& r, Micros now, double halfLifeS, double failedTime) {
        if (now >= countFrom) seen.note(r, now, halfLifeS, failedTime);
    }
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

// What every part looks at: settings, the moment, the servers and proxies that are known, and the orders of
// the turn.
namespace policy {
struct View {
    const Settings set;
    const std::vector<Group> groups = groupsOf(set.classes);
    const double aim = tightestAim(set.classes);
    Micros now = 0;
    std::vector<Action> out{};
    std::map<ServerId, Server> fleet{};
    std::set<ServerId>
        shut{};  // withdrawn and gone: should one come back under its old id, it has to be let back
    std::map<ProxyId, Proxy> proxies{};
    Columns columns{};
    bool dear =
        false;  // lines are; decided with the columns, of which there are several: not changed under load

    [[nodiscard]] Micros age(const Server& s) const {
        return s.entry.bootTime == 0 ? set.warmUp : std::max<Micros>(0, now - s.entry.bootTime);
    }
    [[nodiscard]] bool warm(const Server& s) const { return age(s) >= set.warmUp; }
    // Takes over what the list says; tells which servers have started anew.
    std::vector<ServerId> take(const ServerListUpdate& news) {
        std::set<ServerId> named;
        std::vector<ServerId> restarted;
        for (const ListEntry& entry : news.entries) {
            named.insert(entry.server);
            Server& s = fleet[entry.server];
            s.withdrawn = s.withdrawn || shut.erase(entry.server) > 0;
            if (entry.bootTime > s.entry.bootTime) restarted.push_back(entry.server);
            s.entry = entry;
        }
        if (news.kind == ServerListUpdateKind::delta) return restarted;
        for (auto& [id, server] : fleet) {
            if (!named.count(id)) server.entry.state = ServerState::gone;  // not in a whole list
        }
        return restarted;
    }
    // By group: zones with a warm server.
    [[nodiscard]] std::vector<std::set<ZoneId>> openZones() const {
        std::vector<std::set<ZoneId>> open(groups.size());
        for (const auto& [id, s] : fleet) {
            for (std::size_t g = 0; g < groups.size(); ++g) {
                if (s.ready() && warm(s) && groups[g].opens(s.entry.zone)) open[g].insert(s.entry.zone);
            }
        }
        return open;
    }
    void noteLoads(const Demands& demands) {
        columns.loads.clear();
        for (const auto& [at, d] : demands.rates) {
            const Proxy& p = proxies.at(at.first);
            if (p.bound) columns.loads[{p.zone, p.column}] += d.rate;
        }
    }
    // At most: the bind, the lines and the levels of one table.
    [[nodiscard]] double tableLines(std::size_t servers) const {
        return 1 + static_cast<double>(servers + set.classes.size());
    }
    [[nodiscard]] double tableLines() const {
        return tableLines(columns.members.empty() ? fleet.size() : columns.members.front().size());
    }
    // Seconds of channel that it takes to send every proxy its tables anew.
    [[nodiscard]] double tableCost(double lines) const {
        const double mine = std::max(static_cast<double>(proxies.size()),
                                     static_cast<double>(set.proxies) / std::max(1U, set.planners));
        return mine * static_cast<double>(groups.size()) * (lines + set.envelopeLines) / set.pushRate;
    }
};
}  // namespace policy

}  // namespace marldale
