#include "plugins/guard.h"

#include <algorithm>
#include <cmath>
#include <optional>

namespace marldale::plugins {
namespace {

struct Asked {
    double factor = 1;
    bool hold = false;
    std::string hook;  // that asked for the most
};

// The most careful of all hooks, by box.
std::map<std::string, Asked> mostCareful(const std::map<std::string, Wishes>& byHook,
                                         const GuardSettings& settings, std::vector<Clip>& clips) {
    std::map<std::string, Asked> out;
    for (const auto& [hook, wishes] : byHook) {
        for (const BoxWish& wish : wishes.boxes) {
            if (!std::isfinite(wish.factor)) {
                clips.push_back({hook, "weight of " + plain(wish.box), "it is no number"});
                continue;
            }
            double factor = std::clamp(wish.factor, 0.0, 1.0);
            if (factor < settings.factorLeast && !wish.hold) {
                clips.push_back(
                    {hook, "weight of " + plain(wish.box), "it is raised to the least that a hook may set"});
                factor = settings.factorLeast;
            }
            Asked& asked = out[wish.box];
            const bool more =
                (wish.hold && !asked.hold) || (wish.hold == asked.hold && factor < asked.factor);
            if (more) asked.hook = hook;
            asked.hold = asked.hold || wish.hold;
            asked.factor = std::min(asked.factor, factor);
        }
    }
    return out;
}

// What a zone can spare.
class ZoneBudget {
public:
    ZoneBudget(const FleetView& fleet, const std::string& zone, const GuardSettings& settings)
        : settings_(settings) {
        double ready = 0;
        for (const BoxView& b : fleet.boxes) {
            if (b.zone != zone || b.state == ServerState::gone) continue;
            if (b.state == ServerState::draining || !b.warm) unsettled_ = true;
            if (b.state != ServerState::ready) continue;
            ready += std::max(0.0, b.weight);
            warm_ += b.warm ? 1 : 0;
        }
        left_ = settings.capacityMost * ready;
    }
    // Empty: it is done, and `out` says how far.
    std::string take(const BoxView& box, const Asked& asked, Standing::Box& out) {
        if (box.state != ServerState::ready) return "the list does not call it ready: what it is stays";
        if (box.warm && unsettled_)
            return "a box of its zone is cold or leaves: warm ones are not made less of";
        const double weight = std::max(0.0, box.weight);
        if (asked.hold) {
            if (box.warm && warm_ <= settings_.boxesLeast) return "too few warm boxes would stay in its zone";
            if (weight > left_) return "its zone can't spare so much";
            left_ -= weight;
            warm_ -= box.warm ? 1 : 0;
            out = {1, true};
            return {};
        }
        const double wanted = weight * (1 - asked.factor);
        if (wanted <= 0) return {};
        const double spared = std::min(wanted, left_);
        left_ -= spared;
        out = {weight > 0 ? 1 - spared / weight : 1, false};
        return spared < wanted ? "its zone can't spare so much" : "";
    }

private:
    const GuardSettings& settings_;
    bool unsettled_ = false;
    std::size_t warm_ = 0;  // ready, warm and not held back
    double left_ = 0;       // weight that may still be taken away
};

void guardBoxes(const std::map<std::string, Wishes>& byHook, const FleetView& fleet,
                const GuardSettings& settings, Standing& out, std::vector<Clip>& clips) {
    const auto asked = mostCareful(byHook, settings, clips);
    if (asked.empty()) return;
    std::map<std::string, const BoxView*> known;
    for (const BoxView& b : fleet.boxes) known[b.uid] = &b;
    std::map<std::string, ZoneBudget> zones;
    for (const auto& [uid, wish] : asked) {
        const std::string what = (wish.hold ? "hold of " : "weight of ") + plain(uid);
        const auto box = known.find(uid);
        if (box == known.end()) {
            clips.push_back({wish.hook, what, "the list does not have it"});
            continue;
        }
        const std::string& zone = box->second->zone;
        ZoneBudget& budget = zones.try_emplace(zone, fleet, zone, settings).first->second;
        Standing::Box taken;
        if (const std::string why = budget.take(*box->second, wish, taken); !why.empty())
            clips.push_back({wish.hook, what, why});
        if (taken != Standing::Box{}) out.boxes[uid] = taken;
    }
}

void guardLevels(const std::map<std::string, Wishes>& byHook, const FleetView& fleet,
                 const GuardSettings& settings, Standing& out, std::vector<Clip>& clips) {
    for (const auto& [hook, wishes] : byHook) {
        for (const LevelWish& wish : wishes.levels) {
            const std::string what = "level of " + plain(wish.klass) + " at " + plain(wish.zone);
            if (!std::isfinite(wish.share) || wish.share > 1) {
                clips.push_back({hook, what, "nothing is raised above what the module says"});
                continue;
            }
            double share = wish.share;
            if (share < settings.levelLeast) {
                clips.push_back({hook, what, "it is raised to the least that a hook may set"});
                share = settings.levelLeast;
            }
            bool found = false;
            for (const std::string& zone : fleet.zones) {
                for (const ClassView& klass : fleet.classes) {
                    const bool meant = (wish.zone == "*" || wish.zone == zone) &&
                                       (wish.klass == "*" || wish.klass == klass.name);
                    if (!meant) continue;
                    found = true;
                    if (share >= 1) continue;
                    const auto at = out.levels.try_emplace({zone, klass.name}, share).first;
                    at->second = std::min(at->second, share);
                }
            }
            if (!found) clips.push_back({hook, what, "there is no such zone or class"});
        }
    }
}

}  // namespace

Json viewOf(const FleetView& fleet, std::int64_t wallNowUs) {
    Json classes = Json::array(), boxes = Json::array();
    for (const ClassView& k : fleet.classes) classes.push_back({{"class", k.name}, {"fragile", k.fragile}});
    for (const BoxView& b : fleet.boxes) {
        boxes.push_back({{"server", b.uid},
                         {"zone", b.zone},
                         {"state", b.state == ServerState::ready ? "ready" : "draining"},
                         {"weight", b.weight},
                         {"warm", b.warm}});
    }
    return {{"time", static_cast<double>(wallNowUs) / 1e6},
            {"zones", fleet.zones},
            {"classes", classes},
            {"boxes", boxes}};
}

Standing guard(const std::map<std::string, Wishes>& byHook, const FleetView& fleet,
               const GuardSettings& settings, std::vector<Clip>& clips) {
    Standing out;
    guardLevels(byHook, fleet, settings, out, clips);
    guardBoxes(byHook, fleet, settings, out, clips);
    return out;
}

// ---- Rows ----

RowGuard::Span& RowGuard::span(const std::string& key, Micros now) {
    Span& out = spans_[key];
    if (now - out.from > settings_.rowsOver || now < out.from) out = {now, 0, 0};
    return out;
}

std::vector<RowVerdict> RowGuard::decide(const std::vector<Row>& rows,
                                         const std::map<std::string, std::vector<RowWish>>& byHook,
                                         const std::vector<ClassView>& classes, Micros now,
                                         std::vector<Clip>& clips) {
    std::erase_if(spans_, [&](const auto& s) { return now - s.second.from > 10 * settings_.rowsOver; });
    struct Wanted {
        RowVerdict verdict;
        std::string hook;
        bool agreed = true;
    };
    std::map<std::size_t, Wanted> wanted;
    for (const auto& [hook, wishes] : byHook) {
        for (const RowWish& wish : wishes) {
            if (wish.row >= rows.size()) continue;
            const RowVerdict verdict{wish.leaveOut, wish.leaveOut ? "" : wish.klass};
            const auto [at, first] = wanted.try_emplace(wish.row, Wanted{verdict, hook, true});
            if (!first && !(at->second.verdict == verdict)) at->second.agreed = false;
        }
    }
    const auto classOf = [&](const std::string& name) -> std::optional<ClassView> {
        const auto at =
            std::find_if(classes.begin(), classes.end(), [&](const ClassView& k) { return k.name == name; });
        if (at == classes.end()) return std::nullopt;
        return *at;
    };
    std::vector<RowVerdict> out(rows.size());
    for (std::size_t i = 0; i < rows.size(); ++i) {
        const Row& row = rows[i];
        const bool sums = !row.box.empty();
        if (sums) {
            span("b" + row.box, now).seen += row.tries;
            span("z" + row.zone, now).seen += row.tries;
        }
        const auto at = wanted.find(i);
        if (at == wanted.end()) continue;
        const auto clip = [&](const std::string& why) {
            clips.push_back({at->second.hook, "a row of " + plain(sums ? row.box : row.klass), why});
        };
        if (!at->second.agreed) {
            clip("hooks want different things: it is believed as it is");
            continue;
        }
        const RowVerdict& verdict = at->second.verdict;
        if (verdict.leaveOut) {
            if (row.failed > 0) {
                clip("it tells of failures: those are always believed");
                continue;
            }
            if (!sums) {
                clip("what comes is always counted");
                continue;
            }
            Span &box = span("b" + row.box, now), &zone = span("z" + row.zone, now);
            const bool room = box.leftOut + row.tries <= settings_.rowsMost * box.seen &&
                              zone.leftOut + row.tries <= settings_.rowsMost * zone.seen;
            if (!room) {
                clip("too much of its box or zone would be left out");
                continue;
            }
            box.leftOut += row.tries;
            zone.leftOut += row.tries;
            out[i] = verdict;
            continue;
        }
        const auto from = classOf(row.klass), to = classOf(verdict.klass);
        if (sums || !to || !from) {
            clip("there is no such class, or the row has none");
        } else if (from->fragile || to->fragile) {
            clip("a class that must not run twice stays what it is");
        } else {
            out[i] = verdict;
        }
    }
    return out;
}

}  // namespace marldale::plugins
