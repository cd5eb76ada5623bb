#include "recovery/knowledge.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace marldale::recovery {
namespace {

constexpr std::size_t kNameMost = 128;
constexpr std::uint32_t kTriesMost = 10'000'000;
constexpr Micros kMeanMost = 60 * 1000000LL;
constexpr Micros kSinceMost = 366LL * 24 * 3600 * 1000000;
constexpr double kRateMost = 1e9;

// gone is the most careful, ready the least.
int carefulness(ServerState state) {
    return state == ServerState::gone ? 2 : state == ServerState::draining ? 1 : 0;
}

bool isName(const std::string& name) { return !name.empty() && name.size() <= kNameMost; }

}  // namespace

Knowledge::Knowledge(std::string self, std::uint64_t incarnation, KnowledgeRules rules)
    : self_(std::move(self)), incarnation_(incarnation), rules_(rules) {}

double Knowledge::weightOf(double tries, Micros age) const {
    const double fade =
        std::exp2(-static_cast<double>(std::max<Micros>(age, 0)) / static_cast<double>(rules_.halfLife));
    return std::min(tries, rules_.triesMost) * fade;
}

// Adds this share of another sum's tries.
void Knowledge::Held::add(const Held& other, double share) {
    const double good = tries - failed, more = share * (other.tries - other.failed);
    if (good + more > 0) {
        mean = std::llround((good * static_cast<double>(mean) + more * static_cast<double>(other.mean)) /
                            (good + more));
    }
    tries += share * other.tries;
    failed += share * other.failed;
    if (load.empty()) load = other.load;
}

void Knowledge::recordOutcomes(const OutcomeObservation& sight, Micros now) {
    if (sight.tries == 0) return;
    origins_.insert(self_);
    const Place place{sight.server, sight.zone, self_};
    Held row{sight.bootMs,
             {incarnation_, 0},
             now,
             static_cast<double>(sight.tries),
             static_cast<double>(std::min(sight.failed, sight.tries)),
             sight.mean,
             std::nullopt,
             sight.load};
    if (row.fails()) row.failsSince = now;
    const auto known = sums_.find(place);
    if (known == sums_.end() || known->second.version.incarnation != incarnation_ ||
        known->second.bootMs != sight.bootMs) {
        otherwise_.erase(place);  // the first row of this life
    } else if (known->second.fails() == row.fails()) {
        otherwise_.erase(place);
        const Held& before = known->second;
        // So many of the tries before are kept that all are no more than the window.
        row.add(before, std::clamp((rules_.triesMost - row.tries) / before.tries, 0.0, 1.0));
        if (row.fails() && before.failsSince) row.failsSince = before.failsSince;
        if (!row.fails()) row.failsSince.reset();
    } else {
        const auto [other, first] = otherwise_.try_emplace(place, row);
        if (!first) {
            if (other->second.failsSince) row.failsSince = other->second.failsSince;
            row.add(other->second, 1);
            other->second = row;
        }
        if (row.tries < rules_.proofTries) return;
        otherwise_.erase(place);
        if (row.fails() == known->second.fails()) return;
    }
    row.version.number = ++number_;
    (void)take(place, std::move(row));
}

void Knowledge::came(std::uint32_t proxy, const std::string& zone, const std::string& klass, double rate,
                     Micros now) {
    came_[{proxy, klass}] = {zone, rate, now};
}

void Knowledge::left(std::uint32_t proxy) {
    came_.erase(came_.lower_bound({proxy, ""}), came_.lower_bound({proxy + 1, ""}));
}

std::vector<DemandFact> Knowledge::ownDemand(Micros now) const {
    std::map<std::pair<std::string, std::string>, DemandFact> all;
    for (const auto& [key, came] : came_) {
        const Micros age = std::max<Micros>(0, now - came.at);
        if (age > rules_.demandHolds) continue;
        DemandFact& fact = all[{came.zone, key.second}];
        // As old as its youngest part; its number grows with that.
        fact.age = fact.proxies == 0 ? age : std::min(fact.age, age);
        fact.rate += came.rate;
        ++fact.proxies;
    }
    std::vector<DemandFact> out;
    for (auto& [key, fact] : all) {
        std::tie(fact.zone, fact.klass) = key;
        fact.origin = self_;
        fact.version = {incarnation_, static_cast<std::uint64_t>(now - fact.age)};
        out.push_back(std::move(fact));
    }
    return out;
}

// Whether it says more than what is held.
bool Knowledge::take(const Place& place, Held held) {
    const auto known = sums_.find(place);
    if (known == sums_.end()) {
        if (sums_.size() >= rules_.factsMost) return false;
        sums_.emplace(place, std::move(held));
        return true;
    }
    Held& has = known->second;
    if (held.version > has.version) {
        has = std::move(held);
        return true;
    }
    // The same word by another way: it is as old as its older copy.
    if (held.version == has.version && held.born < has.born) {
        has.born = held.born;
        if (held.failsSince)
            has.failsSince = std::min(has.failsSince.value_or(*held.failsSince), *held.failsSince);
        return true;
    }
    return false;
}

bool Knowledge::sane(const SumFact& fact) const {
    return isName(fact.origin) && isName(fact.server) && isName(fact.zone) && fact.age >= 0 &&
           fact.age <= rules_.ageMost && fact.tries > 0 && fact.tries <= kTriesMost &&
           fact.failed <= fact.tries && fact.mean >= 0 && fact.mean <= kMeanMost && fact.bootMs >= 0 &&
           fact.failsFor >= 0 && fact.failsFor <= kSinceMost && fact.load.size() <= rules_.loadsMost;
}

bool Knowledge::sane(const DemandFact& fact) const {
    return isName(fact.origin) && isName(fact.zone) && isName(fact.klass) && fact.age >= 0 &&
           fact.age <= rules_.ageMost && fact.rate >= 0 && fact.rate <= kRateMost && fact.proxies > 0;
}

// Nobody tells us what we ourselves have seen in this life: it could only be older, or made up.
bool Knowledge::admits(const std::string& origin, const FactVersion& word) {
    if (origin == self_ && word.incarnation >= incarnation_) return false;
    if (origins_.count(origin) != 0) return true;
    if (origins_.size() >= rules_.originsMost) return false;
    origins_.insert(origin);
    return true;
}

MergeCounts Knowledge::merge(const Handover& handover, Micros transit, Micros now) {
    MergeCounts out;
    const Micros way = std::max<Micros>(transit, 0);
    for (const SumFact& fact : handover.sums) {
        if (!sane(fact) || !admits(fact.origin, fact.version)) {
            ++out.refused;
            continue;
        }
        Held held{fact.bootMs,
                  fact.version,
                  now - fact.age - way,
                  static_cast<double>(fact.tries),
                  static_cast<double>(fact.failed),
                  fact.mean,
                  std::nullopt,
                  fact.load};
        if (fact.failsFor > 0) held.failsSince = now - fact.failsFor - way;
        ++(take({fact.server, fact.zone, fact.origin}, std::move(held)) ? out.taken : out.known);
    }
    for (const ListedFact& fact : handover.listed) mergeListed(fact, way, now, out);
    for (const DemandFact& fact : handover.demand) mergeDemand(fact, way, now, out);
    return out;
}

void Knowledge::mergeListed(const ListedFact& fact, Micros transit, Micros now, MergeCounts& out) {
    if (!isName(fact.server) || fact.bootMs < 0 || fact.since < 0 || fact.since > kSinceMost) {
        ++out.refused;
        return;
    }
    if (fact.version <= version_) {  // our own list knows better
        ++out.known;
        return;
    }
    const auto known = others_.find(fact.server);
    if (known == others_.end() && others_.size() >= rules_.boxesMost) {
        ++out.refused;
        return;
    }
    ListedFact mine = fact;
    mine.since += transit;
    const auto rank = [](const ListedFact& f) {
        return std::tuple(f.version, carefulness(f.state), f.bootMs);
    };
    if (known == others_.end()) {
        others_[fact.server] = {std::move(mine), now};
    } else if (rank(fact) > rank(known->second.fact)) {
        known->second.fact = std::move(mine);  // the first word of a newer list began the hold
    }
    ++out.taken;
}

void Knowledge::mergeDemand(const DemandFact& fact, Micros transit, Micros now, MergeCounts& out) {
    const bool room =
        demand_.size() < rules_.factsMost || demand_.count({fact.zone, fact.klass, fact.origin}) != 0;
    if (!sane(fact) || !room || !admits(fact.origin, fact.version)) {
        ++out.refused;
        return;
    }
    HeldDemand& has = demand_.try_emplace({fact.zone, fact.klass, fact.origin}).first->second;
    const Micros born = now - fact.age - transit;
    if (fact.version > has.version) {
        has = {fact.version, born, fact.rate, fact.proxies};
        ++out.taken;
    } else {
        if (fact.version == has.version) has.born = std::min(has.born, born);
        ++out.known;
    }
}

Handover Knowledge::handOver(Micros now) const {
    Handover out;
    out.from = self_;
    for (const auto& [place, held] : sums_) {
        const auto& [server, zone, origin] = place;
        const Micros age = now - held.born;
        if (age > rules_.ageMost || weightOf(held.tries, age) < 1) continue;
        const auto tries = static_cast<std::uint32_t>(std::llround(held.tries));
        const auto failed = static_cast<std::uint32_t>(std::llround(held.failed));
        const Micros failsFor = held.failsSince ? std::max<Micros>(now - *held.failsSince, 1) : 0;
        out.sums.push_back({origin, server, zone, held.bootMs, held.version, std::max<Micros>(age, 0), tries,
                            std::min(failed, tries), held.mean, std::min(failsFor, kSinceMost), held.load});
    }
    for (const auto& [server, own] : list_) {
        const Micros since = std::clamp<Micros>(now - own.since, 0, kSinceMost);
        out.listed.push_back({server, version_, own.listed.state, own.listed.bootMs, since});
    }
    // What newer lists than ours said goes on too, under their version.
    for (const auto& [server, claim] : others_) out.listed.push_back(claim.fact);
    out.demand = ownDemand(now);
    for (const auto& [place, held] : demand_) {
        const Micros age = std::max<Micros>(0, now - held.born);
        if (age > rules_.demandHolds) continue;
        out.demand.push_back({std::get<2>(place), std::get<0>(place), std::get<1>(place), held.version, age,
                              held.rate, held.proxies});
    }
    return out;
}

void Knowledge::updateList(std::uint64_t version, const std::map<std::string, ListedServer>& all,
                           Micros now) {
    version_ = std::max(version_, version);
    std::map<std::string, Own> next;
    for (const auto& [server, listed] : all) {
        const auto before = list_.find(server);
        const bool same = before != list_.end() && before->second.listed.state == listed.state &&
                          before->second.listed.bootMs == listed.bootMs;
        next[server] = {listed, same ? before->second.since : now};
    }
    list_ = std::move(next);
    std::erase_if(others_, [this](const auto& o) { return o.second.fact.version <= version_; });
    // Facts of an earlier boot are of another life of that box.
    std::erase_if(sums_, [this](const auto& s) {
        const auto at = list_.find(std::get<0>(s.first));
        return at != list_.end() && s.second.bootMs < at->second.listed.bootMs;
    });
}

std::vector<RecalledSum> Knowledge::recalled(Micros now) const {
    std::vector<RecalledSum> out;
    double weighted = 0;  // of means
    const auto close = [&] {
        if (out.empty()) return;
        RecalledSum& last = out.back();
        const double good = last.tries - last.failed;
        last.mean = good > 0 ? std::llround(weighted / good) : 0;
        const double scale = std::min(1.0, rules_.allOriginsMost / std::max(last.tries, 1e-9));
        last.tries *= scale;
        last.failed *= scale;
        weighted = 0;
        if (last.tries < 1) out.pop_back();
    };
    for (const auto& [place, held] : sums_) {
        const auto& [server, zone, origin] = place;
        const auto at = list_.find(server);
        if (at == list_.end() || at->second.listed.state != ServerState::ready ||
            at->second.listed.bootMs != held.bootMs || seenLive(server, zone))
            continue;
        const double weight = weightOf(held.tries, now - held.born);
        if (weight <= 0) continue;
        if (out.empty() || out.back().server != server || out.back().zone != zone) {
            close();
            out.push_back({server, zone, 0, 0, 0});
        }
        const double share = weight / held.tries;
        out.back().tries += weight;
        out.back().failed += share * held.failed;
        weighted += share * (held.tries - held.failed) * static_cast<double>(held.mean);
    }
    close();
    return out;
}

bool Knowledge::seenLive(const std::string& server, const std::string& zone) const {
    const auto own = sums_.find({server, zone, self_});
    return own != sums_.end() && own->second.version.incarnation == incarnation_;
}

std::set<std::string> Knowledge::heldBack(Micros now) const {
    std::set<std::string> out;
    std::size_t ready = 0;
    for (const auto& [server, own] : list_) {
        if (own.listed.state != ServerState::ready) continue;
        ++ready;
        const auto other = others_.find(server);
        if (other == others_.end() || now - other->second.heard >= rules_.holdMost) continue;
        const ListedFact& fact = other->second.fact;
        // Of an earlier boot than our list has it says nothing of this life.
        if (fact.state != ServerState::ready && fact.bootMs >= own.listed.bootMs) out.insert(server);
    }
    if (out.size() == ready) out.clear();
    return out;
}

void Knowledge::forget(Micros now) {
    std::erase_if(sums_, [&](const auto& s) {
        const Micros age = now - s.second.born;
        return age > rules_.ageMost || weightOf(s.second.tries, age) < 1;
    });
    std::erase_if(otherwise_, [&](const auto& o) { return sums_.count(o.first) == 0; });
    std::erase_if(demand_, [&](const auto& d) { return now - d.second.born > rules_.demandHolds; });
    std::erase_if(came_, [&](const auto& c) { return now - c.second.at > rules_.demandHolds; });
    origins_.clear();
    for (const auto& [place, held] : sums_) origins_.insert(std::get<2>(place));
    for (const auto& [place, held] : demand_) origins_.insert(std::get<2>(place));
}

}  // namespace marldale::recovery
