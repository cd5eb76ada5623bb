#include "gateway/registry/registry.h"

#include <algorithm>

namespace marldale::registry {
namespace {

constexpr Micros kColdStep = 300000;    // a cold time that differs by less is no change
constexpr Micros kDeafAfter = 2500000;  // nobody heard for so long: the fault is ours
constexpr Micros kOrderSlack = 100000;  // a beat this shortly after a zone was taken back may be from before

// Whether a server is reached or chosen otherwise than before.
bool placedOtherwise(const proto::Server& before, const proto::Server& after) {
    return before.service() != after.service() || before.zone() != after.zone() ||
           before.free_places() != after.free_places() || before.address() != after.address();
}

}  // namespace

void Registry::noteChange(const std::string& id) {
    ++changes_;
    changed_.insert(id);
}

Registry::ReportEffect Registry::applyReport(Micros now, const proto::Server& said) {
    if (said.id().empty() || departed_.count(said.id()) != 0) return ReportEffect::none;
    const Micros at = now - std::max<Micros>(0, said.heard_ago());
    if (said.gone()) return signOff(said.id(), at, now);
    const auto known = servers_.find(said.id());
    const bool isNew = known == servers_.end();
    if (isNew) {
        if (servers_.size() >= settings_.most) return ReportEffect::none;
    } else if (said.call_count() < known->second.report.call_count()) {
        return heardLate(known->second, said);
    } else if (said.call_count() == known->second.report.call_count()) {
        if (said.emptying() && !known->second.report.emptying()) return heardLate(known->second, said);
        const bool later = at > known->second.heardAt;
        known->second.heardAt = std::max(known->second.heardAt, at);
        return later ? ReportEffect::refreshed : ReportEffect::none;
    }
    lastHeard_ = std::max(lastHeard_, at);
    if (isNew) claimAddress(said, now);
    return update(servers_[said.id()], said, at, now, isNew);
}

Registry::ReportEffect Registry::heardLate(Server& server, const proto::Server& said) {
    if (!said.emptying() || server.report.emptying()) return ReportEffect::none;
    server.report.set_emptying(true);
    noteChange(server.report.id());
    return ReportEffect::urgent;
}

Registry::ReportEffect Registry::signOff(const std::string& id, Micros at, Micros now) {
    if (now - at > settings_.goneKept) return ReportEffect::none;
    lastHeard_ = std::max(lastHeard_, at);
    if (const auto known = servers_.find(id); known != servers_.end()) {
        byAddress_.erase(known->second.report.address());
        servers_.erase(known);
    }
    departed_[id] = at;
    noteChange(id);
    return ReportEffect::urgent;
}

void Registry::claimAddress(const proto::Server& said, Micros now) {
    const auto before = byAddress_.find(said.address());
    if (before != byAddress_.end()) {
        departed_[before->second] = now;
        servers_.erase(before->second);
        noteChange(before->second);
    }
    byAddress_[said.address()] = said.id();
}

bool Registry::updateColdTime(Server& server, const proto::Server& said, Micros at, Micros now) {
    const Micros cold = said.cold_left() > 0 ? at + said.cold_left() : 0;
    const bool wasCold = server.coldUntil > now || server.coldByOrder;
    if (server.coldByOrder && at > server.orderAt + kOrderSlack) server.coldByOrder = false;
    if (server.coldByOrder && cold <= server.coldUntil) return false;
    const bool changed = std::abs(cold - server.coldUntil) > kColdStep && (cold > now || wasCold);
    server.coldUntil = cold;
    return changed;
}

Registry::ReportEffect Registry::update(Server& server, const proto::Server& said, Micros at, Micros now,
                                        bool isNew) {
    const bool emptied = said.emptying() && !server.report.emptying();
    const bool coldChanged = updateColdTime(server, said, at, now);
    const bool changed = isNew || coldChanged || placedOtherwise(server.report, said);
    if (server.firstAt == 0) server.firstAt = now - std::max<Micros>(0, said.age());
    const bool departing = server.report.emptying();
    server.report = said;
    if (departing) server.report.set_emptying(true);
    server.heardAt = std::max(server.heardAt, at);
    if (!emptied && !changed) return ReportEffect::refreshed;
    noteChange(said.id());
    return emptied ? ReportEffect::urgent : ReportEffect::changed;
}

void Registry::restore(Micros now, const proto::Server& said, Micros ago) {
    if (said.id().empty() || said.gone() || departed_.count(said.id()) != 0) return;
    if (servers_.count(said.id()) != 0 || byAddress_.count(said.address()) != 0) return;
    Server& server = servers_[said.id()];
    server.report = said;
    server.heardAt = now - static_cast<Micros>(settings_.missed * static_cast<double>(settings_.beatEvery)) +
                     settings_.hintFor;
    server.firstAt = now;
    const Micros age = ago + said.heard_ago();
    server.coldByOrder = ago < 0 || age > settings_.hintFresh;
    server.orderAt = now;
    server.coldUntil = server.coldByOrder ? now + settings_.hintCold : now - age + said.cold_left();
    byAddress_[said.address()] = said.id();
    noteChange(said.id());
}

void Registry::recordAnswer(Micros now, const std::string& id) {
    if (const auto at = servers_.find(id); at != servers_.end()) at->second.aliveAt = now;
}

bool Registry::removeReplaced(Micros now, const std::string& id) {
    const auto at = servers_.find(id);
    if (at == servers_.end()) return false;
    byAddress_.erase(at->second.report.address());
    servers_.erase(at);
    departed_[id] = now;
    noteChange(id);
    return true;
}

void Registry::markZoneCold(Micros now, const std::string& zone,
                            const std::map<std::string, Micros>& warmUp) {
    for (auto& [id, server] : servers_) {
        if (server.report.zone() != zone) continue;
        const auto warm = warmUp.find(server.report.service());
        server.coldByOrder = true;
        server.orderAt = now;
        server.coldUntil = std::max(server.coldUntil, now + (warm == warmUp.end() ? 0 : warm->second));
        noteChange(id);
    }
}

bool Registry::tick(Micros now) {
    std::erase_if(departed_, [&](const auto& at) {
        const bool isForgotten = now - at.second > settings_.goneKept;
        if (isForgotten) changed_.insert(at.first);
        return isForgotten;
    });
    if (now - lastHeard_ > kDeafAfter) return false;
    const auto silent = static_cast<Micros>(settings_.missed * static_cast<double>(settings_.beatEvery));
    const std::size_t before = servers_.size();
    std::erase_if(servers_, [&](const auto& at) {
        const Server& server = at.second;
        if (now - server.heardAt <= silent || now - server.aliveAt <= settings_.aliveFor) return false;
        byAddress_.erase(server.report.address());
        // One that was leaving has ended; any other comes back with its next beat.
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
    out.set_heard_ago(now - server.heardAt);
    out.set_age(now - server.firstAt);
    out.set_cold_left(coldLeft(server, server.heardAt));
    return out;
}

}  // namespace marldale::registry
