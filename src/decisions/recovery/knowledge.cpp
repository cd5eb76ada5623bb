// Recording, merging and aging of facts about servers.
#include "recovery/knowledge.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace marldale::recovery {
namespace {

// Upper bounds for values that a peer reports; a fact that exceeds one is refused.
constexpr std::size_t kMaxNameBytes = 128;
constexpr std::uint32_t kMaxTries = 10'000'000;
constexpr Micros kMaxMeanUs = 60 * 1000000LL;
constexpr Micros kMaxDurationUs = 366LL * 24 * 3600 * 1000000;
constexpr double kMaxRatePerS = 1e9;

// Orders states so that of two claims of the same list version the more restrictive one wins.
int restrictiveness(ServerState state) {
    return state == ServerState::gone ? 2 : state == ServerState::draining ? 1 : 0;
}

bool isValidName(const std::string& name) { return !name.empty() && name.size() <= kMaxNameBytes; }

}  // namespace

Knowledge::Knowledge(std::string self, std::uint64_t incarnation, KnowledgeRules rules)
    : self_(std::move(self)), incarnation_(incarnation), rules_(rules) {}

double Knowledge::decayedTries(double tries, Micros age) const {
    const double decay =
        std::exp2(-static_cast<double>(std::max<Micros>(age, 0)) / static_cast<double>(rules_.halfLife));
    return std::min(tries, rules_.maxTries) * decay;
}

// Adds another sum, with its tries scaled by `share`.
void Knowledge::StoredSum::addScaled(const StoredSum& other, double share) {
    const double succeeded = tries - failed, added = share * (other.tries - other.failed);
    if (succeeded + added > 0) {
        mean =
            std::llround((succeeded * static_cast<double>(mean) + added * static_cast<double>(other.mean)) /
                         (succeeded + added));
    }
    tries += share * other.tries;
    failed += share * other.failed;
    if (load.empty()) load = other.load;
}

void Knowledge::recordOutcomes(const OutcomeObservation& observation, Micros now) {
    if (observation.tries == 0) return;
    origins_.insert(self_);
    const FactKey key{observation.server, observation.zone, self_};
    StoredSum row{observation.bootMs,
                  {incarnation_, 0},
                  now,
                  static_cast<double>(observation.tries),
                  static_cast<double>(std::min(observation.failed, observation.tries)),
                  observation.mean,
                  std::nullopt,
                  observation.load};
    if (row.failing()) row.failingSince = now;
    const auto known = sums_.find(key);
    if (known == sums_.end() || known->second.version.incarnation != incarnation_ ||
        known->second.bootMs != observation.bootMs) {
        contradicting_.erase(key);  // the first row of this run, or of this boot of the server
    } else if (known->second.failing() == row.failing()) {
        contradicting_.erase(key);
        const StoredSum& before = known->second;
        // Scales the earlier tries down so that the total does not exceed `maxTries`.
        row.addScaled(before, std::clamp((rules_.maxTries - row.tries) / before.tries, 0.0, 1.0));
        if (row.failing() && before.failingSince) row.failingSince = before.failingSince;
        if (!row.failing()) row.failingSince.reset();
    } else {
        // Replaces the sum only once enough consecutive tries contradict it.
        const auto [pending, inserted] = contradicting_.try_emplace(key, row);
        if (!inserted) {
            if (pending->second.failingSince) row.failingSince = pending->second.failingSince;
            row.addScaled(pending->second, 1);
            pending->second = row;
        }
        if (row.tries < rules_.contradictionTries) return;
        contradicting_.erase(key);
        if (row.failing() == known->second.failing()) return;
    }
    row.version.sequence = ++lastSequence_;
    (void)storeSum(key, std::move(row));
}

void Knowledge::recordDemand(std::uint32_t proxy, const std::string& zone, const std::string& klass,
                             double rate, Micros now) {
    ownDemand_[{proxy, klass}] = {zone, rate, now};
}

void Knowledge::removeProxy(std::uint32_t proxy) {
    ownDemand_.erase(ownDemand_.lower_bound({proxy, ""}), ownDemand_.lower_bound({proxy + 1, ""}));
}

std::vector<DemandFact> Knowledge::ownDemand(Micros now) const {
    std::map<std::pair<std::string, std::string>, DemandFact> all;
    for (const auto& [key, sample] : ownDemand_) {
        const Micros age = std::max<Micros>(0, now - sample.at);
        if (age > rules_.demandLifetime) continue;
        DemandFact& fact = all[{sample.zone, key.second}];
        // The age is that of the most recent sample, so that the sequence below grows with each new sample.
        fact.age = fact.proxies == 0 ? age : std::min(fact.age, age);
        fact.rate += sample.rate;
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

// Returns true if the sum is new, replaces an older version, or makes the stored copy older.
bool Knowledge::storeSum(const FactKey& key, StoredSum sum) {
    const auto known = sums_.find(key);
    if (known == sums_.end()) {
        if (sums_.size() >= rules_.maxFacts) return false;
        sums_.emplace(key, std::move(sum));
        return true;
    }
    StoredSum& stored = known->second;
    if (sum.version > stored.version) {
        stored = std::move(sum);
        return true;
    }
    // The same version received by another path: the older copy determines the age.
    if (sum.version == stored.version && sum.observedAt < stored.observedAt) {
        stored.observedAt = sum.observedAt;
        if (sum.failingSince)
            stored.failingSince =
                std::min(stored.failingSince.value_or(*sum.failingSince), *sum.failingSince);
        return true;
    }
    return false;
}

bool Knowledge::isPlausible(const SumFact& fact) const {
    return isValidName(fact.origin) && isValidName(fact.server) && isValidName(fact.zone) && fact.age >= 0 &&
           fact.age <= rules_.maxAge && fact.tries > 0 && fact.tries <= kMaxTries &&
           fact.failed <= fact.tries && fact.mean >= 0 && fact.mean <= kMaxMeanUs && fact.bootMs >= 0 &&
           fact.failsFor >= 0 && fact.failsFor <= kMaxDurationUs && fact.load.size() <= rules_.maxLoadValues;
}

bool Knowledge::isPlausible(const DemandFact& fact) const {
    return isValidName(fact.origin) && isValidName(fact.zone) && isValidName(fact.klass) && fact.age >= 0 &&
           fact.age <= rules_.maxAge && fact.rate >= 0 && fact.rate <= kMaxRatePerS && fact.proxies > 0;
}

// Refuses facts attributed to this instance in its current run: they can only be outdated or forged. Other
// origins are admitted until `maxOrigins` are known.
bool Knowledge::admitOrigin(const std::string& origin, const FactVersion& version) {
    if (origin == self_ && version.incarnation >= incarnation_) return false;
    if (origins_.count(origin) != 0) return true;
    if (origins_.size() >= rules_.maxOrigins) return false;
    origins_.insert(origin);
    return true;
}

MergeCounts Knowledge::merge(const Handover& handover, Micros transit, Micros now) {
    MergeCounts out;
    const Micros elapsed = std::max<Micros>(transit, 0);
    for (const SumFact& fact : handover.sums) {
        if (!isPlausible(fact) || !admitOrigin(fact.origin, fact.version)) {
            ++out.refused;
            continue;
        }
        StoredSum sum{fact.bootMs,
                      fact.version,
                      now - fact.age - elapsed,
                      static_cast<double>(fact.tries),
                      static_cast<double>(fact.failed),
                      fact.mean,
                      std::nullopt,
                      fact.load};
        if (fact.failsFor > 0) sum.failingSince = now - fact.failsFor - elapsed;
        ++(storeSum({fact.server, fact.zone, fact.origin}, std::move(sum)) ? out.merged : out.known);
    }
    for (const ListedFact& fact : handover.listed) mergeListed(fact, elapsed, now, out);
    for (const DemandFact& fact : handover.demand) mergeDemand(fact, elapsed, now, out);
    return out;
}

void Knowledge::mergeListed(const ListedFact& fact, Micros transit, Micros now, MergeCounts& out) {
    if (!isValidName(fact.server) || fact.bootMs < 0 || fact.since < 0 || fact.since > kMaxDurationUs) {
        ++out.refused;
        return;
    }
    if (fact.version <= listVersion_) {  // the own list is at least as recent
        ++out.known;
        return;
    }
    const auto known = newerListings_.find(fact.server);
    if (known == newerListings_.end() && newerListings_.size() >= rules_.maxServers) {
        ++out.refused;
        return;
    }
    ListedFact aged = fact;
    aged.since += transit;
    const auto rank = [](const ListedFact& f) {
        return std::tuple(f.version, restrictiveness(f.state), f.bootMs);
    };
    if (known == newerListings_.end()) {
        newerListings_[fact.server] = {std::move(aged), now};
    } else if (rank(fact) > rank(known->second.fact)) {
        known->second.fact =
            std::move(aged);  // `firstHeardAt` stays: repeating a claim does not extend a hold
    }
    ++out.merged;
}

void Knowledge::mergeDemand(const DemandFact& fact, Micros transit, Micros now, MergeCounts& out) {
    const bool hasRoom =
        peerDemand_.size() < rules_.maxFacts || peerDemand_.count({fact.zone, fact.klass, fact.origin}) != 0;
    if (!isPlausible(fact) || !hasRoom || !admitOrigin(fact.origin, fact.version)) {
        ++out.refused;
        return;
    }
    StoredDemand& stored = peerDemand_.try_emplace({fact.zone, fact.klass, fact.origin}).first->second;
    const Micros observedAt = now - fact.age - transit;
    if (fact.version > stored.version) {
        stored = {fact.version, observedAt, fact.rate, fact.proxies};
        ++out.merged;
    } else {
        if (fact.version == stored.version) stored.observedAt = std::min(stored.observedAt, observedAt);
        ++out.known;
    }
}

Handover Knowledge::handOver(Micros now) const {
    Handover out;
    out.from = self_;
    for (const auto& [key, sum] : sums_) {
        const auto& [server, zone, origin] = key;
        const Micros age = now - sum.observedAt;
        if (age > rules_.maxAge || decayedTries(sum.tries, age) < 1) continue;
        const auto tries = static_cast<std::uint32_t>(std::llround(sum.tries));
        const auto failed = static_cast<std::uint32_t>(std::llround(sum.failed));
        const Micros failsFor = sum.failingSince ? std::max<Micros>(now - *sum.failingSince, 1) : 0;
        out.sums.push_back({origin, server, zone, sum.bootMs, sum.version, std::max<Micros>(age, 0), tries,
                            std::min(failed, tries), sum.mean, std::min(failsFor, kMaxDurationUs), sum.load});
    }
    for (const auto& [server, own] : ownList_) {
        const Micros since = std::clamp<Micros>(now - own.since, 0, kMaxDurationUs);
        out.listed.push_back({server, listVersion_, own.listed.state, own.listed.bootMs, since});
    }
    // Entries of lists newer than the own one are passed on under their own version.
    for (const auto& [server, newer] : newerListings_) out.listed.push_back(newer.fact);
    out.demand = ownDemand(now);
    for (const auto& [key, demand] : peerDemand_) {
        const Micros age = std::max<Micros>(0, now - demand.observedAt);
        if (age > rules_.demandLifetime) continue;
        out.demand.push_back({std::get<2>(key), std::get<0>(key), std::get<1>(key), demand.version, age,
                              demand.rate, demand.proxies});
    }
    return out;
}

void Knowledge::updateList(std::uint64_t version, const std::map<std::string, ListedServer>& all,
                           Micros now) {
    listVersion_ = std::max(listVersion_, version);
    std::map<std::string, OwnListing> next;
    for (const auto& [server, listed] : all) {
        const auto before = ownList_.find(server);
        const bool same = before != ownList_.end() && before->second.listed.state == listed.state &&
                          before->second.listed.bootMs == listed.bootMs;
        next[server] = {listed, same ? before->second.since : now};
    }
    ownList_ = std::move(next);
    std::erase_if(newerListings_, [this](const auto& o) { return o.second.fact.version <= listVersion_; });
    // Facts about an earlier boot of a server do not apply to its current process.
    std::erase_if(sums_, [this](const auto& s) {
        const auto at = ownList_.find(std::get<0>(s.first));
        return at != ownList_.end() && s.second.bootMs < at->second.listed.bootMs;
    });
}

std::vector<RecalledSum> Knowledge::recalled(Micros now) const {
    std::vector<RecalledSum> out;
    double weightedMeans = 0;  // of the group being summed: successful tries times their mean
    const auto finishGroup = [&] {
        if (out.empty()) return;
        RecalledSum& last = out.back();
        const double succeeded = last.tries - last.failed;
        last.mean = succeeded > 0 ? std::llround(weightedMeans / succeeded) : 0;
        const double scale = std::min(1.0, rules_.maxRecalledTries / std::max(last.tries, 1e-9));
        last.tries *= scale;
        last.failed *= scale;
        weightedMeans = 0;
        if (last.tries < 1) out.pop_back();
    };
    // The map is ordered by server and zone, so the origins of one group are adjacent.
    for (const auto& [key, sum] : sums_) {
        const auto& [server, zone, origin] = key;
        const auto at = ownList_.find(server);
        if (at == ownList_.end() || at->second.listed.state != ServerState::ready ||
            at->second.listed.bootMs != sum.bootMs || observedThisRun(server, zone))
            continue;
        const double weight = decayedTries(sum.tries, now - sum.observedAt);
        if (weight <= 0) continue;
        if (out.empty() || out.back().server != server || out.back().zone != zone) {
            finishGroup();
            out.push_back({server, zone, 0, 0, 0});
        }
        const double share = weight / sum.tries;
        out.back().tries += weight;
        out.back().failed += share * sum.failed;
        weightedMeans += share * (sum.tries - sum.failed) * static_cast<double>(sum.mean);
    }
    finishGroup();
    return out;
}

bool Knowledge::observedThisRun(const std::string& server, const std::string& zone) const {
    const auto own = sums_.find({server, zone, self_});
    return own != sums_.end() && own->second.version.incarnation == incarnation_;
}

std::set<std::string> Knowledge::heldBack(Micros now) const {
    std::set<std::string> out;
    std::size_t ready = 0;
    for (const auto& [server, own] : ownList_) {
        if (own.listed.state != ServerState::ready) continue;
        ++ready;
        const auto newer = newerListings_.find(server);
        if (newer == newerListings_.end() || now - newer->second.firstHeardAt >= rules_.maxHold) continue;
        const ListedFact& fact = newer->second.fact;
        // A claim about an earlier boot than the own list has does not apply to the current process.
        if (fact.state != ServerState::ready && fact.bootMs >= own.listed.bootMs) out.insert(server);
    }
    if (out.size() == ready) out.clear();
    return out;
}

void Knowledge::expire(Micros now) {
    std::erase_if(sums_, [&](const auto& s) {
        const Micros age = now - s.second.observedAt;
        return age > rules_.maxAge || decayedTries(s.second.tries, age) < 1;
    });
    std::erase_if(contradicting_, [&](const auto& o) { return sums_.count(o.first) == 0; });
    std::erase_if(peerDemand_,
                  [&](const auto& d) { return now - d.second.observedAt > rules_.demandLifetime; });
    std::erase_if(ownDemand_, [&](const auto& c) { return now - c.second.at > rules_.demandLifetime; });
    origins_.clear();
    for (const auto& [key, sum] : sums_) origins_.insert(std::get<2>(key));
    for (const auto& [key, demand] : peerDemand_) origins_.insert(std::get<2>(key));
}

}  // namespace marldale::recovery
