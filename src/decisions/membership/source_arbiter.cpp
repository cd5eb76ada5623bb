#include "membership/source_arbiter.h"

#include <algorithm>
#include <cmath>

namespace marldale::membership {
namespace {

constexpr int kMinClaims = 2;               // reports by others that prove that a holder does not see a row
constexpr std::size_t kMaxInvalid = 16;     // of a source's last 32 rows
constexpr Micros kForgetAfter = 300000000;  // of silence
constexpr std::size_t kMaxChanges = 64;     // kept until they are taken

std::uint32_t scaled(std::uint32_t count, double part) {
    return static_cast<std::uint32_t>(std::llround(count * part));
}
Micros scaled(Micros span, double part) {
    return std::max<Micros>(1, std::llround(static_cast<double>(span) * part));
}

}  // namespace

void SourceArbiter::heard(SourceId source, Micros now) {
    Source& entry = sources_[source];
    entry.lastHeard = now;
    entry.ended = false;
}

void SourceArbiter::rowRejected(SourceId source, Micros /*now*/) {
    Source& entry = sources_[source];
    entry.invalid = entry.invalid << 1U | std::bitset<32>(1);
}

void SourceArbiter::ended(SourceId source) {
    if (const auto at = sources_.find(source); at != sources_.end()) at->second.ended = true;
}

void SourceArbiter::noteChange(SourceId from, SourceId to, const char* why) {
    ++counts_.changes;
    const auto same = [&](const Change& change) {
        return change.from == from && change.to == to && change.why == why;
    };
    if (changes_.size() < kMaxChanges && std::none_of(changes_.begin(), changes_.end(), same)) {
        changes_.push_back({from, to, why});
    }
}

// Why another source may take over the row, with a report that has tries or has none; null if it may not.
const char* SourceArbiter::whyReleased(const Row& row, bool hasTries, Micros now) const {
    const auto at = sources_.find(row.holder);
    if (at == sources_.end()) return "it is unknown";
    const Source& holder = at->second;
    if (holder.ended) return "it has ended";
    if (now - holder.lastHeard > rules_.silence()) return "it is silent";
    if (holder.invalid.count() > kMaxInvalid) return "its reports are invalid";
    const bool unseen = now - row.lastReport > 2 * rules_.silence() && row.claims >= kMinClaims;
    if (unseen && hasTries) return "it does not report the row";
    return nullptr;
}

double SourceArbiter::part(SourceId source, const Key& key, Micros span, bool hasTries, Micros now) {
    heard(source, now);
    sources_[source].invalid <<= 1U;
    if (span <= 0) return 0;
    const auto [at, isNew] = rows_.try_emplace(key);
    Row& row = at->second;
    Micros allowance = rules_.slack;
    if (isNew) {
        row.holder = source;
        row.coveredUntil = now - span;
    } else if (row.holder != source) {
        const char* why = whyReleased(row, hasTries, now);
        if (why == nullptr) {
            row.claims += hasTries ? 1 : 0;
            ++counts_.notHeld;
            return 0;
        }
        noteChange(row.holder, source, why);
        row.holder = source;
        row.coveredUntil = std::max(row.coveredUntil, now - span);
        allowance = 0;
    }
    row.lastReport = now;
    row.claims = 0;
    row.coveredUntil = std::max(row.coveredUntil, now - rules_.maxSpan);
    const Micros left = now + allowance - row.coveredUntil;
    if (span <= left) {
        row.coveredUntil += span;
        ++counts_.taken;
        return 1;
    }
    const double share = static_cast<double>(left) / static_cast<double>(span);
    if (share < rules_.minPart) {
        ++counts_.covered;
        return 0;
    }
    row.coveredUntil = now + allowance;
    ++counts_.taken;
    ++counts_.cut;
    return share;
}

std::optional<ServerStats> SourceArbiter::admit(SourceId source, const ServerStats& row, Micros now) {
    const Key key{Kind::server, row.server, row.fromZone};
    const double share = part(source, key, row.period, row.tries > 0, now);
    if (share <= 0) return std::nullopt;
    if (share >= 1) return row;
    ServerStats out = row;
    out.tries = scaled(row.tries, share);
    out.failed = std::min(out.tries, scaled(row.failed, share));
    if (row.failed < row.tries && out.failed == out.tries && out.tries > 0)
        --out.failed;  // meanTime is that of successes, so one must remain
    out.period = scaled(row.period, share);
    return out;
}

std::optional<ProxyDemand> SourceArbiter::admit(SourceId source, const ProxyDemand& row, Micros now) {
    const Key key{Kind::proxy, row.proxy, row.klass};
    const double share = part(source, key, row.period, row.came > 0, now);
    if (share <= 0) return std::nullopt;
    if (share >= 1) return row;
    ProxyDemand out = row;
    out.came = scaled(row.came, share);
    out.failed = std::min(out.came, scaled(row.failed, share));
    out.period = scaled(row.period, share);
    return out;
}

void SourceArbiter::sweep(Micros now) {
    std::erase_if(rows_, [&](const auto& entry) { return now - entry.second.lastReport > kForgetAfter; });
    std::erase_if(sources_, [&](const auto& entry) { return now - entry.second.lastHeard > kForgetAfter; });
}

}  // namespace marldale::membership
