// Health: which servers, and which ways between zones, are ejected on proof, and how they come back.
#pragma once

#include <algorithm>
#include <cmath>
#include <vector>

#include "policy/state.h"

namespace marldale::policy {

constexpr Micros kTick = 200 * kMs;                 // how often held changes and health are looked at
constexpr double kStatHalfLifeS = 2.5;              // health sums fade with this half-life
constexpr double kEjectRatio = 0.5;                 // share of failed tries at which a server is ejected
constexpr double kDeadRatio = 0.9;                  // what it takes when many fail or all are slow
constexpr double kEjectTries = 4, kTrialTries = 2;  // on at least so many recent tries, of a trickle
constexpr double kLeastFailing = 0.02;              // share of tries that fails at any server
constexpr double kLinkHalfLifeS = 1;                // sums of a link fade faster: it has many tries
constexpr double kRecovered = 0.2;                  // fewer failures in a trial: it is over at once
constexpr double kLinkRatio = 0.75;                 // share of tries across zones failing that proves a cut
constexpr double kHomeFails = 0.3;                  // a zone's own servers fail less: the link is to blame
constexpr double kEjectMost = 0.3;                  // of the ready servers, at most this share is ejected
constexpr Micros kEjectFor = 4 * kSecond;           // and then a trial
constexpr double kTrialWeight = 0.1;                // trickle to a server that may have recovered
constexpr Micros kTrialFor = 4 * kSecond;
constexpr double kFailedAims = 2;  // a failed try counts as an answer after this many aims
constexpr double kFewTries = 10;   // fewer say nothing about a fleet or a zone
constexpr double kOverTime = 0.6;  // the fleet's answer time that proves overload
constexpr double kCycleGain = 0.05, kIntakeFull = 0.8;  // of the intake: from here on sums come late

// Factors move in steps of a quarter octave, so that noise in what they come from sends no orders.
inline double stepped(double factor) {
    return factor <= 0 ? 0 : std::exp2(std::round(std::log2(factor) * 4) / 4);
}
inline double failedTime(const View& in) { return kFailedAims * in.aim; }

// Where there are more lines than the intake takes, a server's sums come far less often than told.
struct Cadence {
    const View& in;
    double told = 0, toldRate = 0, span = 0;
    Micros cycle = in.set.reportEvery;
    void note(const ServerStats& r) { span += kCycleGain * (static_cast<double>(r.period) - span); }
    void tick() {
        toldRate += kCycleGain * (told * static_cast<double>(kSecond) / kTick - toldRate);
        told = 0;
        const bool full = in.set.reportsPerS > 0 && toldRate > kIntakeFull * in.set.reportsPerS;
        cycle = full ? std::max(static_cast<Micros>(span), in.set.reportEvery) : in.set.reportEvery;
    }
};

struct HealthBook {
    const View& in;
    const Cadence& cadence;
    std::map<std::pair<ZoneId, ServerId>, Health> healths{};
    std::map<std::pair<ZoneId, ZoneId>, Health> links{};  // from a zone's proxies to another zone's servers
    double surprise = 0;  // how many deviations from what is usual prove that it was not chance

    template <class Book, class Id>
    [[nodiscard]] static double factorIn(const Book& book, const Id& id) {
        const auto at = book.find(id);
        if (at == book.end() || at->second.fit == Fit::ok) return 1;
        return at->second.fit == Fit::trial ? kTrialWeight : 0;
    }
    [[nodiscard]] double linkOf(ZoneId from, ZoneId to) const { return factorIn(links, std::pair(from, to)); }
    [[nodiscard]] double of(ZoneId zone, ServerId id) const {
        return factorIn(healths, std::pair(zone, id)) * linkOf(zone, in.fleet.at(id).entry.zone);
    }
    void note(const ServerStats& r) {
        const ZoneId to = in.fleet.at(r.server).entry.zone;
        healths[{r.fromZone, r.server}].note(r, in.now, kStatHalfLifeS, failedTime(in));
        if (to != r.fromZone) links[{r.fromZone, to}].note(r, in.now, kLinkHalfLifeS, failedTime(in));
    }
    // What a process did is no sign of its successor: one that hung and came back is only cold (i4aa4a7).
    void forget(ServerId id) {
        for (ZoneId z = 0; z < in.set.zones; ++z) healths.erase({z, id});
    }
    // One step of a health machine: eject on proof, come back by a trickle. True if it ejects now.
    bool advance(Health& h, double proof, double usual, bool mayEject) {
        if (h.fit == Fit::ejected) {
            if (in.now < h.until) return false;
            h.fit = Fit::trial;
            h.until = in.now + kTrialFor + cadence.cycle + kSecond;
            return false;
        }
        const double least = h.fit == Fit::trial ? kTrialTries : kEjectTries;
        const double chance = std::max(usual, kLeastFailing) * h.seen.tries;
        const bool proven = h.seen.failed - chance >= surprise * std::sqrt(chance);
        if (mayEject && h.seen.tries >= least && h.seen.ratio() >= proof && proven) {
            h.fit = Fit::ejected;
            h.until = in.now + kEjectFor;
            h.seen = {};
            h.countFrom = h.until + cadence.cycle + kSecond;  // late sums of before say nothing new
            return true;
        }
        const bool recovered = h.seen.tries >= least && h.seen.ratio() < kRecovered;
        if (h.fit == Fit::trial && (recovered || in.now >= h.until)) h.fit = Fit::ok;
        return false;
    }
    void judge(bool overloaded) {
        std::vector<double> ratios;
        std::map<ZoneId, double> ejected;
        std::map<ZoneId, Tally> home;
        Tally all;
        for (auto& [key, h] : healths) {
            h.seen.fade(in.now, kStatHalfLifeS);
            if (h.fit == Fit::ejected) ejected[key.first] += 1;
            if (h.fit != Fit::ejected && h.seen.tries >= 1) ratios.push_back(h.seen.ratio());
            all.add(h.seen);
            if (in.fleet.at(key.second).entry.zone != key.first) continue;
            home[key.first].add(h.seen);
        }
        // Among hundreds of servers chance alone fails four of four tries somewhere: proof grows with the
        // fleet.
        surprise = std::sqrt(2 * std::log(1 + static_cast<double>(healths.size())));
        std::sort(ratios.begin(), ratios.end());
        const double usual = ratios.empty() ? 0 : ratios[ratios.size() / 2];
        // A zone that answers nothing to another zone whose own servers answer it is cut off, not broken.
        for (auto& [key, h] : links) {
            h.seen.fade(in.now, kLinkHalfLifeS);
            advance(h, kLinkRatio, 0, home[key.first].ratio() < kHomeFails);
        }
        // Panic threshold: many failing at once, or answers slow on the whole, means load or network. Then
        // only servers that answer all but nothing are ejected, and nobody once half of them fail.
        const bool panic = usual > kEjectRatio;
        const double proof = overloaded ? kDeadRatio : std::clamp(3 * usual, kEjectRatio, kDeadRatio);
        const auto ready = static_cast<double>(readyIn(in.fleet));
        for (auto& [key, h] : healths) {
            if (linkOf(key.first, in.fleet.at(key.second).entry.zone) < 1)
                h.seen = {};  // the link is to blame
            ejected[key.first] +=
                advance(h, proof, all.ratio(), !panic && ejected[key.first] + 1 <= kEjectMost * ready);
        }
    }
};

}  // namespace marldale::policy
