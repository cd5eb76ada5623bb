#include "routing/beliefs.h"

#include <algorithm>
#include <cstdio>

namespace marldale::routing {
namespace {

constexpr double kSecond = 1e6;
constexpr Micros kOld = 4000000;  // a report of before says nothing of now

template <class... Values>
std::string text(const char* format, Values... values) {
    char out[160];
    std::snprintf(out, sizeof out, format, values...);
    return out;
}

}  // namespace

void Beliefs::told(Micros now, const std::vector<Event>& events) {
    for (const Event& event : events) {
        if (const auto* s = std::get_if<ServerStats>(&event); s != nullptr && s->period > 0) {
            const double seconds = static_cast<double>(s->period) / kSecond;
            // Little's law: what is on its way is what comes in a second times how long it takes.
            const double inFlight = s->tries / seconds * static_cast<double>(s->meanTime) / kSecond;
            seen_[{s->server, s->fromZone}] = {s->tries / seconds, s->failed / seconds, inFlight, now};
        } else if (const auto* d = std::get_if<ProxyDemand>(&event); d != nullptr && d->period > 0) {
            came_[{d->proxy, d->klass}] = {d->came * kSecond / static_cast<double>(d->period), now};
        } else if (const auto* l = std::get_if<ProxyLeft>(&event)) {
            std::erase_if(came_, [&](const auto& at) { return at.first.first == l->proxy; });
        } else if (const auto* list = std::get_if<ServerListUpdate>(&event)) {
            for (const ListEntry& entry : list->entries) {
                if (entry.state != ServerState::gone) continue;
                std::erase_if(seen_, [&](const auto& at) { return at.first.first == entry.server; });
                withdrawn_.erase(entry.server);
                for (auto& [table, lines] : lines_) lines.erase(entry.server);
            }
        }
    }
}

void Beliefs::ordered(const std::vector<Action>& actions) {
    for (const Action& action : actions) {
        if (const auto* line = std::get_if<SetLine>(&action))
            lines_[line->table][line->server] = line->weight;
        if (const auto* level = std::get_if<SetLevel>(&action))
            levels_[{level->table, level->classes}] = *level;
        if (const auto* drop = std::get_if<DropLines>(&action)) {
            lines_.erase(drop->table);
            std::erase_if(levels_, [&](const auto& at) { return at.first.first == drop->table; });
        }
        if (const auto* w = std::get_if<Withdraw>(&action)) {
            w->out ? (void)withdrawn_.insert(w->server) : (void)withdrawn_.erase(w->server);
        }
    }
}

std::optional<std::string> Beliefs::line(Micros now) {
    if (now < next_) return std::nullopt;
    next_ = now + static_cast<Micros>(kSecond);
    double tries = 0, failed = 0, inFlight = 0, came = 0, age = 0;
    for (const auto& [key, s] : seen_) {
        age = std::max(age, static_cast<double>(now - s.at) / kSecond);
        if (now - s.at > kOld) continue;
        tries += s.tries;
        failed += s.failed;
        inFlight += s.inFlight;
    }
    std::erase_if(came_, [&](const auto& at) { return now - at.second.at > kOld; });
    for (const auto& [key, c] : came_) came += c.rate;
    std::string out = text("%.1f/s come, %.1f/s tried, %.1f/s failed, %.1f in flight, oldest report %.1f s",
                           came, tries, failed, inFlight, age);
    out += text(", %zu proxies and classes, %zu withdrawn", came_.size(), withdrawn_.size());
    std::set<ServerId> without, with;
    for (const auto& [table, lines] : lines_) {
        for (const auto& [server, weight] : lines) (weight > 0 ? with : without).insert(server);
    }
    const auto leftOut = std::count_if(without.begin(), without.end(), [&](ServerId id) {
        return with.count(id) == 0 && withdrawn_.count(id) == 0;
    });
    out += text(", %zu tables, %td servers left out, levels", lines_.size(), leftOut);
    std::map<std::uint16_t, float> lowest;
    for (const auto& [key, level] : levels_) {
        const auto at = lowest.try_emplace(key.second, level.limit).first;
        at->second = std::min(at->second, level.limit);
    }
    for (const auto& [mask, limit] : lowest) out += text(" %u:%.3g", static_cast<unsigned>(mask), limit);
    return out;
}

}  // namespace marldale::routing
