#include "plugins/rewriter.h"

#include <set>
#include <utility>

namespace marldale::plugins {

protocol::CatalogEntry Rewriter::told(const protocol::CatalogEntry& entry) const {
    protocol::CatalogEntry out = entry;
    const auto at = standing_.boxes.find(entry.uid);
    // A box that drains or has gone does so, whatever anybody wishes.
    if (at == standing_.boxes.end() || entry.state != ServerState::ready) return out;
    out.weight *= at->second.factor;
    if (at->second.hold) out.state = ServerState::draining;
    return out;
}

routing::Input Rewriter::list(routing::ListInput input) {
    protocol::CatalogNews& news = input.news;
    // As the module does: what goes backwards is left to it, and to its word in the log.
    const bool counts = input.cached ? news.whole || news.rev == rev_ : news.rev > rev_;
    if (counts) {
        rev_ = news.rev;
        if (news.whole) list_.clear();
        for (const protocol::CatalogEntry& entry : news.entries) {
            if (entry.state == ServerState::gone) list_.erase(entry.uid);
            if (entry.state != ServerState::gone) list_[entry.uid] = entry;
        }
    }
    for (protocol::CatalogEntry& entry : news.entries) entry = told(entry);
    return input;
}

std::vector<routing::Input> Rewriter::hold(const Standing& standing) {
    std::vector<routing::Input> out;
    if (standing == standing_) return out;
    const Standing before = std::exchange(standing_, standing);
    const Standing& after = standing_;
    std::set<std::string> changed;
    for (const auto* boxes : {&before.boxes, &after.boxes}) {
        for (const auto& [uid, box] : *boxes) {
            const auto was = before.boxes.find(uid), is = after.boxes.find(uid);
            const bool same =
                was != before.boxes.end() && is != after.boxes.end() && was->second == is->second;
            if (!same) changed.insert(uid);
        }
    }
    routing::ListInput delta;
    delta.cached = true;
    delta.news.rev = rev_;
    for (const std::string& uid : changed) {
        const auto at = list_.find(uid);
        if (at != list_.end()) delta.news.entries.push_back(told(at->second));
    }
    if (!delta.news.entries.empty()) out.emplace_back(std::move(delta));
    for (const std::string& zone : zones_) {
        for (const ClassView& klass : classes_) {
            const std::pair key{zone, klass.name};
            const auto was = before.levels.find(key), is = after.levels.find(key);
            const double from = was == before.levels.end() ? 1 : was->second;
            const double to = is == after.levels.end() ? 1 : is->second;
            if (from != to) out.emplace_back(routing::CeilingInput{zone, klass.name, to});
        }
    }
    return out;
}

FleetView Rewriter::fleet(std::int64_t wallNowUs) const {
    FleetView out;
    out.zones = zones_;
    out.classes = classes_;
    for (const auto& [uid, entry] : list_) {
        BoxView box;
        box.uid = uid;
        box.zone = entry.zone;
        box.state = entry.state;
        box.weight = entry.weight;
        box.warm = entry.bootUs == 0 || wallNowUs - entry.bootUs >= warmUp_;
        out.boxes.push_back(std::move(box));
    }
    return out;
}

}  // namespace marldale::plugins
