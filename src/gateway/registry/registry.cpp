#include "gateway/registry/registry.h"

#include <algorithm>

#include "gateway/json/json.h"

namespace marldale::registry {
namespace {

constexpr Micros kMinColdTimeChangeUs = 300000;  // smaller differences of a cold time are ignored
constexpr Micros kIsolatedAfterUs = 2500000;     // no report at all for this long: the fault is local
// A heartbeat this soon after a zone was taken back may have been sent before that.
constexpr Micros kAssumedColdSlackUs = 100000;

// Returns whether anything changed that decides how a server is reached or chosen.
bool routingChanged(const proto::Server& before, const proto::Server& after) {
    return before.service() != after.service() || before.zone() != after.zone() ||
           before.free_places() != after.free_places() || before.address() != after.address();
}

// Whether others can be told of the server: messages to edge proxies carry UTF-8 only.
bool isReadable(const proto::Server& report) {
    return !report.id().empty() && json::isUtf8(report.id()) && json::isUtf8(report.service()) &&
           json::isUtf8(report.address()) && json::isUtf8(report.zone()) && json::isUtf8(report.version());
}

}  // namespace

void Registry::recordChange(const std::string& id) {
    ++changes_;
    changed_.insert(id);
}

Registry::ReportEffect Registry::applyReport(Micros now, const proto::Server& report) {
    if (!isReadable(report) || departed_.count(report.id()) != 0) return ReportEffect::none;
    const Micros at = now - std::max<Micros>(0, report.heard_ago());
    if (report.gone()) return signOff(report.id(), at, now);
    const auto known = servers_.find(report.id());
    const bool isNew = known == servers_.end();
    if (isNew) {
        if (servers_.size() >= settings_.maxServers) return ReportEffect::none;
    } else if (report.call_count() < known->second.report.call_count()) {
        return applyLateReport(known->second, report);
    } else if (report.call_count() == known->second.report.call_count()) {
        if (report.emptying() && !known->second.report.emptying())
            return applyLateReport(known->second, report);
        const bool later = at > known->second.reportedAt;
        known->second.reportedAt = std::max(known->second.reportedAt, at);
        return later ? ReportEffect::refreshed : ReportEffect::none;
    }
    lastReportAt_ = std::max(lastReportAt_, at);
    if (isNew) claimAddress(report, now);
    return update(servers_[report.id()], report, at, now, isNew);
}

Registry::ReportEffect Registry::applyLateReport(Server& server, const proto::Server& report) {
    if (!report.emptying() || server.report.emptying()) return ReportEffect::none;
    server.report.set_emptying(true);
    recordChange(server.report.id());
    return ReportEffect::urgent;
}

Registry::ReportEffect Registry::signOff(const std::string& id, Micros at, Micros now) {
    if (now - at > settings_.departureRetention) return ReportEffect::none;
    lastReportAt_ = std::max(lastReportAt_, at);
    if (const auto known = servers_.find(id); known != servers_.end()) {
        byAddress_.erase(known->second.report.address());
        servers_.erase(known);
    }
    departed_[id] = at;
    recordChange(id);
    return ReportEffect::urgent;
}

void Registry::claimAddress(const proto::Server& report, Micros now) {
    const auto before = byAddress_.find(report.address());
    if (before != byAddress_.end()) {
        departed_[before->second] = now;
        servers_.erase(before->second);
        recordChange(before->second);
    }
    byAddress_[report.address()] = report.id();
}

bool Registry::updateColdTime(Server& server, const proto::Server& report, Micros at, Micros now) {
    const Micros cold = report.cold_left() > 0 ? at + report.cold_left() : 0;
    const bool wasCold = server.coldUntil > now || server.assumedCold;
    if (server.assumedCold && at > server.assumedColdAt + kAssumedColdSlackUs) server.assumedCold = false;
    if (server.assumedCold && cold <= server.coldUntil) return false;
    const bool changed = std::abs(cold - server.coldUntil) > kMinColdTimeChangeUs && (cold > now || wasCold);
    server.coldUntil = cold;
    return changed;
}

Registry::ReportEffect Registry::update(Server& server, const proto::Server& report, Micros at, Micros now,
                                        bool isNew) {
    const bool emptied = report.emptying() && !server.report.emptying();
    const bool coldChanged = updateColdTime(server, report, at, now);
    const bool changed = isNew || coldChanged || routingChanged(server.report, report);
    if (server.firstReportedAt == 0) server.firstReportedAt = now - std::max<Micros>(0, report.age());
    const bool departing = server.report.emptying();
    server.report = report;
    if (departing) server.report.set_emptying(true);
    server.reportedAt = std::max(server.reportedAt, at);
    if (!emptied && !changed) return ReportEffect::refreshed;
    recordChange(report.id());
    return emptied ? ReportEffect::urgent : ReportEffect::changed;
}

void Registry::restore(Micros now, const proto::Server& report, Micros ago) {
    if (!isReadable(report) || report.gone() || departed_.count(report.id()) != 0) return;
    if (servers_.count(report.id()) != 0 || byAddress_.count(report.address()) != 0) return;
    Server& server = servers_[report.id()];
    server.report = report;
    server.reportedAt =
        now - static_cast<Micros>(settings_.maxMissedBeats * static_cast<double>(settings_.beatEvery)) +
        settings_.restoredGracePeriod;
    server.firstReportedAt = now;
    const Micros age = ago + report.heard_ago();
    server.assumedCold = ago < 0 || age > settings_.restoredMaxAge;
    server.assumedColdAt = now;
    server.coldUntil = server.assumedCold ? now + settings_.restoredColdTime : now - age + report.cold_left();
    byAddress_[report.address()] = report.id();
    recordChange(report.id());
}

void Registry::recordAnswer(Micros now, const std::string& id) {
    if (const auto at = servers_.find(id); at != servers_.end()) at->second.answeredAt = now;
}

bool Registry::removeReplaced(Micros now, const std::string& id) {
    const auto at = servers_.find(id);
    if (at == servers_.end()) return false;
    byAddress_.erase(at->second.report.address());
    servers_.erase(at);
    departed_[id] = now;
    recordChange(id);
    return true;
}

void Registry::markZoneCold(Micros now, const std::string& zone,
                            const std::map<std::string, Micros>& warmUp) {
    for (auto& [id, server] : servers_) {
        if (server.report.zone() != zone) continue;
        const auto warm = warmUp.find(server.report.service());
        server.assumedCold = true;
        server.assumedColdAt = now;
        server.coldUntil = std::max(server.coldUntil, now + (warm == warmUp.end() ? 0 : warm->second));
        recordChange(id);
    }
}

bool Registry::tick(Micros now) {
    std::erase_if(departed_, [&](const auto& at) {
        const bool isExpired = now - at.second > settings_.departureRetention;
        if (isExpired) changed_.insert(at.first);
        return isExpired;
    });
    if (now - lastReportAt_ > kIsolatedAfterUs) return false;
    const auto maxSilence =
        static_cast<Micros>(settings_.maxMissedBeats * static_cast<double>(settings_.beatEvery));
    const std::size_t before = servers_.size();
    std::erase_if(servers_, [&](const auto& at) {
        const Server& server = at.second;
        if (now - server.reportedAt <= maxSilence || now - server.answeredAt <= settings_.answerValidity)
            return false;
        byAddress_.erase(server.report.address());
        // An emptying server has ended; any other returns with its next heartbeat.
        if (server.report.emptying()) departed_[at.first] = now;
        changed_.insert(at.first);
        return true;
    });
    if (servers_.size() != before) ++changes_;
    return servers_.size() != before;
}

std::vector<proto::Server> Registry::departures(Micros now) const {
    std::vector<proto::Server> out;
    for (const auto& [id, at] : departed_) out.push_back(departure(id, now));
    return out;
}

proto::Server Registry::departure(const std::string& id, Micros now) const {
    proto::Server out;
    out.set_id(id);
    out.set_gone(true);
    out.set_heard_ago(now - departed_.at(id));
    return out;
}

Micros Registry::coldLeft(const Server& server, Micros now) const {
    return std::max<Micros>(0, server.coldUntil - now);
}

proto::Server Registry::reportOf(const Server& server, Micros now) const {
    proto::Server out = server.report;
    out.set_heard_ago(now - server.reportedAt);
    out.set_age(now - server.firstReportedAt);
    out.set_cold_left(coldLeft(server, server.reportedAt));
    return out;
}

}  // namespace marldale::registry
