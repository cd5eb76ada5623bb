/// The planner's state: plain records and their bookkeeping. Decisions and their constants are in the files
/// that policy.cpp lists.
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

/// The value of a key, or `absent` if the map lacks it.
template <class Map, class Id>
double valueOr(const Map& map, const Id& id, double absent) {
    const auto at = map.find(id);
    return at == map.end() ? absent : at->second;
}

// ---- Servers and proxies ----

inline constexpr std::size_t kNoSubset = ~std::size_t{0};

/// A server of the list, with what the planner has decided about it.
struct Server {
    ListEntry entry;
    bool withdrawn = false;  // proxies were told not to use it
    std::size_t subset = kNoSubset;
    double baseFactor = 0;  // weight factor that applies in every table
    [[nodiscard]] double weight() const { return entry.weight > 0 ? entry.weight : 1; }
    [[nodiscard]] bool ready() const { return entry.state == ServerState::ready; }
};

/// A proxy served by this planner.
struct Proxy {
    ZoneId zone = 0;
    double rate = 0;  // requests per second, as reported when it joined
    std::size_t subset = 0;
    bool bound = false;  // to a table of this planner
};

/// Number of servers in the ready state.
inline std::ptrdiff_t countReady(const std::map<ServerId, Server>& fleet) {
    return std::count_if(fleet.begin(), fleet.end(), [](const auto& s) { return s.second.ready(); });
}

/// Request classes that may use the same zones and therefore share tables.
struct ClassGroup {
    ClassMask classes = 0;      // 0: all
    std::uint32_t zones = ~0U;  // bit k: zone k is allowed
    bool ownZoneOnly = false;
    [[nodiscard]] bool allowsZone(ZoneId zone) const { return ((zones >> zone) & 1U) != 0; }
};
/// Groups classes by the zones they may use.
inline std::vector<ClassGroup> groupClasses(const std::vector<ClassSettings>& classes) {
    std::vector<ClassGroup> groups;
    for (std::size_t c = 0; c < classes.size(); ++c) {
        const ClassSettings& k = classes[c];
        auto at = std::find_if(groups.begin(), groups.end(), [&](const ClassGroup& g) {
            return g.zones == k.zones && g.ownZoneOnly == k.ownZoneOnly;
        });
        if (at == groups.end()) at = groups.insert(groups.end(), ClassGroup{0, k.zones, k.ownZoneOnly});
        at->classes = static_cast<ClassMask>(at->classes | (1U << c));
    }
    if (groups.size() == 1) groups[0].classes = 0;
    return groups;
}

/// The lowest latency target of all classes, in microseconds.
inline double tightestLatencyTarget(const std::vector<ClassSettings>& classes) {
    double target = static_cast<double>(classes.front().latencyTarget);
    for (const ClassSettings& k : classes) target = std::min(target, static_cast<double>(k.latencyTarget));
    return target;
}

/// Requests per second that a proxy with a rate limit admits. Arrivals are random, so some are refused even
/// below the limit: modelled as a queue of `queueSize` places that is served at the limit (M/M/1/K).
inline double admittedRate(double arriving, double limit, double queueSize) {
    const double load = arriving / limit;
    if (std::abs(load - 1) < 1e-6) return arriving * queueSize / (queueSize + 1);
    if (load > 1) return limit * (1 - std::pow(load, -queueSize)) / (1 - std::pow(load, -queueSize - 1));
    return arriving * (1 - std::pow(load, queueSize)) / (1 - std::pow(load, queueSize + 1));
}
/// The rate limit which, set at every proxy, admits this share of all their requests; it cuts the busiest
/// first. A proxy admits a burst of `burstS` seconds of its rate, and at least one request.
inline double rateForShare(const std::vector<double>& rates, double share, double burstS) {
    const double wanted = share * std::accumulate(rates.begin(), rates.end(), 0.0);
    double low = 0, high = 1;
    const auto tooLow = [&](double rate) {
        double admitted = 0;
        for (const double r : rates) admitted += admittedRate(r, rate, std::max(1.0, rate * burstS));
        return admitted < wanted;
    };
    while (high < 1e9 && tooLow(high)) high *= 2;
    while (high - low > 1e-3 * high) {
        const double middle = (low + high) / 2;
        (tooLow(middle) ? low : high) = middle;
    }
    return high;
}

// ---- Tables ----

using Key = std::uint64_t;  // a server's id, or kLevelKey + class
inline constexpr Key kLevelKey = Key{1} << 32U;

/// A line of a table: the weight of a server, or the level and retry mode of a class.
struct Entry {
    float value = 0;
    std::uint8_t mode = 0;
};
using Content = std::map<Key, Entry>;  // of a table

/// Packs an entry: its value in steps of 1/4096 and its retry mode. Never 0, which means "no such line".
inline Hash entryHash(const Entry& e) {
    return (static_cast<Hash>(std::llround(static_cast<double>(e.value) * 4096)) << 8U | e.mode) + 1;
}
/// The action that sets a line, or removes it if the entry is null.
inline Action actionFor(TableId id, Key key, const Entry* e) {
    if (key < kLevelKey) return SetLine{id, static_cast<ServerId>(key), e != nullptr ? e->value : 0};
    return SetLevel{id, e->value, static_cast<ClassMask>(1U << (key - kLevelKey)), e->mode};
}
/// The value that an entry's hash contains; 0 if there is no line.
inline double hashedValue(Hash hash) { return hash == 0 ? 0 : static_cast<double>((hash - 1) >> 8U) / 4096; }

/// What a table is for: its zone, class group and subset of servers.
using Scope = std::tuple<ZoneId, std::size_t, std::size_t>;

/// The subsets of each zone's servers, with their load and capacity.
struct Subsets {
    std::vector<std::vector<ServerId>> members;
    std::map<std::pair<ZoneId, std::size_t>, double> loads, capacities;  // by zone and subset

    void add(ServerId id, Server& s, std::size_t subset) {
        s.subset = subset;
        members[subset].push_back(id);
    }
    void remove(ServerId id, const Server& s) {
        if (s.subset != kNoSubset) std::erase(members[s.subset], id);
    }
    /// Load over capacity.
    [[nodiscard]] double usage(ZoneId zone, std::size_t subset) const {
        const double capacity = valueOr(capacities, std::pair(zone, subset), 0);
        return valueOr(loads, std::pair(zone, subset), 0) / std::max(capacity, 1e-3);
    }
    [[nodiscard]] double usage(ZoneId zone) const {  // of all subsets together
        double load = 0, capacity = 0;
        for (std::size_t c = 0; c < members.size(); ++c) {
            load += valueOr(loads, std::pair(zone, c), 0);
            capacity += valueOr(capacities, std::pair(zone, c), 0);
        }
        return capacity > 0 ? load / capacity : std::numeric_limits<double>::infinity();
    }
    [[nodiscard]] std::size_t leastUsed(ZoneId zone) const {
        return first([&](std::size_t a, std::size_t b) { return usage(zone, a) < usage(zone, b); });
    }
    [[nodiscard]] std::size_t mostUsed(ZoneId zone) const {
        return first([&](std::size_t a, std::size_t b) { return usage(zone, a) > usage(zone, b); });
    }
    [[nodiscard]] std::size_t smallestCapacity(ZoneId zone) const {
        return first([&](std::size_t a, std::size_t b) {
            return valueOr(capacities, std::pair(zone, a), 0) < valueOr(capacities, std::pair(zone, b), 0);
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

/// Requests per second that arrive, by proxy and class.
struct Demands {
    struct Demand {
        double rate = 0;
        Micros coveredUntil = 0;
    };
    std::map<std::pair<ProxyId, std::size_t>, Demand> rates;
    void record(const ProxyDemand& d, Micros now, double gain) {
        Demand& demand = rates[{d.proxy, d.klass}];
        const double rate = d.came * static_cast<double>(kSecond) / static_cast<double>(d.period);
        demand.rate += (demand.rate > 0 ? gain : 1) * (rate - demand.rate);
        demand.coveredUntil = now;
    }
    /// Absence of requests is not reported: a period without a report counts as one without requests.
    void decay(Micros now, Micros interval, Micros grace, double gain) {
        for (auto& [key, d] : rates) {
            if (now - d.coveredUntil <= interval + grace) continue;
            d.rate -= gain * d.rate;
            d.coveredUntil += interval;
        }
    }
    [[nodiscard]] double total() const {
        double sum = 0;
        for (const auto& [key, d] : rates) sum += d.rate;
        return sum;
    }
    [[nodiscard]] std::vector<double> ratesOf(std::size_t klass) const {
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

/// Counts the lines that may still wait in the channel to the proxies. Acknowledgements arrive in the
/// channel's order, so everything ordered before an acknowledged turn has left it, whatever its speed.
class Channel {
public:
    /// Adds lines to a proxy; the first ones of a turn start a message, which costs `envelope` lines more.
    void write(ProxyId proxy, double lines, double envelope) {
        turnLines_ += lines + (writtenProxies_.insert(proxy).second ? envelope : 0);
    }
    /// Ends a turn: its lines are sent.
    void close(std::uint64_t turn, Micros now) {
        if (turnLines_ > 0) sent_.push_back({turn, now, turnLines_});
        backlog_ += turnLines_;
        turnLines_ = 0;
        writtenProxies_.clear();
    }
    /// A proxy has acknowledged this turn: earlier ones have left the channel.
    void acknowledge(std::uint64_t turn) {
        while (!sent_.empty() && sent_.front().turn < turn) popOldest();
    }
    /// Removes what a channel of this rate has sent by now, for proxies that never acknowledge.
    void drain(Micros now, double linesPerS) {
        while (!sent_.empty() &&
               static_cast<double>(now - sent_.front().sentAt) / kSecond * linesPerS > backlog_)
            popOldest();
    }
    [[nodiscard]] double backlog() const { return backlog_ + turnLines_; }  // with this turn's lines

private:
    struct Sent {
        std::uint64_t turn = 0;
        Micros sentAt = 0;
        double lines = 0;
    };
    void popOldest() {
        backlog_ -= sent_.front().lines;
        sent_.pop_front();
    }
    std::deque<Sent> sent_;
    std::set<ProxyId> writtenProxies_;
    double backlog_ = 0, turnLines_ = 0;
};

// ---- Try statistics ----

/// Sums over tries, which decay on request. A failed try counts as an answer after `failedTryTime`.
struct TryStats {
    double tries = 0, failed = 0, totalTime = 0, seconds = 0;
    Micros decayedAt = 0;
    void decay(Micros now, double halfLifeS) {
        const double keep = std::exp2(-static_cast<double>(now - decayedAt) / (halfLifeS * kSecond));
        tries *= keep;
        failed *= keep;
        totalTime *= keep;
        decayedAt = now;
    }
    void add(const ServerStats& r, double failedTryTime) {
        const std::uint32_t failures = std::min(r.failed, r.tries);
        tries += r.tries;
        failed += failures;
        totalTime += static_cast<double>(r.meanTime) * (r.tries - failures) + failures * failedTryTime;
        seconds += static_cast<double>(r.period) / kSecond;
    }
    void record(const ServerStats& r, Micros now, double halfLifeS, double failedTryTime) {
        decay(now, halfLifeS);
        add(r, failedTryTime);
    }
    void add(const TryStats& t) {
        tries += t.tries;
        failed += t.failed;
        totalTime += t.totalTime;
    }
    [[nodiscard]] double failRatio() const { return tries > 0 ? failed / tries : 0; }
    [[nodiscard]] double meanTime() const { return tries > 0 ? totalTime / tries : 0; }
};

/// Health of a server, or of the link between two zones, by its tries.
enum class HealthState { ok, ejected, trial };
struct Health {
    HealthState state = HealthState::ok;
    Micros until = 0;      // end of the ejection or trial
    Micros countFrom = 0;  // earlier reports are ignored
    TryStats stats;
    void record(const ServerStats& r, Micros now, double halfLifeS, double failedTryTime) {
        if (now >= countFrom) stats.record(r, now, halfLifeS, failedTryTime);
    }
};

/// How much of its load a zone sends to other zones.
struct Spillover {
    double share = 1;       // weight factor of other zones' lines
    double best = 0;        // the lowest mean latency that its servers have shown
    Micros slackSince = 0;  // start of the present period of spare capacity
};

// ---- Sites with slices ----

/// A slice (shard) of a sharded site.
struct Slice {
    std::set<ServerId> lines;  // servers that hold it
    Micros assignableAt = 0;   // no new server before this time
};
/// Number of slices by server.
inline std::map<ServerId, double> sliceCounts(const std::map<TableId, Slice>& slices) {
    std::map<ServerId, double> used;
    for (const auto& [id, slice] : slices) {
        for (const ServerId s : slice.lines) used[s] += 1;
    }
    return used;
}

namespace policy {
/// State shared by all parts: settings, time, the known servers and proxies, and the actions of this turn.
struct Context {
    const Settings settings;
    const std::vector<ClassGroup> groups = groupClasses(settings.classes);
    const double latencyTarget = tightestLatencyTarget(settings.classes);
    Micros now = 0;
    std::vector<Action> actions{};
    std::map<ServerId, Server> fleet{};
    /// Servers that were withdrawn and removed: one that returns under its old id must be restored first.
    std::set<ServerId> removedIds{};
    std::map<ProxyId, Proxy> proxies{};
    Subsets subsets{};
    /// Whether sending lines takes much of the channel's time. Set with the subsets, of which there are
    /// several then, and not changed under load.
    bool linesCostly = false;

    /// Time since the server started; servers with an unknown start count as warm.
    [[nodiscard]] Micros age(const Server& s) const {
        return s.entry.bootTime == 0 ? settings.warmUp : std::max<Micros>(0, now - s.entry.bootTime);
    }
    [[nodiscard]] bool isWarm(const Server& s) const { return age(s) >= settings.warmUp; }
    /// Applies an update of the server list. Returns the servers that have restarted.
    std::vector<ServerId> applyList(const ServerListUpdate& update) {
        std::set<ServerId> named;
        std::vector<ServerId> restarted;
        for (const ListEntry& entry : update.entries) {
            named.insert(entry.server);
            Server& s = fleet[entry.server];
            s.withdrawn = s.withdrawn || removedIds.erase(entry.server) > 0;
            if (entry.bootTime > s.entry.bootTime) restarted.push_back(entry.server);
            s.entry = entry;
        }
        if (update.kind == ServerListUpdateKind::delta) return restarted;
        for (auto& [id, server] : fleet) {
            if (!named.count(id)) server.entry.state = ServerState::gone;  // missing in a full list
        }
        return restarted;
    }
    /// Zones with a warm server, by class group.
    [[nodiscard]] std::vector<std::set<ZoneId>> warmZones() const {
        std::vector<std::set<ZoneId>> zones(groups.size());
        for (const auto& [id, s] : fleet) {
            for (std::size_t g = 0; g < groups.size(); ++g) {
                if (s.ready() && isWarm(s) && groups[g].allowsZone(s.entry.zone))
                    zones[g].insert(s.entry.zone);
            }
        }
        return zones;
    }
    /// Recomputes the load of each subset from the demand of the proxies bound to it.
    void updateLoads(const Demands& demands) {
        subsets.loads.clear();
        for (const auto& [at, d] : demands.rates) {
            const Proxy& p = proxies.at(at.first);
            if (p.bound) subsets.loads[{p.zone, p.subset}] += d.rate;
        }
    }
    /// Most lines that a table of so many servers takes to send: the bind, its lines and its levels.
    [[nodiscard]] double tableLines(std::size_t servers) const {
        return 1 + static_cast<double>(servers + settings.classes.size());
    }
    [[nodiscard]] double tableLines() const {
        return tableLines(subsets.members.empty() ? fleet.size() : subsets.members.front().size());
    }
    /// Seconds that the channel needs to send every proxy its tables, of `lines` lines each.
    [[nodiscard]] double sendTimeS(double lines) const {
        const double proxyCount =
            std::max(static_cast<double>(proxies.size()),
                     static_cast<double>(settings.proxies) / std::max(1U, settings.planners));
        return proxyCount * static_cast<double>(groups.size()) * (lines + settings.envelopeLines) /
               settings.pushRate;
    }
};
}  // namespace policy

}  // namespace marldale
