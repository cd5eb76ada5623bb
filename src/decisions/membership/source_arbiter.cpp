#include "membership/source_arbiter.h"

#include <algorithm>
#include <cmath>

namespace marldale::membership {
namespace {

constexpr int kClaims = 2;                  // words of another source that prove a holder blind to a row
constexpr std::size_t kSpoiltMost = 16;     // of a source's last 32 rows
constexpr Micros kForgetAfter = 300000000;  // of silence
constexpr std::size_t kNewsMost = 64;

std::uint32_t scaled(std::uint32_t count, double part) {
    return static_cast<std::uint32_t>(std::llround(count * part));
}
Micros scaled(Micros span, double part) {
    return std::max<Micros>(1, std::llround(static_cast<double>(span) * part));
}

}  // namespace

void SourceArbiter::heard(SourceId source, Micros now) {
    Source& s = sources_[source];
    s.lastWord = now;
    s.ended = false;
}

void SourceArbiter::rowRejected(SourceId source, Micros /*now*/) {
    Source& s = sources_[source];
    s.spoilt = s.spoilt << 1U | std::bitset<32>(1);
}

void SourceArbiter::ended(SourceId source) {
    if (const auto at = sources_.find(source); at != sources_.end()) at->second.ended = true;
}

void SourceArbiter::noteChange(SourceId from, SourceId to, const char* why) {
    ++counts_.changes;
    const auto same = [&](const Change& c) { return c.from == from && c.to == to && c.why == why; };
    if (news_.size() < kNewsMost && std::none_of(news_.begin(), news_.end(), same)) {
        news_.push_back({from, to, why});
    }
}

// Why the row's holder holds it no longer against a word with or without tries; null while it does.
const char* SourceArbiter::whyFree(const Row& row, bool hasTries, Micros now) const {
    const auto at = sources_.find(row.holder);
    if (at == sources_.end()) return "it is forgotten";
    const Source& holder = at->second;
    if (holder.ended) return "it has ended";
    if (now - holder.lastWord > rules_.silence()) return "it is silent";
    if (holder.spoilt.count() > kSpoiltMost) return "its reports are spoilt";
    const bool blind = now - row.lastWord > 2 * rules_.silence() && row.claims >= kClaims;
    if (blind && hasTries) return "it does not name it";
    return nullptr;
}

double SourceArbiter::part(SourceId source, const Key& key, Micros span, bool hasTries, Micros now) {
    heard(source, now);
    sources_[source].spoilt <<= 1U;
    if (span <= 0) return 0;
    const auto [at, fresh] = rows_.try_emplace(key);
    Row& row = at->second;
    Micros allowance = rules_.slack;
    if (fresh) {
        row.holder = source;
        row.told = now - span;
    } else if (row.holder != source) {
        const char* why = whyFree(row, hasTries, now);
        if (why == nullptr) {
            row.claims += hasTries ? 1 : 0;
            ++counts_.notHeld;
            return 0;
        }
        noteChange(row.holder, source, why);
        row.holder = source;
        row.told = std::max(row.told, now - span);
        allowance = 0;
    }
    row.lastWord = now;
    row.claims = 0;
    row.told = std::max(row.told, now - rules_.spanMost);
    const Micros left = now + allowance - row.told;
    if (span <= left) {
        row.told += span;
        ++counts_.taken;
        return 1;
    }
    const double share = static_cast<double>(left) / static_cast<double>(span);
    if (share < rules_.leastPart) {
        ++counts_.covered;
        return 0;
    }
    row.told = now + allowance;
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
    if (row.failed < row.tries && out.failed == out.tries && out.tries > 0) --out.failed;  // there is a mean
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
    std::erase_if(rows_, [&](const auto& r) { return now - r.second.lastWord > kForgetAfter; });
    std::erase_if(sources_, [&](const auto& s) { return now - s.second.lastWord > kForgetAfter; });
}

}  // namespace marldale::membership
