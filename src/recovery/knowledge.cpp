#include "recovery/knowledge.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace marldale::recovery {
namespace {

constexpr std::size_t kNameMost = 128;
constexpr std::uint32_t kTriesMost = 10'000'000;
constexpr Micros kMeanMost = 60 * 1000000LL;

// gone is the most careful, ready the least.
int carefulness(ServerState state) {
    return state == ServerState::gone ? 2 : state == ServerState::draining ? 1 : 0;
}

bool isName(const std::string& name) { return !name.empty() && name.size() <= kNameMost; }

}  // namespace

Knowledge::Knowledge(std::string self, std::uint64_t incarnation, KnowledgeRules rules)
    : self_(std::move(self)), incarnation_(incarnation), rules_(rules) {}

double Knowledge::weightOf(std::uint32_t tries, Micros age) const {
    const double fade =
        std::exp2(-static_cast<double>(std::max<Micros>(age, 0)) / static_cast<double>(rules_.halfLife));
    return std::min(static_cast<double>(tries), rules_.triesMost) * fade;
}

void Knowledge::saw(const std::string& box, const std::string& zone, std::int64_t bootMs, std::uint32_t tries,
                    std::uint32_t failed, Micros mean, Micros now) {
    origins_.insert(self_);
    (void)take({box, zone, self_}, {bootMs, {incarnation_, ++number_}, now, tries, failed, mean});
}

// Whether it says more than what is held.
bool Knowledge::take(const Place& place, const Held& held) {
    const auto known = sums_.find(place);
    if (known == sums_.end()) {
        if (sums_.size() >= rules_.factsMost) return false;
        sums_.emplace(place, held);
        return true;
    }
    Held& has = known->second;
    if (held.word > has.word) {
        has = held;
        return true;
    }
    // The same word by another way: it is as old as its older copy.
    if (held.word == has.word && held.born < has.born) {
        has.born = held.born;
        return true;
    }
    return false;
}

bool Knowledge::sane(const SumFact& fact) const {
    return isName(fact.origin) && isName(fact.box) && isName(fact.zone) && fact.age >= 0 &&
           fact.age <= rules_.ageMost && fact.tries > 0 && fact.tries <= kTriesMost &&
           fact.failed <= fact.tries && fact.mean >= 0 && fact.mean <= kMeanMost && fact.bootMs >= 0;
}

MergeCounts Knowledge::merge(const Handover& handover, Micros transit, Micros now) {
    MergeCounts out;
    for (const SumFact& fact : handover.sums) {
        const bool room = origins_.count(fact.origin) != 0 || origins_.size() < rules_.originsMost;
        // Nobody tells us what we ourselves have seen in this life: it could only be older, or made up.
        const bool ours = fact.origin == self_ && fact.word.incarnation >= incarnation_;
        if (!sane(fact) || !room || ours) {
            ++out.refused;
            continue;
        }
        origins_.insert(fact.origin);
        const Held held{fact.bootMs, fact.word,   now - fact.age - std::max<Micros>(transit, 0),
                        fact.tries,  fact.failed, fact.mean};
        ++(take({fact.box, fact.zone, fact.origin}, held) ? out.taken : out.known);
    }
    for (const ListedFact& fact : handover.listed) {
        if (!isName(fact.box) || fact.bootMs < 0 || others_.size() >= rules_.boxesMost) {
            ++out.refused;
            continue;
        }
        if (fact.version <= version_) {  // our own list knows better
            ++out.known;
            continue;
        }
        ListedFact& has = others_.try_emplace(fact.box, fact).first->second;
        const auto rank = [](const ListedFact& f) {
            return std::tuple(f.version, carefulness(f.state), f.bootMs);
        };
        if (rank(fact) > rank(has)) has = fact;
        ++out.taken;
    }
    return out;
}

Handover Knowledge::handOver(Micros now) const {
    Handover out;
    out.from = self_;
    for (const auto& [place, held] : sums_) {
        const auto& [box, zone, origin] = place;
        const Micros age = now - held.born;
        if (age > rules_.ageMost || weightOf(held.tries, age) < 1) continue;
        out.sums.push_back({origin, box, zone, held.bootMs, held.word, std::max<Micros>(age, 0), held.tries,
                            held.failed, held.mean});
    }
    for (const auto& [box, listed] : list_)
        out.listed.push_back({box, version_, listed.state, listed.bootMs});
    // What newer lists than ours said goes on too, under their version.
    for (const auto& [box, fact] : others_) out.listed.push_back(fact);
    return out;
}

void Knowledge::listSays(std::uint64_t version, const std::map<std::string, Listed>& all) {
    version_ = std::max(version_, version);
    list_ = all;
    std::erase_if(others_, [this](const auto& o) { return o.second.version <= version_; });
    // Facts of an earlier boot are of another life of that box.
    std::erase_if(sums_, [this](const auto& s) {
        const auto listed = list_.find(std::get<0>(s.first));
        return listed != list_.end() && s.second.bootMs < listed->second.bootMs;
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
        const auto& [box, zone, origin] = place;
        const auto listed = list_.find(box);
        if (listed == list_.end() || listed->second.state != ServerState::ready ||
            listed->second.bootMs != held.bootMs)
            continue;
        const double weight = weightOf(held.tries, now - held.born);
        if (weight <= 0) continue;
        if (out.empty() || out.back().box != box || out.back().zone != zone) {
            close();
            out.push_back({box, zone, 0, 0, 0});
        }
        const double share = weight / held.tries;
        out.back().tries += weight;
        out.back().failed += share * held.failed;
        weighted += share * static_cast<double>(held.tries - held.failed) * static_cast<double>(held.mean);
    }
    close();
    return out;
}

std::set<std::string> Knowledge::heldBack() const {
    std::set<std::string> out;
    std::size_t ready = 0;
    for (const auto& [box, listed] : list_) {
        if (listed.state != ServerState::ready) continue;
        ++ready;
        const auto other = others_.find(box);
        // Of an earlier boot than our list has it says nothing of this life.
        if (other == others_.end() || other->second.bootMs < listed.bootMs) continue;
        if (other->second.version > version_ && other->second.state != ServerState::ready) out.insert(box);
    }
    if (out.size() == ready) out.clear();
    return out;
}

void Knowledge::forget(Micros now) {
    std::erase_if(sums_, [&](const auto& s) {
        const Micros age = now - s.second.born;
        return age > rules_.ageMost || weightOf(s.second.tries, age) < 1;
    });
    origins_.clear();
    for (const auto& [place, held] : sums_) origins_.insert(std::get<2>(place));
}

}  // namespace marldale::recovery
